package balancer

import (
	"math"
	"testing"
)

func TestPickPrefersMinimumLoadPlusLocalSends(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	b, r := start(t, s, ready(3))
	for i, load := range []float32{4, 0, 9} {
		b.ProbeCompleted(1000, uint32(i+1), OK, 500, []float32{load})
	}
	for id := range uint64(4) {
		b.HandleRequest(2000, testRequest(id, 0, 2000))
	}
	// Endpoint 2 stays least until it holds as many as endpoint 1 reported.
	for i, s := range r.sends {
		if s.endpoint != 2 {
			t.Errorf("send %d went to %d", i, s.endpoint)
		}
	}
	if len(r.sends) != 4 {
		t.Fatalf("%d sends", len(r.sends))
	}
	if got := b.load(b.endpoints.byID[2]); got != 4 {
		t.Errorf("load with own sends: %v", got)
	}
}

// In a large fleet all balancers learn of the same idle endpoint: none may fill it alone.
func TestOneLowReportAttractsNoHerd(t *testing.T) {
	for _, c := range []struct{ balancers, most int }{{1, 5}, {3, 3}, {15, 2}} {
		s := testSettings()
		s.Balancers = c.balancers
		b, r := start(t, s, ready(4))
		for id := range uint32(4) {
			b.ProbeCompleted(1000, id+1, OK, 500, []float32{3 * float32(min(1, id))})
		}
		for id := range uint64(8) {
			b.HandleRequest(2000, Request{ID: id, Deadline: second, WorkHint: 10_000, HasWorkHint: true})
		}
		n := 0
		for _, at := range r.sends {
			if at.endpoint == 1 {
				n++
			}
		}
		if len(r.sends) != 8 || n == 0 || n > c.most {
			t.Errorf("%d balancers: %d of %d sends to the idle endpoint, want 1 to %d",
				c.balancers, n, len(r.sends), c.most)
		}
	}
}

func TestStaleReportsDoNotDecide(t *testing.T) {
	s := testSettings()
	b, r := start(t, s, ready(2))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{0})
	now := 1000 + b.maxReportAge(1000, second) + 30*second
	seen := map[uint32]bool{}
	for id := range uint64(20) {
		b.HandleRequest(now, testRequest(id, 0, now))
		b.AttemptCompleted(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK, Latency: 1000, Settled: true})
		seen[r.sends[len(r.sends)-1].endpoint] = true
	}
	if len(seen) != 2 {
		t.Error("an answer beyond its age still decides: two random draws expected")
	}
}

func TestMalformedReportsAreIgnored(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	nan := float32(math.NaN())
	for _, load := range [][]float32{nil, {}, {nan}, {-3}, {float32(math.Inf(1))}} {
		b.ProbeCompleted(1000, 1, OK, 500, load)
		if b.endpoints.list[0].hasLoad {
			t.Errorf("report %v taken for a load", load)
		}
	}
	b.ProbeCompleted(1000, 99, OK, 500, []float32{1}) // unknown endpoint
	b.ProbeCompleted(1000, 1, OK, 500, []float32{2, 7, 9})
	if b.load(b.endpoints.list[0]) != 2 {
		t.Errorf("load %v", b.load(b.endpoints.list[0]))
	}
}

// Reports that count fewer than this balancer has there itself are late; they
// must not steer picks.
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
		t.Fatal("not found out")
	}
	if got := b.load(busy); got < float64(busy.inFlight) {
		t.Errorf("load %v is under own in-flight %d", got, busy.inFlight)
	}
	for i := range Micros(400) {
		busy.probePending = false
		b.sendProbe(14_000+i, busy)
		b.ProbeCompleted(15_000+i, busy.ID, OK, 500, []float32{5})
	}
	if b.reports.late {
		t.Error("not left again")
	}
}

// A report of many requests is a few per cent off: that does not make it late, or a busy fleet would be
// taken for one that reports late, and be sent to blindly.
func TestNoisyReportsAreNotLate(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	busy := b.endpoints.list[0]
	busy.inFlight = 30
	for i := range Micros(400) {
		busy.probePending = false
		b.sendProbe(14_000+i, busy)
		b.ProbeCompleted(15_000+i, busy.ID, OK, 500, []float32{[]float32{28, 26, 30, 31}[i%4]}) // 30 and up to 13% off
	}
	if b.reports.late {
		t.Errorf("%.0f%% of the reports are taken to be late", 100*b.reports.lateRatio.value)
	}
}

// A wrong guess of a class's work must not refuse that class for ever; but a pass a second at each of a
// thousand quiet balancers would keep a jammed fleet jammed.
func TestLatencyRejectionAdmitsFewTrials(t *testing.T) {
	for _, c := range []struct {
		gap      Micros
		from, to int
	}{{second / 100, 3, 6}, {second, 28, 33}} {
		b, r := start(t, testSettings(), ready(1))
		b.classes[0].work.value = float64(100 * second)
		for i := range uint64(300) {
			now := 10*second + Micros(i)*c.gap
			b.HandleRequest(now, testRequest(i, 0, now))
		}
		if n := len(r.sends); n < c.from || n > c.to {
			t.Errorf("a request every %d us: %d of 300 sent, want %d to %d", c.gap, n, c.from, c.to)
		}
		if len(r.rejected) != 300-len(r.sends) {
			t.Errorf("%d refused, %d sent", len(r.rejected), len(r.sends))
		}
	}
}

func TestFailingEndpointIsAvoidedAndProbedByTrials(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	now := second
	sends := map[uint32]int{}
	id := uint64(0)
	step := func() {
		now += 20_000
		for e := range uint32(3) {
			b.ProbeCompleted(now, e+1, OK, 500, []float32{0})
		}
		id++
		from := len(r.sends)
		b.HandleRequest(now, testRequest(id, 0, now))
		for n := 0; from < len(r.sends); n++ {
			to := r.sends[from].endpoint
			from++
			sends[to]++
			status := OK
			if to == 1 {
				status = Error
			}
			b.AttemptCompleted(now, Outcome{ID: id, Attempt: n, Endpoint: to, Status: status,
				Latency: 30_000 + Micros(id*7919%60_000), Settled: status == OK})
		}
	}
	for range 3000 {
		step()
	}
	if sends[1] > 300 {
		t.Errorf("a fast failing endpoint got %d of 3000", sends[1])
	}
	if sends[1] < 2 {
		t.Errorf("a failing endpoint is never tried again: %d sends", sends[1])
	}
}

// Tenants are held against one another by what was sent of each over its share: one that is ahead gives way
// until the others have caught up, and whoever asks for less than its share never does.
func TestTenantOverQuotaHasLowerWeight(t *testing.T) {
	for name, c := range map[string]struct {
		sends  [3]int // in turn
		allow  [3]float64
		weighs [3]float64
	}{
		"as shares say":      {[3]int{2, 2, 2}, [3]float64{50, 50, 50}, [3]float64{1, 1, 1}},
		"one far ahead":      {[3]int{6, 1, 1}, [3]float64{50, 50, 50}, [3]float64{0.05, 1, 1}},
		"large share":        {[3]int{6, 1, 1}, [3]float64{300, 50, 50}, [3]float64{1, 1, 1}},
		"one asks little":    {[3]int{3, 3, 1}, [3]float64{50, 50, 50}, [3]float64{0.05, 0.05, 1}},
		"no share is stated": {[3]int{6, 1, 1}, [3]float64{0, 0, 0}, [3]float64{1, 1, 1}},
		"nothing sent yet":   {[3]int{}, [3]float64{50, 50, 50}, [3]float64{1, 1, 1}},
	} {
		s := testSettings()
		s.OverQuotaWeightRatio = 0.05
		for _, allow := range c.allow {
			s.Tenants = append(s.Tenants, Tenant{Quota: allow})
		}
		b, _ := start(t, s, ready(2))
		for range 50 {
			for i, n := range c.sends {
				for range n {
					b.tenants[i].add(second, 1)
				}
			}
		}
		for i, want := range c.weighs {
			if got := b.tenantWeight(second, &request{Request: Request{Tenant: uint16(i)}}); math.Abs(got-want) > 0.01 {
				t.Errorf("%s: tenant %d weighs %.2f, want %.2f", name, i, got, want)
			}
		}
		if got := b.tenantWeight(second, &request{Request: Request{Tenant: 9}}); got != 1 {
			t.Errorf("%s: unknown tenant: %v", name, got)
		}
	}
}

// At a start only few endpoints have answered; they must not get everything.
func TestFewReportsDoNotAttractAllTraffic(t *testing.T) {
	b, r := start(t, testSettings(), ready(8))
	b.ProbeCompleted(1000, 3, OK, 500, []float32{0})
	for id := range uint64(24) {
		b.HandleRequest(2000, testRequest(id, 0, 2000))
	}
	seen := map[uint32]int{}
	for _, s := range r.sends {
		seen[s.endpoint]++
	}
	if len(r.sends) != 24 || len(seen) < 4 || seen[3] > 12 {
		t.Errorf("%d sends, by endpoint %v", len(r.sends), seen)
	}
}

// While reports are late, averages decide; they must not refuse what an
// endpoint that they cannot show would serve.
func TestLateReportsAllowFullLatencyObjective(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	r := &request{Request: testRequest(1, 0, 0), work: 50_000}
	b.classes[0].arrivals.add(0, 1)
	before := b.latencyLimit(0, r, b.endpoints.list[0])
	b.reports.late = true
	if after := b.latencyLimit(0, r, b.endpoints.list[0]); after <= before || after != float64(b.settings.Classes[0].LatencyObjective) {
		t.Errorf("limit %v before, %v while late", before, after)
	}
}

// What a cold endpoint can do grows with its warmth, and so must what is
// expected of it, also once its pace has been learned.
func TestEndpointInSlowStartIsExpectedToBeSlow(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	b.UpdateEndpoints(1000, ListDelta, []Endpoint{{ID: 9, State: Ready, StartTime: 1000}})
	e := b.endpoints.byID[9]
	if got := e.currentSlowness(1000, b); !almostEqual(got, 5) { // warmth 0.2
		t.Errorf("pace %v just started", got)
	}
	e.slowness, e.slownessAt = ewma{value: 2, seen: true}, 6*second
	if got := e.currentSlowness(6*second, b); got < 2.9 || got > 3 { // warmth 0.68
		t.Errorf("pace %v half way", got)
	}
	if got := e.currentSlowness(12*second, b); got > 2 {
		t.Errorf("pace %v once warm", got)
	}
}

// When the whole fleet turns slow, an endpoint known as fast must be expected to be slow, too, and
// must be trusted again soon after the recovery.
func TestFleetWideSlowdownIsLearnedQuickly(t *testing.T) {
	b, r := start(t, testSettings(), ready(4))
	serve := func(from Micros, n int, times float64) {
		for i := range n {
			now := from + 1000*Micros(i)
			id := uint64(now)
			b.ProbeCompleted(now, 1, OK, 500, []float32{9}) // the others serve
			b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 10_000, HasWorkHint: true})
			if len(r.sends) == 0 || r.sends[len(r.sends)-1].id != id {
				continue // refused
			}
			latency := Micros(times * b.ledger.requests[id].attempts[0].expectedLatency)
			b.AttemptCompleted(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK,
				Latency: latency, Settled: true})
		}
	}
	one := func(now Micros) float64 {
		b.ProbeCompleted(now, 1, OK, 500, []float32{0})
		b.endpoints.byID[1].slowness, b.endpoints.byID[1].slownessAt = ewma{value: 1, seen: true}, now
		return b.predictLatency(now, b.endpoints.byID[1], 10_000)
	}
	serve(0, 50, 1)
	before := one(60_000)
	serve(100_000, 15, 4)
	if slow := one(120_000); slow < 2*before {
		t.Errorf("expected %v before, %v after 15 outcomes of four times the prediction", before, slow)
	}
	serve(200_000, 48, 0.5)
	if after := one(250_000); after > 1.2*before {
		t.Errorf("expected %v before, %v after the recovery", before, after)
	}
}

// A hint must count for as much as it tells, or idle endpoints refuse what is only said to be large.
func TestHintExponentIsLearned(t *testing.T) {
	for _, c := range []struct {
		name     string
		latency  func(hint Micros) Micros
		from, to float64
	}{
		{"hints tell nothing", func(Micros) Micros { return 20_000 }, 0, 0.15},
		{"hints tell all", func(hint Micros) Micros { return hint }, 0.85, 1},
	} {
		b, r := start(t, testSettings(), ready(4))
		hints := randomSource(3)
		for i := range 4000 {
			now := 10_000 * Micros(i)
			hint := 5_000 + hints.below(60_000)
			b.HandleRequest(now, Request{ID: uint64(i), Deadline: now + second, WorkHint: hint, HasWorkHint: true})
			if n := len(r.sends); n > 0 && r.sends[n-1].id == uint64(i) {
				b.AttemptCompleted(now, Outcome{ID: uint64(i), Endpoint: r.sends[n-1].endpoint, Status: OK,
					Latency: c.latency(hint), Settled: true})
			}
		}
		if b.estimates.hintExponent < c.from || b.estimates.hintExponent > c.to {
			t.Errorf("%s: trust %.2f, want %.2f to %.2f", c.name, b.estimates.hintExponent, c.from, c.to)
		}
	}
}

// A balancer that refuses everything must still learn when it may stop.
func TestProbesContinueWhileAllRequestsAreRejected(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeCostRatio // one probe a request
	b, _ := start(t, s, ready(4))
	for i := range 1000 {
		b.traffic.demand.add(5000*Micros(i), 1)
	}
	now := 5 * second
	b.traffic.rejected.value = 0
	all := b.probeRate(now)
	for _, c := range []struct{ refused, want float64 }{{0.5, 0.5}, {0.9, minAdmittedRatio}, {1, minAdmittedRatio}} {
		b.traffic.rejected.value = c.refused
		if got := b.probeRate(now) / all; math.Abs(got-c.want) > 0.001 {
			t.Errorf("refused %v: %v of the pace, want %v", c.refused, got, c.want)
		}
	}
}

// A quiet balancer in a large fleet cannot keep a fresh pool: it must ask when a request comes, and send to
// the best answer, without losing what it holds.
func TestLowTrafficBalancerProbesBeforeSending(t *testing.T) {
	quiet := func() (*Balancer, *recorder) {
		s := testSettings()
		s.Balancers = 1000
		b, r := start(t, s, ready(40))
		if len(r.probes) != 0 {
			t.Errorf("%d probes at the start", len(r.probes))
		}
		b.TimerFired(second, probeTimer)
		r.probes, r.timers = nil, nil
		b.HandleRequest(2*second, testRequest(1, 0, 2*second))
		if len(r.sends) != 0 || len(r.probes) < 2 {
			t.Fatalf("%d sends and %d probes before any answer", len(r.sends), len(r.probes))
		}
		return b, r
	}
	answer := func(b *Balancer, r *recorder, i int, load float32) {
		b.ProbeCompleted(2*second+1000, r.probes[i], OK, 500, []float32{load})
	}

	b, r := quiet()
	for i := range r.probes {
		answer(b, r, i, float32(4-i))
	}
	if last := r.probes[len(r.probes)-1]; len(r.sends) != 1 || r.sends[0].endpoint != last {
		t.Errorf("sends %v, want one to %d, the least loaded of %v", r.sends, last, r.probes)
	}

	b, r = quiet()
	answer(b, r, 0, 0)
	if len(r.sends) != 1 || r.sends[0].endpoint != r.probes[0] {
		t.Errorf("sends %v, want one to the idle endpoint %d at once", r.sends, r.probes[0])
	}

	b, r = quiet() // no answer at all
	b.TimerFired(2*second+50_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("%d sends after the wait for probes", len(r.sends))
	}

	b, r = quiet()
	b.ClientDisconnected(2*second+500, 1)
	for i := range r.probes {
		answer(b, r, i, 0)
	}
	b.TimerFired(2*second+50_000, r.timers[len(r.timers)-1])
	if len(r.sends)+len(r.rejected)+len(r.failed) != 0 || len(b.ledger.waitingForProbes) != 0 {
		t.Error("a request that its client left is still acted on")
	}
}

// Where reports are old or hold no count, a probe that waited in line still shows that there is one.
func TestQueuedProbeIndicatesLoad(t *testing.T) {
	s := testSettings()
	s.Fields = []Field{FieldServed, FieldUtil}
	b, _ := start(t, s, ready(2))
	e := b.endpoints.byID[1]
	b.ProbeCompleted(1000, 1, OK, 500, []float32{90, 0.5})
	if got := b.load(e); got != 0.5*assumedCores {
		t.Errorf("load %v of a half busy endpoint", got)
	}
	b.ProbeCompleted(2000, 1, OK, 160_500, []float32{90, 0.5})
	if got := b.load(e); got < 2*assumedCores {
		t.Errorf("load %v, though the probe waited for two requests' work", got)
	}
	b.ProbeCompleted(3000, 1, Full, 500, nil)
	if e.reportedAt != 0 {
		t.Error("an endpoint that turns probes away keeps its place in the pool")
	}
}

// Only idle endpoints answer a probe in time. In a jam the silent ones must count, or the fleet looks idle.
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
		t.Errorf("usual load %v though no probe is answered", b.estimates.baselineLoad.value)
	}
	if len(r.rejected) == 0 {
		t.Error("nothing refused though no probe is answered")
	}
}

// A few long answers must not make an endpoint refuse where nobody waits.
func TestIdleEndpointIsNotRejected(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.endpoints.list[0].slowness, b.endpoints.list[0].slownessAt = ewma{value: 9, seen: true}, 1000
	b.ProbeCompleted(1000, 1, OK, 500, []float32{0})
	b.HandleRequest(2000, testRequest(1, 0, 2000))
	if len(r.sends) != 1 {
		t.Errorf("%d sends to an idle endpoint thought slow", len(r.sends))
	}
}

// Requests passed into a jam keep it jammed: each that earns nothing makes the next rarer.
func TestFailedTrialsBecomeRarer(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.classes[0].work.value = float64(100 * second)
	b.trend.ratio = maxTrend
	passed := [2]int{}
	for i := range uint64(400) {
		now := 10*second + Micros(i)*second
		b.HandleRequest(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && r.sends[n-1].id == i {
			passed[i/200]++
			b.AttemptCompleted(now+second, Outcome{ID: i, Endpoint: 1, Status: Timeout, Latency: second})
		}
	}
	if passed[0] < 3 || passed[0] > 8 || passed[1] > 2 {
		t.Errorf("%d of the first 200 passed and %d of the next", passed[0], passed[1])
	}
	b.traffic.trialInterval = maxTrialInterval
	r.sends = nil
	b.trend.ratio, b.classes[0].work.value = 1, 1000
	b.HandleRequest(500*second, testRequest(1000, 0, 500*second))
	b.AttemptCompleted(501*second, Outcome{ID: 1000, Endpoint: 1, Status: OK, Latency: 1000, Settled: true})
	b.HandleRequest(502*second, testRequest(1001, 0, 502*second))
	b.AttemptCompleted(502*second+1000, Outcome{ID: 1001, Endpoint: 1, Status: OK, Latency: 1000, Settled: true})
	if b.traffic.trialInterval != minTrialInterval {
		t.Errorf("one of %d passes after an answer in time", b.traffic.trialInterval)
	}
}

// Random tries must not use up a short list, nor a list without shares.
func TestRandomDrawFindsAnyEndpoint(t *testing.T) {
	for n := range 12 {
		list := ready(n)
		for i := range list {
			list[i].Weight = float32(i % 2)
		}
		b, _ := start(t, testSettings(), list)
		for range 50 {
			if e := b.drawRandom(1000, &request{Request: testRequest(1, 0, 1000)}, nil, 0); (e == nil) != (n == 0) {
				t.Fatalf("%d endpoints: drew %v", n, e)
			}
		}
	}
}

// Answers from afar come too late for a short wait: probes stay at home then.
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
			t.Fatalf("probe of endpoint %d, 30 ms away, for a wait of 40 ms", e)
		}
	}
	if len(r.probes) < 10 {
		t.Errorf("%d probes", len(r.probes))
	}
}

// A quiet balancer earns one send to a cold endpoint in minutes: all must not start from nothing.
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
	// In 5 s a warm endpoint gets half a request of each; this one 0.2 to 0.6 of seven tenths of that.
	if allowed < 5 || allowed > 60 {
		t.Errorf("%d of %d quiet balancers may send to a cold endpoint within 5 s", allowed, all)
	}
}

// A sidecar of a large fleet meets an endpoint once in many seconds: what it has learned of some machines tells
// how fast the others of their kind are, within a second of its start.
func TestSlownessOfUnusedEndpointsFollowsKind(t *testing.T) {
	s := testSettings()
	s.Balancers, s.Kinds, s.Limits.Probes = 300, 3, false
	list := ready(150)
	for i := range list {
		list[i].Kind, list[i].Zone = uint8(i%3), 0
	}
	b, r := start(t, s, list)
	alone := [3]Micros{50_000, 80_000, 150_000}
	now := second
	for id := range uint64(12) { // a second of its traffic
		b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 80_000, HasWorkHint: true})
		at := r.sends[len(r.sends)-1].endpoint
		now += 80_000
		b.AttemptCompleted(now, Outcome{ID: id, Endpoint: at, Status: OK, Latency: alone[(at-1)%3], Settled: true})
	}
	met := map[uint32]bool{}
	for _, x := range r.sends {
		met[x.endpoint] = true
	}
	var pace [3]float64
	for _, e := range b.endpoints.list {
		if !met[e.ID] {
			pace[e.Kind] = e.currentSlowness(now, b)
		}
	}
	if pace[2] < 1.5*pace[0] || pace[1] < pace[0] {
		t.Errorf("paces of kinds %.2f, of machines that take 50, 80 and 150 ms", pace)
	}
	was := len(r.sends)
	for id := range uint64(300) {
		b.HandleRequest(now, Request{ID: 100 + id, Deadline: now + second, WorkHint: 80_000, HasWorkHint: true})
	}
	var slow int
	for _, x := range r.sends[was:] {
		slow += int(indicator(x.endpoint%3 == 0))
	}
	if n := len(r.sends) - was; n < 250 || slow > n/4 {
		t.Errorf("%d of %d sends went to the slow kind", slow, n)
	}
}

// What is met once in many seconds is learned by what it then shows, and what is met all the time by its mean.
func TestRarelyUsedEndpointIsLearnedFaster(t *testing.T) {
	learned := func(gap Micros) float64 {
		s := testSettings()
		s.Limits.Probes = false
		b, r := start(t, s, ready(1))
		now, id := second, uint64(0)
		answer := func(latency Micros) {
			id++
			b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 50_000, HasWorkHint: true})
			b.AttemptCompleted(now+latency, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK, Latency: latency, Settled: true})
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
		t.Errorf("after one answer that took five times as long the pace is %.2f times what it was, and %.2f of one seldom met", often, seldom)
	}
}

// A cold endpoint of a kind that is twice as fast gets more than one of a slow kind, within bounds.
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
			b.AttemptCompleted(now, Outcome{ID: id, Endpoint: x.endpoint, Status: OK, Latency: 40_000 + 60_000*Micros((x.endpoint-1)%2), Settled: true})
		}
	}
	var got [2]float64
	for kind := range got {
		e := &endpoint{Endpoint: Endpoint{Kind: uint8(kind), State: Ready, Weight: 1}, slowStart: slowStart{active: true, since: now, refilledAt: now}}
		b.endpoints.list = append(b.endpoints.list, e)
		b.slowStartAllows(now+second, e, 50_000)
		got[kind] = e.slowStart.tokens
	}
	if ratio := got[0] / got[1]; ratio < 1.5 || ratio > maxKindRatio*maxKindRatio {
		t.Errorf("a fast and a slow kind get %v, %.2f times as much", got, ratio)
	}
}

// Answers tell that the fleet has become busy before the few probes do, so that an endpoint known to be idle is
// preferred; noise alone does not make it look busy, however long it goes on, and without probes nothing is told.
func TestResponsesUpdateBaselineLoad(t *testing.T) {
	play := func(probed bool, answers int, slower, noise float64) (usual float64) {
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
				took := Micros(50_000 * factor)
				b.AttemptCompleted(now+took, Outcome{ID: id, Endpoint: x.endpoint, Status: OK, Latency: took, Settled: true})
			}
			now += 200_000
		}
		return b.estimates.baselineLoad.value
	}
	calm, busy := play(true, 15, 1, 0), play(true, 15, 3, 0)
	if busy < calm+0.75 {
		t.Errorf("others usually hold %.2f, and %.2f once answers take three times as long", calm, busy)
	}
	if long := play(true, 5000, 1, 0.9); long > maxBaselineSample/2 {
		t.Errorf("by noise alone others come to hold %.2f", long)
	}
	if none := play(false, 15, 3, 0); none != 0 {
		t.Errorf("without probes others hold %.2f", none)
	}
}

// Where opening a connection costs, what was sent to of late goes first while that is idle and its connection
// stands; one that is busy, or was left alone for too long, has no such favour, and none of it outweighs a queue.
func TestIdleConnectionsArePreferred(t *testing.T) {
	for _, c := range []struct {
		name   string
		keep   Micros // of idle connections
		gap    Micros // between requests
		answer bool   // before the next request
		most   int    // endpoints used by 30 requests
		least  int
	}{
		{"kept", 5 * second, 100_000, true, 3, 1},
		{"not known for how long", 0, 100_000, true, 40, 13},
		{"closed meanwhile", 5 * second, 4 * second, true, 40, 8},
		{"busy", 5 * second, 100, false, 40, 20},
	} {
		s := testSettings()
		s.Limits.Probes, s.Limits.KeepAlive = false, c.keep
		b, r := start(t, s, ready(40))
		for _, e := range b.endpoints.list {
			e.Zone = 0
		}
		now, used := second, map[uint32]bool{}
		for id := range uint64(30) {
			b.HandleRequest(now, Request{ID: id, Deadline: now + 2*second, WorkHint: 50_000, HasWorkHint: true})
			at := r.sends[len(r.sends)-1].endpoint
			used[at] = true
			if c.answer {
				b.AttemptCompleted(now+50_000, Outcome{ID: id, Endpoint: at, Status: OK, Latency: 50_000, Settled: true})
			}
			now += c.gap
		}
		if n := len(used); n > c.most || n < c.least {
			t.Errorf("%s: %d endpoints used, want %d to %d", c.name, n, c.least, c.most)
		}
	}
}

// The favour is a part of the aim and the round trips of a connection's start, for as long as one may stand idle.
func TestCostOfOpeningConnection(t *testing.T) {
	s := testSettings()
	s.Limits.KeepAlive = 5 * second
	b, _ := start(t, s, ready(2))
	b.estimates.roundTrip[0] = ewma{value: 1000, seen: true}
	r := &request{Request: Request{Deadline: 10 * second}, work: 50_000}
	now := second
	b.endpoints.list[0].lastResponseAt = now
	extra := func(now Micros) float64 {
		return b.cost(now, r, b.endpoints.list[1]) - b.cost(now, r, b.endpoints.list[0])
	}
	if got, want := extra(now), connectRoundTrips*1000+connectCostRatio*float64(s.Classes[0].LatencyObjective); math.Abs(got-want) > 1 {
		t.Errorf("opening costs %.0f us, want %.0f", got, want)
	}
	if got := extra(now + 4*second); got != 0 {
		t.Errorf("after 4 s, when it may be closed, %.0f", got)
	}
	b.endpoints.list[0].inFlight = 1
	if got := extra(now); got >= connectCostRatio*float64(s.Classes[0].LatencyObjective) {
		t.Errorf("while it is busy %.0f", got)
	}
}

// What was sent to of late and is gone, draining or failing is not sent to for its connection's sake.
func TestRecentlyUsedEndpointsThatWereRemoved(t *testing.T) {
	s := testSettings()
	s.Limits.Probes, s.Limits.KeepAlive = false, 5*second
	b, r := start(t, s, ready(6))
	now := second
	ask := func(id uint64, status Status) uint32 {
		n := len(r.sends)
		b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 50_000, HasWorkHint: true})
		now += 50_000
		if len(r.sends) == n {
			return 0
		}
		b.AttemptCompleted(now, Outcome{ID: id, Endpoint: r.sends[n].endpoint, Status: status, Latency: 50_000, Settled: true})
		return r.sends[n].endpoint
	}
	met := map[uint32]bool{}
	for id := range uint64(40) {
		met[ask(id, OK)] = true
	}
	var list []Endpoint
	for _, e := range ready(6) {
		if !met[e.ID] || len(list) < 2 {
			list = append(list, e)
		}
	}
	list[0].State = Draining
	b.UpdateEndpoints(now, ListFull, list)
	for id := range uint64(40) {
		if at := ask(100+id, OK); at == list[0].ID || at != 0 && b.endpoints.byID[at] == nil {
			t.Fatalf("sent to %d, which drains or is gone", at)
		}
	}
}

// Where the fleet is crowded, an endpoint that has just started is not: all hold what they send it under what it
// can do. It is taken where it is expected sooner, and once it is warm it counts like any other.
func TestEndpointInSlowStartHasNoBaselineQueue(t *testing.T) {
	s := testSettings()
	b, _ := start(t, s, ready(2))
	now := second
	b.estimates.baselineLoad = ewma{value: 7, seen: true}
	b.UpdateEndpoints(now, ListDelta, []Endpoint{{ID: 3, Weight: 1, StartTime: now}})
	warm, cold := b.endpoints.byID[1], b.endpoints.byID[3]
	if got := b.load(warm); got != 7 {
		t.Errorf("%g are taken to be held at a warm endpoint that said nothing, want what is usual, 7", got)
	}
	if got := b.load(cold); got != assumedCores-1 {
		t.Errorf("%g are taken to be held at a cold endpoint, want %g", got, assumedCores-1)
	}
	late := now + s.Contract.SlowStartTime
	if b.slowStartAllows(late, cold, 1); b.load(cold) != 7 {
		t.Errorf("%g at one that is warm by now, want 7", b.load(cold))
	}
	b.estimates.baselineLoad.value = 0
	if cold.slowStart.active = true; b.load(cold) != 0 {
		t.Errorf("%g at a cold endpoint where nobody waits anywhere, want 0", b.load(cold))
	}
}
