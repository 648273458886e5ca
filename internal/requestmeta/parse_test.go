package requestmeta

import (
	"net/http"
	"strings"
	"testing"

	"pinedale/balancer"
)

var settings = &balancer.Settings{
	Classes: []balancer.Class{
		{Name: "read", Idempotency: balancer.Idempotent},
		{Name: "pay", Idempotency: balancer.IdempotentWithKey},
		{Name: "order", Idempotency: balancer.NotIdempotent},
	},
	Tenants: []balancer.Tenant{{Name: "acme"}, {Name: "duka"}},
}

// headers returns headers from pairs of name and value.
func headers(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return h
}

// Each header is parsed into its field, and the deadline is bounded.
func TestParseReadsHeaders(t *testing.T) {
	p := NewParser(settings)
	got, err := p.Parse(Request{Method: "POST", Path: "/pay/x", At: 5_000_000, Header: headers(
		HeaderID, "c1", HeaderClass, "pay", HeaderTenant, "duka", HeaderKey, "k1", HeaderTimeLeft, "480",
		HeaderHint, "900", HeaderRepeat, "1", HeaderSubject, "s")})
	if err != nil {
		t.Fatal(err)
	}
	if got.Class != 1 || got.Tenant != 1 || got.Deadline != 5_480_000-2000 || got.WorkHint != 900 || !got.HasWorkHint ||
		!got.ClientRetry || got.Key == 0 || got.CorrelationID != "c1" || got.IdempotencyKey != "k1" {
		t.Errorf("parsed %+v, want the values of the headers", got)
	}
	// The key of a class without idempotency keys is ignored.
	got, err = p.Parse(Request{Method: "POST", Path: "/order", Header: headers(HeaderID, "c2", HeaderClass, "order",
		HeaderTenant, "acme", HeaderKey, "k1", HeaderTimeLeft, "99999999")})
	if err != nil || got.IdempotencyKey != "" || got.Deadline != MaxRequestTime.Microseconds()-2000 {
		t.Errorf("parsed %+v, error %v, want no key and the deadline for the maximum request time", got, err)
	}
	_, err = p.Parse(Request{Method: "PATCH", Path: "/order", Header: headers(HeaderID, "c2", HeaderClass, "order")})
	if StatusCode(err) != 405 {
		t.Errorf("request with method PATCH: error %v, want status 405", err)
	}
}

// Any headers are parsed into a valid request, or rejected with a 4xx status and a reason.
func FuzzParse(f *testing.F) {
	f.Add("GET", "/read/x", "c", "read", "acme", "", "100", "", "")
	f.Add("POST", "/pay", "c", "pay", "duka", "k", "0", "18446744073709551616", "1")
	f.Add("POST", "//order", "", "order", "", "k", "-1", "1e9", "2")
	p := NewParser(settings)
	f.Fuzz(func(t *testing.T, method, path, id, class, tenant, key, remaining, hint, repeat string) {
		got, err := p.Parse(Request{Method: method, Path: path, At: 1_000_000, Header: headers(
			HeaderID, id, HeaderClass, class, HeaderTenant, tenant, HeaderKey, key, HeaderTimeLeft, remaining,
			HeaderHint, hint, HeaderRepeat, repeat)})
		if err != nil {
			if c := StatusCode(err); c < 400 || c > 499 || err.Error() == "" {
				t.Errorf("code %d, %q", c, err)
			}
			return
		}
		if int(got.Class) >= len(settings.Classes) || got.Deadline > 1_000_000+MaxRequestTime.Microseconds() ||
			got.WorkHint < 0 || got.CorrelationID == "" || settings.Classes[got.Class].Name != class ||
			strings.Contains(class, "/") {
			t.Errorf("parsed %+v of class %q", got, class)
		}
	})
}
