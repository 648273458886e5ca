package policy

import (
	"fmt"
	"net/http"
	"strings"

	"pinedale/balancer"
)

func (c *compiler) checkRoutes(classes map[string]*Class, pools map[string]bool) {
	c.require(len(c.Routes) <= maxRoutes, "route", "%d routes, at most %d", len(c.Routes), maxRoutes)
	for i := range c.Routes {
		c.checkRoute(fmt.Sprintf("route[%d].", i), &c.Routes[i], classes, pools)
	}
}

// checkRoute checks one route. prefix is the first part of the keys of its settings.
func (c *compiler) checkRoute(prefix string, route *Route, classes map[string]*Class, pools map[string]bool) {
	c.checkMatchers(prefix, route)
	c.require(route.Pool == "" || pools[route.Pool], prefix+"pool", "%q is not a pool of this file", route.Pool)
	c.checkTiming(prefix, &route.Timing)
	c.require(route.Deadline >= 0, prefix+"deadline", "%v is negative", route.Deadline)
	class := classes[route.Class]
	if !c.require(class != nil, prefix+"class", "%q is not a class of this file", route.Class) {
		return
	}
	if route.Timing != (Timing{}) { // otherwise the check of the class has the same result
		c.checkEffective(prefix, c.Effective(class, route))
	}
	if class.Idempotency == balancer.Idempotent && route.Method != "" && !isSafeMethod(route.Method) {
		c.warn(prefix+"method", "%s may change data, but requests of the class are retried as safe to repeat", route.Method)
	}
}

// isSafeMethod reports whether a method only reads.
func isSafeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// checkMatchers checks the matchers of a route.
func (c *compiler) checkMatchers(prefix string, route *Route) {
	c.require(route.Path == "" || route.Prefix == "", prefix+"prefix",
		"path is also set: a route may have only one of the two")
	c.checkPath(prefix+"path", route.Path)
	c.checkPath(prefix+"prefix", route.Prefix)
	c.require(route.Prefix == "/" || !strings.HasSuffix(route.Prefix, "/"), prefix+"prefix",
		"%q ends with a slash: a prefix matches up to a slash or the end of the path", route.Prefix)
	c.require(isHostName(route.Host), prefix+"host",
		"%q is not a host's name in lower case and without port", route.Host)
	c.require(isToken(route.Method) && route.Method == strings.ToUpper(route.Method), prefix+"method",
		"%q is not a method", route.Method)
	for name, value := range route.Headers {
		c.require(name != "" && isToken(name), prefix+"headers", "%q is not a header's name", name)
		c.require(!strings.ContainsAny(value, "\r\n\x00"), prefix+"headers",
			"the value of %q contains CR, LF or NUL, which no header has", name)
	}
}

// isHostName reports whether a host is in lower case and has no port. It accepts an empty host.
func isHostName(host string) bool {
	return !strings.ContainsAny(host, "/: \t") && host == strings.ToLower(host)
}

func (c *compiler) checkPath(key, path string) {
	c.require(path == "" || strings.HasPrefix(path, "/") && !IsAmbiguousPath(path), key,
		"%q does not begin with a slash, or has an empty, . or .. segment", path)
}

// isToken reports whether all characters may be in an HTTP token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	const separators = `()<>@,;:\"/[]?={}`
	for _, char := range text {
		if char <= ' ' || char > '~' || strings.ContainsRune(separators, char) {
			return false
		}
	}
	return true
}

// checkOverlaps reports each route that matches the same requests as an earlier route.
func (c *compiler) checkOverlaps(table *Table) {
	for _, entries := range table.routes {
		if len(entries) < 2 {
			continue
		}
		byMatchers := map[string]*routeEntry{}
		for _, entry := range entries {
			matchers := entry.method + "\x00" + fmt.Sprint(entry.headers)
			if previous := byMatchers[matchers]; previous != nil {
				c.reportOverlap(previous.route, entry.route)
			} else {
				byMatchers[matchers] = entry
			}
		}
	}
}

// reportOverlap reports that two routes, given by their indexes, match the same requests. It is an error if they have
// different settings.
func (c *compiler) reportOverlap(previous, later int) {
	key := fmt.Sprintf("route[%d].class", later)
	first, second := &c.Routes[previous], &c.Routes[later]
	if first.Class == second.Class && first.Pool == second.Pool && first.equal(&second.Timing) {
		c.warn(key, "the route is never selected: route[%d] matches the same requests and has the same settings", previous)
		return
	}
	c.fault(key, "rule overlap: the route matches the same requests as route[%d] of class %q, but has other settings",
		previous, first.Class)
}
