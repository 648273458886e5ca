// Package requestmeta parses the headers by which a client describes its request: class, remaining time, id,
// idempotency key, tenant. All fronts parse requests here, whatever protocol carries them, so that all
// accept and reject the same ones.
//
// A Parser may be shared: its router is replaced as one value on a reload. Nothing outlives the process.
package requestmeta

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

// MaxRequestTime is the longest time that a request gets, whatever its client asks for.
const MaxRequestTime = time.Minute

// ResponseMargin of a client's time is reserved for writing the response: some clients have 40 ms in all.
const ResponseMargin = 2 * time.Millisecond

const (
	maxIDBytes     = 256 // of an id or a key: those of the protocol have 16 and 32
	microsPerMilli = 1000
)

// The headers of a request.
const (
	HeaderID       = "X-Correlation-Id" // one for each request; free again after its response
	HeaderClass    = "X-Service-Class"
	HeaderTenant   = "X-Account"
	HeaderSubject  = "X-Session-Key"
	HeaderTimeLeft = "X-Time-Left-Ms"
	HeaderRepeat   = "X-Repeat"      // 1: the client itself retries
	HeaderHint     = "X-Weight-Hint" // expected work in microseconds
	HeaderKey      = "Idempotency-Key"
)

// singleValueHeaders may occur once only. Another hop could go by the second value where this one goes by
// the first.
var singleValueHeaders = []string{HeaderID, HeaderClass, HeaderTenant, HeaderSubject, HeaderTimeLeft, HeaderRepeat,
	HeaderHint, HeaderKey}

// Error is the reason for which a request is rejected.
type Error struct {
	Code   int    // HTTP status
	Reason string // body of the response
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

// BadRequest returns an *Error of status 400.
func BadRequest(format string, args ...any) error {
	return &Error{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// Code returns the HTTP status for an error: that of an *Error, else 400.
func Code(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return http.StatusBadRequest
}

// Bounds are the properties and limits of the requests of a class or route. A zero limit is none.
type Bounds struct {
	Class          uint8 // number, as the balancer has it
	ClassName      string
	Idempotency    balancer.Idempotency
	Methods        bool            // the route lists its methods, the class's does not matter
	Deadline       balancer.Micros // longest time for a request
	AttemptTimeout balancer.Micros // balancer.Request.AttemptTimeout

	// As the fields of balancer.Request.
	HedgeDelay  balancer.Micros
	MaxAttempts int // MaxAttempts
	NoHedging   bool
	Budget      uint16
	Pool        uint8
}

// Router finds the class or route of a request. A router is immutable and may be shared.
type Router interface {
	// Routed reports whether requests are matched by Route. Otherwise they name their class.
	Routed() bool
	// Route returns the bounds of the route that matches a request.
	Route(in *Request) (*Bounds, bool)
	// OfClass returns the bounds of a class by its name.
	OfClass(name string) (*Bounds, bool)
	// Tenant returns a tenant's number by its name.
	Tenant(name string) (uint16, bool)
	// Tenants returns the number of tenants. If it is 0, requests need not name one.
	Tenants() int
}

// Parser parses requests for the classes and tenants of one installation. It may be shared.
type Parser struct{ router atomic.Pointer[Router] }

// NewParser returns a parser for the classes and tenants of the settings.
func NewParser(s *balancer.Settings) *Parser {
	router := &settingsRouter{map[string]*Bounds{}, map[string]uint16{}}
	for i, c := range s.Classes {
		router.classes[c.Name] = &Bounds{Class: uint8(i), ClassName: c.Name, Idempotency: c.Idempotency}
	}
	for i, t := range s.Tenants {
		router.tenants[t.Name] = uint16(i)
	}
	p := &Parser{}
	p.Use(router)
	return p
}

// Use replaces the router for later requests.
func (p *Parser) Use(r Router) { p.router.Store(&r) }

// Routed reports whether requests are matched by routes, which may depend on any header.
func (p *Parser) Routed() bool { return (*p.router.Load()).Routed() }

// settingsRouter is the router of the balancer's settings: requests name their class.
type settingsRouter struct {
	classes map[string]*Bounds
	tenants map[string]uint16
}

func (p *settingsRouter) Routed() bool                   { return false }
func (p *settingsRouter) Route(*Request) (*Bounds, bool) { return nil, false }
func (p *settingsRouter) Tenants() int                   { return len(p.tenants) }

func (p *settingsRouter) OfClass(name string) (*Bounds, bool) {
	b, ok := p.classes[name]
	return b, ok
}

func (p *settingsRouter) Tenant(name string) (uint16, bool) {
	n, ok := p.tenants[name]
	return n, ok
}

// Request is a request as a front receives it, before its body.
type Request struct {
	Method string
	Host   string // as the request names it, with or without port
	Path   string // without the query
	Header http.Header
	Body   bool            // it has a body, or may have one
	At     balancer.Micros // arrival, by the engine's clock
}

// Parsed is a request as the balancer receives it, with its id and key.
type Parsed struct {
	balancer.Request
	CorrelationID  string
	IdempotencyKey string // "" unless the class has idempotency keys
}

// Parse parses the header of a request. Its errors are *Error.
func (p *Parser) Parse(in Request) (Parsed, error) {
	var out Parsed
	for _, name := range singleValueHeaders {
		if n := len(in.Header[name]); n > 1 {
			return out, BadRequest("%s is there %d times", name, n)
		}
	}
	out.CorrelationID = in.Header.Get(HeaderID)
	if n := len(out.CorrelationID); n == 0 || n > maxIDBytes {
		return out, BadRequest("%s: %d characters, must be 1 to %d", HeaderID, n, maxIDBytes)
	}
	router := *p.router.Load()
	bounds, err := findBounds(router, &in)
	if err != nil {
		return out, err
	}
	out.apply(bounds)
	if out.IdempotencyKey, err = parseKey(bounds, in.Header.Get(HeaderKey)); err != nil {
		return out, err
	}
	if err := checkMethod(bounds, &in); err != nil {
		return out, err
	}
	if out.Deadline, err = parseDeadline(router, bounds, &in); err != nil {
		return out, err
	}
	if router.Tenants() > 0 {
		var ok bool
		if out.Tenant, ok = router.Tenant(in.Header.Get(HeaderTenant)); !ok {
			return out, BadRequest("%s: %q is not a known tenant", HeaderTenant, in.Header.Get(HeaderTenant))
		}
	}
	if subject := in.Header.Get(HeaderSubject); subject != "" {
		hash := fnv.New64a()
		hash.Write([]byte(subject))
		out.Key = hash.Sum64()
	}
	err = out.parseOptional(in.Header)
	return out, err
}

// apply sets what a class or route says of its requests.
func (p *Parsed) apply(b *Bounds) {
	p.Class = b.Class
	p.AttemptTimeout = b.AttemptTimeout
	p.HedgeDelay = b.HedgeDelay
	p.MaxAttempts = b.MaxAttempts
	p.NoHedging = b.NoHedging
	p.Budget = b.Budget
	p.Pool = b.Pool
}

// parseOptional parses the headers that a request may do without.
func (p *Parsed) parseOptional(header http.Header) error {
	if hint := header.Get(HeaderHint); hint != "" {
		micros, err := strconv.ParseUint(hint, 10, 63)
		if err != nil {
			return BadRequest("%s: %q is not a whole number of microseconds", HeaderHint, hint)
		}
		p.WorkHint = int64(micros)
		p.HasWorkHint = true
	}
	switch retry := header.Get(HeaderRepeat); retry {
	case "1":
		p.ClientRetry = true
	case "", "0":
	default:
		return BadRequest("%s: %q is neither 0 nor 1", HeaderRepeat, retry)
	}
	return nil
}

// findBounds returns the bounds of a request: by its route, or by the class that it names.
func findBounds(router Router, in *Request) (*Bounds, error) {
	name := in.Header.Get(HeaderClass)
	if router.Routed() {
		b, ok := router.Route(in)
		if !ok {
			return nil, &Error{http.StatusNotFound, "no route is of this request"}
		}
		if name != "" && name != b.ClassName {
			return nil, BadRequest("%s: %q, but the route's class is %q", HeaderClass, name, b.ClassName)
		}
		return b, nil
	}
	b, ok := router.OfClass(name)
	if !ok {
		return nil, BadRequest("%s: %q is not a known class", HeaderClass, name)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(in.Path, "/"), "/"); first != name {
		return nil, BadRequest("the path is not of %s %q", HeaderClass, name)
	}
	return b, nil
}

// parseKey returns the idempotency key of a request whose class needs one, "" for other classes.
func parseKey(b *Bounds, key string) (string, error) {
	if b.Idempotency != balancer.IdempotentWithKey {
		return "", nil
	}
	if key == "" {
		return "", BadRequest("%s is missing", HeaderKey)
	}
	if len(key) > maxIDBytes {
		return "", BadRequest("%s: %d characters, at most %d", HeaderKey, len(key), maxIDBytes)
	}
	return key, nil
}

// checkMethod checks a request's method: that of its class, unless its route names the methods.
func checkMethod(b *Bounds, in *Request) error {
	method := http.MethodPost
	if b.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if in.Method != method && !b.Methods {
		return &Error{http.StatusMethodNotAllowed, fmt.Sprintf("requests of this class are %s", method)}
	}
	if in.Method == http.MethodGet && in.Body {
		return BadRequest("a GET has no body")
	}
	return nil
}

// parseDeadline returns the instant by which the engine must respond: the least of the client's remaining
// time, the bounds' and MaxRequestTime after the arrival, less ResponseMargin.
func parseDeadline(router Router, b *Bounds, in *Request) (balancer.Micros, error) {
	allowed := MaxRequestTime.Microseconds()
	if b.Deadline > 0 {
		allowed = min(allowed, b.Deadline)
	}
	if header := in.Header.Get(HeaderTimeLeft); header != "" || !router.Routed() {
		millis, err := strconv.ParseUint(header, 10, 63)
		if err != nil {
			return 0, BadRequest("%s: %q is not a whole number of milliseconds", HeaderTimeLeft, header)
		}
		millis = min(millis, uint64(MaxRequestTime.Milliseconds())) // before it is converted: it may be huge
		allowed = min(allowed, int64(millis)*microsPerMilli)
	}
	return in.At + allowed - ResponseMargin.Microseconds(), nil
}
