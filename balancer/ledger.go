package balancer

import "slices"

// ledger holds the requests that are not complete, and the timer slots that refer to them.
type ledger struct {
	requests         map[uint64]*request // by ID: every request with a pending attempt or without final answer
	slots            []*request          // by timer slot
	free             []*request          // records for reuse
	open             int                 // requests without final answer
	waitingForProbes []*request
}

// Timer tokens below firstRequestTimer belong to the balancer. All others identify a request: the low bits hold its
// slot plus firstRequestTimer, and the high bits count uses of the slot, so that outdated timers match no request.
const (
	probeTimer = iota
	discoveryTimer
	firstRequestTimer = 16
	timerSlotBits     = 20
)

// TimerSlot returns the slot of a token that was given to Actions.Timer. Of the timers with one slot, only those with
// the latest token have an effect when they fire.
func TimerSlot(token uint32) uint32 { return token & (1<<timerSlotBits - 1) }

// newRecord returns an unused record with a unique timer token.
func (l *ledger) newRecord() *request {
	var r *request
	if n := len(l.free); n > 0 {
		r = l.free[n-1]
		l.free = l.free[:n-1]
	} else {
		r = &request{timerToken: uint32(len(l.slots) + firstRequestTimer)}
		l.slots = append(l.slots, r)
	}
	r.timerToken += 1 << timerSlotBits
	return r
}

// byTimer returns the request that a timer token refers to, or nil if the request is finished or streaming.
func (l *ledger) byTimer(token uint32) *request {
	slot := int(TimerSlot(token)) - firstRequestTimer
	if slot < 0 || slot >= len(l.slots) {
		return nil
	}
	if r := l.slots[slot]; r.timerToken == token && !r.finished && !r.streaming {
		return r
	}
	return nil
}

// release frees the record of a request that has its final answer and no pending attempt.
func (l *ledger) release(r *request) {
	if l.requests[r.ID] == r {
		delete(l.requests, r.ID)
		l.free = append(l.free, r)
	}
}

// stopWaiting ends r's wait for probes.
func (l *ledger) stopWaiting(r *request) {
	if !r.waitingForProbes {
		return
	}
	r.waitingForProbes = false
	r.awaitedProbes = r.awaitedProbes[:0]
	l.waitingForProbes = slices.DeleteFunc(l.waitingForProbes, func(other *request) bool { return other == r })
}

// TimerFired handles a token given to Actions.Timer.
func (b *Balancer) TimerFired(now Micros, token uint32) {
	b.endpoints.advance(now)
	switch {
	case token == probeTimer:
		b.runProbeRound(now)
	case token == discoveryTimer:
		b.pollDiscovery(now)
	case token >= firstRequestTimer:
		if r := b.ledger.byTimer(token); r != nil {
			b.handleRequestTimer(now, r)
		}
	}
}

// Expire gives a request its final answer now, before its deadline, for example because the host shuts down.
func (b *Balancer) Expire(now Micros, id uint64) {
	if r := b.ledger.requests[id]; r != nil {
		r.reason = reasonEndedByHost
		b.reject(now, r)
	}
}

// ClientDisconnected handles a client that disconnected before the final answer.
func (b *Balancer) ClientDisconnected(now Micros, id uint64) {
	if r := b.ledger.requests[id]; r != nil {
		b.finish(r)
	}
}

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	timerToken       uint32
	arrivedAt        Micros
	work             float64 // expected, in µs
	logHint          float64 // logarithm of the ratio of its hint to the mean work of its class; 0 without hint
	priority         float64 // 0 to 1, as of the latest decision
	key              *keyRecord
	idempotency      *idempotencyRecord // nil without an idempotency key
	previous         possibleRun        // made before this request was received; valid if MayHaveRun
	attempts         []attempt
	pending          int     // attempts without outcome
	finished         bool    // the final answer was given
	streaming        bool    // the answer has started, and only its end is awaited
	reason           string  // why the balancer itself gave, or would give, the final answer
	trial            bool    // sent although its predicted latency exceeded the limit
	onTime           float64 // 1 once answered within the latency objective
	waitingForProbes bool
	awaitedProbes    []*endpoint
}

// attempt is one send of a request.
type attempt struct {
	possibleRun                  // with the zone and cell of the endpoint at the time of sending; they may change later
	recorded        *possibleRun // in the record of the idempotency key; nil without a key
	endpoint        *endpoint
	expectedLatency float64 // in µs, predicted when sent
	loadFactor      float64 // of the endpoint at the time of sending
	workFactor      float64 // work times load factor at the time of sending
	inFlightBefore  int     // local requests at the endpoint before sending
	affinity        affinity
	overdueAt       Micros // when to check whether the attempt was dropped
	probedOverdue   bool   // the endpoint was probed because the attempt is overdue
	overdue         bool   // the balancer no longer waits for it, though its outcome may still be reported
	plannedHedge    bool   // overdue because the hedge delay has passed, not because it was dropped
	pending         bool   // no outcome yet
	transportFailed bool   // failed on the network path, which says little about the endpoint
	mayHaveRun      bool   // may have had its effect, or may still have it
}

// newRequest adds a request to the ledger.
func (b *Balancer) newRequest(now Micros, in Request) *request {
	r := b.ledger.newRecord()
	r.Request = in
	r.arrivedAt = now
	r.previous = possibleRun{sentAt: in.PreviousAttempt.At, zone: in.PreviousAttempt.Zone, cell: in.PreviousAttempt.Cell}
	r.attempts = r.attempts[:0]
	r.pending = 0
	r.finished = false
	r.streaming = false
	r.reason = ""
	r.trial = false
	r.onTime = 0
	r.waitingForProbes = false
	r.awaitedProbes = r.awaitedProbes[:0]
	r.key = b.keyRecord(now, r)
	r.idempotency = b.useIdempotencyKey(now, r)
	b.ledger.requests[in.ID] = r
	b.ledger.open++
	return r
}

// writeDeadline returns the instant by which an attempt must be written. Opening a connection may take long, and
// endpoints that deduplicate start the window at the first attempt that may have run.
func (r *request) writeDeadline(c *Class) Micros {
	if first := r.firstMayHaveRun(); first != nil && c.Idempotency == IdempotentWithKey {
		return min(r.Deadline, first.sentAt+c.DedupWindow)
	}
	return r.Deadline
}

// hasPendingAttempt reports whether the balancer still waits for an attempt: any pending one, or, if hedging is
// permitted, one that is not overdue.
func (r *request) hasPendingAttempt(hedging bool) bool {
	hedging = hedging && !r.NoHedging
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.pending && (!hedging || !a.overdue) })
}

func (r *request) triedEndpoint(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// failedByEndpoint reports whether an attempt at e is pending or ended otherwise than by a network failure.
func (r *request) failedByEndpoint(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e && !a.transportFailed })
}

// inPool reports whether e is in the pool that r is restricted to.
func (r *request) inPool(e *endpoint) bool { return r.Pool == 0 || e.Pools>>(r.Pool-1)&1 != 0 }

// classOf returns the settings of a request's class.
func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.Class] }

// closeAttempt records that an attempt is no longer in flight, and what its status shows.
func (b *Balancer) closeAttempt(now Micros, r *request, a *attempt, status Status) {
	e := a.endpoint
	a.pending = false
	a.transportFailed = status == Reset || status == ConnectFailed
	r.pending--
	e.inFlight--
	b.endpoints.dropUnused(e)
	if status.neverRan() {
		a.mayHaveRun = false
		if a.recorded != nil {
			r.idempotency.remove(a.recorded)
		}
	}
	if status.answered() {
		e.lastResponseAt = now
		e.lastAnsweredSentAt = max(e.lastAnsweredSentAt, a.sentAt)
	}
}

// answered reports whether the endpoint itself responded.
func (s Status) answered() bool { return s == OK || s == Error || s == Full }

// attributeAttempt moves an attempt to the endpoint that handled it, if the transport used another endpoint than the
// one that the balancer chose. Statistics are then updated for that endpoint, and retries stay within its group.
func (b *Balancer) attributeAttempt(a *attempt, actual uint32) {
	e := b.endpoints.byID[actual]
	if e == nil || e == a.endpoint {
		return
	}
	a.endpoint.inFlight--
	b.endpoints.dropUnused(a.endpoint)
	e.inFlight++
	a.endpoint = e
	a.zone = e.Zone
	a.cell = e.Cell
	if a.recorded != nil {
		*a.recorded = a.possibleRun
	}
}
