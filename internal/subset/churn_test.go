package subset

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// churn applies random changes to a subset, and tracks the expected selection from the changes that Select returns.
type churn struct {
	config   Config
	subset   *Subset
	listed   map[string]Server
	expected map[string]bool
}

// selectAndCheck calls Select and checks that its changes add up to the selection. It returns how many servers were
// added or removed, and how many of these are healthy.
func (c *churn) selectAndCheck(t *rapid.T) (changed, healthy int) {
	added, removed := c.subset.Select()
	for _, name := range added {
		if c.expected[name] {
			t.Fatalf("%s was added twice", name)
		}
		c.expected[name] = true
	}
	for _, name := range removed {
		if !c.expected[name] {
			t.Fatalf("%s was removed twice", name)
		}
		delete(c.expected, name)
	}
	for name := range c.expected {
		if _, ok := c.listed[name]; !ok {
			delete(c.expected, name)
		}
	}
	if got := selectedNames(c.subset); len(got) != len(c.expected) {
		t.Fatalf("%d servers selected, but the changes add up to %d", len(got), len(c.expected))
	}
	return len(added) + len(removed), countHealthy(c.subset, slices.Concat(added, removed))
}

// step applies one random change and reports whether it changed the health of a server.
func (c *churn) step(t *rapid.T, servers []Server) (healthChange bool) {
	server := rapid.SampledFrom(servers).Draw(t, "server")
	switch rapid.SampledFrom([]string{"add", "add", "add", "move", "remove", "fail", "answer"}).Draw(t, "step") {
	case "add":
		c.subset.Add(server)
		c.listed[server.Name] = server
	case "move":
		server.Site = "a"
		c.subset.Add(server)
		c.listed[server.Name] = server
	case "remove":
		c.subset.Remove(server.Name)
		delete(c.listed, server.Name)
	case "fail":
		markFailing(c.subset, server.Name)
		return true
	case "answer":
		c.subset.ObserveOutcome(server.Name, true)
		return true
	}
	return false
}

// checkSize checks that, if no server fails, as many healthy servers are selected as wanted or available.
func (c *churn) checkSize(t *rapid.T) {
	s := c.subset
	healthy, selectedHealthy := 0, 0
	for name, m := range s.members {
		if m.failing() {
			continue
		}
		healthy++
		if s.Contains(name) {
			selectedHealthy++
		}
	}
	if !c.config.RankPods && healthy == len(s.members) && selectedHealthy < min(healthy, s.sizing.size) {
		t.Fatalf("%d of %d healthy servers selected, %d wanted", selectedHealthy, healthy, s.sizing.size)
	}
}

// checkHistoryIndependence checks that a new subset of the same servers makes the same selection.
func (c *churn) checkHistoryIndependence(t *rapid.T) {
	rebuilt := newSubset(t, c.config)
	for _, server := range c.listed {
		rebuilt.Add(server)
	}
	for name, m := range c.subset.members {
		rebuilt.members[name].failures = m.failures
	}
	rebuilt.Select()
	if !slices.Equal(selectedNames(c.subset), selectedNames(rebuilt)) {
		t.Fatalf("selected %v, but a new subset selects %v", selectedNames(c.subset), selectedNames(rebuilt))
	}
}

// For random changes of servers and failures: as many healthy servers as wanted are selected, or all healthy servers;
// the selection does not depend on its history; a change of one server changes few others; and the changes that Select
// returns add up to the selection.
func TestSelectionIsMinimalAndHistoryIndependentUnderChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Instance:    rapid.StringN(1, 5, -1).Draw(t, "instance"),
			Site:        rapid.SampledFrom([]string{"a", "b", "z"}).Draw(t, "site"),
			MinSize:     rapid.IntRange(2, 20).Draw(t, "min size"),
			PerInFlight: 1,
			RankPods:    rapid.Bool().Draw(t, "pods"),
		}
		servers := makeServers(rapid.IntRange(2, 80).Draw(t, "servers"), rapid.IntRange(1, 3).Draw(t, "sites"))
		s := newSubset(t, config)
		c := &churn{config: config, subset: s, listed: map[string]Server{}, expected: map[string]bool{}}
		unitSize := 1
		if config.RankPods {
			unitSize = serversPerPod
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			healthChange := c.step(t, servers)
			changed, healthy := c.selectAndCheck(t)
			// The servers of a unit and its successor; if a site has too few servers, the same at each other site.
			limit := 2 * unitSize * max(1, len(s.sites))
			if !healthChange && healthy > limit {
				t.Fatalf("%d healthy servers changed after a change of one server, at most %d allowed", healthy, limit)
			}
			if !healthChange && !hasFailing(s) && changed > limit {
				t.Fatalf("%d servers changed after a change of one server with none failing, at most %d allowed", changed, limit)
			}
			if limit := (maxServersPerWanted+1)*s.sizing.size + 2*serversPerPod*len(s.sites); len(c.expected) > limit {
				t.Fatalf("%d servers selected, but %d wanted", len(c.expected), s.sizing.size)
			}
		}
		c.checkSize(t)
		c.checkHistoryIndependence(t)
	})
}
