// Package policy compiles what an operator says of routes and classes into a table
// that does not change: which class a request is of, and within which bounds the
// decision module may send, resend or refuse it. It does no I/O and knows no clock.
//
// A file is compiled whole or not at all. What contradicts a rule of a class is found
// by playing out the schedule that the file fixes (see Schedule), with the delays of
// timers, connections and clocks at their worst.
package policy

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"pinedale/balancer"
)

// Timing is what may be said of a class, and again of a route. Zero says nothing.
type Timing struct {
	Deadline       time.Duration // a client's patience over all its tries
	AttemptTimeout time.Duration // the most time for one attempt
	MaxAttempts    int
	HedgeDelay     time.Duration // a second copy goes out once the first attempt is out for so long
	Hedging        *bool         // second copies at all
	RetryRatio     *float64      // retries that each request earns
	RetryBurst     *float64      // and the most that may be saved up
}

// What clients of a class do by themselves.
const (
	ClientsRefused = "refused" // they come again after a refusal
	ClientsFailed  = "failed"  // and after a failure, too
)

// Class is one class of requests.
type Class struct {
	Timing
	Name             string
	Idempotency      balancer.Idempotency
	Group            balancer.Group
	DedupWindow      time.Duration
	LatencyObjective time.Duration
	PriorityWeight   float64
	LateWeightRatio  float64
	HedgeQuantile    float64       // quantile of its latencies that stands for CopyAfter
	TypicalWork      time.Duration // work of an ordinary request; 0 if it is not told
	Clients          string
	MaxInFlight      int // requests of it in hand at most, 0 for any number
	BrownOut         int // classes of a higher number are cut first
}

// Route is one route. What it leaves empty matches everything.
type Route struct {
	Timing
	Name    string
	Host    string
	Path    string // exact
	Prefix  string // up to a slash or the end
	Method  string
	Headers map[string]string
	Class   string
	Pool    string
}

// Pool is a part of the fleet.
type Pool struct {
	Name         string
	Sites, Kinds []string // empty for all
}

// Tenant is one tenant.
type Tenant struct {
	Name   string
	Weight float64 // of its share where there is not enough for all
	Open   int     // requests in hand at most, 0 for any number
}

// Limits are those of the installation.
type Limits struct {
	MaxAttempts int
	Hedging     bool
	MaxDeadline time.Duration
	Dial        time.Duration // a connection may take so long
	TimerSlack  time.Duration // by which what is timed may come late
	ClockError  float64       // share by which two clocks may run apart
	DrainGrace  time.Duration // in which sends to a draining server are borne
	DrainFor    time.Duration // after which it ends; 0 if that is not told
}

// Config is what a file says.
type Config struct {
	Version string // of the file, for logs
	Limits  Limits
	Classes []Class
	Routes  []Route
	Pools   []Pool
	Tenants []Tenant
}

// Most of each that a table holds.
const (
	classesMost = 256     // the module numbers them in one byte, those of files before included
	poolsMost   = 64      // bits of a word
	budgetsMost = 1 << 15 // of classes and routes, those of files before included
	routesMost  = 10_000
	tenantsMost = 1000
	brownMost   = 9
	burstMost   = 1000.0
)

// Fault is what is wrong with a key, or unwise.
type Fault struct {
	Key     string // "class[1].copy_after"
	Reason  string
	Warning bool // legal, and unwise
}

// Moment is when an attempt at one effect may reach a server, at the latest, counted
// from the first attempt's sending.
type Moment struct {
	What string
	Key  string // that fixes it
	At   time.Duration
}

// Effective is what holds for requests of a route: the route's own, else the class's,
// else the installation's.
type Effective struct {
	Class          *Class
	Deadline       time.Duration
	AttemptTimeout time.Duration
	MaxAttempts    int
	HedgeDelay     time.Duration
	Hedging        bool
}

// Effective returns what holds for a class, and for a route of it if that is not nil.
func (c *Config) Effective(class *Class, route *Route) Effective {
	e := Effective{Class: class, Deadline: class.Deadline, MaxAttempts: c.Limits.MaxAttempts, Hedging: c.Limits.Hedging}
	apply := func(p *Timing) {
		if p.Deadline > 0 {
			e.Deadline = p.Deadline
		}
		if p.AttemptTimeout > 0 {
			e.AttemptTimeout = p.AttemptTimeout
		}
		if p.MaxAttempts > 0 {
			e.MaxAttempts = p.MaxAttempts
		}
		if p.HedgeDelay > 0 {
			e.HedgeDelay = p.HedgeDelay
		}
		if p.Hedging != nil {
			e.Hedging = *p.Hedging && c.Limits.Hedging
		}
	}
	apply(&class.Timing)
	if route != nil {
		apply(&route.Timing)
	}
	return e
}

// Schedule is what a file fixes: attempts that follow each other's time-outs, a second
// copy, and clients that come again. What failures bring about in between is bounded by
// the module alone, which counts by its own clock from its own sends.
func (l *Limits) Schedule(e Effective) (all []Moment) {
	if e.AttemptTimeout > 0 {
		for k := 1; k < e.MaxAttempts; k++ {
			at := time.Duration(k) * (e.AttemptTimeout + l.TimerSlack)
			if at >= e.Deadline {
				break // no attempt begins after the deadline
			}
			all = append(all, Moment{fmt.Sprintf("attempt %d, after %d time-outs of %v", k+1, k, e.AttemptTimeout), "try_for", at + l.Dial})
		}
	}
	if e.HedgeDelay > 0 && e.Hedging && e.MaxAttempts > 1 && e.HedgeDelay < e.Deadline && (e.AttemptTimeout == 0 || e.HedgeDelay < e.AttemptTimeout) {
		all = append(all, Moment{"a second copy", "copy_after", e.HedgeDelay + l.TimerSlack + l.Dial})
	}
	if e.Class.Clients == ClientsFailed {
		all = append(all, Moment{fmt.Sprintf("a client that comes again within its %v", e.Deadline), "deadline", e.Deadline + l.TimerSlack + l.Dial})
	}
	return all
}

// remembered is for how long, by this side's clock, a repeat is dropped for certain.
func (l *Limits) remembered(window time.Duration) time.Duration {
	return time.Duration(float64(window) / (1 + l.ClockError))
}

// moduleWindow is the window that the module is told: what it sends within it reaches a
// server that still remembers, though the connection takes its time.
func (l *Limits) moduleWindow(window time.Duration) time.Duration {
	return l.remembered(window) - l.Dial - l.TimerSlack
}

type compiler struct {
	*Config
	faults []Fault
}

func (c *compiler) fault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *compiler) warn(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...), Warning: true})
}

// require notes a fault unless ok.
func (c *compiler) require(ok bool, key, format string, args ...any) bool {
	if !ok {
		c.fault(key, format, args...)
	}
	return ok
}

// Compile checks a file and returns its table; without one if there is any fault that
// is not a warning. before is the table in use, nil for none: classes and budgets that
// requests in hand may be of stay at their numbers.
func Compile(config *Config, before *Table) (*Table, []Fault) {
	c := &compiler{Config: config}
	c.limits()
	classes := map[string]*Class{}
	for i := range c.Classes {
		c.class(i, classes)
	}
	pools := map[string]bool{}
	c.require(len(c.Pools) <= poolsMost, "pool", "%d pools, at most %d", len(c.Pools), poolsMost)
	for i, p := range c.Pools {
		at := fmt.Sprintf("pool[%d].", i)
		c.require(p.Name != "" && !pools[p.Name], at+"name", "%q is missing or there twice", p.Name)
		pools[p.Name] = true
	}
	c.tenants()
	c.require(len(c.Routes) <= routesMost, "route", "%d routes, at most %d", len(c.Routes), routesMost)
	for i := range c.Routes {
		c.route(i, classes, pools)
	}
	t := newTable(c, before)
	c.overlaps(t)
	if slices.ContainsFunc(c.faults, func(f Fault) bool { return !f.Warning }) {
		return nil, c.faults
	}
	return t, c.faults
}

func (c *compiler) limits() {
	l := &c.Limits
	c.require(l.TimerSlack >= 0, "limits.timer_slack", "%v is negative", l.TimerSlack)
	c.require(l.ClockError >= 0 && l.ClockError < 1, "limits.clock_error", "%v is not in 0 to 1", l.ClockError)
	c.require(l.DrainFor >= 0, "fleet.drain_for", "%v is negative", l.DrainFor)
}

func (c *compiler) tenants() {
	c.require(len(c.Tenants) <= tenantsMost, "tenant", "%d tenants, at most %d", len(c.Tenants), tenantsMost)
	seen := map[string]bool{}
	for i, t := range c.Tenants {
		at := fmt.Sprintf("tenant[%d].", i)
		c.require(t.Name != "" && !seen[t.Name], at+"name", "%q is missing or there twice", t.Name)
		seen[t.Name] = true
		c.require(t.Weight > 0 && t.Weight <= 1e6, at+"weight", "%v is not over 0 and up to 1e6", t.Weight)
		c.require(t.Open >= 0, at+"open", "%d is negative", t.Open)
	}
}

// class checks what is said of one class. Its name, kind and window have been read
// before and make sense by themselves.
func (c *compiler) class(i int, classes map[string]*Class) {
	k := &c.Classes[i]
	at := fmt.Sprintf("class[%d].", i)
	classes[k.Name] = k
	c.patience(at, &k.Timing)
	c.require(k.HedgeQuantile >= 0 && k.HedgeQuantile < 1, at+"copy_at", "%v is not a quantile, 0 to 1", k.HedgeQuantile)
	c.require(k.HedgeQuantile == 0 || k.HedgeDelay == 0, at+"copy_at", "copy_after is set, too: one of the two says when")
	c.require(k.HedgeQuantile == 0 || k.Idempotency != balancer.NotIdempotent, at+"copy_at", "rule unsafe: a request of this class is never sent twice")
	c.require(k.TypicalWork >= 0, at+"usual", "%v is negative", k.TypicalWork)
	c.require(k.MaxInFlight >= 0, at+"open", "%d is negative", k.MaxInFlight)
	c.require(k.BrownOut >= 0 && k.BrownOut <= brownMost, at+"brown_out", "%d is not in 0 to %d", k.BrownOut, brownMost)
	if c.require(k.Clients == "" || k.Clients == ClientsRefused || k.Clients == ClientsFailed, at+"clients", "%q is neither %s nor %s", k.Clients, ClientsRefused, ClientsFailed) &&
		k.Clients == ClientsFailed {
		c.require(k.Idempotency != balancer.NotIdempotent, at+"clients", "rule unsafe: what failed may have run, and a client that sends it again has it done twice")
		c.require(k.Idempotency != balancer.IdempotentWithKey || k.Group == balancer.GroupAll, at+"clients",
			"rule group: only some servers drop the repeats of this class, and a client's retry may go to any")
	}
	if k.Idempotency == balancer.IdempotentWithKey && k.DedupWindow > 0 {
		w := c.Limits.moduleWindow(k.DedupWindow)
		c.require(w >= time.Millisecond, at+"window", "rule window: of %v nothing is left for a repeat, after a connection of %v, timers %v late and clocks %v apart",
			k.DedupWindow, c.Limits.Dial, c.Limits.TimerSlack, c.Limits.ClockError)
	}
	c.effective(at, c.Effective(k, nil))
}

func (c *compiler) patience(at string, p *Timing) {
	for key, d := range map[string]time.Duration{"try_for": p.AttemptTimeout, "copy_after": p.HedgeDelay} {
		c.require(d >= 0, at+key, "%v is negative", d)
	}
	c.require(p.MaxAttempts >= 0 && p.MaxAttempts <= c.Limits.MaxAttempts, at+"attempts", "rule attempts: %d is not in 1 to the %d of limits.attempts", p.MaxAttempts, c.Limits.MaxAttempts)
	if p.RetryRatio != nil {
		c.require(*p.RetryRatio >= 0 && *p.RetryRatio <= 1, at+"retry_share", "%v is not in 0 to 1: no request earns more than one retry", *p.RetryRatio)
	}
	if p.RetryBurst != nil {
		c.require(*p.RetryBurst >= 0 && *p.RetryBurst <= burstMost, at+"retry_burst", "%v is not in 0 to %v", *p.RetryBurst, burstMost)
	}
	c.require(p.Hedging == nil || !*p.Hedging || c.Limits.Hedging, at+"second_copies", "limits.second_copies permits none")
}

// effective checks what holds for a class or route.
func (c *compiler) effective(at string, e Effective) {
	key := func(name string) string { return at + name }
	l, k := &c.Limits, e.Class
	if e.Deadline <= 0 {
		return // that is told by itself
	}
	c.require(e.Deadline <= l.MaxDeadline, key("deadline"), "%v is over %v, the most that a request gets", e.Deadline, l.MaxDeadline)
	c.require(e.AttemptTimeout <= e.Deadline, key("try_for"), "%v is over the deadline of %v", e.AttemptTimeout, e.Deadline)
	c.require(e.HedgeDelay == 0 || k.Idempotency != balancer.NotIdempotent, key("copy_after"), "rule unsafe: a request of this class is never sent twice")
	if k.Idempotency == balancer.IdempotentWithKey && k.DedupWindow > 0 {
		for _, m := range l.Schedule(e) {
			worst := time.Duration(math.Ceil(float64(m.At) * (1 + l.ClockError)))
			c.require(worst < k.DedupWindow, key(m.Key), "rule window: %s may reach a server %v after the first, which remembers its key for %v (connection %v, timers %v late, clocks %v apart)",
				m.What, worst, k.DedupWindow, l.Dial, l.TimerSlack, l.ClockError)
		}
	}
	longest := e.Deadline
	if e.AttemptTimeout > 0 {
		longest = e.AttemptTimeout
	}
	if l.DrainFor > 0 {
		c.require(longest+l.DrainGrace+l.TimerSlack <= l.DrainFor, key("deadline"), "rule drain: an attempt may take %v and be sent %v after a drain is told, and servers end after %v",
			longest, l.DrainGrace, l.DrainFor)
	}
	if e.AttemptTimeout > 0 {
		if e.AttemptTimeout < k.TypicalWork {
			c.warn(key("try_for"), "%v is under the usual work of its class, %v: most attempts would be given up", e.AttemptTimeout, k.TypicalWork)
		}
		if e.AttemptTimeout <= l.Dial {
			c.warn(key("try_for"), "%v is not over limits.dial_timeout, %v: a slow connection ends the attempt", e.AttemptTimeout, l.Dial)
		}
		if n := time.Duration(e.MaxAttempts-1) * e.AttemptTimeout; e.MaxAttempts > 1 && n >= e.Deadline {
			c.warn(key("try_for"), "attempt %d would begin after %v, the deadline is %v", e.MaxAttempts, n, e.Deadline)
		}
		if e.HedgeDelay >= e.AttemptTimeout {
			c.warn(key("copy_after"), "%v is not under try_for, %v: no second copy is ever sent", e.HedgeDelay, e.AttemptTimeout)
		}
	}
	if e.HedgeDelay > 0 && !e.Hedging {
		c.warn(key("copy_after"), "second copies are off: none is sent")
	}
	if e.HedgeDelay > 0 && e.MaxAttempts == 1 {
		c.warn(key("copy_after"), "one attempt is permitted: no second copy is ever sent")
	}
}

func (c *compiler) route(i int, classes map[string]*Class, pools map[string]bool) {
	r := &c.Routes[i]
	at := fmt.Sprintf("route[%d].", i)
	c.require(r.Path == "" || r.Prefix == "", at+"prefix", "path is set, too: a route has one of the two")
	for key, p := range map[string]string{"path": r.Path, "prefix": r.Prefix} {
		c.require(p == "" || strings.HasPrefix(p, "/") && !unclean(p), at+key, "%q does not begin with a slash, or holds //, /. or /..", p)
	}
	c.require(r.Prefix == "" || r.Prefix == "/" || !strings.HasSuffix(r.Prefix, "/"), at+"prefix", "%q ends with a slash: prefixes match up to one", r.Prefix)
	c.require(!strings.ContainsAny(r.Host, "/: \t") && r.Host == strings.ToLower(r.Host), at+"host", "%q is not a host's name in small letters, without port", r.Host)
	c.require(word(r.Method) && r.Method == strings.ToUpper(r.Method), at+"method", "%q is not a method", r.Method)
	for name, value := range r.Headers {
		c.require(name != "" && word(name), at+"headers", "%q is not a header's name", name)
		c.require(!strings.ContainsAny(value, "\r\n\x00"), at+"headers", "the value of %q has characters that no header has", name)
	}
	c.require(r.Pool == "" || pools[r.Pool], at+"pool", "%q is not a pool of this file", r.Pool)
	c.patience(at, &r.Timing)
	c.require(r.Deadline >= 0, at+"deadline", "%v is negative", r.Deadline)
	class := classes[r.Class]
	if !c.require(class != nil, at+"class", "%q is not a class of this file", r.Class) {
		return
	}
	if r.Timing != (Timing{}) { // else it is as checked of its class
		c.effective(at, c.Effective(class, r))
	}
	if class.Idempotency == balancer.Idempotent && r.Method != "" && r.Method != "GET" && r.Method != "HEAD" {
		c.warn(at+"method", "%s to a class that is safe to repeat: it is resent as one that is", r.Method)
	}
}

// word says that all characters are those of an HTTP token, RFC 9110 section 5.6.2.
func word(s string) bool {
	for _, r := range s {
		if r <= ' ' || r >= 127 || strings.ContainsRune("()<>@,;:\\\"/[]?={}", r) {
			return false
		}
	}
	return true
}

// unclean says that a path could be read in two ways.
func unclean(p string) bool {
	return strings.Contains(p, "//") || strings.Contains(p, "/./") || strings.Contains(p, "/../") ||
		strings.HasSuffix(p, "/.") || strings.HasSuffix(p, "/..")
}
