package balancer

import "math"

const (
	failureWeight          = 0.5  // weight of the latest outcome; high, as healthy endpoints hardly ever fail
	transportFailureWeight = 0.25 // weight of a network failure: healthy endpoints lose connections too
	ejectionThreshold      = 0.4  // failure ratio from which an endpoint is ejected
	failureHalfLife        = 3 * second
	minFailureRatio        = 0.01 // lower ratios count as 0
)

// recordFailure counts a failed attempt against its endpoint, unless the attempt was overdue, or timed out
// early because the client left it little time.
func (b *Balancer) recordFailure(now Micros, a *attempt, status Status, latency Micros) {
	timedOutEarly := status == Timeout && float64(latency) < overdueMultiple*a.expectedLatency
	if a.overdue || timedOutEarly {
		return
	}
	weight := failureWeight
	if status == Reset || status == ConnectFailed || status == Timeout {
		weight = transportFailureWeight
	}
	e := a.endpoint
	before := e.ejected(now)
	e.failures.ratio = (1-weight)*e.failureRatio(now) + weight
	e.failures.updatedAt = now
	if !before && e.ejected(now) {
		b.log(now, "endpoint ejected", "endpoint", e.ID, "failure_ratio", roundForLog(e.failures.ratio))
	}
}

// failureRatio returns the recent ratio of failures at e. It decays, so that an ejected endpoint is tried
// again.
func (e *endpoint) failureRatio(now Micros) float64 {
	age := float64(now-e.failures.updatedAt) / float64(failureHalfLife)
	ratio := e.failures.ratio * math.Exp2(-age)
	return ratio * indicator(ratio > minFailureRatio)
}

// ejected reports whether e fails so often that it is used only if no other endpoint is available.
func (e *endpoint) ejected(now Micros) bool { return e.failureRatio(now) >= ejectionThreshold }
