package routing

import "pinedale/balancer"

// noAttempt is the index that stands for no attempt.
const noAttempt = -1

// round is one request as the decision module knows it.
type round struct {
	id           uint64
	requestID    string // of the request that started it
	entry        *entry
	deadline     Micros
	maxAttempts  int // that the module may schedule
	attempts     []attempt
	openAttempts int      // not completed
	answered     bool     // no further attempt is made: the round was answered or cancelled, or must not continue
	final        Response // the module's Reject or Fail, see hasFinal
	succeeded    int      // index of the attempt that was answered with success, or noAttempt
}

// attempt is one attempt of a round, as the decision module scheduled it.
type attempt struct {
	ref            any // the host's value for the attempt, see AttemptScheduled
	location       Location
	firstForwarded Micros
	forwards       int  // how often it was forwarded
	waiting        int  // streams that wait for the endpoint
	offered        bool // it was scheduled while no stream waited, and none has claimed it yet
	completed      bool
	mayHaveRun     bool // it was forwarded, and nothing proves that the endpoint never ran it
}

// hasFinal reports whether the decision module has answered the round with Reject or Fail.
func (r *round) hasFinal() bool { return r.final.Kind != Forward }

// abandoned reports whether no stream waits for a decision or for an endpoint, and no attempt is on offer.
func (r *round) abandoned() bool {
	if len(r.entry.waiting) > 0 {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.waiting > 0 || !a.completed && a.offered {
			return false
		}
	}
	return true
}

// undoForward undoes a forward that never reached its caller.
func (a *attempt) undoForward() {
	a.forwards--
	a.mayHaveRun = a.forwards > 0
}

// startRound passes a request to the decision module, unless earlier attempts forbid it. An earlier attempt that may
// have run restricts where the module may send the request.
func (l *Ledger) startRound(e *entry, s *stream, req *Request) {
	e.previous, e.previousMayHaveRun = e.firstThatMayHaveRun()
	if reason := l.startConflict(e, req); reason != "" {
		l.actions.Respond(s.id, Response{Kind: Conflict, Reason: reason})
		return
	}
	moduleRequest := req.ModuleRequest
	moduleRequest.MayHaveRun, moduleRequest.PreviousAttempt = e.previousMayHaveRun, e.previous
	moduleRequest.PreviousAttempt.At -= deliveryMargin
	moduleRequest.NoHedging = true
	moduleRequest.MaxAttempts = 1
	if l.limits.CallersRetry {
		moduleRequest.MaxAttempts = l.maxForwards(req) - e.forwardsOf(req.ID).forwards
	}
	l.lastRound++
	r := &round{
		id:          l.lastRound,
		requestID:   req.ID,
		entry:       e,
		deadline:    moduleRequest.Deadline,
		maxAttempts: moduleRequest.MaxAttempts,
		succeeded:   noAttempt,
	}
	e.round = r
	e.waiting = append(e.waiting, s)
	l.rounds[r.id] = r
	l.actions.StartRound(r.id, req.Key, moduleRequest)
}

// startConflict returns the reason why a request must not start a new round, or "" if it may.
func (l *Ledger) startConflict(e *entry, req *Request) string {
	idempotency := l.class(e).Idempotency
	switch {
	case e.exhausted(req.ID, l.maxForwards(req)):
		return reasonMaxAttempts
	case e.previousMayHaveRun && idempotency == balancer.NotIdempotent:
		return reasonNotIdempotent
	case e.unknownEndpoint && idempotency != balancer.Idempotent:
		return reasonUnknownEndpoint
	}
	return ""
}

// joinRound has a stream share the open round of its entry.
func (l *Ledger) joinRound(now Micros, r *round, s *stream) {
	last := len(r.attempts) - 1
	if last >= 0 && !r.attempts[last].offered {
		l.replay(now, r, last, s)
		return
	}
	if r.entry.exhausted(s.requestID, l.limits.MaxAttempts) { // replays of the previous attempt used up all forwards
		l.actions.Respond(s.id, Response{Kind: Conflict, Reason: reasonMaxAttempts})
		return
	}
	r.entry.waiting = append(r.entry.waiting, s)
	if last < 0 {
		return // the decision is still to come
	}
	// An attempt is on offer. If its endpoint no longer accepts requests, or the deduplication window of the key may
	// have expired in the meantime, the module makes a new decision.
	first, mayHaveRun := r.entry.firstThatMayHaveRun()
	expired := mayHaveRun && l.windowExpired(now, r.entry, first)
	if !expired && l.actions.Usable(r.attempts[last].ref) {
		l.forwardToWaiting(now, r, last)
		return
	}
	l.completeAttempt(r, last, Outcome{Status: balancer.NotSent}, false)
}

// forwardToWaiting forwards the latest attempt to all streams that wait for a decision.
func (l *Ledger) forwardToWaiting(now Micros, r *round, index int) {
	waiting := r.entry.waiting
	r.entry.waiting = nil
	r.attempts[index].offered = false
	for i, s := range waiting {
		if i == 0 {
			l.forward(now, r, index, s)
		} else {
			l.replay(now, r, index, s)
		}
	}
}

// forward forwards an attempt to a stream.
func (l *Ledger) forward(now Micros, r *round, index int, s *stream) {
	a := &r.attempts[index]
	if a.forwards == 0 {
		a.firstForwarded = now
	}
	a.forwards++
	a.waiting++
	a.mayHaveRun = true
	r.entry.forwardsOf(s.requestID).forwards++
	s.round, s.attempt = r, index
	l.actions.Respond(s.id, Response{Kind: Forward, Ref: a.ref, Attempt: index})
}

// completeAttempt passes the outcome of an attempt to the module, once per attempt.
func (l *Ledger) completeAttempt(r *round, index int, outcome Outcome, settled bool) {
	a := &r.attempts[index]
	a.completed = true
	switch outcome.Status {
	case balancer.ConnectFailed, balancer.Full, balancer.NotSent:
		a.mayHaveRun = false
	}
	r.openAttempts--
	l.actions.CompleteAttempt(r.id, index, outcome, settled)
	l.removeIfDone(r)
}

// removeIfDone removes a round that has its answer and no open attempt.
func (l *Ledger) removeIfDone(r *round) {
	if r.answered && r.openAttempts == 0 {
		delete(l.rounds, r.id)
	}
}

// cancelRound ends a round for which no stream waits.
func (l *Ledger) cancelRound(now Micros, r *round) {
	r.answered = true
	l.actions.CancelRound(r.id)
	for i := range r.attempts {
		l.AttemptCancelled(now, r.id, i)
	}
	l.removeIfDone(r)
}
