package policy

import (
	"time"

	"pinedale/balancer"
)

// Timing holds the settings that a class may have and that a route of the class may override. Zero or nil means that a
// setting is absent.
type Timing struct {
	Deadline       time.Duration // of a client's request, including all retries
	AttemptTimeout time.Duration
	MaxAttempts    int
	HedgeDelay     time.Duration // age of the first attempt at which a hedge is sent
	Hedging        *bool
	RetryRatio     *float64 // number of retries that each request earns
	RetryBurst     *float64 // maximum number of retries that may be saved
}

// Values of Class.Clients: the situations in which clients of a class retry by themselves.
const (
	ClientsRetryRejected = "refused" // after a rejection
	ClientsRetryFailed   = "failed"  // after a rejection and after a failure
)

// Class is one class of requests.
type Class struct {
	Timing
	Name             string
	Idempotency      balancer.Idempotency
	Group            balancer.Group // endpoints among which repeats are detected, for IdempotentWithKey
	DedupWindow      time.Duration  // for IdempotentWithKey
	LatencyObjective time.Duration
	PriorityWeight   float64
	LateWeightRatio  float64       // fraction of PriorityWeight after the latency objective has passed
	HedgeQuantile    float64       // quantile of the class's latencies to use as HedgeDelay, 0 for none
	TypicalWork      time.Duration // typical service time of a request, 0 if unknown
	Clients          string        // ClientsRetryRejected, ClientsRetryFailed or ""
	MaxInFlight      int           // 0 for no limit
	BrownoutLevel    int           // classes with higher levels are shed first
}

// deduplicates reports whether endpoints drop repeats of the class within DedupWindow.
func (k *Class) deduplicates() bool {
	return k.Idempotency == balancer.IdempotentWithKey && k.DedupWindow > 0
}

// Route is one route. An empty matcher matches everything.
type Route struct {
	Timing
	Name    string
	Host    string
	Path    string // complete path
	Prefix  string // beginning of the path, up to a slash or the end
	Method  string
	Headers map[string]string
	Class   string
	Pool    string
}

// Pool is a subset of the fleet: the endpoints of some sites and kinds.
type Pool struct {
	Name  string
	Sites []string // empty for all
	Kinds []string // empty for all
}

// Tenant is one tenant.
type Tenant struct {
	Name   string
	Weight float64 // relative share of the rate under overload
	Open   int     // maximum number of requests in flight, 0 for no limit
}

// Limits are the limits of the installation.
type Limits struct {
	MaxAttempts  int
	Hedging      bool
	MaxDeadline  time.Duration
	DialTimeout  time.Duration // timeout of a connection attempt
	TimerSlack   time.Duration // maximum delay of a timer
	ClockError   float64       // maximum relative difference between the rates of two clocks
	DrainGrace   time.Duration // how long a draining endpoint still accepts requests
	DrainTimeout time.Duration // how long a draining endpoint runs, 0 if unknown
}

// Config is the operator's configuration.
type Config struct {
	Version string // for logs
	Limits  Limits
	Classes []Class
	Routes  []Route
	Pools   []Pool
	Tenants []Tenant
}

// Effective holds the settings for the requests of a class or route. Settings of the route override those of the class,
// which override those of the installation.
type Effective struct {
	Class          *Class
	Deadline       time.Duration
	AttemptTimeout time.Duration
	MaxAttempts    int
	HedgeDelay     time.Duration
	Hedging        bool
}

// Effective returns the settings for a class, or for a route of the class if route is not nil.
func (c *Config) Effective(class *Class, route *Route) Effective {
	settings := Effective{
		Class:       class,
		Deadline:    class.Deadline,
		MaxAttempts: c.Limits.MaxAttempts,
		Hedging:     c.Limits.Hedging,
	}
	settings.override(&class.Timing, &c.Limits)
	if route != nil {
		settings.override(&route.Timing, &c.Limits)
	}
	return settings
}

// longestAttempt returns the maximum duration of one attempt.
func (e *Effective) longestAttempt() time.Duration {
	if e.AttemptTimeout > 0 {
		return e.AttemptTimeout
	}
	return e.Deadline
}

// override replaces the settings that are present in a timing.
func (e *Effective) override(timing *Timing, limits *Limits) {
	if timing.Deadline > 0 {
		e.Deadline = timing.Deadline
	}
	if timing.AttemptTimeout > 0 {
		e.AttemptTimeout = timing.AttemptTimeout
	}
	if timing.MaxAttempts > 0 {
		e.MaxAttempts = timing.MaxAttempts
	}
	if timing.HedgeDelay > 0 {
		e.HedgeDelay = timing.HedgeDelay
	}
	if timing.Hedging != nil {
		e.Hedging = *timing.Hedging && limits.Hedging
	}
}

// equal reports whether two timings have the same settings.
func (t *Timing) equal(other *Timing) bool {
	return t.Deadline == other.Deadline &&
		t.AttemptTimeout == other.AttemptTimeout &&
		t.MaxAttempts == other.MaxAttempts &&
		t.HedgeDelay == other.HedgeDelay &&
		equalPointers(t.Hedging, other.Hedging) &&
		equalPointers(t.RetryRatio, other.RetryRatio) &&
		equalPointers(t.RetryBurst, other.RetryBurst)
}

// equalPointers reports whether both pointers are nil or point to equal values.
func equalPointers[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}
