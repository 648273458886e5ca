package sockets

import (
	"net"
	"testing"
)

func TestFleetCountsRunsAndDuplicates(t *testing.T) {
	f := newTestFleet(t)
	s := startServer(t, f, ServerSpec{Config: smallMachine()})
	for range 3 {
		requireStatus(t, s, testRequest{class: "pay", id: "1", key: "k"}, 200)
	}
	if ran, dropped := f.Counts(); ran != 1 || dropped != 2 {
		t.Errorf("ran %d, dropped %d, want 1 and 2", ran, dropped)
	}
	if got := f.EffectCounts()["k"]; got != 1 {
		t.Errorf("the effect happened %d times, want once", got)
	}
}

func TestClosedFleetRefusesConnections(t *testing.T) {
	f := newTestFleet(t)
	s := startServer(t, f, ServerSpec{Config: smallMachine()})
	f.Close()
	if conn, err := net.Dial("tcp", s.Addresses[0]); err == nil {
		conn.Close()
		t.Error("a closed fleet accepts a connection")
	}
	if _, ok := s.Probe(); ok {
		t.Error("a closed server answers a load probe")
	}
}

func TestUnnamedClassServesUnknownClasses(t *testing.T) {
	f := New(Options{Classes: []Class{{Work: ms}}})
	t.Cleanup(f.Close)
	s := startServer(t, f, ServerSpec{Config: smallMachine()})
	requireStatus(t, s, testRequest{class: "any", id: "1"}, 200)
}

func TestStartFailsOnTakenAddress(t *testing.T) {
	f := newTestFleet(t)
	s := startServer(t, f, ServerSpec{Config: smallMachine()})
	second, err := f.Start(ServerSpec{Name: "t", Config: smallMachine(), Listen: s.Addresses[0]})
	if err == nil {
		second.Close()
		t.Error("a second server starts on an address that is in use")
	}
}

func TestWorkOfRequestFollowsItsID(t *testing.T) {
	f := New(Options{Seed: 1, Classes: []Class{{Name: "read", Work: 10 * ms, CV: 0.5}}})
	first, other := f.work(0, "a"), f.work(0, "b")
	if repeated := f.work(0, "a"); repeated != first {
		t.Errorf("two draws for the same request ID give work %v and %v", first, repeated)
	}
	if first == other {
		t.Errorf("requests with different IDs have the same work %v", first)
	}
	fixed := New(Options{Classes: []Class{{Work: 10 * ms}}})
	if got := fixed.work(0, "a"); got != 10*ms {
		t.Errorf("work %v without variation, want 10ms", got)
	}
}
