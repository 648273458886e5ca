package balancer

import "fmt"

// Idempotency states the effect of running a request of a class a second time.
type Idempotency uint8

// The kinds of idempotency.
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

// The figures that a load report may carry. FieldOther marks a figure that this version does not know and skips.
const (
	FieldOther       Field = iota
	FieldInFlight          // requests in flight at the endpoint
	FieldQueue             // requests in its queue
	FieldUtilization       // ratio of its cores in use
	FieldLatency           // recent service time in milliseconds
	FieldServed            // requests served per second
	FieldErrors            // errors per second
)

// Class describes one class of requests. No decision reads Streaming.
type Class struct {
	Name             string
	Idempotency      Idempotency
	Group            Group   // with IdempotentWithKey only
	DedupWindow      Micros  // with IdempotentWithKey only: how long the group drops repeats
	LatencyObjective Micros  // an answer within this time has the full weight
	ClientTimeout    Micros  // how long a client waits in all, over its first attempt and its retries
	PriorityWeight   float64 // of one request, or, with WeightByWork, of one unit of work
	LateWeightRatio  float64 // ratio of its weight that a later answer still has
	HedgeQuantile    float64 // quantile of its latencies after which a request is hedged; 0 for never
	Retired          bool    // no new request is of this class
	Streaming        bool    // answers are streamed: ResponseStarted announces them
}

// Tenant describes one tenant. No decision reads Share.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all balancers
	Share float64
}

// RetryBudget is a token bucket that limits retries of requests that may have run: each request that uses the
// budget adds EarnRatio retries to it, up to Burst.
type RetryBudget struct{ EarnRatio, Burst float64 }

// Limits holds the limits that the deployment sets. No decision reads PeerMessages and DialTimeout.
type Limits struct {
	Cancel, Probes, Hedging, RetryAfter, PeerMessages bool

	MaxAttempts   int    // attempts per request
	MaxOpen       int    // requests without a final answer, per balancer
	MaxRetryAfter Micros // the longest Retry-After that clients honour
	DialTimeout   Micros
	KeepAlive     Micros // how long endpoints keep an idle connection; 0 if connections do not matter
}

// Contract holds the parameters of the rules. No decision depends on DrainGrace or AnswerSlack, since nothing is sent
// to a draining endpoint, and final answers are given by the deadline.
type Contract struct {
	DrainGrace       Micros
	SlowStartRatio   float64 // ratio of its capacity that an endpoint has at its start
	SlowStartTime    Micros  // time after which an endpoint has its full capacity
	OverloadMultiple float64 // multiple of its present capacity that overloads an endpoint in slow start
	OverloadTime     Micros  // time for which it must be sent that much to be overloaded
	PollInterval     Micros  // a balancer without subscription must poll discovery this often
	AnswerSlack      Micros
}

// Prices holds the cost of events as a ratio of the weight of a request. No decision reads Waste and LateFail.
type Prices struct {
	CrossZone, Probe, Waste, LateFail float64
}

// Goal holds the weights of the parts of the goal that requests are prioritized by: all requests, those in the worst
// time window, the worst class and the worst tenant. No decision reads WorstTenant.
type Goal struct {
	Overall, WorstWindow, WorstClass, WorstTenant float64
}

// Settings is the configuration of a balancer. No decision reads Position, Zones and Kinds.
type Settings struct {
	Balancers     int // in this tier, including this one
	Position      int // index of this balancer in the tier
	Zone          int // of this balancer
	Zones         int
	Kinds         int  // number of kinds of machine
	PollDiscovery bool // discovery must be polled: it pushes no updates without a subscription

	Classes []Class
	Tenants []Tenant
	Budgets []RetryBudget // budgets that requests may select instead of the shared one
	Fields  []Field       // figures of a load report, in order

	Limits               Limits
	Contract             Contract
	Prices               Prices
	Goal                 Goal
	Tick                 Micros  // the shortest time between two batches of events
	OverQuotaWeightRatio float64 // lowest ratio of its weight that a request of a tenant over its quota has
	WeightByWork         bool    // PriorityWeight is per unit of work, not per request
	KeyAffinity          bool    // an endpoint that has recently served a key does less work for it
}

// SettingError reports an invalid setting.
type SettingError struct {
	Key    string // path of the field, such as Classes[0].LatencyObjective
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
	check(len(s.Classes) > 0, "Classes", "none", "must contain at least one class")
	for i, class := range s.Classes {
		key := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(class.Idempotency <= NotIdempotent, key("Idempotency"), class.Idempotency, "must be a known idempotency")
		check(class.Group <= GroupCell, key("Group"), class.Group, "must be a known group")
		check(class.DedupWindow >= 0, key("DedupWindow"), class.DedupWindow, "must not be negative")
		check(class.LatencyObjective > 0, key("LatencyObjective"), class.LatencyObjective, "must be positive")
		check(class.ClientTimeout > 0, key("ClientTimeout"), class.ClientTimeout, "must be positive")
		check(class.PriorityWeight >= 0, key("PriorityWeight"), class.PriorityWeight, "must not be negative")
		check(class.HedgeQuantile >= 0 && class.HedgeQuantile < 1, key("HedgeQuantile"), class.HedgeQuantile,
			"must be at least 0 and less than 1")
		check(class.LateWeightRatio >= 0 && class.LateWeightRatio <= 1, key("LateWeightRatio"), class.LateWeightRatio,
			"must be between 0 and 1")
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
		contract.SlowStartRatio, "must be greater than 0 and at most 1")
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
