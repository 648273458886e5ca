package balancer

const (
	randomDraws = 8 // random draws before the endpoints are searched in order
	// maxCandidates bounds the number of endpoints that one decision examines: those with a fresh report, and in
	// a search those of each part of a group. Fleets of at most this size are searched completely.
	maxCandidates = 200
)

// candidateGroup returns the smallest group that contains all endpoints that r may be sent to, or nil if
// there are none.
func (b *Balancer) candidateGroup(r *request) *endpointGroup {
	set := &b.endpoints
	if first := r.firstMayHaveRun(); first != nil {
		switch class := b.classOf(r); {
		case class.Idempotency == NotIdempotent:
			return nil
		case class.Idempotency == IdempotentWithKey && class.Group == GroupCell:
			return set.groups[groupKey{groupCell, first.cell}]
		case class.Idempotency == IdempotentWithKey && class.Group == GroupZone:
			return set.groups[groupKey{groupZone, uint16(first.zone)}]
		}
	}
	if r.Pool != 0 {
		return set.groups[groupKey{groupPool, uint16(r.Pool)}]
	}
	return &set.ready
}

// drawRandom returns a random endpoint that r may be sent to, in this zone or within maxRoundTrip, or nil.
// If random draws find none, it searches the group regardless of maxRoundTrip, warm endpoints first. Ejected
// endpoints are used only if no other is available.
func (b *Balancer) drawRandom(now Micros, r *request, exclude *endpoint, maxRoundTrip float64) *endpoint {
	group := b.candidateGroup(r)
	if group == nil || group.len() == 0 || !b.mayAttempt(now, r) {
		return nil
	}
	eligible := func(e *endpoint) bool {
		return e != exclude && !r.triedEndpoint(e) && b.maySend(now, r, e)
	}
	var fallback *endpoint
	for range randomDraws {
		e := group.at(int(b.random.float() * float64(group.len())))
		if !b.acceptDraw(e, maxRoundTrip) || !eligible(e) {
			continue
		}
		if !e.ejected(now) {
			return e
		}
		fallback = e
	}
	found, ejected := b.search(now, group, eligible)
	if found != nil {
		return found
	}
	if ejected != nil {
		return ejected
	}
	return fallback
}

// search returns the first eligible endpoint of a group. It starts at a random index of the warm endpoints
// and continues with those in slow start, examining at most maxCandidates of each. If it finds only ejected
// endpoints, it returns one of them as the second result.
func (b *Balancer) search(now Micros, group *endpointGroup, eligible func(*endpoint) bool) (
	found, ejected *endpoint) {
	for _, members := range [...][]*endpoint{group.warm, group.slowStart} {
		start := int(b.random.float() * float64(len(members)))
		for i := range min(len(members), maxCandidates) {
			e := members[(start+i)%len(members)]
			if !eligible(e) {
				continue
			}
			if !e.ejected(now) {
				return e, nil
			}
			ejected = e
		}
	}
	return nil, ejected
}

// acceptDraw rejects endpoints in zones that are too far away, and accepts others in proportion to their
// weight.
func (b *Balancer) acceptDraw(e *endpoint, maxRoundTrip float64) bool {
	remote := int(e.Zone) != b.settings.Zone
	if remote && (maxRoundTrip == 0 || b.estimates.roundTrip[e.Zone].value > maxRoundTrip) {
		return false
	}
	return !(b.random.float()*b.endpoints.maxWeight > float64(e.Weight)) // true if the weight is NaN
}
