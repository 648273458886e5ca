package balancer

import "testing"

// threeZoneSettings returns settings with three zones, no hedging and five attempts. The tests below simulate failures
// of zones, lists and probes, event by event.
func threeZoneSettings() Settings {
	s := testSettings()
	s.Zones, s.Limits.Hedging, s.Limits.MaxAttempts = 3, false, 5
	s.Classes[2].DedupWindow = 6 * second
	s.Prices.CrossZone = 0.03
	return s
}

// readyInThreeZones returns n ready endpoints, assigned to three zones in turn.
func readyInThreeZones(n int) []Endpoint {
	list := ready(n)
	for i := range list {
		list[i].Zone = uint8(i % 3)
	}
	return list
}

// A balancer starts with an outdated list in which half of the endpoints no longer exist. Every request is answered by
// another endpoint, and the missing ones are soon avoided although no list update reports them as removed.
func TestRequestsAreServedThoughHalfOfListIsGone(t *testing.T) {
	b, r := start(t, threeZoneSettings(), readyInThreeZones(12))
	removed := func(id uint32) bool { return id%2 == 0 }
	served, lateSends := 0, 0
	now := second
	for id := uint64(1); id <= 300; id++ {
		now += 10_000
		done := len(r.sends)
		b.HandleRequest(now, testRequest(id, 0, now))
		for ; done < len(r.sends); done++ { // each send is answered before the next
			to := r.sends[done].endpoint
			o := Outcome{ID: id, Attempt: attemptOf(r, done), Endpoint: to, Status: OK, Latency: 5_000, Settled: true}
			if removed(to) {
				o.Status, o.Settled, o.Latency = ConnectFailed, false, 300
				if id > 150 {
					lateSends++
				}
			} else {
				served++
			}
			b.AttemptCompleted(now+o.Latency, o)
		}
	}
	if served != 300 || len(r.rejected)+len(r.failed) > 0 {
		t.Errorf("%d of 300 requests served, %d rejected, %d failed, want all served",
			served, len(r.rejected), len(r.failed))
	}
	if lateSends > 30 {
		t.Errorf("%d sends of the last 150 requests went to a removed endpoint, want at most 30", lateSends)
	}
}

// attemptOf returns the index of a send among those of its request.
func attemptOf(r *recorder, at int) (n int) {
	for _, s := range r.sends[:at] {
		if s.id == r.sends[at].id {
			n++
		}
	}
	return n
}

// The zone of a request with an idempotency key fails after the first attempt may have run. No other zone drops its
// repeat, so the request fails at once. If the attempt never ran, the request is sent to another zone.
func TestRequestWithKeyIsNotRetriedOutsideFailedZone(t *testing.T) {
	for status, sends := range map[Status]int{Reset: 1, Timeout: 1, Error: 1, ConnectFailed: 2, Full: 2} {
		list := readyInThreeZones(9)
		b, r := start(t, threeZoneSettings(), list)
		b.HandleRequest(second, testRequest(1, 2, second))
		first := r.sends[0].endpoint
		zone := b.endpoints.byID[first].Zone
		var removed []Endpoint
		for _, e := range list {
			if e.Zone == zone {
				e.State = Removed
				removed = append(removed, e)
			}
		}
		b.UpdateEndpoints(second+1000, ListDelta, removed)
		b.AttemptCompleted(second+2000, Outcome{ID: 1, Endpoint: first, Status: status, Latency: 2000})
		if len(r.sends) != sends || len(r.rejected) != 0 || len(r.failed) != 2-sends {
			t.Errorf("status %d: %d sends, %d rejected, %d failed; want %d sends",
				status, len(r.sends), len(r.rejected), len(r.failed), sends)
		}
		if sends == 2 && b.endpoints.byID[r.sends[1].endpoint].Zone == zone {
			t.Errorf("status %d: sent to the failed zone", status)
		}
	}
}

// A reset says little about the endpoint. If the group has no other endpoint, the request is sent there again, but not
// after an error or a timeout. It is never rejected, since a retry by the client would not be safe.
func TestResetRetriesOnlyEndpointOfGroup(t *testing.T) {
	for status, sends := range map[Status]int{Reset: 2, Error: 1, Timeout: 1} {
		b, r := start(t, threeZoneSettings(), readyInThreeZones(3))
		b.HandleRequest(second, testRequest(1, 2, second))
		first := r.sends[0].endpoint
		b.AttemptCompleted(second+2000, Outcome{ID: 1, Endpoint: first, Status: status, Latency: 2000})
		if len(r.sends) != sends || sends == 2 && r.sends[1].endpoint != first || len(r.rejected) > 0 {
			t.Errorf("status %d: sends %v, %d rejected, want %d sends to the same endpoint and no rejection",
				status, r.sends, len(r.rejected), sends)
		}
	}
}

// A quarter of the endpoints become five times as slow while their probes are answered as fast as before. They receive
// far fewer requests until they have recovered.
func TestSlowEndpointsWithHealthyProbesAreAvoided(t *testing.T) {
	s := threeZoneSettings()
	list := readyInThreeZones(8)
	for i := range list {
		list[i].Zone = 0
	}
	b, r := start(t, s, list)
	type due struct {
		id uint64
		to uint32
		at Micros
	}
	var out []due
	inFlight := map[uint32]int{}
	slowSends := func(from, to Micros, slow bool) (sends int) {
		for now := from; now < to; now += 5_000 {
			for _, e := range list { // all probes are answered with the current load
				b.ProbeCompleted(now, e.ID, OK, 300, []float32{float32(inFlight[e.ID])})
			}
			for i := 0; i < len(out); {
				if d := out[i]; d.at <= now {
					out = append(out[:i], out[i+1:]...)
					inFlight[d.to]--
					b.AttemptCompleted(now, Outcome{
						ID: d.id, Endpoint: d.to, Status: OK, Settled: true,
						Latency: 40_000 + 160_000*Micros(indicator(slow && d.to <= 2)),
					})
					continue
				}
				i++
			}
			id := uint64(now)
			done := len(r.sends)
			b.HandleRequest(now, testRequest(id, 0, now))
			for ; done < len(r.sends); done++ {
				e := r.sends[done].endpoint
				inFlight[e]++
				latency := Micros(40_000)
				if e <= 2 {
					sends++
					latency += 160_000 * Micros(indicator(slow))
				}
				out = append(out, due{id, e, now + latency})
			}
		}
		return sends
	}
	const span = 10 * second
	before := slowSends(second, second+span, false)
	during := slowSends(second+span, second+2*span, true)
	slowSends(second+2*span, second+4*span, false)
	after := slowSends(second+4*span, second+5*span, false)
	if during > before/2 || after < before/2 {
		t.Errorf("sends to the slow endpoints: %d before, %d while slow, %d after recovery", before, during, after)
	}
}

// requestInterval is the time between two requests of a timerHost, in µs.
const requestInterval = 10_000

// timerHost runs a balancer on its own timers. serve and probe return the results of requests and probes.
type timerHost struct {
	balancer   *Balancer
	recorder   *recorder
	now        Micros
	armed      []armedTimer
	timersSeen int // timers, sends and probes that were processed
	sendsSeen  int
	probesSeen int
	lastID     uint64

	serve func(now Micros, endpoint uint32) Status
	probe func(now Micros, endpoint uint32) Status
}

type armedTimer struct {
	firesAt Micros
	token   uint32
}

// runActions carries out the balancer's actions until there are none left.
func (h *timerHost) runActions() {
	for h.timersSeen < len(h.recorder.timers) || h.sendsSeen < len(h.recorder.sends) ||
		h.probesSeen < len(h.recorder.probes) {
		for ; h.timersSeen < len(h.recorder.timers); h.timersSeen++ {
			h.armed = append(h.armed, armedTimer{h.now + h.recorder.delays[h.timersSeen], h.recorder.timers[h.timersSeen]})
		}
		for ; h.probesSeen < len(h.recorder.probes); h.probesSeen++ {
			e := h.recorder.probes[h.probesSeen]
			h.balancer.ProbeCompleted(h.now+500, e, h.probe(h.now, e), 500, []float32{0})
		}
		for ; h.sendsSeen < len(h.recorder.sends); h.sendsSeen++ {
			s := h.recorder.sends[h.sendsSeen]
			status := h.serve(h.now, s.endpoint)
			h.balancer.AttemptCompleted(h.now+2000, Outcome{
				ID: s.id, Attempt: attemptOf(h.recorder, h.sendsSeen), Endpoint: s.endpoint, Status: status,
				Latency: 2000, Settled: status == OK,
			})
		}
	}
}

// runUntil advances the time to an instant, with one idempotent request per requestInterval.
func (h *timerHost) runUntil(end Micros) {
	for next := h.now + requestInterval; h.now < end; {
		first := -1
		for i, a := range h.armed {
			if first < 0 || a.firesAt < h.armed[first].firesAt {
				first = i
			}
		}
		if first >= 0 && h.armed[first].firesAt <= next {
			a := h.armed[first]
			h.armed = append(h.armed[:first], h.armed[first+1:]...)
			h.now = max(h.now, a.firesAt)
			h.balancer.TimerFired(h.now, a.token)
		} else {
			h.now, next = next, next+requestInterval
			h.lastID++
			h.balancer.HandleRequest(h.now, testRequest(h.lastID, 0, h.now))
		}
		h.runActions()
	}
}

func alwaysOK(Micros, uint32) Status { return OK }

// The rate of probes follows their price, down to one probe per second. Requests are then served by the outcomes of
// earlier ones.
func TestExpensiveProbesAreRare(t *testing.T) {
	probes := func(price float64) int {
		s := threeZoneSettings()
		s.Prices.Probe = price
		b, r := start(t, s, readyInThreeZones(12))
		h := &timerHost{balancer: b, recorder: r, serve: alwaysOK, probe: alwaysOK}
		h.runUntil(10 * second)
		before := len(r.probes)
		h.runUntil(30 * second)
		if len(r.rejected)+len(r.failed) > 0 {
			t.Errorf("price %v: %d rejected, %d failed of %d", price, len(r.rejected), len(r.failed), h.lastID)
		}
		return len(r.probes) - before
	}
	// 2,000 requests in 20 s: the limit is the ratio of the result that probes may cost, and at least one probe per
	// second. The factor 2 allows for the jitter of the probe rounds.
	for price, maxProbes := range map[float64]int{0.5: 40, 5: 40, 0.05: 2 * 200} {
		if n := probes(price); n > maxProbes {
			t.Errorf("price %v: %d probes for 2,000 requests, want at most %d", price, n, maxProbes)
		}
	}
	if cheap, expensive := probes(0.001), probes(0.5); cheap < 10*expensive {
		t.Errorf("%d probes at a low price, %d at a high one, want at least 10 times as many", cheap, expensive)
	}
}

// An agent that pushes lists stops sending them and is not polled. Endpoints that fail are avoided because connections
// to them fail, and used again once they have recovered, although no list update reports either.
func TestFailedEndpointsAreAvoidedWithoutListUpdates(t *testing.T) {
	s := threeZoneSettings()
	s.PollDiscovery = false
	b, r := start(t, s, readyInThreeZones(12))
	failedAt, recoveredAt := 10*second, 40*second
	h := &timerHost{balancer: b, recorder: r}
	h.serve = func(now Micros, e uint32) Status {
		if e%2 == 0 && now >= failedAt && now < recoveredAt {
			return ConnectFailed
		}
		return OK
	}
	h.probe = h.serve
	h.runUntil(failedAt)
	watches, before := r.watches, len(r.sends)
	h.runUntil(recoveredAt)
	wasted := 0
	for _, x := range r.sends[before:] {
		if x.endpoint%2 == 0 {
			wasted++
		}
	}
	if wastedRatio := float64(wasted) / float64(len(r.sends)-before); wastedRatio > 0.1 {
		t.Errorf("%.2f of all attempts went to failed endpoints, want at most 0.1", wastedRatio)
	}
	before = len(r.sends)
	h.runUntil(recoveredAt + 30*second)
	resumed := 0
	for _, x := range r.sends[before:] {
		if x.endpoint%2 == 0 {
			resumed++
		}
	}
	if resumed < (len(r.sends)-before)/10 {
		t.Errorf("%d of %d attempts went to the recovered endpoints, want at least a tenth",
			resumed, len(r.sends)-before)
	}
	if len(r.rejected)+len(r.failed) > 0 || r.watches != watches {
		t.Errorf("%d requests rejected, %d failed, %d polls, want none",
			len(r.rejected), len(r.failed), r.watches-watches)
	}
}
