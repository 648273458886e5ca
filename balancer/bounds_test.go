package balancer

import (
	"math"
	"slices"
	"testing"
)

// timeoutRecorder keeps the time-outs of attempts.
type timeoutRecorder struct {
	*recorder
	timeouts []Micros
}

func (t *timeoutRecorder) Send(id uint64, e uint32, timeout, by Micros) {
	t.timeouts = append(t.timeouts, timeout)
	t.recorder.Send(id, e, timeout, by)
}

func startWithTimeouts(t *testing.T, s Settings, list []Endpoint) (*Balancer, *timeoutRecorder) {
	t.Helper()
	out := &timeoutRecorder{recorder: &recorder{}}
	b, err := New(s, 7, out)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.UpdateEndpoints(0, ListCached, list)
	return b, out
}

// Each attempt gets the time that the request allows for one, and the next one begins
// with its end, while the rules permit one.
func TestAttemptTimeoutIsPassedOn(t *testing.T) {
	for class, want := range []int{3, 3, 2, 2, 1} { // two endpoints are in a zone and cell
		b, out := startWithTimeouts(t, testSettings(), ready(8))
		in := testRequest(1, uint8(class), 0)
		in.AttemptTimeout = 100_000
		b.HandleRequest(0, in)
		for i := 0; i < len(out.sends); i++ {
			b.AttemptCompleted(Micros(i+1)*100_000, Outcome{ID: 1, Attempt: i, Endpoint: out.sends[i].endpoint, Status: Timeout, Latency: 100_000})
		}
		if len(out.sends) != want || slices.ContainsFunc(out.timeouts, func(x Micros) bool { return x != 100_000 }) {
			t.Errorf("class %d: time-outs %v, want %d attempts", class, out.timeouts, want)
		}
	}
}

// A second copy goes out after the time that the request states, to another endpoint,
// where its class drops repeats and while it does, and no answer came.
func TestHedgeAfterRequestedDelay(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    uint8
		after    Micros
		answered bool
		alone    bool
		limit    bool
		copied   bool
	}{
		{"safe", 0, 200_000, false, false, true, true},
		{"safe and answered", 0, 200_000, true, false, true, false},
		{"no such time", 0, 0, false, false, true, false},
		{"keyed in its window", 1, 200_000, false, false, true, true},
		{"keyed after its window", 1, 600_000, false, false, true, false},
		{"unsafe", 4, 200_000, false, false, true, false},
		{"no copies wanted", 0, 200_000, false, true, true, false},
		{"no copies permitted", 0, 200_000, false, false, false, false},
	} {
		s := testSettings()
		s.Limits.Hedging = c.limit
		b, out := startWithTimeouts(t, s, ready(8))
		in := testRequest(1, c.class, 0)
		in.HedgeDelay, in.NoHedging = c.after, c.alone
		b.HandleRequest(0, in)
		token := b.ledger.requests[1].timerToken
		if asked := slices.Contains(out.delays, c.after); c.after > 0 && !asked {
			t.Errorf("%s: no timer for the copy: %v", c.name, out.delays)
		}
		if c.answered {
			b.AttemptCompleted(c.after-1, Outcome{ID: 1, Endpoint: out.sends[0].endpoint, Status: OK, Latency: c.after - 1, Settled: true})
		}
		b.TimerFired(max(c.after, 300_000)-100_000, token) // too early: of another purpose
		b.TimerFired(max(c.after, 300_000), token)
		if got := len(out.sends) > 1; got != c.copied {
			t.Errorf("%s: %d sends", c.name, len(out.sends))
		} else if got && out.sends[0].endpoint == out.sends[1].endpoint {
			t.Errorf("%s: the copy went to the same endpoint", c.name)
		}
	}
}

// The quantile of a class's latencies stands for a time that is not given.
func TestHedgeAtLatencyQuantile(t *testing.T) {
	s := testSettings()
	s.Classes[0].HedgeQuantile = 0.9
	b, out := startWithTimeouts(t, s, ready(2))
	if got := b.hedgeDelay(&request{Request: Request{Class: 0}}); got != s.Classes[0].LatencyObjective {
		t.Errorf("after %d before anything is known, want the aim", got)
	}
	rng := randomSource(3)
	now := Micros(0)
	for id := uint64(1); id <= 4000; id++ {
		now += 10_000
		n := len(out.sends)
		b.HandleRequest(now, testRequest(id, 0, now))
		if len(out.sends) == n {
			continue
		}
		latency := Micros(rng.float() * 100_000) // its 90th percentile is 90 ms
		b.AttemptCompleted(now+latency, Outcome{ID: id, Endpoint: out.sends[n].endpoint, Status: OK, Latency: latency, Settled: true})
	}
	if got := b.hedgeDelay(&request{Request: Request{Class: 0}}); math.Abs(float64(got-90_000)) > 12_000 {
		t.Errorf("after %d, want about 90000", got)
	}
	if got := b.hedgeDelay(&request{Request: Request{Class: 1}}); got != 0 {
		t.Errorf("a class without a quantile: after %d", got)
	}
}

// A request may bring a budget of its own: its retries spend that, and nobody else's.
func TestRetriesSpendTheirOwnBudget(t *testing.T) {
	s := testSettings()
	s.Budgets = []RetryBudget{{EarnRatio: 0, Burst: 2}, {EarnRatio: 0.5, Burst: 1}}
	b, out := startWithTimeouts(t, s, ready(8))
	retries := func(budget uint16, id uint64) int {
		n := len(out.sends)
		in := testRequest(id, 0, Micros(id)*second)
		in.Budget = budget
		b.HandleRequest(Micros(id)*second, in)
		for i := 0; n+i < len(out.sends) && b.ledger.requests[id] != nil; i++ {
			b.AttemptCompleted(Micros(id)*second+1, Outcome{ID: id, Attempt: i, Endpoint: out.sends[n+i].endpoint, Status: Error, Latency: 1})
		}
		return len(out.sends) - n - 1
	}
	if got := []int{retries(1, 1), retries(1, 2), retries(0, 3)}; !slices.Equal(got, []int{2, 0, 2}) {
		t.Errorf("retries %v: want the two of its budget, none, and those of the one for all", got)
	}
	if got := []int{retries(2, 4), retries(2, 5), retries(2, 6)}; !slices.Equal(got, []int{1, 0, 1}) {
		t.Errorf("retries %v: want one for every second request", got)
	}
}

// Only endpoints of its pool may have a request that names one.
func TestRequestStaysInItsPool(t *testing.T) {
	list := ready(6)
	for i := range list {
		list[i].Pools = 1 << (i % 3)
	}
	b, out := startWithTimeouts(t, testSettings(), list)
	for id := uint64(1); id <= 60; id++ {
		in := testRequest(id, 0, Micros(id)*1000)
		in.Pool = uint8(id % 4) // 0: all
		n := len(out.sends)
		b.HandleRequest(in.Deadline-second, in)
		for _, x := range out.sends[n:] {
			if in.Pool > 0 && list[x.endpoint-1].Pools != 1<<(in.Pool-1) {
				t.Fatalf("a request of pool %d went to endpoint %d", in.Pool, x.endpoint)
			}
		}
	}
	in := testRequest(100, 0, second)
	in.Pool = 64
	if b.HandleRequest(second, in); !slices.Contains(out.rejected, 100) {
		t.Error("a request of an empty pool is not refused")
	}
}

// Classes and budgets change while requests are in hand: those keep their class.
func TestConfigureKeepsRequestsInFlight(t *testing.T) {
	s := testSettings()
	s.Budgets = []RetryBudget{{EarnRatio: 0, Burst: 5}}
	b, out := startWithTimeouts(t, s, ready(8))
	b.HandleRequest(0, testRequest(1, 4, 0)) // unsafe
	in := testRequest(2, 0, 0)
	in.Budget = 1
	b.HandleRequest(0, in)
	b.budgets.named[0] = 3
	next := append(slices.Clone(s.Classes), Class{Name: "write", Idempotency: Idempotent, LatencyObjective: 1, ClientTimeout: 1})
	next[4].Retired = true
	if err := b.Configure(next, []RetryBudget{{EarnRatio: 0, Burst: 2}, {EarnRatio: 0, Burst: 7}}); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(b.budgets.named, []float64{2, 7}) {
		t.Errorf("budgets %v: want what was left, within the new burst, and a new one", b.budgets.named)
	}
	b.AttemptCompleted(1, Outcome{ID: 1, Endpoint: out.sends[0].endpoint, Status: Timeout, Latency: 1})
	if len(out.sends) != 2 || !slices.Equal(out.failed, []uint64{1}) {
		t.Errorf("the unsafe request in hand: %v sent, failed %v", out.sends, out.failed)
	}
	b.HandleRequest(2, testRequest(3, 5, 2))
	if len(out.sends) != 3 {
		t.Error("a request of the new class is not sent")
	}
	// What requests in hand may be of must stay; what makes no sense changes nothing.
	changed := slices.Clone(next)
	changed[1].DedupWindow = 1
	bad := append(slices.Clone(next), Class{Name: "x"})
	for name, classes := range map[string][]Class{"changed": changed, "fewer": next[:4], "bad": bad} {
		if err := b.Configure(classes, nil); err == nil || len(b.settings.Classes) != 6 || len(b.settings.Budgets) != 2 {
			t.Errorf("%s: %v, %d classes and %d budgets", name, err, len(b.settings.Classes), len(b.settings.Budgets))
		}
	}
}

// A keyed request that its client marks as a repetition may be of an effect whose key
// is nearly forgotten: what may have run is neither resent later nor called harmless.
func TestClientRetryIsNotResentAfterWindow(t *testing.T) {
	for _, c := range []struct {
		class   uint8
		status  Status
		at      Micros
		resent  bool
		refused bool
	}{
		{1, Timeout, 10_000, true, false}, {1, Timeout, 100_000, false, false}, {1, Full, 40_000, true, false}, {1, Full, 100_000, false, false}, {0, Timeout, 100_000, true, false},
	} {
		b, out := startWithTimeouts(t, testSettings(), ready(8))
		in := testRequest(1, c.class, 0)
		in.ClientRetry = true
		b.HandleRequest(0, in)
		b.AttemptCompleted(c.at, Outcome{ID: 1, Endpoint: out.sends[0].endpoint, Status: c.status, Latency: c.at})
		if got := len(out.sends) > 1; got != c.resent || len(out.rejected) > 0 != c.refused {
			t.Errorf("%+v: %d sends, %d refused", c, len(out.sends), len(out.rejected))
		}
	}
}
