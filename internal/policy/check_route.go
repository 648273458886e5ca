package policy

import (
	"fmt"
	"strings"

	"pinedale/balancer"
)

func (c *compiler) checkRoutes(classes map[string]*Class, pools map[string]bool) {
	c.require(len(c.Routes) <= maxRoutes, "route", "%d routes, at most %d", len(c.Routes), maxRoutes)
	for i := range c.Routes {
		c.checkRoute(fmt.Sprintf("route[%d].", i), &c.Routes[i], classes, pools)
	}
}

// checkRoute checks one route. prefix is that of its keys.
func (c *compiler) checkRoute(prefix string, r *Route, classes map[string]*Class, pools map[string]bool) {
	c.checkMatchers(prefix, r)
	c.require(r.Pool == "" || pools[r.Pool], prefix+"pool", "%q is not a pool of this file", r.Pool)
	c.checkTiming(prefix, &r.Timing)
	c.require(r.Deadline >= 0, prefix+"deadline", "%v is negative", r.Deadline)
	class := classes[r.Class]
	if !c.require(class != nil, prefix+"class", "%q is not a class of this file", r.Class) {
		return
	}
	if r.Timing != (Timing{}) { // else the class's own check says the same
		c.checkEffective(prefix, c.Effective(class, r))
	}
	if class.Idempotency == balancer.Idempotent && r.Method != "" && r.Method != "GET" && r.Method != "HEAD" {
		c.warn(prefix+"method", "%s to a class that is safe to repeat: it is resent as one that is", r.Method)
	}
}

// checkMatchers checks what a route matches.
func (c *compiler) checkMatchers(prefix string, r *Route) {
	c.require(r.Path == "" || r.Prefix == "", prefix+"prefix", "path is set, too: a route has one of the two")
	c.checkPath(prefix+"path", r.Path)
	c.checkPath(prefix+"prefix", r.Prefix)
	c.require(r.Prefix == "" || r.Prefix == "/" || !strings.HasSuffix(r.Prefix, "/"), prefix+"prefix",
		"%q ends with a slash: prefixes match up to one", r.Prefix)
	c.require(!strings.ContainsAny(r.Host, "/: \t") && r.Host == strings.ToLower(r.Host), prefix+"host",
		"%q is not a host's name in small letters, without port", r.Host)
	c.require(isToken(r.Method) && r.Method == strings.ToUpper(r.Method), prefix+"method",
		"%q is not a method", r.Method)
	for name, value := range r.Headers {
		c.require(name != "" && isToken(name), prefix+"headers", "%q is not a header's name", name)
		c.require(!strings.ContainsAny(value, "\r\n\x00"), prefix+"headers",
			"the value of %q has characters that no header has", name)
	}
}

func (c *compiler) checkPath(key, path string) {
	c.require(path == "" || strings.HasPrefix(path, "/") && !IsAmbiguousPath(path), key,
		"%q does not begin with a slash, or holds //, /. or /..", path)
}

// isToken reports whether all characters are those of an HTTP token, RFC 9110 section 5.6.2.
func isToken(s string) bool {
	for _, r := range s {
		if r <= ' ' || r >= 127 || strings.ContainsRune("()<>@,;:\\\"/[]?={}", r) {
			return false
		}
	}
	return true
}

// checkOverlaps finds routes that get the same requests as one before them.
func (c *compiler) checkOverlaps(t *Table) {
	for _, entries := range t.routes {
		if len(entries) < 2 {
			continue
		}
		seen := map[string]*routeEntry{}
		for _, e := range entries {
			matchers := e.method + "\x00" + fmt.Sprint(e.headers)
			if previous := seen[matchers]; previous != nil {
				c.checkOverlap(previous.route, e.route)
			} else {
				seen[matchers] = e
			}
		}
	}
}

// checkOverlap reports two routes, by their numbers, that get the same requests. It is an error if they differ in what
// applies to them.
func (c *compiler) checkOverlap(previous, later int) {
	key := fmt.Sprintf("route[%d].class", later)
	a, b := &c.Routes[previous], &c.Routes[later]
	if a.Class == b.Class && a.Pool == b.Pool && a.equal(&b.Timing) {
		c.warn(key, "is never reached: route[%d] gets the same requests, and says the same of them", previous)
		return
	}
	c.fault(key, "rule overlap: it gets the same requests as route[%d], of class %q, and says something else of them",
		previous, a.Class)
}
