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
	for _, o := range b.list {
		ready += share(o.State == Ready)
		warm += share(o.State == Ready && !o.cold(now, b))
	}
	rate := b.sentWork.rate(now)
	if warm == 0 { // nothing to compare with: an even share of what is asked
		warm, rate = ready, b.demand.rate(now)*work
	}
	fill := min(1, coldShare*b.s.Contract.OverloadMultiple) * e.warmth(now, b) * rate / max(1, warm)
	// What the others do is the mean of all kinds; this one can do more, or less.
	fill *= min(kindMost, max(1/kindMost, b.fleet.or(1)/b.kinds[e.Kind].or(b.fleet.or(1))))
	most := max(fill*float64(b.s.Contract.OverloadTime)/float64(second)/2, work*coldCharge)
	e.room = min(most, e.room+fill*float64(now-e.roomAt)/float64(second))
	e.roomAt = now
	return e.room >= work*coldCharge
}
