package extproc

import (
	"net/http"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/routing"
)

// host connects the routing ledger to the engine: it submits the ledger's rounds to the engine as requests whose
// attempts the callers carry out. All its methods run on the engine's goroutine.
type host struct {
	engine        *engine.Engine
	ledger        *routing.Ledger
	rounds        map[uint64]*round
	streams       map[routing.StreamID]*pendingStream
	tickScheduled bool // the next tick is scheduled
}

// round is a round of the ledger that was submitted to the engine as a request. It is that request's carrier.
type round struct {
	host         *host
	id           uint64
	request      engine.Request
	attempts     []*engine.Attempt
	openAttempts int  // not completed
	finished     bool // the module has given its final answer, or none is needed
}

// pendingStream is the part of a stream that the host uses.
type pendingStream struct {
	id        routing.StreamID
	responses chan routing.Response // capacity 1: a decision, or the reply to a report
	forwarded *forwardTarget        // target of the decision; owned by the stream's goroutine until it reports
}

// forwardTarget is what the ledger keeps of an attempt for as long as it may be forwarded again. It is small, since
// thousands are kept for seconds.
type forwardTarget struct {
	endpoint *engine.Target
	deadline routing.Micros
}

// newHost returns a host with an empty ledger.
func newHost(e *engine.Engine, limits routing.Limits) *host {
	h := &host{engine: e, rounds: map[uint64]*round{}, streams: map[routing.StreamID]*pendingStream{}}
	h.ledger = routing.New(limits, h)
	return h
}

// handleRequest passes a stream's request for a decision to the ledger.
func (h *host) handleRequest(now routing.Micros, s *pendingStream, req routing.Request) {
	h.streams[s.id] = s
	h.ledger.HandleRequest(now, req)
	if !h.tickScheduled {
		h.tickScheduled = true
		h.scheduleTick()
	}
}

// scheduleTick makes the ledger check its timeouts periodically until the ledger is empty.
func (h *host) scheduleTick() {
	h.engine.After(time.Duration(routing.OfferTimeout/2)*time.Microsecond, func(now routing.Micros) {
		h.ledger.Tick(now)
		if streams, rounds, entries := h.ledger.Counts(); streams+rounds+entries > 0 {
			h.scheduleTick()
		} else {
			h.tickScheduled = false
		}
	})
}

// streamClosed handles the end of a stream. undelivered reports whether its decision never reached the caller.
func (h *host) streamClosed(now routing.Micros, s *pendingStream, undelivered bool) {
	delete(h.streams, s.id)
	h.ledger.StreamClosed(now, s.id, undelivered)
}

// handleReport passes a stream's report to the ledger and returns the reply.
func (h *host) handleReport(s *pendingStream, r report) routing.Response {
	if r.servedBy != "" && r.servedBy != s.forwarded.endpoint.Address {
		if id := h.engine.EndpointAt(r.servedBy); id != 0 {
			zone, cell := h.engine.Location(id)
			r.outcome.Endpoint = id
			r.outcome.Location = routing.Location{Zone: zone, Cell: cell}
		} else {
			r.outcome.UnknownEndpoint = true
		}
	}
	return h.ledger.HandleReport(s.id, r.outcome)
}

// StartRound submits a round to the engine. It and the four methods below implement routing.Actions.
func (h *host) StartRound(id uint64, key string, req balancer.Request) {
	r := &round{host: h, id: id}
	r.request.Carrier, r.request.Respond, r.request.Key = r, r.respond, key
	h.rounds[id] = r
	h.engine.Submit(h.engine.Now(), &r.request, req)
	r.removeIfDone()
}

// CancelRound notifies the engine that the client of a round has disconnected.
func (h *host) CancelRound(id uint64) {
	if r := h.rounds[id]; r != nil {
		r.finished = true
		h.engine.ClientDisconnected(h.engine.Now(), &r.request)
		r.removeIfDone()
	}
}

// CompleteAttempt passes the outcome of an attempt to the engine.
func (h *host) CompleteAttempt(id uint64, index int, outcome routing.Outcome, settled bool) {
	r := h.rounds[id]
	r.openAttempts--
	r.finished = r.finished || settled
	r.attempts[index].Complete(h.engine.Now(), engine.Result{
		Status:   outcome.Status,
		Endpoint: outcome.Endpoint,
		Load:     outcome.Load,
		Settled:  settled,
	})
	r.removeIfDone()
}

// Usable reports whether the endpoint of an attempt still accepts requests.
func (h *host) Usable(ref any) bool { return !ref.(*forwardTarget).endpoint.Closed() }

// Respond passes a decision to its stream.
func (h *host) Respond(id routing.StreamID, response routing.Response) {
	h.streams[id].responses <- response
}

// Send handles the module's decision to send an attempt. Send and Cancel implement engine.Carrier.
func (r *round) Send(a *engine.Attempt) {
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	location := routing.Location{Zone: a.Zone, Cell: a.Cell}
	r.host.ledger.AttemptScheduled(r.host.engine.Now(), r.id, location, &forwardTarget{a.Target, a.Deadline})
}

// Cancel is called when the module no longer waits for an attempt. The call comes from within the module, which must
// not be called back, so the ledger is notified later.
func (r *round) Cancel(a *engine.Attempt) {
	index := slices.Index(r.attempts, a)
	r.host.engine.Defer(func(now routing.Micros) { r.host.ledger.AttemptCancelled(now, r.id, index) })
}

// respond handles the module's final answer. Other codes need no action: the ledger already knows of the attempt that
// succeeded.
func (r *round) respond(response engine.Response) {
	r.finished = true
	now := r.host.engine.Now()
	switch response.Code {
	case http.StatusServiceUnavailable:
		r.host.ledger.RoundRejected(now, r.id, response.RetryAfter)
	case http.StatusBadGateway:
		r.host.ledger.RoundFailed(now, r.id)
	}
}

// removeIfDone removes a round that is finished and has no open attempt.
func (r *round) removeIfDone() {
	if r.finished && r.openAttempts == 0 {
		delete(r.host.rounds, r.id)
	}
}
