package policy

import (
	"fmt"
	"time"
)

// ScheduledRepeat is the latest time at which a further attempt at the same effect may reach an endpoint, counted from
// the sending of the first attempt.
type ScheduledRepeat struct {
	Description string
	Key         string // of the setting that fixes it
	At          time.Duration
}

// Schedule returns the repeats that a configuration fixes: attempts that follow each other's timeouts, a hedge, and
// clients that retry. Retries after failures in between are bounded by the module alone, which counts by its own clock
// from its own sends.
func (l *Limits) Schedule(e Effective) (repeats []ScheduledRepeat) {
	if e.AttemptTimeout > 0 {
		repeats = l.scheduledAttempts(e)
	}
	if e.schedulesHedge() {
		repeats = append(repeats, ScheduledRepeat{
			Description: "a second copy",
			Key:         "copy_after",
			At:          e.HedgeDelay + l.TimerSlack + l.DialTimeout,
		})
	}
	if e.Class.Clients == ClientsRetryFailed {
		repeats = append(repeats, ScheduledRepeat{
			Description: fmt.Sprintf("a client that comes again within its %v", e.Deadline),
			Key:         "deadline",
			At:          e.Deadline + l.TimerSlack + l.DialTimeout,
		})
	}
	return repeats
}

// scheduledAttempts returns the attempts that follow a timeout. None begins after the deadline.
func (l *Limits) scheduledAttempts(e Effective) (repeats []ScheduledRepeat) {
	for timeouts := 1; timeouts < e.MaxAttempts; timeouts++ {
		at := time.Duration(timeouts) * (e.AttemptTimeout + l.TimerSlack)
		if at >= e.Deadline {
			break
		}
		description := fmt.Sprintf("attempt %d, after %d time-outs of %v", timeouts+1, timeouts, e.AttemptTimeout)
		repeats = append(repeats, ScheduledRepeat{Description: description, Key: "try_for", At: at + l.DialTimeout})
	}
	return repeats
}

// schedulesHedge reports whether a hedge can be sent before the first attempt ends.
func (e *Effective) schedulesHedge() bool {
	beforeTimeout := e.AttemptTimeout == 0 || e.HedgeDelay < e.AttemptTimeout
	return e.HedgeDelay > 0 && e.Hedging && e.MaxAttempts > 1 && e.HedgeDelay < e.Deadline && beforeTimeout
}

// certainWindow returns the part of a deduplication window, by this side's clock, within which an endpoint certainly
// drops a repeat.
func (l *Limits) certainWindow(window time.Duration) time.Duration {
	return time.Duration(float64(window) / (1 + l.ClockError))
}

// moduleWindow returns the deduplication window that the module is given: what it sends within it reaches the endpoint
// in time even if the connection takes as long as it may.
func (l *Limits) moduleWindow(window time.Duration) time.Duration {
	return l.certainWindow(window) - l.DialTimeout - l.TimerSlack
}
