package balancer

// endpoint holds the listed properties of an endpoint and its statistics.
type endpoint struct {
	Endpoint
	listedVersion int          // version of the endpoint set in which it was last listed
	listIndex     int          // in endpointSet.list
	memberships   []membership // in groups; empty unless the endpoint is ready
	slowStart     slowStart

	inFlight           int    // local attempts without outcome
	lastSentAt         Micros // when the latest local attempt was sent
	lastAnsweredSentAt Micros // when the latest of the answered attempts had been sent
	lastResponseAt     Micros // time of the latest response to an attempt or a probe

	probePending     bool
	probedAt         Micros
	pooled           bool    // in the probe pool
	hasLoad          bool    // has reported its load
	reportedAt       Micros  // time of the latest load report; 0 if a probe has failed since
	otherInFlight    float64 // requests of other balancers in flight, according to that report
	inFlightAtReport int     // inFlight at the time of that report

	slowness   ewma // µs taken per µs of work and load factor
	slownessAt Micros
	failures   failureAverage
	breaker    breaker
}

// capacityRatio returns the lowest capacity that e can have now, as a ratio of its full capacity.
func (e *endpoint) capacityRatio(now Micros, b *Balancer) float64 {
	if !e.inSlowStart(now, b) {
		return 1
	}
	from := b.settings.Contract.SlowStartRatio
	return from + (1-from)*float64(now-e.slowStart.since)/float64(b.settings.Contract.SlowStartTime)
}

func (e *endpoint) inSlowStart(now Micros, b *Balancer) bool {
	return e.slowStart.active && now-e.slowStart.since < b.settings.Contract.SlowStartTime
}

// identity returns a hash that identifies e at every balancer.
func (e *endpoint) identity() uint64 {
	id := e.StableID
	if id == 0 {
		id = uint64(e.ID)
	}
	hash := randomSource(id)
	hash.float()
	return uint64(hash)
}

// slowStart is the token bucket of an endpoint in slow start.
type slowStart struct {
	active     bool
	since      Micros
	tokens     float64 // work in µs that the endpoint may still be sent
	refilledAt Micros
}

// refill adds the tokens earned since the last refill, up to burst.
func (s *slowStart) refill(now Micros, rate, burst float64) {
	earned := rate * float64(now-s.refilledAt) / float64(second)
	s.tokens = min(burst, s.tokens+earned)
	s.refilledAt = now
}

// failureAverage is the ratio of failures at an endpoint as of its last update; failureRatio applies the decay.
type failureAverage struct {
	ratio     float64
	updatedAt Micros
}

// recordSuccess lowers the failure ratio of e after an answered attempt.
func (e *endpoint) recordSuccess(now Micros) {
	e.failures.ratio = (1 - failureWeight) * e.failureRatio(now)
	e.failures.updatedAt = now
}

// recentlyUsed is a ring buffer of the endpoints that requests were last sent to.
type recentlyUsed struct {
	ring  [maxRecent]*endpoint
	count int // sends so far
}

func (u *recentlyUsed) add(e *endpoint) {
	u.ring[u.count%maxRecent] = e
	u.count++
}

// len returns the number of endpoints in the ring.
func (u *recentlyUsed) len() int { return min(maxRecent, u.count) }
