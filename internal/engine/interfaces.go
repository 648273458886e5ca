package engine

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"pinedale/balancer"
	"pinedale/internal/subset"
)

// A Carrier carries out the attempts of one request. Both methods are called on the engine's
// goroutine, must not block, and must not call back into the engine.
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
	// Retire is called on the engine's goroutine after Target.Close: what the upstream keeps
	// for the target is to be released.
	Retire(*Target)
	// Prune releases what has been idle for too long. It is called every second.
	Prune()
}

// A Source supplies the endpoint list.
type Source interface {
	// Watch reports what is newer than the version after, and first a snapshot if after is
	// nil, until ctx ends or it fails. Before it returns an error it reports
	// balancer.ListFailed. It returns the version to continue from.
	Watch(ctx context.Context, after *uint64, notify func(balancer.ListKind, List)) (*uint64, error)
	// Close releases the source's resources. The context of its watch has ended.
	Close()
}

// Message is a request as it is sent to endpoints, any number of times.
type Message struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // X-Time-Left-Ms is written for each attempt
	Body   []byte

	// Context ends once nobody waits for an answer any more. What has not been written by then
	// is not written, whatever the settings say on cancelling attempts. nil never ends.
	Context context.Context
	// Disconnected, where set, looks at the client's connection itself: Context may end late where
	// processor time is short. It does not block, and may be called from any goroutine.
	Disconnected func() bool
}

// Result is the result of an attempt or a health check.
type Result struct {
	Status   balancer.Status
	Endpoint uint32        // that served the attempt, 0 if it is the one it was sent to
	Settled  bool          // the client has its answer by another way than the engine's
	Header   http.Header   // of a complete answer 200, as is Body
	Body     []byte        // at most httpmsg.BodyMost bytes
	Load     []float32     // in the order of the settings' fields; NaN where unknown
	Duration time.Duration // of a health check, from the write to the end, without connecting
}

// Response is the final answer to a request.
type Response struct {
	Code       int             // 200 served; 503 rejected, a retry is harmless; 502 failed
	RetryAfter balancer.Micros // 0 if there is no advice
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

// Admission decides, before the balancer does, whether a request is admitted at all. Its methods
// are called on the engine's goroutine.
type Admission interface {
	// Admit decides on a request. If ok is false, the client may retry after retryAfter.
	Admit(now balancer.Micros, in *balancer.Request) (retryAfter balancer.Micros, ok bool)
	// Release is called for an admitted request once it has its final answer or its client
	// has disconnected.
	Release(in *balancer.Request)
}

// Subset selects the servers of a fleet that are used. Its methods are called on the engine's
// goroutine.
type Subset interface {
	// Add adds a server that is ready.
	Add(subset.Server)
	// Remove removes a server that is not ready any more.
	Remove(name string)
	// ObserveLoad takes in the number of requests in flight, and reports whether Select would
	// now select differently.
	ObserveLoad(now time.Time, inflight float64) bool
	// ObserveOutcome takes in whether a server answered, and reports the same.
	ObserveOutcome(name string, answered bool) bool
	// Select selects anew and returns the changes.
	Select() (added, removed []string)
	// Contains reports whether a server is selected.
	Contains(name string) bool
}

// KeyLeases agrees with other instances on where a request with an idempotency key may go before
// it is sent. Its methods are called on the engine's goroutine, must not block and must not call
// back from within.
type KeyLeases interface {
	// Covers reports whether keys of a class are leased.
	Covers(class uint8) bool
	// Acquire requests a lease of a request's key for a group of servers. The callback is called
	// once, by an Engine.Post of its own.
	Acquire(c LeaseRequest, decided func(now balancer.Micros, v LeaseDecision))
	// Release reports that nothing sent under this lease can have run, and nothing will be sent.
	Release(c LeaseRequest)
}

// LeaseRequest names a request's key and the group of servers that the request is to go to.
type LeaseRequest struct {
	Class    uint8
	Key      string    // idempotency key
	Request  uint64    // number of the request, unique at this instance
	Term     uint64    // of the request's leases, from 1; a later one revokes the earlier ones
	Group    string    // group of servers that deduplicates requests of the class
	Deadline time.Time // when a decision is of no more use
}

// LeaseDecision is the answer to a LeaseRequest.
type LeaseDecision struct {
	Outcome LeaseOutcome
	Group   string    // of LeaseShared: where the request may go
	Since   time.Time // of LeaseShared: no attempt of another instance is older
	Reason  string    // of LeaseDenied
}

// LeaseOutcome is the kind of a LeaseDecision.
type LeaseOutcome uint8

// The kinds of decisions.
const (
	LeaseExclusive LeaseOutcome = iota // no other instance has sent the request: it may be sent
	LeaseShared                        // another may have: it may go to Group, as one that may have run
	LeaseDenied                        // unknown whether another has: it must not be sent, and is answered with 502
)
