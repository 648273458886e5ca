package policy

import (
	"fmt"
	"time"
)

// ScheduledRepeat is a repeat of a request that a configuration may schedule.
type ScheduledRepeat struct {
	Description string
	Key         string        // of the setting that determines At
	At          time.Duration // latest time after the first attempt at which the repeat may reach an endpoint
}

// Schedule returns the repeats that a configuration schedules: attempts after timeouts, a hedge, and retries of
// clients. Retries after failures are not included, because the decision module bounds them by its own clock.
func (l *Limits) Schedule(settings Effective) (repeats []ScheduledRepeat) {
	if settings.AttemptTimeout > 0 {
		repeats = l.scheduledAttempts(settings)
	}
	if settings.schedulesHedge() {
		repeats = append(repeats, ScheduledRepeat{
			Description: "a second copy",
			Key:         "copy_after",
			At:          settings.HedgeDelay + l.TimerSlack + l.DialTimeout,
		})
	}
	if settings.Class.Clients == ClientsRetryFailed {
		repeats = append(repeats, ScheduledRepeat{
			Description: fmt.Sprintf("a client that comes again within its deadline of %v", settings.Deadline),
			Key:         "deadline",
			At:          settings.Deadline + l.TimerSlack + l.DialTimeout,
		})
	}
	return repeats
}

// scheduledAttempts returns the attempts after timeouts. No attempt begins after the deadline.
func (l *Limits) scheduledAttempts(settings Effective) (repeats []ScheduledRepeat) {
	timeout := settings.AttemptTimeout
	for timeouts := 1; timeouts < settings.MaxAttempts; timeouts++ {
		start := time.Duration(timeouts) * (timeout + l.TimerSlack)
		if start >= settings.Deadline {
			break
		}
		repeats = append(repeats, ScheduledRepeat{
			Description: fmt.Sprintf("attempt %d (after %d timeouts of %v)", timeouts+1, timeouts, timeout),
			Key:         "try_for",
			At:          start + l.DialTimeout,
		})
	}
	return repeats
}

// schedulesHedge reports whether a hedge may be sent while the first attempt is in flight.
func (e *Effective) schedulesHedge() bool {
	if e.HedgeDelay <= 0 || !e.Hedging || e.MaxAttempts <= 1 {
		return false
	}
	return e.HedgeDelay < e.Deadline && (e.AttemptTimeout == 0 || e.HedgeDelay < e.AttemptTimeout)
}

// certainWindow returns how long, by the local clock, an endpoint drops repeats even if its own clock runs faster.
func (l *Limits) certainWindow(window time.Duration) time.Duration {
	return time.Duration(float64(window) / (1 + l.ClockError))
}

// moduleWindow returns the deduplication window for the decision module. A repeat that the module sends within this
// window reaches the endpoint in time even if the connection attempt takes the maximum time.
func (l *Limits) moduleWindow(window time.Duration) time.Duration {
	return l.certainWindow(window) - l.DialTimeout - l.TimerSlack
}
