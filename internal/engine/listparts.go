package engine

import (
	"cmp"
	"slices"

	"pinedale/balancer"
)

// hostsPerPart is the number of list entries that one event applies.
const hostsPerPart = 64

// updateInParts applies a long list or many changes in parts, so that other events can run in
// between. Entries of endpoints that must get no new requests come first. It returns early when the
// watch that reported them ends. It must not be called on the engine's goroutine.
//
// A complete list is passed to the decision module as changes, with removals of the endpoints that
// it does not name.
func (e *Engine) updateInParts(w *sourceWatch, kind balancer.ListKind, list List) {
	lastKind := kind
	if isSnapshot(kind) {
		lastKind = balancer.ListDelta
		if kind == balancer.ListCached {
			lastKind = balancer.ListLocal
		}
	}
	var changes []Host
	e.callUnlessEnded(w, func(balancer.Micros) {
		changes = slices.Clone(e.entriesOf(w, list))
		if isSnapshot(kind) {
			changes = append(changes, e.endpoints.removalsByList(changes)...)
		}
	})
	if w.ctx.Err() != nil {
		return // the event may still run while the engine ends
	}
	slices.SortStableFunc(changes, func(a, b Host) int { return cmp.Compare(readyRank(a), readyRank(b)) })
	for start := 0; start < len(changes); start += hostsPerPart {
		end := min(start+hostsPerPart, len(changes))
		partKind := balancer.ListPart
		if end == len(changes) {
			partKind = lastKind
		}
		e.callUnlessEnded(w, func(now balancer.Micros) {
			e.applyPart(now, w, partKind, List{Version: list.Version, Hosts: changes[start:end]})
		})
	}
}

// applyPart applies a part of the report of a watch.
func (e *Engine) applyPart(now balancer.Micros, w *sourceWatch, kind balancer.ListKind, part List) {
	d := &e.discovery
	isLast := kind != balancer.ListPart
	if w != d.current {
		kind = balancer.ListLocal
	}
	e.applyHosts(now, kind, part.Hosts)
	switch {
	case !isLast:
	case w == d.current:
		d.version = &part.Version
		d.latest = part.Version
	default:
		w.end()
		d.latest = max(d.latest, part.Version)
	}
}

// readyRank is a sort key that puts entries that are not ready first.
func readyRank(h Host) int {
	if h.State == balancer.Ready {
		return 1
	}
	return 0
}

// removalsByList returns entries that remove the endpoints that a complete list does not name,
// sorted by name.
func (r *endpointRegistry) removalsByList(hosts []Host) []Host {
	r.beginSnapshot()
	for _, h := range hosts {
		if ep := r.byID[r.idByName[h.Name]]; ep != nil {
			ep.lastSnapshotSeq = r.snapshotSeq
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

// callUnlessEnded is Call for an event of a list that a watch reports. It is skipped if the watch
// has ended or a later one has reported a list.
func (e *Engine) callUnlessEnded(w *sourceWatch, event event) {
	if w.ctx.Err() != nil {
		return
	}
	e.Call(func(now balancer.Micros) {
		if e.discovery.accepts(w) {
			e.discovery.supersede(w)
			event(now)
		}
	})
}
