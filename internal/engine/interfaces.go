package engine

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"pinedale/balancer"
	"pinedale/internal/membudget"
	"pinedale/internal/subset"
)

// A Carrier carries out the attempts of one request. Both methods are called on the engine's
// goroutine, must not block, and must not call back into the engine synchronously.
type Carrier interface {
	// Send starts an attempt. PostResult or Complete must be called for it exactly once.
	Send(*Attempt)
	// Cancel aborts an attempt. Its result must still be reported.
	Cancel(*Attempt)
}

// An Upstream sends requests to endpoints and maintains the connections to them.
type Upstream interface {
	// NewCarrier returns a carrier for one request.
	NewCarrier(*Message) Carrier
	// Probe requests the load of an endpoint. It is called on the engine's goroutine and must
	// not block. The callback must be called exactly once, and not from within Probe.
	Probe(ctx context.Context, t *Target, completed func(Result))
	// Retire is called on the engine's goroutine after Target.Close, to release what the upstream
	// holds for the target.
	Retire(*Target)
	// Prune releases resources that have been idle for too long. It is called every second.
	Prune()
}

// A Source supplies the endpoint list.
type Source interface {
	// Watch reports all changes after a version, or first a snapshot if after is nil, until ctx
	// ends or the watch fails. Before it returns an error, it reports balancer.ListFailed. It
	// returns the version to continue from.
	Watch(ctx context.Context, after *uint64, notify func(balancer.ListKind, List)) (*uint64, error)
	// Close releases the source's resources. It is called after the last Watch has returned.
	Close()
}

// Message is a request in the form in which it is sent to endpoints, once per attempt.
type Message struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // X-Time-Left-Ms is written for each attempt
	Body   []byte

	// Context ends once the client no longer waits for an answer. Attempts not written by then are
	// not written, whatever the settings on cancelling attempts. A nil Context never ends.
	Context context.Context
	// ResponseMemory, if not nil, holds the memory of the response's body until it has been written to the client.
	ResponseMemory *membudget.Reservation
	// Disconnected, if not nil, checks the client's connection directly, since Context may end late
	// when processor time is short. It does not block, and may be called from any goroutine.
	Disconnected func() bool
}

// Result is the result of an attempt or a health check.
type Result struct {
	Status   balancer.Status
	Endpoint uint32        // endpoint that served the attempt; 0 for the one that it was sent to
	Settled  bool          // the client has already been answered without the engine
	Header   http.Header   // set, like Body, only for a complete response with status 200
	Body     []byte        // at most httpmsg.MaxBodyBytes bytes
	Load     []float32     // in the order of the settings' fields; NaN where unknown
	Duration time.Duration // of a health check, from writing it to its end, without connecting
}

// Response is the final answer to a request.
type Response struct {
	Code       int             // 200 served; 503 rejected, a retry is harmless; 502 failed
	RetryAfter balancer.Micros // 0 if no delay is advised
	Header     http.Header
	Body       []byte
}

// Decider is the part of *balancer.Balancer that the engine uses. Its methods are called on the
// engine's goroutine.
type Decider interface {
	Start(now balancer.Micros)
	UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint)
	HandleRequest(now balancer.Micros, in balancer.Request)
	AttemptCompleted(now balancer.Micros, o balancer.Outcome)
	ClientDisconnected(now balancer.Micros, id uint64)
	Expire(now balancer.Micros, id uint64)
	TimerFired(now balancer.Micros, token uint32)
	ProbeCompleted(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32)
	Configure(classes []balancer.Class, budgets []balancer.RetryBudget) error
}

// Admission decides, before the balancer does, whether a request is admitted. Its methods are
// called on the engine's goroutine.
type Admission interface {
	// Admit decides on a request. If ok is false, the client may retry after retryAfter.
	Admit(now balancer.Micros, in *balancer.Request) (retryAfter balancer.Micros, ok bool)
	// Release is called for an admitted request once it has its final answer or its client
	// has disconnected.
	Release(in *balancer.Request)
}

// Subset selects the servers of a fleet that the engine uses. Its methods are called on the
// engine's goroutine.
type Subset interface {
	// Add adds a ready server.
	Add(subset.Server)
	// Remove removes a server that is no longer ready.
	Remove(name string)
	// ObserveLoad records the number of requests in flight. It reports whether Select should be
	// called.
	ObserveLoad(now time.Time, inflight float64) bool
	// ObserveOutcome records whether a server answered. It reports whether Select should be called.
	ObserveOutcome(name string, answered bool) bool
	// Select computes a new selection and returns the changes.
	Select() (added, removed []string)
	// Contains reports whether a server is selected.
	Contains(name string) bool
}

// KeyLeases agrees with other instances, before a request with an idempotency key is sent, on which
// servers it may be sent to. Its methods are called on the engine's goroutine, must not block and
// must not call back into the engine synchronously.
type KeyLeases interface {
	// Covers reports whether keys of a class must be leased.
	Covers(class uint8) bool
	// Acquire requests a lease of a request's key for a group of servers. The callback is called
	// once, in a separate event posted by Engine.Post.
	Acquire(req LeaseRequest, decided func(now balancer.Micros, decision LeaseDecision))
	// Release reports that no attempt sent under this lease can have run, and none will be sent.
	Release(req LeaseRequest)
}

// LeaseRequest is a request's key with the group of servers that the request is to be sent to.
type LeaseRequest struct {
	Class    uint8
	Key      string    // idempotency key
	Request  uint64    // number of the request, unique at this instance
	Term     uint64    // counts the request's leases from 1; a later one revokes the earlier ones
	Group    string    // group of servers that deduplicates requests of the class
	Deadline time.Time // a decision after this time is useless
}

// LeaseDecision is the answer to a LeaseRequest.
type LeaseDecision struct {
	Outcome LeaseOutcome
	Group   string    // for LeaseShared: the group that the request may be sent to
	Since   time.Time // for LeaseShared: no attempt of another instance started earlier
	Reason  string    // for LeaseDenied
}

// LeaseOutcome is the kind of a LeaseDecision.
type LeaseOutcome uint8

// The kinds of decisions.
const (
	LeaseExclusive LeaseOutcome = iota // no other instance has sent the request: it may be sent
	LeaseShared                        // another may have sent it: it may go to Group, as one that may have run
	LeaseDenied                        // unknown whether another has sent it: it must not be sent; the answer is 502
)
