package engine

import (
	"cmp"
	"slices"

	"pinedale/balancer"
	"pinedale/internal/subset"
)

// narrow makes of a list of the fleet one of the servers that are held, and of those that
// are no longer.
func (e *Engine) narrow(kind balancer.ListKind, list List) List {
	if e.whole == nil {
		e.whole = map[string]Host{}
	}
	out := List{Version: list.Version, Complete: list.Complete}
	named := map[string]bool{}
	for _, h := range list.Hosts {
		named[h.Name] = true
		if h.State == balancer.Removed {
			delete(e.whole, h.Name)
		} else {
			e.whole[h.Name] = h
		}
		if h.State == balancer.Ready {
			e.opts.Subset.Add(subset.Server{Name: h.Name, Site: h.Site, Pod: h.Cell})
			continue
		}
		e.opts.Subset.Remove(h.Name)
		if e.ids[h.Name] != 0 { // what is held drains, or is gone: the balancer hears of it
			out.Hosts = append(out.Hosts, h)
		}
	}
	if kind != balancer.ListDelta {
		for name := range e.whole {
			if !named[name] {
				delete(e.whole, name)
				e.opts.Subset.Remove(name)
			}
		}
	}
	added, removed := e.opts.Subset.Select()
	if kind == balancer.ListDelta {
		out.Hosts = append(out.Hosts, e.left(removed)...)
	}
	// Of what is held all that a whole list names is told of it, and of changes what has
	// changed or is new: a change must not cost a walk over the fleet. In the order of names:
	// plays on virtual time must not depend on that of a map.
	from := len(out.Hosts)
	for _, name := range added {
		named[name] = true
	}
	for name := range named {
		if e.opts.Subset.Contains(name) {
			out.Hosts = append(out.Hosts, e.whole[name])
		}
	}
	slices.SortFunc(out.Hosts[from:], func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// left are entries by which the balancer lets go of servers: no more is sent there, and what
// is out there goes on.
func (e *Engine) left(names []string) (hosts []Host) {
	for _, name := range names {
		h := e.whole[name]
		h.Name, h.State = name, balancer.Removed
		hosts = append(hosts, h)
	}
	return hosts
}

// choose has the subset choose anew, and tells the balancer what follows.
func (e *Engine) choose(now balancer.Micros) {
	added, removed := e.opts.Subset.Select()
	list := List{Hosts: e.left(removed)}
	for _, name := range added {
		list.Hosts = append(list.Hosts, e.whole[name])
	}
	if len(list.Hosts) > 0 {
		e.tell(now, balancer.ListHost, list)
	}
}

// answered tells the subset how an endpoint has fared. Nothing is learned where nothing was
// sent, or nobody waited.
func (e *Engine) answered(now balancer.Micros, endpoint uint32, s balancer.Status) {
	m := e.fleet[endpoint]
	if m != nil && m.target != nil && e.opts.Observe != nil {
		e.opts.Observe(m.target, s)
	}
	if e.opts.Subset == nil || m == nil || s == balancer.NotSent || s == balancer.Cancelled {
		return
	}
	ok := s == balancer.OK || s == balancer.Error || s == balancer.Full
	if e.opts.Subset.ObserveOutcome(m.name, ok) {
		e.choose(now)
	}
}
