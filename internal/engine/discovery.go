package engine

import (
	"time"

	"pinedale/balancer"
)

// rewatchDelay is the pause before a failed watch is restarted if lists are pushed. If they are
// polled, the decision module schedules the next poll.
const rewatchDelay = time.Second

// startWatch starts a watch of the source from the last known version, unless one is running: its
// call is under way, and it reports a failure at its timeout. The watch's goroutine ends with its
// context or the engine's; Run waits for it before it returns.
func (e *Engine) startWatch() {
	d := &e.discovery
	if d.source == nil || d.current.isRunning() {
		return
	}
	w := d.newWatch(e.ctx)
	source, version := d.source, d.version
	source.watches.Add(1)
	d.running.Go(func() {
		defer source.watches.Done()
		defer close(w.returned)
		defer w.cancel()
		e.watch(w, source, version)
	})
}

// watch watches a source until the watch's context ends, or for a single poll if lists are polled.
// The watch of a replaced source ends with its next report. It runs on a goroutine of its own.
func (e *Engine) watch(w *sourceWatch, source Source, version *uint64) {
	notify := func(kind balancer.ListKind, list List) {
		isLast := w.replaced.Load()
		e.postReport(w, kind, list)
		if isLast {
			w.cancel()
		}
	}
	for w.ctx.Err() == nil {
		var err error
		version, err = source.Watch(w.ctx, version, notify)
		if w.ctx.Err() == nil {
			e.log.Warn("endpoint watch failed", "err", err)
		}
		if e.options.Settings.PollDiscovery {
			return
		}
		select {
		case <-time.After(rewatchDelay):
		case <-w.ctx.Done():
		}
		if w.replaced.Load() {
			return
		}
	}
}

// postReport passes the report of a watch to the engine's goroutine.
func (e *Engine) postReport(w *sourceWatch, kind balancer.ListKind, list List) {
	if len(list.Hosts) > hostsPerPart && e.subset == nil {
		e.updateInParts(w, kind, list)
		return
	}
	e.Post(func(now balancer.Micros) { e.applyReport(now, w, kind, list) })
}

// applyReport applies the report of a watch, unless a later watch has reported a list.
func (e *Engine) applyReport(now balancer.Micros, w *sourceWatch, kind balancer.ListKind, list List) {
	d := &e.discovery
	if !d.accepts(w) {
		return
	}
	if kind != balancer.ListFailed {
		d.supersede(w)
	}
	if w == d.current {
		e.UpdateEndpoints(now, kind, list)
		return
	}
	w.end()
	if kind == balancer.ListFailed {
		e.log.Info("call to replaced discovery failed")
		return
	}
	e.log.Info("endpoint list of replaced discovery applied", "version", list.Version, "entries", len(list.Hosts))
	e.applyHosts(now, kindForReplaced(kind), e.inSubset(kind, e.entriesOf(w, list)))
	d.latest = max(d.latest, list.Version)
}

// SwitchSource replaces the source. The new one is watched from a snapshot, since version numbers
// of the previous source mean nothing to it. Until it has reported one, the call that is under way
// to the previous source may still report a list. Requests in flight and the state of the decision
// module are kept. It must be called on the engine's goroutine.
func (e *Engine) SwitchSource(next Source) {
	e.discovery.replace(next)
	e.startWatch()
}

// UpdateEndpoints applies a list or changes. It must be called on the engine's goroutine; the
// owner of an engine without a source calls it.
func (e *Engine) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, list List) {
	if kind == balancer.ListFailed {
		if e.options.Settings.PollDiscovery {
			e.discovery.endCurrent()
		}
		e.decider.UpdateEndpoints(now, kind, nil)
		return
	}
	e.discovery.version = &list.Version
	e.discovery.latest = list.Version
	e.applyHosts(now, kind, e.inSubset(kind, list.Hosts))
}

// inSubset returns those of the entries of a list or of changes that concern the endpoints in use.
func (e *Engine) inSubset(kind balancer.ListKind, hosts []Host) []Host {
	if e.subset == nil {
		return hosts
	}
	return e.subset.filter(kind, hosts, e.endpoints.contains)
}

// applyHosts updates the registry and the decision module with a list of the endpoints in use, or
// with changes to it.
func (e *Engine) applyHosts(now balancer.Micros, kind balancer.ListKind, hosts []Host) {
	entries := e.endpoints.apply(kind, hosts)
	e.hasEndpoints.Store(e.endpoints.hasReady())
	e.decider.UpdateEndpoints(now, kind, entries)
}
