package routing

import "pinedale/balancer"

// HandleReport handles the outcome of the attempt that was forwarded to a stream, and returns what the caller must do
// with the endpoint's answer. It ignores a second report, and any report if no attempt was forwarded to the stream.
func (l *Ledger) HandleReport(id StreamID, outcome Outcome) Response {
	s := l.streams[id]
	if s == nil || s.round == nil || s.reported {
		return Response{Kind: PassThrough}
	}
	s.reported = true
	r := s.round
	a := &r.attempts[s.attempt]
	a.waiting--
	if a.forwards > 1 {
		outcome.Status = withoutProof(outcome.Status)
	}
	if outcome.Endpoint != 0 {
		a.location = outcome.Location
	}
	succeeded := outcome.Status == balancer.OK
	if succeeded && r.succeeded == noAttempt {
		r.succeeded = s.attempt
	}
	if outcome.UnknownEndpoint {
		// The module has no state for an endpoint that is not in the list, so the outcome counts for no endpoint.
		r.entry.unknownEndpoint = true
		outcome.Status = balancer.Cancelled
	}
	if !a.completed {
		l.completeReported(r, s.attempt, outcome)
	}
	if succeeded {
		return Response{Kind: PassThrough}
	}
	return r.responseToFailure()
}

// withoutProof replaces a status that proves that the request never ran. If an attempt was forwarded more than once,
// the report on one forward does not prove that the others never ran.
func withoutProof(status balancer.Status) balancer.Status {
	switch status {
	case balancer.Full:
		return balancer.Error
	case balancer.ConnectFailed, balancer.NotSent:
		return balancer.Reset
	}
	return status
}

// completeReported passes the reported outcome of an attempt to the module, and ends the round if it can't continue.
func (l *Ledger) completeReported(r *round, index int, outcome Outcome) {
	// Replays use up forwards that the module still counts on, so the round may end before the module has finished it.
	exhausted := r.entry.exhausted(r.requestID, l.limits.MaxAttempts) && len(r.attempts) < r.maxAttempts
	r.answered = r.answered || r.succeeded != noAttempt || outcome.UnknownEndpoint || exhausted
	l.completeAttempt(r, index, outcome, r.answered && outcome.Status != balancer.OK)
}

// responseToFailure returns the reply to the report of a failed attempt.
func (r *round) responseToFailure() Response {
	last := &r.attempts[len(r.attempts)-1]
	switch {
	case r.hasFinal():
		return r.final
	case !r.answered && !last.completed && last.offered:
		return Response{Kind: RetryAllowed}
	}
	return Response{Kind: Fail}
}

// ForwardDiscarded handles a Forward that the host did not deliver because its endpoint no longer accepts requests. The
// stream gets another response.
func (l *Ledger) ForwardDiscarded(id StreamID) {
	s := l.streams[id]
	if s == nil || s.round == nil || s.reported {
		return
	}
	r := s.round
	a := &r.attempts[s.attempt]
	a.waiting--
	a.undoForward()
	r.entry.forwardsOf(s.requestID).forwards--
	s.round = nil
	switch {
	case a.mayHaveRun:
		l.actions.Respond(id, Response{Kind: Conflict, Reason: reasonEndpointRetired})
	case r.answered && r.hasFinal():
		l.actions.Respond(id, r.final)
	case r.answered || a.completed:
		l.actions.Respond(id, Response{Kind: Fail})
	default:
		r.entry.waiting = append(r.entry.waiting, s)
		l.completeAttempt(r, s.attempt, Outcome{Status: balancer.NotSent}, false)
	}
}
