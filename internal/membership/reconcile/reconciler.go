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
	Host    engine.Host // its State is Ready, Draining or, in changes, Removed
	Version int64       // of the entry, where the source has one
}

// Reconciler merges the reports of several sources. Make one with New.
type Reconciler struct {
	cfg     Config
	log     *slog.Logger
	sources []*source

	published map[string]engine.Host   // the endpoint list as last returned
	dirty     map[string]bool          // endpoints that were reported on since
	pending   map[string]time.Duration // endpoints that may change by time alone, and when

	sequence    uint64        // version of the last list
	publishedAt time.Duration // when the last list was returned
	started     bool          // a first, complete list was returned
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

// Snapshot takes a source's complete list.
func (r *Reconciler) Snapshot(now time.Duration, index int, version uint64, entries []Entry) {
	r.evictAllDue(now)
	s := r.sources[index]
	missing := s.missingFrom(entries)
	keepMissing := r.shouldRetain(s, s.suspicionOf(version, entries), len(missing))
	if !s.available && s.hasList {
		s.log.Warn("membership source recovered", "endpoints", len(entries))
	}
	for _, name := range missing {
		if keepMissing {
			r.retain(now, s, name)
		} else {
			r.vanish(now, s, name)
		}
	}
	s.available, s.interrupted, s.hasList, s.emptyList = true, false, true, len(entries) == 0
	s.version, s.reportedAt, s.listedAt = version, now, now
	for _, entry := range entries {
		r.upsert(now, s, entry)
	}
	r.recheckPending()
}

// Delta takes an available source's report on single endpoints.
func (r *Reconciler) Delta(now time.Duration, index int, version uint64, entries []Entry) {
	r.evictAllDue(now)
	s := r.sources[index]
	s.version, s.reportedAt = max(s.version, version), now
	for _, entry := range entries {
		if entry.Host.State == balancer.Removed {
			r.vanish(now, s, entry.Host.Name)
		} else {
			r.upsert(now, s, entry)
		}
	}
	r.recheckPending()
}

// SourceUnavailable takes that a source reports no more. Its last list stands.
func (r *Reconciler) SourceUnavailable(now time.Duration, index int, reason string) {
	r.evictAllDue(now)
	s := r.sources[index]
	if s.available || !s.interrupted {
		s.log.Warn("membership source unavailable, its last list stands", "reason", reason, "endpoints", len(s.claims))
	}
	s.available, s.interrupted = false, true
	r.recheckPending()
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

// recordReturn counts that a node that vanished is back. One that flaps, in the same
// incarnation, is believed only after a backoff.
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
	c.believedFrom = now + backoff
	if c.returns == flapThreshold {
		s.log.Warn("endpoint flapping, taken out until it stays up", "endpoint", host.Name, "backoff", backoff)
	}
}

// vanish records that a source lists an endpoint no more.
func (r *Reconciler) vanish(now time.Duration, s *source, name string) {
	c := s.claims[name]
	if c == nil || c.state == stateVanished {
		return
	}
	c.drainingBefore = c.state == stateDraining
	c.state, c.since = stateVanished, now
	delete(s.retained, name)
	r.dirty[name] = true
}

// recheckPending marks all endpoints dirty that wait for a source's next report.
func (r *Reconciler) recheckPending() {
	for name := range r.pending {
		r.dirty[name] = true
	}
}

// advance applies what is due by a time: evictions, and decisions that change by time
// alone.
func (r *Reconciler) advance(now time.Duration) {
	r.evictAllDue(now)
	for name, at := range r.pending {
		if at <= now {
			r.dirty[name] = true
		}
	}
}

// List returns what has changed since its last call: a complete list first, changes from
// then on, in which endpoints that are no more have State Removed. ok is false if nothing
// has changed, or if the last list is younger than minListInterval.
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
	r.sequence++
	list.Version, list.Complete = r.sequence, !r.started
	r.publishedAt, r.started = now, true
	return list, true
}

// refresh decides on an endpoint again, and returns its entry for the next list if that has
// changed.
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

// NextDeadline returns when List is to be called next if nothing is reported, 0 for
// never.
func (r *Reconciler) NextDeadline() time.Duration {
	var at time.Duration
	if len(r.dirty) > 0 {
		at = r.publishedAt + minListInterval
	}
	for _, deadline := range r.pending {
		at = earliest(at, deadline)
	}
	for _, s := range r.sources {
		at = earliest(at, r.nextEviction(s))
	}
	return at
}
