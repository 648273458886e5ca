package reconcile

import (
	"slices"
	"time"

	"pinedale/internal/engine"
)

// suspicion is the reason why endpoints that still run may be missing from a list.
type suspicion string

// Reasons, as log lines name them.
const (
	trusted       suspicion = ""
	emptySnapshot suspicion = "empty"
	olderSnapshot suspicion = "older" // with a lower version than the previous list
	firstSnapshot suspicion = "first" // the first list after the source was unavailable
)

// suspicionOf returns the reason why a list is suspect, or trusted. A static list is trusted.
func (s *source) suspicionOf(version uint64, hosts []engine.Host) suspicion {
	switch {
	case s.kind == Static:
		return trusted
	case len(hosts) == 0 && s.presentCount() > 0:
		return emptySnapshot
	case s.hasList && version < s.version:
		return olderSnapshot
	case s.interrupted:
		return firstSnapshot
	}
	return trusted
}

// evictionLimit returns how many of a source's endpoints may be missing from a suspect list or
// be evicted at once. present is the number of the source's endpoints.
func (r *Reconciler) evictionLimit(present int) int {
	return max(minEvictable, int(r.cfg.MaxShrinkRatio*float64(present)))
}

// shouldRetain reports whether the endpoints that are missing from a list are retained, because
// the list is suspect and too many are missing. It logs the reason.
func (r *Reconciler) shouldRetain(source *source, reason suspicion, missing int) bool {
	present := source.presentCount()
	limit := r.evictionLimit(present)
	if reason == trusted || missing <= limit && reason != emptySnapshot {
		return false
	}
	if missing > 0 {
		source.log.Warn(
			"membership snapshot suspect, missing endpoints retained",
			"snapshot", string(reason),
			"missing", missing,
			"known", present,
			"limit", limit,
			"hold_time", r.cfg.HoldTime,
		)
	}
	return true
}

// retain retains an endpoint that is up and missing from a suspect list. A draining endpoint
// remains draining.
func (r *Reconciler) retain(now time.Duration, source *source, name string) {
	endpointClaim := source.claims[name]
	if endpointClaim.state != stateUp {
		return
	}
	endpointClaim.state = stateRetained
	endpointClaim.evictAt = now + r.cfg.HoldTime
	endpointClaim.confirmedAt = source.reportedAt
	source.retained[name] = true
}

// nextEviction returns when retained endpoints of a source may next be evicted, 0 for never. It
// is never before the time of the source's last list.
func (r *Reconciler) nextEviction(source *source) time.Duration {
	if len(source.retained) == 0 || !source.available || source.emptyList {
		return 0
	}
	var at time.Duration
	for name := range source.retained {
		at = earliest(at, source.claims[name].evictAt)
	}
	at = max(at, source.listedAt)
	if source.evictedAt != 0 {
		at = max(at, source.evictedAt+r.cfg.HoldTime)
	}
	return at
}

// evictAllDue evicts, for all sources, the retained endpoints that are due. Each report method calls
// it first, so that evictions precede later reports even if List was not called in between.
func (r *Reconciler) evictAllDue(now time.Duration) {
	for _, source := range r.sources {
		r.evictDue(now, source)
	}
}

// evictDue evicts those of a source's retained endpoints whose hold time has passed, up to the
// eviction limit.
func (r *Reconciler) evictDue(now time.Duration, source *source) {
	at := r.nextEviction(source)
	if at == 0 || at > now {
		return
	}
	var due []string
	for name := range source.retained {
		if source.claims[name].evictAt <= at {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	due = due[:min(r.evictionLimit(source.presentCount()), len(due))]
	for _, name := range due {
		r.vanish(at, source, name)
	}
	source.evictedAt = at
	source.log.Warn("retained endpoints evicted", "evicted", len(due), "retained", len(source.retained))
}
