package subset

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// threeSiteConfig is the configuration of an instance at site a.
func threeSiteConfig(instance string) Config {
	return Config{Instance: instance, Site: "a", MinSize: 12, PerInFlight: 2}
}

// Ranks determine which servers each instance uses. The values come from an earlier build and must not change.
func TestRankOfKnownInputsIsUnchanged(t *testing.T) {
	for _, c := range []struct {
		instance, kind, name string
		want                 uint64
	}{
		{"one", "server", "soko-1", 0x789dac0142721944},
		{"one", "server", "soko-2", 0x24fa53560f7dfec3},
		{"one", "pod", "a 7", 0xa1c12c1056bb1cd6},
		{"two", "server", "soko-1", 0xe82de29de0c8e461},
		{"two", "server", "soko-2", 0x0f97b9d98861b35a},
		{"two", "pod", "a 7", 0x7a58bb903c8eccdc},
		{"", "server", "soko-1", 0xfc259c318ea2aed4},
		{"", "server", "soko-2", 0x87f213ca937b2bae},
		{"", "pod", "a 7", 0x6f0d6d68979db9c4},
	} {
		s := &Subset{config: Config{Instance: c.instance}}
		if got := s.rank(c.kind, c.name); got != c.want {
			t.Errorf("instance %q, %s %q: rank %#x, want %#x", c.instance, c.kind, c.name, got, c.want)
		}
	}
}

// A fleet with no more servers than the wanted size is selected completely.
func TestSelectionOfSmallFleetIsComplete(t *testing.T) {
	s := newSubsetOf(t, threeSiteConfig("one"), makeServers(10, 2))
	if len(selectedNames(s)) != 10 {
		t.Errorf("%d servers selected, want all 10", len(selectedNames(s)))
	}
}

func TestSelectionTakesHalfFromLocalSite(t *testing.T) {
	s := newSubsetOf(t, threeSiteConfig("one"), makeServers(300, 3))
	if got := selectedPerSite(s); got != [3]int{6, 3, 3} {
		t.Errorf("selected per site: %v, want half from the instance's own site", got)
	}
	if !s.ObserveLoad(startTime, 10) || s.sizing.size != 32 {
		t.Errorf("ten requests in flight: %d servers wanted, must be 32", s.sizing.size)
	}
	if s.Select(); selectedPerSite(s) != [3]int{16, 8, 8} {
		t.Errorf("selected per site after growth: %v, want [16 8 8]", selectedPerSite(s))
	}
}

func TestSelectionDiffersBetweenInstances(t *testing.T) {
	servers := makeServers(300, 3)
	one := newSubsetOf(t, threeSiteConfig("one"), servers)
	two := newSubsetOf(t, threeSiteConfig("two"), servers)
	if slices.Equal(selectedNames(one), selectedNames(two)) {
		t.Error("two instances selected the same servers")
	}
}

func TestSitesMakeUpForSitesWithTooFewServers(t *testing.T) {
	s := newSubsetOf(t, threeSiteConfig("one"), makeServers(300, 3)[:4])
	if len(selectedNames(s)) != 4 {
		t.Error("other sites did not make up for sites with too few servers")
	}
}

// A failing server stays selected, together with a substitute, until it answers again.
func TestFailingServerStaysSelectedBesideSubstitute(t *testing.T) {
	s := newSubsetOf(t, threeSiteConfig("one"), makeServers(300, 3))
	failing := selectedNames(s)[0]
	for n := range failureThreshold {
		if changed := s.ObserveOutcome(failing, false); changed != (n == failureThreshold-1) {
			t.Errorf("failure %d: ObserveOutcome returned %t", n+1, changed)
		}
	}
	added, removed := s.Select()
	if len(added) != 1 || len(removed) != 0 || !s.Contains(failing) {
		t.Errorf("after a server failed: added %v, removed %v; want one added and none removed", added, removed)
	}
	if !s.ObserveOutcome(failing, true) {
		t.Error("the recovery of a selected server was not reported as a change")
	}
	if _, removed := s.Select(); !slices.Equal(removed, added) {
		t.Errorf("after the server recovered: removed %v, want %v", removed, added)
	}
}

func TestOtherSitesSubstituteForSiteThatFails(t *testing.T) {
	servers := makeServers(300, 3)
	s := newSubsetOf(t, threeSiteConfig("one"), servers)
	s.ObserveLoad(startTime, 10)
	s.Select()
	for _, server := range servers {
		if server.Site == "a" {
			markFailing(s, server.Name)
		}
	}
	s.Select()
	perSite := selectedPerSite(s)
	if perSite[0] > maxServersPerWanted*16+serversPerPod || perSite[1]+perSite[2] < 32 {
		t.Errorf("selected per site with all servers of the instance's own site failing: %v", perSite)
	}
}

func TestSelectionOfRankedPodsTakesTwoServersOfEach(t *testing.T) {
	config := Config{Instance: "one", Site: "a", MinSize: 12, RankPods: true}
	s := newSubsetOf(t, config, makeServers(300, 3))
	perPod := map[uint16]int{}
	for _, name := range selectedNames(s) {
		perPod[s.members[name].Pod]++
	}
	for pod, n := range perPod {
		if n != serversPerPod {
			t.Errorf("pod %d: %d servers selected, want %d", pod, n, serversPerPod)
		}
	}
}

// Failing servers are selected in addition, so that their recovery is noticed, and removed when enough healthy servers
// rank before them. Adding one server may then change more servers than those of one pod, but no more healthy ones than
// those of a pod and its successor.
func TestFailingServersAreRemovedWhenHealthyOneIsAdded(t *testing.T) {
	s := newSubset(t, Config{Instance: "a", Site: "a", MinSize: 4, PerInFlight: 1, RankPods: true})
	servers := makeServers(17, 1)
	for _, n := range []int{0, 1, 4, 5, 8, 11, 12, 13, 16} {
		s.Add(servers[n])
	}
	for _, n := range []int{0, 1, 11, 16} {
		markFailing(s, servers[n].Name)
	}
	s.Select()
	s.Add(servers[9])
	added, removed := s.Select()
	changed := len(added) + len(removed)
	healthy := countHealthy(s, slices.Concat(added, removed))
	if changed <= 2*serversPerPod || healthy > 2*serversPerPod {
		t.Errorf("added %q, removed %q: %d servers, %d of them healthy", added, removed, changed, healthy)
	}
}

// Each server is selected by about the same number of instances, as evenly as with independent random selections.
func TestInstancesSelectServersEvenly(t *testing.T) {
	const (
		instanceCount = 2000
		serverCount   = 200
		minSize       = 20
		mean          = instanceCount * minSize / serverCount // instances per server: 200
	)
	servers := makeServers(serverCount, 2)
	instances := map[string]int{} // by server
	for n := range instanceCount {
		config := Config{Instance: fmt.Sprint("i-", n), Site: string(rune('a' + n%2)), MinSize: minSize}
		for _, name := range selectedNames(newSubsetOf(t, config, servers)) {
			instances[name]++
		}
	}
	deviation := math.Sqrt(mean * (1 - float64(minSize)/serverCount))
	for name, n := range instances {
		// The probability that any of the 200 servers exceeds this is 0.0014; the names are fixed.
		if math.Abs(float64(n)-mean) > 4.5*deviation {
			t.Errorf("%s is selected by %d instances, want about the mean, %d", name, n, mean)
		}
	}
	if len(instances) != serverCount {
		t.Errorf("%d of %d servers are selected by any instance, want all", len(instances), serverCount)
	}
}

func BenchmarkSelectAfterChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := makeServers(n, 2)
			s := newSubsetOf(b, Config{Instance: "one", Site: "a", MinSize: 20}, servers)
			for b.Loop() {
				s.Remove(servers[0].Name)
				s.Select()
				s.Add(servers[0])
				s.Select()
			}
		})
	}
}
