package validate

import (
	"math"
	"time"
)

// urgentRemaining is the remaining validity from which on a warning is urgent.
const urgentRemaining = 24 * time.Hour

// warningThresholds are the remaining validities at which a warning is due, in descending order.
var warningThresholds = [...]time.Duration{30 * 24 * time.Hour, 7 * 24 * time.Hour, urgentRemaining, time.Hour, 0}

// Warning reports that the serving certificate expires soon.
type Warning struct {
	Remaining time.Duration // negative after expiry
	Urgent    bool          // a day or less remains
}

// ExpiryWarning returns a warning once for each of the warningThresholds that the serving identity passes.
func (r *Rotation) ExpiryWarning(now time.Time) (warning Warning, due bool) {
	if r.serving == nil || r.serving.Leaf() == nil {
		return Warning{}, false
	}
	remaining := r.Remaining(now)
	passed := 0
	for passed < len(warningThresholds) && remaining <= warningThresholds[passed] {
		passed++
	}
	if passed <= r.warned {
		return Warning{}, false
	}
	r.warned = passed
	return Warning{Remaining: remaining, Urgent: remaining <= urgentRemaining}, true
}

// Remaining returns how long the serving identity is still valid: until the first certificate of its chain
// expires.
func (r *Rotation) Remaining(now time.Time) time.Duration {
	remaining := time.Duration(math.MaxInt64)
	for _, cert := range r.serving.Certs {
		remaining = min(remaining, cert.NotAfter.Sub(now))
	}
	return remaining
}
