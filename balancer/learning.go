package balancer

import "math"

// recordOutcome updates the breaker, the failure ratio and the averages with the outcome of an attempt.
func (b *Balancer) recordOutcome(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.endpoint
	switch status {
	case OK:
		e.breaker.record(now, 1, 0)
		e.breaker.recordLatency(float64(latency))
		e.recordSuccess(now)
		b.learnLatency(now, r, a, float64(latency), false)
		b.learnHedgeLatency(r, float64(latency))
	case Cancelled, NotSent:
	default:
		e.breaker.record(now, 0, 1)
		b.recordFailure(now, a, status, latency)
		if status == Timeout {
			b.learnLatency(now, r, a, float64(latency), true)
		}
	}
}

// learnLatency learns from a latency in µs. With lowerBound the attempt took at least that long.
func (b *Balancer) learnLatency(now Micros, r *request, a *attempt, latency float64, lowerBound bool) {
	e := a.endpoint
	slowness := max(0, latency-b.estimates.roundTrip[e.Zone].value) / a.workFactor
	// An overtaken attempt may have been dropped, so it does not show how fast the endpoint or the fleet is.
	if lowerBound && (slowness <= e.currentSlowness(now, b) || e.lastAnsweredSentAt > a.sentAt) {
		return
	}
	b.trend.update(latency / a.expectedLatency)
	if !lowerBound && e.slowness.seen {
		b.keys.learn(a.affinity, slowness*b.keys.workRatio[a.affinity]/e.currentSlowness(now, b))
	}
	if !lowerBound && r.logHint != 0 && slowness > 0 {
		// Imprecise hints overstate large requests and understate small ones, so their exponent is learned.
		excess := math.Log(slowness / e.currentSlowness(now, b))
		exponent := b.estimates.hintExponent + hintExponentWeight*r.logHint*excess
		b.estimates.hintExponent = min(1, max(0, exponent))
	}
	capacity := e.capacityRatio(now, b)
	e.learnSlowness(now, b, slowness, capacity)
	if lowerBound {
		return
	}
	b.learnBaselineLoad(a, slowness, capacity)
	if !r.HasWorkHint {
		// Without hints a class's work is its mean latency on an endpoint without a queue.
		b.classes[r.Class].work.add(slowness*r.work, workWeight)
	}
	if !e.slowStart.active {
		b.estimates.kindSlowness[e.Kind].add(slowness, fleetWeight)
		b.estimates.fleetSlowness.add(slowness, fleetWeight)
	}
}
