// Package balancer makes the decisions of a client-side sidecar balancer.
//
// Settings, events and actions stand in api.go, the records kept in state.go; all decisions stand in the
// others: balancer.go has the lifecycle and the request ledger, members.go membership and warm-up,
// probes.go the probe pool, pick.go prediction and pick, keys.go warm keys, breaker.go the breaker,
// attempts.go attempts and refusals. A Balancer is a deterministic state machine for one caller at a
// time: the host passes each event with its instant, and the balancer calls Actions.
package balancer

// Start begins the balancer's life.
func (b *Balancer) Start(now Micros) {
	b.reports.lateRatio.seen, b.traffic.rejected.seen, b.traffic.swallowed.seen = true, true, true
	b.trend.ratio, b.estimates.hintExponent = 1, 0.5
	b.keys.start()
	b.budgets.retry, b.budgets.hedge, b.traffic.trialInterval = budgetBurst, budgetBurst, passLeast
	b.probes.perRequest = min(probeMost, askSpend/b.settings.Prices.Probe) // a price of 0 asks for the most
	if b.settings.PollDiscovery {
		// All balancers may start at once: spread their first polls.
		b.askIn(now, 1+b.random.below(b.settings.Contract.PollInterval/10))
	}
	if b.settings.Limits.Probes {
		b.actions.Timer(1+b.random.below(probeGap), tokenProbe)
	}
}

// All leaves through send, refuse and fail below. They alone keep the rules: no policy gets round them.

// end marks that the final answer is out; the record stays for late outcomes.
func (b *Balancer) end(r *request) {
	if !r.ended {
		b.classes[r.Class].good.add(r.good, 0.02)
		r.ended = true
		b.release(r)
		b.ledger.open--
		for i := range r.attempts {
			if r.attempts[i].out && b.settings.Limits.Cancel {
				b.actions.Cancel(r.ID, i)
			}
		}
	}
	if r.out == 0 && b.ledger.requests[r.ID] == r {
		delete(b.ledger.requests, r.ID)
		b.ledger.free = append(b.ledger.free, r)
	}
}

// maySend says whether the rules allow an attempt at e now.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	if r.ended || r.stream || r.waits(b.settings.Limits.Hedging) || now >= r.Deadline ||
		len(r.attempts) >= b.settings.Limits.MaxAttempts || r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts ||
		e.State != Ready || r.Pool > 0 && e.Pools>>(r.Pool-1)&1 == 0 {
		return false
	}
	if e.cold(now, b) && !b.coldRoom(now, e, r.work) {
		return false
	}
	c, first := b.class(r), r.bound()
	return first == nil || c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentWithKey && now < first.at+c.DedupWindow &&
			(c.Group == GroupAll || c.Group == GroupZone && e.Zone == first.zone ||
				c.Group == GroupCell && e.Cell == first.cell)
}

// send starts an attempt if the rules allow it.
func (b *Balancer) send(now Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	if e.cold(now, b) {
		e.slowStart.tokens -= r.work * coldCharge
	}
	bin, by := b.bin(now, r, e), r.sendBy(b.class(r))
	work, crowding := r.work*b.keys.part[bin], b.crowding(e)
	a := attempt{ep: e, zone: e.Zone, cell: e.Cell, at: now, bin: bin, crowding: crowding, own: e.inflight,
		expected: b.predict(now, e, work), factor: work * crowding, out: true, mayRun: true}
	if r.place != nil {
		r.place.sentTo(now, e)
	}
	a.lateAt = now + Micros(max(lateFactor*a.expected, lateLeast*float64(b.class(r).LatencyObjective)))
	r.attempts = append(r.attempts, a)
	r.out++
	e.inflight++
	e.sentAt = now
	if b.settings.Limits.KeepAlive > 0 {
		b.recent.add(e)
	}
	b.traffic.sentWork.add(now, r.work)
	if first := len(r.attempts) == 1; first && int(r.Tenant) < len(b.tenants) {
		b.tenants[r.Tenant].add(now, 1)
	}
	b.actions.Send(r.ID, e.ID, r.AttemptTimeout, by)
	if len(r.attempts) == 1 {
		b.actions.Timer(max(1, r.Deadline-now), r.token)
		if after := b.copyAfter(r); after > 0 && now+after < r.Deadline {
			b.actions.Timer(after, r.token)
		}
	}
	if b.traffic.swallowed.v >= lostLeast && a.lateAt+Micros(a.expected) < r.Deadline {
		b.actions.Timer(a.lateAt-now, r.token)
	}
	return true
}

// ClientDisconnected handles a client that left before its final answer.
func (b *Balancer) ClientDisconnected(now Micros, id uint64) {
	if r := b.ledger.requests[id]; r != nil {
		b.end(r)
	}
}
