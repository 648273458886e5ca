package balancer

import "testing"

// The capacity of an endpoint grows during slow start, and the predictions must follow it, also after its slowness was
// learned.
func TestEndpointInSlowStartIsExpectedToBeSlow(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	b.UpdateEndpoints(1000, ListDelta, []Endpoint{{ID: 9, State: Ready, StartTime: 1000}})
	e := b.endpoints.byID[9]
	if got := e.currentSlowness(1000, b); !almostEqual(got, 5) { // capacity ratio 0.2
		t.Errorf("slowness %v at the start, want 5", got)
	}
	e.slowness, e.slownessAt = ewma{value: 2, seen: true}, 6*second
	if got := e.currentSlowness(6*second, b); got < 2.9 || got > 3 { // capacity ratio 0.68
		t.Errorf("slowness %v at 6 s, want 2.9 to 3", got)
	}
	if got := e.currentSlowness(12*second, b); got > 2 {
		t.Errorf("slowness %v after slow start, want at most 2", got)
	}
}

// A balancer with little traffic earns one send to an endpoint in slow start in minutes, so not all balancers may start
// without tokens.
func TestLowTrafficBalancersTogetherServeSlowStart(t *testing.T) {
	allowed, all := 0, 200
	for seed := range all {
		b, err := New(testSettings(), uint64(seed), &recorder{})
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.UpdateEndpoints(0, ListCached, ready(10))
		for i := range Micros(10) {
			b.traffic.sentWork.add(i*second, 80_000) // one request a second
		}
		b.UpdateEndpoints(10*second, ListDelta, []Endpoint{{ID: 11, Weight: 1, StartTime: 10 * second}})
		for i := range Micros(6) {
			b.traffic.sentWork.add((10+i)*second, 80_000)
			b.slowStartAllows((10+i)*second, b.endpoints.byID[11], 80_000)
		}
		if b.slowStartAllows(15*second, b.endpoints.byID[11], 80_000) {
			allowed++
		}
	}
	// In 5 s a warm endpoint gets half a request from each balancer; this one gets 0.2 to 0.6 of 0.7 of that.
	if allowed < 5 || allowed > 60 {
		t.Errorf("%d of %d balancers may send to an endpoint in slow start within 5 s", allowed, all)
	}
}

// In slow start, an endpoint of a kind that is twice as fast gets more work than one of a slow kind, within limits.
func TestSlowStartRateFollowsKind(t *testing.T) {
	b, r := start(t, testSettings(), ready(6))
	for i, e := range b.endpoints.list {
		e.Kind, e.Zone = uint8(i%2), 0
	}
	now := second
	for id := range uint64(200) {
		n := len(r.sends)
		b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 50_000, HasWorkHint: true})
		now += 20_000
		for _, x := range r.sends[n:] {
			b.AttemptCompleted(now, Outcome{
				ID: id, Endpoint: x.endpoint, Status: OK, Latency: 40_000 + 60_000*Micros((x.endpoint-1)%2), Settled: true,
			})
		}
	}
	var got [2]float64
	for kind := range got {
		e := &endpoint{
			Endpoint:  Endpoint{Kind: uint8(kind), State: Ready, Weight: 1},
			slowStart: slowStart{active: true, since: now, refilledAt: now},
		}
		b.endpoints.list = append(b.endpoints.list, e)
		b.slowStartAllows(now+second, e, 50_000)
		got[kind] = e.slowStart.tokens
	}
	if ratio := got[0] / got[1]; ratio < 1.5 || ratio > maxKindRatio*maxKindRatio {
		t.Errorf("tokens of the fast and the slow kind %v: %.2f times as many, want 1.5 to the limit", got, ratio)
	}
}

// In an overloaded fleet, an endpoint that has just started has no queue, since all balancers together send it less
// than its capacity. After slow start it is treated like any other.
func TestEndpointInSlowStartHasNoBaselineQueue(t *testing.T) {
	s := testSettings()
	b, _ := start(t, s, ready(2))
	now := second
	b.estimates.baselineLoad = ewma{value: 7, seen: true}
	b.UpdateEndpoints(now, ListDelta, []Endpoint{{ID: 3, Weight: 1, StartTime: now}})
	warm, starting := b.endpoints.byID[1], b.endpoints.byID[3]
	if got := b.load(warm); got != 7 {
		t.Errorf("load %g of a warm endpoint without report, want the baseline, 7", got)
	}
	if got := b.load(starting); got != assumedCores-1 {
		t.Errorf("load %g of an endpoint in slow start, want %g", got, assumedCores-1)
	}
	late := now + s.Contract.SlowStartTime
	if b.endpoints.advance(late); b.load(starting) != 7 {
		t.Errorf("load %g after slow start, want 7", b.load(starting))
	}
	b.estimates.baselineLoad.value = 0
	if starting.slowStart.active = true; b.load(starting) != 0 {
		t.Errorf("load %g of an endpoint in slow start in an idle fleet, want 0", b.load(starting))
	}
}

// slowStartSends counts the sends to endpoints in slow start, and to ten warm ones on average, in the first second
// after the start under a steady load.
func slowStartSends(t *testing.T, rate int, count int) (starting []int, warm float64) {
	t.Helper()
	s := testSettings()
	list := ready(10)
	b, r := start(t, s, list)
	id, seen := uint64(0), 0
	counts := map[uint32]int{}
	run := func(from, to Micros) {
		for now := from; now < to; now += second / Micros(rate) {
			for e := range uint32(12) {
				b.ProbeCompleted(now, e+1, OK, 500, []float32{0})
			}
			id++
			b.HandleRequest(now, testRequest(id, 0, now))
			for ; seen < len(r.sends); seen++ {
				counts[r.sends[seen].endpoint]++
				b.AttemptCompleted(now, Outcome{ID: r.sends[seen].id, Endpoint: r.sends[seen].endpoint, Status: OK,
					Latency: 30_000, Settled: true})
			}
		}
	}
	run(0, 5*second)
	clear(counts)
	for i := range count {
		b.UpdateEndpoints(5*second, ListDelta, []Endpoint{{ID: uint32(11 + i), State: Ready, StartTime: 5 * second}})
	}
	run(5*second, 6*second)
	for e, n := range counts {
		if e >= 11 {
			starting = append(starting, n)
		} else {
			warm += float64(n) / 10
		}
	}
	return starting, warm
}

func TestSlowStartLimitsEndpointToItsRatio(t *testing.T) {
	for _, test := range []struct{ rate, starting int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		sends, warm := slowStartSends(t, test.rate, test.starting)
		for _, n := range sends {
			// The capacity ratio goes from 0.2 to 0.28 in this second; one request may round up.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("rate %d: an endpoint in slow start got %d sends, a warm one %.1f", test.rate, n, warm)
			}
		}
	}
}

func TestOnlyServerInSlowStartIsSentTo(t *testing.T) {
	b, r := start(t, testSettings(), ready(1)[:1])
	b.UpdateEndpoints(second, ListDelta, []Endpoint{{ID: 1, State: Ready, StartTime: second}})
	for i := range uint64(400) {
		now := second + Micros(i)*10_000
		b.HandleRequest(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && b.ledger.requests[i] != nil {
			b.AttemptCompleted(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 10_000, Settled: true})
		}
	}
	if n := len(r.sends); n < 20 || n > 250 {
		t.Errorf("%d of 400 requests sent to the only endpoint, which is in slow start, want 20 to 250", n)
	}
}
