package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// A client that disconnects while its request waits for a connection to an endpoint gets no response, and its
// request is not written once the connection is established. This also holds if the settings forbid the sidecar
// to cancel attempts, and if bytes behind the request hide the disconnect from net/http, which stops watching
// the connection once a byte has arrived.
func TestRequestOfDisconnectedClientIsNotWritten(t *testing.T) {
	const (
		pay  = payHeaders + "X-Correlation-Id: 2\r\n\r\n"
		read = readHeaders + "X-Correlation-Id: 2\r\n\r\n"
	)
	for _, test := range []struct {
		name           string
		class          string
		cancel         bool
		within, behind string // bytes behind the request, sent with it and once it is in flight
		disconnect     func(net.Conn)
	}{
		{"closed", "order", false, "", "", closeConn},
		{"closed, cancelling permitted", "order", true, "", "", closeConn},
		{"reset", "pay", false, "", "", resetConn},
		{"half-closed", "read", false, "", "", halfCloseConn},
		{"a byte behind", "read", false, "", "G", closeConn},
		{"a byte behind a body", "pay", false, "", "G", closeConn},
		{"requests behind", "order", false, "", strings.Repeat(pay, 5), closeConn},
		{"requests with it", "read", false, strings.Repeat(read, 5), "", closeConn},
		{"requests with it and behind, reset", "read", true, read, "GET", resetConn},
		{"noise", "pay", false, "", strings.Repeat("x", 100<<10), closeConn},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			endpoint := newServingEndpoint(t)
			host := fakediscovery.Ready("s-1", endpoint.Address)
			control, dialling, established := blockDials()
			h := &harness{t: t, dialControl: control, dir: fakediscovery.New(t, host)}
			h.startReady(func(s *testfleet.SidecarSettings) { s.Limits.Cancel = test.cancel }, host)
			conn := h.dial()
			h.mustWrite(conn, h.requestText(test.class, "x")+test.within)
			<-dialling
			h.mustWrite(conn, test.behind)
			test.disconnect(conn)
			h.waitFor("the disconnect", func() bool { return h.spy.hasEvent(clientDisconnected) })
			close(established)
			h.waitFor("the outcome", func() bool { return len(h.spy.statuses()) == 1 })
			if s := h.spy.statuses()[0]; s != balancer.NotSent {
				t.Errorf("status %v, want NotSent", s)
			}
			if n := endpoint.RequestCount(); n != 0 {
				t.Errorf("%d requests were written after their client disconnected", n)
			}
			h.waitFor("no request in flight", func() bool { return h.requestsInFlight() == 0 })
		})
	}
}

// Functions that disconnect a client.
func closeConn(conn net.Conn)     { conn.Close() }
func halfCloseConn(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }
func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// requestsInFlight returns the number of requests in flight in the engine.
func (h *harness) requestsInFlight() int {
	h.t.Helper()
	requests := 0
	h.inEngine(func() { requests, _ = h.engine.Counts() })
	return requests
}

// Bytes that arrive behind a request in flight are served as the next request, unchanged.
func TestPipelinedRequestIsServedNext(t *testing.T) {
	endpoint := newServingEndpoint(t)
	host := fakediscovery.Ready("s-1", endpoint.Address)
	control, dialling, established := blockDials()
	h := &harness{t: t, dialControl: control, dir: fakediscovery.New(t, host)}
	h.startReady(nil, host)
	conn := h.dial()
	h.mustWrite(conn, h.requestText("pay", "first"))
	<-dialling
	for part := range slices.Chunk([]byte(h.requestText("pay", "next")), 7) {
		h.mustWrite(conn, string(part))
	}
	close(established)
	if err := conn.SetReadDeadline(time.Now().Add(wait.Timeout)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn) // both responses may arrive in one segment
	for range 2 {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK || string(body) != "done" {
			t.Fatalf("response %d %q, error %v", response.StatusCode, body, err)
		}
		response.Body.Close()
	}
	h.waitFor("both requests", func() bool { return endpoint.RequestCount() == 2 })
	for n, want := range []string{"first", "next"} {
		if body, _ := io.ReadAll(endpoint.Request(n).Body); string(body) != want {
			t.Errorf("request %d has body %q, want %q", n, body, want)
		}
	}
}

// A request with an idempotency key that may have run is not written again after the dedup window of its key,
// even if establishing the connection takes longer than the window.
func TestRetryIsNotWrittenAfterDedupWindow(t *testing.T) {
	endpoint := scriptedconn.New(t, scriptedconn.FirstThen(scriptedconn.Failing, scriptedconn.Served))
	// Both hosts have the address of one endpoint: whichever is chosen first fails.
	hosts := []fakediscovery.Host{
		fakediscovery.Ready("s-1", endpoint.Address),
		fakediscovery.Ready("s-2", endpoint.Address),
	}
	h := &harness{t: t, dir: fakediscovery.New(t, hosts...)}
	const window = 2 * time.Second // longer than a busy machine takes from the first outcome to the retry
	dials := make(chan struct{}, 9)
	h.dialControl = func(string, string, syscall.RawConn) error {
		if dials <- struct{}{}; len(dials) == 2 { // the dial of the retry, to the other host
			time.Sleep(window + window/4)
		}
		return nil
	}
	h.startReady(func(s *testfleet.SidecarSettings) {
		s.Limits.DialTimeout = (4 * window).Microseconds()
		pay := &s.Classes[1]
		pay.DedupWindow = window.Microseconds()
		pay.ClientTimeout = (10 * window).Microseconds()
	}, hosts...)
	got := h.send(h.newRequest("pay", "x", time.Minute))
	if n := endpoint.RequestCount(); n != 1 || got.code != http.StatusBadGateway {
		t.Errorf("%d attempts were written, response %d; want 1 and 502", n, got.code)
	}
	if all := h.spy.statuses(); !slices.Equal(all, []balancer.Status{balancer.Error, balancer.NotSent}) {
		t.Errorf("outcomes %v, want Error and NotSent", all)
	}
}

// When a client disconnects, its attempt is cancelled by closing the attempt's connection, and the balancer
// still receives the outcome, marked as settled.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	closed := make(chan struct{})
	h, endpoint := startWithEndpoint(t, func(e *scriptedconn.Endpoint, _ net.Conn, in *bufio.Reader) {
		e.Next(in)
		_, _ = in.ReadByte() // returns once the sidecar closes the connection
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	received := h.sendAsync(h.newRequest("pay", "x", time.Minute).WithContext(ctx))
	h.waitFor("the attempt", func() bool { return endpoint.RequestCount() == 1 })
	cancel()
	<-received
	select {
	case <-closed:
	case <-time.After(wait.Timeout):
		t.Fatal("the connection of the cancelled attempt stays open")
	}
	h.waitFor("the outcome", func() bool { return len(h.spy.statuses()) == 1 })
	h.spy.mu.Lock()
	defer h.spy.mu.Unlock()
	if o := h.spy.outcomes[0]; o.Status != balancer.Cancelled || !o.Settled {
		t.Errorf("outcome %+v, want cancelled and settled", o)
	}
	if h.spy.events[0] != clientDisconnected {
		t.Errorf("events %v, want the disconnect first", h.spy.events)
	}
}

// A client that has closed its sending side counts as disconnected. It must not receive a complete response that
// was not sent by an endpoint.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	h, endpoint := startWithEndpoint(t, scriptedconn.Unresponsive)
	conn := h.dial()
	h.mustWrite(conn, h.requestText("pay", "x"))
	h.waitFor("the attempt", func() bool { return endpoint.RequestCount() == 1 })
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait.Timeout)); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); len(got) > 0 {
		t.Errorf("the client read %q (error %v), want nothing", got, err)
	}
}

// A response that arrives after its request has ended is reported to the balancer as settled, and is not
// sent to the client.
func TestLateOutcomeIsReportedAsSettled(t *testing.T) {
	answer := make(chan struct{})
	endpoint := scriptedconn.New(t, scriptedconn.ServedAfter(answer, nil))
	// Where the settings forbid to cancel, the attempt continues after its request has ended.
	forbidCancel := func(s *testfleet.SidecarSettings) { s.Limits.Cancel = false }
	h := start(t, forbidCancel, fakediscovery.Ready("s-1", endpoint.Address))
	ctx, cancel := context.WithCancel(context.Background())
	received := h.sendAsync(h.newRequest("pay", "x", time.Minute).WithContext(ctx))
	h.waitFor("the attempt", func() bool { return endpoint.RequestCount() == 1 })
	cancel()
	<-received
	h.waitFor("the disconnect", func() bool { return h.spy.hasEvent(clientDisconnected) })
	close(answer)
	h.waitFor("the outcome", func() bool { return len(h.spy.statuses()) == 1 })
	h.spy.mu.Lock()
	defer h.spy.mu.Unlock()
	if o := h.spy.outcomes[0]; o.Status != balancer.OK || !o.Settled {
		t.Errorf("outcome %+v, want served and settled", o)
	}
}
