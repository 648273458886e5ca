package engine

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"pinedale/balancer"
)

// Attempt is one attempt at a request. Its exported fields except Abort are read-only.
type Attempt struct {
	Number   int // from 0
	Endpoint uint32
	Target   *Target         // nil if nothing may be sent to the endpoint
	Deadline balancer.Micros // when the attempt is aborted
	SendBy   balancer.Micros // after this instant the attempt must no longer be written
	Zone     uint8           // zone of the endpoint when the attempt was decided
	Cell     uint16          // cell of the endpoint at the same time

	// Abort aborts the attempt. It is set and used by the carrier.
	Abort func()

	engine    *Engine
	request   *Request
	startedAt balancer.Micros
	completed atomic.Bool // the first result has been processed
	parked    bool        // the attempt waits for a key lease
}

// Context returns a context that ends with the engine.
func (a *Attempt) Context() context.Context { return a.engine.ctx }

// DeadlineTime returns Deadline by the system's clock.
func (a *Attempt) DeadlineTime() time.Time { return a.engine.WallTime(a.Deadline) }

// SendByTime returns SendBy by the system's clock.
func (a *Attempt) SendByTime() time.Time { return a.engine.WallTime(a.SendBy) }

// PostResult reports the attempt's result. It may be called from any goroutine but the engine's.
func (a *Attempt) PostResult(res Result) {
	a.engine.Post(func(now balancer.Micros) { a.Complete(now, res) })
}

// Complete reports the attempt's result. It must be called on the engine's goroutine, but not
// from within a Carrier's methods. Results after the first are ignored.
func (a *Attempt) Complete(now balancer.Micros, res Result) {
	if a.completed.Swap(true) {
		return
	}
	e, r := a.engine, a.request
	r.pending--
	if res.Status == balancer.OK {
		e.respond(r, Response{Code: http.StatusOK, Header: res.Header, Body: res.Body})
	}
	if mayHaveRun(res.Status) {
		r.mayHaveRun = true
	}
	servedBy := a.Endpoint
	if res.Endpoint != 0 {
		servedBy = res.Endpoint
	}
	e.decider.AttemptCompleted(now, balancer.Outcome{
		ID:       r.id,
		Attempt:  a.Number,
		Endpoint: servedBy,
		Status:   res.Status,
		Latency:  now - a.startedAt,
		Settled:  r.completed || res.Settled,
		Load:     res.Load,
	})
	if res.Settled {
		e.complete(r)
	}
	e.removeIfDone(r)
	e.endpoints.release(a.Endpoint)
	e.observeOutcome(now, servedBy, res.Status)
}

// deferNotSent completes the attempt with status NotSent after the current event.
func (a *Attempt) deferNotSent() {
	a.engine.Defer(func(now balancer.Micros) { a.Complete(now, Result{Status: balancer.NotSent}) })
}

// send passes the attempt to the request's carrier.
func (a *Attempt) send() {
	a.request.sent++
	a.request.Carrier.Send(a)
}

// mayHaveRun reports whether a server may have begun to execute an attempt that ended with this status.
func mayHaveRun(s balancer.Status) bool {
	return s != balancer.Full && s != balancer.ConnectFailed && s != balancer.NotSent
}
