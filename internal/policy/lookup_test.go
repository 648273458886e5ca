package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// rank returns the numbers by which the documentation ranks routes, the most important first.
func (r *Route) rank() []int {
	presence := func(matcher string) int { return min(len(matcher), 1) }
	return []int{
		presence(r.Host),
		presence(r.Path),
		len(strings.TrimSuffix(r.Prefix, "/")),
		presence(r.Method),
		len(r.Headers),
	}
}

// fits reports whether all matchers of a route match a request.
func (r *Route) fits(q *Query) bool {
	host, _, _ := strings.Cut(strings.ToLower(q.Host), ":")
	if r.Host != "" && r.Host != host {
		return false
	}
	if r.Path != "" && r.Path != q.Path || r.Method != "" && r.Method != q.Method {
		return false
	}
	prefix := strings.TrimSuffix(r.Prefix, "/")
	if prefix != "" && q.Path != prefix && !strings.HasPrefix(q.Path, prefix+"/") {
		return false
	}
	for name, value := range r.Headers {
		if !slices.Equal(q.Header[Canonical(name)], []string{value}) {
			return false
		}
	}
	return true
}

// linearSearch returns the index of the route of a request, -1 for none. It compares all routes.
func linearSearch(config *Config, q *Query) int {
	best := -1
	for i := range config.Routes {
		route := &config.Routes[i]
		if !route.fits(q) {
			continue
		}
		if best < 0 || slices.Compare(route.rank(), config.Routes[best].rank()) > 0 {
			best = i
		}
	}
	return best
}

// drawRoutes adds random routes to a configuration.
func drawRoutes(t *rapid.T, config *Config) {
	for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
		route := Route{
			Class:   config.Classes[rapid.IntRange(0, 3).Draw(t, "class")].Name,
			Name:    fmt.Sprint(i),
			Host:    rapid.SampledFrom([]string{"", "", "a.example", "b.example"}).Draw(t, "host"),
			Method:  rapid.SampledFrom([]string{"", "", "GET", "POST"}).Draw(t, "method"),
			Headers: map[string]string{},
		}
		path := rapid.SampledFrom([]string{"", "/", "/a", "/a/b", "/a/b/c", "/ab"}).Draw(t, "path")
		if rapid.Bool().Draw(t, "exact") && path != "" {
			route.Path = path
		} else {
			route.Prefix = path
		}
		for _, header := range []string{"x-tier", "X-Kind"} {
			if rapid.IntRange(0, 3).Draw(t, "header") == 0 {
				route.Headers[header] = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
			}
		}
		config.Routes = append(config.Routes, route)
	}
}

// drawQuery draws a request, which may have a header several times.
func drawQuery(t *rapid.T) *Query {
	hosts := []string{"a.example", "A.Example:8080", "c.example", ""}
	paths := []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/a/b/c/d", "/ab", "/abc", "/x"}
	q := &Query{
		Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "request method"),
		Header: map[string][]string{},
		Host:   rapid.SampledFrom(hosts).Draw(t, "request host"),
		Path:   rapid.SampledFrom(paths).Draw(t, "request path"),
	}
	for _, header := range []string{"X-Tier", "X-Kind"} {
		for range rapid.IntRange(0, 2).Draw(t, "times") {
			value := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "request value")
			q.Header[header] = append(q.Header[header], value)
		}
	}
	return q
}

// Lookup selects the route that a linear search finds, and Explain agrees on each route.
func TestLookupMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := validConfig()
		drawRoutes(t, config)
		table, compileFaults := Compile(config, nil)
		if table == nil { // overlapping routes, between which a linear search cannot decide either
			isOverlap := func(f Fault) bool { return strings.Contains(f.Reason, "rule overlap") }
			if !slices.ContainsFunc(compileFaults, isOverlap) {
				t.Fatalf("configuration rejected without an overlap of routes: %v", compileFaults)
			}
			return
		}
		for range 20 {
			q := drawQuery(t)
			want := linearSearch(config, q)
			got, ok := table.Lookup(q)
			if ok != (want >= 0) || ok && got.ClassName != config.Routes[want].Class {
				t.Fatalf("request %+v: got bounds %+v, want route %d of %+v", q, got, want, config.Routes)
			}
			checkExplanation(t, table, q, want)
		}
	})
}

// checkExplanation checks that Explain gives a reason for each route, and selects a route that matches and has the
// class of the wanted one. If two routes have the same matchers, it may select either.
func checkExplanation(t *rapid.T, table *Table, q *Query, want int) {
	routes := table.Config().Routes
	for i, reason := range table.Explain(q) {
		valid := reason.Text != ""
		if reason.Selected {
			valid = routes[i].mismatch(q) == "" && routes[i].Class == routes[want].Class
		}
		if reason.Route != i || !valid {
			t.Fatalf("request %+v: got reason %+v, want route %d", q, reason, want)
		}
	}
}

// manyRoutes returns a table of n routes, and a request for each.
func manyRoutes(n int) (*Table, []*Query) {
	config := validConfig()
	var queries []*Query
	for i := range n {
		route := Route{Class: config.Classes[i%4].Name, Prefix: fmt.Sprintf("/shop/%d/items", i)}
		if i%3 == 0 {
			route.Host = fmt.Sprintf("h%d.example", i%50)
		}
		if i%5 == 0 {
			route.Headers = map[string]string{"X-Tier": "gold"}
		}
		config.Routes = append(config.Routes, route)
		queries = append(queries, &Query{
			Method: "GET",
			Host:   fmt.Sprintf("h%d.example:80", i%50),
			Path:   fmt.Sprintf("/shop/%d/items/%d/x", i, i),
			Header: map[string][]string{"X-Tier": {"gold"}},
		})
	}
	table, compileFaults := Compile(config, nil)
	if table == nil {
		panic(fmt.Sprint(compileFaults))
	}
	return table, queries
}

// Lookup among 10,000 routes finds the matching one and does not allocate memory.
func TestLookupOfManyRoutesDoesNotAllocate(t *testing.T) {
	table, queries := manyRoutes(10_000)
	classes := validConfig().Classes
	for i, q := range queries {
		if bounds, ok := table.Lookup(q); !ok || bounds.ClassName != classes[i%4].Name {
			t.Fatalf("request %d: wrong bounds %+v", i, bounds)
		}
	}
	index := 0
	allocations := testing.AllocsPerRun(10_000, func() {
		table.Lookup(queries[index%len(queries)])
		index++
	})
	if allocations != 0 {
		t.Errorf("%v allocations per lookup, want 0", allocations)
	}
	if n := len(table.Rows()); n != 10_004 {
		t.Errorf("table has %d rows, want 10_004", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, queries := manyRoutes(n)
			b.ReportAllocs()
			index := 0
			for b.Loop() {
				table.Lookup(queries[index%n])
				index++
			}
		})
	}
}

// For any request, Lookup returns a route if and only if Explain selects exactly one.
func FuzzLookup(f *testing.F) {
	table, _ := manyRoutes(100)
	f.Add("GET", "h3.example:80", "/shop/3/items/7", "gold")
	f.Add("", "[::1]:80", "", "")
	f.Add("POST", ":", "//..//", "\x00")
	f.Fuzz(func(t *testing.T, method, host, path, tier string) {
		q := &Query{Method: method, Host: host, Path: path, Header: map[string][]string{"X-Tier": {tier}}}
		bounds, ok := table.Lookup(q)
		selected := 0
		for _, reason := range table.Explain(q) {
			if reason.Selected {
				selected++
			}
		}
		if ok != (bounds != nil) || ok != (selected == 1) {
			t.Errorf("Lookup returned %v, Explain selected %d routes", bounds, selected)
		}
	})
}

func TestCanonicalCapitalizesWords(t *testing.T) {
	for name, want := range map[string]string{
		"x-tier": "X-Tier",
		"X-TIER": "X-Tier",
		"":       "",
		"a":      "A",
		"x--y":   "X--Y",
	} {
		if got := Canonical(name); got != want {
			t.Errorf("Canonical(%q) is %q, want %q", name, got, want)
		}
	}
}
