package engine

import (
	"time"

	"pinedale/balancer"
)

const (
	// latenessWindow is the length of a window. An event's delay counts for one to two windows.
	latenessWindow = balancer.Micros(100_000)
	// latenessLogThreshold is the lowest delay that is logged.
	latenessLogThreshold = balancer.Micros(50_000)
	// latenessLogInterval is the minimum time between two log lines about lateness.
	latenessLogInterval = balancer.Micros(1_000_000)
)

// lateness is the longest recent delay between an event's due time and its handling. An instance that
// is short of processor time will delay what it starts now by about as much.
type lateness struct {
	windowStart balancer.Micros
	current     balancer.Micros // longest delay in the window that started at windowStart
	previous    balancer.Micros // longest delay in the window before

	loggedAt balancer.Micros
	shed     int // requests rejected for lateness since loggedAt
}

// observe records the delay of an event that is handled now.
func (l *lateness) observe(now, age balancer.Micros) {
	l.slide(now)
	l.current = max(l.current, age)
}

// slide starts a new window if the current one has ended.
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

// longest returns the longest recent delay.
func (l *lateness) longest(now balancer.Micros) balancer.Micros {
	l.slide(now)
	return max(l.current, l.previous)
}

// canMeetDeadline reports whether a request could be answered by its deadline: its answer will wait in
// the queue at least once more.
func (l *lateness) canMeetDeadline(now, deadline balancer.Micros) bool {
	return now+l.longest(now) < deadline
}

// logLateness logs long delays and the requests rejected for them, at most once per latenessLogInterval.
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
