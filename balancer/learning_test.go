package balancer

import "testing"

// When the whole fleet slows down, an endpoint known as fast must be expected to be slow too, and to be fast again soon
// after the recovery.
func TestFleetWideSlowdownIsLearnedQuickly(t *testing.T) {
	b, r := start(t, testSettings(), ready(4))
	serve := func(from Micros, n int, latencyFactor float64) {
		for i := range n {
			now := from + 1000*Micros(i)
			id := uint64(now)
			b.ProbeCompleted(now, 1, OK, 500, []float32{9}) // so that requests go to the other endpoints
			b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 10_000, HasWorkHint: true})
			if len(r.sends) == 0 || r.sends[len(r.sends)-1].id != id {
				continue // rejected
			}
			latency := Micros(latencyFactor * b.ledger.requests[id].attempts[0].expectedLatency)
			b.AttemptCompleted(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK,
				Latency: latency, Settled: true})
		}
	}
	predictIdle := func(now Micros) float64 {
		b.ProbeCompleted(now, 1, OK, 500, []float32{0})
		b.endpoints.byID[1].slowness, b.endpoints.byID[1].slownessAt = ewma{value: 1, seen: true}, now
		return b.predictLatency(now, b.endpoints.byID[1], 10_000)
	}
	serve(0, 50, 1)
	before := predictIdle(60_000)
	serve(100_000, 15, 4)
	if slow := predictIdle(120_000); slow < 2*before {
		t.Errorf("predicted latency %v before, %v after 15 outcomes of four times the prediction, want at least twice",
			before, slow)
	}
	serve(200_000, 48, 0.5)
	if after := predictIdle(250_000); after > 1.2*before {
		t.Errorf("predicted latency %v before the slowdown, %v after the recovery, want at most 1.2 times",
			before, after)
	}
}

// Hints must have as much effect as they are reliable, or idle endpoints reject requests only because of a large hint.
func TestHintExponentIsLearned(t *testing.T) {
	for _, test := range []struct {
		name     string
		latency  func(hint Micros) Micros
		from, to float64
	}{
		{"hints are noise", func(Micros) Micros { return 20_000 }, 0, 0.15},
		{"hints are exact", func(hint Micros) Micros { return hint }, 0.85, 1},
	} {
		b, r := start(t, testSettings(), ready(4))
		hints := randomSource(3)
		for i := range 4000 {
			now := 10_000 * Micros(i)
			hint := 5_000 + hints.below(60_000)
			b.HandleRequest(now, Request{ID: uint64(i), Deadline: now + second, WorkHint: hint, HasWorkHint: true})
			if n := len(r.sends); n > 0 && r.sends[n-1].id == uint64(i) {
				b.AttemptCompleted(now, Outcome{ID: uint64(i), Endpoint: r.sends[n-1].endpoint, Status: OK,
					Latency: test.latency(hint), Settled: true})
			}
		}
		if b.estimates.hintExponent < test.from || b.estimates.hintExponent > test.to {
			t.Errorf("%s: hint exponent %.2f, want %.2f to %.2f", test.name, b.estimates.hintExponent, test.from, test.to)
		}
	}
}

// In a large fleet a balancer sends to each endpoint only once in many seconds. Within a second of its start, outcomes
// from a few endpoints must determine the estimated slowness of all other endpoints of their kind.
func TestSlownessOfUnusedEndpointsFollowsKind(t *testing.T) {
	s := testSettings()
	s.Balancers, s.Kinds, s.Limits.Probes = 300, 3, false
	list := ready(150)
	for i := range list {
		list[i].Kind, list[i].Zone = uint8(i%3), 0
	}
	b, r := start(t, s, list)
	latencies := [3]Micros{50_000, 80_000, 150_000}
	now := second
	for id := range uint64(12) { // about a second of traffic
		b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 80_000, HasWorkHint: true})
		at := r.sends[len(r.sends)-1].endpoint
		now += 80_000
		b.AttemptCompleted(now, Outcome{ID: id, Endpoint: at, Status: OK, Latency: latencies[(at-1)%3], Settled: true})
	}
	used := map[uint32]bool{}
	for _, x := range r.sends {
		used[x.endpoint] = true
	}
	var slowness [3]float64
	for _, e := range b.endpoints.list {
		if !used[e.ID] {
			slowness[e.Kind] = e.currentSlowness(now, b)
		}
	}
	if slowness[2] < 1.5*slowness[0] || slowness[1] < slowness[0] {
		t.Errorf("slowness by kind %.2f, want it to rise with the service times of 50, 80 and 150 ms", slowness)
	}
	before := len(r.sends)
	for id := range uint64(300) {
		b.HandleRequest(now, Request{ID: 100 + id, Deadline: now + second, WorkHint: 80_000, HasWorkHint: true})
	}
	var slow int
	for _, x := range r.sends[before:] {
		slow += int(indicator(x.endpoint%3 == 0))
	}
	if n := len(r.sends) - before; n < 250 || slow > n/4 {
		t.Errorf("%d of %d requests were sent to the slow kind, want at least 250 requests and at most a quarter",
			slow, n)
	}
}

// A sample from a rarely used endpoint weighs more than one from an endpoint in constant use.
func TestRarelyUsedEndpointIsLearnedFaster(t *testing.T) {
	learned := func(gap Micros) float64 {
		s := testSettings()
		s.Limits.Probes = false
		b, r := start(t, s, ready(1))
		now, id := second, uint64(0)
		answer := func(latency Micros) {
			id++
			b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 50_000, HasWorkHint: true})
			b.AttemptCompleted(now+latency, Outcome{
				ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK, Latency: latency, Settled: true,
			})
			now += latency + gap
		}
		for range 50 {
			answer(50_000)
		}
		before := b.endpoints.list[0].currentSlowness(now, b)
		answer(250_000)
		return b.endpoints.list[0].currentSlowness(now-gap, b) / before
	}
	often, seldom := learned(0), learned(2*slownessLifetime)
	if often > 1.2 || seldom < 1.5 {
		t.Errorf("one answer of five times the latency changed slowness %.2f-fold in constant use and %.2f-fold in rare use",
			often, seldom)
	}
}

// Answers show that the fleet has become busy before the few probes do, so that an endpoint known to be idle is
// preferred. Random variation alone does not make the fleet look busy, and without probes nothing is inferred.
func TestResponsesUpdateBaselineLoad(t *testing.T) {
	simulateResponses := func(probed bool, answers int, slower, noise float64) (baselineLoad float64) {
		b, r := start(t, testSettings(), ready(40))
		for _, e := range b.endpoints.list {
			e.Zone = 0
		}
		if probed {
			b.ProbeCompleted(0, 1, OK, 500, []float32{1})
		}
		rng, now := randomSource(5), second
		for id := range uint64(answers + 100) {
			n := len(r.sends)
			b.HandleRequest(now, Request{ID: id, Deadline: now + 10*second, WorkHint: 50_000, HasWorkHint: true})
			factor := 1 + noise*(2*rng.float()-1)
			if id >= 100 {
				factor *= slower
			}
			for _, x := range r.sends[n:] {
				latency := Micros(50_000 * factor)
				b.AttemptCompleted(now+latency, Outcome{
					ID: id, Endpoint: x.endpoint, Status: OK, Latency: latency, Settled: true,
				})
			}
			now += 200_000
		}
		return b.estimates.baselineLoad.value
	}
	calm, busy := simulateResponses(true, 15, 1, 0), simulateResponses(true, 15, 3, 0)
	if busy < calm+0.75 {
		t.Errorf("baseline load %.2f, and %.2f once answers take three times as long, want a rise of at least 0.75",
			calm, busy)
	}
	if long := simulateResponses(true, 5000, 1, 0.9); long > maxBaselineSample/2 {
		t.Errorf("baseline load %.2f from random variation alone, want at most half of maxBaselineSample", long)
	}
	if none := simulateResponses(false, 15, 3, 0); none != 0 {
		t.Errorf("baseline load %.2f without probes, want 0", none)
	}
}

// The timeout of an attempt that a later one overtook does not change the trend. The endpoint was healthy, and the
// whole fleet would otherwise be predicted to be slow.
func TestOvertakenTimeoutDoesNotChangeTrend(t *testing.T) {
	for name, overtaken := range map[string]bool{"overtaken": true, "not overtaken": false} {
		b, r := start(t, testSettings(), ready(1))
		for id := range uint64(5) {
			b.HandleRequest(1000, testRequest(id, 0, 1000))
		}
		if overtaken {
			b.endpoints.byID[1].lastAnsweredSentAt = 2000
		}
		for _, s := range r.sends {
			b.AttemptCompleted(990_000, Outcome{ID: s.id, Endpoint: 1, Status: Timeout, Latency: 989_000})
		}
		if changed := b.trend.ratio > 1; changed == overtaken {
			t.Errorf("%s: trend ratio %v", name, b.trend.ratio)
		}
	}
}
