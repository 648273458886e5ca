package balancer

import "slices"

// UpdateEndpoints handles discovery's news.
func (b *Balancer) UpdateEndpoints(now Micros, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.subscribed = false
		b.log(now, "discovery failed")
		b.retryAsk(now)
		return
	}
	told, whole := kind == ListDelta || kind == ListFull, kind == ListFull || kind == ListCached
	if told && b.s.PollDiscovery {
		b.subscribed, b.askWait = true, 0
	}
	b.lists++
	for _, e := range b.list {
		e.seen = false
	}
	// A thousand balancers that each probed all that is new would fill it with probes alone.
	few := b.s.Balancers <= max(len(b.list), len(entries))
	for i := range entries {
		b.entry(now, &entries[i], few)
	}
	b.list = slices.DeleteFunc(b.list, func(e *endpoint) bool {
		if whole && !e.seen {
			e.State = Removed
		}
		return b.forgotten(e)
	})
	b.listed = b.listed || told || !b.s.PollDiscovery
}

// forgotten drops an endpoint that is gone with nothing out there, and says so.
func (b *Balancer) forgotten(e *endpoint) bool {
	forget := e.State == Removed && e.inflight == 0
	if forget && b.byID[e.ID] == e {
		delete(b.byID, e.ID)
	}
	return forget
}

// cleanUp drops an endpoint if it is to be forgotten: the next list may be long in coming.
func (b *Balancer) cleanUp(e *endpoint) {
	if b.forgotten(e) {
		b.list = slices.DeleteFunc(b.list, func(o *endpoint) bool { return o == e })
	}
}

func (b *Balancer) entry(now Micros, in *Endpoint, probe bool) {
	e := b.byID[in.ID]
	fresh := e == nil
	if fresh {
		e = &endpoint{}
		b.byID[in.ID] = e
		b.list = append(b.list, e)
	}
	restarted := !fresh && in.StartTime != 0 && in.StartTime != e.StartTime
	if restarted {
		// A new process owes nothing to the old one's record.
		*e = endpoint{inflight: e.inflight}
	}
	started := in.StartTime
	if started == 0 && fresh && b.listed {
		started = now // it appeared while we watched
	}
	e.Endpoint, e.seen = *in, true
	b.largest = max(b.largest, float64(e.Weight))
	if started != 0 && now-started < b.s.Contract.SlowStartTime && (fresh || restarted) {
		// A quiet balancer takes minutes to earn one send: all start somewhere on that way, or none would send
		// anything while the endpoint is cold.
		e.isCold, e.coldFrom, e.roomAt = true, min(started, now), now
		e.room = b.rng.float() * coldCharge * b.classes[0].work.v
	}
	if probe && (fresh || restarted) {
		b.probe(now, e)
	}
}
