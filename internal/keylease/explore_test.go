package keylease

import (
	"testing"
)

// exploreAll explores all states of some requesters. injectFault may be nil.
func exploreAll(requesterCount int, maxTerm uint64, injectFault func(*explorer)) *explorer {
	e := &explorer{
		acceptorNames: []string{"a", "b", "c"},
		maxTerm:       maxTerm,
		visited:       map[uint64]bool{},
	}
	e.voterSet = VoterSetHash(e.acceptorNames)
	if injectFault != nil {
		injectFault(e)
	}
	e.explore(e.initialState(requesterCount), nil)
	return e
}

// raceEnabled is set if the race detector is enabled, with which larger explorations take minutes.
var raceEnabled bool

// In every order of messages, with losses, duplicates and a restarted acceptor, requests are sent
// to one group only, and at most one lease is exclusive.
func TestEveryOrderSendsToOneGroup(t *testing.T) {
	for _, c := range []struct {
		name           string
		requesterCount int
		maxTerm        uint64
	}{
		{"two requesters, one term", 2, 1},
		{"two requesters, two terms", 2, 2},
		{"three requesters, one term", 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if raceEnabled && c.requesterCount*int(c.maxTerm) > 2 {
				t.Skip("explored without the race detector")
			}
			e := exploreAll(c.requesterCount, c.maxTerm, nil)
			if e.violation != nil {
				t.Fatal(e.violation)
			}
			t.Logf("%d states", len(e.visited))
			if len(e.visited) < 100 {
				t.Errorf("%d states, want at least 100", len(e.visited))
			}
		})
	}
}

func TestExplorerFindsInjectedFaults(t *testing.T) {
	for name, injectFault := range map[string]func(*explorer){
		"a restarted acceptor grants at once": func(e *explorer) { e.skipRecovery = true },
		"a release of any term counts":        func(e *explorer) { e.ignoreLaterTerms = true },
	} {
		if e := exploreAll(2, 2, injectFault); e.violation == nil {
			t.Errorf("%s: no violation found in %d states", name, len(e.visited))
		}
	}
}
