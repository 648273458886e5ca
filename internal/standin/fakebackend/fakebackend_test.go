package fakebackend

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"pinedale/balancer"
)

// payClass is a class of requests with an idempotency key.
var payClass = balancer.Class{
	Name:             "pay",
	Idempotency:      balancer.IdempotentWithKey,
	Group:            balancer.GroupAll,
	DedupWindow:      60_000_000,
	LatencyObjective: 600_000,
	ClientTimeout:    3_000_000,
}

// send sends a request of a class with a key and returns its status code, 0 if there is no response.
func send(t *testing.T, s *Server, class, id, key string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address+"/"+class+"/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Service-Class", class)
	request.Header.Set("X-Time-Left-Ms", "1000")
	request.Header.Set("Idempotency-Key", key)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// All servers of a group deduplicate requests by the same keys: a second request with a key has no effect.
func TestRequestWithSeenKeyIsDeduplicated(t *testing.T) {
	fleet := &Fleet{Classes: []balancer.Class{payClass}}
	first, second := fleet.MustStart(t, "s-1", 0), fleet.MustStart(t, "s-2", 0)
	if !first.LastRequest().IsZero() {
		t.Errorf("last request at %v before any was sent", first.LastRequest())
	}
	for i, s := range []*Server{first, first, second} {
		if code := send(t, s, "pay", fmt.Sprint(i), "k"); code != http.StatusOK {
			t.Errorf("request %d: status code %d, want 200", i, code)
		}
	}
	if got, want := fleet.Counts(), (Counts{Requests: 3, Executed: 1, Deduplicated: 2}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	if keys := fleet.DuplicateEffects(); len(keys) > 0 {
		t.Errorf("keys with duplicate effects %q, want none", keys)
	}
	if counts := fleet.EffectCounts(); len(counts) != 1 {
		t.Errorf("effects %v, want one", counts)
	}
	if first.LastRequest().IsZero() || second.LastRequest().Before(first.LastRequest()) {
		t.Errorf("last requests at %v and %v, want the second not before the first",
			first.LastRequest(), second.LastRequest())
	}
}

func TestFaultsFailRequests(t *testing.T) {
	for name, test := range map[string]struct {
		faults       Faults
		wantCode     int
		wantExecuted int
	}{
		"none":   {Faults{}, http.StatusOK, 1},
		"reject": {Faults{Reject: 1}, http.StatusServiceUnavailable, 0},
		"error":  {Faults{Error: 1}, http.StatusInternalServerError, 1},
		"reset":  {Faults{Reset: 1}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := &Fleet{Faults: test.faults}
			if code := send(t, fleet.MustStart(t, "s-1", 0), "read", "1", "k"); code != test.wantCode {
				t.Errorf("status code %d, want %d", code, test.wantCode)
			}
			counts := fleet.Counts()
			if counts.Executed != test.wantExecuted || counts.Rejected != 1-test.wantExecuted {
				t.Errorf("counts %+v, want %d executed", counts, test.wantExecuted)
			}
		})
	}
}

// Faults are drawn by id and seed. With SameOnAllServers, all servers of a fleet draw the same; otherwise they differ.
func TestSameOnAllServersDrawsEqualFaults(t *testing.T) {
	const requests = 40
	codes := func(s *Server) []int {
		var codes []int
		for i := range requests {
			codes = append(codes, send(t, s, "read", fmt.Sprint(i), "k"))
		}
		return codes
	}
	for _, same := range []bool{false, true} {
		fleet := &Fleet{Seed: 7, Faults: Faults{Error: 0.5, SameOnAllServers: same}}
		first, second := codes(fleet.MustStart(t, "s-1", 0)), codes(fleet.MustStart(t, "s-2", 0))
		if !slices.Contains(first, http.StatusOK) || !slices.Contains(first, http.StatusInternalServerError) {
			t.Errorf("status codes %v, want both 200 and 500", first)
		}
		if slices.Equal(first, second) != same {
			t.Errorf("SameOnAllServers %v: status codes %v and %v, want them equal only if it is true",
				same, first, second)
		}
	}
}
