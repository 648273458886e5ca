package app

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/proxy"
	"pinedale/internal/standin/wait"
)

const (
	// keyCount is how many idempotency keys are sent.
	keyCount = 30
	// serversPerCell is how many servers share their idempotency keys.
	serversPerCell = 2
)

// startUnknownOutcomeCluster starts connected instances, and servers in four cells that fail every request after they
// have executed it.
func startUnknownOutcomeCluster(t *testing.T, agree string) (*fakebackend.Fleet, []*Instance) {
	t.Helper()
	fleet := &fakebackend.Fleet{Faults: fakebackend.Faults{Error: 1}, Classes: dayCloseClasses()}
	sections := fmt.Sprintf(dayCloseFormat, agree)
	for n := range 8 {
		sections += serverSection(fleet.MustStart(t, fmt.Sprint("s-", n), n/serversPerCell), 0)
	}
	return fleet, startCluster(t, func(int) string { return sections })
}

// dialExtProc opens a connection to the external processor of each instance.
func dialExtProc(t *testing.T, instances []*Instance) []*proxy.Proxy {
	t.Helper()
	proxies := make([]*proxy.Proxy, len(instances))
	for n, instance := range instances {
		var err error
		if proxies[n], err = proxy.Dial(instance.ExtProc.String(), 1); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(proxies[n].Close)
	}
	return proxies
}

// A client retries a failed request at another instance, over the other front. The retry must be sent to the cell whose
// servers have the request's key, or the request would be executed twice.
func TestRetriesAtOtherInstancesAreDeduplicated(t *testing.T) {
	fleet, instances := startUnknownOutcomeCluster(t, "always")
	proxies := dialExtProc(t, instances)
	ctx, cancel := context.WithTimeout(t.Context(), wait.Timeout)
	defer cancel()
	for n := range keyCount {
		key := fmt.Sprint("key-", n)
		statusCode := sendDayClose(ctx, t, instances[n%clusterSize], key+"-0", key)
		if statusCode != http.StatusBadGateway {
			t.Fatalf("%s: status %d, want %d, since every server fails", key, statusCode, http.StatusBadGateway)
		}
		for retry := 1; retry <= 2; retry++ {
			request := proxy.Request{
				Method: http.MethodPost,
				Path:   "/day-close/x",
				Header: dayCloseHeaders(fmt.Sprint(key, "-", retry), key),
				Body:   "pay",
			}
			result := proxies[(n+retry)%clusterSize].Do(ctx, request, proxy.Behaviour{})
			if result.Err != nil {
				t.Fatal(result.Err)
			}
		}
	}
	if duplicates := fleet.DuplicateEffects(); len(duplicates) > 0 {
		t.Errorf("executed twice: %v", duplicates)
	}
	if counts := fleet.Counts(); counts.Executed != keyCount || counts.Deduplicated < keyCount {
		t.Errorf("server counts %+v, want each key executed once and its retries dropped", counts)
	}
}

// Without agreement, requests are executed twice, which shows that the test above can fail. Three of four cells do not
// have the key of a retry, so the probability that the retries of 30 requests all reach the right one is 4 to the power
// of -60.
func TestRetriesRunTwiceWithoutAgreement(t *testing.T) {
	fleet, instances := startUnknownOutcomeCluster(t, "never")
	for n := range keyCount {
		for attempt, instance := range instances {
			sendDayClose(t.Context(), t, instance, fmt.Sprint(n, "-", attempt), fmt.Sprint("key-", n))
		}
	}
	if len(fleet.DuplicateEffects()) == 0 {
		t.Error("no request was executed twice, want duplicate executions without agreement")
	}
}
