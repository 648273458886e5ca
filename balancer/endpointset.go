package balancer

import "container/heap"

// endpointSet holds the endpoints that discovery has listed, and groups of those that are ready. What a change of
// one endpoint costs does not depend on how many there are.
type endpointSet struct {
	byID       map[uint32]*endpoint
	list       []*endpoint // in no order
	version    int         // membership events so far
	discovered bool        // discovery has answered since the start
	maxWeight  float64     // of any endpoint so far

	ready        endpointGroup // all that are ready
	groups       map[groupKey]*endpointGroup
	slowStartEnd slowStartQueue
	ownerGroups  bool // groupOwnersInFleet and groupOwnersInZone are kept
	zone         int  // of this balancer
}

// newEndpointSet returns an empty set. With ownerGroups it keeps the groups that owners of keys are chosen from.
func newEndpointSet(zone int, ownerGroups bool) endpointSet {
	return endpointSet{
		byID:        map[uint32]*endpoint{},
		groups:      map[groupKey]*endpointGroup{},
		zone:        zone,
		ownerGroups: ownerGroups,
	}
}

// groupKind says by what the endpoints of a group are alike.
type groupKind uint8

const (
	groupZone          groupKind = iota // by zone
	groupCell                           // by cell
	groupPool                           // by pool, counted from 1
	groupOwnersInFleet                  // by ownerBucket
	groupOwnersInZone                   // by ownerBucket, in this balancer's zone only
)

// groupKey names a group of the ready endpoints.
type groupKey struct {
	kind groupKind
	id   uint16
}

// endpointGroup is a group of ready endpoints, with the sums that are kept of it.
type endpointGroup struct {
	warm      []*endpoint
	slowStart []*endpoint
	weight    int64 // of all, in weightUnits
}

// membership is an endpoint's place in a group.
type membership struct {
	group *endpointGroup
	index int
}

// weightUnit is the unit of endpointGroup.weight: integers sum up the same in every order.
const (
	weightUnit     = 1.0 / (1 << 20)
	maxWeightUnits = 1 << 40
)

// weightUnits returns e's weight in whole units, 0 if it makes no sense.
func (e *endpoint) weightUnits() int64 {
	weight := float64(e.Weight) / weightUnit
	if !(weight > 0) { // also true of NaN
		return 0
	}
	return int64(min(weight, maxWeightUnits))
}

func (g *endpointGroup) len() int { return len(g.warm) + len(g.slowStart) }

// at returns a member by its index, of the warm ones first.
func (g *endpointGroup) at(i int) *endpoint {
	if i < len(g.warm) {
		return g.warm[i]
	}
	return g.slowStart[i-len(g.warm)]
}

// part returns the members that are in slow start, or those that are not.
func (g *endpointGroup) part(slowStart bool) *[]*endpoint {
	if slowStart {
		return &g.slowStart
	}
	return &g.warm
}

// add adds e, and notes its place.
func (g *endpointGroup) add(e *endpoint) {
	members := g.part(e.slowStart.active)
	e.memberships = append(e.memberships, membership{group: g, index: len(*members)})
	*members = append(*members, e)
	g.weight += e.weightUnits()
}

// remove removes e from its place; the last member takes that.
func (g *endpointGroup) remove(e *endpoint, index int) {
	members := g.part(e.slowStart.active)
	last := len(*members) - 1
	moved := (*members)[last]
	(*members)[index] = moved
	(*members)[last] = nil
	*members = (*members)[:last]
	for i := range moved.memberships {
		if moved.memberships[i].group == g {
			moved.memberships[i].index = index
		}
	}
	g.weight -= e.weightUnits()
}

// group returns the group of a key, which may be empty.
func (s *endpointSet) group(key groupKey) *endpointGroup {
	g := s.groups[key]
	if g == nil {
		g = &endpointGroup{}
		s.groups[key] = g
	}
	return g
}

// enterGroups enters e into its groups if it is ready. Whatever they depend on must not change until exitGroups.
func (s *endpointSet) enterGroups(e *endpoint) {
	if e.State != Ready {
		return
	}
	s.ready.add(e)
	s.group(groupKey{groupZone, uint16(e.Zone)}).add(e)
	s.group(groupKey{groupCell, e.Cell}).add(e)
	for pool := uint16(1); e.Pools>>(pool-1) != 0; pool++ {
		if e.Pools>>(pool-1)&1 != 0 {
			s.group(groupKey{groupPool, pool}).add(e)
		}
	}
	if !s.ownerGroups {
		return
	}
	s.group(groupKey{groupOwnersInFleet, e.ownerBucket()}).add(e)
	if int(e.Zone) == s.zone {
		s.group(groupKey{groupOwnersInZone, e.ownerBucket()}).add(e)
	}
}

// exitGroups removes e from its groups.
func (s *endpointSet) exitGroups(e *endpoint) {
	for _, m := range e.memberships {
		m.group.remove(e, m.index)
	}
	e.memberships = e.memberships[:0]
}

// add enters a new endpoint.
func (s *endpointSet) add(id uint32) *endpoint {
	e := &endpoint{listIndex: len(s.list)}
	s.byID[id] = e
	s.list = append(s.list, e)
	return e
}

// dropUnused forgets e if it is removed with nothing in flight.
func (s *endpointSet) dropUnused(e *endpoint) {
	if e.State != Removed || e.inFlight != 0 || s.byID[e.ID] != e {
		return
	}
	s.exitGroups(e)
	delete(s.byID, e.ID)
	last := len(s.list) - 1
	moved := s.list[last]
	s.list[e.listIndex] = moved
	moved.listIndex = e.listIndex
	s.list[last] = nil
	s.list = s.list[:last]
}

// beginSlowStart has e, which has not joined yet, in slow start until the given instant.
func (s *endpointSet) beginSlowStart(e *endpoint, until Micros) {
	e.slowStart.active = true
	heap.Push(&s.slowStartEnd, slowStartEntry{endpoint: e, since: e.slowStart.since, until: until})
}

// advance ends the slow start of endpoints whose time is over.
func (s *endpointSet) advance(now Micros) {
	for len(s.slowStartEnd) > 0 && s.slowStartEnd[0].until <= now {
		ended := heap.Pop(&s.slowStartEnd).(slowStartEntry)
		e := ended.endpoint
		if !e.slowStart.active || e.slowStart.since != ended.since {
			continue // it has restarted
		}
		if isMember := len(e.memberships) > 0; isMember {
			s.exitGroups(e)
			e.slowStart.active = false
			s.enterGroups(e)
		}
		e.slowStart.active = false
	}
}

// slowStartQueue has the ends of slow starts, the first one on top of the heap.
type slowStartQueue []slowStartEntry

// slowStartEntry is the end of a slow start that began at since.
type slowStartEntry struct {
	endpoint *endpoint
	since    Micros
	until    Micros
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q slowStartQueue) Len() int           { return len(q) }
func (q slowStartQueue) Less(i, j int) bool { return q[i].until < q[j].until }
func (q slowStartQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *slowStartQueue) Push(x any)        { *q = append(*q, x.(slowStartEntry)) }

// Pop removes the last entry.
func (q *slowStartQueue) Pop() any {
	last := len(*q) - 1
	entry := (*q)[last]
	(*q)[last] = slowStartEntry{}
	*q = (*q)[:last]
	return entry
}
