package engine

import (
	"cmp"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/subset"
)

// inFlightWeight is the weight of a second in the moving mean of requests in flight: about the
// last ten seconds count.
const inFlightWeight = 0.1

// fleetSubset reduces the listed fleet to the servers that a Subset selects. It is owned by the
// engine's goroutine.
type fleetSubset struct {
	selector     Subset
	fleet        map[string]Host // as listed, by name
	meanInFlight float64         // requests in flight, moving mean
}

// newFleetSubset returns nil if there is no selector.
func newFleetSubset(selector Subset) *fleetSubset {
	if selector == nil {
		return nil
	}
	return &fleetSubset{selector: selector, fleet: map[string]Host{}}
}

// observeLoad takes in the requests in flight, once a second. It reports whether reselect is due.
func (s *fleetSubset) observeLoad(now time.Time, inFlight int) bool {
	s.meanInFlight += inFlightWeight * (float64(inFlight) - s.meanInFlight)
	return s.selector.ObserveLoad(now, s.meanInFlight)
}

// filter takes in a list of the fleet, or changes, and returns the same of the selected servers
// and of those that are selected no longer. isKnown reports whether the decision module knows a
// server.
func (s *fleetSubset) filter(kind balancer.ListKind, hosts []Host, isKnown func(name string) bool) []Host {
	listed := map[string]bool{}
	var filtered []Host
	for _, h := range hosts {
		listed[h.Name] = true
		s.updateFleet(h)
		if h.State != balancer.Ready && isKnown(h.Name) {
			filtered = append(filtered, h)
		}
	}
	if kind != balancer.ListDelta {
		s.removeUnlisted(listed)
	}
	added, removed := s.selector.Select()
	if kind == balancer.ListDelta {
		filtered = append(filtered, s.removals(removed)...)
	}
	// Of the selected servers, a snapshot gives all it lists, and a change those that changed
	// or were added: it must not cost a walk over the fleet.
	for _, name := range added {
		listed[name] = true
	}
	return append(filtered, s.selectedHosts(listed)...)
}

// updateFleet takes in one server of a list or change.
func (s *fleetSubset) updateFleet(h Host) {
	if h.State == balancer.Removed {
		delete(s.fleet, h.Name)
	} else {
		s.fleet[h.Name] = h
	}
	if h.State == balancer.Ready {
		s.selector.Add(subset.Server{Name: h.Name, Site: h.Site, Pod: h.Cell})
	} else {
		s.selector.Remove(h.Name)
	}
}

// removeUnlisted removes the servers that a snapshot does not list any more.
func (s *fleetSubset) removeUnlisted(listed map[string]bool) {
	for name := range s.fleet {
		if !listed[name] {
			delete(s.fleet, name)
			s.selector.Remove(name)
		}
	}
}

// selectedHosts returns the selected ones of some servers, by name: simulations on virtual time
// must not depend on the order of a map.
func (s *fleetSubset) selectedHosts(names map[string]bool) []Host {
	var selected []Host
	for name := range names {
		if s.selector.Contains(name) {
			selected = append(selected, s.fleet[name])
		}
	}
	slices.SortFunc(selected, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return selected
}

// removals returns entries by which the decision module drops servers: nothing new is sent there,
// and pending attempts continue.
func (s *fleetSubset) removals(names []string) []Host {
	var hosts []Host
	for _, name := range names {
		h := s.fleet[name]
		h.Name = name
		h.State = balancer.Removed
		hosts = append(hosts, h)
	}
	return hosts
}

// reselect selects anew, and returns the changes.
func (s *fleetSubset) reselect() []Host {
	added, removed := s.selector.Select()
	hosts := s.removals(removed)
	for _, name := range added {
		hosts = append(hosts, s.fleet[name])
	}
	return hosts
}

// reselect has the subset select anew, and passes the changes on.
func (e *Engine) reselect(now balancer.Micros) {
	if hosts := e.subset.reselect(); len(hosts) > 0 {
		e.applyHosts(now, balancer.ListLocal, hosts)
	}
}

// observeOutcome reports the outcome of an attempt or health check to Options.Observe and to the
// subset. The subset learns nothing where nothing was sent, or nobody waited for the answer.
func (e *Engine) observeOutcome(now balancer.Micros, id uint32, status balancer.Status) {
	ep := e.endpoints.byID[id]
	if ep == nil {
		return
	}
	if ep.target != nil && e.options.ObserveOutcome != nil {
		e.options.ObserveOutcome(ep.target, status)
	}
	if e.subset == nil || status == balancer.NotSent || status == balancer.Cancelled {
		return
	}
	answered := status == balancer.OK || status == balancer.Error || status == balancer.Full
	if e.subset.selector.ObserveOutcome(ep.name, answered) {
		e.reselect(now)
	}
}
