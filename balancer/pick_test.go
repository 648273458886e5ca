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
	// Endpoint 2 has the lowest load until its in-flight count reaches the number that endpoint 1 reported.
	for i, s := range r.sends {
		if s.endpoint != 2 {
			t.Errorf("send %d went to endpoint %d, want 2", i, s.endpoint)
		}
	}
	if len(r.sends) != 4 {
		t.Fatalf("%d sends, want 4", len(r.sends))
	}
	if got := b.load(b.endpoints.byID[2]); got != 4 {
		t.Errorf("load of endpoint 2 including local sends is %v, want 4", got)
	}
}

// In a large fleet all balancers receive the report of the same idle endpoint, so each may send it only a
// few requests because of that report.
func TestOneLowReportAttractsNoHerd(t *testing.T) {
	for _, test := range []struct{ balancers, maxSends int }{{1, 5}, {3, 3}, {15, 2}} {
		s := testSettings()
		s.Balancers = test.balancers
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
		if len(r.sends) != 8 || n == 0 || n > test.maxSends {
			t.Errorf("%d balancers: %d of %d sends to the idle endpoint, want 1 to %d",
				test.balancers, n, len(r.sends), test.maxSends)
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
		t.Errorf("a failing endpoint got %d sends of 3000 requests, want at most 300", sends[1])
	}
	if sends[1] < 2 {
		t.Errorf("a failing endpoint got %d sends, want at least 2, so that its recovery is noticed", sends[1])
	}
}

// After a start only few endpoints have reported, and they must not attract all traffic.
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
		t.Errorf("%d sends, by endpoint %v, want 24 spread over at least 4, of which at most 12 to endpoint 3",
			len(r.sends), seen)
	}
}

// Random draws must find an endpoint also in a short list or if weights are 0.
func TestRandomDrawFindsAnyEndpoint(t *testing.T) {
	for n := range 12 {
		list := ready(n)
		for i := range list {
			list[i].Weight = float32(i % 2)
		}
		b, _ := start(t, testSettings(), list)
		for range 50 {
			if e := b.drawRandom(1000, &request{Request: testRequest(1, 0, 1000)}, nil, 0); (e == nil) != (n == 0) {
				t.Fatalf("%d endpoints: drawRandom returned %v, want nil only without endpoints", n, e)
			}
		}
	}
}

// If opening a connection has a cost, recently used endpoints are preferred while they are idle and their connection is
// open. An endpoint that is busy or has no recent requests is not preferred, and a queue outweighs the preference.
func TestIdleConnectionsArePreferred(t *testing.T) {
	for _, test := range []struct {
		name         string
		keepAlive    Micros // of idle connections
		gap          Micros // between requests
		answer       bool   // before the next request
		maxEndpoints int    // endpoints used by 30 requests
		minEndpoints int
	}{
		{"open", 5 * second, 100_000, true, 3, 1},
		{"not known for how long", 0, 100_000, true, 40, 13},
		{"closed meanwhile", 5 * second, 4 * second, true, 40, 8},
		{"busy", 5 * second, 100, false, 40, 20},
	} {
		s := testSettings()
		s.Limits.Probes, s.Limits.KeepAlive = false, test.keepAlive
		b, r := start(t, s, ready(40))
		for _, e := range b.endpoints.list {
			e.Zone = 0
		}
		now, used := second, map[uint32]bool{}
		for id := range uint64(30) {
			b.HandleRequest(now, Request{ID: id, Deadline: now + 2*second, WorkHint: 50_000, HasWorkHint: true})
			at := r.sends[len(r.sends)-1].endpoint
			used[at] = true
			if test.answer {
				b.AttemptCompleted(now+50_000, Outcome{ID: id, Endpoint: at, Status: OK, Latency: 50_000, Settled: true})
			}
			now += test.gap
		}
		if n := len(used); n > test.maxEndpoints || n < test.minEndpoints {
			t.Errorf("%s: %d endpoints used, want %d to %d", test.name, n, test.minEndpoints, test.maxEndpoints)
		}
	}
}

// Opening a connection costs a ratio of the latency objective and some round trips.
func TestIdleConnectionSavesCostOfOpening(t *testing.T) {
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
	want := connectRoundTrips*1000 + connectCostRatio*float64(s.Classes[0].LatencyObjective)
	if got := extra(now); math.Abs(got-want) > 1 {
		t.Errorf("opening a connection costs %.0f µs, want %.0f", got, want)
	}
	if got := extra(now + 4*second); got != 0 {
		t.Errorf("extra cost of a new connection is %.0f µs after 4 s, when the idle one may be closed, want 0", got)
	}
	b.endpoints.list[0].inFlight = 1
	if got := extra(now); got >= connectCostRatio*float64(s.Classes[0].LatencyObjective) {
		t.Errorf("extra cost of a new connection is %.0f µs while the other endpoint is busy", got)
	}
}

// A recently used endpoint that is draining or removed is not preferred for its open connection.
func TestRemovedEndpointIsNotUsedForItsConnection(t *testing.T) {
	s := testSettings()
	s.Limits.Probes, s.Limits.KeepAlive = false, 5*second
	b, r := start(t, s, ready(6))
	now := second
	request := func(id uint64, status Status) uint32 {
		n := len(r.sends)
		b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 50_000, HasWorkHint: true})
		now += 50_000
		if len(r.sends) == n {
			return 0
		}
		b.AttemptCompleted(now, Outcome{
			ID: id, Endpoint: r.sends[n].endpoint, Status: status, Latency: 50_000, Settled: true,
		})
		return r.sends[n].endpoint
	}
	used := map[uint32]bool{}
	for id := range uint64(40) {
		used[request(id, OK)] = true
	}
	var list []Endpoint
	for _, e := range ready(6) {
		if !used[e.ID] || len(list) < 2 {
			list = append(list, e)
		}
	}
	list[0].State = Draining
	b.UpdateEndpoints(now, ListFull, list)
	for id := range uint64(40) {
		if at := request(100+id, OK); at == list[0].ID || at != 0 && b.endpoints.byID[at] == nil {
			t.Fatalf("a request was sent to endpoint %d, which is draining or removed", at)
		}
	}
}
