package balancer

const (
	recentDraws         = 4    // of recently used endpoints, that a pick considers
	maxRecent           = 32   // recently used endpoints remembered
	queueDelayWeight    = 0.05 // of the delay that a send causes to those in flight
	crossZoneWeight     = 2.0  // latency objectives that the price of leaving the zone counts as
	idleConnectionRatio = 0.7  // of the keep-alive time, for which an idle connection is relied on
	connectRoundTrips   = 2.0  // to open a connection
	connectCostRatio    = 0.2  // of the latency objective, for the work and price of opening a connection
)

// cost ranks endpoints for r: the predicted latency in µs, and as time a zone crossing and likely failures.
// An endpoint that answers in time goes first, even if remote or failing.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	objective := float64(b.classOf(r).LatencyObjective)
	expected := b.predictLatency(now, e, b.expectedWork(now, r, e))
	failures := e.failureRatio(now)
	late := indicator(expected > b.latencyLimit(now, r, e))
	cost := expected + (failures+indicator(failures >= ejectionThreshold)+late)*objective
	cost += queueDelayWeight * b.classes[r.Class].work.value * e.currentSlowness(now, b) * b.load(e)
	if !b.likelyConnected(now, e) {
		cost += connectRoundTrips*b.estimates.roundTrip[e.Zone].value + connectCostRatio*objective
	}
	remote := int(e.Zone) != b.settings.Zone
	return cost + crossZoneWeight*b.settings.Prices.CrossZone*objective*indicator(remote)
}

// likelyConnected reports whether an idle connection to e is likely; true where that does not matter.
func (b *Balancer) likelyConnected(now Micros, e *endpoint) bool {
	lifetime := Micros(idleConnectionRatio * float64(b.settings.Limits.KeepAlive))
	if lifetime == 0 {
		return true
	}
	return e.inFlight == 0 && e.lastResponseAt > 0 && now-e.lastResponseAt < lifetime
}

// selection finds the endpoint of the least cost for a request.
type selection struct {
	b       *Balancer
	now     Micros
	r       *request
	exclude *endpoint
	best    *endpoint
	minCost float64
}

// consider takes e if it costs less than the best so far.
func (s *selection) consider(e *endpoint) {
	if cost := s.b.cost(s.now, s.r, e); s.best == nil || cost < s.minCost {
		s.best = e
		s.minCost = cost
	}
}

// permitted reports whether r may be sent to e, which it was not sent to yet.
func (s *selection) permitted(e *endpoint) bool {
	return e != s.exclude && !s.r.triedEndpoint(e) && s.b.maySend(s.now, s.r, e)
}

// offer considers e if it is permitted and not ejected.
func (s *selection) offer(e *endpoint) {
	if e != nil && !e.ejected(s.now) && s.permitted(e) {
		s.consider(e)
	}
}

// pick returns the endpoint with a fresh report that costs least for r, among those that the rules permit;
// without enough fresh reports, random draws, recently used endpoints and the key's owners compete.
func (b *Balancer) pick(now Micros, r *request, exclude *endpoint) *endpoint {
	s := selection{b: b, now: now, r: r, exclude: exclude}
	b.probes.dropStale(now, b.maxReportAge(now, b.classOf(r).LatencyObjective))
	pool := b.probes.pool
	first := int(b.random.float() * float64(len(pool)))
	for i := range pool {
		if e := pool[(first+i)%len(pool)]; s.permitted(e) {
			s.consider(e)
		}
	}
	// A small pool would attract everything: while most endpoints have no report, others compete.
	if s.best == nil || !b.probes.onDemand && 2*len(pool) < min(len(b.endpoints.list), maxCandidates) {
		s.considerOthers()
	}
	// A group may have no other endpoint left, and what the network path lost may arrive the next time.
	if s.best == nil && len(r.attempts) > 0 {
		s.considerRetried()
	}
	return s.best
}

// considerOthers considers endpoints without a fresh report.
func (s *selection) considerOthers() {
	b := s.b
	for range 2 { // power of two choices
		if e := b.drawRandom(s.now, s.r, s.exclude, float64(s.r.Deadline)); e != nil {
			s.consider(e)
		}
	}
	// A connection to a recently used endpoint may be open.
	for range recentDraws * min(1, b.recent.count) {
		s.offer(b.recent.ring[int(b.random.float()*float64(b.recent.len()))])
	}
	if s.r.key != nil {
		for _, owner := range s.r.key.owners {
			s.offer(owner)
		}
	}
}

// considerRetried takes an endpoint that has not itself failed r.
func (s *selection) considerRetried() {
	group := s.b.candidateGroup(s.r)
	if group == nil || !s.b.mayAttempt(s.now, s.r) {
		return
	}
	found, _ := s.b.search(s.now, group, func(e *endpoint) bool {
		return e != s.exclude && !s.r.failedByEndpoint(e) && s.b.maySend(s.now, s.r, e)
	})
	if found != nil {
		s.consider(found)
	}
}
