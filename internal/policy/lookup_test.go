package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// linearSearch finds a request's route among all, ranked as the documentation says.
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
			(prefix == "" || q.Path == prefix || strings.HasPrefix(q.Path, prefix+"/")) &&
			(r.Method == "" || r.Method == q.Method)
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
		r := Route{
			Class:  c.Classes[rapid.IntRange(0, 3).Draw(t, "class")].Name,
			Name:   fmt.Sprint(i),
			Host:   rapid.SampledFrom([]string{"", "", "a.example", "b.example"}).Draw(t, "host"),
			Method: rapid.SampledFrom([]string{"", "", "GET", "POST"}).Draw(t, "method"),
		}
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
	hosts := []string{"a.example", "A.Example:8080", "c.example", ""}
	paths := []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/a/b/c/d", "/ab", "/abc", "/x"}
	q := &Query{
		Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "request method"),
		Header: map[string][]string{},
		Host:   rapid.SampledFrom(hosts).Draw(t, "request host"),
		Path:   rapid.SampledFrom(paths).Draw(t, "request path"),
	}
	for _, h := range []string{"X-Tier", "X-Kind"} {
		if n := rapid.IntRange(0, 2).Draw(t, "times"); n > 0 {
			for range n {
				q.Header[h] = append(q.Header[h], rapid.SampledFrom([]string{"1", "2"}).Draw(t, "request value"))
			}
		}
	}
	return q
}

// Lookup finds the route that a linear search finds, and Explain agrees on each route.
func TestLookupMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := marketConfig()
		drawRoutes(t, c)
		table, all := Compile(c, nil)
		if table == nil { // overlapping routes: the linear search can't tell them apart either
			if !slices.ContainsFunc(all, func(f Fault) bool { return strings.Contains(f.Reason, "rule overlap") }) {
				t.Fatalf("rejected for %v", all)
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
				// A route that is never reached may be given for its twin.
				if r.Route != i || !r.Taken && r.Text == "" ||
					r.Taken && (!fits || c.Routes[i].Class != c.Routes[want].Class) {
					t.Fatalf("%+v: %+v, want route %d", q, r, want)
				}
			}
		}
	})
}

// manyRoutes returns a table of n routes, and a request for each.
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
		queries = append(queries, &Query{
			Method: "GET",
			Host:   fmt.Sprintf("h%d.example:80", i%50),
			Path:   fmt.Sprintf("/shop/%d/items/%d/x", i, i),
			Header: map[string][]string{"X-Tier": {"gold"}},
		})
	}
	t, all := Compile(c, nil)
	if t == nil {
		panic(fmt.Sprint(all))
	}
	return t, queries
}

// Lookup among 10,000 routes finds the right one and allocates nothing.
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
