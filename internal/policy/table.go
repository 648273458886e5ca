package policy

import (
	"slices"

	"pinedale/balancer"
	"pinedale/internal/admission"
)

// Bounds holds the settings of a class or route that the decision module gets with each request.
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
	RestrictsMethods bool // the route matches one method only
}

// Table is a compiled configuration. It is immutable and may be shared.
type Table struct {
	Version string

	config       *Config
	classes      []balancer.Class           // by number; those of earlier tables are retired
	budgets      []balancer.RetryBudget     // by number - 1, including those of earlier tables
	budgetOwners []string                   // by number - 1, see budgetOwner
	classBounds  map[string]*Bounds         // by class name
	routes       map[routeKey][]*routeEntry // the most specific first
	matchesHosts bool                       // at least one route matches a host
	tenants      []string                   // names by number, including those of earlier tables
	pools        []string                   // names by bit, including those of earlier tables
	tenantNumber map[string]uint16          // by name
}

// routeKey is the key under which routes are found.
type routeKey struct {
	host  string // "" for any
	path  string
	exact bool // path is the complete path, not a prefix
}

// routeEntry is one route of a table.
type routeEntry struct {
	Bounds
	route   int      // index in Config.Routes
	method  string   // "" for any
	headers []header // sorted by name
}

// header is a header matcher of a route, with the canonical name.
type header struct{ name, value string }

// Classes returns the classes for the decision module by number, including retired ones.
func (t *Table) Classes() []balancer.Class { return t.classes }

// Budgets returns the retry budgets for the decision module by number - 1.
func (t *Table) Budgets() []balancer.RetryBudget { return t.budgets }

// Config returns the configuration that the table was compiled from.
func (t *Table) Config() *Config { return t.config }

// HasRoutes reports whether there are routes. Without routes, requests contain the names of their classes.
func (t *Table) HasRoutes() bool { return len(t.config.Routes) > 0 }

// ForEachBounds calls f for the bounds of each class and route.
func (t *Table) ForEachBounds(f func(*Bounds)) {
	for _, bounds := range t.classBounds {
		f(bounds)
	}
	for _, entries := range t.routes {
		for _, entry := range entries {
			f(&entry.Bounds)
		}
	}
}

// ClassBounds returns the bounds of a class by its name.
func (t *Table) ClassBounds(name string) (*Bounds, bool) {
	bounds, ok := t.classBounds[name]
	return bounds, ok
}

// Tenant returns the number of a tenant by its name.
func (t *Table) Tenant(name string) (uint16, bool) {
	number, ok := t.tenantNumber[name]
	return number, ok
}

// Tenants returns the number of configured tenants.
func (t *Table) Tenants() int { return len(t.config.Tenants) }

// Admission returns the configuration of admission control. Its tenants and classes have the numbers of the table.
func (t *Table) Admission(rate float64) admission.Config {
	config := admission.Config{
		Rate:    rate,
		Classes: make([]admission.Class, len(t.classes)),
	}
	if len(t.config.Tenants) > 0 {
		config.Tenants = make([]admission.Tenant, len(t.tenants))
	}
	for _, tenant := range t.config.Tenants {
		number := t.tenantNumber[tenant.Name]
		config.Tenants[number] = admission.Tenant{Weight: tenant.Weight, MaxInFlight: tenant.Open}
	}
	for _, class := range t.config.Classes {
		number := t.classBounds[class.Name].Class
		config.Classes[number] = admission.Class{MaxInFlight: class.MaxInFlight, BrownoutLevel: class.BrownoutLevel}
	}
	return config
}

// Pools returns the bits of all pools that contain an endpoint of a site and kind.
func (t *Table) Pools(site, kind string) (bits uint64) {
	for i := range t.config.Pools {
		pool := &t.config.Pools[i]
		if pool.contains(site, kind) {
			bits |= 1 << slices.Index(t.pools, pool.Name)
		}
	}
	return bits
}

// contains reports whether endpoints of a site and kind belong to the pool.
func (p *Pool) contains(site, kind string) bool {
	containsSite := len(p.Sites) == 0 || slices.Contains(p.Sites, site)
	containsKind := len(p.Kinds) == 0 || slices.Contains(p.Kinds, kind)
	return containsSite && containsKind
}
