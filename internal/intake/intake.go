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

// Parser knows the classes and tenants of an installation. It does not change and
// may be shared.
type Parser struct {
	settings *balancer.Settings
	classes  map[string]uint8
	tenants  map[string]uint16
}

// NewParser returns a parser for the classes and tenants of the settings.
func NewParser(s *balancer.Settings) *Parser {
	p := &Parser{settings: s, classes: map[string]uint8{}, tenants: map[string]uint16{}}
	for i, c := range s.Classes {
		p.classes[c.Name] = uint8(i)
	}
	for i, t := range s.Tenants {
		p.tenants[t.Name] = uint16(i)
	}
	return p
}

// Request is what a front has of a request before its body.
type Request struct {
	Method string
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
	name := h.Get(HeaderClass)
	class, ok := p.classes[name]
	if !ok {
		return out, Bad("%s: %q is not a known class", HeaderClass, name)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(in.Path, "/"), "/"); first != name {
		return out, Bad("the path is not of %s %q", HeaderClass, name)
	}
	out.Class = class
	method, key := http.MethodPost, h.Get(HeaderKey)
	switch p.settings.Classes[class].Repeat {
	case balancer.Safe:
		method = http.MethodGet
	case balancer.Keyed:
		if key == "" {
			return out, Bad("%s is missing", HeaderKey)
		}
		if len(key) > idMost {
			return out, Bad("%s: %d characters, at most %d", HeaderKey, len(key), idMost)
		}
		out.IdempotencyKey = key
	}
	if in.Method != method {
		return out, &Error{http.StatusMethodNotAllowed, fmt.Sprintf("requests of this class are %s", method)}
	}
	if method == http.MethodGet && in.Body {
		return out, Bad("a GET has no body")
	}
	left, err := strconv.ParseUint(h.Get(HeaderTimeLeft), 10, 63)
	if err != nil {
		return out, Bad("%s: %q is not a whole number of milliseconds", HeaderTimeLeft, h.Get(HeaderTimeLeft))
	}
	left = min(left, uint64(TimeLeftMost.Milliseconds()))
	out.Deadline = in.At + int64(left)*1000 - AnswerMargin.Microseconds()
	if len(p.tenants) > 0 {
		if out.Tenant, ok = p.tenants[h.Get(HeaderTenant)]; !ok {
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
		out.Hint, out.HasHint = int64(micros), true
	}
	switch h.Get(HeaderRepeat) {
	case "1":
		out.Retry = true
	case "", "0":
	default:
		return out, Bad("%s: %q is neither 0 nor 1", HeaderRepeat, h.Get(HeaderRepeat))
	}
	return out, nil
}
