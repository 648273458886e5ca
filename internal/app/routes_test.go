package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// requestsToPool is how many requests show that a pool is used: without it, half of them would go to another server.
const requestsToPool = 20

// pricesSection returns a pool of the servers of a kind, and a route to it for paths under /prices.
func pricesSection(pool, kind string) string {
	return fmt.Sprintf(`[[pool]]
name = %[1]q
kinds = [%[2]q]
[[route]]
prefix = "/prices"
class = "price-check"
pool = %[1]q
`, pool, kind)
}

// Routes select the class of requests, whose headers need not name a class or a deadline.
func TestRouteDecidesWhichRequestsAreServed(t *testing.T) {
	r := startTestInstance(t, 0, priceClass, payClass, pricesSection("second", "k1"), `[[route]]
prefix = "/prices"
headers = { X-Tier = "gold" }
class = "stall-pay"
method = "PUT"
[[route]]
host = "till.example"
class = "stall-pay"
`)
	for _, test := range []struct {
		name, method, path string
		headers            []string
		want               int
	}{
		{"below the prefix", "GET", "/prices/maize", nil, 200},
		{"the prefix itself, with a deadline", "GET", "/prices", []string{"X-Time-Left-Ms: 500"}, 200},
		{"a malformed deadline", "GET", "/prices/maize", []string{"X-Time-Left-Ms: soon"}, 400},
		{"a method that the class does not permit", "POST", "/prices/maize", nil, 405},
		{"a path that only begins like the prefix", "GET", "/pricesmore", nil, 404},
		{"an ambiguous path", "GET", "/prices//maize", nil, 404},
		{"a class other than the route's", "GET", "/prices/maize", []string{"X-Service-Class: stall-pay"}, 400},
		{"the route's class", "GET", "/prices/maize", []string{"X-Service-Class: price-check"}, 200},
		{
			"the route's header and method, with a key", "PUT", "/prices/maize",
			[]string{"X-Tier: gold", "Idempotency-Key: k1"}, 200,
		},
		{"the route's header and method, without a key", "PUT", "/prices/maize", []string{"X-Tier: gold"}, 400},
		{
			"another value of the route's header", "PUT", "/prices/maize",
			[]string{"X-Tier: silver", "Idempotency-Key: k2"}, 405,
		},
		{"the route's host", "POST", "/any", []string{"Host: TILL.example:80", "Idempotency-Key: k3"}, 200},
		{"no route", "POST", "/any", []string{"Idempotency-Key: k4"}, 404},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := r.newRequest(test.method, test.path, test.headers...)
			if statusCode, _ := r.do(request); statusCode != test.want {
				t.Errorf("%s %s %v: status %d, want %d", test.method, test.path, test.headers, statusCode, test.want)
			}
		})
	}
}

// Requests of a route go to the servers of its pool alone. A reload applies another pool to servers that are known
// already.
func TestRequestsGoToPoolOfRouteBeforeAndAfterReload(t *testing.T) {
	// The latency objective equals the deadline, so that no request is rejected when the test machine stalls.
	longObjectiveClass := strings.Replace(priceClass, `aim = "600ms"`, `aim = "3s"`, 1)
	r := startTestInstance(t, 0, longObjectiveClass, payClass, pricesSection("second", "k1"))
	requireRequestsToBackend := func(inPool, outside int) {
		t.Helper()
		start := time.Now()
		for range requestsToPool {
			if statusCode, _ := r.do(r.newRequest(http.MethodGet, "/prices/maize")); statusCode != http.StatusOK {
				t.Fatalf("status %d, want 200", statusCode)
			}
		}
		if r.backends[outside].LastRequest().After(start) || r.backends[inPool].LastRequest().Before(start) {
			t.Errorf("requests did not go to server %d only", inPool)
		}
	}
	requireRequestsToBackend(1, 0)
	r.reload(longObjectiveClass, pricesSection("other", "k0"))
	requireRequestsToBackend(0, 1)
}
