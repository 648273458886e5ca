package requestmeta

import (
	"net/http"
	"strings"

	"pinedale/balancer"
)

// Bounds are the properties and limits of the requests of a class or route. A zero limit is none.
type Bounds struct {
	Class            uint8 // number, as the balancer has it
	ClassName        string
	Idempotency      balancer.Idempotency
	RestrictsMethods bool            // the route lists its methods, the class's does not matter
	Deadline         balancer.Micros // longest time for a request
	AttemptTimeout   balancer.Micros // balancer.Request.AttemptTimeout

	// As the fields of balancer.Request.
	HedgeDelay  balancer.Micros
	MaxAttempts int
	NoHedging   bool
	Budget      uint16
	Pool        uint8
}

// Router finds the class or route of a request. A router is immutable and may be shared.
type Router interface {
	// HasRoutes reports whether requests are matched by Route. Otherwise they name their class.
	HasRoutes() bool
	// Route returns the bounds of the route that matches a request.
	Route(in *Request) (*Bounds, bool)
	// ClassBounds returns the bounds of a class by its name.
	ClassBounds(name string) (*Bounds, bool)
	// Tenant returns a tenant's number by its name.
	Tenant(name string) (uint16, bool)
	// Tenants returns the number of tenants. If it is 0, requests need not name one.
	Tenants() int
}

// settingsRouter is the router of the balancer's settings: requests name their class.
type settingsRouter struct {
	classes map[string]*Bounds
	tenants map[string]uint16
}

func (r *settingsRouter) HasRoutes() bool                { return false }
func (r *settingsRouter) Route(*Request) (*Bounds, bool) { return nil, false }
func (r *settingsRouter) Tenants() int                   { return len(r.tenants) }

func (r *settingsRouter) ClassBounds(name string) (*Bounds, bool) {
	bounds, ok := r.classes[name]
	return bounds, ok
}

func (r *settingsRouter) Tenant(name string) (uint16, bool) {
	number, ok := r.tenants[name]
	return number, ok
}

// findBounds returns the bounds of a request: by its route, or by the class that it names.
func findBounds(router Router, in *Request) (*Bounds, error) {
	name := in.Header.Get(HeaderClass)
	if router.HasRoutes() {
		bounds, ok := router.Route(in)
		if !ok {
			return nil, &Error{http.StatusNotFound, "no route is of this request"}
		}
		if name != "" && name != bounds.ClassName {
			return nil, BadRequest("%s: %q, but the route's class is %q", HeaderClass, name, bounds.ClassName)
		}
		return bounds, nil
	}
	bounds, ok := router.ClassBounds(name)
	if !ok {
		return nil, BadRequest("%s: %q is not a known class", HeaderClass, name)
	}
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(in.Path, "/"), "/")
	if firstSegment != name {
		return nil, BadRequest("the path is not of %s %q", HeaderClass, name)
	}
	return bounds, nil
}
