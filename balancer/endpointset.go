package balancer

import "container/heap"

// endpointSet holds the endpoints that discovery has listed, and groups of those that are ready. The cost of changing
// one endpoint does not depend on the number of endpoints.
type endpointSet struct {
	byID       map[uint32]*endpoint
	list       []*endpoint // unordered
	version    int         // number of membership events so far
	discovered bool        // discovery has answered since the start
	maxWeight  float64     // highest weight of any endpoint so far

	ready        endpointGroup // all that are ready
	groups       map[groupKey]*endpointGroup
	slowStartEnd slowStartQueue
	ownerGroups  bool // groupOwnersInFleet and groupOwnersInZone are maintained
	zone         int  // of this balancer
}

// newEndpointSet returns an empty set. With ownerGroups it maintains the groups from which key owners are chosen.
func newEndpointSet(zone int, ownerGroups bool) endpointSet {
	return endpointSet{
		byID:        map[uint32]*endpoint{},
		groups:      map[groupKey]*endpointGroup{},
		zone:        zone,
		ownerGroups: ownerGroups,
	}
}

// groupKind is the property that the endpoints of a group share.
type groupKind uint8

const (
	groupZone          groupKind = iota // by zone
	groupCell                           // by cell
	groupPool                           // by pool, counted from 1
	groupOwnersInFleet                  // by ownerBucket
	groupOwnersInZone                   // by ownerBucket, in this balancer's zone only
)

// groupKey identifies a group of ready endpoints.
type groupKey struct {
	kind groupKind
	id   uint16
}

// endpointGroup is a group of ready endpoints and the sum of their weights.
type endpointGroup struct {
	warm      []*endpoint
	slowStart []*endpoint
	weight    int64 // sum over all members, in weightUnits
}

// membership is the position of an endpoint in a group.
type membership struct {
	group *endpointGroup
	index int
}

// weightUnit is the unit of endpointGroup.weight. Sums of integers do not depend on the order of additions.
const (
	weightUnit     = 1.0 / (1 << 20)
	maxWeightUnits = 1 << 40
)

// weightUnits returns e's weight in whole units, or 0 if the weight is not a positive number.
func (e *endpoint) weightUnits() int64 {
	weight := float64(e.Weight) / weightUnit
	if !(weight > 0) { // also true of NaN
		return 0
	}
	return int64(min(weight, maxWeightUnits))
}

func (g *endpointGroup) len() int { return len(g.warm) + len(g.slowStart) }

// at returns the member at an index, counting warm members before those in slow start.
func (g *endpointGroup) at(i int) *endpoint {
	if i < len(g.warm) {
		return g.warm[i]
	}
	return g.slowStart[i-len(g.warm)]
}

// part returns the members that are in slow start, or the warm ones.
func (g *endpointGroup) part(slowStart bool) *[]*endpoint {
	if slowStart {
		return &g.slowStart
	}
	return &g.warm
}

// add adds e and records its position.
func (g *endpointGroup) add(e *endpoint) {
	members := g.part(e.slowStart.active)
	e.memberships = append(e.memberships, membership{group: g, index: len(*members)})
	*members = append(*members, e)
	g.weight += e.weightUnits()
}

// remove removes e, which is at index, and moves the last member to that index.
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

// group returns the group of a key and creates it if necessary.
func (s *endpointSet) group(key groupKey) *endpointGroup {
	g := s.groups[key]
	if g == nil {
		g = &endpointGroup{}
		s.groups[key] = g
	}
	return g
}

// enterGroups adds e to its groups if it is ready. The fields that determine them must not change until exitGroups.
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

// add adds an endpoint with this ID.
func (s *endpointSet) add(id uint32) *endpoint {
	e := &endpoint{listIndex: len(s.list)}
	s.byID[id] = e
	s.list = append(s.list, e)
	return e
}

// dropUnused deletes e if it is removed and has nothing in flight.
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

// beginSlowStart marks e, which must not be in any group yet, as in slow start until the given instant.
func (s *endpointSet) beginSlowStart(e *endpoint, until Micros) {
	e.slowStart.active = true
	heap.Push(&s.slowStartEnd, slowStartEntry{endpoint: e, since: e.slowStart.since, until: until})
}

// advance moves endpoints whose slow start has ended to the warm members of their groups.
func (s *endpointSet) advance(now Micros) {
	for len(s.slowStartEnd) > 0 && s.slowStartEnd[0].until <= now {
		ended := heap.Pop(&s.slowStartEnd).(slowStartEntry)
		e := ended.endpoint
		if !e.slowStart.active || e.slowStart.since != ended.since {
			continue // the endpoint has restarted since
		}
		if isMember := len(e.memberships) > 0; isMember {
			s.exitGroups(e)
			e.slowStart.active = false
			s.enterGroups(e)
		}
		e.slowStart.active = false
	}
}

// slowStartQueue is a heap of slow starts, ordered by their end.
type slowStartQueue []slowStartEntry

// slowStartEntry records when a slow start of an endpoint ends. An entry whose since is not the endpoint's current one
// belongs to an earlier incarnation.
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
