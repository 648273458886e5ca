package engine

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"pinedale/balancer"
)

// Request is the ledger's entry for a request that the balancer may still speak
// of: no final answer is out, or attempts are. A front sets the exported fields.
type Request struct {
	Carrier Carrier
	// Respond takes the one final answer, on the engine's goroutine. It must not
	// block, nor call back into the engine.
	Respond func(Response)
	// Key is the idempotency key of a keyed request, where a Guard may want it.
	Key string

	id       uint64
	deadline balancer.Micros
	in       balancer.Request
	admitted bool
	over     bool // the final answer is out, or the client is gone
	attempts []*Attempt
	out      int      // attempts without outcome
	claim    *claimed // of its key
	first    uint64   // the id by which it claims
	ran      bool     // an attempt may have run, or may yet
	handed   int      // attempts that the carrier was given
}

// Attempt is one attempt at a request.
type Attempt struct {
	Number   int // they count from 0
	Endpoint uint32
	Target   *Target         // where it goes
	Deadline balancer.Micros // when it is to be given up
	SendBy   balancer.Micros // when it must have been written, or is not at all
	Zone     uint8           // of the endpoint, as is Cell, when the attempt was decided
	Cell     uint16

	// Stop is the carrier's own: what ends the attempt.
	Stop func()

	engine  *Engine
	request *Request
	sent    balancer.Micros
	ended   atomic.Bool
	parked  bool // it waits for a Guard
}

// DeadlineTime is Until by the system's clock.
func (a *Attempt) DeadlineTime() time.Time { return a.engine.clock.time(a.Deadline) }

// SendByTime is By by the system's clock.
func (a *Attempt) SendByTime() time.Time { return a.engine.clock.time(a.SendBy) }

// PostResult tells how an attempt ended, from any goroutine but the engine's.
func (a *Attempt) PostResult(res Result) {
	a.engine.Post(func(now balancer.Micros) { a.Complete(now, res) })
}

// Complete tells how an attempt ended, on the engine's goroutine but not from within
// a Carrier's methods. Only the first end counts.
func (a *Attempt) Complete(now balancer.Micros, res Result) {
	if a.ended.Swap(true) {
		return
	}
	e, r := a.engine, a.request
	r.out--
	if res.Status == balancer.OK {
		e.finish(r, Response{Code: http.StatusOK, Header: res.Header, Body: res.Body})
	}
	r.ran = r.ran || res.Status != balancer.Full && res.Status != balancer.ConnectFailed && res.Status != balancer.NotSent
	served := a.Endpoint
	if res.Endpoint != 0 {
		served = res.Endpoint
	}
	e.decider.AttemptCompleted(now, balancer.Outcome{ID: r.id, Attempt: a.Number, Endpoint: served, Status: res.Status,
		Latency: now - a.sent, Settled: r.over || res.Settled, Load: res.Load})
	if res.Settled {
		e.close(r)
	}
	e.forget(r)
	e.endpoints.release(a.Endpoint)
	e.observeOutcome(now, served, res.Status)
}

// Submit passes a new request to the balancer. It must be called on the engine's
// goroutine.
func (e *Engine) Submit(now balancer.Micros, r *Request, in balancer.Request) {
	e.lastID++
	r.id, in.ID, r.deadline = e.lastID, e.lastID, in.Deadline
	if a := e.options.Admission; a != nil {
		retryAfter, ok := a.Admit(now, &in)
		if !ok {
			e.finish(r, Response{Code: http.StatusServiceUnavailable, RetryAfter: retryAfter})
			return
		}
		r.admitted = true
	}
	r.in = in
	e.requests[r.id] = r
	e.decider.HandleRequest(now, in)
	e.forget(r)
}

// ClientDisconnected tells that the client went away, or has its answer from elsewhere. It must
// be called on the engine's goroutine.
func (e *Engine) ClientDisconnected(now balancer.Micros, r *Request) {
	if !r.over {
		e.close(r)
		e.decider.ClientDisconnected(now, r.id)
		e.forget(r)
	}
}

// Expire gives every request its final answer now, since the host is about to end. It must be
// called on the engine's goroutine.
func (e *Engine) Expire(now balancer.Micros) {
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; r != nil && !r.over {
			e.decider.Expire(now, id)
			e.forget(r)
		}
	}
}

// finish gives the final answer, unless one is out already.
func (e *Engine) finish(r *Request, a Response) {
	if r != nil && !r.over {
		e.close(r)
		r.Respond(a)
	}
}

// close marks that nothing more is owed for a request.
func (e *Engine) close(r *Request) {
	if r.over = true; r.admitted {
		r.admitted = false
		e.options.Admission.Release(&r.in)
	}
}

func (e *Engine) forget(r *Request) {
	if r.over && r.out == 0 {
		delete(e.requests, r.id)
		e.release(r)
	}
}

// actions carries out what the balancer decides. Its methods are called from
// within the balancer's.
type actions Engine

// Send starts an attempt.
func (x *actions) Send(id uint64, endpoint uint32, timeout, by balancer.Micros) {
	e := (*Engine)(x)
	r, now := e.requests[id], e.clock.now()
	until := r.deadline
	if timeout > 0 {
		until = min(until, now+timeout)
	}
	a := &Attempt{Number: len(r.attempts), Endpoint: endpoint, Target: e.endpoints.acquire(endpoint), Deadline: until, SendBy: min(by, until),
		engine: e, request: r, sent: now}
	a.Zone, a.Cell = e.Location(endpoint)
	r.attempts = append(r.attempts, a)
	r.out++
	if a.Target == nil {
		e.Defer(func(now balancer.Micros) { a.Complete(now, Result{Status: balancer.NotSent}) })
		return
	}
	if !e.guarded(r, a) {
		r.hand(a)
	}
}

// Reject answers that a retry is harmless, and when it is welcome.
func (x *actions) Reject(id uint64, retryAfter balancer.Micros) {
	(*Engine)(x).finish(x.requests[id], Response{Code: http.StatusServiceUnavailable, RetryAfter: retryAfter})
}

// Fail answers that the request failed.
func (x *actions) Fail(id uint64) {
	(*Engine)(x).finish(x.requests[id], Response{Code: http.StatusBadGateway})
}

// Cancel gives an attempt up; its outcome still comes.
func (x *actions) Cancel(id uint64, attempt int) {
	if r := x.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		if a := r.attempts[attempt]; a.parked {
			e := (*Engine)(x)
			e.Defer(func(now balancer.Micros) { a.Complete(now, Result{Status: balancer.NotSent}) })
		} else if a.Target != nil {
			r.Carrier.Cancel(a)
		}
	}
}

// Timer gives a token back after a while.
func (x *actions) Timer(delay balancer.Micros, token uint32) {
	e := (*Engine)(x)
	e.After(time.Duration(delay)*time.Microsecond, func(now balancer.Micros) { e.decider.TimerFired(now, token) })
}

// Probe asks an endpoint for its load.
func (x *actions) Probe(endpoint uint32) {
	e := (*Engine)(x)
	told := func(now balancer.Micros, res Result) {
		e.decider.ProbeCompleted(now, endpoint, res.Status, res.Duration.Microseconds(), res.Load)
		e.endpoints.release(endpoint)
		e.observeOutcome(now, endpoint, res.Status)
	}
	if t := e.endpoints.acquire(endpoint); t != nil {
		e.options.Upstream.Probe(e.ctx, t, func(res Result) {
			e.Post(func(now balancer.Micros) { told(now, res) })
		})
		return
	}
	e.Defer(func(now balancer.Micros) { told(now, Result{Status: balancer.NotSent}) })
}

// Watch starts the watch of the source anew, from the last version on, or stops it.
func (x *actions) Watch(on bool) {
	if e := (*Engine)(x); on {
		e.startWatch()
	} else {
		e.discovery.stop()
	}
}

// Log records an event of the balancer's.
func (x *actions) Log(event string, attributes ...any) { x.log.Info(event, attributes...) }

// Context ends with the engine.
func (a *Attempt) Context() context.Context { return a.engine.ctx }
