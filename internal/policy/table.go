package policy

import (
	"slices"

	"pinedale/balancer"
	"pinedale/internal/admission"
)

// Bounds is what the requests of a route or class bring to the decision module.
type Bounds struct {
	Class            uint8
	Deadline         balancer.Micros
	AttemptTimeout   balancer.Micros
	HedgeDelay       balancer.Micros
	MaxAttempts      int
	NoHedging        bool
	Budget           uint16 // number of the retry budget from 1, 0 for the default
	Pool             uint8  // number of the pool from 1, 0 for all endpoints
	ClassName        string
	Idempotency      balancer.Idempotency
	RestrictsMethods bool // the route names a method
}

// Table is a compiled configuration. It is immutable and may be shared.
type Table struct {
	Version string

	config       *Config
	classes      []balancer.Class // by number, with those of earlier tables, which are retired
	budgets      []balancer.RetryBudget
	budgetOwners []string // of the budgets
	classBounds  map[string]*Bounds
	routes       map[routeKey][]*routeEntry // the most specific first
	matchesHosts bool                       // some route names a host
	tenants      []string                   // by number, with those of earlier tables
	pools        []string                   // by bit, with those of earlier tables
	tenantNumber map[string]uint16
}

// routeKey is what routes are looked up by.
type routeKey struct {
	host  string // "" for any
	path  string
	exact bool // path is the whole path, not a prefix
}

// routeEntry is one route of a table.
type routeEntry struct {
	Bounds
	route   int // index in Config.Routes
	method  string
	headers []header // by name
}

type header struct{ name, value string }

// Classes returns the classes of the module, retired ones included.
func (t *Table) Classes() []balancer.Class { return t.classes }

// Budgets returns the retry budgets of the module.
func (t *Table) Budgets() []balancer.RetryBudget { return t.budgets }

// Config returns the configuration that the table was compiled from.
func (t *Table) Config() *Config { return t.config }

// HasRoutes reports whether there are routes. Without, a request names its class itself.
func (t *Table) HasRoutes() bool { return len(t.config.Routes) > 0 }

// ForEachBounds calls f for the bounds of each class and route.
func (t *Table) ForEachBounds(f func(*Bounds)) {
	for _, b := range t.classBounds {
		f(b)
	}
	for _, entries := range t.routes {
		for _, e := range entries {
			f(&e.Bounds)
		}
	}
}

// ClassBounds returns the bounds of a class by its name.
func (t *Table) ClassBounds(name string) (*Bounds, bool) {
	b, ok := t.classBounds[name]
	return b, ok
}

// Tenant returns a tenant's number.
func (t *Table) Tenant(name string) (uint16, bool) {
	n, ok := t.tenantNumber[name]
	return n, ok
}

// Tenants returns the number of tenants.
func (t *Table) Tenants() int { return len(t.config.Tenants) }

// Admission returns the configuration of admission control, by the numbers of tenants and classes.
func (t *Table) Admission(rate float64) admission.Config {
	out := admission.Config{Rate: rate, Classes: make([]admission.Class, len(t.classes))}
	if len(t.config.Tenants) > 0 {
		out.Tenants = make([]admission.Tenant, len(t.tenants))
	}
	for _, tenant := range t.config.Tenants {
		out.Tenants[t.tenantNumber[tenant.Name]] = admission.Tenant{Weight: tenant.Weight, MaxInFlight: tenant.Open}
	}
	for _, class := range t.config.Classes {
		number := t.classBounds[class.Name].Class
		out.Classes[number] = admission.Class{MaxInFlight: class.MaxInFlight, BrownoutLevel: class.BrownoutLevel}
	}
	return out
}

// Pools returns one bit for each pool that an endpoint of this site and kind belongs to.
func (t *Table) Pools(site, kind string) (bits uint64) {
	for _, p := range t.config.Pools {
		inSite := len(p.Sites) == 0 || slices.Contains(p.Sites, site)
		if inSite && (len(p.Kinds) == 0 || slices.Contains(p.Kinds, kind)) {
			bits |= 1 << slices.Index(t.pools, p.Name)
		}
	}
	return bits
}
