package balancer

// The adaptive breaker of go-zero (core/breaker/googlebreaker.go), after "Handling Overload" in Google's Site
// Reliability Engineering, with go-zero's constants.
const (
	breakerWindow     = 10 * second
	breakerBuckets    = 40  // in the window
	maxAcceptMultiple = 1.5 // K: requests per accept up to which nothing is rejected
	minAcceptMultiple = 1.1 // K if all buckets fail
	protectedRequests = 5   // requests in the window that are never rejected
	trialPause        = second
	latencyActivation = 3    // multiple of the baseline latency above which requests are rejected for latency
	ceilingRatio      = 0.95 // ratio of the timeout at which maxLatencyChance is reached
	maxLatencyChance  = 0.3  // highest probability of a rejection for latency
	fallDivisor       = 4    // 1/weight, in the baseline, of a latency below the baseline
	riseDivisor       = 100  // 1/weight, in the baseline, of a latency above the baseline
	currentDivisor    = 4    // 1/weight of any latency in the current average
)

// errorChance returns the probability of rejecting a request because of failures in the window:
// max(0, (requests - protected - K*accepts) / (requests+1)), where K falls as consecutive buckets fail.
func (k *breaker) errorChance(now Micros) float64 {
	k.slide(now)
	if k.requests <= protectedRequests {
		return 0
	}
	failing := 0 // consecutive buckets without an accept, up to the newest
	for i := k.newest + 1; i <= k.newest+breakerBuckets; i++ {
		counts := &k.buckets[i%breakerBuckets]
		if counts.accepts > 0 {
			failing = 0
		} else if counts.failures > 0 {
			failing++
		}
	}
	eased := (maxAcceptMultiple - minAcceptMultiple) * float64(failing) / breakerBuckets
	multiple := max(minAcceptMultiple, maxAcceptMultiple-eased)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-multiple*float64(k.accepts))/(total+1))
}

// latencyChance returns the probability of rejecting a request because answers are slow, given its timeout in
// µs.
func (k *breaker) latencyChance(timeout float64) float64 {
	threshold := latencyActivation * k.baseline
	ceiling := ceilingRatio * timeout
	if k.baseline <= 0 || ceiling <= threshold {
		return 0
	}
	chance := (k.current - threshold) / (ceiling - threshold) * maxLatencyChance
	return min(maxLatencyChance, max(0, chance))
}

// breakerAllows decides at random whether the breaker admits a request. A rejected request is counted as a
// request that the endpoint did not accept. Once per trialPause a request is admitted as a trial.
func (b *Balancer) breakerAllows(now Micros, r *request, e *endpoint) bool {
	timeout := float64(b.classOf(r).ClientTimeout)
	chance := max(e.breaker.errorChance(now), e.breaker.latencyChance(timeout))
	if chance > 0 && now-e.breaker.trialAt > trialPause {
		e.breaker.trialAt = now
		return true
	}
	if b.random.float() < chance {
		e.breaker.record(now, 0, 0)
		return false
	}
	return true
}
