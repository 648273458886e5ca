package routing

import "pinedale/balancer"

// AttemptScheduled handles the module's decision to send the next attempt of a round. ref is a value of the host that
// the Forward response contains.
func (l *Ledger) AttemptScheduled(now Micros, roundID uint64, location Location, ref any) {
	r := l.rounds[roundID]
	index := len(r.attempts)
	r.attempts = append(r.attempts, attempt{location: location, ref: ref})
	r.openAttempts++
	if len(r.entry.waiting) > 0 {
		l.forwardToWaiting(now, r, index)
		return
	}
	r.attempts[index].offered = true
	l.offers = append(l.offers, offer{expires: now + OfferTimeout, round: r, attempt: index})
}

// RoundRejected handles the module's final answer that a round was rejected: a retry is harmless.
func (l *Ledger) RoundRejected(now Micros, roundID uint64, retryAfter Micros) {
	l.finishRound(now, roundID, Response{Kind: Reject, RetryAfter: retryAfter})
}

// RoundFailed handles the module's final answer that a round failed: a retry may not be harmless.
func (l *Ledger) RoundFailed(now Micros, roundID uint64) {
	l.finishRound(now, roundID, Response{Kind: Fail})
}

// finishRound gives the module's final answer to all streams that wait for a decision.
func (l *Ledger) finishRound(now Micros, roundID uint64, final Response) {
	r := l.rounds[roundID]
	if r == nil || r.answered {
		return
	}
	r.answered, r.final = true, final
	waiting := r.entry.waiting
	r.entry.waiting = nil
	for _, s := range waiting {
		l.actions.Respond(s.id, final)
	}
	l.removeIfDone(r)
	l.release(now, r.entry)
}

// AttemptCancelled handles the module's cancellation of an attempt. If a caller still waits for the endpoint when the
// deadline has passed, the attempt counts as timed out. Otherwise nothing counts against the endpoint. It must not be
// called from within an action.
func (l *Ledger) AttemptCancelled(now Micros, roundID uint64, index int) {
	r := l.rounds[roundID]
	if r == nil || index >= len(r.attempts) || r.attempts[index].completed {
		return
	}
	status := balancer.Cancelled
	if a := &r.attempts[index]; a.forwards == 0 {
		status = balancer.NotSent
	} else if a.waiting > 0 && now >= r.deadline {
		status = balancer.Timeout
	}
	l.completeAttempt(r, index, Outcome{Status: status}, true)
}
