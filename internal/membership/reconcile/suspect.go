package reconcile

import (
	"slices"
	"time"
)

// suspicion is the reason for which a list may lack endpoints that still run.
type suspicion string

// The reasons, as log lines name them.
const (
	trusted       suspicion = ""
	emptySnapshot suspicion = "empty"
	olderSnapshot suspicion = "older" // its version is below that of the list before
	firstSnapshot suspicion = "first" // since the source was unavailable
)

// suspicionOf returns why a list is suspect, if it is. The operator's own list never is.
func (s *source) suspicionOf(version uint64, entries []Entry) suspicion {
	switch {
	case s.kind == Static:
		return trusted
	case len(entries) == 0 && s.presentCount() > 0:
		return emptySnapshot
	case s.hasList && version < s.version:
		return olderSnapshot
	case s.interrupted:
		return firstSnapshot
	}
	return trusted
}

// evictionLimit is how many of a source's endpoints may be missing from a suspect list,
// or be evicted at once.
func (r *Reconciler) evictionLimit(present int) int {
	return max(minEvictable, int(r.cfg.MaxShrinkRatio*float64(present)))
}

// shouldRetain reports whether the endpoints that a list lacks are retained: the list
// is suspect, and lacks too many. It logs that.
func (r *Reconciler) shouldRetain(s *source, reason suspicion, missing int) bool {
	present := s.presentCount()
	limit := r.evictionLimit(present)
	if reason == trusted || missing <= limit && reason != emptySnapshot {
		return false
	}
	if missing > 0 {
		s.log.Warn("membership snapshot suspect, missing endpoints retained", "snapshot", string(reason),
			"missing", missing, "known", present, "limit", limit, "hold_time", r.cfg.HoldTime)
	}
	return true
}

// retain keeps an endpoint that is missing from a suspect list. One that drains goes on
// draining.
func (r *Reconciler) retain(now time.Duration, s *source, name string) {
	c := s.claims[name]
	if c.state != stateUp {
		return
	}
	c.state, c.evictAt, c.confirmedAt = stateRetained, now+r.cfg.HoldTime, s.reportedAt
	s.retained[name] = true
}

// nextEviction returns when retained endpoints of a source may be evicted, 0 for never.
// It is not before the list that shows them missing.
func (r *Reconciler) nextEviction(s *source) time.Duration {
	if len(s.retained) == 0 || !s.available || s.emptyList {
		return 0
	}
	var at time.Duration
	for name := range s.retained {
		at = earliest(at, s.claims[name].evictAt)
	}
	at = max(at, s.listedAt)
	if s.evictedAt != 0 {
		at = max(at, s.evictedAt+r.cfg.HoldTime)
	}
	return at
}

// evictAllDue evicts the retained endpoints of all sources that are due. It precedes
// each report, so that what was due by then has happened first, however long ago List
// was last called.
func (r *Reconciler) evictAllDue(now time.Duration) {
	for _, s := range r.sources {
		r.evictDue(now, s)
	}
}

// evictDue evicts the retained endpoints of a source whose hold time has passed, up to
// the eviction limit.
func (r *Reconciler) evictDue(now time.Duration, s *source) {
	at := r.nextEviction(s)
	if at == 0 || at > now {
		return
	}
	var due []string
	for name := range s.retained {
		if s.claims[name].evictAt <= at {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	due = due[:min(r.evictionLimit(s.presentCount()), len(due))]
	for _, name := range due {
		r.vanish(at, s, name)
	}
	s.evictedAt = at
	s.log.Warn("retained endpoints evicted", "evicted", len(due), "retained", len(s.retained))
}
