package subset

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"pinedale/internal/splitmix"
)

// failureThreshold is the number of consecutive failures from which a server counts as failing.
// A single connection reset means nothing.
const failureThreshold = 3

// Server is a server that is ready to take requests.
type Server struct {
	Name string
	Site string
	Pod  uint16
}

// member is a server with its state in the subset.
type member struct {
	Server
	rank     uint64
	unit     *unit
	failures int // consecutive
	selected bool
}

func (m *member) failing() bool { return m.failures >= failureThreshold }

func compareMembers(a, b *member) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
}

// unit is what is ranked within a site: a server, or a pod where Config.Pods is set.
type unit struct {
	pod     uint16    // of a pod
	name    string    // of a server
	rank    uint64    // place in the instance's order, lowest first
	members []*member // by rank
}

func compareUnits(a, b *unit) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.pod, b.pod), cmp.Compare(a.name, b.name))
}

// Subset is the selection of one instance. It is not safe for concurrent use.
type Subset struct {
	config      Config
	members     map[string]*member // by name
	sites       map[string][]*unit // by site; units by rank
	serverCount map[string]int     // by site
	selected    map[*member]bool   // as of the last Select
	sizing      sizeController
}

// New returns a subset of an empty fleet, or the error of Config.Validate.
func New(c Config) (*Subset, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &Subset{
		config:      c,
		members:     map[string]*member{},
		sites:       map[string][]*unit{},
		serverCount: map[string]int{},
		selected:    map[*member]bool{},
		sizing:      newSizeController(c),
	}, nil
}

// rank returns the place of a server or pod in this instance's order. It depends on its
// arguments and the instance's name alone.
func (s *Subset) rank(kind, name string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s%s%s", len(s.config.Instance), s.config.Instance, kind, name) // a hash does not fail
	// The high bits of FNV barely differ between strings that differ in their last characters only.
	return splitmix.Mix(h.Sum64())
}

// newUnit returns the unit, still without members, that a server of the given rank belongs to.
func (s *Subset) newUnit(server Server, rank uint64) *unit {
	if !s.config.RankPods {
		return &unit{name: server.Name, rank: rank}
	}
	return &unit{pod: server.Pod, rank: s.rank("pod", fmt.Sprint(server.Site, " ", server.Pod))}
}

// Add adds a server that is ready. A known server whose site or pod changed moves there and
// keeps its failures and its place in the selection until the next Select.
func (s *Subset) Add(server Server) {
	old := s.members[server.Name]
	if old != nil {
		if old.Server == server {
			return
		}
		s.Remove(server.Name)
	}
	m := &member{Server: server, rank: s.rank("server", server.Name)}
	if old != nil {
		m.failures = old.failures
		m.selected = old.selected
		delete(s.selected, old)
		if m.selected {
			s.selected[m] = true
		}
	}
	m.unit = s.findOrInsertUnit(server.Site, s.newUnit(server, m.rank))
	index, _ := slices.BinarySearchFunc(m.unit.members, m, compareMembers)
	m.unit.members = slices.Insert(m.unit.members, index, m)
	s.members[server.Name] = m
	s.serverCount[server.Site]++
}

// findOrInsertUnit returns the site's unit that compares equal to u, and inserts u if there is none.
func (s *Subset) findOrInsertUnit(site string, u *unit) *unit {
	units := s.sites[site]
	index, found := slices.BinarySearchFunc(units, u, compareUnits)
	if found {
		return units[index]
	}
	s.sites[site] = slices.Insert(units, index, u)
	return u
}

// Remove removes a server that is not ready any more. An unknown name is ignored.
func (s *Subset) Remove(name string) {
	m := s.members[name]
	if m == nil {
		return
	}
	delete(s.members, name)
	s.serverCount[m.Site]--
	if s.serverCount[m.Site] == 0 {
		delete(s.serverCount, m.Site)
	}
	u := m.unit
	u.members = slices.DeleteFunc(u.members, func(other *member) bool { return other == m })
	if len(u.members) == 0 {
		s.deleteUnit(m.Site, u)
	}
}

func (s *Subset) deleteUnit(site string, u *unit) {
	units := s.sites[site]
	if index, found := slices.BinarySearchFunc(units, u, compareUnits); found {
		units = slices.Delete(units, index, index+1)
	}
	s.sites[site] = units
	if len(units) == 0 {
		delete(s.sites, site)
	}
}

// ObserveLoad takes in the number of requests in flight. It reports whether the wanted number
// of servers has changed, so that Select should be called.
func (s *Subset) ObserveLoad(now time.Time, inflight float64) (changed bool) {
	return s.sizing.observe(now, inflight)
}

// ObserveOutcome takes in whether a server answered a request. It reports whether a selected
// server has begun or ceased to fail, so that Select should be called.
func (s *Subset) ObserveOutcome(name string, answered bool) (changed bool) {
	m := s.members[name]
	if m == nil {
		return false
	}
	before := m.failing()
	if answered {
		m.failures = 0
	} else {
		m.failures++
	}
	return m.selected && before != m.failing()
}

// Contains reports whether a server is selected.
func (s *Subset) Contains(name string) bool {
	m := s.members[name]
	return m != nil && m.selected
}
