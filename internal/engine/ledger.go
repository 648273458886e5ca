package engine

import (
	"hash/maphash"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"

	"pinedale/balancer"
)

// Request is a request that the decision module may still act on: its final answer has not been given,
// or attempts are pending. A front sets the exported fields; all other fields are owned by the
// engine's goroutine.
type Request struct {
	// Carrier carries out the attempts.
	Carrier Carrier
	// Respond receives the final answer. It is called at most once, on the engine's goroutine, and must not
	// block or call back into the engine.
	Respond func(Response)
	// Done, if not nil, is called once nothing is done for the request any more: it needs no answer, and no attempt is
	// pending. It is called at most once, on the engine's goroutine, and not for a request that was never submitted. It
	// must not block or call back into the engine.
	Done func()
	// ID is the client's id of the request, for the log.
	ID string
	// Key is the idempotency key, if any. Requests of a class and tenant with the same key have one effect.
	// KeyLeases.Covers decides whether it must be leased.
	Key string

	submittedOrWithdrawn atomic.Bool // set by the first of Submit and Withdraw

	id        uint64
	deadline  balancer.Micros
	in        balancer.Request // as passed to the decision module
	admitted  bool             // Admission.Release is due
	completed bool             // the final answer has been given, or the client has disconnected
	removed   bool             // Done has been called
	attempts  []*Attempt
	pending   int // attempts without an outcome
	sent      int // attempts passed to the carrier

	lease      *keyLease // nil if none was requested
	leaseID    uint64    // id in lease requests: the one assigned by Submit
	mayHaveRun bool      // an attempt may have run, or may still run
}

// Withdraw cancels a request that has not been submitted: nothing was sent for it, and Submit will
// ignore it. It returns false if the request has been submitted. It may be called from any goroutine.
func (r *Request) Withdraw() bool { return !r.submittedOrWithdrawn.Swap(true) }

// requestLedger holds the requests by id.
type requestLedger struct {
	byID    map[uint64]*Request
	lastID  uint64
	keySeed maphash.Seed
}

func newRequestLedger() requestLedger {
	return requestLedger{byID: map[uint64]*Request{}, keySeed: maphash.MakeSeed()}
}

// hashKey returns the number by which the decision module knows a tenant's idempotency key, or 0 without a key.
// If two keys have the same hash, a request is only bound more strictly than it must be.
func (l *requestLedger) hashKey(tenant uint16, key string) uint64 {
	if key == "" {
		return 0
	}
	hash := maphash.Comparable(l.keySeed, tenantKey{tenant, key})
	return max(1, hash)
}

// tenantKey is an idempotency key of a tenant.
type tenantKey struct {
	tenant uint16
	key    string
}

// nextID returns an id that has not been used before.
func (l *requestLedger) nextID() uint64 {
	l.lastID++
	return l.lastID
}

func (l *requestLedger) add(r *Request)         { l.byID[r.id] = r }
func (l *requestLedger) get(id uint64) *Request { return l.byID[id] }
func (l *requestLedger) remove(r *Request)      { delete(l.byID, r.id) }
func (l *requestLedger) len() int               { return len(l.byID) }
func (l *requestLedger) sortedIDs() []uint64    { return slices.Sorted(maps.Keys(l.byID)) }

// Submit passes a new request to the decision module. It must be called on the engine's
// goroutine.
//
// If events wait so long that the request could not be answered in time, it is submitted with an
// expired deadline, and the decision module answers it immediately.
func (e *Engine) Submit(now balancer.Micros, r *Request, in balancer.Request) {
	if r.completed || r.submittedOrWithdrawn.Swap(true) { // the client disconnected before the submission
		return
	}
	if !e.lateness.canMeetDeadline(now, in.Deadline) {
		e.lateness.shed++
		in.Deadline = min(in.Deadline, now)
	}
	r.id = e.requests.nextID()
	r.deadline = in.Deadline
	in.ID = r.id
	in.IdempotencyKey = e.requests.hashKey(in.Tenant, r.Key)
	if admission := e.options.Admission; admission != nil {
		retryAfter, ok := admission.Admit(now, &in)
		if !ok {
			e.respond(r, Response{Code: http.StatusServiceUnavailable, RetryAfter: retryAfter})
			e.removeIfDone(r)
			return
		}
		r.admitted = true
	}
	e.handleRequest(now, r, in)
}

// handleRequest adds a request to the ledger and has the decision module decide on it.
func (e *Engine) handleRequest(now balancer.Micros, r *Request, in balancer.Request) {
	r.in = in
	e.requests.add(r)
	e.decider.HandleRequest(now, in)
	e.removeIfDone(r)
}

// ClientDisconnected reports that the client has disconnected, or was answered without the engine.
// It must be called on the engine's goroutine.
func (e *Engine) ClientDisconnected(now balancer.Micros, r *Request) {
	if r.completed {
		return
	}
	e.complete(r)
	e.decider.ClientDisconnected(now, r.id)
	e.removeIfDone(r)
}

// ExpireAll gives every request its final answer now, since the process is about to end. It must be
// called on the engine's goroutine.
func (e *Engine) ExpireAll(now balancer.Micros) {
	for _, id := range e.requests.sortedIDs() {
		if r := e.requests.get(id); r != nil && !r.completed {
			e.decider.Expire(now, id)
			e.removeIfDone(r)
		}
	}
}

// respond gives the final answer, unless one has been given already or r is nil.
func (e *Engine) respond(r *Request, response Response) {
	if r == nil || r.completed {
		return
	}
	e.complete(r)
	r.Respond(response)
}

// complete records that a request needs no answer any more.
func (e *Engine) complete(r *Request) {
	r.completed = true
	if r.admitted {
		r.admitted = false
		e.options.Admission.Release(&r.in)
	}
}

// removeIfDone removes a request from the ledger once it is completed and no attempt is pending.
func (e *Engine) removeIfDone(r *Request) {
	if !r.completed || r.pending > 0 || r.removed {
		return
	}
	r.removed = true
	e.requests.remove(r)
	e.releaseLease(r)
	if r.Done != nil {
		r.Done()
	}
}
