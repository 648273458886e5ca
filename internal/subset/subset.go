// Package subset decides which servers of a large fleet an instance holds connections to,
// probes and sends to. Thousands of instances that each held all servers would be a load by
// their connections and probes alone, and what a decision costs grows with the servers that
// it chooses from. There is no I/O here and no clock.
//
//	what                                what follows
//	the fleet is no larger than wanted  all of it is held
//	which servers                       those that rank first, by rendezvous hashing of the
//	                                    instance's name and theirs: each instance has an order
//	                                    of its own, and keeps it whatever comes and goes
//	sites                               half from the own site, the rest from the others in
//	                                    equal parts; what a site lacks the next ones give
//	pods                                where keyed requests may only be resent within a pod,
//	                                    pods rank, and two servers of each are held
//	how many                            a floor, and more with the requests in flight: grown at
//	                                    once, shrunk after a quiet while, and not for a little
//	a held server fails                 it stays held, for its return to be seen, and another
//	                                    is held beside it until it has answered
//	a held server drains or is gone     the next in rank takes its place
//
// Rendezvous hashing (Thaler and Ravishankar, 1998) moves what must move: when one server
// comes or goes, at most one place of those that answer changes in its site, and where pods
// rank one pod's. Those that fail are held beside them, at most tries for each that is wanted:
// with the place of a server that answers, all that fail and rank between it and its successor
// come or go. Nothing is sent to them, and to keep them would make what is held depend on the past.
package subset

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"pinedale/internal/splitmix"
)

const (
	// failuresLeast in a row make a server one that fails: a reset now and then is no sign.
	failuresLeast = 3
	// shrinkAfter is for how long fewer servers must have been enough: traffic that comes and
	// goes within it would have each burst open connections anew.
	shrinkAfter = time.Minute
	// shrinkBelow is the share of the size under which that counts.
	shrinkBelow = 0.7
	// tries is how many servers of a site are held, at most, for each that is wanted: where
	// most fail, the site is lost, and more of it are of no use.
	tries = 4
	// ofPod is how many servers of a pod are held: one, and another for its retries.
	ofPod = 2
)

// Config says how an instance chooses.
type Config struct {
	Instance string  // its name, which no other has
	Site     string  // where it stands
	Floor    int     // servers that are held at the least
	Spread   float64 // servers held for each request in flight
	Pods     bool    // servers are held by pods
}

// Validate names the figure that makes no sense.
func (c *Config) Validate() error {
	switch {
	case c.Instance == "":
		return fmt.Errorf("subset: Instance is missing: instances without a name choose alike")
	case c.Floor < 2 || c.Floor > 1_000_000:
		return fmt.Errorf("subset: Floor is %d, not 2 to 1000000: a request must find another server", c.Floor)
	case !(c.Spread >= 0 && c.Spread <= 1000):
		return fmt.Errorf("subset: Spread is %v, not 0 to 1000", c.Spread)
	}
	return nil
}

// Server is one server that is ready.
type Server struct {
	Name string
	Site string
	Pod  uint16
}

// member is what is known of a server.
type member struct {
	Server
	rank     uint64
	unit     *unit
	failures int // in a row
	held     bool
}

// unit is what ranks: a server, or a pod.
type unit struct {
	pod     uint16
	name    string // of the one server, where servers rank
	rank    uint64
	members []*member // by rank
}

// Subset is one instance's. It must not be used by two at once.
type Subset struct {
	c       Config
	members map[string]*member
	sites   map[string][]*unit // by rank
	count   map[string]int     // servers of each site
	held    map[*member]bool
	size    int       // servers wanted
	least   int       // and the most of what was enough since
	since   time.Time // then
	quiet   bool
}

// New returns a subset of no servers, or an error that names what makes no sense.
func New(c Config) (*Subset, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &Subset{c: c, members: map[string]*member{}, held: map[*member]bool{}, sites: map[string][]*unit{}, count: map[string]int{}, size: c.Floor}, nil
}

// rank is a server's or a pod's place in this instance's order: the same wherever it is
// computed.
func (s *Subset) rank(kind, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s%s%s", len(s.c.Instance), s.c.Instance, kind, name)
	// The high bits of FNV barely differ between strings that differ in their last characters only.
	return splitmix.Mix(h.Sum64())
}

func byRank(a, b *unit) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.pod, b.pod), cmp.Compare(a.name, b.name))
}

// unitOf is what ranks for a server of some rank.
func (s *Subset) unitOf(x Server, rank uint64) *unit {
	if !s.c.Pods {
		return &unit{name: x.Name, rank: rank}
	}
	return &unit{pod: x.Pod, rank: s.rank("pod", fmt.Sprint(x.Site, " ", x.Pod))}
}

// Add tells of a server that is ready; one that is known may have moved.
func (s *Subset) Add(x Server) {
	old := s.members[x.Name]
	if old != nil {
		if old.Server == x {
			return
		}
		s.Remove(x.Name)
	}
	rank := s.rank("server", x.Name)
	u := s.unitOf(x, rank)
	all := s.sites[x.Site]
	at, there := slices.BinarySearchFunc(all, u, byRank)
	if there {
		u = all[at]
	} else {
		s.sites[x.Site] = slices.Insert(all, at, u)
	}
	m := &member{Server: x, rank: rank, unit: u}
	if old != nil {
		m.failures, m.held = old.failures, old.held
		if delete(s.held, old); m.held {
			s.held[m] = true
		}
	}
	at, _ = slices.BinarySearchFunc(u.members, m, func(a, b *member) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name)) })
	u.members = slices.Insert(u.members, at, m)
	s.members[x.Name] = m
	s.count[x.Site]++
}

// Remove tells that a server is not ready any more.
func (s *Subset) Remove(name string) {
	m := s.members[name]
	if m == nil {
		return
	}
	delete(s.members, name)
	if s.count[m.Site]--; s.count[m.Site] == 0 {
		delete(s.count, m.Site)
	}
	u := m.unit
	u.members = slices.DeleteFunc(u.members, func(x *member) bool { return x == m })
	if len(u.members) > 0 {
		return
	}
	all := s.sites[m.Site]
	if at, there := slices.BinarySearchFunc(all, u, byRank); there {
		all = slices.Delete(all, at, at+1)
	}
	if s.sites[m.Site] = all; len(all) == 0 {
		delete(s.sites, m.Site)
	}
}

// ObserveLoad tells how many requests are in flight. It says whether the size has changed.
func (s *Subset) ObserveLoad(now time.Time, inflight float64) (changed bool) {
	want := s.c.Floor + int(math.Ceil(s.c.Spread*max(0, inflight)))
	switch {
	case want > s.size:
		s.size, s.quiet = want, false
		return true
	case float64(want) >= shrinkBelow*float64(s.size):
		s.quiet = false
	case !s.quiet || now.Before(s.since):
		s.quiet, s.since, s.least = true, now, want
	case now.Sub(s.since) >= shrinkAfter:
		s.size, s.quiet = max(s.least, want), false
		return true
	default:
		s.least = max(s.least, want)
	}
	return false
}

// ObserveOutcome tells whether a server has answered. It says whether others are to be held for it
// now, or no longer.
func (s *Subset) ObserveOutcome(name string, answered bool) (changed bool) {
	m := s.members[name]
	if m == nil {
		return false
	}
	was := m.failures >= failuresLeast
	if m.failures++; answered {
		m.failures = 0
	}
	return m.held && was != (m.failures >= failuresLeast)
}

// Contains says whether a server is held.
func (s *Subset) Contains(name string) bool {
	m := s.members[name]
	return m != nil && m.held
}

// Select decides anew, and returns the servers that are held from now on and those that are
// no longer, both by name. It costs in proportion to what is held, not to the fleet.
func (s *Subset) Select() (added, removed []string) {
	next := map[*member]bool{}
	want := s.quotas()
	short := 0
	full := map[string]bool{} // sites that gave what was wanted
	for _, site := range s.order() {
		good := s.take(site, want[site], next)
		short += max(0, want[site]-good)
		full[site] = good >= want[site]
	}
	// What failing servers of a site leave open is held elsewhere, the own site first.
	for _, site := range s.order() {
		if short > 0 && full[site] {
			short -= max(0, s.take(site, want[site]+short, next)-want[site])
		}
	}
	for m := range next {
		if !m.held {
			m.held = true
			added = append(added, m.Name)
		}
	}
	for m := range s.held {
		if !next[m] {
			m.held = false
			if s.members[m.Name] == m { // else it is gone, and its teller knows
				removed = append(removed, m.Name)
			}
		}
	}
	s.held = next
	slices.Sort(added)
	slices.Sort(removed)
	return added, removed
}

// take holds servers of a site in their order until so many of them answer, and returns how
// many do.
func (s *Subset) take(site string, want int, next map[*member]bool) (good int) {
	most := tries*want + ofPod
	for _, u := range s.sites[site] {
		if good >= want || most <= 0 {
			break
		}
		for i, m := range u.members {
			if i == ofPod && s.c.Pods {
				break
			}
			next[m] = true
			if most--; m.failures < failuresLeast {
				good++
			}
		}
	}
	return good
}

// order is that in which sites give: the own, then the others by name.
func (s *Subset) order() (all []string) {
	for site := range s.sites {
		if site != s.c.Site {
			all = append(all, site)
		}
	}
	slices.Sort(all)
	if s.sites[s.c.Site] != nil {
		all = append([]string{s.c.Site}, all...)
	}
	return all
}

// quotas are how many servers that answer are wanted of each site.
func (s *Subset) quotas() map[string]int {
	out := map[string]int{}
	left := s.size
	give := func(site string, n int) {
		most := s.count[site]
		if s.c.Pods {
			most = min(most, ofPod*len(s.sites[site]))
		}
		n = max(0, min(n, most-out[site], left))
		out[site] += n
		left -= n
	}
	all := s.order()
	others := all
	if s.sites[s.c.Site] != nil {
		others = all[1:]
		own := s.size
		if len(others) > 0 {
			own = (s.size + 1) / 2
		}
		give(s.c.Site, own)
	}
	for before := -1; left > 0 && left != before; {
		before = left
		each := max(1, left/max(1, len(others)))
		for _, site := range others {
			give(site, each)
		}
	}
	give(s.c.Site, left) // the others have no more
	return out
}
