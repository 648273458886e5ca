package subset

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// startTime is an arbitrary start time for tests.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSubset(t rapid.TB, c Config) *Subset {
	t.Helper()
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newSubsetOf returns a subset of the servers, after the first Select.
func newSubsetOf(t rapid.TB, c Config, servers []Server) *Subset {
	t.Helper()
	s := newSubset(t, c)
	for _, server := range servers {
		s.Add(server)
	}
	s.Select()
	return s
}

// makeServers returns n servers, assigned to the sites in turn, with four servers per pod within a site.
func makeServers(n, siteCount int) []Server {
	const (
		testPodSize     = 4
		maxPodsPerSite  = 1000 // pods of different sites have different numbers
		firstSiteLetter = 'a'
	)
	servers := make([]Server, n)
	for i := range servers {
		site := i % siteCount
		indexInSite := i / siteCount
		servers[i] = Server{
			Name: fmt.Sprint("soko-", i),
			Site: string(rune(firstSiteLetter + site)),
			Pod:  uint16(site*maxPodsPerSite + indexInSite/testPodSize),
		}
	}
	return servers
}

// selectedNames returns the names of the selected servers, sorted.
func selectedNames(s *Subset) []string {
	var names []string
	for name, m := range s.members {
		if m.selected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// selectedPerSite counts the selected servers of sites a, b and c.
func selectedPerSite(s *Subset) [3]int {
	var counts [3]int
	for _, name := range selectedNames(s) {
		counts[s.members[name].Site[0]-'a']++
	}
	return counts
}

// markFailing records enough failures of a server for it to count as failing.
func markFailing(s *Subset, name string) {
	for range failureThreshold {
		s.ObserveOutcome(name, false)
	}
}

func countHealthy(s *Subset, names []string) int {
	healthy := 0
	for _, name := range names {
		if !s.members[name].failing() {
			healthy++
		}
	}
	return healthy
}

func hasFailing(s *Subset) bool {
	for _, m := range s.members {
		if m.failing() {
			return true
		}
	}
	return false
}
