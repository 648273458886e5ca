package subset

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"pinedale/internal/splitmix"
)

// failureThreshold is the number of consecutive failures after which a server counts as failing.
// A single connection reset is not evidence of a failure.
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
	rank     uint64 // position in the instance's order, lowest first
	unit     *unit  // that contains this member
	failures int    // consecutive
	selected bool   // as of the last Select
}

func (m *member) failing() bool { return m.failures >= failureThreshold }

func compareMembers(a, b *member) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
}

// unit is what is ranked within a site: a pod if Config.RankPods is set, otherwise a server.
type unit struct {
	pod     uint16    // of a pod, 0 for a server
	name    string    // of a server, "" for a pod
	rank    uint64    // position in the instance's order, lowest first
	members []*member // sorted by compareMembers
}

func compareUnits(a, b *unit) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.pod, b.pod), cmp.Compare(a.name, b.name))
}

// Subset is the selection of one instance. It is not safe for concurrent use.
type Subset struct {
	config      Config
	members     map[string]*member // by name
	sites       map[string][]*unit // by site; sorted by compareUnits
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

// rank returns the position of a server or pod in this instance's order. It depends only on its
// arguments and the instance's name.
func (s *Subset) rank(kind, name string) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %s%s%s", len(s.config.Instance), s.config.Instance, kind, name) // a hash never fails
	// The high bits of FNV barely differ between strings that differ in their last characters only.
	return splitmix.Mix(hash.Sum64())
}

// newUnit returns a unit without members for a server of the given rank.
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
	if old != nil && old.Server == server {
		return
	}
	m := &member{Server: server, rank: s.rank("server", server.Name)}
	if old != nil {
		s.Remove(server.Name)
		s.transferState(old, m)
	}
	s.insert(m)
}

// transferState copies the failures and the selection of a removed member to its replacement.
func (s *Subset) transferState(old, replacement *member) {
	replacement.failures = old.failures
	replacement.selected = old.selected
	delete(s.selected, old)
	if replacement.selected {
		s.selected[replacement] = true
	}
}

// insert adds a member to its unit and to the indexes by name and by site.
func (s *Subset) insert(m *member) {
	m.unit = s.findOrInsertUnit(m.Site, s.newUnit(m.Server, m.rank))
	index, _ := slices.BinarySearchFunc(m.unit.members, m, compareMembers)
	m.unit.members = slices.Insert(m.unit.members, index, m)
	s.members[m.Name] = m
	s.serverCount[m.Site]++
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

// Remove removes a server that is no longer ready. An unknown name is ignored.
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

// deleteUnit removes a unit without members from its site, and removes the site if that was its last unit.
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

// ObserveLoad records the number of requests in flight. It reports whether the wanted number of
// servers has changed, in which case Select should be called.
func (s *Subset) ObserveLoad(now time.Time, inFlight float64) (changed bool) {
	return s.sizing.observe(now, inFlight)
}

// ObserveOutcome records whether a server answered a request. It reports whether a selected
// server has started or stopped failing, in which case Select should be called.
func (s *Subset) ObserveOutcome(name string, answered bool) (changed bool) {
	m := s.members[name]
	if m == nil {
		return false
	}
	wasFailing := m.failing()
	if answered {
		m.failures = 0
	} else {
		m.failures++
	}
	return m.selected && wasFailing != m.failing()
}

// Contains reports whether a server is selected.
func (s *Subset) Contains(name string) bool {
	m := s.members[name]
	return m != nil && m.selected
}
