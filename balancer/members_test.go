package balancer

import (
	"slices"
	"testing"
)

func TestDrainingEndpointReceivesNothing(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.UpdateEndpoints(1000, ListDelta, []Endpoint{{ID: 1, State: Draining}})
	b.UpdateEndpoints(1000, ListFull, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready}})
	for id := range uint64(20) {
		b.HandleRequest(2000, testRequest(id, 0, 2000))
	}
	for _, s := range r.sends {
		if s.endpoint == 1 || s.endpoint == 2 {
			t.Fatalf("a request was sent to endpoint %d, which is draining or removed", s.endpoint)
		}
	}
}

func TestSubscriptionIsRetriedUntilAnswered(t *testing.T) {
	s := testSettings()
	s.PollDiscovery = true
	b, r := start(t, s, ready(2))
	now := Micros(0)
	fire := func() {
		for i, token := range r.timers {
			if token == discoveryTimer {
				now += r.delays[i]
				r.timers, r.delays = nil, nil
				b.TimerFired(now, discoveryTimer)
				return
			}
		}
		t.Fatal("no timer for polling discovery")
	}
	fire()
	for n := 1; n < 8; n++ {
		if r.watches != n {
			t.Fatalf("%d calls of Watch, want %d", r.watches, n)
		}
		before := now
		if n%2 == 0 {
			b.UpdateEndpoints(now, ListFailed, nil)
		} // otherwise the response is lost
		fire()
		if now-before > s.Contract.PollInterval {
			t.Fatalf("polled after %d µs, want at most the poll interval", now-before)
		}
	}
	if len(b.endpoints.list) != 2 {
		t.Error("a failed poll changed the list")
	}
	b.UpdateEndpoints(now, ListDelta, nil)
	n := r.watches
	b.TimerFired(now+100*second, discoveryTimer)
	if r.watches != n {
		t.Error("discovery was polled while subscribed")
	}
}

// A change must be known 6 s after discovery is reachable again, regardless of the poll interval, and the poll itself
// takes time too.
func TestFailedPollIsRetriedWithinFourSeconds(t *testing.T) {
	for _, interval := range []Micros{5 * second, 10 * second, 16 * second, 60 * second} {
		s := testSettings()
		s.PollDiscovery = true
		s.Contract.PollInterval = interval
		b, r := start(t, s, ready(2))
		now := Micros(0)
		for range 20 {
			r.timers, r.delays = nil, nil
			b.UpdateEndpoints(now, ListFailed, nil)
			index := slices.Index(r.timers, discoveryTimer)
			if index < 0 {
				t.Fatal("no timer for polling discovery")
			}
			if delay := r.delays[index]; delay > 4*second {
				t.Errorf("poll interval of %d s: polled after %d µs, want at most 4 s", interval/second, delay)
			}
			now += r.delays[index]
			b.TimerFired(now, discoveryTimer)
		}
	}
}

// A poll that was lost fails at its timeout. The backoff after it once came on top, so that a change was known too late
// after discovery was reachable again: the timeout of 4 s, the backoff and a slow poll of 3 s must fit into 8 s.
func TestPollThatFailsLateIsRetriedSoon(t *testing.T) {
	const timeout = 4 * second
	for _, interval := range []Micros{10 * second, 60 * second} {
		s := testSettings()
		s.PollDiscovery = true
		s.Contract.PollInterval = interval
		b, r := start(t, s, ready(2))
		now := interval / 10 // the first poll is due by then
		delays := map[Micros]bool{}
		for range 20 {
			b.TimerFired(now, discoveryTimer)
			now += timeout
			r.timers, r.delays = nil, nil
			b.UpdateEndpoints(now, ListFailed, nil)
			delay := r.delays[slices.Index(r.timers, discoveryTimer)]
			if delay > second || delay < second/4 {
				t.Errorf("poll interval of %d s: polled %d µs after a late failure, want 0.25 to 1 s", interval/second, delay)
			}
			delays[delay] = true
			now += delay
		}
		if len(delays) < 10 {
			t.Errorf("%d different delays of 20: a fleet would poll in step", len(delays))
		}
	}
}

// Discovery that rejects polls at once, since it has too many callers, gets no more of them than the backoff allows.
func TestRejectedPollsBackOff(t *testing.T) {
	s := testSettings()
	s.PollDiscovery = true
	b, r := start(t, s, ready(2))
	now := s.Contract.PollInterval / 10 // the first poll is due by then
	const polls = 40
	for range polls {
		b.TimerFired(now, discoveryTimer)
		now += second / 20
		r.timers, r.delays = nil, nil
		b.UpdateEndpoints(now, ListFailed, nil)
		now += r.delays[slices.Index(r.timers, discoveryTimer)]
	}
	if now < polls*2*second {
		t.Errorf("%d polls in %d s, want at most one in 2 s", polls, now/second)
	}
}

// A process start time is read from another machine's wall clock, and this machine's clock may be ahead by an hour.
func TestNewEndpointStartsSlowlyWhereTheWallClockIsAhead(t *testing.T) {
	const hour = 3600 * second
	b, _ := start(t, testSettings(), ready(2))
	now := 2 * hour
	b.UpdateEndpoints(now, ListFull, ready(2))
	for i := range 5 {
		now += second
		b.UpdateEndpoints(now, ListDelta, []Endpoint{{ID: 1, Weight: 1, State: State(i % 2)}})
	}
	b.UpdateEndpoints(now, ListDelta, []Endpoint{{ID: 3, Weight: 1, StartTime: now - hour}})
	if e := b.endpoints.byID[3]; !e.inSlowStart(now, b) {
		t.Error("an endpoint that was not listed one second ago is not in slow start")
	}
}
