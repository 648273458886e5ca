package engine

import (
	"cmp"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/subset"
)

// inFlightWeight is the weight of a new sample in the moving mean of requests in flight. With one
// sample per second, the mean covers about the last ten seconds.
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

// observeLoad records the requests in flight, once a second. It reports whether reselect is due.
func (s *fleetSubset) observeLoad(now time.Time, inFlight int) bool {
	s.meanInFlight += inFlightWeight * (float64(inFlight) - s.meanInFlight)
	return s.selector.ObserveLoad(now, s.meanInFlight)
}

// filter applies a list of the fleet, or changes, and returns the entries of it that concern selected
// servers and those no longer selected. isKnown reports whether the decision module knows a
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
	// Of the selected servers, a snapshot yields all that it lists, and a delta only those that it
	// changes or that Select added, since a delta must not cost an iteration over the fleet.
	for _, name := range added {
		listed[name] = true
	}
	return append(filtered, s.selectedHosts(listed)...)
}

// updateFleet applies one entry of a list or delta.
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

// removeUnlisted removes the servers that a snapshot no longer lists.
func (s *fleetSubset) removeUnlisted(listed map[string]bool) {
	for name := range s.fleet {
		if !listed[name] {
			delete(s.fleet, name)
			s.selector.Remove(name)
		}
	}
}

// selectedHosts returns those of the named servers that are selected, sorted by name: simulations
// on virtual time must not depend on the iteration order of a map.
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

// removals returns entries that remove servers from the decision module: nothing new is sent to them,
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

// reselect computes a new selection, and returns the changes.
func (s *fleetSubset) reselect() []Host {
	added, removed := s.selector.Select()
	hosts := s.removals(removed)
	for _, name := range added {
		hosts = append(hosts, s.fleet[name])
	}
	return hosts
}

// reselect computes a new selection, and applies the changes.
func (e *Engine) reselect(now balancer.Micros) {
	if hosts := e.subset.reselect(); len(hosts) > 0 {
		e.applyHosts(now, balancer.ListLocal, hosts)
	}
}

// observeOutcome reports the outcome of an attempt or health check to Options.ObserveOutcome and to
// the subset. Outcomes of attempts that were not sent, or that were cancelled, are kept from the subset.
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
