package policy

import (
	"fmt"
	"slices"
	"strings"

	"pinedale/balancer"
)

// The retry budget of classes and routes that set one figure of the two, or none.
const (
	defaultRetryRatio = 0.2
	defaultRetryBurst = 10.0
)

// newTable builds the table of a configuration. previous is the table in use, nil for none. Faults that concern
// numbers are noted.
func newTable(c *compiler, previous *Table) *Table {
	t := &Table{
		Version:      c.Version,
		config:       c.Config,
		classBounds:  map[string]*Bounds{},
		routes:       map[routeKey][]*routeEntry{},
		tenantNumber: map[string]uint16{},
	}
	if previous != nil {
		t.keepNumbers(previous)
	}
	t.addClasses(c)
	t.addTenantsAndPools(c)
	t.addRoutes(c)
	return t
}

// keepNumbers takes over what requests in flight may refer to by number.
func (t *Table) keepNumbers(previous *Table) {
	t.classes = slices.Clone(previous.classes)
	for i := range t.classes {
		t.classes[i].Retired = true
	}
	t.budgets = slices.Clone(previous.budgets)
	t.budgetOwners = slices.Clone(previous.budgetOwners)
	t.tenants = slices.Clone(previous.tenants)
	t.pools = slices.Clone(previous.pools)
}

func (t *Table) addClasses(c *compiler) {
	for i := range c.Classes {
		class := &c.Classes[i]
		b := t.newBounds(c, class, nil)
		b.Budget = t.budget("class "+class.Name, &class.Timing)
		b.Class = t.classNumber(c, c.moduleClass(class))
		t.classBounds[class.Name] = b
	}
}

// moduleClass returns a class as the decision module is given it.
func (c *compiler) moduleClass(class *Class) balancer.Class {
	out := balancer.Class{
		Name:             class.Name,
		Idempotency:      class.Idempotency,
		Group:            class.Group,
		LatencyObjective: class.LatencyObjective.Microseconds(),
		ClientTimeout:    class.Deadline.Microseconds(),
		PriorityWeight:   class.PriorityWeight,
		LateWeightRatio:  class.LateWeightRatio,
		HedgeQuantile:    class.HedgeQuantile,
	}
	if class.Idempotency == balancer.IdempotentWithKey {
		out.DedupWindow = c.Limits.moduleWindow(class.DedupWindow).Microseconds()
	}
	return out
}

// classNumber returns the number of a class, a new one if it differs from all before.
func (t *Table) classNumber(c *compiler, class balancer.Class) uint8 {
	for i, known := range t.classes {
		known.Retired = false
		if known == class {
			t.classes[i].Retired = false
			return uint8(i)
		}
	}
	if !c.require(len(t.classes) < maxClasses, "class",
		"%d kinds of class since the start, at most %d: start anew", len(t.classes)+1, maxClasses) {
		return 0
	}
	t.classes = append(t.classes, class)
	return uint8(len(t.classes) - 1)
}

func (t *Table) addTenantsAndPools(c *compiler) {
	for _, tenant := range c.Tenants {
		t.tenantNumber[tenant.Name] = uint16(numberOf(&t.tenants, tenant.Name))
	}
	for _, pool := range c.Pools {
		numberOf(&t.pools, pool.Name)
	}
	c.require(len(t.pools) <= maxPools, "pool",
		"%d pools since the start, at most %d: start anew", len(t.pools), maxPools)
	c.require(len(t.tenants) <= maxTenantNumbers, "tenant",
		"%d tenants since the start, at most %d: start anew", len(t.tenants), maxTenantNumbers)
}

// numberOf returns the index of a name, which it adds if it is new.
func numberOf(names *[]string, name string) int {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

func (t *Table) addRoutes(c *compiler) {
	for i := range c.Routes {
		t.addRoute(c, i)
	}
	for _, entries := range t.routes {
		slices.SortStableFunc(entries, func(a, b *routeEntry) int { return b.specificity() - a.specificity() })
	}
	c.require(len(t.budgets) <= maxBudgets, "route",
		"%d budgets since the start, at most %d: start anew", len(t.budgets), maxBudgets)
}

// addRoute adds a route by its index, unless its class is unknown, which is a fault of its own.
func (t *Table) addRoute(c *compiler, index int) {
	r := &c.Routes[index]
	classBounds := t.classBounds[r.Class]
	if classBounds == nil {
		return
	}
	class := &c.Classes[slices.IndexFunc(c.Classes, func(k Class) bool { return k.Name == r.Class })]
	e := &routeEntry{Bounds: *t.newBounds(c, class, r), route: index, method: r.Method}
	e.Budget = classBounds.Budget
	if r.setsBudget() {
		e.Budget = t.budget(r.budgetOwner(index), &r.Timing)
	}
	e.Class = classBounds.Class
	e.Pool = uint8(slices.Index(t.pools, r.Pool) + 1)
	e.RestrictsMethods = r.Method != ""
	for name, value := range r.Headers {
		e.headers = append(e.headers, header{Canonical(name), value})
	}
	slices.SortFunc(e.headers, func(a, b header) int { return strings.Compare(a.name, b.name) })
	key := r.key()
	t.routes[key] = append(t.routes[key], e)
	t.matchesHosts = t.matchesHosts || r.Host != ""
}

// key returns the key that a route is looked up by.
func (r *Route) key() routeKey {
	switch {
	case r.Path != "":
		return routeKey{host: r.Host, path: r.Path, exact: true}
	case r.Prefix == "/":
		return routeKey{host: r.Host}
	}
	return routeKey{host: r.Host, path: r.Prefix}
}

// specificity ranks routes of one key: first by whether they name a method, then by the number of headers.
func (e *routeEntry) specificity() int {
	const methodWeight = 1 << 20 // over any number of headers
	rank := len(e.headers)
	if e.method != "" {
		rank += methodWeight
	}
	return rank
}

// newBounds returns the bounds of a class, or of a route of it if that is not nil, without the numbers of the table.
func (t *Table) newBounds(c *compiler, class *Class, route *Route) *Bounds {
	e := c.Effective(class, route)
	return &Bounds{
		Deadline:       e.Deadline.Microseconds(),
		AttemptTimeout: e.AttemptTimeout.Microseconds(),
		HedgeDelay:     e.HedgeDelay.Microseconds(),
		MaxAttempts:    e.MaxAttempts,
		NoHedging:      !e.Hedging,
		ClassName:      class.Name,
		Idempotency:    class.Idempotency,
	}
}

// setsBudget reports whether a timing sets a retry budget.
func (t *Timing) setsBudget() bool { return t.RetryRatio != nil || t.RetryBurst != nil }

// budgetOwner returns the name under which the budget of a route keeps its number.
func (r *Route) budgetOwner(index int) string {
	if r.Name == "" {
		return fmt.Sprint("route ", index)
	}
	return "route " + r.Name
}

// budget returns the number of an owner's retry budget, 0 for the default if the timing sets none.
func (t *Table) budget(owner string, timing *Timing) uint16 {
	if !timing.setsBudget() {
		return 0
	}
	budget := balancer.RetryBudget{EarnRatio: defaultRetryRatio, Burst: defaultRetryBurst}
	if timing.RetryRatio != nil {
		budget.EarnRatio = *timing.RetryRatio
	}
	if timing.RetryBurst != nil {
		budget.Burst = *timing.RetryBurst
	}
	index := numberOf(&t.budgetOwners, owner)
	if index == len(t.budgets) {
		t.budgets = append(t.budgets, budget)
	}
	t.budgets[index] = budget
	return uint16(min(index+1, maxBudgets))
}
