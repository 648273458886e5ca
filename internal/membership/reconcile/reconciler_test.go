package reconcile

import (
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// The endpoint of a vanished node is listed as draining at once, so that it keeps its history if
// it returns in the same incarnation, and as removed after removalLinger.
func TestVanishedNodeDrainsThenIsRemoved(t *testing.T) {
	h := newHarness(t, Ephemeral)
	h.snapshot(0, 1, hosts("a", "b"))
	h.wantReady("at first", "a b")
	h.delta(0, 2, change("a", balancer.Removed))
	h.wantReady("vanished", "b")
	if h.hosts["a"].State != balancer.Draining {
		t.Errorf("the vanished endpoint is listed as %v, want draining", h.hosts["a"].State)
	}
	h.delta(0, 3, change("a", balancer.Ready))
	h.wantReady("returned", "a b")
	h.delta(0, 4, change("a", balancer.Removed))
	h.advance(removalLinger + time.Second)
	_, listed := h.hosts["a"]
	stateCount := len(h.reconciler.pending) + len(h.reconciler.sources[0].claims)
	if listed || stateCount != 1 {
		t.Errorf("after removalLinger the endpoint is still listed or has state: %v", h.hosts)
	}
}

// startTwoSources returns a harness with an ephemeral and a discovery source that list a and b.
func startTwoSources(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, Ephemeral, Discovery)
	h.snapshot(0, 1, hosts("a", "b"))
	h.snapshot(1, 1, hosts("a", "b"))
	h.wantReady("at first", "a b")
	return h
}

// listAfterMaxLag has discovery list a and b, once before and once after its maximum lag. It checks
// that a is not ready before the second list.
func (h *harness) listAfterMaxLag() {
	h.t.Helper()
	h.wantReady("vanished", "b")
	h.advance(DefaultConfig.MaxDiscoveryLag / 2)
	h.snapshot(1, 2, hosts("a", "b"))
	h.wantReady("discovery may not have noticed yet", "b")
	h.advance(DefaultConfig.MaxDiscoveryLag)
	h.wantReady("discovery has not reported since", "b")
	h.snapshot(1, 3, hosts("a", "b"))
}

// A session may expire while its server runs. The server stops being ready at once, and is ready
// again once discovery lists it in a report after MaxDiscoveryLag.
func TestExpiredSessionIsOverruledByDiscovery(t *testing.T) {
	h := startTwoSources(t)
	h.delta(0, 2, change("a", balancer.Removed))
	h.listAfterMaxLag()
	h.wantReady("discovery has listed it after its maximum lag", "a b")
	h.sourceUnavailable(1, "test")
	h.snapshot(1, 4, hosts("b"))
	h.wantReady("discovery no longer lists it", "b")
}

// A server that drained has removed its node itself, so that discovery does not overrule the end.
func TestDrainIsNotOverruledByDiscovery(t *testing.T) {
	h := startTwoSources(t)
	h.delta(0, 2, change("a", balancer.Draining))
	h.delta(0, 2, change("a", balancer.Removed))
	h.listAfterMaxLag()
	h.wantReady("discovery has listed it after its maximum lag", "b")
}

// Endpoints of an unavailable source remain ready, and changes reported by other sources take effect.
func TestUnavailableSourceKeepsItsList(t *testing.T) {
	h := newHarness(t, Ephemeral, Discovery)
	h.snapshot(0, 1, hosts("a", "b", "c"))
	h.snapshot(1, 1, hosts("a", "b", "c"))
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

// sixNames are the names of all endpoints in the tests of suspect snapshots.
var sixNames = []string{"a", "b", "c", "d", "e", "f"}

// Endpoints that are missing from an empty list, from an older list or from a much shorter one after
// an outage are retained. After each HoldTime, some of them are evicted unless the list is empty.
func TestSuspectSnapshotRetainsMissingEndpoints(t *testing.T) {
	for _, c := range []struct {
		name          string
		unavailable   bool // before the snapshot
		version       uint64
		listed        []string
		atOnce        string // ready endpoints
		afterOneHold  string // ready endpoints after HoldTime
		afterTwoHolds string // ready endpoints after another HoldTime
		snapshot      string // as logged, "" for nothing
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
			h.snapshot(0, 5, hosts(sixNames...))
			h.wantReady("at first", "a b c d e f")
			if c.unavailable {
				h.sourceUnavailable(0, "test")
			}
			h.snapshot(0, c.version, hosts(c.listed...))
			h.wantReady("at once", c.atOnce)
			h.advance(DefaultConfig.HoldTime + time.Second)
			h.wantReady("after the hold time", c.afterOneHold)
			h.advance(DefaultConfig.HoldTime + time.Second)
			h.wantReady("a hold time later", c.afterTwoHolds)
			if c.snapshot == "" {
				return
			}
			text := `missing endpoints retained" kind=ephemeral source=0 snapshot=` + c.snapshot
			if h.log.Count(text) == 0 {
				t.Errorf("logged %q, want a line with %q", h.log.String(), text)
			}
		})
	}
}

func TestRetainedEndpointsThatReturnAreNotEvicted(t *testing.T) {
	h := newHarness(t, Ephemeral)
	h.snapshot(0, 5, hosts(sixNames...))
	h.sourceUnavailable(0, "test")
	h.snapshot(0, 6, nil)
	for i := range sixNames {
		h.snapshot(0, uint64(7+i), hosts(sixNames[:i+1]...))
		h.advance(time.Second)
	}
	h.wantReady("all have registered again", "a b c d e f")
	h.advance(10 * DefaultConfig.HoldTime)
	h.wantReady("ten hold times later", "a b c d e f")
}

// A retained endpoint is evicted when it is due, even if List is called only later. If another
// source lists the endpoint after that time, this claim is newer than the eviction, and the
// endpoint is ready at once. If the eviction were dated to the next call of List, the endpoint
// would not be ready before MaxDiscoveryLag.
func TestEvictionPrecedesLaterReports(t *testing.T) {
	h := newHarness(t, Ephemeral, Discovery)
	h.snapshot(0, 1, hosts("a"))
	h.wantReady("at first", "a")
	h.snapshot(0, 2, nil)
	h.delta(0, 3, change("b", balancer.Ready))
	h.snapshot(0, 4, hosts("b"))
	h.now += DefaultConfig.HoldTime - minListInterval/4
	h.delta(0, 5, change("c", balancer.Ready))
	h.readList() // List returns nothing within minListInterval from here
	h.now += minListInterval / 2
	h.delta(1, 1, change("a", balancer.Ready))
	h.wantReady("listed by discovery after its hold time", "a b c")
}

// The endpoint of a node that flaps ten times a second is not ready until the node has existed for
// the backoff, and the changes cause few lists.
func TestFlappingNodeWaitsForBackoff(t *testing.T) {
	h := newHarness(t, Ephemeral)
	h.snapshot(0, 1, hosts("a", "b"))
	h.wantReady("at first", "a b")
	listsBefore := h.lists
	for range 100 {
		h.delta(0, 2, change("a", balancer.Removed))
		h.advance(50 * time.Millisecond)
		h.delta(0, 3, change("a", balancer.Ready))
		h.advance(50 * time.Millisecond)
	}
	if n := h.lists - listsBefore; n > 20 {
		t.Errorf("%d lists for a hundred changes of a flapping node, want at most 20", n)
	}
	h.wantReady("flapping", "b")
	h.advance(maxFlapBackoff + time.Second)
	h.wantReady("after the backoff", "a b")
	if host := h.hosts["a"]; host.StartedMS != 0 {
		t.Errorf("the endpoint has a new start time: %v", host)
	}
	h.wantSingleLogLine("endpoint flapping")
}

// An endpoint with a newer start time is a new incarnation. Claims on the previous incarnation no
// longer count.
func TestClaimsOnPreviousIncarnationDoNotCount(t *testing.T) {
	h := newHarness(t, Ephemeral, Discovery)
	h.snapshot(0, 1, []engine.Host{newHost("a", 1000)})
	h.snapshot(1, 1, []engine.Host{newHost("a", 1000)})
	h.delta(0, 2, []engine.Host{newHost("a", 2000)})
	h.advance(time.Second)
	if host := h.hosts["a"]; host.StartedMS != 2000 || host.State != balancer.Ready {
		t.Errorf("listed %v, want the new incarnation", host)
	}
	removed := newHost("a", 1000)
	removed.State = balancer.Removed
	h.delta(1, 2, []engine.Host{removed})
	h.wantReady("discovery reports the end of the previous one", "a")
}

// If sources differ on an endpoint, the values of its own node count, and a drain overrules a claim
// that it is up.
func TestNodeAndDrainTakePrecedence(t *testing.T) {
	h := newHarness(t, Static, Discovery, Ephemeral)
	atAddress := func(address string) []engine.Host {
		host := newHost("a", 0)
		host.Address = address
		return []engine.Host{host}
	}
	h.snapshot(0, 1, atAddress("127.0.0.1:10"))
	h.snapshot(1, 1, atAddress("127.0.0.1:11"))
	h.snapshot(2, 1, atAddress("127.0.0.1:12"))
	h.wantReady("three addresses", "a")
	if host := h.hosts["a"]; host.Address != "127.0.0.1:12" {
		t.Errorf("listed at %s, want the address of its node", host.Address)
	}
	h.advance(time.Second)
	h.delta(1, 2, change("a", balancer.Draining))
	h.wantReady("discovery reports that it drains", "")
	h.advance(time.Second)
	h.delta(1, 3, change("a", balancer.Ready))
	h.wantReady("discovery reports that it is ready again", "a")
	h.delta(2, 2, change("a", balancer.Removed))
	h.advance(time.Hour)
	h.wantReady("a static list does not overrule a vanished node", "")
}
