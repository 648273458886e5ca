package engine

import (
	"net/http"
	"strconv"
	"strings"

	"pinedale/balancer"
)

// Kinds of deduplication groups. The group names in lease requests begin with them.
const (
	siteGroup = "site"
	podGroup  = "pod"
)

// keyLease is a request's lease of its idempotency key, requested or granted.
type keyLease struct {
	LeaseRequest
	granted bool     // the request may be sent to Group
	parked  *Attempt // attempt that waits for the decision; nil after the decision
}

// leaseGroup returns the name of the group of servers that deduplicates requests of a class,
// for a server in a zone and cell.
func (e *Engine) leaseGroup(class *balancer.Class, zone uint8, cell uint16) string {
	switch class.Group {
	case balancer.GroupZone:
		if int(zone) < len(e.options.Zones) {
			return siteGroup + " " + e.options.Zones[zone]
		}
		return siteGroup
	case balancer.GroupCell:
		return podGroup + " " + strconv.Itoa(int(cell))
	}
	return ""
}

// leaseGroupLocation is the inverse of leaseGroup. For an unknown name it returns a location that
// no server has.
func (e *Engine) leaseGroupLocation(group string) (zone uint8, cell uint16) {
	kind, name, _ := strings.Cut(group, " ")
	switch kind {
	case siteGroup:
		return indexOf(e.options.Zones, name), 0
	case podGroup:
		n, err := strconv.ParseUint(name, 10, 16)
		if err != nil {
			return unknownName, 0
		}
		return 0, uint16(n)
	}
	return 0, 0
}

// parkForLease requests a lease of the request's key for the group of the attempt's server, if
// one is needed and not granted yet, and parks the attempt until the decision. It returns false
// if the attempt may be sent immediately.
func (e *Engine) parkForLease(r *Request, a *Attempt) bool {
	leases := e.options.KeyLeases
	if leases == nil || r.Key == "" || !leases.Covers(r.in.Class) {
		return false
	}
	group := e.leaseGroup(&e.Settings().Classes[r.in.Class], a.Zone, a.Cell)
	term := uint64(1)
	if r.lease == nil {
		r.leaseID = r.id
	} else {
		if r.lease.granted && r.lease.Group == group {
			return false
		}
		if r.lease.parked != nil {
			// This is a hedge of an attempt that has not been sent yet, so there is nothing to hedge.
			a.parked = true
			a.deferNotSent()
			return true
		}
		// The decision module switches to another group only if no attempt sent to the previous
		// one can have run, so the next term may revoke the lease.
		term = r.lease.Term + 1
	}
	lease := &keyLease{
		LeaseRequest: LeaseRequest{
			Class:    r.in.Class,
			Key:      r.Key,
			Request:  r.leaseID,
			Term:     term,
			Group:    group,
			Deadline: a.DeadlineTime(),
		},
		parked: a,
	}
	r.lease = lease
	a.parked = true
	leases.Acquire(lease.LeaseRequest, func(now balancer.Micros, decision LeaseDecision) {
		e.leaseDecided(now, r, lease, decision)
	})
	return true
}

// leaseDecided continues with the attempt that was parked for a lease.
func (e *Engine) leaseDecided(now balancer.Micros, r *Request, lease *keyLease, decision LeaseDecision) {
	a := lease.parked
	lease.parked = nil
	if r.lease != lease {
		return // the request has ended and its lease has been released
	}
	a.parked = false
	switch {
	case decision.Outcome == LeaseExclusive:
		lease.granted = true
		e.sendParked(now, r, a)
	case decision.Outcome == LeaseShared && r.in.MayHaveRun && decision.Group == lease.Group:
		// The decision module already treats the request as one that may have run earlier.
		lease.granted = true
		e.sendParked(now, r, a)
	case decision.Outcome == LeaseShared:
		lease.granted = true
		lease.Group = decision.Group
		e.resubmit(now, r, a, decision)
	default:
		e.log.Debug("key lease denied", "reason", decision.Reason)
		e.respond(r, Response{Code: http.StatusBadGateway})
		e.discardParked(now, r, a)
	}
}

// sendParked sends an attempt that was parked, unless it is too late, the client no longer waits for
// an answer, or the server takes no new requests.
func (e *Engine) sendParked(now balancer.Micros, r *Request, a *Attempt) {
	if r.completed || now >= a.SendBy || a.Target == nil || a.Target.Closed() {
		a.Complete(now, Result{Status: balancer.NotSent})
		return
	}
	a.send()
}

// discardParked settles a request with the decision module, together with its only attempt, which
// was never sent.
func (e *Engine) discardParked(now balancer.Micros, r *Request, a *Attempt) {
	a.completed.Store(true)
	r.pending--
	e.decider.AttemptCompleted(now, balancer.Outcome{
		ID:       r.id,
		Attempt:  a.Number,
		Endpoint: a.Endpoint,
		Status:   balancer.NotSent,
		Latency:  now - a.startedAt,
		Settled:  true,
	})
	e.removeIfDone(r)
	e.endpoints.release(a.Endpoint)
}

// resubmit has the decision module decide again on a request that another instance may have sent.
// The request gets a new id, and counts as one that may have run before it arrived.
func (e *Engine) resubmit(now balancer.Micros, r *Request, a *Attempt, decision LeaseDecision) {
	maxAttempts := e.Settings().Limits.MaxAttempts
	if r.in.MaxAttempts > 0 {
		maxAttempts = min(maxAttempts, r.in.MaxAttempts)
	}
	remaining := maxAttempts - r.sent // attempts that never ran count as well
	if remaining <= 0 {
		e.respond(r, Response{Code: http.StatusBadGateway})
		e.discardParked(now, r, a)
		return
	}
	e.discardParked(now, r, a)
	e.requests.remove(r)
	r.id = e.requests.nextID()
	r.attempts = nil
	in := r.in
	in.ID = r.id
	in.MayHaveRun = true
	in.MaxAttempts = remaining
	in.PreviousAttempt.At = e.clock.micros(decision.Since)
	in.PreviousAttempt.Zone, in.PreviousAttempt.Cell = e.leaseGroupLocation(decision.Group)
	e.handleRequest(now, r, in)
}

// releaseLease releases a request's lease once all outcomes are known. The lease of a
// request that may have run is kept.
func (e *Engine) releaseLease(r *Request) {
	lease := r.lease
	if lease == nil {
		return
	}
	r.lease = nil
	if !r.mayHaveRun {
		e.options.KeyLeases.Release(lease.LeaseRequest)
	}
}
