package balancer

const (
	budgetBurst    = 10.0 // most attempts that the shared retry budget and the hedge budget can each hold
	retryEarnRatio = 0.2  // retries that each request adds to the shared budget
)

// HandleRequest handles a new request of a client: it is sent, held for probes, or rejected.
func (b *Balancer) HandleRequest(now Micros, in Request) {
	if b.ledger.requests[in.ID] != nil {
		return
	}
	if int(in.Class) >= len(b.classes) {
		b.actions.Reject(in.ID, 0) // every request gets a final answer, even one of an unknown class
		return
	}
	b.endpoints.advance(now)
	b.assumePreviousAttempt(now, &in)
	r := b.newRequest(now, in)
	b.traffic.demand.add(now, 1)
	balance, budget := b.budgetOf(r)
	*balance = min(budget.Burst, *balance+budget.EarnRatio)
	b.budgets.hedge = min(budgetBurst, b.budgets.hedge+hedgeEarnRatio)
	b.estimateWork(now, r)
	switch {
	case now >= in.Deadline:
		r.reason = reasonExpired
	case b.ledger.open > b.settings.Limits.MaxOpen:
		r.reason = reasonTooManyOpen
	case b.exceedsKeyLimit(r):
		r.reason = reasonTooManyKeys
	}
	if r.reason != "" {
		b.reject(now, r)
		return
	}
	if !b.holdForProbes(now, r) {
		b.sendOrReject(now, r)
	}
}

// assumePreviousAttempt treats a client's retry with an idempotency key as if its first attempt may have run
// and its key were about to expire: it is sent at once or not at all.
func (b *Balancer) assumePreviousAttempt(now Micros, in *Request) {
	class := &b.settings.Classes[in.Class]
	if in.ClientRetry && !in.MayHaveRun && class.Idempotency == IdempotentWithKey && class.Group == GroupAll {
		in.MayHaveRun = true
		in.PreviousAttempt = PreviousAttempt{At: now - class.DedupWindow + retryTransit}
	}
}

// sendOrReject decides on a request that is new or was held for probes.
func (b *Balancer) sendOrReject(now Micros, r *request) {
	b.ledger.stopWaiting(r)
	first := len(r.attempts) == 0
	sent := b.trySend(now, r, first)
	if first {
		b.traffic.rejected.add(indicator(!sent), ratioWeight)
	}
	if !sent {
		b.reject(now, r)
	}
}

// trySend picks an endpoint and sends r to it. If the breaker rejects that endpoint, one other is tried.
func (b *Balancer) trySend(now Micros, r *request, first bool) bool {
	r.priority = b.priority(now, r)
	e := b.pick(now, r, nil)
	r.reason = reasonNoEndpoint
	if e == nil {
		return false
	}
	r.reason = reasonPredicted
	if b.exceedsLimit(now, r, e, first) {
		return false
	}
	r.reason = reasonBreaker
	if !b.breakerAllows(now, r, e) {
		e = b.pick(now, r, e)
		if e == nil || !b.breakerAllows(now, r, e) {
			return false
		}
	}
	return b.send(now, r, e)
}

// ResponseStarted handles the start of a streamed answer, after which neither deadline nor retries apply.
func (b *Balancer) ResponseStarted(now Micros, id uint64, attempt int, latency Micros) {
	r := b.ledger.requests[id]
	if r == nil || r.finished || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
}

// AttemptCompleted handles the result of an attempt: the request is finished, retried or rejected.
func (b *Balancer) AttemptCompleted(now Micros, o Outcome) {
	r := b.ledger.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending {
		return
	}
	b.endpoints.advance(now)
	a := &r.attempts[o.Attempt]
	b.attributeAttempt(a, o.Endpoint)
	b.closeAttempt(now, r, a, o.Status)
	b.traffic.dropped.add(indicator(a.dropped(o.Status)), droppedWeight)
	b.recordOutcome(now, r, a, o.Status, o.Latency)
	if o.Status == OK && !r.finished && now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.onTime = 1
		b.traffic.trialInterval = minTrialInterval
	} else if r.trial {
		// An overloaded fleet must first drain its queues, and trials add to them.
		b.traffic.trialInterval = min(2*b.traffic.trialInterval, maxTrialInterval)
	}
	if o.Settled || o.Status == OK || r.finished {
		b.finish(r)
		return
	}
	failed := a.endpoint // read before retry, which may reallocate r.attempts
	if b.retry(now, r, a) {
		b.logRetry(now, r, failed, o.Status)
	} else if r.pending == 0 { // a pending hedge may still be answered
		r.reason = o.Status.String()
		b.reject(now, r)
	}
}

// neverRan reports whether a status proves that the attempt had no effect.
func (s Status) neverRan() bool { return s == Full || s == ConnectFailed || s == NotSent }

// dropped reports whether an attempt seems to have been lost: the endpoint has answered a later attempt, or
// has not responded since this one was sent.
func (a *attempt) dropped(status Status) bool {
	switch status {
	case Cancelled:
		return a.overdue && !a.plannedHedge
	case Timeout:
		return a.endpoint.lastAnsweredSentAt > a.sentAt || a.endpoint.lastResponseAt < a.sentAt
	}
	return false
}

// retry sends r again if the budget permits. Retrying an attempt that never ran costs nothing.
func (b *Balancer) retry(now Micros, r *request, failed *attempt) bool {
	cost := indicator(failed.mayHaveRun) // read before trySend, which may reallocate r.attempts
	balance, _ := b.budgetOf(r)
	if *balance < cost || !b.trySend(now, r, false) {
		return false
	}
	*balance -= cost
	return true
}
