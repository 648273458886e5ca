package balancer

import (
	"math"
	"slices"
	"testing"
)

// A hedge is sent to another endpoint after the delay that the request sets, if repeats are dropped or harmless and
// no answer has been received.
func TestHedgeAfterRequestedDelay(t *testing.T) {
	for _, test := range []struct {
		name       string
		class      uint8
		hedgeDelay Micros
		answered   bool
		noHedging  bool
		permitted  bool // by the limits
		wantHedge  bool
	}{
		{"idempotent", 0, 200_000, false, false, true, true},
		{"idempotent and answered", 0, 200_000, true, false, true, false},
		{"no delay", 0, 0, false, false, true, false},
		{"with key, in its window", 1, 200_000, false, false, true, true},
		{"with key, after its window", 1, 600_000, false, false, true, false},
		{"not idempotent", 4, 200_000, false, false, true, false},
		{"hedging declined", 0, 200_000, false, true, true, false},
		{"hedging not permitted", 0, 200_000, false, false, false, false},
	} {
		s := testSettings()
		s.Limits.Hedging = test.permitted
		b, out := startWithTimeouts(t, s, ready(8))
		in := testRequest(1, test.class, 0)
		in.HedgeDelay, in.NoHedging = test.hedgeDelay, test.noHedging
		b.HandleRequest(0, in)
		token := b.ledger.requests[1].timerToken
		if armed := slices.Contains(out.delays, test.hedgeDelay); test.hedgeDelay > 0 && !armed {
			t.Errorf("%s: no timer for the hedge in %v", test.name, out.delays)
		}
		if test.answered {
			b.AttemptCompleted(test.hedgeDelay-1, Outcome{
				ID: 1, Endpoint: out.sends[0].endpoint, Status: OK, Latency: test.hedgeDelay - 1, Settled: true,
			})
		}
		b.TimerFired(max(test.hedgeDelay, 300_000)-100_000, token) // another timer, early for a delay above 200 ms
		b.TimerFired(max(test.hedgeDelay, 300_000), token)
		if got := len(out.sends) > 1; got != test.wantHedge {
			t.Errorf("%s: %d sends, want a hedge: %v", test.name, len(out.sends), test.wantHedge)
		} else if got && out.sends[0].endpoint == out.sends[1].endpoint {
			t.Errorf("%s: the hedge went to the same endpoint", test.name)
		}
	}
}

// If the request sets no delay, the latency quantile of its class is used.
func TestHedgeAtLatencyQuantile(t *testing.T) {
	s := testSettings()
	s.Classes[0].HedgeQuantile = 0.9
	b, out := startWithTimeouts(t, s, ready(2))
	if got := b.hedgeDelay(&request{Request: Request{Class: 0}}); got != s.Classes[0].LatencyObjective {
		t.Errorf("hedge delay %d µs before any sample, want the latency objective of %d µs",
			got, s.Classes[0].LatencyObjective)
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
		b.AttemptCompleted(now+latency, Outcome{
			ID: id, Endpoint: out.sends[n].endpoint, Status: OK, Latency: latency, Settled: true,
		})
	}
	if got := b.hedgeDelay(&request{Request: Request{Class: 0}}); math.Abs(float64(got-90_000)) > 12_000 {
		t.Errorf("hedge delay %d µs, want about 90000", got)
	}
	if got := b.hedgeDelay(&request{Request: Request{Class: 1}}); got != 0 {
		t.Errorf("hedge delay %d µs for a class without a quantile, want 0", got)
	}
}

// A request with NoHedging is not hedged even if its attempt seems dropped.
func TestNoHedgingDisablesHedges(t *testing.T) {
	for _, noHedging := range []bool{false, true} {
		b, r := start(t, testSettings(), ready(4))
		b.traffic.dropped.value = 1
		in := testRequest(1, 0, 0)
		in.NoHedging = noHedging
		b.HandleRequest(0, in)
		a := &b.ledger.requests[1].attempts[0]
		a.endpoint.lastAnsweredSentAt = 1 // overtaken by a later one
		b.TimerFired(a.overdueAt, b.ledger.requests[1].timerToken)
		if hedged := len(r.sends) > 1; hedged == noHedging {
			t.Errorf("NoHedging %v: %d sends", noHedging, len(r.sends))
		}
	}
}

// A pending attempt is not hedged unless attempts are being dropped: a hedge would double the work of an endpoint
// that is slow because it is overloaded.
func TestNoHedgeWhereNotPermitted(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	for i, token := range r.timers {
		b.TimerFired(1000+r.delays[i]-1, token)
	}
	b.TimerFired(900_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("%d sends while the first attempt is pending, want 1", len(r.sends))
	}
}

// If endpoints drop some requests and answer the others in time, an attempt that a later one overtook was dropped. It
// is hedged elsewhere if its class permits. The first answer ends the request and cancels the other attempts.
func TestDroppedAttemptIsHedgedElsewhere(t *testing.T) {
	for class, hedges := range []int{1, 1, 1, 1, 0} {
		b, r := start(t, testSettings(), ready(4))
		b.traffic.dropped.value = minDroppedRatio
		b.HandleRequest(1000, testRequest(1, uint8(class), 1000))
		first := r.sends[0]
		b.endpoints.byID[first.endpoint].lastAnsweredSentAt = 2000
		b.TimerFired(500_000, r.timers[len(r.timers)-1])
		if n := len(r.sends) - 1; n != hedges {
			t.Errorf("class %d: %d hedges, want %d", class, n, hedges)
			continue
		}
		if hedges == 0 {
			continue
		}
		second := r.sends[1]
		cells := [2]uint16{b.endpoints.byID[first.endpoint].Cell, b.endpoints.byID[second.endpoint].Cell}
		if second.endpoint == first.endpoint || class == 3 && cells[0] != cells[1] {
			t.Errorf("class %d: the hedge went to endpoint %d after the first attempt at %d",
				class, second.endpoint, first.endpoint)
		}
		// The hedge fails, but the first attempt may still be answered, so there must be no final answer yet.
		b.AttemptCompleted(510_000, Outcome{
			ID: 1, Attempt: 1, Endpoint: second.endpoint, Status: Error, Latency: 1000,
		})
		if len(r.rejected)+len(r.failed) != 0 {
			t.Errorf("class %d: final answer while an attempt is pending", class)
		}
		wantCancels := len(r.cancels)
		b.AttemptCompleted(520_000, Outcome{
			ID: 1, Attempt: 0, Endpoint: first.endpoint, Status: OK, Latency: 519_000, Settled: true,
		})
		for i := 2; i < len(r.sends); i++ {
			wantCancels++ // a third attempt is cancelled too
		}
		if len(r.cancels) != wantCancels || b.ledger.open != 0 {
			t.Errorf("class %d: %d attempts cancelled, want %d; %d requests open, want 0",
				class, len(r.cancels), wantCancels, b.ledger.open)
		}
	}
}
