package engine

import (
	"net/http"
	"time"

	"pinedale/balancer"
)

// actions implements balancer.Actions: it carries out the decisions of the decision module. Its methods are
// called from within the decider's methods, on the engine's goroutine.
type actions struct{ engine *Engine }

// Send starts an attempt. With a timeout of 0, the attempt may last until the client's deadline.
func (x actions) Send(id uint64, endpoint uint32, timeout, sendBy balancer.Micros) {
	e := x.engine
	r := e.requests.get(id)
	now := e.Now()
	deadline := r.deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	zone, cell := e.Location(endpoint)
	a := &Attempt{
		Number:    len(r.attempts),
		Endpoint:  endpoint,
		Target:    e.endpoints.acquire(endpoint),
		Deadline:  deadline,
		SendBy:    min(sendBy, deadline),
		Zone:      zone,
		Cell:      cell,
		engine:    e,
		request:   r,
		startedAt: now,
	}
	r.attempts = append(r.attempts, a)
	r.pending++
	switch {
	case a.Target == nil:
		a.deferNotSent()
	case !e.parkForLease(r, a):
		a.send()
	}
}

// Reject answers the request with 503: a retry is harmless, and advised after retryAfter.
func (x actions) Reject(id uint64, retryAfter balancer.Micros) {
	x.engine.respond(x.engine.requests.get(id), Response{Code: http.StatusServiceUnavailable, RetryAfter: retryAfter})
}

// Fail answers the request with 502.
func (x actions) Fail(id uint64) {
	x.engine.respond(x.engine.requests.get(id), Response{Code: http.StatusBadGateway})
}

// Cancel aborts an attempt. The attempt's outcome is still reported to the decision module.
func (x actions) Cancel(id uint64, attempt int) {
	r := x.engine.requests.get(id)
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	switch a := r.attempts[attempt]; {
	case a.parked:
		a.deferNotSent()
	case a.Target != nil:
		r.Carrier.Cancel(a)
	}
}

// Timer passes a token to Decider.TimerFired after a delay.
func (x actions) Timer(delay balancer.Micros, token uint32) {
	e := x.engine
	fired := func(now balancer.Micros) { e.decider.TimerFired(now, token) }
	stop := e.startTimer(time.Duration(delay)*time.Microsecond, fired)
	now := e.Now()
	e.timers.add(now, token, startedTimer{stop: stop, due: now + delay})
}

// Probe requests the load of an endpoint.
func (x actions) Probe(endpoint uint32) {
	e := x.engine
	completed := func(now balancer.Micros, res Result) {
		e.decider.ProbeCompleted(now, endpoint, res.Status, res.Duration.Microseconds(), res.Load)
		e.endpoints.release(endpoint)
		e.observeOutcome(now, endpoint, res.Status)
	}
	target := e.endpoints.acquire(endpoint)
	if target == nil {
		e.Defer(func(now balancer.Micros) { completed(now, Result{Status: balancer.NotSent}) })
		return
	}
	e.options.Upstream.Probe(e.ctx, target, func(res Result) {
		e.Post(func(now balancer.Micros) { completed(now, res) })
	})
}

// Watch starts a watch of the source from the last known version, unless one is running, or ends it.
func (x actions) Watch(on bool) {
	if on {
		x.engine.startWatch()
	} else {
		x.engine.discovery.endCurrent()
	}
}

// Log logs an event of the decision module. It replaces the number of a request in the ledger by the client's id.
func (x actions) Log(event string, attributes ...any) {
	for i := 0; i+1 < len(attributes); i += 2 {
		id, isID := attributes[i+1].(uint64)
		if attributes[i] != "request" || !isID {
			continue
		}
		if r := x.engine.requests.get(id); r != nil && r.ID != "" {
			attributes[i+1] = r.ID
		}
	}
	x.engine.log.Info(event, attributes...)
}
