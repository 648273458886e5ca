package httpupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/wait"
)

// The response decides the outcome of a request on a new connection.
func TestOutcomeOnNewConnectionFollowsResponse(t *testing.T) {
	respondAndClose := func(response string) func(*scriptedconn.Endpoint, net.Conn, *bufio.Reader) {
		return func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
			e.Next(in)
			_, _ = io.WriteString(conn, response)
		}
	}
	for _, c := range []struct {
		name  string
		serve func(*scriptedconn.Endpoint, net.Conn, *bufio.Reader)
		want  balancer.Status
	}{
		{"served", scriptedconn.Always(scriptedconn.Served), balancer.OK},
		{"served after an interim response",
			scriptedconn.Always("HTTP/1.1 103 Early Hints\r\n\r\n" + scriptedconn.Served), balancer.OK},
		{"served in chunks",
			scriptedconn.Always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.OK},
		{"served twice at once", scriptedconn.Always(scriptedconn.Served + scriptedconn.Served), balancer.OK},
		{"complete only at the connection's end", respondAndClose("HTTP/1.1 200 OK\r\n\r\ndone"), balancer.Reset},
		{"length stated in two ways",
			scriptedconn.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"the same length twice",
			scriptedconn.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"two lengths",
			scriptedconn.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\ndone"), balancer.Reset},
		{"length stated in two ways after interim responses",
			scriptedconn.Always("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
				"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"endless interim responses",
			scriptedconn.Always(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)), balancer.Reset},
		{"a length beyond the limit",
			scriptedconn.Always("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ndone"), balancer.Reset},
		{"stalled in its body", scriptedconn.Always("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"stalled in its head", scriptedconn.Always("HTTP/1.1 200 OK\r\nContent-"), balancer.Reset},
		{"a broken chunk",
			scriptedconn.Always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\nzz\r\n"), balancer.Reset},
		{"a broken status line", scriptedconn.Always("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"another protocol", scriptedconn.Always("ICY 200 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"error", scriptedconn.Always(scriptedconn.Failing), balancer.Error},
		{"an unexpected status",
			scriptedconn.Always("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), balancer.Error},
		{"rejected unprocessed", scriptedconn.Always(scriptedconn.Full), balancer.Full},
		{"rejected unprocessed after its deadline",
			scriptedconn.Always("HTTP/1.1 504 Gateway Timeout\r\nX-Unprocessed: 1\r\n" +
				"Content-Length: 0\r\n\r\n"), balancer.Full},
		{"503 without X-Unprocessed",
			scriptedconn.Always("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), balancer.Error},
		{"500 with X-Unprocessed",
			scriptedconn.Always("HTTP/1.1 500 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Error},
		{"closed after the request", respondAndClose(""), balancer.Reset},
		{"truncated in its body",
			respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"truncated in a chunk",
			respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), balancer.Reset},
		{"truncated in its head", respondAndClose("HTTP/1.1 200 OK\r\nContent-"), balancer.Reset},
		{"503 truncated in its body",
			respondAndClose("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\n"), balancer.Reset},
		{"malformed", scriptedconn.Always("nonsense\r\n\r\n"), balancer.Reset},
		{"malformed length", scriptedconn.Always("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"), balancer.Reset},
		{"body too large",
			scriptedconn.Always("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" +
				strings.Repeat("x", 65537)), balancer.Reset},
		{"endless head", scriptedconn.Always("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10)), balancer.Reset},
		{"unresponsive", scriptedconn.Unresponsive, balancer.Timeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, timeout := scriptedconn.New(t, c.serve), wait.Timeout
			if c.want == balancer.Timeout {
				timeout = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			u := newTestUpstream(4)
			r := u.attempt(ctx, &engine.Target{Address: e.Address}, get("/"))
			if r.Status != c.want {
				t.Errorf("status %v, want %v", r.Status, c.want)
			}
			if r.Status == balancer.OK && string(r.Body) != "done" {
				t.Errorf("body %q, want %q", r.Body, "done")
			}
		})
	}
}

func TestFailedDialProvesNotRun(t *testing.T) {
	u := newTestUpstream(1)
	for range 2 { // the second attempt checks that a failed dial frees its slot
		r := u.attempt(context.Background(), &engine.Target{Address: closedAddress(t)}, get("/"))
		if r.Status != balancer.ConnectFailed {
			t.Errorf("status %v, want ConnectFailed", r.Status)
		}
	}
}

// An unreachable machine does not answer: the connection is never established.
func TestDialTimeoutProvesNotRun(t *testing.T) {
	u := newTestUpstream(1)
	u.dialer.Timeout = 20 * time.Millisecond
	u.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done()
		return ctx.Err()
	}
	r := u.attempt(context.Background(), &engine.Target{Address: closedAddress(t)}, get("/"))
	if r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// A connection that breaks before the last byte is written proves that the request never ran. Small
// buffers on both sides leave part of the request unwritten.
func TestBreakBeforeLastByteProvesNotRun(t *testing.T) {
	setSmallBuffer := func(option int) func(string, string, syscall.RawConn) error {
		return func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			controlErr := raw.Control(func(fd uintptr) {
				setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 2048)
			})
			return errors.Join(controlErr, setErr)
		}
	}
	config := net.ListenConfig{Control: setSmallBuffer(syscall.SO_RCVBUF)}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 64))
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}()
	u := newTestUpstream(1)
	u.dialer.Control = setSmallBuffer(syscall.SO_SNDBUF)
	message := get("/")
	message.Method, message.Body = http.MethodPost, make([]byte, httpmsg.MaxBodyBytes)
	target := &engine.Target{Address: listener.Addr().String()}
	if r := u.attempt(context.Background(), target, message); r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// The endpoint receives the client's request, with the attempt's remaining time in its header.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	requestURL, err := url.Parse("/pay/x%2Fy?q=1&r=%20")
	if err != nil {
		t.Fatal(err)
	}
	message := &engine.Message{
		Method: http.MethodPost,
		URL:    requestURL,
		Host:   "api.internal",
		Body:   []byte("body"),
		Header: http.Header{
			"X-Correlation-Id": {"9b"},
			"Idempotency-Key":  {"5c"},
			"X-Time-Left-Ms":   {"99999"},
			"Connection":       {"close"},
			"Expect":           {"100-continue"},
			"Content-Length":   {"7"},
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait.Timeout)
	defer cancel()
	if r := newTestUpstream(1).attempt(ctx, &engine.Target{Address: e.Address}, message); r.Status != balancer.OK {
		t.Fatalf("status %v, want OK", r.Status)
	}
	got := e.Request(0)
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/pay/x%2Fy?q=1&r=%20" || got.Host != "api.internal" ||
		string(body) != "body" || got.Header.Get("X-Correlation-Id") != "9b" ||
		got.Header.Get("Idempotency-Key") != "5c" {
		t.Errorf("the endpoint got %s %s, host %s, %v, body %q", got.Method, got.RequestURI, got.Host, got.Header, body)
	}
	if got.Close || got.Header.Get("Expect") != "" {
		t.Errorf("hop-by-hop headers were forwarded: %v", got.Header)
	}
	var remaining int64
	if _, err := fmt.Sscan(got.Header.Get("X-Time-Left-Ms"), &remaining); err != nil {
		t.Error(err)
	}
	if remaining <= 0 || remaining > wait.Timeout.Milliseconds() {
		t.Errorf("X-Time-Left-Ms is %q, want 1 to %d", got.Header.Get("X-Time-Left-Ms"), wait.Timeout.Milliseconds())
	}
}

// A cancelled request's connection is reset: the kernel then drops undelivered bytes. After an
// orderly close it would deliver them once a network partition has healed.
func TestCancelledAttemptResetsItsConnection(t *testing.T) {
	ended := make(chan error, 1)
	e := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		_, err := in.ReadByte()
		ended <- err
	})
	u := newTestUpstream(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan engine.Result)
	go func() { done <- u.attempt(ctx, &engine.Target{Address: e.Address}, get("/")) }()
	wait.Until(t, "the request", func() bool { return e.RequestCount() == 1 })
	cancel()
	if r := <-done; r.Status != balancer.Cancelled {
		t.Errorf("status %v, want Cancelled", r.Status)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the endpoint read %v, want a reset", err)
	}
}
