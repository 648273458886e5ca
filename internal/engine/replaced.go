package engine

import "pinedale/balancer"

// kindForReplaced returns the kind as which the decision module gets a list of a replaced source.
// It is not the response to the poll of the current source, which may have failed.
func kindForReplaced(kind balancer.ListKind) balancer.ListKind {
	if isSnapshot(kind) {
		return balancer.ListCached
	}
	return balancer.ListLocal
}

// isSnapshot reports whether a list of this kind names all endpoints.
func isSnapshot(kind balancer.ListKind) bool {
	return kind == balancer.ListFull || kind == balancer.ListCached
}

// entriesOf returns the entries of a report that are to be applied: all of them, unless a replaced
// source reports a lower version than that of the last list. Its answer may be older, or its
// versions may be counted otherwise. Drains and removals are then applied, but no endpoint becomes
// ready, and ready ones stay as they are.
func (e *Engine) entriesOf(w *sourceWatch, list List) []Host {
	if w == e.discovery.current || list.Version >= e.discovery.latest {
		return list.Hosts
	}
	var entries []Host
	for _, h := range list.Hosts {
		if h.State == balancer.Ready {
			known, ok := e.knownHost(h.Name)
			if !ok {
				continue
			}
			h = known
		}
		entries = append(entries, h)
	}
	return entries
}

// knownHost returns the entry of a listed endpoint as it was last applied.
func (e *Engine) knownHost(name string) (Host, bool) {
	if e.subset != nil {
		h, ok := e.subset.fleet[name]
		return h, ok
	}
	ep := e.endpoints.byID[e.endpoints.idByName[name]]
	if ep == nil || ep.removed {
		return Host{}, false
	}
	h := ep.host
	h.Name = name
	return h, true
}
