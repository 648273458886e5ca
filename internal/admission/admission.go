package admission

import "pinedale/balancer"

// Window is the length of a counting window. It is short compared to the timeouts of clients, and
// long compared to the time between two requests at rates that need limits.
const Window = second / 10

const second = balancer.Micros(1_000_000)

// retrySlots is the number of equal parts of a window over which the retries of rejected
// requests are spread.
const retrySlots = 16

// Config holds the operator's limits.
type Config struct {
	Rate    float64 // requests admitted per second, 0 for no limit
	Tenants []Tenant
	Classes []Class
}

// Tenant holds the limits of one tenant. Without configured tenants, all requests belong to a single
// tenant.
type Tenant struct {
	Weight      float64 // relative share of the rate; 0 for a tenant that is no longer configured
	MaxInFlight int     // 0 for no limit
}

// Class holds the limits of one class.
type Class struct {
	MaxInFlight   int // 0 for no limit
	BrownoutLevel int // under overload, classes with higher levels are shed first
}

// tenantState holds a tenant's limits and counts.
type tenantState struct {
	limits    Tenant
	inFlight  int
	requested float64 // requests in this window
	quota     float64 // requests granted for this window
	remaining float64 // requests that may still be admitted, including those saved in earlier windows
}

// full reports whether the limit of requests in flight is reached.
func (t *tenantState) full() bool {
	return t.limits.MaxInFlight > 0 && t.inFlight >= t.limits.MaxInFlight
}

// classState holds a class's limits and counts.
type classState struct {
	limits    Class
	inFlight  int
	requested float64 // requests in this window
}

// full reports whether the limit of requests in flight is reached.
func (c *classState) full() bool {
	return c.limits.MaxInFlight > 0 && c.inFlight >= c.limits.MaxInFlight
}

// Admission holds limits and counts. It is not safe for concurrent use.
type Admission struct {
	rate      float64
	tenants   []tenantState
	classes   []classState
	windowEnd balancer.Micros
	brownout  brownout
	fillOrder []int           // buffer of assignQuotas: tenants by their ratio of demand to weight
	retrySlot balancer.Micros // slot of the last rejected request, 1 to retrySlots
}

// New returns an admission with all counts at zero.
func New(c Config) *Admission {
	a := &Admission{}
	a.Configure(c)
	return a
}

// Configure replaces the limits. Requests in flight remain counted under the numbers of their
// tenants and classes.
func (a *Admission) Configure(c Config) {
	if len(c.Tenants) == 0 {
		c.Tenants = []Tenant{{Weight: 1}}
	}
	a.rate = c.Rate
	a.tenants = growTo(a.tenants, len(c.Tenants))
	for i := range a.tenants {
		a.tenants[i].limits = elementOrZero(c.Tenants, i)
	}
	a.classes = growTo(a.classes, len(c.Classes))
	for i := range a.classes {
		a.classes[i].limits = elementOrZero(c.Classes, i)
	}
	a.fillOrder = make([]int, len(a.tenants))
	a.brownout.level = noBrownout
	a.assignQuotas()
}

// growTo returns a slice of at least the given length, with zero values added at its end.
func growTo[T any](slice []T, length int) []T {
	missing := max(0, length-len(slice))
	return append(slice, make([]T, missing)...)
}

// elementOrZero returns an element of a slice, the zero value if the slice is shorter.
func elementOrZero[T any](slice []T, index int) T {
	if index >= len(slice) {
		var zero T
		return zero
	}
	return slice[index]
}

// Admit decides whether a request is admitted. If it is, Release must be called later. If not,
// retryAfter is the time after which the client may retry.
func (a *Admission) Admit(now balancer.Micros, in *balancer.Request) (retryAfter balancer.Micros, ok bool) {
	a.advanceWindow(now)
	tenant, class := a.lookup(in)
	if tenant == nil || class == nil {
		return 0, true // no limits are known for these numbers
	}
	tenant.requested++
	class.requested++
	// An earlier attempt of a request with MayHaveRun was already admitted. The decision module
	// decides how it is answered.
	if !in.MayHaveRun && !a.hasCapacity(tenant, class) {
		return a.nextRetryAfter(now), false
	}
	a.brownout.countAdmitted(class)
	tenant.remaining--
	tenant.inFlight++
	class.inFlight++
	return 0, true
}

// hasCapacity reports whether the limits permit one more request.
func (a *Admission) hasCapacity(tenant *tenantState, class *classState) bool {
	if tenant.full() || class.full() {
		return false
	}
	return a.rate <= 0 || tenant.remaining >= 1 && !a.brownout.sheds(class)
}

// nextRetryAfter returns the time until one of the slots of the next window. Successive calls return
// successive slots.
func (a *Admission) nextRetryAfter(now balancer.Micros) balancer.Micros {
	a.retrySlot++
	if a.retrySlot > retrySlots {
		a.retrySlot = 1
	}
	return a.windowEnd - now + a.retrySlot*Window/retrySlots
}

// lookup returns the tenant and class of a request, nil if there is none with its numbers.
func (a *Admission) lookup(in *balancer.Request) (*tenantState, *classState) {
	if int(in.Tenant) >= len(a.tenants) || int(in.Class) >= len(a.classes) {
		return nil, nil
	}
	return &a.tenants[in.Tenant], &a.classes[in.Class]
}

// Release must be called when an admitted request has its final response.
func (a *Admission) Release(in *balancer.Request) {
	tenant, class := a.lookup(in)
	if tenant == nil {
		return
	}
	tenant.inFlight--
	class.inFlight--
}

// InFlight returns the number of admitted requests without a final response.
func (a *Admission) InFlight() int {
	total := 0
	for i := range a.tenants {
		total += a.tenants[i].inFlight
	}
	return total
}
