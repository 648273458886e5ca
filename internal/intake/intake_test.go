package intake

import (
	"net/http"
	"strings"
	"testing"

	"pinedale/balancer"
)

var settings = &balancer.Settings{
	Classes: []balancer.Class{{Name: "read", Idempotency: balancer.Idempotent}, {Name: "pay", Idempotency: balancer.IdempotentWithKey}, {Name: "order", Idempotency: balancer.NotIdempotent}},
	Tenants: []balancer.Tenant{{Name: "acme"}, {Name: "duka"}},
}

func head(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return h
}

func TestParse(t *testing.T) {
	p := NewParser(settings)
	got, err := p.Parse(Request{Method: "POST", Path: "/pay/x", At: 5_000_000, Header: head(HeaderID, "c1", HeaderClass, "pay",
		HeaderTenant, "duka", HeaderKey, "k1", HeaderTimeLeft, "480", HeaderHint, "900", HeaderRepeat, "1", HeaderSubject, "s")})
	if err != nil {
		t.Fatal(err)
	}
	if got.Class != 1 || got.Tenant != 1 || got.Deadline != 5_480_000-2000 || got.WorkHint != 900 || !got.HasWorkHint || !got.ClientRetry ||
		got.Key == 0 || got.CorrelationID != "c1" || got.IdempotencyKey != "k1" {
		t.Errorf("parsed %+v", got)
	}
	// Only a keyed class has a key that counts.
	got, err = p.Parse(Request{Method: "POST", Path: "/order", Header: head(HeaderID, "c2", HeaderClass, "order",
		HeaderTenant, "acme", HeaderKey, "k1", HeaderTimeLeft, "99999999")})
	if err != nil || got.IdempotencyKey != "" || got.Deadline != TimeLeftMost.Microseconds()-2000 {
		t.Errorf("parsed %+v, %v", got, err)
	}
	if _, err = p.Parse(Request{Method: "PATCH", Path: "/order", Header: head(HeaderID, "c2", HeaderClass, "order")}); Code(err) != 405 {
		t.Errorf("a wrong method: %v", err)
	}
}

// Whatever the headers say, they are a request or an error with a code of the
// client's fault.
func FuzzParse(f *testing.F) {
	f.Add("GET", "/read/x", "c", "read", "acme", "", "100", "", "")
	f.Add("POST", "/pay", "c", "pay", "duka", "k", "0", "18446744073709551616", "1")
	f.Add("POST", "//order", "", "order", "", "k", "-1", "1e9", "2")
	p := NewParser(settings)
	f.Fuzz(func(t *testing.T, method, path, id, class, tenant, key, left, hint, repeat string) {
		got, err := p.Parse(Request{Method: method, Path: path, At: 1_000_000, Header: head(HeaderID, id, HeaderClass, class,
			HeaderTenant, tenant, HeaderKey, key, HeaderTimeLeft, left, HeaderHint, hint, HeaderRepeat, repeat)})
		if err != nil {
			if c := Code(err); c < 400 || c > 499 || err.Error() == "" {
				t.Errorf("code %d, %q", c, err)
			}
			return
		}
		if int(got.Class) >= len(settings.Classes) || got.Deadline > 1_000_000+TimeLeftMost.Microseconds() || got.WorkHint < 0 ||
			got.CorrelationID == "" || settings.Classes[got.Class].Name != class || strings.Contains(class, "/") {
			t.Errorf("parsed %+v of class %q", got, class)
		}
	})
}
