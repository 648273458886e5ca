package site

import (
	"pinedale/internal/intake"
	"pinedale/internal/policy"
)

// router is a compiled table as the fronts look it up.
type router struct {
	table  *policy.Table
	bounds map[*policy.Bounds]*intake.Bounds
}

func newRouter(t *policy.Table) *router {
	r := &router{t, map[*policy.Bounds]*intake.Bounds{}}
	t.Each(func(b *policy.Bounds) {
		r.bounds[b] = &intake.Bounds{Class: b.Class, ClassName: b.ClassName, Repeat: b.Idempotency, Methods: b.Methods, Deadline: b.Deadline,
			TryFor: b.AttemptTimeout, HedgeDelay: b.HedgeDelay, Attempts: b.MaxAttempts, NoHedging: b.NoHedging, Budget: b.Budget, Pool: b.Pool}
	})
	return r
}

func (r *router) Routed() bool { return r.table.Routed() }

// Route refuses paths that a server could read otherwise than the table does.
func (r *router) Route(in *intake.Request) (*intake.Bounds, bool) {
	if policy.Unclean(in.Path) {
		return nil, false
	}
	b, ok := r.table.Lookup(&policy.Query{Method: in.Method, Host: in.Host, Path: in.Path, Header: in.Header})
	return r.bounds[b], ok
}

func (r *router) OfClass(name string) (*intake.Bounds, bool) {
	b, ok := r.table.OfClass(name)
	return r.bounds[b], ok
}

func (r *router) Tenant(name string) (uint16, bool) { return r.table.Tenant(name) }
func (r *router) Tenants() int                      { return r.table.Tenants() }
