package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/httpmsg"
	"pinedale/internal/requestmeta"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
)

// Requests of every class are served, on one connection to the endpoint.
func TestServesAndReusesConnections(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h := start(t, nil, fakediscovery.Ready("s-1", e.Address))
	for _, class := range []string{"read", "pay", "close", "order"} {
		body := "body of " + class
		if class == "read" {
			body = ""
		}
		if got := h.send(h.newRequest(class, body, 3*time.Second)); got.code != http.StatusOK || got.body != "done" {
			t.Errorf("%s: got %+v", class, got)
		}
	}
	if requests, conns := e.RequestCount(), e.ConnCount(); requests != 4 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 4 on 1", requests, conns)
	}
}

// Whether a request is retried follows from its class and from the previous attempt's outcome. The client
// receives one response in each case.
func TestRetriesFollowClassAndOutcome(t *testing.T) {
	reset := func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			if n := e.RequestCount(); n == 1 {
				return
			}
			_, _ = io.WriteString(conn, scriptedconn.Served)
		}
	}
	other := func(h fakediscovery.Host) fakediscovery.Host {
		h.Block = 2
		return h
	}
	for _, c := range []struct {
		name, class string
		first       func(*scriptedconn.Endpoint, net.Conn, *bufio.Reader)
		move        func(fakediscovery.Host) fakediscovery.Host // of the second endpoint
		code        int
		attempts    int
	}{
		{"idempotent after a reset", "read", reset, nil, 200, 2},
		{"idempotent after an error", "read", scriptedconn.FirstThen(scriptedconn.Failing, scriptedconn.Served), nil, 200, 2},
		{"with key, after a reset", "pay", reset, nil, 200, 2},
		{"with key, in its cell", "close", reset, nil, 200, 2},
		{"with key, out of its cell", "close", scriptedconn.FirstThen(scriptedconn.Failing, scriptedconn.Served), other, 502, 1},
		// The first endpoint again, the only one of its cell: a reset does not rule it out.
		{"with key, alone in its cell", "close", reset, other, 200, 2},
		{"with key, out of its cell, never ran", "close", scriptedconn.FirstThen(scriptedconn.Full, scriptedconn.Served), other, 200, 2},
		{"not idempotent after a reset", "order", reset, nil, 502, 1},
		{"not idempotent after an error", "order", scriptedconn.FirstThen(scriptedconn.Failing, scriptedconn.Served), nil, 502, 1},
		{"not idempotent, never ran", "order", scriptedconn.FirstThen(scriptedconn.Full, scriptedconn.Served), nil, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// Both names have the address of one endpoint: whichever is chosen first, its first attempt ends as scripted.
			e := scriptedconn.New(t, c.first)
			second := fakediscovery.Ready("s-2", e.Address)
			if c.move != nil {
				second = c.move(second)
			}
			h := start(t, nil, fakediscovery.Ready("s-1", e.Address), second)
			got := h.send(h.newRequest(c.class, "x", 3*time.Second))
			if n := e.RequestCount(); got.code != c.code || n != c.attempts || got.err != nil {
				t.Errorf("response %d (%v) after %d attempts, want %d after %d", got.code, got.err, n, c.code, c.attempts)
			}
			if got.code == http.StatusOK && got.body != "done" {
				t.Errorf("body %q", got.body)
			}
		})
	}
}

// The balancer receives one outcome for each attempt, in order, and the last one marks the request as
// settled.
func TestEachAttemptHasOneOutcomeInOrder(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.FirstThen(scriptedconn.Full, scriptedconn.Served))
	h := start(t, nil, fakediscovery.Ready("s-1", e.Address), fakediscovery.Ready("s-2", e.Address))
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
		t.Errorf("outcomes %+v", h.spy.outcomes)
	}
}

// A request whose endpoint does not respond is answered before the client's deadline. The balancer
// receives a timeout even if its own timer for the same instant cancels the attempt first.
func TestUnresponsiveEndpointIsAnsweredByDeadline(t *testing.T) {
	for class, code := range map[string]int{"read": 503, "pay": 503, "close": 502, "order": 502} {
		t.Run(class, func(t *testing.T) {
			e := scriptedconn.New(t, scriptedconn.Unresponsive)
			h := start(t, nil, fakediscovery.Ready("s-1", e.Address))
			const remaining = 400 * time.Millisecond
			sent := h.engine.Now()
			got := h.send(h.newRequest(class, "x", remaining))
			if got.code != code {
				t.Errorf("response %d (%v), want %d", got.code, got.err, code)
			}
			h.waitFor("the outcome", func() bool { return len(h.spy.statuses()) > 0 })
			if all := h.spy.statuses(); !slices.Equal(all, []balancer.Status{balancer.Timeout}) {
				t.Errorf("outcomes %v, want one timeout", all)
			}
			h.waitFor("the timer", func() bool {
				h.spy.mu.Lock()
				defer h.spy.mu.Unlock()
				return slices.Contains(h.spy.events, "timer")
			})
			h.inEngine(func() {
				if n, _ := h.engine.Counts(); n != 0 {
					t.Error("the request is still in flight")
				}
			})
			var given int64
			given, _ = strconv.ParseInt(e.Request(0).Header.Get("X-Time-Left-Ms"), 10, 64)
			if maxTime := remaining - requestmeta.ResponseMargin; given <= 0 || given > maxTime.Milliseconds() {
				t.Errorf("the endpoint was given %d ms of %v, want at most %v", given, remaining, maxTime)
			}
			if took := time.Duration(h.engine.Now()-sent) * time.Microsecond; took < remaining/2 {
				t.Errorf("the request was answered after %v of %v", took, remaining)
			}
		})
	}
}

// A request that no endpoint accepts is answered at once, with a Retry-After.
func TestFullEndpointIsAnsweredWithRetryAfter(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Full))
	h := start(t, nil, fakediscovery.Ready("s-1", e.Address))
	began := time.Now()
	got := h.send(h.newRequest("read", "", time.Minute))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.code != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1.5 {
		t.Errorf("response %d, Retry-After %q", got.code, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the response took %v of a minute", took)
	}
}

// A client that disconnects ends its request: the attempt is cancelled by closing its connection, and the
// balancer still receives its outcome, settled.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	closed := make(chan struct{})
	e := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		_, _ = in.ReadByte() // until the sidecar closes the connection
		close(closed)
	})
	h := start(t, nil, fakediscovery.Ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go h.send(h.newRequest("pay", "x", time.Minute).WithContext(ctx))
	h.waitFor("the attempt", func() bool { return e.RequestCount() == 1 })
	cancel()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the attempt's connection stays open")
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

// A client that has closed its sending side counts as disconnected and must not receive a complete
// response that no endpoint made.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Unresponsive)
	h := start(t, nil, fakediscovery.Ready("s-1", e.Address))
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := h.newRequest("pay", "x", time.Minute).Write(conn); err != nil {
		t.Fatal(err)
	}
	h.waitFor("the attempt", func() bool { return e.RequestCount() == 1 })
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); len(got) > 0 {
		t.Errorf("the client read %q (%v)", got, err)
	}
}

// A response that arrives after its request has ended is reported to the balancer as settled and is not
// delivered.
func TestLateOutcomeIsReportedAsSettled(t *testing.T) {
	answer := make(chan struct{})
	e := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		<-answer
		_, _ = io.WriteString(conn, scriptedconn.Served)
	})
	// Where the settings forbid to cancel, the attempt continues after its request has ended.
	h := start(t, func(s map[string]any) {
		s["limits"].(map[string]any)["cancel"] = false
	}, fakediscovery.Ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go h.send(h.newRequest("pay", "x", time.Minute).WithContext(ctx))
	h.waitFor("the attempt", func() bool { return e.RequestCount() == 1 })
	cancel()
	h.waitFor("the disconnect", func() bool { return h.spy.hasEvent(clientDisconnected) })
	close(answer)
	h.waitFor("the outcome", func() bool { return len(h.spy.statuses()) == 1 })
	h.spy.mu.Lock()
	defer h.spy.mu.Unlock()
	if o := h.spy.outcomes[0]; o.Status != balancer.OK || !o.Settled {
		t.Errorf("outcome %+v, want served and settled", o)
	}
}

// An invalid request is rejected with the header and the reason, and reaches no endpoint.
func TestInvalidRequestIsRejectedWithReason(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h := start(t, func(s map[string]any) {
		s["tenants"] = []any{map[string]any{"name": "acme", "share": 1, "allowance-per-s": 10}}
	}, fakediscovery.Ready("s-1", e.Address))
	for _, c := range []struct {
		name  string
		alter func(*http.Request)
		code  int
		says  string
	}{
		{"no id", func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, 400, "X-Correlation-Id"},
		{"no class", func(r *http.Request) { r.Header.Del("X-Service-Class") }, 400, "X-Service-Class"},
		{"unknown class", func(r *http.Request) { r.Header.Set("X-Service-Class", "gift") }, 400, "gift"},
		{"no time left", func(r *http.Request) { r.Header.Del("X-Time-Left-Ms") }, 400, "X-Time-Left-Ms"},
		{"bad time left", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "1e3") }, 400, "1e3"},
		{"negative time left", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "-5") }, 400, "-5"},
		{"time left beyond all numbers", func(r *http.Request) {
			r.Header.Set("X-Time-Left-Ms", "99999999999999999999")
		}, 400, "X-Time-Left-Ms"},
		{"no key", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400, "Idempotency-Key"},
		{"wrong method", func(r *http.Request) { r.Method = http.MethodPut }, 405, "POST"},
		{"GET for a class that posts", func(r *http.Request) { r.Method = http.MethodGet }, 405, "POST"},
		{"two classes", func(r *http.Request) { r.Header.Add("X-Service-Class", "read") }, 400, "X-Service-Class"},
		{"two ids", func(r *http.Request) { r.Header.Add("X-Correlation-Id", "9b1f03aa5c7e2d41") }, 400, "X-Correlation-Id"},
		{"two keys", func(r *http.Request) { r.Header.Add("Idempotency-Key", "k") }, 400, "Idempotency-Key"},
		{"an endless id", func(r *http.Request) {
			r.Header.Set("X-Correlation-Id", strings.Repeat("x", 257))
		}, 400, "X-Correlation-Id"},
		{"path of another class", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/read/x", "" }, 400, "path"},
		{"path of no class", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/", "" }, 400, "path"},
		{"time left with a sign", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "+5") }, 400, "+5"},
		{"bad repeat mark", func(r *http.Request) { r.Header.Set("X-Repeat", "often") }, 400, "often"},
		{"negative hint", func(r *http.Request) { r.Header.Set("X-Weight-Hint", "-1") }, 400, "-1"},
		{"bad hint", func(r *http.Request) { r.Header.Set("X-Weight-Hint", "heavy") }, 400, "heavy"},
		{"unknown tenant", func(r *http.Request) { r.Header.Set("X-Account", "nobody") }, 400, "nobody"},
		{"body too large", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", httpmsg.MaxBodyBytes+1)))
			r.ContentLength = httpmsg.MaxBodyBytes + 1
		}, 413, "65536"},
		{"body too large, of unknown length", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", httpmsg.MaxBodyBytes+1)))
			r.ContentLength = -1
		}, 413, "65536"},
	} {
		r := h.newRequest("pay", "x", 3*time.Second)
		r.Header.Set("X-Account", "acme")
		c.alter(r)
		if got := h.send(r); got.code != c.code || !strings.Contains(got.body, c.says) {
			t.Errorf("%s: got %+v (%v), want %d with %q", c.name, got, got.err, c.code, c.says)
		}
	}
	// Late requests of other tests may arrive on this port: only those with the header count.
	n := e.RequestCount()
	for i := range n {
		if r := e.Request(i); r.Header.Get("X-Account") != "" {
			t.Errorf("an invalid request reached the endpoint: %s %s %v", r.Method, r.URL, r.Header)
		}
	}
	r := h.newRequest("pay", strings.Repeat("x", httpmsg.MaxBodyBytes), 3*time.Second)
	r.Header.Set("X-Account", "acme")
	r.Header.Set("X-Weight-Hint", "90000")
	r.Header.Set("X-Session-Key", "7f3a9c21e0b4d655")
	if got := h.send(r); got.code != http.StatusOK {
		t.Errorf("a valid request with the largest body: %+v", got)
	}
}

// An endpoint that starts to drain while a connection to it is being dialled gets nothing, and the request
// is sent to another one.
func TestEndpointDrainingDuringDialGetsNothing(t *testing.T) {
	first, second := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served)), scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	dialling, proceed := make(chan struct{}), make(chan struct{})
	h := &harness{t: t, dir: fakediscovery.New(t, fakediscovery.Ready("s-1", first.Address))}
	h.dialControl = func(_, address string, _ syscall.RawConn) error {
		if address == first.Address {
			close(dialling)
			<-proceed
		}
		return nil
	}
	h.startReady(nil, fakediscovery.Ready("s-1", first.Address))
	answer := make(chan reply)
	go func() { answer <- h.send(h.newRequest("order", "x", time.Minute)) }()
	<-dialling
	draining := fakediscovery.Ready("s-1", first.Address)
	draining.Health = "Terminating"
	h.dir.Change(func() {
		hosts := []fakediscovery.Host{draining, fakediscovery.Ready("s-2", second.Address)}
		h.dir.List = fakediscovery.Document{Seq: 1, Complete: true, Hosts: hosts}
	})
	h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) == 1 })
	close(proceed)
	if got := <-answer; got.code != http.StatusOK {
		t.Errorf("response %+v", got)
	}
	if n := first.RequestCount(); n != 0 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
	if all := h.spy.statuses(); !slices.Equal(all, []balancer.Status{balancer.NotSent, balancer.OK}) {
		t.Errorf("outcomes %v, want not sent and OK", all)
	}
}

// After SIGTERM, accepted requests are answered, idle connections are closed, new connections are still
// accepted for a while, and the sidecar ends without an error.
func TestSIGTERMAnswersOpenRequests(t *testing.T) {
	answer := make(chan struct{})
	e := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.Next(in); r != nil; r = e.Next(in) {
			if strings.HasPrefix(r.RequestURI, "/pay") {
				<-answer
			}
			_, _ = io.WriteString(conn, scriptedconn.Served)
		}
	})
	h := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = 3 * time.Second // a busy machine may be slow to connect
		o.EndBy = func(time.Duration) time.Duration { return testTimeout }
	}, fakediscovery.Ready("s-1", e.Address))
	idle, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	if err := h.newRequest("read", "", time.Minute).Write(idle); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(idle)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		response.Body.Close()
		t.Fatal(err)
	}

	inFlight := make(chan reply)
	go func() { inFlight <- h.send(h.newRequest("pay", "x", time.Minute)) }()
	h.waitFor("the request in flight", func() bool { return e.RequestCount() == 2 })
	h.stop()
	if err := idle.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	// New connections are still served, one request each.
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := h.newRequest("read", "", time.Minute).Write(conn); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	late, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || late.StatusCode != 200 || !late.Close {
		t.Errorf("a request after SIGTERM: %v, %v; want 200 and Connection: close", late, err)
	}
	if err == nil {
		defer late.Body.Close()
	}
	h.waitFor("the end of accepting connections", func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	close(answer)
	if got := <-inFlight; got.code != http.StatusOK || got.body != "done" {
		t.Errorf("the request in flight: %+v", got)
	}
	h.waitForEnd()
}
