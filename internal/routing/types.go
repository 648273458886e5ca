package routing

import "pinedale/balancer"

// Micros is a time or a duration of the decision module, in microseconds.
type Micros = balancer.Micros

// StreamID identifies one stream of a caller. The host never uses one twice.
type StreamID uint64

// Request is a request that a caller wants routed.
type Request struct {
	Stream        StreamID
	ID            string           // correlation ID: a new one with each retry of a client
	Key           string           // idempotency key, unique within a tenant; "" if the class has no keys
	Fingerprint   uint64           // of everything that must be equal when the same effect is requested again
	ModuleRequest balancer.Request // passed to the decision module
	Tenant        string
}

// ResponseKind is the kind of a Response.
type ResponseKind uint8

// The kinds of response.
const (
	Forward      ResponseKind = iota // send the request to the endpoint named
	Reject                           // a retry is harmless
	Fail                             // the request may have run: a retry may not be harmless
	Conflict                         // the request must not be repeated, or not now
	KeyReused                        // the idempotency key or the ID belongs to another request
	AtCapacity                       // the ledger is full: a retry is harmless
	PassThrough                      // to a report: the endpoint's answer goes to the client unchanged
	RetryAllowed                     // to a report: the caller may request a decision again for the same request
)

// Response is the routing decision for a stream, or the reply to its report.
type Response struct {
	Kind       ResponseKind
	Ref        any    // of Forward: the value that the host gave to AttemptScheduled
	Attempt    int    // of Forward: the number of the attempt within its round, from 0
	RetryAfter Micros // of Reject and AtCapacity
	Reason     string // of Conflict and KeyReused
}

// Location is the part of an endpoint's location that restricts where a repeat may be sent.
type Location struct {
	Zone uint8
	Cell uint16
}

// Outcome is a caller's report on an attempt.
type Outcome struct {
	Status          balancer.Status
	Endpoint        uint32   // endpoint that served the attempt, 0 if it is the one that the attempt was forwarded to
	Location        Location // of Endpoint, if that is not 0
	UnknownEndpoint bool     // the endpoint that served the attempt is not in the endpoint list
	Load            []float32
}

// Actions are the calls that a ledger makes to its host, always from within its event methods.
type Actions interface {
	// StartRound passes a request to the decision module as a new round, with its idempotency key if it has one. The
	// module's decision may arrive within the call, by AttemptScheduled, RoundRejected or RoundFailed.
	StartRound(round uint64, key string, req balancer.Request)
	// CancelRound notifies the module that no caller waits for a round any more, as if its client had disconnected. The
	// ledger then cancels the round's attempts itself. If the module cancels them too, the host calls AttemptCancelled
	// only after CancelRound has returned.
	CancelRound(round uint64)
	// CompleteAttempt passes the outcome of an attempt to the module, exactly once per attempt. settled is set if the
	// client has its answer. The module's next decision may arrive within the call.
	CompleteAttempt(round uint64, attempt int, outcome Outcome, settled bool)
	// Usable reports whether the endpoint of an attempt still accepts new requests.
	Usable(ref any) bool
	// Respond answers a stream's request, unless the stream has been closed before: once, and a second time after
	// ForwardDiscarded.
	Respond(stream StreamID, response Response)
}

// Limits bound a ledger.
type Limits struct {
	Classes      []balancer.Class
	MaxAttempts  int  // how often one request may be forwarded
	Hedging      bool // two callers may have the same attempt in flight
	CallersRetry bool // callers request another decision after a reported failure
	MaxEntries   int
}
