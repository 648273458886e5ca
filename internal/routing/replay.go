package routing

import "pinedale/balancer"

// deliveryMargin is subtracted from a deduplication window, since a caller needs some time to act on a response: a
// request forwarded at the very end of the window would reach the endpoint after it. A caller on the same machine needs
// under a millisecond, an overloaded one some tens of milliseconds.
const deliveryMargin Micros = 100_000

// Reasons of Conflict and KeyReused.
const (
	reasonIDInUse         = "another request with this id is open"
	reasonKeyReused       = "the key or id was used for another request"
	reasonNotIdempotent   = "the request may have run and must not be repeated"
	reasonInFlight        = "the request is open, and two copies may not be out at once"
	reasonWindowExpired   = "the servers may have forgotten the key: the request must not be repeated"
	reasonMaxAttempts     = "the request has had all its attempts"
	reasonEndpointRetired = "the server of the first copy takes nothing new"
	reasonUnknownEndpoint = "a server had the request that is not in the list: it must not be repeated"
)

// replay forwards an attempt that was forwarded before, if a repeat is harmless, and otherwise responds with Conflict.
func (l *Ledger) replay(now Micros, r *round, index int, s *stream) {
	if reason := l.replayConflict(now, r, index, s.requestID); reason != "" {
		l.actions.Respond(s.id, Response{Kind: Conflict, Reason: reason})
		return
	}
	l.forward(now, r, index, s)
}

// replayConflict returns the reason why an attempt must not be forwarded again, or "" if it may be.
func (l *Ledger) replayConflict(now Micros, r *round, index int, requestID string) string {
	e, a := r.entry, &r.attempts[index]
	idempotency := l.class(e).Idempotency
	first, _ := e.firstThatMayHaveRun()
	switch {
	case idempotency == balancer.NotIdempotent:
		return reasonNotIdempotent
	case e.unknownEndpoint && idempotency == balancer.IdempotentWithKey:
		return reasonUnknownEndpoint
	case !a.completed && !l.limits.Hedging:
		return reasonInFlight
	case l.windowExpired(now, e, first):
		return reasonWindowExpired
	case e.exhausted(requestID, l.limits.MaxAttempts):
		return reasonMaxAttempts
	case !l.actions.Usable(a.ref):
		return reasonEndpointRetired
	}
	return ""
}

// windowExpired reports whether the deduplication window of an entry may have expired by the time a request that is
// forwarded now reaches the endpoint. first is the first attempt that may have run.
func (l *Ledger) windowExpired(now Micros, e *entry, first balancer.PreviousAttempt) bool {
	class := l.class(e)
	return class.Idempotency == balancer.IdempotentWithKey && now >= first.At+class.DedupWindow-deliveryMargin
}

// maxForwards returns how often a request may be forwarded: the ledger's limit, or the request's own if that is lower.
func (l *Ledger) maxForwards(req *Request) int {
	if req.ModuleRequest.MaxAttempts > 0 {
		return min(req.ModuleRequest.MaxAttempts, l.limits.MaxAttempts)
	}
	return l.limits.MaxAttempts
}

// exhausted reports whether a request has been forwarded as often as it may be.
func (e *entry) exhausted(requestID string, maxForwards int) bool {
	counter := e.forwardsOf(requestID)
	return counter == nil || counter.forwards >= maxForwards
}
