package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pinedale/internal/front/httpfront"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
)

// exchangeRaw sends bytes on a new connection and returns what is received until the connection ends.
func (h *harness) exchangeRaw(text string) string {
	h.t.Helper()
	conn := h.dial()
	_, _ = io.WriteString(conn, text) // a rejected header may end the connection before the body is written
	got, err := io.ReadAll(conn)
	if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
		h.t.Errorf("the connection stays open after %q", got)
	}
	return string(got)
}

// Request headers without a correlation id and without the empty line at the end.
const (
	payHeaders = "POST /pay HTTP/1.1\r\nHost: api\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 3000\r\n" +
		"Idempotency-Key: k\r\n"
	readHeaders = "GET /read HTTP/1.1\r\nHost: api\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 3000\r\n"
)

// Request smuggling: a request whose length is stated in two ways can hide another one in its body. Such a
// request is rejected, and no bytes after it are read as a request. net/http does not show its handlers the
// second length.
func TestRequestWithTwoLengthsIsRejected(t *testing.T) {
	h, endpoint := startServing(t)
	hidden := readHeaders + "X-Correlation-Id: 2\r\n\r\n"
	body := "0\r\n\r\n" + hidden
	for name, head := range map[string]string{
		"length first": fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body)),
		"coding first": fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(body)),
		"lower case":   fmt.Sprintf("transfer-encoding:chunked\ncontent-length:%d\n", len(body)),
	} {
		got := h.exchangeRaw(payHeaders + "X-Correlation-Id: 1\r\n" + head + "\r\n" + body)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 400") ||
			!strings.Contains(got, "Transfer-Encoding") {
			t.Errorf("%s: got %q, want one response with status 400", name, got)
		}
	}
	// A smuggling request after a valid one: net/http skips empty lines between requests.
	conn := h.dial()
	in := bufio.NewReader(conn)
	h.mustWrite(conn, payHeaders+"X-Correlation-Id: 3\r\nContent-Length: 2\r\n\r\nok")
	response, err := http.ReadResponse(in, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("a valid request: %v, %v", response, err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	_, _ = fmt.Fprintf(conn, "\r\n%sX-Correlation-Id: 4\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		payHeaders, len(body), body)
	rest, _ := io.ReadAll(in)
	if strings.Count(string(rest), "HTTP/1.1") != 1 || !strings.HasPrefix(string(rest), "HTTP/1.1 400") {
		t.Errorf("after an empty line: got %q, want one response with status 400", rest)
	}
	if n := endpoint.RequestCount(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want only the valid one", n)
	}
}

// A chunked body is valid HTTP/1.1 and is served. The connection is closed after it, as after a request that
// is followed by more bytes.
func TestChunkedAndPipelinedRequestsCloseTheConnection(t *testing.T) {
	h, endpoint := startServing(t)
	for name, text := range map[string]string{
		"chunked": payHeaders + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"pipelined": payHeaders + "X-Correlation-Id: 2\r\nContent-Length: 4\r\n\r\nbody" +
			readHeaders + "X-Correlation-Id: 3\r\n\r\n",
	} {
		got := h.exchangeRaw(text)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Errorf("%s: got %q, want one response with status 200", name, got)
		}
	}
	if n := endpoint.RequestCount(); n != 2 {
		t.Errorf("%d requests reached the endpoint, want 2", n)
	}
	for i := range 2 {
		if body, _ := io.ReadAll(endpoint.Request(i).Body); string(body) != "body" {
			t.Errorf("the endpoint received the body %q, want \"body\"", body)
		}
	}
}

// Bytes that are not a valid request are rejected before a body is read, or their connection is closed.
func TestInvalidHTTPIsRejected(t *testing.T) {
	h, endpoint := startServing(t)
	for name, test := range map[string]struct{ text, want string }{
		"a length beyond the limit": {
			payHeaders + "X-Correlation-Id: 1\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 413"},
		"a negative length": {payHeaders + "X-Correlation-Id: 1\r\nContent-Length: -3\r\n\r\nabc", "HTTP/1.1 400"},
		"two lengths": {
			payHeaders + "X-Correlation-Id: 1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "HTTP/1.1 400"},
		"a broken chunk": {
			payHeaders + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc", "HTTP/1.1 400"},
		"a GET with a body": {readHeaders + "X-Correlation-Id: 1\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 400"},
		"noise":             {"\x16\x03\x01\x02\r\n\r\n", "HTTP/1.1 400"},
		"an endless header": {payHeaders + "X-Pad: " + strings.Repeat("p", 100<<10), "HTTP/1.1 431"},
		"many short fields": {payHeaders + strings.Repeat("abc:\r\n", 5_000), "HTTP/1.1 431"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := h.exchangeRaw(test.text)
			if !strings.HasPrefix(got, test.want) && got != "" { // a connection reset may discard the response
				t.Errorf("got %q, want %s", got, test.want)
			}
		})
	}
	t.Cleanup(func() {
		if n := endpoint.RequestCount(); n != 0 {
			t.Errorf("%d invalid requests reached the endpoint", n)
		}
	})
}

// A connection on which no request, only part of one or no further one arrives is closed in time. The
// platform allows 3 s; the limits stay under 2.9 s.
func TestIdleClientConnectionsAreClosed(t *testing.T) {
	for _, limit := range []time.Duration{httpfront.ReadTimeout, httpfront.IdleTimeout} {
		if limit < 2*time.Second || limit > 2900*time.Millisecond {
			t.Errorf("the limit %v is not between 2s and 2.9s", limit)
		}
	}
	h, _ := startServing(t)
	for name, test := range map[string]struct{ text, want string }{
		"nothing":          {"", ""},
		"half a header":    {payHeaders, "HTTP/1.1 408"},
		"half a body":      {payHeaders + "X-Correlation-Id: 1\r\nContent-Length: 9\r\n\r\nabc", "HTTP/1.1 400"},
		"one request only": {readHeaders + "X-Correlation-Id: 2\r\n\r\n", "HTTP/1.1 200"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := h.exchangeRaw(test.text); !strings.HasPrefix(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// The read deadline must be cleared once a request has been read: net/http would treat its expiry as a
// disconnected client and cancel the request's context.
func TestResponseAfterReadTimeoutIsDelivered(t *testing.T) {
	t.Parallel()
	h, _ := startWithEndpoint(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			time.Sleep(httpfront.ReadTimeout + 300*time.Millisecond)
			_, _ = io.WriteString(conn, scriptedconn.Served)
		}
	})
	for class, body := range map[string]string{"read": "", "pay": "x"} {
		if got := h.send(h.newRequest(class, body, time.Minute)); got.code != http.StatusOK {
			t.Errorf("class %s: got %+v, want status 200", class, got)
		}
	}
}

// A second request with the correlation id of one in flight is a conflict; the id can be used again afterwards.
func TestDuplicateIDIsRejectedWhileInFlight(t *testing.T) {
	answer := make(chan struct{})
	h, endpoint := startWithEndpoint(t, scriptedconn.ServedAfter(answer, nil))
	same := h.newRequest("pay", "", time.Minute)
	first := h.sendAsync(same.Clone(context.Background()))
	h.waitFor("the first request to arrive", func() bool { return endpoint.RequestCount() == 1 })
	if got := h.send(same.Clone(context.Background())); got.code != http.StatusConflict {
		t.Errorf("the second request: got %+v, want status 409", got)
	}
	close(answer)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the first request: got %+v, want status 200", got)
	}
	if got := h.send(same); got.code != http.StatusOK {
		t.Errorf("a request with the same id after the first was answered: got %+v, want status 200", got)
	}
}

// Idle connections must neither block new ones nor use up the sockets that attempts need: beyond the limit,
// the connection that has been idle longest is closed. A connection with a request in flight is not closed.
func TestLongestIdleConnectionIsClosedAtLimit(t *testing.T) {
	answer := make(chan struct{})
	h, endpoint := startWithEndpoint(t, scriptedconn.ServedAfter(answer, isPay))
	first := h.sendAsync(h.newRequest("pay", "x", time.Minute))
	h.waitFor("the first request to arrive", func() bool { return endpoint.RequestCount() == 1 })
	h.waitFor("other connections to end", func() bool { return h.server.Connections() == 1 })
	oldest := h.dial()
	h.waitFor("the oldest", func() bool { return h.server.Connections() == 2 })
	for range h.maxConnections - 2 {
		h.dial()
	}
	h.waitFor("the limit to be reached", func() bool { return h.server.Connections() == h.maxConnections })
	if got := h.send(h.newRequest("read", "", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("a request beyond the connection limit: got %+v, want status 200", got)
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the longest idle connection still receives data")
	} else if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
		t.Error("the longest idle connection stays open")
	}
	if n := h.server.Connections(); n > h.maxConnections {
		t.Errorf("%d connections, limit %d", n, h.maxConnections)
	}
	close(answer)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want status 200", got)
	}
}

// Clients that send one request and keep the connection open must not use up all connections: above a
// threshold, each response closes its connection.
func TestResponsesCloseConnectionsAboveThreshold(t *testing.T) {
	const threshold = 3 // few enough for all requests to arrive before a connection is closed as idle
	endpoint := newServingEndpoint(t)
	h := startWith(t, nil, func(o *httpfront.Options) {
		o.KeepAliveThreshold = threshold
	}, fakediscovery.Ready("s-1", endpoint.Address))
	h.waitFor("other connections to end", func() bool { return h.server.Connections() == 0 })
	for i := range threshold + 3 {
		conn := h.dial()
		h.mustWrite(conn, h.requestText("read", ""))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", i, response, err)
		}
		response.Body.Close()
		if want := i >= threshold; response.Close != want {
			t.Fatalf("request %d: Connection: close %v, want %v", i, response.Close, want)
		}
		if response.Close {
			h.waitFor("the end of the connection", func() bool { return h.server.Connections() == threshold })
		}
	}
}

// A client that waits for permission to send its body gets it, and one that sends more than it may behind a request in
// flight gets its status and a close.
func TestContinueAndReadAheadLimit(t *testing.T) {
	h, _ := startServing(t)
	conn := h.dial()
	in := bufio.NewReader(conn)
	h.mustWrite(conn, payHeaders+"X-Correlation-Id: 1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("before the body: %q, %v; want status 100", line, err)
	}
	if _, err := in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	h.mustWrite(conn, "body")
	response, err := http.ReadResponse(in, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("after the body: %v, %v; want status 200", response, err)
	}
	response.Body.Close()

	unresponsive, endpoint := startWithEndpoint(t, scriptedconn.Unresponsive)
	busy := unresponsive.dial()
	unresponsive.mustWrite(busy, unresponsive.requestText("pay", "x"))
	unresponsive.waitFor("the attempt", func() bool { return endpoint.RequestCount() == 1 })
	_, _ = io.WriteString(busy, strings.Repeat("x", 20<<10)) // the connection may end while it is written
	got, _ := io.ReadAll(busy)
	if !strings.HasPrefix(string(got), "HTTP/1.1 400") || !strings.Contains(string(got), "Connection: close") {
		t.Errorf("beyond the limit: %q, want status 400 and a close", got)
	}
}
