package balancer

import "slices"

// UpdateEndpoints handles discovery's news.
func (b *Balancer) UpdateEndpoints(now Micros, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.discovery.subscribed = false
		b.log(now, "discovery failed")
		b.retryAsk(now)
		return
	}
	told, whole := kind == ListDelta || kind == ListFull, kind == ListFull || kind == ListCached
	if told && b.settings.PollDiscovery {
		b.discovery.subscribed, b.discovery.backoff = true, 0
	}
	b.endpoints.version++
	for _, e := range b.endpoints.list {
		e.seen = false
	}
	// A thousand balancers that each probed all that is new would fill it with probes alone.
	few := b.settings.Balancers <= max(len(b.endpoints.list), len(entries))
	for i := range entries {
		b.entry(now, &entries[i], few)
	}
	b.endpoints.list = slices.DeleteFunc(b.endpoints.list, func(e *endpoint) bool {
		if whole && !e.seen {
			e.State = Removed
		}
		return b.forgotten(e)
	})
	b.endpoints.discovered = b.endpoints.discovered || told || !b.settings.PollDiscovery
}

// forgotten drops an endpoint that is gone with nothing out there, and says so.
func (b *Balancer) forgotten(e *endpoint) bool {
	forget := e.State == Removed && e.inflight == 0
	if forget && b.endpoints.byID[e.ID] == e {
		delete(b.endpoints.byID, e.ID)
	}
	return forget
}

// cleanUp drops an endpoint if it is to be forgotten: the next list may be long in coming.
func (b *Balancer) cleanUp(e *endpoint) {
	if b.forgotten(e) {
		b.endpoints.list = slices.DeleteFunc(b.endpoints.list, func(o *endpoint) bool { return o == e })
	}
}

func (b *Balancer) entry(now Micros, in *Endpoint, probe bool) {
	e := b.endpoints.byID[in.ID]
	fresh := e == nil
	if fresh {
		e = &endpoint{}
		b.endpoints.byID[in.ID] = e
		b.endpoints.list = append(b.endpoints.list, e)
	}
	restarted := !fresh && in.StartTime != 0 && in.StartTime != e.StartTime
	if restarted {
		// A new process owes nothing to the old one's record.
		*e = endpoint{inflight: e.inflight}
	}
	started := in.StartTime
	if started == 0 && fresh && b.endpoints.discovered {
		started = now // it appeared while we watched
	}
	e.Endpoint, e.seen = *in, true
	b.endpoints.maxWeight = max(b.endpoints.maxWeight, float64(e.Weight))
	if started != 0 && now-started < b.settings.Contract.SlowStartTime && (fresh || restarted) {
		// A quiet balancer takes minutes to earn one send: all start somewhere on that way, or none would send
		// anything while the endpoint is cold.
		e.slowStart.active, e.slowStart.since, e.slowStart.refilledAt = true, min(started, now), now
		e.slowStart.tokens = b.random.float() * coldCharge * b.classes[0].work.v
	}
	if probe && (fresh || restarted) {
		b.probe(now, e)
	}
}
