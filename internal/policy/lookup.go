package policy

import (
	"fmt"
	"strings"
)

// Query holds the properties of a request that routes match.
type Query struct {
	Method string
	Host   string // with or without port
	Path   string // without the query
	Header map[string][]string
}

// Lookup returns the bounds of the most specific route that matches a request. Routes are compared by these criteria in
// turn: a host precedes no host, an exact path precedes a prefix, a longer prefix precedes a shorter one, a method
// precedes no method, more headers precede fewer, and an earlier route in the file precedes a later one. Lookup does
// not allocate memory if the host is in lower case.
func (t *Table) Lookup(q *Query) (*Bounds, bool) {
	if entry := t.lookup(q); entry != nil {
		return &entry.Bounds, true
	}
	return nil, false
}

// lookup returns the most specific route that matches a request, nil if there is none.
func (t *Table) lookup(q *Query) *routeEntry {
	if t.matchesHosts {
		if entry := t.lookupHost(hostName(q.Host), q); entry != nil {
			return entry
		}
	}
	return t.lookupHost("", q)
}

// lookupHost returns the most specific route that matches a request, among the routes with a host or, if host is empty,
// those without.
func (t *Table) lookupHost(host string, q *Query) *routeEntry {
	key := routeKey{host: host, path: q.Path, exact: true}
	if entry := firstMatch(t.routes[key], q); entry != nil {
		return entry
	}
	key.exact = false
	for {
		if entry := firstMatch(t.routes[key], q); entry != nil {
			return entry
		}
		slash := strings.LastIndexByte(key.path, '/')
		if slash < 0 {
			return nil
		}
		key.path = key.path[:slash]
	}
}

// firstMatch returns the first entry that matches a request, nil if there is none.
func firstMatch(entries []*routeEntry, q *Query) *routeEntry {
	for _, entry := range entries {
		if entry.matches(q) {
			return entry
		}
	}
	return nil
}

// matches reports whether a request has the method and the headers of the route.
func (e *routeEntry) matches(q *Query) bool {
	if e.method != "" && e.method != q.Method {
		return false
	}
	for i := range e.headers {
		required := &e.headers[i]
		if values := q.Header[required.name]; len(values) != 1 || values[0] != required.value {
			return false
		}
	}
	return true
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	for i := range len(host) {
		if 'A' <= host[i] && host[i] <= 'Z' {
			return strings.ToLower(host)
		}
	}
	return host
}

// IsAmbiguousPath reports whether an endpoint may interpret a path differently: it has a segment that is
// empty, "." or "..".
func IsAmbiguousPath(path string) bool {
	return strings.Contains(path, "//") || strings.Contains(path, "/./") || strings.Contains(path, "/../") ||
		strings.HasSuffix(path, "/.") || strings.HasSuffix(path, "/..")
}

// Canonical returns a header's name in the canonical form of net/http.
func Canonical(name string) string {
	canonical := []byte(name)
	upper := true
	for i, char := range canonical {
		switch {
		case upper && 'a' <= char && char <= 'z':
			canonical[i] = char - 'a' + 'A'
		case !upper && 'A' <= char && char <= 'Z':
			canonical[i] = char - 'A' + 'a'
		}
		upper = char == '-'
	}
	return string(canonical)
}

// Reason explains why a route was or was not selected for a request.
type Reason struct {
	Route    int // index in Config.Routes
	Selected bool
	Text     string
}

// Explain returns the reason for each route, in the order of the file.
func (t *Table) Explain(q *Query) (reasons []Reason) {
	selected := t.lookup(q)
	for i := range t.config.Routes {
		reasons = append(reasons, t.explainRoute(i, selected, q))
	}
	return reasons
}

// explainRoute returns the reason for the route at an index. selected is the selected route, nil for none.
func (t *Table) explainRoute(index int, selected *routeEntry, q *Query) Reason {
	if selected != nil && selected.route == index {
		return Reason{Route: index, Selected: true, Text: "matches, and no other matching route is more specific"}
	}
	text := t.config.Routes[index].mismatch(q)
	if text == "" {
		text = fmt.Sprintf("matches, but route[%d] is more specific or earlier in the file", selected.route)
	}
	return Reason{Route: index, Text: text}
}

// mismatch describes the first matcher of a route that does not match a request, "" if all match. It shares no code
// with Lookup, so that tests can compare the two.
func (r *Route) mismatch(q *Query) string {
	if r.Host != "" && r.Host != hostName(q.Host) {
		return fmt.Sprintf("the host is %q, not %q", hostName(q.Host), r.Host)
	}
	if r.Path != "" && r.Path != q.Path {
		return fmt.Sprintf("the path is not %q", r.Path)
	}
	prefix := strings.TrimSuffix(r.Prefix, "/")
	if prefix != "" && q.Path != prefix && !strings.HasPrefix(q.Path, prefix+"/") {
		return fmt.Sprintf("the path does not begin with %q", r.Prefix)
	}
	if r.Method != "" && r.Method != q.Method {
		return fmt.Sprintf("the method is %s, not %s", q.Method, r.Method)
	}
	for name, value := range r.Headers {
		values := q.Header[Canonical(name)]
		if len(values) != 1 {
			return fmt.Sprintf("the header %s occurs %d times, must occur once", name, len(values))
		}
		if values[0] != value {
			return fmt.Sprintf("the header %s is %q, not %q", name, values[0], value)
		}
	}
	return ""
}
