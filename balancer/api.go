package balancer

// Micros is an instant or a duration in microseconds. Instants share an arbitrary origin that the host chooses; its
// clock never runs backwards.
type Micros = int64

// State is the state of an endpoint, by discovery.
type State uint8

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        uint32
	StableID  uint64 // the same at every balancer; 0 where ID is that
	Zone      uint8
	Kind      uint8
	Cell      uint16
	State     State
	Weight    float32
	Pools     uint64 // bit n-1 is set for an endpoint in pool n
	StartTime Micros // of its process; 0 if unknown or long ago
}

// ListKind is how the entries of a membership event are to be read.
type ListKind uint8

// The kinds of membership event.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list from a cache, perhaps out of date
	ListFailed                 // a poll of discovery failed; no entries
	ListLocal                  // changed entries of the host, not of discovery
	ListPart                   // changed entries of a list of which more follow
)

// Request is a client's request. It has exactly one final answer: an outcome that settles it, Actions.Reject or
// Actions.Fail.
type Request struct {
	ID          uint64
	Key         uint64
	Deadline    Micros // the instant at which the client stops waiting
	WorkHint    Micros // expected work; valid if HasWorkHint
	HasWorkHint bool
	ClientRetry bool // the client marked it as a retry
	Write       bool
	Tenant      uint16
	Class       uint8
	MaxAttempts int  // lowers Limits.MaxAttempts; 0 for no lower limit
	NoHedging   bool // it is not hedged, whatever the limits permit

	AttemptTimeout Micros // of one attempt; 0 for all that remains
	HedgeDelay     Micros // after which a pending first attempt is hedged; 0 for the default
	Budget         uint16 // of Settings.Budgets, counted from 1; 0 for the common one
	Pool           uint8  // to which it is restricted, 1 to 64; 0 for all endpoints

	// MayHaveRun is set if an attempt at the same effect was made before this request was taken, and may have
	// run: PreviousAttempt counts as the first attempt.
	MayHaveRun      bool
	PreviousAttempt PreviousAttempt
}

// PreviousAttempt is an attempt made before a request was taken.
type PreviousAttempt struct {
	At   Micros
	Zone uint8
	Cell uint16
}

// Status is how an attempt or a probe ended.
type Status uint8

// The ends of an attempt. Full, ConnectFailed and NotSent prove that it never ran; after the others but OK it may
// have run.
const (
	OK            Status = iota
	Error                // an error returned by the endpoint
	Full                 // rejected without being read
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // by the balancer
	NotSent              // never sent
)

// Outcome is the end of an attempt. Load is valid during the call only.
type Outcome struct {
	ID       uint64
	Attempt  int    // index of the attempt, counted from 0 as sent
	Endpoint uint32 // that had it, which may differ from the one it was sent to
	Status   Status
	Latency  Micros
	Settled  bool // the request has its final answer
	Load     []float32
}

// Actions is what a balancer asks of its host. It is called from within event methods, in the order in which the
// actions are to take effect.
type Actions interface {
	// Send starts an attempt; a timeout of 0 means until the client's deadline. It must be written by the instant
	// by, or not at all: later it could have a second effect, or nobody would wait for its answer.
	Send(id uint64, endpoint uint32, timeout, by Micros)
	// Reject is a final answer that promises that a retry is harmless.
	Reject(id uint64, retryAfter Micros)
	// Fail is a final answer that promises nothing.
	Fail(id uint64)
	// Cancel cancels an attempt; its outcome is still reported.
	Cancel(id uint64, attempt int)
	// Timer asks for TimerFired with this token after a delay.
	Timer(delay Micros, token uint32)
	// Probe asks an endpoint for a load report.
	Probe(endpoint uint32)
	// Watch subscribes to discovery, or ends the subscription.
	Watch(on bool)
	// Log records an event for on-call staff: a fixed message, then alternating keys and values, as in log/slog.
	Log(event string, attributes ...any)
}

// Balancer decides for one sidecar. Make one with New. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	actions  Actions
	random   randomSource

	ledger    ledger
	endpoints endpointSet
	recent    recentlyUsed
	probes    probePool
	discovery discoveryPolling
	budgets   budgets
	classes   []classStats // by Class of a request
	tenants   []meter      // requests sent, by Tenant of a request
	traffic   traffic
	reports   reportQuality
	estimates estimates
	trend     latencyTrend
	keys      keyAffinity

	logged map[event]eventCount
}

// New returns a balancer, or a *SettingError. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:  s,
		actions:   out,
		random:    randomSource(seed),
		ledger:    ledger{requests: map[uint64]*request{}},
		endpoints: newEndpointSet(s.Zone, s.KeyAffinity),
		tenants:   make([]meter, len(s.Tenants)),
		logged:    map[event]eventCount{},
	}
	b.addRecords(s.Classes, s.Budgets)
	return b, nil
}

// Configure replaces classes and budgets. Requests in flight keep their class: a class keeps its index and may
// change Retired alone. A budget keeps its balance. An error names the invalid setting, and changes nothing.
func (b *Balancer) Configure(classes []Class, budgets []RetryBudget) error {
	next := b.settings
	next.Classes, next.Budgets = classes, budgets
	if err := next.Validate(); err != nil {
		return err
	}
	for i, class := range b.settings.Classes {
		if i < len(classes) {
			class.Retired = classes[i].Retired
		}
		if i >= len(classes) || class != classes[i] {
			return &SettingError{Key: "Classes", Value: class.Name,
				Reason: "must not change while requests in flight may be of it"}
		}
	}
	b.settings = next
	b.addRecords(classes, budgets)
	return nil
}

// addRecords adds the records of new classes and budgets.
func (b *Balancer) addRecords(classes []Class, budgets []RetryBudget) {
	for i := len(b.classes); i < len(classes); i++ {
		objective := float64(classes[i].LatencyObjective)
		hedging := indicator(classes[i].HedgeQuantile > 0)
		b.classes = append(b.classes, classStats{
			work:         ewma{value: objective / 5, seen: true},
			hedgeLatency: ewma{value: objective * hedging},
		})
	}
	for i, budget := range budgets {
		if i == len(b.budgets.named) {
			b.budgets.named = append(b.budgets.named, budget.Burst)
		}
		b.budgets.named[i] = min(b.budgets.named[i], budget.Burst)
	}
}
