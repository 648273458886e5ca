package validate

import (
	"math"
	"time"
)

const (
	day = 24 * time.Hour

	// urgentRemaining is the remaining validity at which a warning becomes urgent.
	urgentRemaining = day
)

// warningThresholds are the remaining validities at which warnings are due, in descending order.
var warningThresholds = [...]time.Duration{30 * day, 7 * day, urgentRemaining, time.Hour, 0}

// Warning reports that the certificate in use expires soon.
type Warning struct {
	Remaining time.Duration // remaining validity, negative after expiry
	Urgent    bool          // at most urgentRemaining
}

// ExpiryWarning returns a warning when the remaining validity of the identity in use reaches one of the
// warningThresholds, once for each.
func (r *Rotation) ExpiryWarning(now time.Time) (warning Warning, due bool) {
	if r.serving == nil || r.serving.Leaf() == nil {
		return Warning{}, false
	}
	remaining := r.Remaining(now)
	passed := 0
	for passed < len(warningThresholds) && remaining <= warningThresholds[passed] {
		passed++
	}
	if passed <= r.reportedWarnings {
		return Warning{}, false
	}
	r.reportedWarnings = passed
	return Warning{Remaining: remaining, Urgent: remaining <= urgentRemaining}, true
}

// Remaining returns the remaining validity of the identity in use, until the first certificate of its chain expires.
func (r *Rotation) Remaining(now time.Time) time.Duration {
	remaining := time.Duration(math.MaxInt64)
	for _, cert := range r.serving.Certs {
		remaining = min(remaining, cert.NotAfter.Sub(now))
	}
	return remaining
}
