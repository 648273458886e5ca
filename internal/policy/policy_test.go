package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
)

const ms = time.Millisecond

// marketConfig is the co-operative's file.
func marketConfig() *Config {
	return &Config{Version: "v", Limits: Limits{MaxAttempts: 3, Hedging: true, MaxDeadline: time.Minute, Dial: 250 * ms, TimerSlack: 10 * ms,
		ClockError: 0.0005, DrainGrace: 2 * time.Second},
		Classes: []Class{
			{Name: "price-check", Timing: Timing{Deadline: 3 * time.Second}, LatencyObjective: 600 * ms, PriorityWeight: 2},
			{Name: "stall-pay", Idempotency: balancer.IdempotentWithKey, DedupWindow: 1500 * ms, Timing: Timing{Deadline: 2500 * ms}, LatencyObjective: 600 * ms, PriorityWeight: 10},
			{Name: "day-close", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupCell, DedupWindow: 12 * time.Second, Timing: Timing{Deadline: 2500 * ms}, LatencyObjective: 1200 * ms, PriorityWeight: 3},
			{Name: "order", Idempotency: balancer.NotIdempotent, Timing: Timing{Deadline: 2500 * ms}, LatencyObjective: 600 * ms, PriorityWeight: 1}}}
}

const (
	classPrices = iota
	classPay
	classDayClose
	classOrder
)

func ptr[T any](v T) *T { return &v }

// faults folds what is wrong into lines.
func faults(c *Config) (errors, warnings []string) {
	_, all := Compile(c, nil)
	for _, f := range all {
		if f.Warning {
			warnings = append(warnings, f.Key+": "+f.Reason)
		} else {
			errors = append(errors, f.Key+": "+f.Reason)
		}
	}
	return
}

// What contradicts a rule of a class is refused, with the key and the figure; what
// stands a step before that is not.
func TestContradictionIsRejectedWithKeyAndFigure(t *testing.T) {
	for name, c := range map[string]struct {
		good, bad func(*Config)
		key       string
		says      []string
	}{
		"attempts within the window": {
			func(c *Config) { c.Classes[classPay].AttemptTimeout, c.Classes[classPay].MaxAttempts = 600*ms, 3 },
			func(c *Config) { c.Classes[classPay].AttemptTimeout, c.Classes[classPay].MaxAttempts = 650*ms, 3 }, "class[1].try_for", []string{"rule window", "attempt 3", "1.5s", "1.570785s"}},
		"attempts of one pod": {
			func(c *Config) {
				c.Classes[classDayClose].Deadline, c.Classes[classDayClose].AttemptTimeout = 30*time.Second, 5800*ms
			},
			func(c *Config) {
				c.Classes[classDayClose].Deadline, c.Classes[classDayClose].AttemptTimeout = 30*time.Second, 5900*ms
			}, "class[2].try_for", []string{"rule window", "12s"}},
		"with a slow clock": {
			func(c *Config) {
				c.Classes[classDayClose].Deadline, c.Classes[classDayClose].AttemptTimeout = 30*time.Second, 5800*ms
			},
			func(c *Config) {
				c.Classes[classDayClose].Deadline, c.Classes[classDayClose].AttemptTimeout = 30*time.Second, 5800*ms
				c.Limits.ClockError = 0.02
			}, "class[2].try_for", []string{"clocks 0.02 apart"}},
		"with a slow connection": {
			func(c *Config) { c.Classes[classPay].AttemptTimeout = 600 * ms },
			func(c *Config) { c.Classes[classPay].AttemptTimeout, c.Limits.Dial = 600*ms, 300*ms }, "class[1].try_for", []string{"connection 300ms"}},
		"clients that come again": {
			func(c *Config) {
				c.Classes[classPay].Clients, c.Classes[classPay].Deadline = ClientsRetryFailed, 1200*ms
			},
			func(c *Config) { c.Classes[classPay].Clients = ClientsRetryFailed }, "class[1].deadline", []string{"a client that comes again within its 2.5s"}},
		"clients that go to any pod": {
			func(c *Config) { c.Classes[classDayClose].Clients = ClientsRetryRejected },
			func(c *Config) { c.Classes[classDayClose].Clients = ClientsRetryFailed }, "class[2].clients", []string{"rule group"}},
		"clients of what is unsafe": {
			func(c *Config) { c.Classes[classOrder].Clients = ClientsRetryRejected },
			func(c *Config) { c.Classes[classOrder].Clients = ClientsRetryFailed }, "class[3].clients", []string{"rule unsafe"}},
		"a second copy within the window": {
			func(c *Config) { c.Classes[classPay].HedgeDelay = 1200 * ms },
			func(c *Config) { c.Classes[classPay].HedgeDelay = 1600 * ms }, "class[1].copy_after", []string{"rule window", "a second copy", "1.5s"}},
		"a second copy of what is unsafe": {
			func(c *Config) {}, func(c *Config) { c.Classes[classOrder].HedgeDelay = ms }, "class[3].copy_after", []string{"rule unsafe"}},
		"a quantile of what is unsafe": {
			func(c *Config) { c.Classes[classPay].HedgeQuantile = 0.9 }, func(c *Config) { c.Classes[classOrder].HedgeQuantile = 0.9 }, "class[3].copy_at", []string{"rule unsafe"}},
		"a window that is all connection": {
			func(c *Config) { c.Classes[classPay].DedupWindow = 300 * ms }, func(c *Config) { c.Classes[classPay].DedupWindow = 260 * ms }, "class[1].window", []string{"rule window", "nothing is left"}},
		"too many attempts": {
			func(c *Config) { c.Classes[0].MaxAttempts = 3 }, func(c *Config) { c.Classes[0].MaxAttempts = 4 }, "class[0].attempts", []string{"rule attempts", "4"}},
		"a drain that cuts off": {
			func(c *Config) { c.Limits.DrainFor = 5100 * ms }, func(c *Config) { c.Limits.DrainFor = 5 * time.Second }, "class[0].deadline", []string{"rule drain", "3s", "2s", "5s"}},
		"a drain, and time for an attempt": {
			func(c *Config) {
				c.Limits.DrainFor = 3500 * ms
				for i := range c.Classes {
					c.Classes[i].AttemptTimeout, c.Classes[i].MaxAttempts = 1400*ms, 1
				}
			}, func(c *Config) { c.Limits.DrainFor = 3500 * ms }, "class[0].deadline", []string{"rule drain"}},
		"a route that is later than its class": {
			func(c *Config) {
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{HedgeDelay: time.Second}}}
			},
			func(c *Config) {
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{HedgeDelay: 1450 * ms}}}
			}, "route[0].copy_after", []string{"rule window"}},
		"a route beside its class's attempts": {
			func(c *Config) {
				c.Classes[classPay].AttemptTimeout, c.Classes[classPay].MaxAttempts = 1200*ms, 2
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a"}}
			},
			func(c *Config) {
				c.Classes[classPay].AttemptTimeout, c.Classes[classPay].MaxAttempts = 1200*ms, 2
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{MaxAttempts: 3}}}
			}, "route[0].try_for", []string{"attempt 3"}},
		"routes that overlap": {
			func(c *Config) {
				c.Routes = []Route{{Prefix: "/a", Class: "order"}, {Prefix: "/a", Method: "GET", Class: "price-check"}}
			},
			func(c *Config) {
				c.Routes = []Route{{Prefix: "/a", Class: "order"}, {Prefix: "/a", Class: "price-check"}}
			}, "route[1].class", []string{"rule overlap", "route[0]", "order"}},
	} {
		c.key += ": "
		good, bad := marketConfig(), marketConfig()
		c.good(good)
		c.bad(bad)
		if errs, _ := faults(good); len(errs) > 0 {
			t.Errorf("%s: what is legal is refused: %v", name, errs)
		}
		errs, _ := faults(bad)
		at := slices.IndexFunc(errs, func(s string) bool { return strings.HasPrefix(s, c.key) })
		if at < 0 {
			t.Errorf("%s: %v, want one of %s", name, errs, c.key)
			continue
		}
		for _, word := range c.says {
			if !strings.Contains(errs[at], word) {
				t.Errorf("%s: %q does not say %q", name, errs[at], word)
			}
		}
	}
}

// What is legal and unwise is told, and taken.
func TestUnwiseFigureGivesWarning(t *testing.T) {
	for name, c := range map[string]struct {
		set func(*Config)
		key string
	}{
		"less than the usual work": {func(c *Config) { c.Classes[0].AttemptTimeout, c.Classes[0].TypicalWork = 300*ms, 400*ms }, "class[0].try_for"},
		"less than a connection":   {func(c *Config) { c.Classes[0].AttemptTimeout = 200 * ms }, "class[0].try_for"},
		"attempts past the end":    {func(c *Config) { c.Classes[0].AttemptTimeout = 2 * time.Second }, "class[0].try_for"},
		"a copy past the attempt":  {func(c *Config) { c.Classes[0].AttemptTimeout, c.Classes[0].HedgeDelay = time.Second, time.Second }, "class[0].copy_after"},
		"a copy, and one attempt":  {func(c *Config) { c.Classes[0].MaxAttempts, c.Classes[0].HedgeDelay = 1, time.Second }, "class[0].copy_after"},
		"a copy, and none wanted":  {func(c *Config) { c.Classes[0].Hedging, c.Classes[0].HedgeDelay = ptr(false), time.Second }, "class[0].copy_after"},
		"a route never reached":    {func(c *Config) { c.Routes = []Route{{Path: "/a", Class: "order"}, {Path: "/a", Class: "order"}} }, "route[1].class"},
		"a POST that is safe":      {func(c *Config) { c.Routes = []Route{{Path: "/a", Method: "POST", Class: "price-check"}} }, "route[0].method"},
	} {
		m := marketConfig()
		c.set(m)
		errs, warned := faults(m)
		if len(errs) > 0 || !slices.ContainsFunc(warned, func(s string) bool { return strings.HasPrefix(s, c.key+": ") }) {
			t.Errorf("%s: faults %v, warnings %v", name, errs, warned)
		}
	}
	if errs, warned := faults(marketConfig()); len(errs)+len(warned) > 0 {
		t.Errorf("an ordinary file: %v, %v", errs, warned)
	}
}

// Each key's bounds.
func TestFigureOutOfBoundsIsRejected(t *testing.T) {
	for key, set := range map[string]func(*Config){
		"limits.timer_slack":     func(c *Config) { c.Limits.TimerSlack = -1 },
		"limits.clock_error":     func(c *Config) { c.Limits.ClockError = 1 },
		"fleet.drain_for":        func(c *Config) { c.Limits.DrainFor = -1 },
		"class[0].copy_at":       func(c *Config) { c.Classes[0].HedgeQuantile = 1 },
		"class[1].copy_at":       func(c *Config) { c.Classes[1].HedgeQuantile, c.Classes[1].HedgeDelay = 0.5, ms },
		"class[0].usual":         func(c *Config) { c.Classes[0].TypicalWork = -1 },
		"class[0].open":          func(c *Config) { c.Classes[0].MaxInFlight = -1 },
		"class[0].brown_out":     func(c *Config) { c.Classes[0].BrownOut = 10 },
		"class[0].clients":       func(c *Config) { c.Classes[0].Clients = "never" },
		"class[0].try_for":       func(c *Config) { c.Classes[0].AttemptTimeout = -1 },
		"class[1].try_for":       func(c *Config) { c.Classes[1].AttemptTimeout = time.Minute },
		"class[0].copy_after":    func(c *Config) { c.Classes[0].HedgeDelay = -1 },
		"class[0].deadline":      func(c *Config) { c.Classes[0].Deadline = time.Hour },
		"class[0].attempts":      func(c *Config) { c.Classes[0].MaxAttempts = -1 },
		"class[0].retry_share":   func(c *Config) { c.Classes[0].RetryRatio = ptr(1.1) },
		"class[0].retry_burst":   func(c *Config) { c.Classes[0].RetryBurst = ptr(-1.0) },
		"class[0].second_copies": func(c *Config) { c.Limits.Hedging, c.Classes[0].Hedging = false, ptr(true) },
		"pool":                   func(c *Config) { c.Pools = make([]Pool, 65) },
		"pool[0].name":           func(c *Config) { c.Pools = []Pool{{}} },
		"tenant":                 func(c *Config) { c.Tenants = make([]Tenant, 1001) },
		"tenant[0].name":         func(c *Config) { c.Tenants = []Tenant{{Weight: 1}} },
		"tenant[1].name":         func(c *Config) { c.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "a", Weight: 1}} },
		"tenant[0].weight":       func(c *Config) { c.Tenants = []Tenant{{Name: "a"}} },
		"tenant[0].open":         func(c *Config) { c.Tenants = []Tenant{{Name: "a", Weight: 1, Open: -1}} },
		"route":                  func(c *Config) { c.Routes = make([]Route, 10_001) },
		"route[0].class":         func(c *Config) { c.Routes = []Route{{Class: "none"}} },
		"route[0].prefix":        func(c *Config) { c.Routes = []Route{{Class: "order", Prefix: "/a/"}} },
		"route[0].path":          func(c *Config) { c.Routes = []Route{{Class: "order", Path: "a"}} },
		"route[0].host":          func(c *Config) { c.Routes = []Route{{Class: "order", Host: "A.example"}} },
		"route[0].method":        func(c *Config) { c.Routes = []Route{{Class: "order", Method: "get"}} },
		"route[0].headers":       func(c *Config) { c.Routes = []Route{{Class: "order", Headers: map[string]string{"a b": ""}}} },
		"route[0].pool":          func(c *Config) { c.Routes = []Route{{Class: "order", Pool: "none"}} },
		"route[0].deadline":      func(c *Config) { c.Routes = []Route{{Class: "order", Timing: Timing{Deadline: -1}}} },
	} {
		c := marketConfig()
		set(c)
		if errs, _ := faults(c); !slices.ContainsFunc(errs, func(s string) bool { return strings.HasPrefix(s, key+": ") }) {
			t.Errorf("%s: %v", key, errs)
		}
	}
}

// linearSearch finds a request's route by looking at all of them, ranked as the docs say.
func linearSearch(c *Config, q *Query) int {
	best := -1
	rank := func(r *Route) [5]int {
		out := [5]int{0, 0, len(strings.TrimSuffix(r.Prefix, "/")), 0, len(r.Headers)}
		if r.Host != "" {
			out[0] = 1
		}
		if r.Path != "" {
			out[1] = 1
		}
		if r.Method != "" {
			out[3] = 1
		}
		return out
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host, _, _ := strings.Cut(strings.ToLower(q.Host), ":")
		prefix := strings.TrimSuffix(r.Prefix, "/")
		fits := (r.Host == "" || r.Host == host) && (r.Path == "" || r.Path == q.Path) &&
			(prefix == "" || q.Path == prefix || strings.HasPrefix(q.Path, prefix+"/")) && (r.Method == "" || r.Method == q.Method)
		for name, value := range r.Headers {
			fits = fits && slices.Equal(q.Header[Canonical(name)], []string{value})
		}
		if fits && (best < 0 || slices.Compare(slices.Clone(sliceOf(rank(r))), sliceOf(rank(&c.Routes[best]))) > 0) {
			best = i
		}
	}
	return best
}

func sliceOf(a [5]int) []int { return a[:] }

func drawRoutes(t *rapid.T, c *Config) {
	for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
		r := Route{Class: c.Classes[rapid.IntRange(0, 3).Draw(t, "class")].Name, Name: fmt.Sprint(i),
			Host: rapid.SampledFrom([]string{"", "", "a.example", "b.example"}).Draw(t, "host"), Method: rapid.SampledFrom([]string{"", "", "GET", "POST"}).Draw(t, "method")}
		path := rapid.SampledFrom([]string{"", "/", "/a", "/a/b", "/a/b/c", "/ab"}).Draw(t, "path")
		if rapid.Bool().Draw(t, "exact") && path != "" {
			r.Path = path
		} else {
			r.Prefix = path
		}
		for _, h := range []string{"x-tier", "X-Kind"} {
			if rapid.IntRange(0, 3).Draw(t, "header") == 0 {
				if r.Headers == nil {
					r.Headers = map[string]string{}
				}
				r.Headers[h] = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
			}
		}
		c.Routes = append(c.Routes, r)
	}
}

func drawQuery(t *rapid.T) *Query {
	q := &Query{Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "asked method"), Header: map[string][]string{},
		Host: rapid.SampledFrom([]string{"a.example", "A.Example:8080", "c.example", ""}).Draw(t, "asked host"),
		Path: rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/a/b/c/d", "/ab", "/abc", "/x"}).Draw(t, "asked path")}
	for _, h := range []string{"X-Tier", "X-Kind"} {
		if n := rapid.IntRange(0, 2).Draw(t, "times"); n > 0 {
			for range n {
				q.Header[h] = append(q.Header[h], rapid.SampledFrom([]string{"1", "2"}).Draw(t, "asked value"))
			}
		}
	}
	return q
}

// A request gets the route that a plain walk over all of them finds, and the
// explanation says the same of each.
func TestLookupMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := marketConfig()
		drawRoutes(t, c)
		table, all := Compile(c, nil)
		if table == nil { // routes that overlap: the walk cannot tell them apart either
			if !slices.ContainsFunc(all, func(f Fault) bool { return strings.Contains(f.Reason, "rule overlap") }) {
				t.Fatalf("refused for %v", all)
			}
			return
		}
		for range 20 {
			q := drawQuery(t)
			want := linearSearch(c, q)
			got, ok := table.Lookup(q)
			if ok != (want >= 0) || ok && got.ClassName != c.Routes[want].Class {
				t.Fatalf("%+v: %+v, want route %d of %+v", q, got, want, c.Routes)
			}
			for i, r := range table.Explain(q) {
				fits := c.Routes[i].mismatch(q) == ""
				// One that is never reached may be taken for its twin.
				if r.Route != i || r.Taken && !fits || r.Taken && c.Routes[i].Class != c.Routes[want].Class || !r.Taken && r.Text == "" {
					t.Fatalf("%+v: %+v, want route %d", q, r, want)
				}
			}
		}
	})
}

// Numbers of classes, budgets, tenants and pools stay what they are over reloads.
func TestNumbersStayAcrossReloads(t *testing.T) {
	a := marketConfig()
	a.Classes[classPay].RetryRatio = ptr(0.5)
	a.Tenants = []Tenant{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}}
	a.Pools = []Pool{{Name: "p", Kinds: []string{"big"}}, {Name: "q", Sites: []string{"dar"}}}
	first, _ := Compile(a, nil)
	b := marketConfig()
	b.Classes = slices.Delete(b.Classes, classPrices, classPrices+1) // one goes
	b.Classes[0].DedupWindow = 2 * time.Second                       // one changes
	b.Classes = append(b.Classes, Class{Name: "new", Timing: Timing{Deadline: time.Second, RetryBurst: ptr(3.0)}, LatencyObjective: 500 * ms})
	b.Classes[0].RetryRatio = ptr(0.1)
	b.Tenants = []Tenant{{Name: "z", Weight: 1}, {Name: "y", Weight: 2}}
	b.Pools = []Pool{{Name: "q", Sites: []string{"arusha"}}}
	second, all := Compile(b, first)
	if second == nil {
		t.Fatal(all)
	}
	var names []string
	for _, k := range second.Classes() {
		names = append(names, fmt.Sprint(k.Name, k.Retired))
	}
	if want := []string{"price-checktrue", "stall-paytrue", "day-closefalse", "orderfalse", "stall-payfalse", "newfalse"}; !slices.Equal(names, want) {
		t.Errorf("classes %v, want %v", names, want)
	}
	if !slices.Equal(second.Budgets(), []balancer.RetryBudget{{EarnRatio: 0.1, Burst: 10}, {EarnRatio: 0.2, Burst: 3}}) {
		t.Errorf("budgets %v", second.Budgets())
	}
	if n, _ := second.Tenant("y"); n != 1 {
		t.Errorf("tenant y has number %d", n)
	}
	if _, ok := second.Tenant("x"); ok {
		t.Error("tenant x is known still")
	}
	if got := second.Pools("arusha", "big"); got != 2 {
		t.Errorf("pools %b of a server, want the second bit", got)
	}
	if back, _ := Compile(a, second); back.Classes()[0].Retired || len(back.Classes()) != 6 {
		t.Errorf("the first file again: %v", back.Classes())
	}
	// No more kinds than the module can number.
	last := first
	for i := range 300 {
		c := marketConfig()
		c.Classes[0].LatencyObjective = time.Duration(i+1) * ms
		next, all := Compile(c, last)
		if next == nil {
			if i < 200 || !strings.Contains(fmt.Sprint(all), "start anew") {
				t.Errorf("file %d: %v", i, all)
			}
			return
		}
		last = next
	}
	t.Error("300 kinds of class are taken")
}

// manyRoutes has so many routes, as an operator's would be.
func manyRoutes(n int) (*Table, []*Query) {
	c := marketConfig()
	var queries []*Query
	for i := range n {
		r := Route{Class: c.Classes[i%4].Name, Prefix: fmt.Sprintf("/shop/%d/items", i)}
		if i%3 == 0 {
			r.Host = fmt.Sprintf("h%d.example", i%50)
		}
		if i%5 == 0 {
			r.Headers = map[string]string{"X-Tier": "gold"}
		}
		c.Routes = append(c.Routes, r)
		queries = append(queries, &Query{Method: "GET", Host: fmt.Sprintf("h%d.example:80", i%50), Path: fmt.Sprintf("/shop/%d/items/%d/x", i, i), Header: map[string][]string{"X-Tier": {"gold"}}})
	}
	t, all := Compile(c, nil)
	if t == nil {
		panic(fmt.Sprint(all))
	}
	return t, queries
}

// 10,000 routes are compiled, and looking up allocates nothing.
func TestLookupOfManyRoutesAllocatesNothing(t *testing.T) {
	table, queries := manyRoutes(10_000)
	for i, q := range queries {
		if b, ok := table.Lookup(q); !ok || b.ClassName != marketConfig().Classes[i%4].Name {
			t.Fatalf("request %d: %+v", i, b)
		}
	}
	i := 0
	if n := testing.AllocsPerRun(10_000, func() { table.Lookup(queries[i%len(queries)]); i++ }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	if n := len(table.Rows()); n != 10_004 {
		t.Errorf("%d rows", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, queries := manyRoutes(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Lookup(queries[i%n])
				i++
			}
		})
	}
}

func FuzzLookup(f *testing.F) {
	table, _ := manyRoutes(100)
	f.Add("GET", "h3.example:80", "/shop/3/items/7", "gold")
	f.Add("", "[::1]:80", "", "")
	f.Add("POST", ":", "//..//", "\x00")
	f.Fuzz(func(t *testing.T, method, host, path, tier string) {
		q := &Query{Method: method, Host: host, Path: path, Header: map[string][]string{"X-Tier": {tier}}}
		b, ok := table.Lookup(q)
		taken := 0
		for _, r := range table.Explain(q) {
			if r.Taken {
				taken++
			}
		}
		if ok != (b != nil) || ok != (taken == 1) {
			t.Errorf("%v, %d taken", b, taken)
		}
	})
}

func TestCanonicalHeaderName(t *testing.T) {
	for in, want := range map[string]string{"x-tier": "X-Tier", "X-TIER": "X-Tier", "": "", "a": "A", "x--y": "X--Y"} {
		if got := Canonical(in); got != want {
			t.Errorf("%q: %q, want %q", in, got, want)
		}
	}
}
