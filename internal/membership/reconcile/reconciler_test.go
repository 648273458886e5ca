package reconcile

import (
	"testing"
	"time"

	"pinedale/balancer"
)

// A vanished node takes its endpoint out at once. One that returns in the same
// incarnation keeps its history: meanwhile it was listed as draining, not as removed.
func TestVanishedNodeDrainsThenIsRemoved(t *testing.T) {
	h := newHarness(t, Ephemeral)
	h.snapshot(0, 1, entries("a", "b"))
	h.wantReady("at first", "a b")
	h.delta(0, 2, change("a", balancer.Removed))
	h.wantReady("vanished", "b")
	if h.hosts["a"].State != balancer.Draining {
		t.Errorf("it is listed as %v, want draining", h.hosts["a"].State)
	}
	h.delta(0, 3, change("a", balancer.Ready))
	h.wantReady("returned", "a b")
	h.delta(0, 4, change("a", balancer.Removed))
	h.advance(removalLinger + time.Second)
	if _, listed := h.hosts["a"]; listed || len(h.reconciler.pending)+len(h.reconciler.sources[0].claims) != 1 {
		t.Errorf("a minute later it is still listed, or known: %v", h.hosts)
	}
}

// A session may expire while its server runs: the end counts at once, and the server is
// believed again once discovery, which cannot be so late, lists it.
func TestExpiredSessionIsOverruledByDiscovery(t *testing.T) {
	for _, drained := range []bool{false, true} {
		h := newHarness(t, Ephemeral, Discovery)
		h.snapshot(0, 1, entries("a", "b"))
		h.snapshot(1, 1, entries("a", "b"))
		h.wantReady("at first", "a b")
		if drained {
			h.delta(0, 2, change("a", balancer.Draining))
		}
		h.delta(0, 2, change("a", balancer.Removed))
		h.wantReady("expired", "b")
		h.advance(DefaultConfig.MaxDiscoveryLag / 2)
		h.snapshot(1, 2, entries("a", "b"))
		h.wantReady("discovery is late", "b")
		h.advance(DefaultConfig.MaxDiscoveryLag)
		h.wantReady("discovery has not reported since", "b")
		h.snapshot(1, 3, entries("a", "b"))
		if drained { // the server removed its node itself
			h.wantReady("drained", "b")
			continue
		}
		h.wantReady("discovery must have noticed by now", "a b")
		h.sourceUnavailable(1, "test")
		h.snapshot(1, 4, entries("b"))
		h.wantReady("discovery lists it no more", "b")
	}
}

// An unavailable source takes nobody out and adds nobody; other sources still count.
func TestUnavailableSourceKeepsItsList(t *testing.T) {
	h := newHarness(t, Ephemeral, Discovery)
	h.snapshot(0, 1, entries("a", "b", "c"))
	h.snapshot(1, 1, entries("a", "b", "c"))
	h.sourceUnavailable(0, "no answer")
	h.sourceUnavailable(0, "no answer")
	h.advance(10 * time.Minute)
	h.wantReady("minutes later", "a b c")
	h.wantSingleLogLine(`reason="no answer"`)
	h.delta(1, 2, change("b", balancer.Removed))
	h.wantReady("removed by discovery", "a c")
	h.delta(1, 2, change("d", balancer.Ready))
	h.wantReady("added by discovery", "a c d")
}

// A source that recovers with an empty or a far shorter list has lost endpoints more
// likely than they have ended. They are retained, and evicted few at a time unless they
// return; an empty list evicts nobody.
func TestSuspectSnapshotRetainsMissingEndpoints(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct {
		name          string
		unavailable   bool
		version       uint64
		listed        []string
		atOnce        string
		afterOneHold  string
		afterTwoHolds string
		snapshot      string // as logged
	}{
		{"empty after an outage", true, 9, nil, "a b c d e f", "a b c d e f", "a b c d e f", "empty"},
		{"empty without an outage", false, 9, nil, "a b c d e f", "a b c d e f", "a b c d e f", "empty"},
		{"shorter after an outage", true, 9, []string{"a"}, "a b c d e f", "a d e f", "a e f", "first"},
		{"older", false, 1, []string{"a"}, "a b c d e f", "a d e f", "a e f", "older"},
		{"a little shorter after an outage", true, 9, []string{"a", "b", "c", "d"}, "a b c d", "a b c d", "a b c d", ""},
		{"shorter while available", false, 9, []string{"a"}, "a", "a", "a", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Ephemeral)
			h.snapshot(0, 5, entries(all...))
			h.wantReady("at first", "a b c d e f")
			if c.unavailable {
				h.sourceUnavailable(0, "test")
			}
			h.snapshot(0, c.version, entries(c.listed...))
			h.wantReady("at once", c.atOnce)
			h.advance(DefaultConfig.HoldTime + time.Second)
			h.wantReady("after the hold time", c.afterOneHold)
			h.advance(DefaultConfig.HoldTime + time.Second)
			h.wantReady("a hold time later", c.afterTwoHolds)
			if c.snapshot == "" {
				return
			}
			if text := `missing endpoints retained" kind=ephemeral source=0 snapshot=` + c.snapshot; h.log.Count(text) == 0 {
				t.Errorf("logged %q, want a line with %q", h.log.String(), text)
			}
		})
	}
	// What returns while it is retained is as if nothing had happened.
	h := newHarness(t, Ephemeral)
	h.snapshot(0, 5, entries(all...))
	h.sourceUnavailable(0, "test")
	h.snapshot(0, 6, nil)
	for i := range all {
		h.snapshot(0, uint64(7+i), entries(all[:i+1]...))
		h.advance(time.Second)
	}
	h.wantReady("all have registered anew", "a b c d e f")
	h.advance(10 * DefaultConfig.HoldTime)
	h.wantReady("and stay", "a b c d e f")
}

// A retained endpoint is evicted when it is due, whenever List is next called: a server
// that another source names right after that has arrived since, and is ready at once. If
// its end were dated later, it would wait for MaxDiscoveryLag.
func TestEvictionPrecedesLaterReports(t *testing.T) {
	h := newHarness(t, Ephemeral, Discovery)
	h.snapshot(0, 1, entries("a"))
	h.wantReady("at first", "a")
	h.snapshot(0, 2, nil)
	h.delta(0, 3, change("b", balancer.Ready))
	h.snapshot(0, 4, entries("b"))
	h.now += DefaultConfig.HoldTime - minListInterval/4
	h.delta(0, 5, change("c", balancer.Ready))
	h.readList() // List returns nothing within minListInterval from here
	h.now += minListInterval / 2
	h.delta(1, 1, change("a", balancer.Ready))
	h.wantReady("named after its hold time", "a b c")
}

// A node that flaps ten times a second ends up out, is believed again once it stays, and
// lists are not more frequent than minListInterval.
func TestFlappingNodeWaitsForBackoff(t *testing.T) {
	h := newHarness(t, Ephemeral)
	h.snapshot(0, 1, entries("a", "b"))
	h.wantReady("at first", "a b")
	before := h.lists
	for range 100 {
		h.delta(0, 2, change("a", balancer.Removed))
		h.advance(50 * time.Millisecond)
		h.delta(0, 3, change("a", balancer.Ready))
		h.advance(50 * time.Millisecond)
	}
	if n := h.lists - before; n > 20 {
		t.Errorf("%d lists for a hundred changes of a node that is not believed", n)
	}
	h.wantReady("flapping", "b")
	h.advance(maxFlapBackoff + time.Second)
	h.wantReady("it stays", "a b")
	if host := h.hosts["a"]; host.StartedMS != 0 {
		t.Errorf("it has a new start time: %v", host)
	}
	h.wantSingleLogLine("endpoint flapping")
}

// The same address with a new start time is a new incarnation, whatever was reported of
// the previous one; the source that knows the newer one is believed.
func TestNewIncarnationVoidsClaimsOnThePreviousOne(t *testing.T) {
	h := newHarness(t, Ephemeral, Discovery)
	h.snapshot(0, 1, []Entry{{Host: newHost("a", 1000)}})
	h.snapshot(1, 1, []Entry{{Host: newHost("a", 1000)}})
	h.delta(0, 2, []Entry{{Host: newHost("a", 2000)}})
	h.advance(time.Second)
	if host := h.hosts["a"]; host.StartedMS != 2000 || host.State != balancer.Ready {
		t.Errorf("listed %v, want the new incarnation", host)
	}
	removed := newHost("a", 1000)
	removed.State = balancer.Removed
	h.delta(1, 2, []Entry{{Host: removed}})
	h.wantReady("discovery reports the end of the previous one", "a")
}

// Where sources differ on an endpoint its own node is believed, and a drain wins.
func TestContradictingSources(t *testing.T) {
	h := newHarness(t, Static, Discovery, Ephemeral)
	at := func(address string) []Entry {
		host := newHost("a", 0)
		host.Address = address
		return []Entry{{Host: host}}
	}
	h.snapshot(0, 1, at("127.0.0.1:10"))
	h.snapshot(1, 1, at("127.0.0.1:11"))
	h.snapshot(2, 1, at("127.0.0.1:12"))
	h.wantReady("three addresses", "a")
	if host := h.hosts["a"]; host.Address != "127.0.0.1:12" {
		t.Errorf("at %s, want the address of its node", host.Address)
	}
	h.advance(time.Second)
	h.delta(1, 2, change("a", balancer.Draining))
	h.wantReady("discovery reports that it drains", "")
	h.advance(time.Second)
	h.delta(1, 3, change("a", balancer.Ready))
	h.wantReady("and not any more", "a")
	h.delta(2, 2, change("a", balancer.Removed))
	h.advance(time.Hour)
	h.wantReady("a static list does not overrule a vanished node", "")
}
