package balancer

// assumedCores is the number of requests that an endpoint is assumed to process in parallel.
const assumedCores = 2.0

// load estimates the number of requests in flight at e: those of other balancers by the last report, and the
// local ones now. Except with probes on demand, whose reports only this balancer knows, half of the other
// balancers are assumed to have sent as many requests since the report as this one: they have the report too,
// and all would choose an endpoint that reported a low load. Without a report the baseline is used. It is
// measured at warm endpoints: in slow start all balancers together send less than the endpoint's capacity, so
// nothing queues.
func (b *Balancer) load(e *endpoint) float64 {
	local := float64(e.inFlight)
	if b.reports.late || !e.hasLoad {
		baseline := b.estimates.baselineLoad.value
		others := min(baseline, baseline+(assumedCores-1-baseline)*indicator(e.slowStart.active))
		return others + local
	}
	sentSince := float64(max(0, e.inFlight-e.inFlightAtReport))
	othersSince := float64(b.settings.Balancers-1) / 2 * sentSince * indicator(!b.probes.onDemand)
	return e.otherInFlight + local + othersSince
}

// loadFactor returns how many times as long a request takes at e's load as at an idle endpoint.
func (b *Balancer) loadFactor(e *endpoint) float64 {
	return max(1, (b.load(e)+1)/assumedCores)
}

// currentSlowness returns e's time in µs per µs of work, which is longer in slow start. As the estimate
// ages it returns to the value for e's kind, so that an endpoint once found slow is tried again.
func (e *endpoint) currentSlowness(now Micros, b *Balancer) float64 {
	baseline := b.estimates.kindSlowness[e.Kind].valueOr(b.estimates.fleetSlowness.valueOr(1))
	age := float64(now-e.slownessAt) / float64(slownessLifetime)
	trust := max(0, 1-age) * indicator(e.slowness.seen)
	return (baseline + (e.slowness.value-baseline)*trust) / e.capacityRatio(now, b)
}

// predictLatency returns the expected latency in µs of a request with this work if it is sent to e now.
func (b *Balancer) predictLatency(now Micros, e *endpoint, work float64) float64 {
	service := work * b.trend.slowdown() * e.currentSlowness(now, b) * b.loadFactor(e)
	return b.estimates.roundTrip[e.Zone].value + service
}
