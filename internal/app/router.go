package app

import (
	"pinedale/internal/policy"
	"pinedale/internal/requestmeta"
)

// router lets the fronts look up requests in a compiled table. It is immutable.
type router struct {
	table  *policy.Table
	bounds map[*policy.Bounds]*requestmeta.Bounds
}

// newRouter converts the bounds of a table once, so that a lookup allocates nothing.
func newRouter(table *policy.Table) *router {
	r := &router{table, map[*policy.Bounds]*requestmeta.Bounds{}}
	table.ForEachBounds(func(bounds *policy.Bounds) {
		r.bounds[bounds] = &requestmeta.Bounds{
			Class:            bounds.Class,
			ClassName:        bounds.ClassName,
			Idempotency:      bounds.Idempotency,
			RestrictsMethods: bounds.RestrictsMethods,
			Deadline:         bounds.Deadline,
			AttemptTimeout:   bounds.AttemptTimeout,
			HedgeDelay:       bounds.HedgeDelay,
			MaxAttempts:      bounds.MaxAttempts,
			NoHedging:        bounds.NoHedging,
			Budget:           bounds.Budget,
			Pool:             bounds.Pool,
		}
	})
	return r
}

// HasRoutes reports whether the table has routes. Without routes, a request names its class.
func (r *router) HasRoutes() bool { return r.table.HasRoutes() }

// Route returns the bounds of a request's route. It rejects paths that a server could interpret differently from the
// table.
func (r *router) Route(in *requestmeta.Request) (*requestmeta.Bounds, bool) {
	if policy.IsAmbiguousPath(in.Path) {
		return nil, false
	}
	query := policy.Query{Method: in.Method, Host: in.Host, Path: in.Path, Header: in.Header}
	b, ok := r.table.Lookup(&query)
	return r.bounds[b], ok
}

// ClassBounds returns the bounds of a class.
func (r *router) ClassBounds(name string) (*requestmeta.Bounds, bool) {
	b, ok := r.table.ClassBounds(name)
	return r.bounds[b], ok
}

// Tenant returns the number of a tenant.
func (r *router) Tenant(name string) (uint16, bool) { return r.table.Tenant(name) }

// Tenants returns the number of tenants.
func (r *router) Tenants() int { return r.table.Tenants() }
