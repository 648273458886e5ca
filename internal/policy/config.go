package policy

import (
	"time"

	"pinedale/balancer"
)

// Timing is what may be set for a class, and again for a route of it. Zero and nil stand for what is not set.
type Timing struct {
	Deadline       time.Duration // of a client's request, over all its retries
	AttemptTimeout time.Duration
	MaxAttempts    int
	HedgeDelay     time.Duration // age of the first attempt at which a hedge is sent
	Hedging        *bool
	RetryRatio     *float64 // retries that each request earns
	RetryBurst     *float64 // max retries that may be saved up
}

// Values of Class.Clients: what clients of a class do by themselves.
const (
	ClientsRetryRejected = "refused" // they retry after a rejection
	ClientsRetryFailed   = "failed"  // they retry after a rejection and after a failure
)

// Class is one class of requests.
type Class struct {
	Timing
	Name             string
	Idempotency      balancer.Idempotency
	Group            balancer.Group // of endpoints that deduplicate, for IdempotentWithKey
	DedupWindow      time.Duration  // for IdempotentWithKey
	LatencyObjective time.Duration
	PriorityWeight   float64
	LateWeightRatio  float64       // of PriorityWeight, after the objective has passed
	HedgeQuantile    float64       // quantile of the class's latencies that stands for HedgeDelay, 0 for none
	TypicalWork      time.Duration // service time of an ordinary request, 0 if unknown
	Clients          string        // ClientsRetryRejected, ClientsRetryFailed or ""
	MaxInFlight      int           // 0 for no limit
	BrownoutLevel    int           // classes with a higher number are shed first
}

// Route is one route. A matcher that is empty matches everything.
type Route struct {
	Timing
	Name    string
	Host    string
	Path    string // exact
	Prefix  string // up to a slash or the end of the path
	Method  string
	Headers map[string]string
	Class   string
	Pool    string
}

// Pool is a part of the fleet.
type Pool struct {
	Name         string
	Sites, Kinds []string // empty for all
}

// Tenant is one tenant.
type Tenant struct {
	Name   string
	Weight float64 // of its quota under overload
	Open   int     // max requests in flight, 0 for no limit
}

// Limits are those of the installation.
type Limits struct {
	MaxAttempts  int
	Hedging      bool
	MaxDeadline  time.Duration
	DialTimeout  time.Duration // timeout of a connection attempt
	TimerSlack   time.Duration // by which timers may fire late
	ClockError   float64       // ratio by which two clocks may run apart
	DrainGrace   time.Duration // for which a draining endpoint still accepts requests
	DrainTimeout time.Duration // after which a draining endpoint ends, 0 if unknown
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

// Effective is what applies to the requests of a route: the route's own settings, else the class's, else the
// installation's.
type Effective struct {
	Class          *Class
	Deadline       time.Duration
	AttemptTimeout time.Duration
	MaxAttempts    int
	HedgeDelay     time.Duration
	Hedging        bool
}

// Effective returns what applies to a class, and to a route of it if that is not nil.
func (c *Config) Effective(class *Class, route *Route) Effective {
	e := Effective{
		Class:       class,
		Deadline:    class.Deadline,
		MaxAttempts: c.Limits.MaxAttempts,
		Hedging:     c.Limits.Hedging,
	}
	e.apply(&class.Timing, &c.Limits)
	if route != nil {
		e.apply(&route.Timing, &c.Limits)
	}
	return e
}

// apply overrides settings with those that are set in a timing.
func (e *Effective) apply(t *Timing, l *Limits) {
	if t.Deadline > 0 {
		e.Deadline = t.Deadline
	}
	if t.AttemptTimeout > 0 {
		e.AttemptTimeout = t.AttemptTimeout
	}
	if t.MaxAttempts > 0 {
		e.MaxAttempts = t.MaxAttempts
	}
	if t.HedgeDelay > 0 {
		e.HedgeDelay = t.HedgeDelay
	}
	if t.Hedging != nil {
		e.Hedging = *t.Hedging && l.Hedging
	}
}

// equal reports whether two timings set the same.
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
