package engine

import (
	"context"
	"sync"
	"time"

	"pinedale/balancer"
)

// rewatchDelay is the pause before a failed watch is restarted if lists are pushed. If they are
// polled, the decision module schedules the next poll.
const rewatchDelay = time.Second

// discovery is the state of the watch of the source. It is owned by the engine's goroutine.
type discovery struct {
	source  Source             // may be nil if Options.Clock is set
	version *uint64            // of the last list, nil before the first list of this source
	stop    context.CancelFunc // ends the current watch
	watches sync.WaitGroup     // the current watch, and earlier ones that have not returned yet
}

// startWatch ends the current watch and starts a new one from the last known version. The watch's
// goroutine ends with its context or the engine's; Run waits for it before it returns.
func (e *Engine) startWatch() {
	d := &e.discovery
	d.stop()
	if d.source == nil {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	d.stop = cancel
	source, version := d.source, d.version
	d.watches.Go(func() { e.watch(ctx, source, version) })
}

// watch watches a source until ctx ends, or for a single poll if lists are polled. It runs on a
// goroutine of its own.
func (e *Engine) watch(ctx context.Context, source Source, version *uint64) {
	notify := func(kind balancer.ListKind, list List) {
		if len(list.Hosts) > hostsPerPart && e.subset == nil {
			e.updateInParts(ctx, kind, list)
			return
		}
		e.Post(func(now balancer.Micros) {
			if ctx.Err() == nil { // the watch may have been ended while the event was queued
				e.UpdateEndpoints(now, kind, list)
			}
		})
	}
	for ctx.Err() == nil {
		var err error
		version, err = source.Watch(ctx, version, notify)
		if ctx.Err() == nil {
			e.log.Warn("endpoint watch failed", "err", err)
		}
		if e.options.Settings.PollDiscovery {
			return
		}
		select {
		case <-time.After(rewatchDelay):
		case <-ctx.Done():
		}
	}
}

// SwitchSource replaces the source. The new one is watched from a snapshot, since version numbers
// of the previous source mean nothing to it. Requests in flight and the state of the decision
// module are kept. It must be called on the engine's goroutine.
func (e *Engine) SwitchSource(next Source) {
	previous := e.discovery.source
	e.discovery.source = next
	e.discovery.version = nil
	e.startWatch()
	previous.Close()
}

// UpdateEndpoints applies a list or changes. It must be called on the engine's goroutine; the
// owner of an engine without a source calls it.
func (e *Engine) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, list List) {
	if kind == balancer.ListFailed {
		e.decider.UpdateEndpoints(now, kind, nil)
		return
	}
	e.discovery.version = &list.Version
	hosts := list.Hosts
	if e.subset != nil {
		hosts = e.subset.filter(kind, hosts, e.endpoints.contains)
	}
	e.applyHosts(now, kind, hosts)
}

// applyHosts updates the registry and the decision module with a list of the endpoints in use, or
// with changes to it.
func (e *Engine) applyHosts(now balancer.Micros, kind balancer.ListKind, hosts []Host) {
	entries := e.endpoints.apply(kind, hosts)
	e.hasEndpoints.Store(e.endpoints.hasReady())
	e.decider.UpdateEndpoints(now, kind, entries)
}
