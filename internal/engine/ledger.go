package engine

import (
	"maps"
	"net/http"
	"slices"
	"sync/atomic"

	"pinedale/balancer"
)

// Request is a request that the decision module may still act on: its final answer is not out,
// or attempts are pending. A front sets the exported fields; everything else is owned by the
// engine's goroutine.
type Request struct {
	// Carrier carries out the attempts.
	Carrier Carrier
	// Respond takes the one final answer, on the engine's goroutine. It must not block, nor call
	// back into the engine.
	Respond func(Response)
	// ID is the client's id of the request, for the log.
	ID string
	// Key is the idempotency key, if any, which KeyLeases may have to lease.
	Key string

	taken atomic.Bool // by Submit or Withdraw, whichever was first

	id        uint64
	deadline  balancer.Micros
	in        balancer.Request // as the decision module knows it
	admitted  bool             // Admission.Release is due
	completed bool             // the final answer is out, or the client has disconnected
	attempts  []*Attempt
	pending   int // attempts without outcome
	sent      int // attempts that the carrier was given

	lease      *keyLease // nil if none was requested
	leaseID    uint64    // the id in lease requests: that of the first Submit
	mayHaveRun bool      // an attempt may have run, or may yet
}

// Withdraw takes back a request that was not submitted yet: nothing was sent for it, and Submit will
// do nothing. It returns false if the request was submitted. It may be called from any goroutine.
func (r *Request) Withdraw() bool { return !r.taken.Swap(true) }

// requestLedger holds the requests by id.
type requestLedger struct {
	byID   map[uint64]*Request
	lastID uint64
}

func newRequestLedger() requestLedger {
	return requestLedger{byID: map[uint64]*Request{}}
}

// nextID returns an id that no request had before.
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
// A request that could not be answered in time, since events wait too long, is taken as one whose
// deadline has passed: the decision module answers it at once.
func (e *Engine) Submit(now balancer.Micros, r *Request, in balancer.Request) {
	if r.completed || r.taken.Swap(true) { // its client left before it was submitted
		return
	}
	if !e.lateness.permits(now, in.Deadline) {
		e.lateness.shed++
		in.Deadline = min(in.Deadline, now)
	}
	r.id = e.requests.nextID()
	r.deadline = in.Deadline
	in.ID = r.id
	if admission := e.options.Admission; admission != nil {
		retryAfter, ok := admission.Admit(now, &in)
		if !ok {
			e.respond(r, Response{Code: http.StatusServiceUnavailable, RetryAfter: retryAfter})
			return
		}
		r.admitted = true
	}
	e.handleRequest(now, r, in)
}

// handleRequest enters a request in the ledger and has the decision module decide on it.
func (e *Engine) handleRequest(now balancer.Micros, r *Request, in balancer.Request) {
	r.in = in
	e.requests.add(r)
	e.decider.HandleRequest(now, in)
	e.removeIfDone(r)
}

// ClientDisconnected reports that the client has disconnected, or has its answer from elsewhere.
// It must be called on the engine's goroutine.
func (e *Engine) ClientDisconnected(now balancer.Micros, r *Request) {
	if r.completed {
		return
	}
	e.complete(r)
	e.decider.ClientDisconnected(now, r.id)
	e.removeIfDone(r)
}

// ExpireAll gives every request its final answer now, since the host is about to end. It must be
// called on the engine's goroutine.
func (e *Engine) ExpireAll(now balancer.Micros) {
	for _, id := range e.requests.sortedIDs() {
		if r := e.requests.get(id); r != nil && !r.completed {
			e.decider.Expire(now, id)
			e.removeIfDone(r)
		}
	}
}

// respond gives the final answer, unless one is out already or there is no such request.
func (e *Engine) respond(r *Request, response Response) {
	if r == nil || r.completed {
		return
	}
	e.complete(r)
	r.Respond(response)
}

// complete records that no answer is due for a request any more.
func (e *Engine) complete(r *Request) {
	r.completed = true
	if r.admitted {
		r.admitted = false
		e.options.Admission.Release(&r.in)
	}
}

// removeIfDone removes a request from the ledger once its answer is out and no attempt is pending.
func (e *Engine) removeIfDone(r *Request) {
	if r.completed && r.pending == 0 {
		e.requests.remove(r)
		e.releaseLease(r)
	}
}
