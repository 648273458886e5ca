package requestmeta

import (
	"net/http"
	"strings"

	"pinedale/balancer"
)

// Bounds are the properties and limits of the requests of a class or route. A limit of zero means no limit.
type Bounds struct {
	Class            uint8 // number of the class in the balancer's settings
	ClassName        string
	Idempotency      balancer.Idempotency
	RestrictsMethods bool            // the route lists its methods, which replace the method required by the class
	Deadline         balancer.Micros // longest time for a request
	AttemptTimeout   balancer.Micros // as in balancer.Request

	// These, too, have the meaning of the same fields of balancer.Request.
	HedgeDelay  balancer.Micros
	MaxAttempts int
	NoHedging   bool
	Budget      uint16
	Pool        uint8
}

// Router finds the class or route of a request. It must be immutable, and so is safe for concurrent use.
type Router interface {
	// HasRoutes reports whether requests are matched by Route. Otherwise requests name their class.
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

// settingsRouter is the router for the balancer's settings alone: requests name their class.
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

// findBounds returns the bounds for a request: those of its route, or of the class that it names.
func findBounds(router Router, in *Request) (*Bounds, error) {
	name := in.Header.Get(HeaderClass)
	if router.HasRoutes() {
		bounds, ok := router.Route(in)
		if !ok {
			return nil, &Error{http.StatusNotFound, "no route matches this request"}
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
		return nil, BadRequest("%s: %q is not the first segment of the path", HeaderClass, name)
	}
	return bounds, nil
}
