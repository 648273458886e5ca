package reconcile

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// Reconciler merges the reports of several sources.
type Reconciler struct {
	cfg     Config
	log     *slog.Logger
	sources []*source

	published map[string]engine.Host   // the endpoint list, by name, as of the last result of List
	dirty     map[string]bool          // names of endpoints to decide on at the next call of List
	pending   map[string]time.Duration // when decisions may change without a report, by name

	listVersion uint64        // version of the last list
	publishedAt time.Duration // when the last list was returned
	started     bool          // the first list, which is complete, was returned
}

// New returns a reconciler without sources.
func New(cfg Config, log *slog.Logger) *Reconciler {
	return &Reconciler{
		cfg:       cfg,
		log:       log,
		published: map[string]engine.Host{},
		dirty:     map[string]bool{},
		pending:   map[string]time.Duration{},
	}
}

// AddSource adds a source and returns its index for the report methods.
func (r *Reconciler) AddSource(kind Kind, name string) int {
	r.sources = append(r.sources, &source{
		kind:     kind,
		log:      r.log.With("kind", kind.String(), "source", name),
		claims:   map[string]*claim{},
		retained: map[string]bool{},
	})
	return len(r.sources) - 1
}

// Snapshot handles a source's report of its complete list, with endpoints in State Ready or Draining.
func (r *Reconciler) Snapshot(now time.Duration, index int, version uint64, hosts []engine.Host) {
	r.evictAllDue(now)
	source := r.sources[index]
	missing := source.missingFrom(hosts)
	retainMissing := r.shouldRetain(source, source.suspicionOf(version, hosts), len(missing))
	if !source.available && source.hasList {
		source.log.Warn("membership source recovered", "endpoints", len(hosts))
	}
	for _, name := range missing {
		if retainMissing {
			r.retain(now, source, name)
		} else {
			r.vanish(now, source, name)
		}
	}
	source.available = true
	source.interrupted = false
	source.hasList = true
	source.emptyList = len(hosts) == 0
	source.version = version
	source.reportedAt = now
	source.listedAt = now
	for _, host := range hosts {
		r.upsert(now, source, host)
	}
	r.markPendingDirty()
}

// Delta handles an available source's report of changes. Endpoints that were removed have State Removed.
func (r *Reconciler) Delta(now time.Duration, index int, version uint64, hosts []engine.Host) {
	r.evictAllDue(now)
	source := r.sources[index]
	source.version = max(source.version, version)
	source.reportedAt = now
	for _, host := range hosts {
		if host.State == balancer.Removed {
			r.vanish(now, source, host.Name)
		} else {
			r.upsert(now, source, host)
		}
	}
	r.markPendingDirty()
}

// SourceUnavailable records that a source has stopped reporting. Its last list remains valid.
func (r *Reconciler) SourceUnavailable(now time.Duration, index int, reason string) {
	r.evictAllDue(now)
	source := r.sources[index]
	if source.available || !source.interrupted {
		source.log.Warn(
			"membership source unavailable, last list remains in use",
			"reason", reason,
			"endpoints", len(source.claims),
		)
	}
	source.available = false
	source.interrupted = true
	r.markPendingDirty()
}

// upsert records that a source lists an endpoint as up or draining.
func (r *Reconciler) upsert(now time.Duration, source *source, host engine.Host) {
	name := host.Name
	endpointClaim, known := source.claims[name]
	switch {
	case !known:
		endpointClaim = &claim{state: stateVanished, since: now, lastReturn: -flapWindow}
		source.claims[name] = endpointClaim
	case endpointClaim.state == stateVanished && source.kind == Ephemeral:
		r.recordReturn(now, source, endpointClaim, host)
	}
	endpointClaim.update(now, host)
	delete(source.retained, name)
	r.dirty[name] = true
}

// recordReturn records that a vanished node exists again. An endpoint that flaps within one
// incarnation counts as up only after a backoff.
func (r *Reconciler) recordReturn(now time.Duration, source *source, endpointClaim *claim, host engine.Host) {
	if now-endpointClaim.lastReturn >= flapWindow {
		endpointClaim.returns = 0
	}
	endpointClaim.returns++
	endpointClaim.lastReturn = now
	if endpointClaim.returns < flapThreshold || host.StartedMS > endpointClaim.host.StartedMS {
		return
	}
	backoff := min(flapBackoff<<min(endpointClaim.returns-flapThreshold, maxFlapDoublings), maxFlapBackoff)
	endpointClaim.upFrom = now + backoff
	if endpointClaim.returns == flapThreshold {
		source.log.Warn("endpoint flapping, counted as up only after backoff", "endpoint", host.Name, "backoff", backoff)
	}
}

// vanish records that a source no longer lists an endpoint.
func (r *Reconciler) vanish(now time.Duration, source *source, name string) {
	endpointClaim := source.claims[name]
	if endpointClaim == nil || endpointClaim.state == stateVanished {
		return
	}
	endpointClaim.wasDraining = endpointClaim.state == stateDraining
	endpointClaim.state = stateVanished
	endpointClaim.since = now
	delete(source.retained, name)
	r.dirty[name] = true
}

// markPendingDirty marks all pending endpoints dirty: a report may change the decisions on them.
func (r *Reconciler) markPendingDirty() {
	for name := range r.pending {
		r.dirty[name] = true
	}
}

// advance evicts the endpoints that are due for eviction, and marks pending endpoints as dirty once they are due.
func (r *Reconciler) advance(now time.Duration) {
	r.evictAllDue(now)
	for name, at := range r.pending {
		if at <= now {
			r.dirty[name] = true
		}
	}
}

// List returns the changes since the last list that it returned. The first list is complete. In
// later ones, endpoints that were removed have State Removed. ok is false if nothing has changed,
// or if less than minListInterval has passed since the last list.
func (r *Reconciler) List(now time.Duration) (list engine.List, ok bool) {
	if r.started && now < r.publishedAt+minListInterval {
		return list, false
	}
	r.advance(now)
	for name := range r.dirty {
		if host, changed := r.refresh(now, name); changed {
			list.Hosts = append(list.Hosts, host)
		}
	}
	clear(r.dirty)
	if len(list.Hosts) == 0 {
		return list, false
	}
	slices.SortFunc(list.Hosts, func(a, b engine.Host) int { return cmp.Compare(a.Name, b.Name) })
	r.listVersion++
	list.Version = r.listVersion
	list.Complete = !r.started
	r.publishedAt = now
	r.started = true
	return list, true
}

// refresh makes a new decision on an endpoint, and returns the endpoint if it has changed.
func (r *Reconciler) refresh(now time.Duration, name string) (host engine.Host, changed bool) {
	decided := r.decide(now, name)
	delete(r.pending, name)
	if decided.recheckAt != 0 {
		r.pending[name] = decided.recheckAt
	}
	previous, wasListed := r.published[name]
	if decided.listed {
		r.published[name] = decided.host
		return decided.host, !wasListed || previous != decided.host
	}
	for _, source := range r.sources {
		delete(source.claims, name)
	}
	delete(r.published, name)
	previous.State = balancer.Removed
	return previous, wasListed
}

// NextDeadline returns when List must be called next if there is no report before, 0 for never.
func (r *Reconciler) NextDeadline() time.Duration {
	var next time.Duration
	if len(r.dirty) > 0 {
		next = r.publishedAt + minListInterval
	}
	for _, deadline := range r.pending {
		next = earliest(next, deadline)
	}
	for _, source := range r.sources {
		next = earliest(next, r.nextEviction(source))
	}
	return next
}
