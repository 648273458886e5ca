package engine

import (
	"net/http"
	"strconv"
	"strings"

	"pinedale/balancer"
)

// claimed is what an engine knows of a request's claim.
type claimed struct {
	LeaseRequest
	settled bool // it may be sent to the claim's group
	parked  *Attempt
}

// groupOf names the group of servers that drops repeats of a class, for a server.
func (e *Engine) groupOf(c *balancer.Class, zone uint8, cell uint16) string {
	switch c.Group {
	case balancer.GroupZone:
		if int(zone) < len(e.options.Zones) {
			return "site " + e.options.Zones[zone]
		}
		return "site"
	case balancer.GroupCell:
		return "pod " + strconv.Itoa(int(cell))
	}
	return ""
}

// placeOf is the reverse: where an earlier attempt went. A site that is not known here is a
// place that no server has.
func (e *Engine) placeOf(group string) (zone uint8, cell uint16) {
	kind, name, _ := strings.Cut(group, " ")
	switch kind {
	case "site":
		return indexOf(e.options.Zones, name), 0
	case "pod":
		n, err := strconv.ParseUint(name, 10, 16)
		if err != nil {
			return unknownName, 0
		}
		return 0, uint16(n)
	}
	return 0, 0
}

// guarded parks an attempt whose key is not claimed yet for the group of its server. It
// returns false where nothing has to be agreed on.
func (e *Engine) guarded(r *Request, a *Attempt) bool {
	g := e.options.KeyLeases
	if g == nil || r.Key == "" || !g.Covers(r.in.Class) {
		return false
	}
	group := e.groupOf(&e.Settings().Classes[r.in.Class], a.Zone, a.Cell)
	if r.claim != nil && r.claim.settled && r.claim.Group == group {
		return false
	}
	if r.claim != nil && r.claim.parked != nil {
		// A second copy while the first waits to be sent at all: there is nothing to copy yet.
		a.parked = true
		e.Defer(func(now balancer.Micros) { a.Complete(now, Result{Status: balancer.NotSent}) })
		return true
	}
	// The module sends to another group only where nothing sent to this one can have run: the
	// next round takes the claim back.
	round := uint64(1)
	if r.claim != nil {
		round = r.claim.Term + 1
	} else {
		r.first = r.id
	}
	r.claim = &claimed{LeaseRequest: LeaseRequest{Class: r.in.Class, Key: r.Key, Request: r.first, Term: round, Group: group, Deadline: a.DeadlineTime()}, parked: a}
	a.parked = true
	claim := r.claim
	g.Acquire(claim.LeaseRequest, func(now balancer.Micros, v LeaseDecision) { e.agreed(now, r, claim, v) })
	return true
}

// agreed goes on with an attempt that was parked.
func (e *Engine) agreed(now balancer.Micros, r *Request, c *claimed, v LeaseDecision) {
	a := c.parked
	c.parked = nil
	if r.claim != c {
		return // the request is over, and its claim is released
	}
	a.parked = false
	switch {
	case v.Kind == LeaseExclusive:
		c.settled = true
		e.unpark(now, r, a)
	case v.Kind == LeaseShared && r.in.MayHaveRun && v.Group == c.Group:
		// The module has taken it for one that may have run already, perhaps from longer ago.
		c.settled = true
		e.unpark(now, r, a)
	case v.Kind == LeaseShared:
		c.settled, c.Group = true, v.Group
		e.restate(now, r, a, v)
	default:
		e.log.Debug("a keyed request is not sent", "reason", v.Reason)
		e.finish(r, Response{Code: http.StatusBadGateway})
		e.discard(now, r, a)
	}
}

// unpark sends what was parked, unless its time is over, nobody waits for an answer any more
// or its server must have nothing new.
func (e *Engine) unpark(now balancer.Micros, r *Request, a *Attempt) {
	if r.over || now >= a.SendBy || a.Target == nil || a.Target.Closed() {
		a.Complete(now, Result{Status: balancer.NotSent})
		return
	}
	r.hand(a)
}

// hand gives an attempt to the request's carrier.
func (r *Request) hand(a *Attempt) {
	r.handed++
	r.Carrier.Send(a)
}

// discard ends a request for the module together with its one attempt, that was never sent.
func (e *Engine) discard(now balancer.Micros, r *Request, a *Attempt) {
	a.ended.Store(true)
	r.out--
	e.decider.AttemptCompleted(now, balancer.Outcome{ID: r.id, Attempt: a.Number, Endpoint: a.Endpoint, Status: balancer.NotSent,
		Latency: now - a.sent, Settled: true})
	e.forget(r)
	e.endpoints.release(a.Endpoint)
}

// restate has the module decide anew on a request of which it has turned out that another
// instance may have sent it: as one of which an attempt may have run before it was taken.
func (e *Engine) restate(now balancer.Micros, r *Request, a *Attempt, v LeaseDecision) {
	// Attempts that never ran count, too, against those that the request may have.
	most := e.Settings().Limits.MaxAttempts
	if r.in.MaxAttempts > 0 {
		most = min(most, r.in.MaxAttempts)
	}
	if r.handed >= most {
		e.finish(r, Response{Code: http.StatusBadGateway})
		e.discard(now, r, a)
		return
	}
	e.discard(now, r, a)
	delete(e.requests, r.id)
	e.lastID++
	r.id, r.attempts = e.lastID, nil
	in := r.in
	in.ID, in.MayHaveRun, in.MaxAttempts = r.id, true, most-r.handed
	in.PreviousAttempt.At = e.clock.micros(v.Since)
	in.PreviousAttempt.Zone, in.PreviousAttempt.Cell = e.placeOf(v.Group)
	r.in = in
	e.requests[r.id] = r
	e.decider.HandleRequest(now, in)
	e.forget(r)
}

// release takes a request's claim back once all is known of it and nothing can have run.
func (e *Engine) release(r *Request) {
	if c := r.claim; c != nil {
		if r.claim = nil; !r.ran {
			e.options.KeyLeases.Release(c.LeaseRequest)
		}
	}
}
