package balancer

import (
	"math"
	"slices"
	"testing"
)

func TestStaleReportsDoNotDecide(t *testing.T) {
	s := testSettings()
	b, r := start(t, s, ready(2))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{0})
	now := 1000 + b.maxReportAge(1000, second) + 30*second
	seen := map[uint32]bool{}
	for id := range uint64(20) {
		b.HandleRequest(now, testRequest(id, 0, now))
		b.AttemptCompleted(now, Outcome{
			ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK, Latency: 1000, Settled: true,
		})
		seen[r.sends[len(r.sends)-1].endpoint] = true
	}
	if len(seen) != 2 {
		t.Errorf("requests after a stale report went to %d endpoints, want 2, drawn at random", len(seen))
	}
}

func TestMalformedReportsAreIgnored(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	nan := float32(math.NaN())
	for _, load := range [][]float32{nil, {}, {nan}, {-3}, {float32(math.Inf(1))}} {
		b.ProbeCompleted(1000, 1, OK, 500, load)
		if b.endpoints.list[0].hasLoad {
			t.Errorf("malformed report %v was accepted as a load", load)
		}
	}
	b.ProbeCompleted(1000, 99, OK, 500, []float32{1}) // unknown endpoint
	b.ProbeCompleted(1000, 1, OK, 500, []float32{2, 7, 9})
	if b.load(b.endpoints.list[0]) != 2 {
		t.Errorf("load %v, want the reported 2", b.load(b.endpoints.list[0]))
	}
}

// Reports that count fewer requests than this balancer alone has in flight are late and must not be used.
func TestLateReportsAreDetected(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	for id := range uint64(3) {
		b.HandleRequest(1000, testRequest(id, 0, 1000))
	}
	busy := b.endpoints.byID[r.sends[0].endpoint]
	for i := range Micros(40) {
		busy.probePending = false
		b.sendProbe(12_000+i, busy)
		b.ProbeCompleted(13_000+i, busy.ID, OK, 500, []float32{0})
	}
	if !b.reports.late {
		t.Fatal("late reports were not detected")
	}
	if got := b.load(busy); got < float64(busy.inFlight) {
		t.Errorf("load %v, want at least the %d local requests in flight", got, busy.inFlight)
	}
	for i := range Micros(400) {
		busy.probePending = false
		b.sendProbe(14_000+i, busy)
		b.ProbeCompleted(15_000+i, busy.ID, OK, 500, []float32{5})
	}
	if b.reports.late {
		t.Error("reports are still treated as late after 400 timely ones")
	}
}

// A report of many requests is off by a few per cent. That does not make it late: a busy fleet would otherwise be
// treated as one with late reports, and requests would be sent without reports.
func TestNoisyReportsAreNotLate(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	busy := b.endpoints.list[0]
	busy.inFlight = 30
	for i := range Micros(400) {
		busy.probePending = false
		b.sendProbe(14_000+i, busy)
		b.ProbeCompleted(15_000+i, busy.ID, OK, 500, []float32{[]float32{28, 26, 30, 31}[i%4]}) // 30, up to 13% off
	}
	if b.reports.late {
		t.Errorf("%.0f%% of the reports are treated as late", 100*b.reports.lateRatio.value)
	}
}

// A balancer that rejects all requests must still notice when it may stop.
func TestProbesContinueWhileAllRequestsAreRejected(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeCostRatio // permits one probe per request
	b, _ := start(t, s, ready(4))
	for i := range 1000 {
		b.traffic.demand.add(5000*Micros(i), 1)
	}
	now := 5 * second
	b.traffic.rejected.value = 0
	all := b.probeRate(now)
	for _, test := range []struct{ rejected, want float64 }{{0.5, 0.5}, {0.9, minAdmittedRatio}, {1, minAdmittedRatio}} {
		b.traffic.rejected.value = test.rejected
		if got := b.probeRate(now) / all; math.Abs(got-test.want) > 0.001 {
			t.Errorf("rejected ratio %v: %v of the full probe rate, want %v", test.rejected, got, test.want)
		}
	}
}

// A balancer with little traffic in a large fleet cannot keep a fresh pool. It probes when a request arrives and sends
// the request to the best endpoint that responds, without losing it in the meantime.
func TestLowTrafficBalancerProbesBeforeSending(t *testing.T) {
	newLowTraffic := func() (*Balancer, *recorder) {
		s := testSettings()
		s.Balancers = 1000
		b, r := start(t, s, ready(40))
		if len(r.probes) != 0 {
			t.Errorf("%d probes at the start, want 0", len(r.probes))
		}
		b.TimerFired(second, probeTimer)
		r.probes, r.timers = nil, nil
		b.HandleRequest(2*second, testRequest(1, 0, 2*second))
		if len(r.sends) != 0 || len(r.probes) < 2 {
			t.Fatalf("%d sends and %d probes before any response, want 0 and at least 2", len(r.sends), len(r.probes))
		}
		return b, r
	}
	answer := func(b *Balancer, r *recorder, i int, load float32) {
		b.ProbeCompleted(2*second+1000, r.probes[i], OK, 500, []float32{load})
	}

	b, r := newLowTraffic()
	for i := range r.probes {
		answer(b, r, i, float32(4-i))
	}
	if last := r.probes[len(r.probes)-1]; len(r.sends) != 1 || r.sends[0].endpoint != last {
		t.Errorf("sends %v, want one to endpoint %d, the least loaded of %v", r.sends, last, r.probes)
	}

	b, r = newLowTraffic()
	answer(b, r, 0, 0)
	if len(r.sends) != 1 || r.sends[0].endpoint != r.probes[0] {
		t.Errorf("sends %v, want one to the idle endpoint %d without waiting", r.sends, r.probes[0])
	}

	b, r = newLowTraffic() // no response at all
	b.TimerFired(2*second+50_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("%d sends after the wait for probes, want 1", len(r.sends))
	}

	b, r = newLowTraffic()
	b.ClientDisconnected(2*second+500, 1)
	for i := range r.probes {
		answer(b, r, i, 0)
	}
	b.TimerFired(2*second+50_000, r.timers[len(r.timers)-1])
	if len(r.sends)+len(r.rejected)+len(r.failed) != 0 || len(b.ledger.waitingForProbes) != 0 {
		t.Error("a request whose client has disconnected was sent, answered or still waits for probes")
	}
}

// Reports may be late, or may not count the requests in flight. A probe that was slow because it was queued still
// indicates load.
func TestQueuedProbeIndicatesLoad(t *testing.T) {
	s := testSettings()
	s.Fields = []Field{FieldServed, FieldUtilization}
	b, _ := start(t, s, ready(2))
	e := b.endpoints.byID[1]
	b.ProbeCompleted(1000, 1, OK, 500, []float32{90, 0.5})
	if got := b.load(e); got != 0.5*assumedCores {
		t.Errorf("load %v of an endpoint with utilization 0.5, want half of its cores", got)
	}
	b.ProbeCompleted(2000, 1, OK, 160_500, []float32{90, 0.5})
	if got := b.load(e); got < 2*assumedCores {
		t.Errorf("load %v after a probe queued for the work of two requests, want at least twice the cores", got)
	}
	b.ProbeCompleted(3000, 1, Full, 500, nil)
	if e.reportedAt != 0 {
		t.Error("an endpoint that rejects probes still has a valid report")
	}
}

// Only idle endpoints respond to a probe in time. Under overload the others must count too, or the fleet looks idle.
func TestUnansweredProbesCountAsLoad(t *testing.T) {
	s := testSettings()
	s.Balancers = 1000
	b, r := start(t, s, ready(40))
	b.TimerFired(second, probeTimer)
	for id := range uint64(40) {
		now := 2*second + 100_000*Micros(id)
		r.timers = nil
		b.HandleRequest(now, Request{ID: id, Deadline: now + second})
		b.TimerFired(now+40_000, r.timers[len(r.timers)-1])
	}
	if b.estimates.baselineLoad.value < assumedCores {
		t.Errorf("baseline load %v although no probe is answered", b.estimates.baselineLoad.value)
	}
	if len(r.rejected) == 0 {
		t.Error("no request was rejected although no probe is answered")
	}
}

// Responses from a remote zone arrive too late for a short wait, so probes then stay in the zone.
func TestProbesAvoidRemoteZones(t *testing.T) {
	s := testSettings()
	s.Balancers = 1000
	list := ready(40)
	for i := range list {
		list[i].Zone = uint8(i % 2)
	}
	b, r := start(t, s, list)
	b.estimates.roundTrip[0], b.estimates.roundTrip[1] = ewma{value: 500, seen: true}, ewma{value: 30_000, seen: true}
	b.TimerFired(second, probeTimer)
	for id := range uint64(20) {
		b.HandleRequest(2*second, testRequest(id, 0, 2*second))
	}
	for _, e := range r.probes {
		if b.endpoints.byID[e].Zone != 0 {
			t.Fatalf("endpoint %d, 30 ms away, was probed for a wait of 40 ms", e)
		}
	}
	if len(r.probes) < 10 {
		t.Errorf("%d probes, want at least 10", len(r.probes))
	}
}

// With a pool as long as the list, the cost of each request would grow with the list.
func TestPoolOfReportsIsBounded(t *testing.T) {
	b, _ := start(t, testSettings(), scaleFleet(3*maxCandidates, 0, 0))
	now := second
	for i, e := range slices.Clone(b.endpoints.list) {
		now = second + Micros(i)
		b.ProbeCompleted(now, e.ID, OK, 500, []float32{1})
	}
	if n := len(b.probes.pool); n != maxCandidates {
		t.Fatalf("%d endpoints in the pool, want %d", n, maxCandidates)
	}
	for _, e := range b.probes.pool {
		if now-e.reportedAt >= maxCandidates {
			t.Fatalf("endpoint %d, which reported %d µs ago, is in the pool in place of a later report",
				e.ID, now-e.reportedAt)
		}
	}
}
