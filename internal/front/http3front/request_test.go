package http3front

import (
	"net/http"
	"strings"
	"testing"

	"pinedale/internal/httpmsg"
)

// Requests are checked and answered as on the other fronts.
func TestRequestsAreCheckedAsOnOtherFronts(t *testing.T) {
	h := start(t, 0, nil)
	c := h.newClient()
	hugeBody := strings.Repeat("x", httpmsg.MaxBodyBytes+1)
	unknownLength := func(r *http.Request) { r.ContentLength = -1 }
	without := func(header string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Del(header) }
	}
	for _, test := range []struct {
		name    string
		request *http.Request
		alter   func(*http.Request)
		code    int
		text    string
	}{
		{"idempotent", h.newRequest("GET", "read", ""), nil, 200, "done"},
		{"with a key", h.newRequest("POST", "pay", "body"), nil, 200, "done"},
		{"of unknown length", h.newRequest("POST", "pay", "body"), unknownLength, 200, "done"},
		{"no id", h.newRequest("GET", "read", ""), without("X-Correlation-Id"), 400, "X-Correlation-Id"},
		{"no key", h.newRequest("POST", "pay", "body"), without("Idempotency-Key"), 400, "Idempotency-Key"},
		{"a GET with a body", h.newRequest("GET", "read", "body"), nil, 400, "no body"},
		{"a wrong method", h.newRequest("PUT", "pay", "body"), nil, 405, "POST"},
		{"a huge body", h.newRequest("POST", "pay", hugeBody), nil, 413, "65536"},
		{"a huge body of unknown length", h.newRequest("POST", "pay", hugeBody), unknownLength, 413, "65536"},
		{"an unknown class", h.newRequest("GET", "gift", ""), nil, 400, "gift"},
	} {
		if test.alter != nil {
			test.alter(test.request)
		}
		if code, text := h.roundTrip(c, test.request); code != test.code || !strings.Contains(text, test.text) {
			t.Errorf("%s: status %d, body %q, want %d with %q", test.name, code, text, test.code, test.text)
		}
	}
	readiness := h.newRequest("GET", "read", "")
	readiness.URL.Path = "/health/ready"
	if code, _ := h.roundTrip(c, readiness); code != 200 {
		t.Errorf("readiness: status %d, want 200", code)
	}
	if n := h.server.Connections(); n != 1 {
		t.Errorf("%d connections are open, want 1", n)
	}
}
