package engine

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"pinedale/balancer"
)

// Where lists are pushed the balancer never asks: a watch that failed begins
// again by itself after this pause.
const pushedPause = time.Second

// member is what the engine holds of an endpoint until it is gone and nothing is
// out there any more. Endpoints come and go all day under ever new names.
type member struct {
	name   string
	host   Host    // as last listed
	target *Target // nil unless ready
	zone   uint8
	cell   uint16
	out    int // attempts and probes without outcome
	gone   bool
}

// unknownName numbers a zone or kind that the settings do not list.
const unknownName = 255

func number(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < unknownName {
		return uint8(i)
	}
	return unknownName
}

// members passes on a list and brings the targets in line with it.
func (e *Engine) members(now balancer.Micros, kind balancer.ListKind, list List) {
	if kind == balancer.ListFailed {
		e.balancer.UpdateEndpoints(now, kind, nil)
		return
	}
	e.seq = &list.Version
	if e.opts.Subset != nil {
		list = e.narrow(kind, list)
	}
	e.tell(now, kind, list)
}

// tell passes on a list of what is held.
func (e *Engine) tell(now balancer.Micros, kind balancer.ListKind, list List) {
	entries := make([]balancer.Endpoint, 0, len(list.Hosts))
	named := map[uint32]bool{}
	for _, h := range list.Hosts {
		id := e.ids[h.Name]
		if id == 0 {
			if h.State == balancer.Removed {
				continue
			}
			e.lastEP++
			id = e.lastEP
			e.ids[h.Name], e.fleet[id] = id, &member{name: h.Name}
		}
		named[id] = true
		entries = append(entries, e.entry(id, h))
		e.aim(id, h)
	}
	ready := false
	for id, m := range e.fleet {
		if (kind == balancer.ListFull || kind == balancer.ListCached) && !named[id] {
			e.aim(id, Host{State: balancer.Removed})
		}
		ready = ready || m.target != nil
	}
	e.listed.Store(ready)
	e.balancer.UpdateEndpoints(now, kind, entries)
}

// entry is an endpoint as the balancer is told of it.
func (e *Engine) entry(id uint32, h Host) balancer.Endpoint {
	same := fnv.New64a()
	same.Write([]byte(h.Name))
	out := balancer.Endpoint{ID: id, StableID: same.Sum64(), Zone: number(e.opts.Zones, h.Site), Kind: number(e.opts.Kinds, h.Kind),
		Cell: h.Cell, State: e.stateOf(h), Weight: h.Weight}
	if h.StartedMS > 0 {
		out.StartTime = h.StartedMS * 1000
	}
	if e.opts.Pools != nil {
		out.Pools = e.opts.Pools(h.Site, h.Kind)
	}
	return out
}

// UpdateEndpoints passes on a list or changes where no source is watched. It must be called on
// the engine's goroutine.
func (e *Engine) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, list List) {
	e.members(now, kind, list)
}

// aim points an endpoint's id at where it is reached now. A target that drains,
// is gone or has restarted is closed, so that a send on its way does not start.
func (e *Engine) aim(id uint32, h Host) {
	m := e.fleet[id]
	m.gone = h.State == balancer.Removed
	if !m.gone {
		m.host = h
		m.zone, m.cell = number(e.opts.Zones, h.Site), h.Cell
	}
	ready := e.stateOf(h) == balancer.Ready
	if t := m.target; t != nil && (!ready || t.Address != h.Address || t.StartedMS != h.StartedMS) {
		t.Close()
		e.opts.Upstream.Retire(t)
		m.target = nil
		if e.addresses[t.Address] == id {
			delete(e.addresses, t.Address)
		}
	}
	if m.target == nil && ready {
		m.target = &Target{Name: h.Name, Address: h.Address, StartedMS: h.StartedMS}
		e.addresses[h.Address] = id
	}
	e.forgetMember(id)
}

func (e *Engine) forgetMember(id uint32) {
	if m := e.fleet[id]; m.gone && m.out == 0 {
		delete(e.ids, m.name)
		delete(e.fleet, id)
	}
}

// SetAdvisedDraining has endpoints be taken for draining that others know to drain and the own source
// lists as ready: by name, with the start that is meant. It replaces the advice of before, and
// must be called on the engine's goroutine.
func (e *Engine) SetAdvisedDraining(now balancer.Micros, draining map[string]int64) {
	before := e.advised
	e.advised = draining
	names := slices.AppendSeq(slices.Collect(maps.Keys(before)), maps.Keys(draining))
	slices.Sort(names)
	var entries []balancer.Endpoint
	for _, name := range slices.Compact(names) {
		id := e.ids[name]
		m := e.fleet[id]
		if m == nil || m.gone || (m.target != nil) == (e.stateOf(m.host) == balancer.Ready) {
			continue
		}
		entries = append(entries, e.entry(id, m.host))
		e.aim(id, m.host)
	}
	if len(entries) > 0 {
		e.balancer.UpdateEndpoints(now, balancer.ListHost, entries)
	}
}

// stateOf is what a listed endpoint is taken for.
func (e *Engine) stateOf(h Host) balancer.State {
	if born, ok := e.advised[h.Name]; ok && born == h.StartedMS && h.State == balancer.Ready {
		return balancer.Draining
	}
	return h.State
}

// EndpointAt returns the number of the ready endpoint that is reached at an address, 0
// if none is. It must be called on the engine's goroutine.
func (e *Engine) EndpointAt(address string) uint32 { return e.addresses[address] }

// Location returns the zone and cell that an endpoint was last listed with. It must
// be called on the engine's goroutine.
func (e *Engine) Location(id uint32) (zone uint8, cell uint16) {
	if m := e.fleet[id]; m != nil {
		return m.zone, m.cell
	}
	return unknownName, 0
}

// depart counts something out to an endpoint and returns where that is reached,
// nil if nothing may go there. The balancer may know an endpoint for a moment
// longer than the engine does.
func (e *Engine) depart(id uint32) *Target {
	m := e.fleet[id]
	if m == nil {
		return nil
	}
	m.out++
	return m.target
}

// back is depart's end.
func (e *Engine) back(id uint32) {
	if m := e.fleet[id]; m != nil {
		m.out--
		e.forgetMember(id)
	}
}

// watch begins to watch the source, from the last version on, or ends it.
func (e *Engine) watch(on bool) {
	e.stopWatch()
	if !on || e.source == nil {
		return
	}
	ctx, stop := context.WithCancel(e.ctx)
	e.stopWatch = stop
	seq, source := e.seq, e.source
	tell := func(kind balancer.ListKind, list List) {
		e.Post(func(now balancer.Micros) {
			if ctx.Err() == nil { // else the watch was ended meanwhile
				e.members(now, kind, list)
			}
		})
	}
	go func() {
		for ctx.Err() == nil {
			var err error
			seq, err = source.Watch(ctx, seq, tell)
			if ctx.Err() == nil {
				e.log.Warn("membership", "error", err)
			}
			if e.opts.Settings.PollDiscovery {
				return // when to ask again is the balancer's decision
			}
			select {
			case <-time.After(pushedPause):
			case <-ctx.Done():
			}
		}
	}()
}
