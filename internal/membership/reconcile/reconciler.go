package reconcile

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// Entry is one endpoint in a source's report.
type Entry struct {
	Host    engine.Host // with State Ready, Draining or, in changes, Removed
	Version int64       // of the entry, if the source has one
}

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

// Snapshot handles a source's report of its complete list.
func (r *Reconciler) Snapshot(now time.Duration, index int, version uint64, entries []Entry) {
	r.evictAllDue(now)
	s := r.sources[index]
	missing := s.missingFrom(entries)
	retainMissing := r.shouldRetain(s, s.suspicionOf(version, entries), len(missing))
	if !s.available && s.hasList {
		s.log.Warn("membership source recovered", "endpoints", len(entries))
	}
	for _, name := range missing {
		if retainMissing {
			r.retain(now, s, name)
		} else {
			r.vanish(now, s, name)
		}
	}
	s.available = true
	s.interrupted = false
	s.hasList = true
	s.emptyList = len(entries) == 0
	s.version = version
	s.reportedAt = now
	s.listedAt = now
	for _, entry := range entries {
		r.upsert(now, s, entry)
	}
	r.markPendingDirty()
}

// Delta handles an available source's report of changes.
func (r *Reconciler) Delta(now time.Duration, index int, version uint64, entries []Entry) {
	r.evictAllDue(now)
	s := r.sources[index]
	s.version = max(s.version, version)
	s.reportedAt = now
	for _, entry := range entries {
		if entry.Host.State == balancer.Removed {
			r.vanish(now, s, entry.Host.Name)
		} else {
			r.upsert(now, s, entry)
		}
	}
	r.markPendingDirty()
}

// SourceUnavailable records that a source does not report any more. Its last list remains valid.
func (r *Reconciler) SourceUnavailable(now time.Duration, index int, reason string) {
	r.evictAllDue(now)
	s := r.sources[index]
	if s.available || !s.interrupted {
		s.log.Warn("membership source unavailable, its last list stands", "reason", reason, "endpoints", len(s.claims))
	}
	s.available = false
	s.interrupted = true
	r.markPendingDirty()
}

// upsert records that a source lists an endpoint as up or draining.
func (r *Reconciler) upsert(now time.Duration, s *source, entry Entry) {
	name := entry.Host.Name
	c, known := s.claims[name]
	switch {
	case !known:
		c = &claim{state: stateVanished, since: now, lastReturn: -flapWindow}
		s.claims[name] = c
	case c.state == stateVanished && s.kind == Ephemeral:
		r.recordReturn(now, s, c, entry.Host)
	}
	c.update(now, entry.Host)
	delete(s.retained, name)
	r.dirty[name] = true
}

// recordReturn records that a vanished node exists again. An endpoint that flaps within one
// incarnation counts as up only after a backoff.
func (r *Reconciler) recordReturn(now time.Duration, s *source, c *claim, host engine.Host) {
	if now-c.lastReturn >= flapWindow {
		c.returns = 0
	}
	c.returns++
	c.lastReturn = now
	if c.returns < flapThreshold || host.StartedMS > c.host.StartedMS {
		return
	}
	backoff := min(flapBackoff<<min(c.returns-flapThreshold, maxFlapDoublings), maxFlapBackoff)
	c.upFrom = now + backoff
	if c.returns == flapThreshold {
		s.log.Warn("endpoint flapping, taken out until it stays up", "endpoint", host.Name, "backoff", backoff)
	}
}

// vanish records that a source no longer lists an endpoint.
func (r *Reconciler) vanish(now time.Duration, s *source, name string) {
	c := s.claims[name]
	if c == nil || c.state == stateVanished {
		return
	}
	c.wasDraining = c.state == stateDraining
	c.state = stateVanished
	c.since = now
	delete(s.retained, name)
	r.dirty[name] = true
}

// markPendingDirty marks all pending endpoints dirty: a report may change the decisions on them.
func (r *Reconciler) markPendingDirty() {
	for name := range r.pending {
		r.dirty[name] = true
	}
}

// advance evicts the endpoints that are due, and marks the pending endpoints that are due dirty.
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
	d := r.decide(now, name)
	delete(r.pending, name)
	if d.recheckAt != 0 {
		r.pending[name] = d.recheckAt
	}
	previous, wasListed := r.published[name]
	if d.listed {
		r.published[name] = d.host
		return d.host, !wasListed || previous != d.host
	}
	for _, s := range r.sources {
		delete(s.claims, name)
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
	for _, s := range r.sources {
		next = earliest(next, r.nextEviction(s))
	}
	return next
}
