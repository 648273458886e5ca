package balancer

import (
	"slices"
	"testing"
)

// timeoutRecorder also records the timeouts of attempts.
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

// Each attempt gets the timeout that the request sets. After a timeout a retry follows while the rules permit one.
func TestAttemptTimeoutIsPassedOn(t *testing.T) {
	for class, want := range []int{3, 3, 2, 2, 1} { // attempts by class; each zone and cell has two endpoints
		b, out := startWithTimeouts(t, testSettings(), ready(8))
		in := testRequest(1, uint8(class), 0)
		in.AttemptTimeout = 100_000
		b.HandleRequest(0, in)
		for i := 0; i < len(out.sends); i++ {
			b.AttemptCompleted(Micros(i+1)*100_000, Outcome{
				ID: 1, Attempt: i, Endpoint: out.sends[i].endpoint, Status: Timeout, Latency: 100_000,
			})
		}
		if len(out.sends) != want || slices.ContainsFunc(out.timeouts, func(x Micros) bool { return x != 100_000 }) {
			t.Errorf("class %d: attempts with timeouts %v, want %d attempts", class, out.timeouts, want)
		}
	}
}

// Retries of a request that names a budget are charged to that budget only.
func TestRetriesSpendNamedBudget(t *testing.T) {
	s := testSettings()
	s.Budgets = []RetryBudget{{EarnRatio: 0, Burst: 2}, {EarnRatio: 0.5, Burst: 1}}
	b, out := startWithTimeouts(t, s, ready(8))
	retries := func(budget uint16, id uint64) int {
		n := len(out.sends)
		in := testRequest(id, 0, Micros(id)*second)
		in.Budget = budget
		b.HandleRequest(Micros(id)*second, in)
		for i := 0; n+i < len(out.sends) && b.ledger.requests[id] != nil; i++ {
			b.AttemptCompleted(Micros(id)*second+1, Outcome{
				ID: id, Attempt: i, Endpoint: out.sends[n+i].endpoint, Status: Error, Latency: 1,
			})
		}
		return len(out.sends) - n - 1
	}
	if got := []int{retries(1, 1), retries(1, 2), retries(0, 3)}; !slices.Equal(got, []int{2, 0, 2}) {
		t.Errorf("retries %v, want the two of budget 1, then none, then two from the shared budget", got)
	}
	if got := []int{retries(2, 4), retries(2, 5), retries(2, 6)}; !slices.Equal(got, []int{1, 0, 1}) {
		t.Errorf("retries %v, want one for every second request", got)
	}
}

// A request that names a pool is sent to endpoints of that pool only.
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
		t.Error("a request for a pool without endpoints was not rejected")
	}
}

// Classes and budgets may change while requests are in flight; those requests keep their class.
func TestConfigureKeepsRequestsInFlight(t *testing.T) {
	s := testSettings()
	s.Budgets = []RetryBudget{{EarnRatio: 0, Burst: 5}}
	b, out := startWithTimeouts(t, s, ready(8))
	b.HandleRequest(0, testRequest(1, 4, 0)) // not idempotent
	in := testRequest(2, 0, 0)
	in.Budget = 1
	b.HandleRequest(0, in)
	b.budgets.named[0] = 3
	next := append(slices.Clone(s.Classes), Class{
		Name: "write", Idempotency: Idempotent, LatencyObjective: 1, ClientTimeout: 1,
	})
	next[4].Retired = true
	if err := b.Configure(next, []RetryBudget{{EarnRatio: 0, Burst: 2}, {EarnRatio: 0, Burst: 7}}); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(b.budgets.named, []float64{2, 7}) {
		t.Errorf("budget balances %v, want the old balance capped at the new burst, and a full new budget",
			b.budgets.named)
	}
	b.AttemptCompleted(1, Outcome{ID: 1, Endpoint: out.sends[0].endpoint, Status: Timeout, Latency: 1})
	if len(out.sends) != 2 || !slices.Equal(out.failed, []uint64{1}) {
		t.Errorf("after a timeout of the write in flight: sends %v, failed %v, want 2 sends and request 1 failed",
			out.sends, out.failed)
	}
	b.HandleRequest(2, testRequest(3, 5, 2))
	if len(out.sends) != 3 {
		t.Error("a request of the new class was not sent")
	}
	// Classes that requests in flight may have must stay, and invalid settings change nothing.
	changed := slices.Clone(next)
	changed[1].DedupWindow = 1
	bad := append(slices.Clone(next), Class{Name: "x"})
	for name, classes := range map[string][]Class{"changed": changed, "fewer": next[:4], "bad": bad} {
		if err := b.Configure(classes, nil); err == nil || len(b.settings.Classes) != 6 || len(b.settings.Budgets) != 2 {
			t.Errorf("%s: error %v, %d classes and %d budgets, want an error and no change",
				name, err, len(b.settings.Classes), len(b.settings.Budgets))
		}
	}
}

// A client's retry may repeat a request that has already run and whose idempotency key is about to expire. Once the key
// may have expired, the request must not be resent, and must end with Fail: Reject would tell the client that another
// retry is harmless.
func TestClientRetryIsNotResentAfterWindow(t *testing.T) {
	for _, test := range []struct {
		class    uint8
		status   Status
		at       Micros
		resent   bool
		rejected bool
	}{
		{1, Timeout, 10_000, true, false},
		{1, Timeout, 100_000, false, false},
		{1, Full, 40_000, true, false},
		{1, Full, 100_000, false, false},
		{0, Timeout, 100_000, true, false},
	} {
		b, out := startWithTimeouts(t, testSettings(), ready(8))
		in := testRequest(1, test.class, 0)
		in.ClientRetry = true
		b.HandleRequest(0, in)
		b.AttemptCompleted(test.at, Outcome{ID: 1, Endpoint: out.sends[0].endpoint, Status: test.status, Latency: test.at})
		if got := len(out.sends) > 1; got != test.resent || len(out.rejected) > 0 != test.rejected {
			t.Errorf("%+v: %d sends, %d rejected", test, len(out.sends), len(out.rejected))
		}
	}
}

// The transport may use another endpoint than the balancer chose. Failures are then counted at the endpoint that
// handled the request, and a retry stays within the group of that endpoint, which drops duplicates.
func TestOutcomeIsAttributedToActualEndpoint(t *testing.T) {
	b, r := start(t, testSettings(), ready(4)) // 1 and 2 share a cell, as do 3 and 4
	b.HandleRequest(0, testRequest(1, 3, 0))
	to := r.sends[0].endpoint
	other := (to+1)%4 + 1 // of the other cell
	b.AttemptCompleted(1000, Outcome{ID: 1, Endpoint: other, Status: Error})
	if len(r.sends) != 2 || b.endpoints.byID[r.sends[1].endpoint].Cell != b.endpoints.byID[other].Cell {
		t.Errorf("sends %v after endpoint %d handled the request, want the retry in the cell of that endpoint",
			r.sends, other)
	}
	if b.endpoints.byID[other].failures.ratio == 0 || b.endpoints.byID[to].failures.ratio != 0 {
		t.Errorf("failure ratio %v at the endpoint it was sent to, want 0; %v at the one that handled it, want more",
			b.endpoints.byID[to].failures.ratio, b.endpoints.byID[other].failures.ratio)
	}
	if n := b.endpoints.byID[to].inFlight; n != 0 && r.sends[1].endpoint != to {
		t.Errorf("%d attempts counted in flight at an endpoint without any", n)
	}
	for _, s := range r.sends[1:] {
		b.AttemptCompleted(2000, Outcome{ID: 1, Attempt: 1, Endpoint: s.endpoint, Status: OK, Settled: true})
	}
	for id, e := range b.endpoints.byID {
		if e.inFlight != 0 {
			t.Errorf("endpoint %d: %d attempts in flight after all have completed", id, e.inFlight)
		}
	}
	// An unknown endpoint is ignored: the attempt stays attributed to the endpoint that it was sent to.
	b.HandleRequest(3000, testRequest(2, 0, 3000))
	last := r.sends[len(r.sends)-1]
	b.AttemptCompleted(4000, Outcome{ID: 2, Endpoint: 77, Status: OK, Settled: true})
	if b.endpoints.byID[last.endpoint].inFlight != 0 || b.endpoints.byID[77] != nil {
		t.Error("an outcome that names an unknown endpoint left the attempt in flight or created the endpoint")
	}
}

// A request may lower the limit of attempts but not raise it.
func TestRequestMaxAttemptsLowersLimit(t *testing.T) {
	for _, test := range []struct{ maxAttempts, sends int }{{0, 3}, {1, 1}, {2, 2}, {9, 3}} {
		b, r := start(t, testSettings(), ready(4))
		in := testRequest(1, 0, 0)
		in.MaxAttempts = test.maxAttempts
		b.HandleRequest(0, in)
		for i := 0; i < len(r.sends); i++ {
			b.AttemptCompleted(Micros(i+1)*1000, Outcome{
				ID: 1, Attempt: i, Endpoint: r.sends[i].endpoint, Status: Error,
			})
		}
		if len(r.sends) != test.sends || len(r.rejected) != 1 {
			t.Errorf("limit %d: %d sends and %d rejections, want %d and 1",
				test.maxAttempts, len(r.sends), len(r.rejected), test.sends)
		}
	}
}

// A previous attempt restricts the request as the balancer's own first attempt would: it determines the group and the
// window for retries, and whether the request may be rejected.
func TestPreviousAttemptBindsRequest(t *testing.T) {
	for _, test := range []struct {
		name     string
		class    uint8
		age      Micros // of the earlier attempt
		sent     bool
		rejected bool
	}{
		{"idempotent", 0, 600_000, true, true},
		{"with key, in the window", 1, 100_000, true, true},
		{"with key, after the window", 1, 600_000, false, false},
		{"with key in a zone", 2, 100_000, true, false},
		{"with key in a cell", 3, 100_000, true, false},
		{"with key in a cell, after the window", 3, 500_000, false, false},
		{"not idempotent", 4, 1, false, false},
	} {
		b, r := start(t, testSettings(), ready(6))
		now := Micros(700_000)
		in := testRequest(1, test.class, now)
		in.MayHaveRun, in.PreviousAttempt = true, PreviousAttempt{At: now - test.age, Zone: 1, Cell: 1}
		b.HandleRequest(now, in)
		if len(r.sends) > 0 != test.sent {
			t.Errorf("%s: %d sends, want any: %v", test.name, len(r.sends), test.sent)
		}
		if test.sent && test.class >= 2 && b.endpoints.byID[r.sends[0].endpoint].Cell != 1 {
			t.Errorf("%s: sent to endpoint %d, outside the cell of the previous attempt",
				test.name, r.sends[0].endpoint)
		}
		for i := 0; i < len(r.sends); i++ {
			b.AttemptCompleted(now, Outcome{ID: 1, Attempt: i, Endpoint: r.sends[i].endpoint, Status: Full})
		}
		if len(r.rejected) > 0 != test.rejected || len(r.failed) > 0 == test.rejected {
			t.Errorf("%s: %d rejections and %d failures, want rejected %v and failed %v",
				test.name, len(r.rejected), len(r.failed), test.rejected, !test.rejected)
		}
	}
}

// Checks every kind of idempotency with every outcome of the first attempt.
func TestRetryFollowsIdempotencyAndOutcome(t *testing.T) {
	neverRan := map[Status]bool{Full: true, ConnectFailed: true, NotSent: true}
	for class := range uint8(5) {
		for status := Error; status <= NotSent; status++ {
			s := testSettings()
			b, r := start(t, s, ready(4)) // endpoints 1, 2 share a zone and a cell; so do 3, 4
			b.HandleRequest(1000, testRequest(1, class, 1000))
			a := b.ledger.requests[1].attempts[0]
			b.AttemptCompleted(2000, Outcome{ID: 1, Endpoint: a.endpoint.ID, Status: status, Latency: 1000})
			sends := len(r.sends)
			switch kind := s.Classes[class]; {
			case kind.Idempotency == NotIdempotent && !neverRan[status]:
				if sends != 1 || len(r.failed) != 1 {
					t.Errorf("not idempotent, status %d: %d sends, %d failed, want 1 and 1",
						status, sends, len(r.failed))
				}
			case sends != 2:
				t.Errorf("class %d, status %d: %d sends, want 2", class, status, sends)
			case kind.Idempotency == IdempotentWithKey && kind.Group != GroupAll && !neverRan[status]:
				if (r.sends[0].endpoint-1)/2 != (r.sends[1].endpoint-1)/2 {
					t.Errorf("class %d, status %d: first attempt at endpoint %d, retry at endpoint %d, want the same group",
						class, status, r.sends[0].endpoint, r.sends[1].endpoint)
				}
			}
		}
	}
}

func TestDedupWindowStartsAtFirstAttemptThatMayHaveRun(t *testing.T) {
	s := testSettings()
	s.Limits.Hedging = false
	b, r := start(t, s, ready(2))
	b.HandleRequest(1000, testRequest(1, 3, 1000))
	first := r.sends[0].endpoint
	b.AttemptCompleted(1000+s.Classes[3].DedupWindow, Outcome{ID: 1, Endpoint: first, Status: Reset})
	if len(r.sends) != 1 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("after the deduplication window: sends %v, failed %v, rejected %v, want one send and one failure",
			r.sends, r.failed, r.rejected)
	}
}

func TestUnansweredAttemptEndsAtDeadline(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	token := b.ledger.requests[1].timerToken
	b.TimerFired(1000+second, token)
	if len(r.failed) != 1 || len(r.cancels) != 1 {
		t.Fatalf("at the deadline: failed %v, cancelled %v, want one of each", r.failed, r.cancels)
	}
	b.AttemptCompleted(2*second, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: second, Settled: true})
	if b.endpoints.list[0].breaker.accepts != 1 || b.endpoints.list[0].inFlight != 0 || len(b.ledger.requests) != 0 {
		t.Error("a late outcome did not update the statistics, or the request was not released")
	}
	b.HandleRequest(3*second, testRequest(2, 0, 3*second))
	b.TimerFired(3*second, token) // of the finished request, whose slot was reused
	if len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Error("an outdated timer ended another request")
	}
}

func TestStreamIsNeitherTimedOutNorRetried(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.ResponseStarted(2000, 1, 0, 1000)
	b.TimerFired(2*second, b.ledger.requests[1].timerToken)
	if len(r.sends) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Error("a request whose answer had started was ended or hedged")
	}
	b.AttemptCompleted(3*second, Outcome{
		ID: 1, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 3 * second, Settled: true,
	})
	if len(b.ledger.requests) != 0 {
		t.Error("the record of the completed request was not released")
	}
}

// A request with unusual values gets exactly one final answer.
func TestUnusualRequestsAreAnsweredOnce(t *testing.T) {
	for name, test := range map[string]struct {
		list  []Endpoint
		in    Request
		twice bool
	}{
		"class out of range":  {list: ready(2), in: Request{ID: 1, Class: 99, Deadline: second}},
		"tenant out of range": {list: ready(2), in: Request{ID: 1, Tenant: 999, Deadline: second}},
		"deadline past":       {list: ready(2), in: Request{ID: 1, Deadline: 10}},
		"empty list":          {in: Request{ID: 1, Deadline: second}},
		"all draining":        {list: []Endpoint{{ID: 1, State: Draining}}, in: Request{ID: 1, Deadline: second}},
		"repeated id":         {list: ready(2), in: Request{ID: 1, Deadline: second}, twice: true},
		"negative hint":       {list: ready(2), in: Request{ID: 1, Deadline: second, WorkHint: -5, HasWorkHint: true}},
	} {
		b, r := start(t, testSettings(), test.list)
		b.HandleRequest(1000, test.in)
		if test.twice {
			b.HandleRequest(1000, test.in)
		}
		for i, token := range r.timers {
			if token >= firstRequestTimer {
				b.TimerFired(max(1000+r.delays[i], test.in.Deadline), token)
			}
		}
		if n := len(r.rejected) + len(r.failed); n != 1 || len(r.sends) > 1 {
			t.Errorf("%s: %d final answers, %d sends, want 1 answer and at most 1 send", name, n, len(r.sends))
		}
	}
}

// When the host shuts down, Expire gives each open request the final answer that it would get at its deadline.
func TestExpireAnswersEachRequestOnce(t *testing.T) {
	s := testSettings()
	b, r := start(t, s, ready(4))
	for class := range s.Classes {
		b.HandleRequest(1000, testRequest(uint64(class+1), uint8(class), 500_000))
	}
	for class := range s.Classes {
		b.Expire(2000, uint64(class+1))
		b.Expire(2001, uint64(class+1)) // already answered
	}
	b.Expire(2002, 99) // unknown
	if !slices.Equal(r.rejected, []uint64{1, 2}) || !slices.Equal(r.failed, []uint64{3, 4, 5}) {
		t.Errorf("rejected %v, failed %v; want rejections where a retry is safe and failures elsewhere",
			r.rejected, r.failed)
	}
}
