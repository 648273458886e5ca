package balancer

// The adaptive breaker of go-zero (core/breaker/googlebreaker.go), after "Handling Overload" in Google's Site
// Reliability Engineering, with go-zero's constants.
const (
	breakerWindow     = 10 * second
	breakerBuckets    = 40  // of the window
	maxAcceptMultiple = 1.5 // K: requests per accept up to which nothing is rejected,
	minAcceptMultiple = 1.1 // and where every bucket fails
	protectedRequests = 5   // in the window, that are never rejected
	trialPause        = second
	latencyActivation = 3    // times the baseline latency, from which slow endpoints are rejected,
	ceilingRatio      = 0.95 // of the timeout, at which that is most likely,
	maxLatencyChance  = 0.3  // with this probability
	fallDivisor       = 4    // 1/weight of a latency under the baseline,
	riseDivisor       = 100  // of one over it,
	currentDivisor    = 4    // and of any in the current average
)

// errorChance is the probability with which a request is rejected for failures in the window: max(0,
// (requests - protected - K*accepts) / (requests+1)), where K falls as buckets fail in a row.
func (k *breaker) errorChance(now Micros) float64 {
	k.slide(now)
	if k.requests <= protectedRequests {
		return 0
	}
	failing := 0 // buckets in a row, up to the newest, without an accept
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

// latencyChance is the probability with which a request is rejected for slow answers, given its timeout in
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

// breakerAllows draws whether the breaker lets a request through; one that it stops counts as a request. One
// trial is let through every trialPause.
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
