package model

import (
	"fmt"
	"testing"
	"time"
)

// A warming server, which starts at 31% of its capacity, collapses at a load of more than 2.5 times its current
// capacity for 1 s, and not below.
func TestWarmingServerCollapsesAtOverload(t *testing.T) {
	const capacity = 2.0 // of a warm server
	for _, test := range []struct {
		start        time.Duration // of the load, since the server's start
		load         float64       // as a multiple of the server's capacity at that moment
		wantCollapse bool
	}{
		{0, 2.3, false},
		{0, 2.7, true},
		{4300 * ms, 2.3, false},
		{4300 * ms, 2.7, true},
		{9 * time.Second, 20, false},
	} {
		t.Run(fmt.Sprintf("%v at %v", test.load, test.start), func(t *testing.T) {
			config := smallMachine()
			config.QueuePerCore = 1000
			s := newTestServer(config, true)
			const requests = 1000 // small requests, evenly spread over one overload window
			total := test.load * capacity * s.Warmth(test.start+time.Second) * float64(time.Second)
			for i := range requests {
				at := test.start + time.Duration(i)*time.Second/requests
				s.Arrive(at, Request{Number: uint64(i), Work: time.Duration(total / requests)})
			}
			if s.Down() != test.wantCollapse {
				t.Errorf("down %v, want %v", s.Down(), test.wantCollapse)
			}
			if !test.wantCollapse {
				return
			}
			later := countOutcomes(s.Arrive(time.Hour, Request{Number: 9999, Work: ms}))
			if later[ConnectionFailed] != 1 {
				t.Errorf("counts by outcome %v an hour later, want one failed connection: the server stays down", later)
			}
			collapsedAt := s.CollapsedAt()
			if collapsedAt < test.start+900*ms || collapsedAt > test.start+time.Second {
				t.Errorf("the server collapsed %v after the start of the load, want 900 ms to 1 s",
					collapsedAt-test.start)
			}
		})
	}
}

func TestWarmingServerCollapsesAtBurst(t *testing.T) {
	s := newTestServer(smallMachine(), true)
	s.Arrive(0, Request{Number: 1, Work: 2 * time.Second})
	if !s.Down() {
		t.Error("a burst of 2 s of work did not collapse a server that does 0.62 s of work in a second")
	}
}

func TestHandshakesAndProbesCollapseWarmingServer(t *testing.T) {
	config := smallMachine()
	config.HandshakeWork, config.ProbeWork = 100*ms, 100*ms
	s := newTestServer(config, true)
	for range 10 {
		s.Connect(0)
		s.Probe(0)
	}
	if !s.Down() {
		t.Error("the handshakes and probes did not collapse the server")
	}
}
