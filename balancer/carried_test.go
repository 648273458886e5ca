package balancer

import "testing"

// What carries an attempt out may go elsewhere than it was told. Blame, and the
// group in which a repeat is dropped, go by the endpoint that had the request.
func TestOutcomeIsAttributedToActualEndpoint(t *testing.T) {
	b, r := start(t, testSettings(), ready(4)) // 1 and 2 share a cell, as do 3 and 4
	b.HandleRequest(0, testRequest(1, 3, 0))
	to := r.sends[0].endpoint
	other := (to+1)%4 + 1 // of the other cell
	b.AttemptCompleted(1000, Outcome{ID: 1, Endpoint: other, Status: Error})
	if len(r.sends) != 2 || b.endpoints.byID[r.sends[1].endpoint].Cell != b.endpoints.byID[other].Cell {
		t.Errorf("sends %v after endpoint %d had the request: want the next in its cell", r.sends, other)
	}
	if b.endpoints.byID[other].failures.ratio == 0 || b.endpoints.byID[to].failures.ratio != 0 {
		t.Errorf("failures: %v at the endpoint told, %v at the one that had it", b.endpoints.byID[to].failures.ratio, b.endpoints.byID[other].failures.ratio)
	}
	if n := b.endpoints.byID[to].inFlight; n != 0 && r.sends[1].endpoint != to {
		t.Errorf("%d are counted in flight at an endpoint that has none", n)
	}
	for _, s := range r.sends[1:] {
		b.AttemptCompleted(2000, Outcome{ID: 1, Attempt: 1, Endpoint: s.endpoint, Status: OK, Settled: true})
	}
	for id, e := range b.endpoints.byID {
		if e.inFlight != 0 {
			t.Errorf("endpoint %d: %d in flight at the end", id, e.inFlight)
		}
	}
	// One that no list has named is not believed in: the attempt stays where it was.
	b.HandleRequest(3000, testRequest(2, 0, 3000))
	last := r.sends[len(r.sends)-1]
	b.AttemptCompleted(4000, Outcome{ID: 2, Endpoint: 77, Status: OK, Settled: true})
	if b.endpoints.byID[last.endpoint].inFlight != 0 || b.endpoints.byID[77] != nil {
		t.Error("an unknown endpoint's outcome leaves the attempt in flight")
	}
}

// A request may bring a lower limit of attempts than the deployment's, for a
// carrier that can't carry out another; the limit of the deployment stays.
func TestRequestMaxAttemptsLowersLimit(t *testing.T) {
	for _, c := range []struct{ own, sends int }{{0, 3}, {1, 1}, {2, 2}, {9, 3}} {
		b, r := start(t, testSettings(), ready(4))
		in := testRequest(1, 0, 0)
		in.MaxAttempts = c.own
		b.HandleRequest(0, in)
		for i := 0; i < len(r.sends); i++ {
			b.AttemptCompleted(Micros(i+1)*1000, Outcome{ID: 1, Attempt: i, Endpoint: r.sends[i].endpoint, Status: Error})
		}
		if len(r.sends) != c.sends || len(r.rejected) != 1 {
			t.Errorf("limit %d: %d sends and %d refusals, want %d and 1", c.own, len(r.sends), len(r.rejected), c.sends)
		}
	}
}

// An attempt made before the request was taken binds it as its own first one
// does: to the group, to the window, and to what may be promised.
func TestPreviousAttemptBindsRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  uint8
		age    Micros // of the earlier attempt
		sent   bool
		refuse bool
	}{
		{"safe", 0, 600_000, true, true},
		{"keyed, in the window", 1, 100_000, true, true},
		{"keyed, after the window", 1, 600_000, false, false},
		{"keyed in a zone", 2, 100_000, true, false},
		{"keyed in a cell", 3, 100_000, true, false},
		{"keyed in a cell, after the window", 3, 500_000, false, false},
		{"unsafe", 4, 1, false, false},
	} {
		b, r := start(t, testSettings(), ready(6))
		now := Micros(700_000)
		in := testRequest(1, c.class, now)
		in.MayHaveRun, in.PreviousAttempt = true, PreviousAttempt{At: now - c.age, Zone: 1, Cell: 1}
		b.HandleRequest(now, in)
		if len(r.sends) > 0 != c.sent {
			t.Errorf("%s: %d sends, want one: %v", c.name, len(r.sends), c.sent)
		}
		if c.sent && c.class >= 2 && b.endpoints.byID[r.sends[0].endpoint].Cell != 1 {
			t.Errorf("%s: sent to endpoint %d, which does not know of the first", c.name, r.sends[0].endpoint)
		}
		for i := 0; i < len(r.sends); i++ {
			b.AttemptCompleted(now, Outcome{ID: 1, Attempt: i, Endpoint: r.sends[i].endpoint, Status: Full})
		}
		if len(r.rejected) > 0 != c.refuse || len(r.failed) > 0 == c.refuse {
			t.Errorf("%s: %d refusals and %d failures, want a refusal: %v", c.name, len(r.rejected), len(r.failed), c.refuse)
		}
	}
}

// A carrier that can't send a second copy beside the first is not asked to.
func TestNoHedgingDisablesHedges(t *testing.T) {
	for _, alone := range []bool{false, true} {
		b, r := start(t, testSettings(), ready(4))
		b.traffic.swallowed.value = 1
		in := testRequest(1, 0, 0)
		in.NoHedging = alone
		b.HandleRequest(0, in)
		a := &b.ledger.requests[1].attempts[0]
		a.endpoint.lastAnsweredSentAt = 1 // overtaken by a later one
		b.TimerFired(a.overdueAt, b.ledger.requests[1].timerToken)
		if copied := len(r.sends) > 1; copied == alone {
			t.Errorf("no copies wanted %v: %d sends", alone, len(r.sends))
		}
	}
}
