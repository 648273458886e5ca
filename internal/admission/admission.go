package admission

import "pinedale/balancer"

// Window is the length of a counting window: short against a client's patience, long against
// the time between two requests at the rates where limits are of use.
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

// Tenant holds the limits of one tenant. Without tenants, all requests are of one.
type Tenant struct {
	Weight      float64 // of its share of the rate; 0 for a tenant that is not configured any more
	MaxInFlight int     // 0 for no limit
}

// Class holds the limits of one class.
type Class struct {
	MaxInFlight   int // 0 for no limit
	BrownoutLevel int // under overload, classes of a higher number are shed first
}

// tenantState is a tenant's limits and counts.
type tenantState struct {
	limits    Tenant
	inFlight  int
	requested float64 // requests in this window
	quota     float64 // requests granted for this window
	remaining float64 // requests that may still be admitted, savings included
}

func (t *tenantState) full() bool {
	return t.limits.MaxInFlight > 0 && t.inFlight >= t.limits.MaxInFlight
}

// classState is a class's limits and counts.
type classState struct {
	limits    Class
	inFlight  int
	requested float64 // requests in this window
}

func (c *classState) full() bool {
	return c.limits.MaxInFlight > 0 && c.inFlight >= c.limits.MaxInFlight
}

// Admission holds limits and counts. It is not safe for concurrent use. Make one with New.
type Admission struct {
	rate      float64
	tenants   []tenantState
	classes   []classState
	windowEnd balancer.Micros
	brownout  brownout
	fillOrder []int // scratch space of assignQuotas: tenants by demand over weight
	retrySlot balancer.Micros
}

// New returns an admission with all counts at zero.
func New(c Config) *Admission {
	a := &Admission{}
	a.Configure(c)
	return a
}

// Configure replaces the limits. Requests in flight stay counted, by the numbers of their
// tenants and classes.
func (a *Admission) Configure(c Config) {
	if len(c.Tenants) == 0 {
		c.Tenants = []Tenant{{Weight: 1}}
	}
	a.rate = c.Rate
	for len(a.tenants) < len(c.Tenants) {
		a.tenants = append(a.tenants, tenantState{})
	}
	for i := range a.tenants {
		a.tenants[i].limits = Tenant{}
		if i < len(c.Tenants) {
			a.tenants[i].limits = c.Tenants[i]
		}
	}
	for len(a.classes) < len(c.Classes) {
		a.classes = append(a.classes, classState{})
	}
	for i := range a.classes {
		a.classes[i].limits = Class{}
		if i < len(c.Classes) {
			a.classes[i].limits = c.Classes[i]
		}
	}
	a.fillOrder = make([]int, len(a.tenants))
	a.brownout.level = noBrownout
	a.assignQuotas()
}

// Admit decides whether a request is admitted. For one that is, Release must be called; for one
// that is not, retryAfter is when the client may retry.
func (a *Admission) Admit(now balancer.Micros, in *balancer.Request) (retryAfter balancer.Micros, ok bool) {
	a.advanceWindow(now)
	tenant, class := a.lookup(in)
	if tenant == nil || class == nil {
		return 0, true // the front numbered the request by an earlier configuration
	}
	tenant.requested++
	class.requested++
	// Of a request that MayHaveRun an earlier attempt was admitted already. How it is answered
	// is the decision module's to decide.
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

// nextRetryAfter returns the time to the end of the window and, in turn, to one of the slots
// of the window after it.
func (a *Admission) nextRetryAfter(now balancer.Micros) balancer.Micros {
	a.retrySlot++
	if a.retrySlot > retrySlots {
		a.retrySlot = 1
	}
	return a.windowEnd - now + a.retrySlot*Window/retrySlots
}

// lookup returns the tenant and class of a request, nil if there are none of these numbers.
func (a *Admission) lookup(in *balancer.Request) (*tenantState, *classState) {
	if int(in.Tenant) >= len(a.tenants) || int(in.Class) >= len(a.classes) {
		return nil, nil
	}
	return &a.tenants[in.Tenant], &a.classes[in.Class]
}

// Release must be called once a request that was admitted has its final answer.
func (a *Admission) Release(in *balancer.Request) {
	tenant, class := a.lookup(in)
	if tenant == nil {
		return
	}
	tenant.inFlight--
	class.inFlight--
}

// InFlight returns the number of admitted requests without final answer.
func (a *Admission) InFlight() int {
	total := 0
	for i := range a.tenants {
		total += a.tenants[i].inFlight
	}
	return total
}
