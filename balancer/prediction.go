package balancer

// load is the last answer plus own sends since, less own answers since. Where a pool of the whole fleet is
// kept, half of the other balancers are held to send as we do: they hold that answer, too, and would all
// pile up where it is low. Answers asked for one request are our own: nobody else acts on them. What is
// usual is so of warm endpoints: what all send to a cold one is held under what it can do, and nobody waits.
func (b *Balancer) load(e *endpoint) float64 {
	if b.reports.late || !e.hasLoad {
		usual := b.estimates.baselineLoad.v
		return min(usual, usual+(cores-1-usual)*share(e.slowStart.active)) + float64(e.inflight)
	}
	herd := float64(b.settings.Balancers-1) / 2 * float64(max(0, e.inflight-e.ownAt)) * share(!b.probes.onDemand)
	return e.others + float64(e.inflight) + herd
}

// crowding is how much longer than alone a request takes at e's load.
func (b *Balancer) crowding(e *endpoint) float64 {
	return max(1, (b.load(e)+1)/cores)
}

// paceNow is e's time per unit of work, longer while it is cold. Unseen for long, it
// is the fleet's, so that an endpoint once thought slow is tried again.
func (e *endpoint) paceNow(now Micros, b *Balancer) float64 {
	usual := b.estimates.kindSlowness[e.Kind].or(b.estimates.fleetSlowness.or(1))
	trust := max(0, 1-float64(now-e.paceAt)/float64(paceLife)) * share(e.pace.seen)
	return (usual + (e.pace.v-usual)*trust) / e.warmth(now, b)
}

// predict is the latency expected of a request of this work sent to e now.
func (b *Balancer) predict(now Micros, e *endpoint, work float64) float64 {
	return b.estimates.roundTrip[e.Zone].v + work*b.trend.slowdown()*e.paceNow(now, b)*b.crowding(e)
}
