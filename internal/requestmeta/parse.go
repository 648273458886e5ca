package requestmeta

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync/atomic"

	"pinedale/balancer"
)

// maxIDBytes is the maximum length of an id or idempotency key. In the protocol these have 16 and 32 bytes.
const maxIDBytes = 256

// The headers of a request.
const (
	HeaderID       = "X-Correlation-Id" // unique per request; may be reused after the response
	HeaderClass    = "X-Service-Class"
	HeaderTenant   = "X-Account"
	HeaderSubject  = "X-Session-Key"
	HeaderTimeLeft = "X-Time-Left-Ms"
	HeaderRepeat   = "X-Repeat"      // 1 if the request is a retry by the client
	HeaderHint     = "X-Weight-Hint" // expected work in microseconds
	HeaderKey      = "Idempotency-Key"
)

// singleValueHeaders may occur only once. Otherwise another proxy on the path could use the second value where this
// parser uses the first.
var singleValueHeaders = []string{HeaderID, HeaderClass, HeaderTenant, HeaderSubject, HeaderTimeLeft, HeaderRepeat,
	HeaderHint, HeaderKey}

// Parser parses requests for the classes and tenants of one installation. It is safe for concurrent use.
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
	p.SetRouter(router)
	return p
}

// SetRouter replaces the router for later requests.
func (p *Parser) SetRouter(r Router) { p.router.Store(&r) }

// HasRoutes reports whether requests are matched by routes, which may depend on any header.
func (p *Parser) HasRoutes() bool { return (*p.router.Load()).HasRoutes() }

// Request is a request as a front receives it, before its body.
type Request struct {
	Method string
	Host   string // as in the request, with or without a port
	Path   string // without the query
	Header http.Header
	Body   bool            // whether the request has a body, or may have one
	At     balancer.Micros // arrival, by the engine's clock
}

// Parsed is a request in the form that the balancer takes, with its id and key.
type Parsed struct {
	balancer.Request
	CorrelationID  string
	IdempotencyKey string // "" unless the class has idempotency keys
}

// Parse parses the headers of a request. All its errors are of type *Error.
func (p *Parser) Parse(in Request) (Parsed, error) {
	var out Parsed
	for _, name := range singleValueHeaders {
		if n := len(in.Header[name]); n > 1 {
			return out, BadRequest("header %s occurs %d times, must occur once", name, n)
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

// apply sets the properties that a class or route gives its requests.
func (p *Parsed) apply(b *Bounds) {
	p.Class = b.Class
	p.AttemptTimeout = b.AttemptTimeout
	p.HedgeDelay = b.HedgeDelay
	p.MaxAttempts = b.MaxAttempts
	p.NoHedging = b.NoHedging
	p.Budget = b.Budget
	p.Pool = b.Pool
}

// parseKey returns the idempotency key of a request whose class requires one, "" for other classes.
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

// checkMethod checks the method of a request against its class, unless its route lists the methods.
func checkMethod(b *Bounds, in *Request) error {
	method := http.MethodPost
	if b.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if in.Method != method && !b.RestrictsMethods {
		return &Error{http.StatusMethodNotAllowed, fmt.Sprintf("requests of this class must use method %s", method)}
	}
	if in.Method == http.MethodGet && in.Body {
		return BadRequest("a GET request must have no body")
	}
	return nil
}

// parseOptional parses the optional headers.
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
