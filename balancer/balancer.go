package balancer

// Start arms the first timers. Call it once, before any other event.
func (b *Balancer) Start(now Micros) {
	b.initialize()
	// If Prices.Probe is 0, the division gives +Inf and the maximum applies.
	b.probes.perRequest = min(maxProbesPerRequest, onDemandCostRatio/b.settings.Prices.Probe)
	if b.settings.PollDiscovery {
		// All balancers may start at the same time, so their first polls are spread out.
		b.schedulePoll(now, 1+b.random.below(b.settings.Contract.PollInterval/10))
	}
	if b.settings.Limits.Probes {
		b.actions.Timer(1+b.random.below(maxProbeInterval), probeTimer)
	}
}

// Only send starts an attempt, and only reject and fail give a final answer to a request in the ledger. They
// enforce the rules regardless of the other decisions: no second effect, one final answer, nothing sent to a
// draining endpoint, and the limits of slow start.

// finish marks a request as answered and cancels its pending attempts. The record stays in the ledger until
// the last outcome is reported.
func (b *Balancer) finish(r *request) {
	if !r.finished {
		b.classes[r.Class].onTime.add(r.onTime, onTimeWeight)
		r.finished = true
		b.ledger.stopWaiting(r)
		b.ledger.open--
		for i := range r.attempts {
			if r.attempts[i].pending && b.settings.Limits.Cancel {
				b.actions.Cancel(r.ID, i)
			}
		}
	}
	if r.pending == 0 {
		b.releaseIdempotencyKey(r)
		b.ledger.release(r)
	}
}

// maySend reports whether the rules permit an attempt at e now.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	if !b.mayAttempt(now, r) || e.State != Ready || !r.inPool(e) {
		return false
	}
	if e.inSlowStart(now, b) && !b.slowStartAllows(now, e, r.work) {
		return false
	}
	return b.safeToRepeat(now, r, e)
}

// mayAttempt reports whether the rules permit another attempt of r at any endpoint.
func (b *Balancer) mayAttempt(now Micros, r *request) bool {
	limits := &b.settings.Limits
	if r.finished || r.streaming || r.hasPendingAttempt(limits.Hedging) || now >= r.Deadline {
		return false
	}
	sent := len(r.attempts)
	return sent < limits.MaxAttempts && (r.MaxAttempts <= 0 || sent < r.MaxAttempts)
}

// safeToRepeat reports whether an attempt at e cannot repeat the effect of an earlier attempt.
func (b *Balancer) safeToRepeat(now Micros, r *request, e *endpoint) bool {
	first := r.firstMayHaveRun()
	if first == nil {
		return true
	}
	class := b.classOf(r)
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return now < first.sentAt+class.DedupWindow && class.sameGroup(first, e)
	}
	return false
}

// sameGroup reports whether e belongs to the group that drops repeats of the first attempt.
func (c *Class) sameGroup(first *possibleRun, e *endpoint) bool {
	switch c.Group {
	case GroupAll:
		return true
	case GroupZone:
		return e.Zone == first.zone
	case GroupCell:
		return e.Cell == first.cell
	}
	return false
}

// send starts an attempt if the rules permit it.
func (b *Balancer) send(now Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	if e.inSlowStart(now, b) {
		e.slowStart.tokens -= r.work * slowStartCharge
	}
	writeDeadline := r.writeDeadline(b.classOf(r))
	a := b.newAttempt(now, r, e)
	if r.key != nil {
		r.key.recordSend(now, e)
	}
	if r.idempotency != nil {
		a.recorded = &possibleRun{sentAt: a.sentAt, zone: a.zone, cell: a.cell}
		r.idempotency.add(a.recorded)
	}
	r.attempts = append(r.attempts, a)
	r.pending++
	e.inFlight++
	e.lastSentAt = now
	if b.settings.Limits.KeepAlive > 0 {
		b.recent.add(e)
	}
	b.traffic.sentWork.add(now, r.work)
	first := len(r.attempts) == 1
	if first && int(r.Tenant) < len(b.tenants) {
		b.tenants[r.Tenant].add(now, 1)
	}
	b.actions.Send(r.ID, e.ID, r.AttemptTimeout, writeDeadline)
	if first {
		b.actions.Timer(max(1, r.Deadline-now), r.timerToken)
		if delay := b.hedgeDelay(r); delay > 0 && now+delay < r.Deadline {
			b.actions.Timer(delay, r.timerToken)
		}
	}
	if b.hedgesDropped() && a.overdueAt+Micros(a.expectedLatency) < r.Deadline {
		b.actions.Timer(a.overdueAt-now, r.timerToken)
	}
	return true
}

// newAttempt returns the record of an attempt at e, with the predictions that its outcome is compared with.
func (b *Balancer) newAttempt(now Micros, r *request, e *endpoint) attempt {
	affinity := b.affinityOf(now, r, e)
	work := r.work * b.keys.workRatio[affinity]
	loadFactor := b.loadFactor(e)
	expected := b.predictLatency(now, e, work)
	overdue := max(overdueMultiple*expected, minOverdueRatio*float64(b.classOf(r).LatencyObjective))
	return attempt{
		possibleRun: possibleRun{sentAt: now, zone: e.Zone, cell: e.Cell},
		endpoint:    e, overdueAt: now + Micros(overdue), expectedLatency: expected,
		loadFactor: loadFactor, workFactor: work * loadFactor,
		inFlightBefore: e.inFlight, affinity: affinity,
		pending: true, mayHaveRun: true,
	}
}
