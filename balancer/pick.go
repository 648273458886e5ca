package balancer

const (
	recentDraws         = 4    // draws from the recently used endpoints in one pick
	maxRecent           = 32   // recently used endpoints recorded
	queueDelayWeight    = 0.05 // weight of the delay that a send causes to requests in flight
	crossZoneWeight     = 2.0  // cost of leaving the zone at a price of 1, in latency objectives
	idleConnectionRatio = 0.7  // ratio of the keep-alive time for which an idle connection is assumed open
	connectRoundTrips   = 2.0  // round trips to open a connection
	connectCostRatio    = 0.2  // cost of opening a connection, as a ratio of the latency objective
)

// cost ranks endpoints for r: the predicted latency in µs, plus penalties for failures, for leaving the zone
// and for opening a connection. The penalty for a late answer ranks an endpoint that answers in time first,
// even if it is remote or failing.
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

// likelyConnected reports whether e is likely to have an idle connection; true if connections do not matter.
func (b *Balancer) likelyConnected(now Micros, e *endpoint) bool {
	lifetime := Micros(idleConnectionRatio * float64(b.settings.Limits.KeepAlive))
	if lifetime == 0 {
		return true
	}
	return e.inFlight == 0 && e.lastResponseAt > 0 && now-e.lastResponseAt < lifetime
}

// selection finds the endpoint with the lowest cost for a request.
type selection struct {
	b       *Balancer
	now     Micros
	r       *request
	exclude *endpoint
	best    *endpoint
	minCost float64
}

// consider selects e if its cost is lower than that of the best endpoint so far.
func (s *selection) consider(e *endpoint) {
	if cost := s.b.cost(s.now, s.r, e); s.best == nil || cost < s.minCost {
		s.best = e
		s.minCost = cost
	}
}

// permitted reports whether r may be sent to e and was not sent to it yet.
func (s *selection) permitted(e *endpoint) bool {
	return e != s.exclude && !s.r.triedEndpoint(e) && s.b.maySend(s.now, s.r, e)
}

// offer considers e if it is permitted and not ejected.
func (s *selection) offer(e *endpoint) {
	if e != nil && !e.ejected(s.now) && s.permitted(e) {
		s.consider(e)
	}
}

// pick returns the endpoint with a fresh report that has the lowest cost for r, among those that the rules
// permit. If there are too few fresh reports, random endpoints, recently used ones and the key's owners
// compete too.
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
	// A small pool would attract all traffic, so others compete while most endpoints have no report.
	if s.best == nil || !b.probes.onDemand && 2*len(pool) < min(len(b.endpoints.list), maxCandidates) {
		s.considerOthers()
	}
	// The group may have no other endpoint, and a retry may succeed where the network path failed.
	if s.best == nil && len(r.attempts) > 0 {
		s.considerRetried()
	}
	return s.best
}

// considerOthers considers endpoints regardless of whether they have a fresh report.
func (s *selection) considerOthers() {
	b := s.b
	for range 2 { // power of two choices
		if e := b.drawRandom(s.now, s.r, s.exclude, float64(s.r.Deadline)); e != nil {
			s.consider(e)
		}
	}
	// A recently used endpoint may have an open connection.
	for range recentDraws * min(1, b.recent.count) {
		s.offer(b.recent.ring[int(b.random.float()*float64(b.recent.len()))])
	}
	if s.r.key != nil {
		for _, owner := range s.r.key.owners {
			s.offer(owner)
		}
	}
}

// considerRetried considers an endpoint that has not itself failed r. Failures of the network path do not
// count.
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
