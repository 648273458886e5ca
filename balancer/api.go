package balancer

// Micros is an instant or a duration in microseconds. Instants count from an arbitrary origin that the host, the
// program that calls the balancer, chooses. The host's clock must never run backwards.
type Micros = int64

// State is the state of an endpoint as reported by discovery.
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
	StableID  uint64 // the same at every balancer; 0 if ID is the same at every balancer
	Zone      uint8
	Kind      uint8
	Cell      uint16
	State     State
	Weight    float32
	Pools     uint64 // bit n-1 is set for an endpoint in pool n
	StartTime Micros // when its process started; 0 if unknown or long ago
}

// ListKind states how the entries of a membership event are to be interpreted.
type ListKind uint8

// The kinds of membership event.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list from a cache, possibly out of date
	ListFailed                 // a poll of discovery failed; no entries
	ListLocal                  // changed entries supplied by the host rather than by discovery
	ListPart                   // changed entries of a list of which further parts follow
)

// Request is a client's request. It gets exactly one final answer: the outcome of an attempt, if that is OK or Settled,
// or else Actions.Reject or Actions.Fail.
type Request struct {
	ID          uint64
	Key         uint64
	Deadline    Micros // the instant at which the client stops waiting
	WorkHint    Micros // expected work; valid if HasWorkHint
	HasWorkHint bool
	ClientRetry bool // the client marked the request as a retry
	Write       bool
	Tenant      uint16
	Class       uint8
	MaxAttempts int  // lowers Limits.MaxAttempts; 0 for no lower limit
	NoHedging   bool // the request is never hedged, even if the limits permit it

	AttemptTimeout Micros // timeout of one attempt; 0 for all the time until the deadline
	HedgeDelay     Micros // delay after which a pending first attempt is hedged; 0 for the class's HedgeQuantile
	Budget         uint16 // index into Settings.Budgets, counted from 1; 0 for the shared budget
	Pool           uint8  // pool that the request is restricted to, 1 to 64; 0 for all endpoints

	// IdempotencyKey identifies the effect of a request whose class has idempotency keys: requests of one class with the
	// same value have one effect. 0 if unknown: the effect is then taken to be that of this request alone.
	IdempotencyKey uint64

	// MayHaveRun is set if an attempt with the same effect was made before this request was received and may have
	// run. PreviousAttempt then counts as the first attempt.
	MayHaveRun      bool
	PreviousAttempt PreviousAttempt
}

// PreviousAttempt is an attempt made before the balancer received the request.
type PreviousAttempt struct {
	At   Micros
	Zone uint8
	Cell uint16
}

// Status is the result of an attempt or a probe.
type Status uint8

// The results of an attempt. Full, ConnectFailed and NotSent prove that the attempt never ran; after any other result
// except OK it may have run.
const (
	OK            Status = iota
	Error                // an error returned by the endpoint
	Full                 // rejected without being read
	Timeout              // no answer within the timeout
	ConnectFailed        // no connection established in time
	Reset                // the connection broke
	Cancelled            // cancelled by the balancer
	NotSent              // not written to a connection
)

// Outcome is the result of an attempt. Load is valid only during the call, and no decision reads it.
type Outcome struct {
	ID       uint64
	Attempt  int    // index of the attempt in the order of sending, from 0
	Endpoint uint32 // the endpoint that handled the attempt, which may differ from the one it was sent to
	Status   Status
	Latency  Micros
	Settled  bool // the request has its final answer
	Load     []float32
}

// Actions is implemented by the host to carry out the decisions of a balancer. The methods are called from within event
// methods, in the order in which the actions are to take effect.
type Actions interface {
	// Send starts an attempt; a timeout of 0 means until the client's deadline. The attempt must be written by the
	// instant that the parameter by gives, or not at all: if it were written later, it could have a second effect, or
	// its answer would come too late.
	Send(id uint64, endpoint uint32, timeout, by Micros)
	// Reject gives a final answer that guarantees that a retry is harmless.
	Reject(id uint64, retryAfter Micros)
	// Fail gives a final answer without that guarantee.
	Fail(id uint64)
	// Cancel cancels an attempt; its outcome must still be reported.
	Cancel(id uint64, attempt int)
	// Timer requests a call of TimerFired with this token after a delay.
	Timer(delay Micros, token uint32)
	// Probe requests a load report from an endpoint.
	Probe(endpoint uint32)
	// Watch starts or ends the subscription to discovery.
	Watch(on bool)
	// Log records an event for on-call staff: a fixed message, then alternating keys and values as in log/slog.
	Log(event string, attributes ...any)
}

// Balancer makes the decisions of one sidecar. Create it with New. It is not safe for concurrent use.
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

// New returns a balancer, or a *SettingError if a setting is invalid. Start must be called before any other method.
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

// Configure replaces classes and budgets. Since requests in flight keep their class, a class keeps its index and only
// its Retired field may change. A budget keeps its balance. On an error, which names the invalid setting, nothing
// changes.
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
				Reason: "must not change except for Retired: requests in flight may belong to the class"}
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
