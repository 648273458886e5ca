// Package idle estimates for how long a cached connection may be idle and still be used for a
// request.
//
// A deployment states after which time servers close idle connections. A NAT or a firewall on the
// path may drop them far sooner without notice: the next request on such a connection is reset,
// and its sender cannot determine whether it has run. The estimator counts by idle time how many
// connections are reset at their next use, and limits the idle time to what connections are
// observed to survive.
//
// The package does no I/O and reads no clock. Its state is lost on a restart.
package idle

import (
	"math"
	"time"
)

const (
	// binCount is the number of bins of idle time, each twice as wide as the one before.
	binCount = 12
	// minIdleTime is the upper bound of the first bin. An idle time this short does not cause a
	// connection to be dropped: the resets in this bin are the baseline.
	minIdleTime = 25 * time.Millisecond
	// decayHalfLife is the half-life of observations. Once they have decayed, longer idle times
	// are used again, until enough requests have been reset to restore the limit.
	decayHalfLife = 10 * time.Second
	// resetMargin is the ratio of resets in excess of the baseline above which a new connection is cheaper.
	resetMargin = 0.1
	// confidenceSigmas is the number of standard deviations by which resets must exceed the margin.
	confidenceSigmas = 2
)

// MaxStaleResetDelay is the longest time from a write on a connection that was already closed to
// the reset: more than a round trip between sites. A connection that is reset later broke while
// the request was in flight.
const MaxStaleResetDelay = 50 * time.Millisecond

// An Estimator holds the observations and the limit derived from them. The zero value has no
// observations. It is not safe for concurrent use.
type Estimator struct {
	bins      [binCount]counts
	updatedAt time.Time // all bins are decayed to this instant
	limitBin  int       // first bin whose idle times are not allowed; 0 if all are allowed
}

// counts holds the decayed observations of one bin.
type counts struct{ uses, resets float64 }

// binIndex returns the bin of an idle time.
func binIndex(idleTime time.Duration) int {
	index := 0
	for edge := minIdleTime; idleTime >= edge && index < binCount-1; edge *= 2 {
		index++
	}
	return index
}

// Observe records that a connection was used after it had been idle for idleTime, and whether
// it was reset within MaxStaleResetDelay.
func (e *Estimator) Observe(now time.Time, idleTime time.Duration, reset bool) {
	e.decay(now)
	bin := &e.bins[binIndex(idleTime)]
	bin.uses++
	if reset {
		bin.resets++
	}
	e.updateLimit()
}

// decay reduces the weight of all observations by the time since the last update.
func (e *Estimator) decay(now time.Time) {
	elapsed := now.Sub(e.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(decayHalfLife))
	for i := range e.bins {
		e.bins[i].uses *= factor
		e.bins[i].resets *= factor
	}
	e.updatedAt = now
}

// updateLimit finds the first bin whose resets exceed the baseline. A bin without observations is
// judged by those of all longer idle times together, since the connections that were reset there
// may have been dropped after a shorter time.
func (e *Estimator) updateLimit() {
	e.limitBin = 0
	baseline := e.bins[0].resets / max(1, e.bins[0].uses)
	var total counts
	for i := binCount - 1; i > 0; i-- {
		bin := e.bins[i]
		total.uses += bin.uses
		total.resets += bin.resets
		if bin.exceeds(baseline) || bin.uses < 1 && total.exceeds(baseline) {
			e.limitBin = i
		}
	}
}

// exceeds reports whether the resets exceed the baseline ratio by the margin, with statistical
// significance.
func (c counts) exceeds(baseline float64) bool {
	return c.resets-confidenceSigmas*math.Sqrt(c.resets) > (baseline+resetMargin)*c.uses && c.resets > 0
}

// Limit returns the idle time, at most maxIdle, from which on a connection must not be used.
func (e *Estimator) Limit(now time.Time, maxIdle time.Duration) time.Duration {
	e.decay(now)
	e.updateLimit()
	if e.limitBin == 0 {
		return maxIdle
	}
	return min(maxIdle, minIdleTime<<(e.limitBin-1))
}
