package extproc

import (
	"net/http"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/intake"
	"pinedale/internal/routing"
)

// host joins the ledger of verdicts to the engine, on the engine's goroutine: it
// carries rounds out as requests whose attempts the callers make.
type host struct {
	engine  *engine.Engine
	ledger  *routing.Ledger
	rounds  map[uint64]*round
	asks    map[routing.StreamID]*asker
	ticking bool
}

// round is a request of the ledger's. It is its own carrier.
type round struct {
	host     *host
	number   uint64
	request  engine.Request
	attempts []*engine.Attempt
	out      int  // attempts without end
	over     bool // the module has given its final answer
}

// asker is one stream that waits to be told.
type asker struct {
	name routing.StreamID
	told chan routing.Response // has room for one: a verdict, or the reply to a report
	sent *handout              // that it was told
}

// handout is what the ledger keeps of an attempt, for as long as it may be handed out
// again: no more than that, since thousands are remembered for seconds.
type handout struct {
	target *engine.Target
	until  routing.Micros
}

func newHost(e *engine.Engine, l routing.Limits) *host {
	h := &host{engine: e, rounds: map[uint64]*round{}, asks: map[routing.StreamID]*asker{}}
	h.ledger = routing.New(l, h)
	return h
}

// ask takes a stream's question.
func (h *host) ask(now routing.Micros, a *asker, q routing.Request) {
	h.asks[a.name] = a
	h.ledger.HandleRequest(now, q)
	if !h.ticking {
		h.ticking = true
		h.tick()
	}
}

// tick has the ledger look at the time for as long as it holds anything.
func (h *host) tick() {
	h.engine.After(time.Duration(routing.OfferTimeout/2)*time.Microsecond, func(now routing.Micros) {
		h.ledger.Tick(now)
		if asks, rounds, entries := h.ledger.Counts(); asks+rounds+entries > 0 {
			h.tick()
		} else {
			h.ticking = false
		}
	})
}

// left takes that a stream is over.
func (h *host) left(now routing.Micros, a *asker, unsent bool) {
	delete(h.asks, a.name)
	h.ledger.StreamClosed(now, a.name, unsent)
}

// report takes a stream's report and returns what is to become of the answer.
func (h *host) report(now routing.Micros, a *asker, r report) routing.Response {
	if r.served != "" && r.served != a.sent.target.Address {
		if id := h.engine.EndpointAt(r.served); id != 0 {
			zone, cell := h.engine.Location(id)
			r.outcome.Endpoint, r.outcome.Location = id, routing.Location{Zone: zone, Cell: cell}
		} else {
			r.outcome.UnknownEndpoint = true
		}
	}
	return h.ledger.HandleReport(a.name, r.outcome)
}

// StartRound passes a round to the module.
func (h *host) StartRound(number uint64, key string, in balancer.Request) {
	r := &round{host: h, number: number}
	r.request.Carrier, r.request.Respond, r.request.Key = r, r.answer, key
	h.rounds[number] = r
	h.engine.Submit(h.engine.Now(), &r.request, in)
	r.forget()
}

// CancelRound tells the module that a round's client is gone.
func (h *host) CancelRound(number uint64) {
	if r := h.rounds[number]; r != nil {
		r.over = true
		h.engine.ClientDisconnected(h.engine.Now(), &r.request)
		r.forget()
	}
}

// CompleteAttempt tells the module how an attempt ended.
func (h *host) CompleteAttempt(number uint64, n int, o routing.Outcome, settled bool) {
	r := h.rounds[number]
	r.out--
	r.over = r.over || settled
	r.attempts[n].Complete(h.engine.Now(), engine.Result{Status: o.Status, Endpoint: o.Endpoint, Load: o.Load, Settled: settled})
	r.forget()
}

// Usable says whether an attempt may still go where it was decided.
func (h *host) Usable(ref any) bool { return !ref.(*handout).target.Closed() }

// Respond gives an ask its verdict.
func (h *host) Respond(name routing.StreamID, t routing.Response) { h.asks[name].told <- t }

// Send takes the module's decision to send.
func (r *round) Send(a *engine.Attempt) {
	r.attempts = append(r.attempts, a)
	r.out++
	r.host.ledger.AttemptScheduled(r.host.engine.Now(), r.number, routing.Location{Zone: a.Zone, Cell: a.Cell},
		&handout{a.Target, a.Deadline})
}

// Cancel takes that the module waits no longer. The module is at work here, so the
// end is told later.
func (r *round) Cancel(a *engine.Attempt) {
	n := slices.Index(r.attempts, a)
	r.host.engine.Defer(func(now routing.Micros) { r.host.ledger.AttemptCancelled(now, r.number, n) })
}

// answer takes the module's final answer. That of an attempt served came by way of
// the ledger.
func (r *round) answer(a engine.Response) {
	r.over = true
	now := r.host.engine.Now()
	switch a.Code {
	case http.StatusServiceUnavailable:
		r.host.ledger.RoundRejected(now, r.number, a.RetryAfter)
	case http.StatusBadGateway:
		r.host.ledger.RoundFailed(now, r.number)
	}
}

// forget lets go of a round that nothing can be asked of any more.
func (r *round) forget() {
	if r.over && r.out == 0 {
		delete(r.host.rounds, r.number)
	}
}

// query is a request as the ledger is asked about it.
func query(a *asker, p *intake.Parsed, h *head) routing.Request {
	return routing.Request{Stream: a.name, ID: p.CorrelationID, Key: p.IdempotencyKey, Fingerprint: h.print(), ModuleRequest: p.Request,
		Tenant: h.header.Get(intake.HeaderTenant)}
}
