package balancer

// breaker holds the outcomes of an endpoint in a sliding window of time buckets, and two latency averages.
type breaker struct {
	buckets  [breakerBuckets]bucket
	newest   int64   // number of the newest bucket, counted from the origin of time
	requests int     // over the window
	accepts  int     // over the window
	baseline float64 // µs: falls fast and rises slowly
	current  float64 // µs
	trialAt  Micros  // when the latest trial was admitted
}

type bucket struct{ requests, accepts, failures int }

// slide drops the buckets that have left the window and returns the newest one.
func (k *breaker) slide(now Micros) *bucket {
	newest := now / (breakerWindow / breakerBuckets)
	if newest-k.newest >= breakerBuckets {
		if k.requests > 0 { // else all buckets are empty
			k.buckets = [breakerBuckets]bucket{}
		}
		k.requests = 0
		k.accepts = 0
		k.newest = newest
	}
	for k.newest < newest {
		k.newest++
		expired := &k.buckets[k.newest%breakerBuckets]
		k.requests -= expired.requests
		k.accepts -= expired.accepts
		*expired = bucket{}
	}
	return &k.buckets[newest%breakerBuckets]
}

// recordLatency updates the two averages in the same way as go-zero's breaker.
func (k *breaker) recordLatency(latency float64) {
	if k.baseline <= 0 {
		k.baseline = latency
		k.current = latency
		return
	}
	divisor := float64(riseDivisor)
	if latency < k.baseline {
		divisor = fallDivisor
	}
	k.baseline = (latency + (divisor-1)*k.baseline) / divisor
	k.current = (latency + (currentDivisor-1)*k.current) / currentDivisor
}

// record counts one request in the newest bucket.
func (k *breaker) record(now Micros, accepts, failures int) {
	newest := k.slide(now)
	newest.requests++
	newest.accepts += accepts
	newest.failures += failures
	k.requests++
	k.accepts += accepts
}
