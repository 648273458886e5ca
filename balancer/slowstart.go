package balancer

// An endpoint in slow start is sent at most a part of the mean work that this balancer sends to a warm
// endpoint, in proportion to its capacity. If every balancer does so, the total stays below the endpoint's
// capacity without coordination. Each send is charged slightly more than its work, to cover a possible
// handshake.
const (
	slowStartShare  = 0.28 // ratio of the overload multiple of its capacity that the endpoint may be sent
	slowStartCharge = 1.15 // tokens that a send takes from the bucket per unit of its work
	maxKindRatio    = 1.6  // factor by which a kind of machine counts as faster or slower than the mean, at most
	probeWorkRatio  = 0.01 // work of a probe, as a ratio of the work of a request
)

// startSlowStart begins the slow start of a process that started at the given instant.
func (b *Balancer) startSlowStart(now Micros, e *endpoint, started Micros) {
	e.slowStart.since = min(started, now)
	b.endpoints.beginSlowStart(e, e.slowStart.since+b.settings.Contract.SlowStartTime)
	e.slowStart.refilledAt = now
	// A balancer with little traffic earns the tokens of one send in minutes. Every bucket therefore starts with
	// a random part of them, as otherwise no such balancer would send anything during slow start.
	e.slowStart.tokens = b.random.float() * slowStartCharge * b.classes[0].work.value
}

// slowStartAllows refills e's token bucket and reports whether it holds enough for a request with this work.
func (b *Balancer) slowStartAllows(now Micros, e *endpoint, work float64) bool {
	rate := b.slowStartRate(now, e, work)
	burst := max(rate*float64(b.settings.Contract.OverloadTime)/float64(second)/2, work*slowStartCharge)
	e.slowStart.refill(now, rate, burst)
	return e.slowStart.tokens >= work*slowStartCharge
}

// slowStartRate returns the work per second that e may be sent.
func (b *Balancer) slowStartRate(now Micros, e *endpoint, work float64) float64 {
	warm := float64(len(b.endpoints.ready.warm))
	sent := b.traffic.sentWork.rate(now)
	if warm == 0 { // no warm endpoint to compare with: use an equal part of the demand
		warm = float64(b.endpoints.ready.len())
		sent = b.traffic.demand.rate(now) * work
	}
	rate := min(1, slowStartShare*b.settings.Contract.OverloadMultiple) * e.capacityRatio(now, b)
	rate = rate * sent / max(1, warm)
	// The mean covers all kinds of machine, and this endpoint's kind may be faster or slower.
	mean := b.estimates.fleetSlowness.valueOr(1)
	speed := mean / b.estimates.kindSlowness[e.Kind].valueOr(mean)
	return rate * min(maxKindRatio, max(1/maxKindRatio, speed))
}
