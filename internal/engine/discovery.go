package engine

import (
	"context"
	"sync"
	"time"

	"pinedale/balancer"
)

// rewatchDelay is the pause before a failed watch starts again where lists are pushed. Where they
// are polled, the decision module decides when.
const rewatchDelay = time.Second

// discovery is the state of the watch of the source. It is owned by the engine's goroutine.
type discovery struct {
	source  Source             // may be nil on a Clock of the options
	version *uint64            // of the last list, nil if there was none
	stop    context.CancelFunc // ends the current watch
	watches sync.WaitGroup     // the current watch, and earlier ones that have not returned yet
}

// startWatch ends the current watch and starts one from the last version on. The goroutine of the
// watch ends with its context or the engine's; Run waits for it at its own end.
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

// watch watches a source until ctx ends, or, where lists are polled, for one poll. It runs on a
// goroutine of its own.
func (e *Engine) watch(ctx context.Context, source Source, version *uint64) {
	notify := func(kind balancer.ListKind, list List) {
		if len(list.Hosts) > hostsPerPart && e.subset == nil {
			e.updateInParts(ctx, kind, list)
			return
		}
		e.Post(func(now balancer.Micros) {
			if ctx.Err() == nil { // the watch has not been ended meanwhile
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

// SwitchSource watches another source from now on, from a snapshot, since versions are those of
// the source before. Requests in flight and what the decision module knows stay. It must be
// called on the engine's goroutine.
func (e *Engine) SwitchSource(next Source) {
	previous := e.discovery.source
	e.discovery.source = next
	e.discovery.version = nil
	e.startWatch()
	previous.Close()
}

// UpdateEndpoints takes in a list or changes. It must be called on the engine's goroutine; the
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

// applyHosts brings the registry and the decision module in line with a list of the endpoints
// that are used, or changes of them.
func (e *Engine) applyHosts(now balancer.Micros, kind balancer.ListKind, hosts []Host) {
	entries := e.endpoints.apply(kind, hosts)
	e.hasEndpoints.Store(e.endpoints.hasReady())
	e.decider.UpdateEndpoints(now, kind, entries)
}
