package routing

import (
	"slices"

	"pinedale/balancer"
)

const (
	// capacityRetryAfter is the Retry-After of AtCapacity. Entries are retained for a few seconds, so some of
	// them expire within this time.
	capacityRetryAfter Micros = 1_000_000

	// maxRequestsPerEntry bounds the request IDs that are counted separately within an entry. A correct client
	// makes no more than a first request and a dozen retries within seconds.
	maxRequestsPerEntry = 16
)

// Ledger keeps streams, entries and rounds; the package comment explains them. New returns an empty one.
type Ledger struct {
	limits    Limits
	actions   Actions
	lastRound uint64 // ID of the round started last

	streams    map[StreamID]*stream
	rounds     map[uint64]*round        // that have an attempt in flight or no final answer
	entries    map[string]*entry        // by entryKey
	requestIDs map[string]*requestIDUse // by request ID, for the requests with an open stream
	offers     []offer                  // unclaimed attempts, the earliest first
	expiries   [][]entryExpiry          // by class: entries to remove, the earliest first
}

// requestIDUse counts the open streams with one request ID. While there are any, the ID belongs to one entry.
type requestIDUse struct {
	entry   *entry
	streams int
}

// stream is one request of a caller for a decision.
type stream struct {
	id        StreamID
	requestID string
	entry     *entry // nil if the request was rejected without an entry
	round     *round // of the attempt that was forwarded to it, nil before
	attempt   int    // index within round
	reported  bool
}

// entry is the state that is shared by all streams that request the same effect.
type entry struct {
	key             string // see entryKey
	fingerprint     uint64
	class           uint8
	round           *round
	waiting         []*stream         // for a decision of the module
	streams         int               // open
	requests        []requestForwards // one for each first request or retry of the client
	unknownEndpoint bool              // an endpoint that is not in the list has served the request
	expiryScheduled bool              // the entry is in Ledger.expiries
	lastClosed      Micros            // latest time at which one of its streams was closed

	previousMayHaveRun bool // an attempt of an earlier round may have run
	previous           balancer.PreviousAttempt
}

// requestForwards counts how often one request of an entry was forwarded. Retries of a client have IDs of their own.
type requestForwards struct {
	id       string
	forwards int
}

// New returns an empty ledger.
func New(limits Limits, actions Actions) *Ledger {
	return &Ledger{
		limits:     limits,
		actions:    actions,
		streams:    map[StreamID]*stream{},
		rounds:     map[uint64]*round{},
		entries:    map[string]*entry{},
		requestIDs: map[string]*requestIDUse{},
		expiries:   make([][]entryExpiry, len(limits.Classes)),
	}
}

// SetClasses replaces the classes. The previous classes must keep their indexes.
func (l *Ledger) SetClasses(all []balancer.Class) {
	l.limits.Classes = all
	for len(l.expiries) < len(all) {
		l.expiries = append(l.expiries, nil)
	}
}

// Counts returns the number of streams, rounds and entries that the ledger holds.
func (l *Ledger) Counts() (streams, rounds, entries int) {
	return len(l.streams), len(l.rounds), len(l.entries)
}

// class returns the class of an entry.
func (l *Ledger) class(e *entry) *balancer.Class { return &l.limits.Classes[e.class] }

// entryKey returns the key of the entry that a request belongs to. Requests with the same key request the same effect.
func entryKey(req *Request) string {
	if req.Key != "" {
		return "k" + req.Tenant + "\x00" + req.Key
	}
	return "i" + req.ID
}

// HandleRequest handles a caller's request for a decision. The answer comes by Respond, within the call or later.
func (l *Ledger) HandleRequest(now Micros, req Request) {
	s := &stream{id: req.Stream, requestID: req.ID}
	l.streams[req.Stream] = s
	e, response := l.entryFor(&req)
	if e == nil {
		l.actions.Respond(req.Stream, response)
		return
	}
	l.attach(s, e)
	switch r := e.round; {
	case r == nil:
		l.startRound(e, s, &req)
	case !r.answered:
		l.joinRound(now, r, s)
	case r.succeeded != noAttempt && l.class(e).Idempotency != balancer.Idempotent:
		l.replay(now, r, r.succeeded, s)
	case r.requestID == req.ID && r.hasFinal():
		l.actions.Respond(s.id, r.final) // the final answer to this request is repeated
	default:
		l.startRound(e, s, &req)
	}
}

// entryFor returns the entry that a request belongs to, and creates it if there is none. If the request must not share
// the entry, or there is no capacity for a new one, entryFor returns nil and the response.
func (l *Ledger) entryFor(req *Request) (*entry, Response) {
	key := entryKey(req)
	e := l.entries[key]
	if use := l.requestIDs[req.ID]; use != nil && use.entry != e {
		return nil, Response{Kind: KeyReused, Reason: reasonIDInUse}
	}
	if e != nil && e.fingerprint != req.Fingerprint {
		return nil, Response{Kind: KeyReused, Reason: reasonKeyReused}
	}
	if e != nil {
		return e, Response{}
	}
	if len(l.entries) >= l.limits.MaxEntries {
		return nil, Response{Kind: AtCapacity, RetryAfter: capacityRetryAfter}
	}
	e = &entry{key: key, fingerprint: req.Fingerprint, class: req.ModuleRequest.Class}
	l.entries[key] = e
	return e, Response{}
}

// attach adds a stream to an entry.
func (l *Ledger) attach(s *stream, e *entry) {
	s.entry = e
	e.streams++
	use := l.requestIDs[s.requestID]
	if use == nil {
		use = &requestIDUse{entry: e}
		l.requestIDs[s.requestID] = use
	}
	use.streams++
}

// detach removes a stream from its entry.
func (l *Ledger) detach(now Micros, s *stream) {
	e := s.entry
	e.streams--
	e.lastClosed = now
	if use := l.requestIDs[s.requestID]; use != nil {
		use.streams--
		if use.streams == 0 {
			delete(l.requestIDs, s.requestID)
		}
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(other *stream) bool { return other == s })
}

// StreamClosed handles the end of a stream, whether it was closed or broken off. undelivered is set if it is certain
// that a Forward never reached the caller.
func (l *Ledger) StreamClosed(now Micros, id StreamID, undelivered bool) {
	s := l.streams[id]
	delete(l.streams, id)
	if s == nil || s.entry == nil {
		return
	}
	l.detach(now, s)
	e := s.entry
	if s.round != nil && !s.reported {
		a := &s.round.attempts[s.attempt]
		a.waiting--
		if undelivered && !a.completed {
			a.undoForward()
			e.forwardsOf(s.requestID).forwards--
		}
	}
	if r := e.round; r != nil && !r.answered && r.abandoned() {
		l.cancelRound(now, r)
	}
	l.release(now, e)
}

// forwardsOf returns the counter of one request of the entry, nil if the entry has no capacity for another request.
func (e *entry) forwardsOf(requestID string) *requestForwards {
	for i := range e.requests {
		if e.requests[i].id == requestID {
			return &e.requests[i]
		}
	}
	if len(e.requests) == maxRequestsPerEntry {
		return nil
	}
	e.requests = append(e.requests, requestForwards{id: requestID})
	return &e.requests[len(e.requests)-1]
}

// firstThatMayHaveRun returns the entry's first attempt that may have run, and whether there is one.
func (e *entry) firstThatMayHaveRun() (balancer.PreviousAttempt, bool) {
	if e.previousMayHaveRun || e.round == nil {
		return e.previous, e.previousMayHaveRun
	}
	for i := range e.round.attempts {
		if a := &e.round.attempts[i]; a.mayHaveRun {
			return balancer.PreviousAttempt{At: a.firstForwarded, Zone: a.location.Zone, Cell: a.location.Cell}, true
		}
	}
	return balancer.PreviousAttempt{}, false
}
