package engine

import (
	"time"

	"pinedale/balancer"
)

const (
	// latenessWindow is for how long at least, and twice that at most, an event's age counts.
	latenessWindow = balancer.Micros(100_000)
	// latenessLogThreshold is the lateness from which it is logged.
	latenessLogThreshold = balancer.Micros(50_000)
	// latenessLogInterval is the shortest time between two log lines on it.
	latenessLogInterval = balancer.Micros(1_000_000)
)

// lateness is how long events have waited lately until they were handled, the longest that counts.
// An instance that is short of processor time is as late with whatever it begins now.
type lateness struct {
	windowStart balancer.Micros
	current     balancer.Micros // longest in the window that has begun at windowStart
	previous    balancer.Micros // and in the one before

	loggedAt balancer.Micros
	shed     int // requests rejected for lateness since loggedAt
}

// observe takes in the age of an event that is handled now.
func (l *lateness) observe(now, age balancer.Micros) {
	l.slide(now)
	l.current = max(l.current, age)
}

// slide begins a new window if the present one is over.
func (l *lateness) slide(now balancer.Micros) {
	switch passed := now - l.windowStart; {
	case passed < latenessWindow:
		return
	case passed < 2*latenessWindow:
		l.previous = l.current
	default:
		l.previous = 0
	}
	l.current = 0
	l.windowStart = now
}

// longest returns how long events have waited lately.
func (l *lateness) longest(now balancer.Micros) balancer.Micros {
	l.slide(now)
	return max(l.current, l.previous)
}

// permits reports whether a request could be answered by its deadline: it will wait once more, at
// least, until its answer is passed on.
func (l *lateness) permits(now, deadline balancer.Micros) bool {
	return now+l.longest(now) < deadline
}

// logLateness logs that events wait long, at most once in latenessLogInterval.
func (e *Engine) logLateness(now balancer.Micros) {
	l := &e.lateness
	longest := l.longest(now)
	if l.shed == 0 && longest < latenessLogThreshold || now-l.loggedAt < latenessLogInterval {
		return
	}
	e.log.Warn("engine late",
		"late_ms", time.Duration(longest*int64(time.Microsecond)).Milliseconds(),
		"rejected", l.shed,
		"queued_events", len(e.queue),
		"queued_arrivals", len(e.arrivals),
		"open_requests", e.requests.len())
	l.loggedAt = now
	l.shed = 0
}
