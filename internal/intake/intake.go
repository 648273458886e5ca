// Package intake reads what an application says of its request: class, time left,
// id, key, tenant. All fronts read it here, whatever carries it, so that all ask
// the same of a request and refuse the same.
package intake

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"pinedale/balancer"
)

const (
	idMost = 256 // characters of an id or a key: those of the protocol have 16 and 32

	// TimeLeftMost is the most time that a request gets, whatever it asks for.
	TimeLeftMost = time.Minute

	// AnswerMargin of a client's time is kept for writing the final answer: some
	// have 40 ms in all.
	AnswerMargin = 2 * time.Millisecond
)

// The headers of a request.
const (
	HeaderID       = "X-Correlation-Id"
	HeaderClass    = "X-Service-Class"
	HeaderTenant   = "X-Account"
	HeaderSubject  = "X-Session-Key"
	HeaderTimeLeft = "X-Time-Left-Ms"
	HeaderRepeat   = "X-Repeat"
	HeaderHint     = "X-Weight-Hint"
	HeaderKey      = "Idempotency-Key"
)

// single headers have one value. A second one could be the one that somebody
// else on the way goes by.
var single = []string{HeaderID, HeaderClass, HeaderTenant, HeaderSubject, HeaderTimeLeft, HeaderRepeat,
	HeaderHint, HeaderKey}

// Error is what a client did wrong.
type Error struct {
	Code   int // of HTTP
	Reason string
}

// Error says what is wrong.
func (e *Error) Error() string { return e.Reason }

// Bad is an Error of code 400.
func Bad(format string, args ...any) error {
	return &Error{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// Code is the status code for an error: that of an Error, else 400.
func Code(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return http.StatusBadRequest
}

// Bounds is what holds for the requests of a class or route. Zero figures bound nothing.
type Bounds struct {
	Class     uint8
	ClassName string
	Repeat    balancer.Idempotency
	Methods   bool            // the route has said which methods it takes
	Deadline  balancer.Micros // the most time that a request gets
	TryFor    balancer.Micros // as the fields of balancer.Request, as are those below
	CopyAfter balancer.Micros
	Attempts  int
	NoCopies  bool
	Budget    uint16
	Pool      uint8
}

// Router says which class a request is of. A router does not change, and may be shared.
type Router interface {
	// Routed says that Route decides; without, requests name their class.
	Routed() bool
	// Route returns the bounds of a request by its route.
	Route(in *Request) (*Bounds, bool)
	// OfClass returns those of a class by its name.
	OfClass(name string) (*Bounds, bool)
	// Tenant returns a tenant's number. Where there are none, none is asked for.
	Tenant(name string) (uint16, bool)
	Tenants() int
}

// Parser knows the classes and tenants of an installation. It may be shared.
type Parser struct{ router atomic.Pointer[Router] }

// NewParser returns a parser for the classes and tenants of the settings.
func NewParser(s *balancer.Settings) *Parser {
	known := &plain{map[string]*Bounds{}, map[string]uint16{}}
	for i, c := range s.Classes {
		known.classes[c.Name] = &Bounds{Class: uint8(i), ClassName: c.Name, Repeat: c.Idempotency}
	}
	for i, t := range s.Tenants {
		known.tenants[t.Name] = uint16(i)
	}
	p := &Parser{}
	p.Use(known)
	return p
}

// Use has the parser go by another router from now on.
func (p *Parser) Use(r Router) { p.router.Store(&r) }

// Routed says that requests are told apart by routes, and so perhaps by any header.
func (p *Parser) Routed() bool { return (*p.router.Load()).Routed() }

// plain is the router of settings: requests name their class.
type plain struct {
	classes map[string]*Bounds
	tenants map[string]uint16
}

func (p *plain) Routed() bool                   { return false }
func (p *plain) Route(*Request) (*Bounds, bool) { return nil, false }
func (p *plain) Tenants() int                   { return len(p.tenants) }
func (p *plain) OfClass(name string) (*Bounds, bool) {
	b, ok := p.classes[name]
	return b, ok
}
func (p *plain) Tenant(name string) (uint16, bool) {
	n, ok := p.tenants[name]
	return n, ok
}

// Request is what a front has of a request before its body.
type Request struct {
	Method string
	Host   string // as the request names it, with or without port
	Path   string // without the query
	Header http.Header
	Body   bool            // it has one, or may
	At     balancer.Micros // when it came
}

// Parsed is a request as the balancer takes it, and what names it.
type Parsed struct {
	balancer.Request
	CorrelationID  string
	IdempotencyKey string // "" unless the class is keyed
}

// bounds finds what holds for a request: by its route, or by the class that it names.
func bounds(router Router, in *Request) (*Bounds, error) {
	name := in.Header.Get(HeaderClass)
	if router.Routed() {
		b, ok := router.Route(in)
		if !ok {
			return nil, &Error{http.StatusNotFound, "no route is of this request"}
		}
		if name != "" && name != b.ClassName {
			return nil, Bad("%s: %q, but the route's class is %q", HeaderClass, name, b.ClassName)
		}
		return b, nil
	}
	b, ok := router.OfClass(name)
	if !ok {
		return nil, Bad("%s: %q is not a known class", HeaderClass, name)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(in.Path, "/"), "/"); first != name {
		return nil, Bad("the path is not of %s %q", HeaderClass, name)
	}
	return b, nil
}

// Parse reads a request's head. Its errors are *Error.
func (p *Parser) Parse(in Request) (Parsed, error) {
	var out Parsed
	h := in.Header
	for _, name := range single {
		if len(h[name]) > 1 {
			return out, Bad("%s is there %d times", name, len(h[name]))
		}
	}
	out.CorrelationID = h.Get(HeaderID)
	if n := len(out.CorrelationID); n == 0 || n > idMost {
		return out, Bad("%s: %d characters, must be 1 to %d", HeaderID, n, idMost)
	}
	router := *p.router.Load()
	b, err := bounds(router, &in)
	if err != nil {
		return out, err
	}
	out.Class = b.Class
	method, key := http.MethodPost, h.Get(HeaderKey)
	switch b.Repeat {
	case balancer.Idempotent:
		method = http.MethodGet
	case balancer.IdempotentWithKey:
		if key == "" {
			return out, Bad("%s is missing", HeaderKey)
		}
		if len(key) > idMost {
			return out, Bad("%s: %d characters, at most %d", HeaderKey, len(key), idMost)
		}
		out.IdempotencyKey = key
	}
	if in.Method != method && !b.Methods {
		return out, &Error{http.StatusMethodNotAllowed, fmt.Sprintf("requests of this class are %s", method)}
	}
	if in.Method == http.MethodGet && in.Body {
		return out, Bad("a GET has no body")
	}
	most := TimeLeftMost.Microseconds()
	if b.Deadline > 0 {
		most = min(most, b.Deadline)
	}
	if told := h.Get(HeaderTimeLeft); told != "" || !router.Routed() {
		left, err := strconv.ParseUint(told, 10, 63)
		if err != nil {
			return out, Bad("%s: %q is not a whole number of milliseconds", HeaderTimeLeft, told)
		}
		most = min(most, int64(min(left, uint64(TimeLeftMost.Milliseconds())))*1000)
	}
	out.Deadline = in.At + most - AnswerMargin.Microseconds()
	out.AttemptTimeout, out.HedgeDelay, out.MaxAttempts, out.NoHedging, out.Budget, out.Pool = b.TryFor, b.CopyAfter, b.Attempts, b.NoCopies, b.Budget, b.Pool
	if router.Tenants() > 0 {
		var ok bool
		if out.Tenant, ok = router.Tenant(h.Get(HeaderTenant)); !ok {
			return out, Bad("%s: %q is not a known tenant", HeaderTenant, h.Get(HeaderTenant))
		}
	}
	if subject := h.Get(HeaderSubject); subject != "" {
		hash := fnv.New64a()
		hash.Write([]byte(subject))
		out.Key = hash.Sum64()
	}
	if hint := h.Get(HeaderHint); hint != "" {
		micros, err := strconv.ParseUint(hint, 10, 63)
		if err != nil {
			return out, Bad("%s: %q is not a whole number of microseconds", HeaderHint, hint)
		}
		out.WorkHint, out.HasWorkHint = int64(micros), true
	}
	switch h.Get(HeaderRepeat) {
	case "1":
		out.ClientRetry = true
	case "", "0":
	default:
		return out, Bad("%s: %q is neither 0 nor 1", HeaderRepeat, h.Get(HeaderRepeat))
	}
	return out, nil
}
