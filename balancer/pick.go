package balancer

import "slices"

// cost ranks endpoints: predicted latency, and as time a zone crossing's price and a likely failure.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	aim := float64(b.class(r).LatencyObjective)
	expected := b.predict(now, e, b.workAt(now, r, e))
	// One that answers in time goes first, if far or failing.
	c := expected + (e.failing(now)+share(e.ejected(now))+share(expected > b.room(now, r, e)))*aim
	c += othersWeight * b.classes[r.Class].work.v * e.paceNow(now, b) * b.load(e)
	if !b.connected(now, e) {
		c += openTrips*b.estimates.roundTrip[e.Zone].v + openWeight*aim
	}
	return c + zoneWeight*b.settings.Prices.CrossZone*aim*share(int(e.Zone) != b.settings.Zone)
}

// connected says whether a connection to e is likely to stand idle; true where it does not matter.
func (b *Balancer) connected(now Micros, e *endpoint) bool {
	kept := Micros(idlePart * float64(b.settings.Limits.KeepAlive))
	return kept == 0 || e.inflight == 0 && e.heardAt > 0 && now-e.heardAt < kept
}

// draw returns a random endpoint that r may and should go to, at home or no farther than far, or nil.
func (b *Balancer) draw(now Micros, r *request, not *endpoint, far float64) *endpoint {
	n := len(b.endpoints.list)
	var last *endpoint
	at := int(b.random.float() * float64(n))
	for i := 0; n > 0 && i < drawTries+n; i++ {
		if i < drawTries {
			at = int(b.random.float() * float64(n))
		}
		e := b.endpoints.list[(at+i)%n]
		// Larger endpoints are drawn more often.
		away := int(e.Zone) != b.settings.Zone && (far == 0 || b.estimates.roundTrip[e.Zone].v > far)
		if i < drawTries && (away || b.random.float()*b.endpoints.maxWeight > float64(e.Weight)) {
			continue
		}
		if e == not || r.tried(e) || !b.maySend(now, r, e) {
			continue
		}
		if !e.ejected(now) {
			return e
		}
		last = e // ejected endpoints serve only when nothing else is left
	}
	return last
}

// pick returns the pooled endpoint of the least cost for r, leaving out those it must not or should not go
// to; without fresh answers, the better of two random draws.
func (b *Balancer) pick(now Micros, r *request, not *endpoint) *endpoint {
	fresh := b.freshFor(now, b.class(r).LatencyObjective)
	var best *endpoint
	var least float64
	consider := func(e *endpoint) {
		if c := b.cost(now, r, e); best == nil || c < least {
			best, least = e, c
		}
	}
	offer := func(e *endpoint) {
		if e != nil && e != not && !e.ejected(now) && !r.tried(e) && b.maySend(now, r, e) {
			consider(e)
		}
	}
	b.probes.pool = slices.DeleteFunc(b.probes.pool, func(e *endpoint) bool {
		e.pooled = e.State == Ready && now-e.answerAt <= fresh
		return !e.pooled
	})
	for i, at := 0, int(b.random.float()*float64(len(b.probes.pool))); i < len(b.probes.pool); i++ {
		if e := b.probes.pool[(at+i)%len(b.probes.pool)]; e != not && !r.tried(e) && b.maySend(now, r, e) {
			consider(e)
		}
	}
	// A pool of few would take all: with most endpoints unanswered, the draws compete.
	if best == nil || !b.probes.onDemand && 2*len(b.probes.pool) < len(b.endpoints.list) {
		for range 2 {
			if e := b.draw(now, r, not, float64(r.Deadline)); e != nil {
				consider(e)
			}
		}
		// And some of those that were sent to of late: a connection to them may stand.
		for range metDraws * min(1, b.recent.count) {
			offer(b.recent.ring[int(b.random.float()*float64(b.recent.len()))])
		}
		for i := 0; r.place != nil && i < len(r.place.homes); i++ {
			offer(r.place.homes[i])
		}
	}
	// A group may have no other left, and what broke on the way may come through the next time.
	for i := 0; best == nil && len(r.attempts) > 0 && i < len(b.endpoints.list); i++ {
		if e := b.endpoints.list[i]; e != not && !e.ejected(now) && !r.failedAt(e) && b.maySend(now, r, e) {
			consider(e)
		}
	}
	return best
}
