package balancer

const (
	hedgeEarnRatio    = 0.2  // hedges that each request adds to the hedge budget
	hedgeQuantileStep = 0.02 // largest step of the quantile estimate, as a ratio of the latency objective
	droppedWeight     = 0.02 // weight of the latest outcome in the ratio of dropped attempts
	minDroppedRatio   = 0.01 // ratio of dropped attempts from which overdue attempts are hedged
	overdueMultiple   = 2.5  // multiple of its expected latency after which an attempt is overdue
	minOverdueRatio   = 0.25 // shortest time until an attempt is overdue, as a ratio of the latency objective
)

// hedgeDelay returns how long the first attempt may be pending before it is hedged even if nothing shows that
// it was dropped; 0 for never. If the request sets no delay, the latency quantile of its class is used.
func (b *Balancer) hedgeDelay(r *request) Micros {
	if r.HedgeDelay > 0 {
		return r.HedgeDelay
	}
	return Micros(b.classes[r.Class].hedgeLatency.value)
}

// hedgesDropped reports whether attempts are dropped often enough to hedge the overdue ones.
func (b *Balancer) hedgesDropped() bool { return b.traffic.dropped.value >= minDroppedRatio }

// hedge sends a hedged attempt if the limits, the request, its class and the hedge budget permit it.
func (b *Balancer) hedge(now Micros, r *request) {
	permitted := b.settings.Limits.Hedging && !r.NoHedging
	if permitted && b.budgets.hedge >= 1 && b.trySend(now, r, false) {
		b.budgets.hedge--
	}
}

// handleRequestTimer handles a timer of a request: its deadline, the end of its wait for probes, the delay of
// a planned hedge, or an attempt that is overdue.
func (b *Balancer) handleRequestTimer(now Micros, r *request) {
	switch {
	case now >= r.Deadline:
		b.handleDeadline(now, r)
	case r.waitingForProbes:
		// Only idle endpoints respond in time, so counting only responses would hide an overload.
		for _, e := range r.awaitedProbes {
			b.addBaselineLoad(assumedCores + b.queuedAhead(float64(now-e.probedAt)))
		}
		b.sendOrReject(now, r)
	case len(r.attempts) > 0:
		b.handlePendingAttempt(now, r)
	}
}

// handleDeadline ends a request at its deadline. Its pending attempts took at least until now.
func (b *Balancer) handleDeadline(now Micros, r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.pending {
			b.learnLatency(now, r, a, float64(now-a.sentAt), true)
		}
	}
	r.reason = reasonExpired
	b.reject(now, r)
}

// handlePendingAttempt hedges the latest attempt if the hedge delay has passed or the attempt is overdue.
func (b *Balancer) handlePendingAttempt(now Micros, r *request) {
	a := &r.attempts[len(r.attempts)-1]
	if !a.pending || a.overdue {
		return
	}
	delay := b.hedgeDelay(r)
	switch {
	case len(r.attempts) == 1 && delay > 0 && now >= a.sentAt+delay:
		a.overdue = true
		a.plannedHedge = true
		b.hedge(now, r)
	case now >= a.overdueAt:
		b.handleOverdue(now, r, a)
	}
}

// handleOverdue handles an attempt that takes far longer than expected. If all requests are queueing, the
// balancer must wait for the answer, since hedges double the work of overloaded endpoints. But endpoints and
// network paths may drop some requests and answer the others in time: the attempt is taken as dropped, and
// hedged elsewhere, if a later attempt was answered before it, or if the endpoint has sent nothing since, not
// even a response to a probe.
func (b *Balancer) handleOverdue(now Micros, r *request, a *attempt) {
	if !b.hedgesDropped() {
		return
	}
	e := a.endpoint
	overtaken := e.lastAnsweredSentAt > a.sentAt
	noResponse := a.probedOverdue && e.lastResponseAt < a.sentAt
	if overtaken || noResponse {
		a.overdue = true
		b.hedge(now, r)
		return
	}
	a.probedOverdue = true
	b.sendProbe(now, e)
	a.overdueAt = now + (now-a.sentAt)/2
	if a.overdueAt < r.Deadline {
		b.actions.Timer(a.overdueAt-now, r.timerToken)
	}
}
