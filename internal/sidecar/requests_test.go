package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
)

// Requests of every class are served, and share one connection to the endpoint.
func TestServesAndReusesConnections(t *testing.T) {
	h, endpoint := startServing(t)
	for _, class := range []string{"read", "pay", "close", "order"} {
		body := "body of " + class
		if class == "read" {
			body = ""
		}
		if got := h.send(h.newRequest(class, body, 3*time.Second)); got.code != http.StatusOK || got.body != "done" {
			t.Errorf("class %s: got %+v, want status 200 and body done", class, got)
		}
	}
	if requests, conns := endpoint.RequestCount(), endpoint.ConnCount(); requests != 4 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 4 on 1", requests, conns)
	}
}

// A request's class and the outcome of the previous attempt determine whether it is retried. In each case the
// client receives exactly one response.
func TestRetriesFollowClassAndOutcome(t *testing.T) {
	// Each handler serves all requests except the first.
	reset := func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			if e.RequestCount() == 1 {
				return
			}
			_, _ = io.WriteString(conn, scriptedconn.Served)
		}
	}
	failing := scriptedconn.FirstThen(scriptedconn.Failing, scriptedconn.Served)
	full := scriptedconn.FirstThen(scriptedconn.Full, scriptedconn.Served)

	const otherCell = 2 // of the second endpoint; 0 for that of the first
	for _, test := range []struct {
		name, class  string
		handler      scriptedconn.Handler
		secondCell   uint16
		wantCode     int
		wantAttempts int
	}{
		{"idempotent after a reset", "read", reset, 0, 200, 2},
		{"idempotent after an error", "read", failing, 0, 200, 2},
		{"with key, after a reset", "pay", reset, 0, 200, 2},
		{"with key, in its cell", "close", reset, 0, 200, 2},
		{"with key, out of its cell", "close", failing, otherCell, 502, 1},
		// A reset does not exclude the endpoint from the retry, so the only endpoint of the cell is chosen again.
		{"with key, alone in its cell", "close", reset, otherCell, 200, 2},
		{"with key, out of its cell, never ran", "close", full, otherCell, 200, 2},
		{"not idempotent after a reset", "order", reset, 0, 502, 1},
		{"not idempotent after an error", "order", failing, 0, 502, 1},
		{"not idempotent, never ran", "order", full, 0, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			// Both hosts have the address of one endpoint: whichever is chosen, the first attempt ends as scripted.
			endpoint := scriptedconn.New(t, test.handler)
			second := fakediscovery.Ready("s-2", endpoint.Address)
			second.Cell = test.secondCell
			h := start(t, nil, fakediscovery.Ready("s-1", endpoint.Address), second)
			got := h.send(h.newRequest(test.class, "x", 3*time.Second))
			attempts := endpoint.RequestCount()
			if got.code != test.wantCode || attempts != test.wantAttempts || got.err != nil {
				t.Errorf("response %d (%v) after %d attempts, want %d after %d",
					got.code, got.err, attempts, test.wantCode, test.wantAttempts)
			}
			if got.code == http.StatusOK && got.body != "done" {
				t.Errorf("body %q, want done", got.body)
			}
		})
	}
}

// The balancer receives one outcome for each attempt, in order, and the last one marks the request as
// settled.
func TestEachAttemptHasOneOutcomeInOrder(t *testing.T) {
	endpoint := scriptedconn.New(t, scriptedconn.FirstThen(scriptedconn.Full, scriptedconn.Served))
	h := start(t, nil, fakediscovery.Ready("s-1", endpoint.Address), fakediscovery.Ready("s-2", endpoint.Address))
	h.send(h.newRequest("order", "x", 3*time.Second))
	h.waitFor("two outcomes", func() bool { return len(h.spy.statuses()) >= 2 })
	h.spy.mu.Lock()
	defer h.spy.mu.Unlock()
	if len(h.spy.outcomes) != 2 {
		t.Fatalf("%d outcomes, want 2", len(h.spy.outcomes))
	}
	first, second := h.spy.outcomes[0], h.spy.outcomes[1]
	if first.Attempt != 0 || first.Status != balancer.Full || first.Settled ||
		second.Attempt != 1 || second.Status != balancer.OK || !second.Settled ||
		first.ID != second.ID || first.Endpoint == second.Endpoint {
		t.Errorf("outcomes %+v, want full and then OK, of two endpoints, the last one settled", h.spy.outcomes)
	}
}

// A request that every endpoint rejects as full is answered immediately, with a Retry-After header.
func TestFullEndpointIsAnsweredWithRetryAfter(t *testing.T) {
	h, _ := startWithEndpoint(t, scriptedconn.Always(scriptedconn.Full))
	began := time.Now()
	got := h.send(h.newRequest("read", "", time.Minute))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.code != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1.5 {
		t.Errorf("response %d, Retry-After %q; want 503 and 0 to 1.5", got.code, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the response took %v, want less than half of the request's minute", took)
	}
}
