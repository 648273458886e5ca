package extproc

import (
	"context"
	"maps"
	"strconv"
	"testing"

	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"pinedale/balancer"
	"pinedale/internal/front/fronttest"
	"pinedale/internal/requestmeta"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/proxy"
)

// A forward decision carries its endpoint as a header and as metadata, the timeout and the attempt number, and has the
// proxy send no bodies.
func TestForwardNamesEndpointTimeoutAndAttempt(t *testing.T) {
	h := start(t, 2, nil)
	s := h.open(context.Background())
	if err := s.Send(proxy.RequestHeaders(h.request("pay"), 1)); err != nil {
		t.Fatal(err)
	}
	response, err := s.Recv()
	if err != nil {
		t.Fatal(err)
	}
	decision, err := proxy.ParseDecision(response)
	if err != nil {
		t.Fatal(err)
	}
	endpoint := decision.Endpoint
	if endpoint != h.servers[0].Address && endpoint != h.servers[1].Address || decision.Metadata != endpoint {
		t.Errorf("endpoint %q, metadata %q, want the address of a server in both", endpoint, decision.Metadata)
	}
	timeout, _ := strconv.Atoi(decision.Headers[headerTimeout])
	if timeout <= 0 || timeout > 900 || decision.Headers[headerTimeRemaining] != decision.Headers[headerTimeout] ||
		decision.Headers[headerMaxRetries] != "0" || decision.Headers[headerAttempt] != "1" {
		t.Errorf("headers %v, want a timeout up to 900 ms, no retries and attempt 1", decision.Headers)
	}
	mode := response.ModeOverride
	if mode.GetRequestBodyMode() != modev3.ProcessingMode_NONE ||
		mode.GetResponseBodyMode() != modev3.ProcessingMode_NONE ||
		mode.GetResponseHeaderMode() != modev3.ProcessingMode_SEND {
		t.Errorf("mode override %v, want no bodies", mode)
	}
	response = s.report(200, "via_upstream", endpoint)
	if response.GetResponseHeaders() == nil || retryAllowed(response) {
		t.Errorf("response to the report: %v, want response headers and no retry", response)
	}
	s.end()
	h.awaitRelease()
}

// tierRouter routes by one header, to a route with its own bounds.
type tierRouter struct{ requestmeta.Router }

func (tierRouter) HasRoutes() bool { return true }
func (tierRouter) Route(in *requestmeta.Request) (*requestmeta.Bounds, bool) {
	if in.Host != "till.example" || in.Header.Get("X-Tier") != "gold" {
		return nil, false
	}
	return &requestmeta.Bounds{
		Class:            1,
		ClassName:        classes[1].Name,
		Idempotency:      classes[1].Idempotency,
		RestrictsMethods: true,
		AttemptTimeout:   200_000,
		MaxAttempts:      1,
	}, true
}
func (tierRouter) Tenants() int { return 0 }

// Routes may match any header that the proxy passes on. A route's bounds apply to its decisions: the attempt timeout
// and the number of attempts.
func TestRouteBoundsApplyToDecisions(t *testing.T) {
	var parser *requestmeta.Parser
	h := start(t, 2, func(server *Options, s *balancer.Settings) {
		parser = requestmeta.NewParser(s)
		parser.SetRouter(tierRouter{})
		server.Parser = parser
	})
	request := func(alter func(map[string]string)) (*extprocv3.ProcessingResponse, testStream) {
		req := h.request(classes[1].Name)
		req.Header["x-tier"], req.Header[":authority"] = "gold", "till.example"
		alter(req.Header)
		s := h.open(context.Background())
		if err := s.Send(proxy.RequestHeaders(req, 1)); err != nil {
			t.Fatal(err)
		}
		response, err := s.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return response, s
	}
	response, s := request(func(map[string]string) {})
	decision, err := proxy.ParseDecision(response)
	if err != nil {
		t.Fatal(err)
	}
	if timeout, _ := strconv.Atoi(decision.Headers[headerTimeout]); timeout <= 0 || timeout > 200 {
		t.Errorf("headers %v, want a timeout of at most 200 ms", decision.Headers)
	}
	if response := s.report(500, "via_upstream", decision.Endpoint); retryAllowed(response) {
		t.Error("a route of one attempt allows a retry")
	}
	s.end()
	for _, alter := range []func(map[string]string){
		func(headers map[string]string) { headers["x-tier"] = "tin" },
		func(headers map[string]string) { delete(headers, "x-tier") },
		func(headers map[string]string) { headers[":authority"] = "x" },
	} {
		response, s := request(alter)
		if r := response.GetImmediateResponse(); r == nil || r.Status.Code != 404 {
			t.Errorf("response to a request without a route: %v, want 404", response)
		}
		s.end()
	}
	h.awaitRelease()
}

// Two requests with one key, over two connections, get the same endpoint. Another request under the same key is
// rejected.
func TestSameKeyGetsSameEndpointOnBothConnections(t *testing.T) {
	h := start(t, 4, nil)
	for range 50 {
		req := h.request("pay")
		other := proxy.Request{Method: req.Method, Path: req.Path, Body: req.Body, Header: map[string]string{}}
		maps.Copy(other.Header, req.Header)
		other.Header["x-correlation-id"] += "b" // a client's retry
		first, second := h.open(context.Background()), h.open(context.Background())
		first.send(proxy.RequestHeaders(req, 0))
		second.send(proxy.RequestHeaders(other, 0))
		firstDecision, secondDecision := first.decision(), second.decision()
		if firstDecision.Endpoint == "" || firstDecision.Endpoint != secondDecision.Endpoint {
			t.Fatalf("forwarded to %q and %q, want the same endpoint", firstDecision.Endpoint, secondDecision.Endpoint)
		}
		first.report(200, "via_upstream", firstDecision.Endpoint)
		first.end()
		after := h.open(context.Background())
		if decision := after.request(req, 0); decision.Endpoint != firstDecision.Endpoint {
			t.Fatalf("decision after the first answer: %+v, want endpoint %q", decision, firstDecision.Endpoint)
		}
		after.end()
		second.end()
		req.Path += "y"
		reused := h.open(context.Background())
		if decision := reused.request(req, 0); decision.Code != 422 {
			t.Fatalf("decision for another request under the key: %+v, want 422", decision)
		}
		reused.end()
	}
}

// A failure that proves that the request never ran allows a retry for any class; after other failures the class
// decides. Without a retry the client gets no status that promises that the request never ran.
func TestReportedFailureAllowsRetryByClass(t *testing.T) {
	h := start(t, 4, nil)
	const (
		rejected = "upstream_reset_before_response_started{remote_connection_failure|delayed_connect_error}"
		reset    = "upstream_reset_before_response_started{connection_termination}"
	)
	for _, test := range []struct {
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
		req := h.request(test.class)
		s := h.open(context.Background())
		first := s.request(req, 1)
		response := s.report(test.code, test.details, first.Endpoint)
		if retryAllowed(response) != test.retryAllowed {
			t.Fatalf("%s after %q: response %v, want retry allowed: %v", test.class, test.details, response, test.retryAllowed)
		}
		got := 0
		for _, header := range response.GetResponseHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
			if header.Header.Key == ":status" {
				got, _ = strconv.Atoi(string(header.Header.RawValue))
			}
		}
		if response.GetImmediateResponse() != nil {
			got = int(response.GetImmediateResponse().Status.Code)
		}
		if got != test.status {
			t.Errorf("%s after %q: status %d, want %d", test.class, test.details, got, test.status)
		}
		s.end()
		if !test.retryAllowed {
			continue
		}
		next := h.open(context.Background())
		decision := next.request(req, 2)
		if decision.Endpoint == "" || decision.Endpoint == first.Endpoint || decision.Headers[headerAttempt] != "2" {
			t.Errorf("%s: second decision %+v after %s, want attempt 2 elsewhere", test.class, decision, first.Endpoint)
		}
		next.report(200, "via_upstream", decision.Endpoint)
		next.end()
	}
	h.awaitRelease()
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
		req := h.request("close")
		s := h.open(context.Background())
		first := s.request(req, 1)
		var served string
		for _, server := range h.servers {
			if server.Cell != cell(first.Endpoint) {
				served = server.Address
			}
		}
		if response := s.report(500, "via_upstream", served); !retryAllowed(response) {
			t.Fatalf("response to the report: %v, want a retry allowed", response)
		}
		s.end()
		next := h.open(context.Background())
		if decision := next.request(req, 2); cell(decision.Endpoint) != cell(served) {
			t.Fatalf("the second decision is for cell %d, the first was served in %d", cell(decision.Endpoint), cell(served))
		}
		next.end()
	}
}

// After a server has left the list, no request is forwarded to it: neither in a replay nor in a retry.
func TestRetiredEndpointIsNotReused(t *testing.T) {
	h := start(t, 3, nil)
	req := h.request("pay")
	s := h.open(context.Background())
	first := s.request(req, 1)
	var remaining []*fakebackend.Server
	for _, server := range h.servers {
		if server.Address != first.Endpoint {
			remaining = append(remaining, server)
		}
	}
	h.source.lists <- fronttest.List(remaining...)
	// The engine handles lists and requests in order.
	second := h.open(context.Background())
	h.awaitRemoval(first.Endpoint)
	if decision := second.request(req, 1); decision.Endpoint == first.Endpoint || decision.Code != 409 {
		t.Errorf("decision for a repeat whose server was removed: %+v, want 409", decision)
	}
	second.end()
	// The first attempt failed: the retry goes elsewhere.
	if response := s.report(500, "via_upstream", first.Endpoint); !retryAllowed(response) {
		t.Fatalf("response to the report: %v, want a retry allowed", response)
	}
	s.end()
	h.source.lists <- fronttest.List(remaining[0])
	next := h.open(context.Background())
	h.awaitRemoval(remaining[1].Address)
	if decision := next.request(req, 2); decision.Endpoint != remaining[0].Address && decision.Endpoint != "" {
		t.Errorf("the retry goes to %q, want the remaining server: %q", decision.Endpoint, remaining[0].Address)
	}
	next.end()
}
