package balancer

// UpdateEndpoints handles a membership event.
func (b *Balancer) UpdateEndpoints(now Micros, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.discovery.subscribed = false
		b.log(now, "discovery failed")
		b.pollAfterBackoff(now)
		return
	}
	live := kind == ListDelta || kind == ListFull
	snapshot := kind == ListFull || kind == ListCached
	if (live || kind == ListPart) && b.settings.PollDiscovery {
		b.discovery.subscribed = true
		b.discovery.backoff = 0
		b.discovery.pollPending = false
	}
	b.endpoints.advance(now)
	b.endpoints.version++
	added := b.applyEntries(now, entries)
	if snapshot {
		b.removeUnlisted()
	}
	if live || kind != ListPart && !b.settings.PollDiscovery {
		b.endpoints.discovered = true
	}
	// If each of a thousand balancers probed every new endpoint, the probes alone would saturate it.
	if b.settings.Balancers <= len(b.endpoints.list) {
		b.probeNew(now, added)
	}
}

// applyEntries applies the entries of a membership event and returns the endpoints that are new or have
// restarted.
func (b *Balancer) applyEntries(now Micros, entries []Endpoint) (added []*endpoint) {
	for i := range entries {
		e, isNew := b.updateEndpoint(now, &entries[i])
		if isNew && e.State == Ready {
			added = append(added, e)
		}
		b.endpoints.dropUnused(e)
	}
	return added
}

// removeUnlisted removes the endpoints that are missing from a complete list.
func (b *Balancer) removeUnlisted() {
	for i := len(b.endpoints.list) - 1; i >= 0; i-- {
		e := b.endpoints.list[i]
		if e.listedVersion == b.endpoints.version {
			continue
		}
		b.endpoints.exitGroups(e)
		e.State = Removed
		b.endpoints.dropUnused(e)
	}
}

// updateEndpoint applies one entry. It reports whether the endpoint is new or has restarted.
func (b *Balancer) updateEndpoint(now Micros, in *Endpoint) (e *endpoint, isNew bool) {
	e = b.endpoints.byID[in.ID]
	added := e == nil
	if added {
		e = b.endpoints.add(in.ID)
	}
	if !added && *in == e.Endpoint {
		e.listedVersion = b.endpoints.version
		return e, false
	}
	restarted := !added && in.StartTime != 0 && in.StartTime != e.StartTime
	b.endpoints.exitGroups(e)
	if restarted {
		b.resetStatistics(e)
	}
	started := in.StartTime
	if started == 0 && added && b.endpoints.discovered {
		started = now // not listed when discovery first answered, so it is new
	}
	e.Endpoint = *in
	e.listedVersion = b.endpoints.version
	b.endpoints.maxWeight = max(b.endpoints.maxWeight, float64(e.Weight))
	if (added || restarted) && started != 0 && now-started < b.settings.Contract.SlowStartTime {
		b.startSlowStart(now, e, started)
	}
	b.endpoints.enterGroups(e)
	return e, added || restarted
}

// resetStatistics clears the statistics of the old process of an endpoint that has restarted.
func (b *Balancer) resetStatistics(e *endpoint) {
	b.probes.remove(e)
	*e = endpoint{inFlight: e.inFlight, listIndex: e.listIndex, memberships: e.memberships}
}
