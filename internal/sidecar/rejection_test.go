package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pinedale/internal/front/httpfront"
	"pinedale/internal/httpmsg"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/testfleet"
)

// An invalid request is rejected with a reason that names the invalid header, and is sent to no endpoint.
func TestInvalidRequestIsRejectedWithReason(t *testing.T) {
	endpoint := newServingEndpoint(t)
	h := start(t, func(s *testfleet.SidecarSettings) {
		s.Tenants = []testfleet.Tenant{{Name: "acme", Share: 1, Quota: 10}}
	}, fakediscovery.Ready("s-1", endpoint.Address))
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	add := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Add(name, value) }
	}
	remove := func(name string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Del(name) }
	}
	method := func(method string) func(*http.Request) {
		return func(r *http.Request) { r.Method = method }
	}
	path := func(path string) func(*http.Request) {
		return func(r *http.Request) { r.URL.Path, r.URL.RawPath = path, "" }
	}
	largeBody := func(contentLength int64) func(*http.Request) {
		return func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", httpmsg.MaxBodyBytes+1)))
			r.ContentLength = contentLength
		}
	}
	const unknownLength = -1
	for _, test := range []struct {
		name     string
		alter    func(*http.Request)
		wantCode int
		wantBody string // part of it
	}{
		{"no id", remove("X-Correlation-Id"), 400, "X-Correlation-Id"},
		{"no class", remove("X-Service-Class"), 400, "X-Service-Class"},
		{"unknown class", set("X-Service-Class", "gift"), 400, "gift"},
		{"no time left", remove("X-Time-Left-Ms"), 400, "X-Time-Left-Ms"},
		{"bad time left", set("X-Time-Left-Ms", "1e3"), 400, "1e3"},
		{"negative time left", set("X-Time-Left-Ms", "-5"), 400, "-5"},
		{"time left beyond all numbers", set("X-Time-Left-Ms", "99999999999999999999"), 400, "X-Time-Left-Ms"},
		{"no key", remove("Idempotency-Key"), 400, "Idempotency-Key"},
		{"wrong method", method(http.MethodPut), 405, "POST"},
		{"GET for a class that posts", method(http.MethodGet), 405, "POST"},
		{"two classes", add("X-Service-Class", "read"), 400, "X-Service-Class"},
		{"two ids", add("X-Correlation-Id", "9b1f03aa5c7e2d41"), 400, "X-Correlation-Id"},
		{"two keys", add("Idempotency-Key", "k"), 400, "Idempotency-Key"},
		{"an endless id", set("X-Correlation-Id", strings.Repeat("x", 257)), 400, "X-Correlation-Id"},
		{"path of another class", path("/read/x"), 400, "path"},
		{"path of no class", path("/"), 400, "path"},
		{"time left with a sign", set("X-Time-Left-Ms", "+5"), 400, "+5"},
		{"bad repeat mark", set("X-Repeat", "often"), 400, "often"},
		{"negative hint", set("X-Weight-Hint", "-1"), 400, "-1"},
		{"bad hint", set("X-Weight-Hint", "heavy"), 400, "heavy"},
		{"unknown tenant", set("X-Account", "nobody"), 400, "nobody"},
		{"body too large", largeBody(httpmsg.MaxBodyBytes + 1), 413, "65536"},
		{"body too large, of unknown length", largeBody(unknownLength), 413, "65536"},
	} {
		r := h.newRequest("pay", "x", 3*time.Second)
		r.Header.Set("X-Account", "acme")
		test.alter(r)
		if got := h.send(r); got.code != test.wantCode || !strings.Contains(got.body, test.wantBody) {
			t.Errorf("%s: got %+v (%v), want %d with %q", test.name, got, got.err, test.wantCode, test.wantBody)
		}
	}
	// Late requests of other tests may arrive on this port, so only requests with the header count.
	n := endpoint.RequestCount()
	for i := range n {
		if r := endpoint.Request(i); r.Header.Get("X-Account") != "" {
			t.Errorf("an invalid request reached the endpoint: %s %s %v", r.Method, r.URL, r.Header)
		}
	}
	r := h.newRequest("pay", strings.Repeat("x", httpmsg.MaxBodyBytes), 3*time.Second)
	r.Header.Set("X-Account", "acme")
	r.Header.Set("X-Weight-Hint", "90000")
	r.Header.Set("X-Session-Key", "7f3a9c21e0b4d655")
	if got := h.send(r); got.code != http.StatusOK {
		t.Errorf("a valid request with a body of the maximum size: got %+v, want status 200", got)
	}
}

// The memory of all request bodies together is bounded. A request beyond the limit is rejected before its body is read.
func TestRequestIsRejectedBeyondBodyLimit(t *testing.T) {
	const (
		reserved = 20_000
		limit    = reserved + 1<<10 // a body's first kilobyte needs no reservation
	)
	endpoint := newServingEndpoint(t)
	h := startWith(t, nil, func(o *httpfront.Options) {
		o.Memory.Requests = reserved
	}, fakediscovery.Ready("s-1", endpoint.Address))
	got := h.send(h.newRequest("pay", strings.Repeat("x", limit+1), 3*time.Second))
	if got.code != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("a request beyond the body limit: got %+v, want status 503 with Retry-After", got)
	}
	for range 2 { // the first request releases the memory that it reserved
		if got := h.send(h.newRequest("pay", strings.Repeat("x", limit), 3*time.Second)); got.code != http.StatusOK {
			t.Errorf("a request within the body limit: got %+v, want status 200", got)
		}
	}
}
