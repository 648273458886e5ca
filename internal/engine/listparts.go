package engine

import (
	"cmp"
	"context"
	"slices"

	"pinedale/balancer"
)

// hostsPerPart is how many entries of a list are taken in by one event.
const hostsPerPart = 64

// updateInParts takes in a long list or many changes, one part after the other: other events have
// their turn in between. What must get no new request comes first. It gives up when ctx ends. It
// must not be called on the engine's goroutine.
//
// The decision module gets a complete list as changes, with the removals of what it does not name.
func (e *Engine) updateInParts(ctx context.Context, kind balancer.ListKind, list List) {
	lastKind := kind
	changes := slices.Clone(list.Hosts)
	if kind == balancer.ListFull || kind == balancer.ListCached {
		lastKind = balancer.ListDelta
		if kind == balancer.ListCached {
			lastKind = balancer.ListLocal
		}
		e.callUnlessEnded(ctx, func(balancer.Micros) {
			changes = append(changes, e.endpoints.removalsByList(list.Hosts)...)
		})
	}
	slices.SortStableFunc(changes, func(a, b Host) int { return cmp.Compare(readyRank(a), readyRank(b)) })
	for start := 0; start < len(changes); start += hostsPerPart {
		end := min(start+hostsPerPart, len(changes))
		e.callUnlessEnded(ctx, func(now balancer.Micros) {
			if end < len(changes) {
				e.applyHosts(now, balancer.ListPart, changes[start:end])
				return
			}
			e.discovery.version = &list.Version
			e.applyHosts(now, lastKind, changes[start:end])
		})
	}
}

// readyRank orders entries: those that are not ready come first.
func readyRank(h Host) int {
	if h.State == balancer.Ready {
		return 1
	}
	return 0
}

// removalsByList returns entries that remove the endpoints that a complete list does not name, by
// name.
func (r *endpointRegistry) removalsByList(hosts []Host) []Host {
	r.beginSnapshot()
	for _, h := range hosts {
		if ep := r.byID[r.idByName[h.Name]]; ep != nil {
			ep.listedIn = r.snapshot
		}
	}
	var removals []Host
	for _, ep := range r.unlisted() {
		removed := ep.host
		removed.Name = ep.name
		removed.State = balancer.Removed
		removals = append(removals, removed)
	}
	slices.SortFunc(removals, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return removals
}

// callUnlessEnded is Call for an event that is left out once ctx has ended.
func (e *Engine) callUnlessEnded(ctx context.Context, event event) {
	if ctx.Err() != nil {
		return
	}
	e.Call(func(now balancer.Micros) {
		if ctx.Err() == nil {
			event(now)
		}
	})
}
