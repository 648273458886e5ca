package extproc

import (
	"context"
	"strconv"
	"testing"

	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"pinedale/balancer"
	"pinedale/internal/intake"
	"pinedale/internal/standin/proxy"
	"pinedale/internal/standin/soko"
	"pinedale/internal/standin/wait"
)

// A forward names its endpoint as header and as metadata, with the timeout and the attempt, and has the proxy send no
// bodies.
func TestForwardNamesEndpointTimeoutAndAttempt(t *testing.T) {
	h := start(t, 2, nil)
	s := h.open(context.Background())
	if err := s.Send(proxy.Headers(h.request("pay"), 1)); err != nil {
		t.Fatal(err)
	}
	m, err := s.Recv()
	if err != nil {
		t.Fatal(err)
	}
	v, err := proxy.Read(m)
	if err != nil {
		t.Fatal(err)
	}
	if v.Endpoint != h.servers[0].Address && v.Endpoint != h.servers[1].Address || v.Metadata != v.Endpoint {
		t.Errorf("endpoint %q, metadata %q", v.Endpoint, v.Metadata)
	}
	timeout, _ := strconv.Atoi(v.Headers[headerTimeout])
	if timeout <= 0 || timeout > 900 || v.Headers[headerTimeRemaining] != v.Headers[headerTimeout] ||
		v.Headers[headerMaxRetries] != "0" || v.Headers[headerAttempt] != "1" {
		t.Errorf("headers %v", v.Headers)
	}
	mode := m.ModeOverride
	if mode.GetRequestBodyMode() != modev3.ProcessingMode_NONE ||
		mode.GetResponseBodyMode() != modev3.ProcessingMode_NONE ||
		mode.GetResponseHeaderMode() != modev3.ProcessingMode_SEND {
		t.Errorf("mode %v", mode)
	}
	if m := s.report(200, "via_upstream", v.Endpoint); m.GetResponseHeaders() == nil || retryAllowed(m) {
		t.Errorf("to the report: %v", m)
	}
	s.end()
	wait.Until(t, "the release of all streams", func() bool { return h.openCount() == 0 })
}

// byTier routes by one header, to a route with its own bounds.
type byTier struct{ intake.Router }

func (byTier) Routed() bool { return true }
func (byTier) Route(in *intake.Request) (*intake.Bounds, bool) {
	if in.Host != "till.example" || in.Header.Get("X-Tier") != "gold" {
		return nil, false
	}
	return &intake.Bounds{
		Class:     1,
		ClassName: classes[1].Name,
		Repeat:    classes[1].Idempotency,
		Methods:   true,
		TryFor:    200_000,
		Attempts:  1,
	}, true
}
func (byTier) Tenants() int { return 0 }

// Routes may match any header that the proxy passes on. A route's bounds apply to its decisions: the attempt timeout
// and the number of attempts.
func TestRouteBoundsApplyToDecisions(t *testing.T) {
	var parser *intake.Parser
	h := start(t, 2, func(o *Options, s *balancer.Settings) {
		parser = intake.NewParser(s)
		parser.Use(byTier{})
		o.Parser = parser
	})
	request := func(alter func(map[string]string)) (*extprocv3.ProcessingResponse, testStream) {
		q := h.request(classes[1].Name)
		q.Header["x-tier"], q.Header[":authority"] = "gold", "till.example"
		alter(q.Header)
		s := h.open(context.Background())
		if err := s.Send(proxy.Headers(q, 1)); err != nil {
			t.Fatal(err)
		}
		m, err := s.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return m, s
	}
	m, s := request(func(map[string]string) {})
	v, err := proxy.Read(m)
	if err != nil {
		t.Fatal(err)
	}
	if timeout, _ := strconv.Atoi(v.Headers[headerTimeout]); timeout <= 0 || timeout > 200 {
		t.Errorf("headers %v, want 200 ms at most", v.Headers)
	}
	if m := s.report(500, "via_upstream", v.Endpoint); retryAllowed(m) {
		t.Error("a route of one attempt allows a retry")
	}
	s.end()
	for _, alter := range []func(map[string]string){
		func(headers map[string]string) { headers["x-tier"] = "tin" },
		func(headers map[string]string) { delete(headers, "x-tier") },
		func(headers map[string]string) { headers[":authority"] = "x" },
	} {
		m, s := request(alter)
		if r := m.GetImmediateResponse(); r == nil || r.Status.Code != 404 {
			t.Errorf("of no route: %v", m)
		}
		s.end()
	}
	wait.Until(t, "the release of all streams", func() bool { return h.openCount() == 0 })
}

// Two requests with one key, over two connections, get the same endpoint. Another request under the same key is
// rejected.
func TestSameKeyGetsSameEndpointOnBothConnections(t *testing.T) {
	h := start(t, 4, nil)
	for range 50 {
		q := h.request("pay")
		other := proxy.Request{Method: q.Method, Path: q.Path, Body: q.Body, Header: map[string]string{}}
		for k, v := range q.Header {
			other.Header[k] = v
		}
		other.Header["x-correlation-id"] += "b" // a client's retry
		a, b := h.open(context.Background()), h.open(context.Background())
		a.send(proxy.Headers(q, 0))
		b.send(proxy.Headers(other, 0))
		x, y := a.decision(), b.decision()
		if x.Endpoint == "" || x.Endpoint != y.Endpoint {
			t.Fatalf("forwarded to %q and %q", x.Endpoint, y.Endpoint)
		}
		a.report(200, "via_upstream", x.Endpoint)
		a.end()
		c := h.open(context.Background())
		if z := c.request(q, 0); z.Endpoint != x.Endpoint {
			t.Fatalf("after the outcome: %+v, want %q", z, x.Endpoint)
		}
		c.end()
		b.end()
		q.Path += "y"
		d := h.open(context.Background())
		if z := d.request(q, 0); z.Code != 422 {
			t.Fatalf("another request under the key: %+v, want 422", z)
		}
		d.end()
	}
}

// A failure that proves that the request never ran allows a retry for any class; another does as the class permits.
// Without a retry the client gets a status that does not promise too much.
func TestReportedFailureAllowsRetryByClass(t *testing.T) {
	h := start(t, 4, nil)
	const rejected, reset = "upstream_reset_before_response_started{remote_connection_failure|delayed_connect_error}",
		"upstream_reset_before_response_started{connection_termination}"
	for _, c := range []struct {
		class, details string
		code           int
		retryAllowed   bool
		status         int // that the client gets if the proxy does not retry; 0: unchanged
	}{
		{"order", rejected, 503, true, 0},
		{"order", reset, 503, false, 502},
		{"order", "via_upstream", 500, false, 502},
		{"order", "upstream_reset_before_response_started{overflow}", 503, true, 0},
		{"order", "some_filter_denied", 403, false, 502},
		{"close", reset, 503, true, 502},
		{"pay", "via_upstream", 500, true, 0},
		{"read", reset, 503, true, 502},
	} {
		q := h.request(c.class)
		s := h.open(context.Background())
		first := s.request(q, 1)
		m := s.report(c.code, c.details, first.Endpoint)
		if retryAllowed(m) != c.retryAllowed {
			t.Fatalf("%s after %q: %v, want another attempt: %v", c.class, c.details, m, c.retryAllowed)
		}
		got := 0
		for _, header := range m.GetResponseHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
			if header.Header.Key == ":status" {
				got, _ = strconv.Atoi(string(header.Header.RawValue))
			}
		}
		if m.GetImmediateResponse() != nil {
			got = int(m.GetImmediateResponse().Status.Code)
		}
		if got != c.status {
			t.Errorf("%s after %q: status %d, want %d", c.class, c.details, got, c.status)
		}
		s.end()
		if !c.retryAllowed {
			continue
		}
		next := h.open(context.Background())
		v := next.request(q, 2)
		if v.Endpoint == "" || v.Endpoint == first.Endpoint || v.Headers[headerAttempt] != "2" {
			t.Errorf("%s: the second decision %+v after %s", c.class, v, first.Endpoint)
		}
		next.report(200, "via_upstream", v.Endpoint)
		next.end()
	}
	wait.Until(t, "the release of all streams", func() bool { return h.openCount() == 0 })
}

// If a caller reports that another endpoint served the request, the failure counts against that one, and a repeat
// with the key stays in its cell.
func TestReportedEndpointOverridesDecision(t *testing.T) {
	h := start(t, 4, nil)
	cell := func(address string) int {
		for _, s := range h.servers {
			if s.Address == address {
				return s.Cell
			}
		}
		return -1
	}
	for range 10 {
		q := h.request("close")
		s := h.open(context.Background())
		first := s.request(q, 1)
		var served string
		for _, o := range h.servers {
			if o.Cell != cell(first.Endpoint) {
				served = o.Address
			}
		}
		if m := s.report(500, "via_upstream", served); !retryAllowed(m) {
			t.Fatalf("to the report: %v", m)
		}
		s.end()
		next := h.open(context.Background())
		if v := next.request(q, 2); cell(v.Endpoint) != cell(served) {
			t.Fatalf("the second decision is of cell %d, the first was served in %d", cell(v.Endpoint), cell(served))
		}
		next.end()
	}
}

// A server that leaves the list after a decision is not forwarded to any more: neither in a replay nor in a retry.
func TestRetiredEndpointIsNotReused(t *testing.T) {
	h := start(t, 3, nil)
	q := h.request("pay")
	s := h.open(context.Background())
	first := s.request(q, 1)
	var rest []*soko.Server
	for _, o := range h.servers {
		if o.Address != first.Endpoint {
			rest = append(rest, o)
		}
	}
	h.source.lists <- h.list(rest...)
	// The engine takes lists and requests in order.
	second := h.open(context.Background())
	wait.Until(t, "the list", func() bool {
		found := uint32(1)
		done := make(chan struct{})
		h.engine.Post(func(balancer.Micros) { found = h.engine.EndpointAt(first.Endpoint); close(done) })
		<-done
		return found == 0
	})
	if v := second.request(q, 1); v.Endpoint == first.Endpoint || v.Code != 409 {
		t.Errorf("a replay to a server that is gone: %+v", v)
	}
	second.end()
	// The first attempt failed: the retry goes elsewhere.
	if m := s.report(500, "via_upstream", first.Endpoint); !retryAllowed(m) {
		t.Fatalf("to the report: %v", m)
	}
	s.end()
	h.source.lists <- h.list(rest[0])
	next := h.open(context.Background())
	wait.Until(t, "the list", func() bool {
		found := uint32(1)
		done := make(chan struct{})
		h.engine.Post(func(balancer.Micros) { found = h.engine.EndpointAt(rest[1].Address); close(done) })
		<-done
		return found == 0
	})
	if v := next.request(q, 2); v.Endpoint != rest[0].Address && v.Endpoint != "" {
		t.Errorf("the retry goes to %q, want the remaining server: %q", v.Endpoint, rest[0].Address)
	}
	next.end()
}
