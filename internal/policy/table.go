package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/admission"
)

// Bounds is what a request of a route brings to the decision module.
type Bounds struct {
	Class          uint8
	Deadline       balancer.Micros
	AttemptTimeout balancer.Micros
	HedgeDelay     balancer.Micros
	MaxAttempts    int
	NoHedging      bool
	Budget         uint16
	Pool           uint8
	ClassName      string
	Idempotency    balancer.Idempotency
	Methods        bool // the route says which methods it takes
}

// entry is one route of a table.
type entry struct {
	Bounds
	route   int
	method  string
	headers []header
}

type header struct{ name, value string }

// place is where a route's path is looked for.
type place struct {
	host string
	path string
	full bool // the whole path, not a prefix
}

// Table is a compiled file. It does not change, and may be shared.
type Table struct {
	Version string

	config  *Config
	classes []balancer.Class // with those of tables before, retired
	budgets []balancer.RetryBudget
	owners  []string // of the budgets
	byName  map[string]*Bounds
	places  map[place][]*entry // the most specific first
	hosts   bool               // a route names one
	tenants []string           // by number, with those of tables before
	pools   []string           // likewise, by bit
	tenant  map[string]uint16
}

// Classes are the module's, retired ones included.
func (t *Table) Classes() []balancer.Class { return t.classes }

// Budgets are the module's.
func (t *Table) Budgets() []balancer.RetryBudget { return t.budgets }

// Config is the file that the table was compiled from.
func (t *Table) Config() *Config { return t.config }

// Routed says that the file has routes: without, a request names its class itself.
func (t *Table) Routed() bool { return len(t.config.Routes) > 0 }

// Each calls f for the bounds of each class and route.
func (t *Table) Each(f func(*Bounds)) {
	for _, b := range t.byName {
		f(b)
	}
	for _, list := range t.places {
		for _, e := range list {
			f(&e.Bounds)
		}
	}
}

// OfClass returns the bounds of a class by its name.
func (t *Table) OfClass(name string) (*Bounds, bool) {
	b, ok := t.byName[name]
	return b, ok
}

// Tenant returns a tenant's number.
func (t *Table) Tenant(name string) (uint16, bool) {
	n, ok := t.tenant[name]
	return n, ok
}

// Tenants counts them.
func (t *Table) Tenants() int { return len(t.config.Tenants) }

// Admission is what the file says of letting requests in, by the numbers of tenants and
// classes.
func (t *Table) Admission(rate float64) admission.Config {
	out := admission.Config{Rate: rate, Classes: make([]admission.Class, len(t.classes))}
	if len(t.config.Tenants) > 0 {
		out.Tenants = make([]admission.Tenant, len(t.tenants))
	}
	for _, x := range t.config.Tenants {
		out.Tenants[t.tenant[x.Name]] = admission.Tenant{Weight: x.Weight, MaxInFlight: x.Open}
	}
	for _, k := range t.config.Classes {
		out.Classes[t.byName[k.Name].Class] = admission.Class{MaxInFlight: k.MaxInFlight, BrownOut: k.BrownOut}
	}
	return out
}

// Pools is one bit for each pool that a server of this site and kind is in.
func (t *Table) Pools(site, kind string) (bits uint64) {
	for _, p := range t.config.Pools {
		if (len(p.Sites) == 0 || slices.Contains(p.Sites, site)) && (len(p.Kinds) == 0 || slices.Contains(p.Kinds, kind)) {
			bits |= 1 << slices.Index(t.pools, p.Name)
		}
	}
	return bits
}

// newTable builds the table of a file. Faults that concern numbers are noted.
func newTable(c *compiler, before *Table) *Table {
	t := &Table{Version: c.Version, config: c.Config, byName: map[string]*Bounds{}, places: map[place][]*entry{}, tenant: map[string]uint16{}}
	if before != nil {
		t.classes, t.budgets, t.owners = slices.Clone(before.classes), slices.Clone(before.budgets), slices.Clone(before.owners)
		t.tenants, t.pools = slices.Clone(before.tenants), slices.Clone(before.pools)
	}
	for i := range t.classes {
		t.classes[i].Retired = true
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		b := c.bounds(t, k, nil, -1)
		b.Class = t.number(c, c.moduleClass(k))
		t.byName[k.Name] = b
	}
	// Requests in hand are of tenants and pools by their numbers.
	keep := func(names *[]string, name string) int {
		if i := slices.Index(*names, name); i >= 0 {
			return i
		}
		*names = append(*names, name)
		return len(*names) - 1
	}
	for _, x := range c.Tenants {
		t.tenant[x.Name] = uint16(keep(&t.tenants, x.Name))
	}
	for _, p := range c.Pools {
		keep(&t.pools, p.Name)
	}
	c.require(len(t.pools) <= poolsMost, "pool", "%d pools since the start, at most %d: start anew", len(t.pools), poolsMost)
	c.require(len(t.tenants) <= 10*tenantsMost, "tenant", "%d tenants since the start, at most %d: start anew", len(t.tenants), 10*tenantsMost)
	for i := range c.Routes {
		r := &c.Routes[i]
		class := t.byName[r.Class]
		if class == nil {
			continue
		}
		k := &c.Classes[slices.IndexFunc(c.Classes, func(k Class) bool { return k.Name == r.Class })]
		e := &entry{Bounds: *c.bounds(t, k, r, i), route: i, method: r.Method}
		e.Class, e.Pool, e.Methods = class.Class, uint8(slices.Index(t.pools, r.Pool)+1), r.Method != ""
		for name, value := range r.Headers {
			e.headers = append(e.headers, header{Canonical(name), value})
		}
		slices.SortFunc(e.headers, func(a, b header) int { return strings.Compare(a.name, b.name) })
		at := place{r.Host, r.Prefix, false}
		if r.Path != "" {
			at = place{r.Host, r.Path, true}
		} else if r.Prefix == "/" {
			at.path = ""
		}
		t.hosts = t.hosts || r.Host != ""
		t.places[at] = append(t.places[at], e)
	}
	for _, list := range t.places {
		slices.SortStableFunc(list, func(a, b *entry) int { return b.weight() - a.weight() })
	}
	c.require(len(t.budgets) <= budgetsMost, "route", "%d budgets since the start, at most %d: start anew", len(t.budgets), budgetsMost)
	return t
}

// weight ranks routes of one place: by whether they name a method, then by headers.
func (e *entry) weight() int {
	w := len(e.headers)
	if e.method != "" {
		w += 1 << 20
	}
	return w
}

// moduleClass is a class as the decision module is told it.
func (c *compiler) moduleClass(k *Class) balancer.Class {
	out := balancer.Class{Name: k.Name, Idempotency: k.Idempotency, Group: k.Group, LatencyObjective: k.LatencyObjective.Microseconds(), ClientTimeout: k.Deadline.Microseconds(),
		PriorityWeight: k.PriorityWeight, LateWeightRatio: k.LateWeightRatio, HedgeQuantile: k.HedgeQuantile}
	if k.Idempotency == balancer.IdempotentWithKey {
		out.DedupWindow = c.Limits.moduleWindow(k.DedupWindow).Microseconds()
	}
	return out
}

// number finds a class's number, or gives it a new one.
func (t *Table) number(c *compiler, k balancer.Class) uint8 {
	for i, was := range t.classes {
		if was.Retired = false; was == k {
			t.classes[i].Retired = false
			return uint8(i)
		}
	}
	if !c.require(len(t.classes) < classesMost, "class", "%d kinds of class since the start, at most %d: start anew", len(t.classes)+1, classesMost) {
		return 0
	}
	t.classes = append(t.classes, k)
	return uint8(len(t.classes) - 1)
}

// Budgets where a file says one figure of the two.
const (
	shareUsual = 0.2
	burstUsual = 10.0
)

// bounds of a class or route; n is the route's number.
func (c *compiler) bounds(t *Table, k *Class, r *Route, n int) *Bounds {
	e := c.Effective(k, r)
	b := &Bounds{Deadline: e.Deadline.Microseconds(), AttemptTimeout: e.AttemptTimeout.Microseconds(), HedgeDelay: e.HedgeDelay.Microseconds(),
		MaxAttempts: e.MaxAttempts, NoHedging: !e.Hedging, ClassName: k.Name, Idempotency: k.Idempotency}
	owner, p := "class "+k.Name, k.Timing
	if r != nil {
		if r.RetryRatio == nil && r.RetryBurst == nil {
			b.Budget = t.byName[k.Name].Budget
			return b
		}
		if owner = "route " + r.Name; r.Name == "" {
			owner = fmt.Sprint("route ", n)
		}
		p = r.Timing
	}
	if p.RetryRatio == nil && p.RetryBurst == nil {
		return b
	}
	u := balancer.RetryBudget{EarnRatio: shareUsual, Burst: burstUsual}
	if p.RetryRatio != nil {
		u.EarnRatio = *p.RetryRatio
	}
	if p.RetryBurst != nil {
		u.Burst = *p.RetryBurst
	}
	at := slices.Index(t.owners, owner)
	if at < 0 {
		at = len(t.owners)
		t.owners, t.budgets = append(t.owners, owner), append(t.budgets, u)
	}
	t.budgets[at] = u
	b.Budget = uint16(min(at+1, budgetsMost))
	return b
}

// Query is what is known of a request before its body.
type Query struct {
	Method string
	Host   string // with or without port
	Path   string // without the query
	Header map[string][]string
}

// Unclean says that a path could be read in two ways, here and at a server: it has
// empty parts, or some that point at themselves or back.
func Unclean(path string) bool { return unclean(path) }

// hostName is a host without its port, in small letters.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	for i := range len(host) {
		if 'A' <= host[i] && host[i] <= 'Z' {
			return strings.ToLower(host)
		}
	}
	return host
}

func (e *entry) matches(q *Query) bool {
	if e.method != "" && e.method != q.Method {
		return false
	}
	for i := range e.headers {
		h := &e.headers[i]
		if v := q.Header[h.name]; len(v) != 1 || v[0] != h.value {
			return false
		}
	}
	return true
}

// Lookup returns the most specific route of a request: a host that is named before any,
// a whole path before a prefix, a longer prefix before a shorter, a method that is named
// before any, more headers before fewer, then the order of the file. It allocates
// nothing for hosts in small letters.
func (t *Table) Lookup(q *Query) (*Bounds, bool) {
	if t.hosts {
		if e := t.in(hostName(q.Host), q); e != nil {
			return &e.Bounds, true
		}
	}
	if e := t.in("", q); e != nil {
		return &e.Bounds, true
	}
	return nil, false
}

// in looks among the routes of one host, "" for those of any.
func (t *Table) in(host string, q *Query) *entry {
	at := place{host, q.Path, true}
	if e := first(t.places[at], q); e != nil {
		return e
	}
	at.full = false
	for {
		if e := first(t.places[at], q); e != nil {
			return e
		}
		i := strings.LastIndexByte(at.path, '/')
		if i < 0 {
			return nil
		}
		at.path = at.path[:i]
	}
}

func first(list []*entry, q *Query) *entry {
	for _, e := range list {
		if e.matches(q) {
			return e
		}
	}
	return nil
}

// Reason says how a route fared with a request.
type Reason struct {
	Route int
	Taken bool
	Text  string
}

// Explain says of each route, in the file's order, why it got a request or did not.
func (t *Table) Explain(q *Query) (all []Reason) {
	var taken *entry
	if t.hosts {
		taken = t.in(hostName(q.Host), q)
	}
	if taken == nil {
		taken = t.in("", q)
	}
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		why := r.mismatch(q)
		if taken != nil && taken.route == i {
			all = append(all, Reason{i, true, "it matches, and none is more specific"})
			continue
		}
		if why == "" {
			why = fmt.Sprintf("it matches, and route[%d] is more specific or stands before it", taken.route)
		}
		all = append(all, Reason{i, false, why})
	}
	return all
}

// mismatch is what of a route does not fit a request, "" if all does. It is written
// down apart from Lookup, which finds routes the other way round.
func (r *Route) mismatch(q *Query) string {
	if r.Host != "" && r.Host != hostName(q.Host) {
		return fmt.Sprintf("the host is %q, not %q", hostName(q.Host), r.Host)
	}
	if r.Path != "" && r.Path != q.Path {
		return fmt.Sprintf("the path is not %q", r.Path)
	}
	if p := strings.TrimSuffix(r.Prefix, "/"); p != "" && q.Path != p && !strings.HasPrefix(q.Path, p+"/") {
		return fmt.Sprintf("the path does not begin with %q", r.Prefix)
	}
	if r.Method != "" && r.Method != q.Method {
		return fmt.Sprintf("the method is %s, not %s", q.Method, r.Method)
	}
	for name, value := range r.Headers {
		if v := q.Header[Canonical(name)]; len(v) != 1 {
			return fmt.Sprintf("the header %s is there %d times, must be once", name, len(v))
		} else if v[0] != value {
			return fmt.Sprintf("the header %s is %q, not %q", name, v[0], value)
		}
	}
	return ""
}

// Canonical is a header's name as net/http has it.
func Canonical(name string) string {
	b := []byte(name)
	up := true
	for i, c := range b {
		switch {
		case up && 'a' <= c && c <= 'z':
			b[i] = c - 'a' + 'A'
		case !up && 'A' <= c && c <= 'Z':
			b[i] = c - 'A' + 'a'
		}
		up = c == '-'
	}
	return string(b)
}

// overlaps finds routes that get the same requests as one before them.
func (c *compiler) overlaps(t *Table) {
	for _, list := range t.places {
		if len(list) < 2 {
			continue
		}
		seen := map[string]*entry{}
		for _, e := range list {
			id := e.method + "\x00" + fmt.Sprint(e.headers)
			was := seen[id]
			if was == nil {
				seen[id] = e
				continue
			}
			at := fmt.Sprintf("route[%d].class", e.route)
			a, b := &c.Routes[was.route], &c.Routes[e.route]
			if a.Class == b.Class && a.Pool == b.Pool && a.Timing.same(&b.Timing) {
				c.warn(at, "is never reached: route[%d] gets the same requests, and says the same of them", was.route)
			} else {
				c.fault(at, "rule overlap: it gets the same requests as route[%d], of class %q, and says something else of them", was.route, a.Class)
			}
		}
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return strings.Compare(a.Key, b.Key) })
}

func (p *Timing) same(o *Timing) bool {
	eq := func(a, b *float64) bool { return a == b || a != nil && b != nil && *a == *b }
	return p.Deadline == o.Deadline && p.AttemptTimeout == o.AttemptTimeout && p.MaxAttempts == o.MaxAttempts && p.HedgeDelay == o.HedgeDelay &&
		(p.Hedging == o.Hedging || p.Hedging != nil && o.Hedging != nil && *p.Hedging == *o.Hedging) &&
		eq(p.RetryRatio, o.RetryRatio) && eq(p.RetryBurst, o.RetryBurst)
}

// Row is one line of a table for a reader.
type Row struct {
	Route     string  `json:"route"` // "" for a class by itself
	Match     string  `json:"match"`
	Class     string  `json:"class"`
	Pool      string  `json:"pool,omitempty"`
	Deadline  string  `json:"deadline"`
	TryFor    string  `json:"try_for,omitempty"`
	Attempts  int     `json:"attempts"`
	CopyAfter string  `json:"copy_after,omitempty"`
	Copies    bool    `json:"second_copies"`
	Share     float64 `json:"retry_share"`
	Burst     float64 `json:"retry_burst"`
}

// Rows is the whole table, classes first, then routes in the file's order.
func (t *Table) Rows() (rows []Row) {
	row := func(b *Bounds) Row {
		span := func(m balancer.Micros) string {
			if m == 0 {
				return ""
			}
			return (time.Duration(m) * time.Microsecond).String()
		}
		u := balancer.RetryBudget{EarnRatio: shareUsual, Burst: burstUsual}
		if b.Budget > 0 {
			u = t.budgets[b.Budget-1]
		}
		return Row{Class: b.ClassName, Deadline: span(b.Deadline), TryFor: span(b.AttemptTimeout), Attempts: b.MaxAttempts, CopyAfter: span(b.HedgeDelay),
			Copies: !b.NoHedging, Share: u.EarnRatio, Burst: u.Burst}
	}
	for _, k := range t.config.Classes {
		x := row(t.byName[k.Name])
		if k.HedgeQuantile > 0 {
			x.CopyAfter = fmt.Sprintf("quantile %v", k.HedgeQuantile)
		}
		rows = append(rows, x)
	}
	routes := make([]Row, len(t.config.Routes))
	for _, list := range t.places {
		for _, e := range list {
			r := &t.config.Routes[e.route]
			x := row(&e.Bounds)
			if x.Route = r.Name; r.Name == "" {
				x.Route = fmt.Sprintf("route[%d]", e.route)
			}
			x.Match, x.Pool = r.match(), r.Pool
			routes[e.route] = x
		}
	}
	return append(rows, routes...)
}

// match is a route's matcher on one line.
func (r *Route) match() string {
	var parts []string
	if r.Method != "" {
		parts = append(parts, r.Method)
	}
	path := r.Path
	if path == "" {
		path = strings.TrimSuffix(r.Prefix, "/") + "/*"
	}
	parts = append(parts, r.Host+path)
	for name, value := range r.Headers {
		parts = append(parts, name+"="+value)
	}
	slices.Sort(parts[1:])
	return strings.Join(parts, " ")
}
