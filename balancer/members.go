package balancer

import "slices"

// UpdateEndpoints handles a membership event of discovery.
func (b *Balancer) UpdateEndpoints(now Micros, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.discovery.subscribed = false
		b.log(now, "discovery failed")
		b.pollAfterBackoff(now)
		return
	}
	live := kind == ListDelta || kind == ListFull
	snapshot := kind == ListFull || kind == ListCached
	if live && b.settings.PollDiscovery {
		b.discovery.subscribed = true
		b.discovery.backoff = 0
	}
	b.endpoints.version++
	for _, e := range b.endpoints.list {
		e.inSnapshot = false
	}
	// If a thousand balancers each probed every new endpoint, probes alone would saturate it.
	probeNew := b.settings.Balancers <= max(len(b.endpoints.list), len(entries))
	for i := range entries {
		b.updateEndpoint(now, &entries[i], probeNew)
	}
	b.endpoints.list = slices.DeleteFunc(b.endpoints.list, func(e *endpoint) bool {
		if snapshot && !e.inSnapshot {
			e.State = Removed
		}
		return b.dropIfRemoved(e)
	})
	b.endpoints.discovered = b.endpoints.discovered || live || !b.settings.PollDiscovery
}

// updateEndpoint takes over one entry, of an endpoint that may be new or restarted.
func (b *Balancer) updateEndpoint(now Micros, in *Endpoint, probeNew bool) {
	e := b.endpoints.byID[in.ID]
	added := e == nil
	if added {
		e = &endpoint{}
		b.endpoints.byID[in.ID] = e
		b.endpoints.list = append(b.endpoints.list, e)
	}
	restarted := !added && in.StartTime != 0 && in.StartTime != e.StartTime
	if restarted {
		// The old process's statistics do not apply to a new one.
		*e = endpoint{inFlight: e.inFlight}
	}
	started := in.StartTime
	if started == 0 && added && b.endpoints.discovered {
		started = now // it appeared since discovery first answered
	}
	e.Endpoint = *in
	e.inSnapshot = true
	b.endpoints.maxWeight = max(b.endpoints.maxWeight, float64(e.Weight))
	if !added && !restarted {
		return
	}
	if started != 0 && now-started < b.settings.Contract.SlowStartTime {
		b.startSlowStart(now, e, started)
	}
	if probeNew {
		b.sendProbe(now, e)
	}
}
