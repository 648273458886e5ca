// Package balancer makes the decisions of a client-side sidecar load balancer: to which endpoint a request goes,
// whether it is retried, hedged or rejected, which endpoints are probed, and when discovery is polled.
//
// A Balancer is a deterministic state machine. It does no I/O, starts no goroutine and reads no clock: its host
// calls one method per event, with the instant of the event, from one goroutine at a time, and carries out the
// Actions that the balancer calls before the method returns. The same seed and the same events give the same
// actions. All state is in memory and is lost with the process.
//
// Events: Start, HandleRequest, ResponseStarted, AttemptCompleted, ClientDisconnected and Expire for requests;
// UpdateEndpoints for discovery; ProbeCompleted for probes; TimerFired for timers that the balancer has set.
//
// Actions: Send, Cancel, Reject and Fail for requests; Probe; Watch for discovery; Timer; Log.
//
// Rules, which hold whatever the statistics say, and stand in balancer.go:
//
//   - No request has its effect twice: an attempt that may have run is repeated only as its class's Idempotency
//     permits, within the group and the window that drop repeats.
//   - No request is lost: each has exactly one final answer, at its deadline at the latest.
//   - A draining or removed endpoint is sent nothing.
//   - An endpoint in slow start is sent no more than its part of the fleet's traffic.
//
// Decisions, by file:
//
//   - balancer.go: start, the rules, and the one function that sends.
//   - attempts.go: what happens to a new request and after an attempt; retries and their budget.
//   - rejection.go: which requests come too late to be worth their work, and their Retry-After; priorities.
//   - hedging.go: planned hedges, and hedges of attempts that seem dropped; deadlines.
//   - pick.go: choice of an endpoint among probed, random, recently used and key-owning ones.
//   - prediction.go: the latency expected of an endpoint.
//   - learning.go: what an outcome teaches about endpoint, kind, fleet and class.
//   - probes.go: probing in rounds and on demand, and load reports, after Prequal (Wydrowski et al., "Load is not
//     what you should balance", NSDI 2024).
//   - breaker.go: the adaptive breaker of go-zero. ejection.go: outlier ejection.
//   - slowstart.go: slow start of new processes. members.go: membership. polling.go: polling of discovery.
//   - keys.go: owners of keys, for endpoints that cache by key.
//
// Types of events, actions and settings stand in api.go. Files that hold records and decide nothing: ledger.go for
// requests and attempts, endpoints.go, budgets.go, probe_pool.go, key_records.go, breaker_window.go, estimates.go for
// what outcomes teach, averages.go, random.go and eventlog.go.
// Times are in microseconds, rates per second, ratios from 0 to 1. Work is the time in microseconds that a request
// takes at a mean endpoint without a queue; slowness is the time per work at an endpoint, 1 at the mean one.
package balancer

import "fmt"

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

// Idempotency is what a second run of a request of a class would do.
type Idempotency uint8

// The three kinds of class.
const (
	Idempotent        Idempotency = iota // a second run has no effect
	IdempotentWithKey                    // a group of endpoints drops repeats within a window
	NotIdempotent                        // a second run has a second effect
)

// Group is the set of endpoints that drops repeats of a request with an idempotency key.
type Group uint8

// The groups of a class with idempotency keys.
const (
	GroupAll  Group = iota // every endpoint
	GroupZone              // the endpoints of one zone
	GroupCell              // the endpoints of one cell
)

// Field is one figure of a load report.
type Field uint8

// The figures that a load report may carry. FieldOther is unknown to this version
// and skipped.
const (
	FieldOther       Field = iota
	FieldInFlight          // requests in flight at the endpoint
	FieldQueue             // requests in its queue
	FieldUtilization       // ratio of its cores in use
	FieldLatency           // recent service time in milliseconds
	FieldServed            // requests served per second
	FieldErrors            // errors per second
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	Group            Group   // with IdempotentWithKey only
	DedupWindow      Micros  // with IdempotentWithKey only: how long the group drops repeats
	LatencyObjective Micros  // an answer within this time has the full weight
	ClientTimeout    Micros  // over all attempts of the client, its retries included
	PriorityWeight   float64 // of one request, or of one unit of work with WeightByWork
	LateWeightRatio  float64 // ratio of the weight that a later answer has
	HedgeQuantile    float64 // of its latencies, after which a request is hedged; 0 for never
	Retired          bool    // no new request is of this class
	Streaming        bool    // answers are streamed: ResponseStarted announces them
}

// Tenant describes one tenant. No decision reads Share.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all balancers
	Share float64
}

// RetryBudget is a token bucket that bounds retries of requests that may have run: each request that has the
// budget earns EarnRatio of a retry, up to Burst.
type RetryBudget struct{ EarnRatio, Burst float64 }

// Limits holds what the deployment permits. No decision reads PeerMessages and DialTimeout.
type Limits struct {
	Cancel, Probes, Hedging, RetryAfter, PeerMessages bool

	MaxAttempts   int    // attempts per request
	MaxOpen       int    // requests without final answer per balancer
	MaxRetryAfter Micros // the longest Retry-After that clients honour
	DialTimeout   Micros
	KeepAlive     Micros // how long endpoints keep an idle connection; 0 where connections do not matter
}

// Contract holds the figures of the rules. No decision reads DrainGrace and AnswerSlack: nothing is sent to a
// draining endpoint, and final answers are given by the deadline.
type Contract struct {
	DrainGrace       Micros
	SlowStartRatio   float64 // of its capacity that an endpoint has at its start
	SlowStartTime    Micros  // after which it has all of its capacity
	OverloadMultiple float64 // of its present capacity, which overloads an endpoint in slow start
	OverloadTime     Micros  // if it is sent that for so long
	PollInterval     Micros  // a balancer without subscription must poll discovery this often
	AnswerSlack      Micros
}

// Prices holds the cost of events, as a ratio of the weight of a request. No decision reads Waste and LateFail.
type Prices struct {
	CrossZone, Probe, Waste, LateFail float64
}

// Goal holds the weights of the parts of the result. No decision reads WorstTenant.
type Goal struct {
	Overall, WorstWindow, WorstClass, WorstTenant float64
}

// Settings is the configuration of a balancer. No decision reads Position, Zones and Kinds.
type Settings struct {
	Balancers     int // in this tier, including this one
	Position      int // of this balancer among them
	Zone          int // of this balancer
	Zones         int
	Kinds         int  // of machine
	PollDiscovery bool // discovery must be polled: it sends nothing unasked

	Classes []Class
	Tenants []Tenant
	Budgets []RetryBudget // that requests may name in place of the common one
	Fields  []Field       // of a load report, in order

	Limits               Limits
	Contract             Contract
	Prices               Prices
	Goal                 Goal
	Tick                 Micros  // the shortest time between two batches of events
	OverQuotaWeightRatio float64 // of the weight of a request whose tenant is over its quota
	WeightByWork         bool    // weight is per unit of work, not per request
	KeyAffinity          bool    // an endpoint that has lately served a key does less work for it
}

// SettingError reports an invalid setting.
type SettingError struct {
	Key    string // path of the field, as in Classes[0].LatencyObjective
	Value  string
	Reason string
}

// Error names the setting, its value and the reason.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first invalid setting.
func (s *Settings) Validate() error {
	var err error
	check := func(ok bool, key string, value any, reason string) {
		if !ok && err == nil {
			err = &SettingError{Key: key, Value: fmt.Sprint(value), Reason: reason}
		}
	}
	check(s.Balancers >= 1, "Balancers", s.Balancers, "must be at least 1")
	check(s.Position >= 0, "Position", s.Position, "must not be negative")
	check(s.Zone >= 0, "Zone", s.Zone, "must not be negative")
	check(s.Kinds >= 0, "Kinds", s.Kinds, "must not be negative")
	check(s.Tick >= 0, "Tick", s.Tick, "must not be negative")
	check(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
	for i, class := range s.Classes {
		key := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(class.Idempotency <= NotIdempotent, key("Idempotency"), class.Idempotency, "not a known kind")
		check(class.Group <= GroupCell, key("Group"), class.Group, "not a known group")
		check(class.DedupWindow >= 0, key("DedupWindow"), class.DedupWindow, "must not be negative")
		check(class.LatencyObjective > 0, key("LatencyObjective"), class.LatencyObjective, "must be positive")
		check(class.ClientTimeout > 0, key("ClientTimeout"), class.ClientTimeout, "must be positive")
		check(class.PriorityWeight >= 0, key("PriorityWeight"), class.PriorityWeight, "must not be negative")
		check(class.HedgeQuantile >= 0 && class.HedgeQuantile < 1, key("HedgeQuantile"), class.HedgeQuantile,
			"must be in 0..1, not 1")
		check(class.LateWeightRatio >= 0 && class.LateWeightRatio <= 1, key("LateWeightRatio"), class.LateWeightRatio,
			"must be in 0..1")
	}
	for i, budget := range s.Budgets {
		check(budget.EarnRatio >= 0 && budget.Burst >= 0, fmt.Sprintf("Budgets[%d]", i), budget, "must not be negative")
	}
	for i, tenant := range s.Tenants {
		key := fmt.Sprintf("Tenants[%d].Quota", i)
		check(tenant.Quota >= 0, key, tenant.Quota, "must not be negative")
	}
	for _, weight := range [...]float64{s.Goal.Overall, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant} {
		check(weight >= 0, "Goal", weight, "must not be negative")
	}
	check(s.OverQuotaWeightRatio >= 0, "OverQuotaWeightRatio", s.OverQuotaWeightRatio, "must not be negative")
	limits, contract, prices := &s.Limits, &s.Contract, &s.Prices
	check(limits.MaxAttempts >= 1, "Limits.MaxAttempts", limits.MaxAttempts, "must be at least 1")
	check(limits.MaxOpen >= 1, "Limits.MaxOpen", limits.MaxOpen, "must be at least 1")
	check(limits.MaxRetryAfter >= 0, "Limits.MaxRetryAfter", limits.MaxRetryAfter, "must not be negative")
	check(limits.KeepAlive >= 0, "Limits.KeepAlive", limits.KeepAlive, "must not be negative")
	check(limits.DialTimeout >= 0, "Limits.DialTimeout", limits.DialTimeout, "must not be negative")
	check(contract.DrainGrace >= 0, "Contract.DrainGrace", contract.DrainGrace, "must not be negative")
	check(contract.SlowStartRatio > 0 && contract.SlowStartRatio <= 1, "Contract.SlowStartRatio",
		contract.SlowStartRatio, "must be in 0..1, not 0")
	check(contract.SlowStartTime >= 0, "Contract.SlowStartTime", contract.SlowStartTime, "must not be negative")
	check(contract.OverloadMultiple > 0, "Contract.OverloadMultiple", contract.OverloadMultiple, "must be positive")
	check(contract.OverloadTime >= 0, "Contract.OverloadTime", contract.OverloadTime, "must not be negative")
	check(contract.PollInterval >= 0, "Contract.PollInterval", contract.PollInterval, "must not be negative")
	check(contract.AnswerSlack >= 0, "Contract.AnswerSlack", contract.AnswerSlack, "must not be negative")
	check(prices.CrossZone >= 0, "Prices.CrossZone", prices.CrossZone, "must not be negative")
	check(prices.Probe >= 0, "Prices.Probe", prices.Probe, "must not be negative")
	check(prices.Waste >= 0, "Prices.Waste", prices.Waste, "must not be negative")
	check(prices.LateFail >= 0, "Prices.LateFail", prices.LateFail, "must not be negative")
	return err
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

	lastLogged map[string]Micros // by event
}

// New returns a balancer, or a *SettingError. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:   s,
		actions:    out,
		random:     randomSource(seed),
		ledger:     ledger{requests: map[uint64]*request{}},
		endpoints:  endpointSet{byID: map[uint32]*endpoint{}},
		tenants:    make([]meter, len(s.Tenants)),
		lastLogged: map[string]Micros{},
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
