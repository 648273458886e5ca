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
	// serversPerCell is how many servers remember the same keys.
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

// A client whose request has failed retries at another instance, over the other front: the retry is sent to the cell
// that remembers its key.
func TestRetriesAtOtherInstancesAreDeduplicated(t *testing.T) {
	fleet, instances := startUnknownOutcomeCluster(t, "always")
	proxies := dialExtProc(t, instances)
	ctx, cancel := context.WithTimeout(t.Context(), wait.Timeout)
	defer cancel()
	for n := range keyCount {
		key := fmt.Sprint("key-", n)
		statusCode := sendDayClose(ctx, t, instances[n%clusterSize], key+"-0", key)
		if statusCode != http.StatusBadGateway {
			t.Fatalf("%s: status %d, and every server fails", key, statusCode)
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
		t.Errorf("%+v: each key is to be executed once, and its retries to be dropped", counts)
	}
}

// The same without agreement executes requests twice: this shows that the test above can fail. Three of four cells are
// wrong for a retry, so the probability that all retries of 30 requests hit the right one is 4 to the power of -60.
func TestRetriesRunTwiceWithoutAgreement(t *testing.T) {
	fleet, instances := startUnknownOutcomeCluster(t, "never")
	for n := range keyCount {
		for attempt, instance := range instances {
			sendDayClose(t.Context(), t, instance, fmt.Sprint(n, "-", attempt), fmt.Sprint("key-", n))
		}
	}
	if len(fleet.DuplicateEffects()) == 0 {
		t.Error("no request was executed twice")
	}
}
