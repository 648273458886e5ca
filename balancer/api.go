package balancer

import "fmt"

// Micros is an instant or a duration in microseconds. Instants share one
// arbitrary origin chosen by the host; the host's clock never runs backwards.
type Micros = int64

// State is what discovery says of an endpoint.
type State uint8

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	ID        uint32
	StableID  uint64 // a number that is the same at every balancer; 0 where ID is
	Zone      uint8
	Kind      uint8
	Cell      uint16
	State     State
	Weight    float32
	Pools     uint64 // one bit for each pool that it is in
	StartTime Micros // of its latest start; 0 for long ago
}

// ListKind says how the entries of a membership event are to be read.
type ListKind uint8

// The kinds of membership event.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list as last held; perhaps old
	ListFailed                 // a call of discovery failed; no entries
	ListHost                   // entries that the host itself changes: discovery has said nothing
)

// Request is a client's request. One final answer is owed for it: an outcome
// that settles it, a refusal or a failure.
type Request struct {
	ID          uint64
	Key         uint64
	Deadline    Micros // the instant at which the client gives this try up
	WorkHint    Micros // expected work; used if HasHint
	HasWorkHint bool
	ClientRetry bool // the client marked it as a repetition
	Write       bool
	Tenant      uint16
	Class       uint8
	MaxAttempts int  // at most so many, where that is fewer than the limits permit; 0 for as many
	NoHedging   bool // no second copy beside an attempt that is out, whatever the limits permit

	AttemptTimeout Micros // the most time for one attempt; 0 for all that is left
	HedgeDelay     Micros // a second copy is sent once the first attempt is out for so long; 0 for no such
	Budget         uint16 // of Settings.Budgets, from 1; 0 for the one for all
	Pool           uint8  // only endpoints of this pool may have it, from 1 to 64; 0 for all

	// MayHaveRun says that an attempt at the same effect was made before this
	// request was taken, which may have run: it counts as the first attempt does.
	MayHaveRun      bool
	PreviousAttempt PreviousAttempt
}

// PreviousAttempt is an attempt made before a request was taken.
type PreviousAttempt struct {
	At   Micros
	Zone uint8
	Cell uint16
}

// Status says how an attempt or a probe ended.
type Status uint8

// The ways an attempt may end. Full, ConnectFailed and Moot prove that it
// never ran; all others but OK leave that open.
const (
	OK            Status = iota
	Error                // an error returned by the endpoint
	Full                 // turned away unseen
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // withdrawn by the balancer
	NotSent              // never sent
)

// Outcome tells how an attempt ended. Load is valid during the call only.
type Outcome struct {
	ID       uint64
	Attempt  int    // the attempts of a request count from 0 as sent
	Endpoint uint32 // that had it: what carries attempts out may have gone elsewhere than it was told
	Status   Status
	Latency  Micros
	Settled  bool // the request has its final answer
	Load     []float32
}

// Actions is what a balancer asks of its host. Calls come from within event
// methods, in the order in which they are to take effect.
type Actions interface {
	// Send starts an attempt; timeout 0 means until the client's deadline. It must have been written by the
	// instant by, or not at all: later it could be a second effect, or nobody would wait for its answer.
	Send(id uint64, endpoint uint32, timeout, by Micros)
	// Reject is a final answer that promises that a retry is harmless.
	Reject(id uint64, retryAfter Micros)
	// Fail is a final answer that promises nothing.
	Fail(id uint64)
	// Cancel stops waiting for an attempt; its outcome still comes.
	Cancel(id uint64, attempt int)
	// Timer asks for a Timer event with this token after delay.
	Timer(delay Micros, token uint32)
	// Probe asks an endpoint for its load.
	Probe(endpoint uint32)
	// Watch subscribes to discovery's changes, or ends that.
	Watch(on bool)
	// Log records an event for on-call staff: a fixed message, then keys and values as log/slog takes them.
	Log(event string, attributes ...any)
}

// Idempotency says what a second run of a request of a class would do.
type Idempotency uint8

// The three kinds of class.
const (
	Idempotent        Idempotency = iota // a repeat is harmless
	IdempotentWithKey                    // a group of endpoints drops repeats for a while
	NotIdempotent                        // a repeat would have a second effect
)

// Group is the set of endpoints that drops repeats of a keyed request.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll  Group = iota // every endpoint
	GroupZone              // the endpoints of one zone
	GroupCell              // the endpoints of one cell
)

// Field names one figure of a load report.
type Field uint8

// The figures that a load report may carry. FieldOther is one that this
// version does not know; it is skipped.
const (
	FieldOther    Field = iota
	FieldInflight       // requests that the endpoint holds
	FieldQueue          // requests that wait there
	FieldUtil           // share of its cores in use
	FieldLatency        // recent service time in milliseconds
	FieldServed         // requests served a second
	FieldErrors         // errors a second
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	Group            Group   // keyed only
	DedupWindow      Micros  // keyed only: how long the group remembers
	LatencyObjective Micros  // an answer within this time earns the full worth
	ClientTimeout    Micros  // the client's patience over all its tries
	PriorityWeight   float64 // of one request
	LateWeightRatio  float64 // share of the worth earned after the aim
	HedgeQuantile    float64 // quantile of its latencies after which a second copy is sent; 0 for no such
	Retired          bool    // no request of it comes any more
	Streaming        bool    // answers are streamed: Headers announces them
}

// Tenant describes one tenant and its share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all balancers
	Share float64
}

// RetryBudget bounds how often requests are sent again after they may have run: each request
// that has the budget earns a share of a retry, up to the burst.
type RetryBudget struct{ EarnRatio, Burst float64 }

// Limits holds what the deployment permits. Tell and DialTimeout are checked
// but no decision reads them.
type Limits struct {
	Cancel, Probes, Hedging, RetryAfter, PeerMessages bool

	MaxAttempts   int    // attempts a request
	MaxOpen       int    // open requests a balancer
	MaxRetryAfter Micros // the longest wait that clients honour
	DialTimeout   Micros
	KeepAlive     Micros // for how long endpoints keep an idle connection; 0 where nothing follows from it
}

// Contract holds the figures of the rules. DrainGrace and AnswerSlack are
// checked but no decision reads them: nothing new is sent to a draining
// endpoint, and answers leave by the deadline.
type Contract struct {
	DrainGrace       Micros
	SlowStartRatio   float64 // an endpoint starts at no less than this share
	SlowStartTime    Micros  // and is warm no later than this
	OverloadMultiple float64 // of its present capacity, sent for OverloadFor,
	OverloadTime     Micros  // makes a cold endpoint fall over
	PollInterval     Micros  // a balancer without subscription must ask this often
	AnswerSlack      Micros
}

// Prices holds what is taken off the result, each for its rate per request.
// No decision reads Waste and LateFail.
type Prices struct {
	CrossZone, Probe, Waste, LateFail float64
}

// Goal holds the weights of what the users judge. No decision reads WorstTenant.
type Goal struct {
	Overall, WorstWindow, WorstClass, WorstTenant float64
}

// Settings is all that a balancer is told at its start. No decision reads
// Position, Zones and Kinds.
type Settings struct {
	Balancers     int // in this tier, this one included
	Position      int // of this one among them
	Zone          int // of this one
	Zones         int
	Kinds         int  // of machines
	PollDiscovery bool // discovery answers only when asked

	Classes []Class
	Tenants []Tenant
	Budgets []RetryBudget // that requests may have in place of the one for all
	Fields  []Field       // of a load report, in order

	Limits               Limits
	Contract             Contract
	Prices               Prices
	Goal                 Goal
	Tick                 Micros // the least time between two rounds of events
	OverQuotaWeightRatio float64
	WeightByWork         bool // worth counts per unit of work, not per request
	KeyAffinity          bool // an endpoint that has lately served a key does less work for it
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Value, Reason string }

// Error says which setting is wrong, and how.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first setting that makes no sense.
func (s *Settings) Validate() error {
	var err error
	check := func(ok bool, key string, value any, reason string) {
		if !ok && err == nil {
			err = &SettingError{key, fmt.Sprint(value), reason}
		}
	}
	check(s.Balancers >= 1, "Balancers", s.Balancers, "must be at least 1")
	check(s.Position >= 0, "Position", s.Position, "must not be negative")
	check(s.Zone >= 0, "Zone", s.Zone, "must not be negative")
	check(s.Kinds >= 0, "Kinds", s.Kinds, "must not be negative")
	check(s.Tick >= 0, "Tick", s.Tick, "must not be negative")
	check(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
	for i, c := range s.Classes {
		at := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(c.Idempotency <= NotIdempotent, at("Repeat"), c.Idempotency, "not a known kind")
		check(c.Group <= GroupCell, at("Group"), c.Group, "not a known group")
		check(c.DedupWindow >= 0, at("Window"), c.DedupWindow, "must not be negative")
		check(c.LatencyObjective > 0, at("Aim"), c.LatencyObjective, "must be positive")
		check(c.ClientTimeout > 0, at("GiveUp"), c.ClientTimeout, "must be positive")
		check(c.PriorityWeight >= 0, at("Worth"), c.PriorityWeight, "must not be negative")
		check(c.HedgeQuantile >= 0 && c.HedgeQuantile < 1, at("CopyAt"), c.HedgeQuantile, "must be in 0..1, not 1")
		check(c.LateWeightRatio >= 0 && c.LateWeightRatio <= 1, at("LateWorth"), c.LateWeightRatio, "must be in 0..1")
	}
	for i, u := range s.Budgets {
		check(u.EarnRatio >= 0 && u.Burst >= 0, fmt.Sprintf("Budgets[%d]", i), u, "must not be negative")
	}
	for i, t := range s.Tenants {
		key := fmt.Sprintf("Tenants[%d].Allowance", i)
		check(t.Quota >= 0, key, t.Quota, "must not be negative")
	}
	for _, w := range [...]float64{s.Goal.Overall, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant} {
		check(w >= 0, "Goal", w, "must not be negative")
	}
	check(s.OverQuotaWeightRatio >= 0, "OverShareWorth", s.OverQuotaWeightRatio, "must not be negative")
	l, c, p := &s.Limits, &s.Contract, &s.Prices
	check(l.MaxAttempts >= 1, "Limits.MaxAttempts", l.MaxAttempts, "must be at least 1")
	check(l.MaxOpen >= 1, "Limits.MaxOpen", l.MaxOpen, "must be at least 1")
	check(l.MaxRetryAfter >= 0, "Limits.MaxRetryAfter", l.MaxRetryAfter, "must not be negative")
	check(l.KeepAlive >= 0, "Limits.KeepAlive", l.KeepAlive, "must not be negative")
	check(l.DialTimeout >= 0, "Limits.DialTimeout", l.DialTimeout, "must not be negative")
	check(c.DrainGrace >= 0, "Contract.DrainGrace", c.DrainGrace, "must not be negative")
	check(c.SlowStartRatio > 0 && c.SlowStartRatio <= 1, "Contract.ColdFrom", c.SlowStartRatio, "must be in 0..1, not 0")
	check(c.SlowStartTime >= 0, "Contract.RampTime", c.SlowStartTime, "must not be negative")
	check(c.OverloadMultiple > 0, "Contract.FallMultiple", c.OverloadMultiple, "must be positive")
	check(c.OverloadTime >= 0, "Contract.OverloadFor", c.OverloadTime, "must not be negative")
	check(c.PollInterval >= 0, "Contract.AskWithin", c.PollInterval, "must not be negative")
	check(c.AnswerSlack >= 0, "Contract.AnswerSlack", c.AnswerSlack, "must not be negative")
	check(p.CrossZone >= 0, "Prices.CrossZone", p.CrossZone, "must not be negative")
	check(p.Probe >= 0, "Prices.Probe", p.Probe, "must not be negative")
	check(p.Waste >= 0, "Prices.Waste", p.Waste, "must not be negative")
	check(p.LateFail >= 0, "Prices.LateFail", p.LateFail, "must not be negative")
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
	b.applyConfiguration(s.Classes, s.Budgets)
	return b, nil
}

// Configure gives the balancer other classes and budgets. Requests in hand are still of their class: one that
// is there stays at its number, as it is but for Retired. A budget keeps what is left of it. An error says
// which setting makes no sense, and changes nothing.
func (b *Balancer) Configure(classes []Class, budgets []RetryBudget) error {
	next := b.settings
	next.Classes, next.Budgets = classes, budgets
	if err := next.Validate(); err != nil {
		return err
	}
	for i, was := range b.settings.Classes {
		if i < len(classes) {
			was.Retired = classes[i].Retired
		}
		if i >= len(classes) || was != classes[i] {
			return &SettingError{"Classes", was.Name,
				"requests in hand may be of it: it must stay as it is"}
		}
	}
	b.settings = next
	b.applyConfiguration(classes, budgets)
	return nil
}

// applyConfiguration adds the records of new classes and budgets.
func (b *Balancer) applyConfiguration(classes []Class, budgets []RetryBudget) {
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
