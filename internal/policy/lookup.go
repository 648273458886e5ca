package policy

import (
	"fmt"
	"strings"
)

// Query is what is known of a request before its body.
type Query struct {
	Method string
	Host   string // with or without port
	Path   string // without the query
	Header map[string][]string
}

// Lookup returns the most specific route of a request: one that names the host before one that does not, an exact path
// before a prefix, a longer prefix before a shorter one, one that names the method before one that does not, more
// headers before fewer, then the order of the file. It allocates nothing for hosts in lower case.
func (t *Table) Lookup(q *Query) (*Bounds, bool) {
	if e := t.lookup(q); e != nil {
		return &e.Bounds, true
	}
	return nil, false
}

// lookup returns the most specific route of a request, nil if there is none.
func (t *Table) lookup(q *Query) *routeEntry {
	if t.matchesHosts {
		if e := t.lookupHost(hostName(q.Host), q); e != nil {
			return e
		}
	}
	return t.lookupHost("", q)
}

// lookupHost returns the most specific among the routes of one host, "" for those that name none.
func (t *Table) lookupHost(host string, q *Query) *routeEntry {
	key := routeKey{host: host, path: q.Path, exact: true}
	if e := firstMatch(t.routes[key], q); e != nil {
		return e
	}
	key.exact = false
	for {
		if e := firstMatch(t.routes[key], q); e != nil {
			return e
		}
		slash := strings.LastIndexByte(key.path, '/')
		if slash < 0 {
			return nil
		}
		key.path = key.path[:slash]
	}
}

func firstMatch(entries []*routeEntry, q *Query) *routeEntry {
	for _, e := range entries {
		if e.matches(q) {
			return e
		}
	}
	return nil
}

// matches reports whether a request has the method and the headers of a route.
func (e *routeEntry) matches(q *Query) bool {
	if e.method != "" && e.method != q.Method {
		return false
	}
	for i := range e.headers {
		h := &e.headers[i]
		if values := q.Header[h.name]; len(values) != 1 || values[0] != h.value {
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

// IsAmbiguousPath reports whether a path could be read in two ways, here and by an endpoint: it has empty segments, or some
// that refer to themselves or to their parent.
func IsAmbiguousPath(path string) bool {
	return strings.Contains(path, "//") || strings.Contains(path, "/./") || strings.Contains(path, "/../") ||
		strings.HasSuffix(path, "/.") || strings.HasSuffix(path, "/..")
}

// Canonical returns a header's name in the form of net/http.
func Canonical(name string) string {
	canonical := []byte(name)
	upper := true
	for i, c := range canonical {
		switch {
		case upper && 'a' <= c && c <= 'z':
			canonical[i] = c - 'a' + 'A'
		case !upper && 'A' <= c && c <= 'Z':
			canonical[i] = c - 'A' + 'a'
		}
		upper = c == '-'
	}
	return string(canonical)
}

// Reason is why a route got a request or did not.
type Reason struct {
	Route int // index in Config.Routes
	Taken bool
	Text  string
}

// Explain returns the reason for each route, in the order of the file.
func (t *Table) Explain(q *Query) (reasons []Reason) {
	taken := t.lookup(q)
	for i := range t.config.Routes {
		if taken != nil && taken.route == i {
			reasons = append(reasons, Reason{Route: i, Taken: true, Text: "it matches, and none is more specific"})
			continue
		}
		text := t.config.Routes[i].mismatch(q)
		if text == "" {
			text = fmt.Sprintf("it matches, and route[%d] is more specific or stands before it", taken.route)
		}
		reasons = append(reasons, Reason{Route: i, Text: text})
	}
	return reasons
}

// mismatch returns which matcher of a route does not fit a request, "" if all do. It does not share code with Lookup,
// which searches by request, so that tests hold one against the other.
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
		if values := q.Header[Canonical(name)]; len(values) != 1 {
			return fmt.Sprintf("the header %s is there %d times, must be once", name, len(values))
		} else if values[0] != value {
			return fmt.Sprintf("the header %s is %q, not %q", name, values[0], value)
		}
	}
	return ""
}
