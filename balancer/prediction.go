package balancer

// assumedCores is how many requests an endpoint is assumed to work at side by side.
const assumedCores = 2.0

// load is the number of requests in flight at e: those of others by the last report, and our own now. While
// the pool covers the fleet, half of the other balancers are assumed to send as we do: they know the report,
// too, and would all choose an endpoint where it is low. Reports probed for one request are known to us
// alone. Without a report the baseline counts. It is that of warm endpoints: what all send in slow start
// stays under what the endpoint can do, so that nothing queues there.
func (b *Balancer) load(e *endpoint) float64 {
	local := float64(e.inFlight)
	if b.reports.late || !e.hasLoad {
		baseline := b.estimates.baselineLoad.value
		others := min(baseline, baseline+(assumedCores-1-baseline)*indicator(e.slowStart.active))
		return others + local
	}
	sentSince := float64(max(0, e.inFlight-e.inFlightAtReport))
	herd := float64(b.settings.Balancers-1) / 2 * sentSince * indicator(!b.probes.onDemand)
	return e.otherInFlight + local + herd
}

// loadFactor is how many times as long as alone a request takes at e's load.
func (b *Balancer) loadFactor(e *endpoint) float64 {
	return max(1, (b.load(e)+1)/assumedCores)
}

// currentSlowness is e's time in µs per µs of work, longer in slow start. As it ages it returns to that of
// its kind, so that an endpoint once found slow is tried again.
func (e *endpoint) currentSlowness(now Micros, b *Balancer) float64 {
	baseline := b.estimates.kindSlowness[e.Kind].or(b.estimates.fleetSlowness.or(1))
	age := float64(now-e.slownessAt) / float64(slownessLifetime)
	trust := max(0, 1-age) * indicator(e.slowness.seen)
	return (baseline + (e.slowness.value-baseline)*trust) / e.capacityRatio(now, b)
}

// predictLatency is the latency in µs expected of a request of this work sent to e now.
func (b *Balancer) predictLatency(now Micros, e *endpoint, work float64) float64 {
	service := work * b.trend.slowdown() * e.currentSlowness(now, b) * b.loadFactor(e)
	return b.estimates.roundTrip[e.Zone].value + service
}
