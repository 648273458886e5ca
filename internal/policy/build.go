package policy

import (
	"fmt"
	"slices"
	"strings"

	"pinedale/balancer"
)

// Default values of a retry budget.
const (
	defaultRetryRatio = 0.2
	defaultRetryBurst = 10.0
)

// newTable builds the table of a configuration. previous is the table in use, nil for none. If there are more classes,
// pools, tenants or budgets than can be numbered, newTable records an error in the compiler.
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

// keepNumbers copies the elements of the previous table that requests in flight may refer to by number.
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
		bounds := newBounds(c, class, nil)
		bounds.Budget = t.budget("class "+class.Name, &class.Timing)
		bounds.Class = t.classNumber(c, c.moduleClass(class))
		t.classBounds[class.Name] = bounds
	}
}

// moduleClass returns the decision module's form of a class.
func (c *compiler) moduleClass(class *Class) balancer.Class {
	converted := balancer.Class{
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
		converted.DedupWindow = c.Limits.moduleWindow(class.DedupWindow).Microseconds()
	}
	return converted
}

// classNumber returns the number of a class. It adds the class if it differs from all known classes.
func (t *Table) classNumber(c *compiler, class balancer.Class) uint8 {
	for i, known := range t.classes {
		known.Retired = false
		if known == class {
			t.classes[i].Retired = false
			return uint8(i)
		}
	}
	hasCapacity := c.require(len(t.classes) < maxClasses, "class",
		"%d distinct classes since the start of the process, at most %d: restart the process", len(t.classes)+1, maxClasses)
	if !hasCapacity {
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
		"%d distinct pools since the start of the process, at most %d: restart the process", len(t.pools), maxPools)
	c.require(len(t.tenants) <= maxTenantNumbers, "tenant",
		"%d distinct tenants since the start of the process, at most %d: restart the process",
		len(t.tenants), maxTenantNumbers)
}

// numberOf returns the index of a name. It adds the name if it is new.
func numberOf(names *[]string, name string) int {
	if index := slices.Index(*names, name); index >= 0 {
		return index
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
		"%d distinct budgets since the start of the process, at most %d: restart the process", len(t.budgets), maxBudgets)
}

// addRoute adds the route at an index. It skips a route whose class is unknown, which checkRoute reports.
func (t *Table) addRoute(c *compiler, index int) {
	route := &c.Routes[index]
	classBounds := t.classBounds[route.Class]
	if classBounds == nil {
		return
	}
	class := c.class(route.Class)
	entry := &routeEntry{
		Bounds:  *newBounds(c, class, route),
		route:   index,
		method:  route.Method,
		headers: route.sortedHeaders(),
	}
	entry.Budget = classBounds.Budget
	if route.setsBudget() {
		entry.Budget = t.budget(route.budgetOwner(index), &route.Timing)
	}
	entry.Class = classBounds.Class
	entry.Pool = uint8(slices.Index(t.pools, route.Pool) + 1)
	entry.RestrictsMethods = route.Method != ""
	key := route.key()
	t.routes[key] = append(t.routes[key], entry)
	t.matchesHosts = t.matchesHosts || route.Host != ""
}

// class returns a known class by its name.
func (c *Config) class(name string) *Class {
	return &c.Classes[slices.IndexFunc(c.Classes, func(k Class) bool { return k.Name == name })]
}

// sortedHeaders returns the header matchers sorted by name.
func (r *Route) sortedHeaders() (headers []header) {
	for name, value := range r.Headers {
		headers = append(headers, header{Canonical(name), value})
	}
	slices.SortFunc(headers, func(a, b header) int { return strings.Compare(a.name, b.name) })
	return headers
}

// key returns the key under which a route is found.
func (r *Route) key() routeKey {
	switch {
	case r.Path != "":
		return routeKey{host: r.Host, path: r.Path, exact: true}
	case r.Prefix == "/":
		return routeKey{host: r.Host}
	}
	return routeKey{host: r.Host, path: r.Prefix}
}

// specificity ranks routes with the same key, first by whether they match a method, then by the number of headers.
func (e *routeEntry) specificity() int {
	const methodWeight = 1 << 20 // greater than any number of headers
	rank := len(e.headers)
	if e.method != "" {
		rank += methodWeight
	}
	return rank
}

// newBounds returns the bounds of a class, or of a route of the class if route is not nil. The caller sets the
// numbers of class, budget and pool.
func newBounds(c *compiler, class *Class, route *Route) *Bounds {
	settings := c.Effective(class, route)
	return &Bounds{
		Deadline:       settings.Deadline.Microseconds(),
		AttemptTimeout: settings.AttemptTimeout.Microseconds(),
		HedgeDelay:     settings.HedgeDelay.Microseconds(),
		MaxAttempts:    settings.MaxAttempts,
		NoHedging:      !settings.Hedging,
		ClassName:      class.Name,
		Idempotency:    class.Idempotency,
	}
}

// setsBudget reports whether a timing sets a retry budget.
func (t *Timing) setsBudget() bool { return t.RetryRatio != nil || t.RetryBurst != nil }

// budgetOwner returns the name that identifies the budget of a route in later tables.
func (r *Route) budgetOwner(index int) string {
	if r.Name == "" {
		return fmt.Sprint("route ", index)
	}
	return "route " + r.Name
}

// budget returns the number of an owner's retry budget, 0 for the default budget if the timing sets none.
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
