package balancer

// A cold endpoint gets at most a share of its warmth's part of our own mean work per warm endpoint. All
// balancers doing so, their sum stays under what it can do; none needs to know of the others. Each send
// is charged a little more than its work, for the handshake that it may cost.
const (
	coldShare  = 0.28 // of the multiple at which it falls over
	coldCharge = 1.15
	kindMost   = 1.6  // times the mean, at most, for a faster kind: how many cores it has is not told
	probeShare = 0.01 // of a request's work, taken from a cold endpoint's room by a probe
)

// coldRoom refills the token bucket of a cold endpoint and says whether a request of this work fits.
func (b *Balancer) coldRoom(now Micros, e *endpoint, work float64) bool {
	var warm, ready float64
	for _, o := range b.endpoints.list {
		ready += share(o.State == Ready)
		warm += share(o.State == Ready && !o.cold(now, b))
	}
	rate := b.traffic.sentWork.rate(now)
	if warm == 0 { // nothing to compare with: an even share of what is asked
		warm, rate = ready, b.traffic.demand.rate(now)*work
	}
	fill := min(1, coldShare*b.settings.Contract.OverloadMultiple) * e.warmth(now, b) * rate / max(1, warm)
	// What the others do is the mean of all kinds; this one can do more, or less.
	mean := b.estimates.fleetSlowness.or(1)
	fill *= min(kindMost, max(1/kindMost, mean/b.estimates.kindSlowness[e.Kind].or(mean)))
	most := max(fill*float64(b.settings.Contract.OverloadTime)/float64(second)/2, work*coldCharge)
	e.slowStart.tokens = min(most, e.slowStart.tokens+fill*float64(now-e.slowStart.refilledAt)/float64(second))
	e.slowStart.refilledAt = now
	return e.slowStart.tokens >= work*coldCharge
}
