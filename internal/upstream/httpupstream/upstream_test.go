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
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
	"pinedale/internal/standin/peer"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/attempt"
)

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

func newTestUpstream(most int) *Upstream {
	return New(Options{DialTimeout: 2 * time.Second, Settle: 1, Idle: 5 * time.Second, Connections: most,
		Fields: []string{"failed_ps", "pending"}})
}

func get(path string) *engine.Message {
	return &engine.Message{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: "api", Header: http.Header{
		"X-Correlation-Id": {"1"}, "Idempotency-Key": {"k"}}}
}

// closedAddress is one that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Each row of the table of outcomes, on a new connection.
func TestOutcomes(t *testing.T) {
	hangUp := func(answer string) func(*peer.Endpoint, net.Conn, *bufio.Reader) {
		return func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
			e.Next(in)
			_, _ = io.WriteString(conn, answer)
		}
	}
	for _, c := range []struct {
		name  string
		serve func(*peer.Endpoint, net.Conn, *bufio.Reader)
		want  balancer.Status
	}{
		{"served", peer.Always(peer.Served), balancer.OK},
		{"served after an interim answer", peer.Always("HTTP/1.1 103 Early Hints\r\n\r\n" + peer.Served), balancer.OK},
		{"served in chunks", peer.Always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.OK},
		{"served with a copy behind", peer.Always(peer.Served + peer.Served), balancer.OK},
		{"whole only by the connection's end", hangUp("HTTP/1.1 200 OK\r\n\r\ndone"), balancer.Reset},
		{"whole in two ways", peer.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"the same length twice", peer.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"two lengths", peer.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\ndone"), balancer.Reset},
		{"in two ways after interim answers", peer.Always("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"interim answers without end", peer.Always(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)), balancer.Reset},
		{"a length without end", peer.Always("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ndone"), balancer.Reset},
		{"stalled in its body", peer.Always("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"stalled in its head", peer.Always("HTTP/1.1 200 OK\r\nContent-"), balancer.Reset},
		{"a broken chunk", peer.Always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\nzz\r\n"), balancer.Reset},
		{"a broken status line", peer.Always("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"another protocol", peer.Always("ICY 200 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"error", peer.Always(peer.Failing), balancer.Error},
		{"an answer nobody expects", peer.Always("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), balancer.Error},
		{"full", peer.Always(peer.Full), balancer.Full},
		{"over already", peer.Always("HTTP/1.1 504 Gateway Timeout\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Full},
		{"503 without proof", peer.Always("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), balancer.Error},
		{"500 with a proof that it must not claim", peer.Always("HTTP/1.1 500 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Error},
		{"closed after the request", hangUp(""), balancer.Reset},
		{"cut in its body", hangUp("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"cut in a chunk", hangUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), balancer.Reset},
		{"cut in its head", hangUp("HTTP/1.1 200 OK\r\nContent-"), balancer.Reset},
		{"503 cut before it is whole", hangUp("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\n"), balancer.Reset},
		{"malformed", peer.Always("nonsense\r\n\r\n"), balancer.Reset},
		{"malformed length", peer.Always("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"), balancer.Reset},
		{"body too large", peer.Always("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), balancer.Reset},
		{"head without end", peer.Always("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10)), balancer.Reset},
		{"silent", peer.Silent, balancer.Timeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, wait := peer.New(t, c.serve), patience
			if c.want == balancer.Timeout {
				wait = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			u := newTestUpstream(4)
			r := u.attempt(ctx, &engine.Target{Address: e.Address}, get("/"))
			if r.Status != c.want {
				t.Errorf("status %v, want %v", r.Status, c.want)
			}
			if r.Status == balancer.OK && string(r.Body) != "done" {
				t.Errorf("body %q", r.Body)
			}
		})
	}
}

func TestConnectionRefusedNeverRan(t *testing.T) {
	u := newTestUpstream(1)
	for range 2 { // a failed connection gives its place back
		r := u.attempt(context.Background(), &engine.Target{Address: closedAddress(t)}, get("/"))
		if r.Status != balancer.ConnectFailed {
			t.Errorf("status %v, want ConnectFailed", r.Status)
		}
	}
}

// A machine that vanished says nothing: the connection never comes up.
func TestConnectionThatNeverComesUp(t *testing.T) {
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

// A connection that breaks before the last byte is written proves that the
// request never ran. Small buffers on both sides leave part of it unwritten.
func TestBreakBeforeTheLastByteNeverRan(t *testing.T) {
	small := func(option int) func(string, string, syscall.RawConn) error {
		return func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 2048) })
			return errors.Join(err, set)
		}
	}
	config := net.ListenConfig{Control: small(syscall.SO_RCVBUF)}
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
	u.dialer.Control = small(syscall.SO_SNDBUF)
	m := get("/")
	m.Method, m.Body = http.MethodPost, make([]byte, httpmsg.BodyMost)
	if r := u.attempt(context.Background(), &engine.Target{Address: listener.Addr().String()}, m); r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// What goes to an endpoint is the client's request, with the time that is left.
func TestRequestGoesOnUnchanged(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	at, _ := url.Parse("/pay/x%2Fy?q=1&r=%20")
	m := &engine.Message{Method: http.MethodPost, URL: at, Host: "api.internal", Body: []byte("body"),
		Header: http.Header{"X-Correlation-Id": {"9b"}, "Idempotency-Key": {"5c"}, "X-Time-Left-Ms": {"99999"},
			"Connection": {"close"}, "Expect": {"100-continue"}, "Content-Length": {"7"}}}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if r := newTestUpstream(1).attempt(ctx, &engine.Target{Address: e.Address}, m); r.Status != balancer.OK {
		t.Fatalf("status %v", r.Status)
	}
	got := e.Request(0)
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/pay/x%2Fy?q=1&r=%20" || got.Host != "api.internal" ||
		string(body) != "body" || got.Header.Get("X-Correlation-Id") != "9b" || got.Header.Get("Idempotency-Key") != "5c" {
		t.Errorf("the endpoint got %s %s, host %s, %v, body %q", got.Method, got.RequestURI, got.Host, got.Header, body)
	}
	if got.Close || got.Header.Get("Expect") != "" {
		t.Errorf("headers of the client's connection went on: %v", got.Header)
	}
	var left int64
	if _, err := fmt.Sscan(got.Header.Get("X-Time-Left-Ms"), &left); err != nil {
		t.Error(err)
	}
	if left <= 0 || left > patience.Milliseconds() {
		t.Errorf("X-Time-Left-Ms %q", got.Header.Get("X-Time-Left-Ms"))
	}
}

// A connection is used again, and one that broke while a request was out is no
// reason to send that request again: http.Transport would, for a GET or with an
// Idempotency-Key, on a connection that had been idle.
func TestNoHiddenResend(t *testing.T) {
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		if e.Next(in) != nil {
			_, _ = io.WriteString(conn, peer.Served)
			e.Next(in) // and end without an answer
		}
	})
	u, at := newTestUpstream(4), &engine.Target{Address: e.Address}
	if r := u.attempt(context.Background(), at, get("/1")); r.Status != balancer.OK {
		t.Fatalf("first: status %v", r.Status)
	}
	if r := u.attempt(context.Background(), at, get("/2")); r.Status != balancer.Reset {
		t.Errorf("second: status %v, want Reset", r.Status)
	}
	if requests, conns := e.Seen(); requests != 2 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", requests, conns)
	}
}

// An idle connection that its endpoint has closed must not be written to: the
// request would end as a reset that may have run.
func TestStaleIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		_, _ = io.WriteString(conn, peer.Served)
		conn.Close()
		closed <- struct{}{}
	})
	u, at := newTestUpstream(1), &engine.Target{Address: e.Address}
	for i := range 2 {
		if r := u.attempt(context.Background(), at, get("/")); r.Status != balancer.OK {
			t.Fatalf("attempt %d: status %v, want OK", i, r.Status)
		}
		<-closed
		wait.Until(t, "the end of the connection to arrive", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.idle[at]) == 0 || !u.idle[at][0].alive()
		})
	}
}

// Idle connections are retired before the endpoint's own limit, both when one is
// asked for and by the regular sweep.
func TestIdleConnectionsAreRetiredEarly(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	u, at := newTestUpstream(4), &engine.Target{Address: e.Address}
	if limit := 5 * time.Second; u.idleMost > limit*4/5 {
		t.Errorf("idle connections are used for %v of %v", u.idleMost, limit)
	}
	attempt := func() {
		t.Helper()
		if r := u.attempt(context.Background(), at, get("/")); r.Status != balancer.OK {
			t.Fatalf("status %v", r.Status)
		}
	}
	attempt()
	u.idle[at][0].idleAt = time.Now().Add(-u.idleMost)
	attempt()
	if _, conns := e.Seen(); conns != 2 {
		t.Errorf("%d connections, want a second one after the idle time", conns)
	}
	u.Prune()
	if u.open != 1 {
		t.Errorf("the sweep left %d connections open, want the one in use lately", u.open)
	}
	u.idle[at][0].idleAt = time.Now().Add(-u.idleMost)
	u.Prune()
	if u.open != 0 || len(u.idle[at]) != 0 {
		t.Errorf("the sweep left %d open connections", u.open)
	}
	attempt()
	if u.Retire(at); u.open != 0 {
		t.Errorf("an endpoint that is gone keeps %d connections", u.open)
	}
}

// The descriptors are bounded: an idle connection makes room, a busy one does not.
func TestConnectionsAreBounded(t *testing.T) {
	quick, slow := peer.New(t, peer.Always(peer.Served)), peer.New(t, peer.Silent)
	u := newTestUpstream(1)
	if r := u.attempt(context.Background(), &engine.Target{Address: quick.Address}, get("/")); r.Status != balancer.OK {
		t.Fatalf("status %v", r.Status)
	}
	ctx, cancel := context.WithCancel(context.Background())
	busy := make(chan engine.Result)
	go func() { busy <- u.attempt(ctx, &engine.Target{Address: slow.Address}, get("/")) }()
	wait.Until(t, "the slow endpoint's request", func() bool { n, _ := slow.Seen(); return n == 1 })
	if r := u.attempt(context.Background(), &engine.Target{Address: quick.Address}, get("/")); r.Status != balancer.NotSent {
		t.Errorf("beyond the limit: status %v, want Moot", r.Status)
	}
	cancel()
	if r := <-busy; r.Status != balancer.Cancelled {
		t.Errorf("called off: status %v, want Cancelled", r.Status)
	}
	if r := u.attempt(context.Background(), &engine.Target{Address: quick.Address}, get("/")); r.Status != balancer.OK {
		t.Errorf("with room again: status %v, want OK", r.Status)
	}
}

// A send that waited for its connection must not start once its endpoint drains.
func TestDrainDuringDial(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	u, at := newTestUpstream(1), &engine.Target{Address: e.Address}
	dialling, go_ := make(chan struct{}), make(chan struct{})
	u.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		close(dialling)
		<-go_
		return nil
	}
	done := make(chan engine.Result)
	go func() { done <- u.attempt(context.Background(), at, get("/")) }()
	<-dialling
	at.Close()
	u.Retire(at)
	close(go_)
	if r := <-done; r.Status != balancer.NotSent {
		t.Errorf("status %v, want Moot", r.Status)
	}
	if n, _ := e.Seen(); n != 0 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
	if r := u.attempt(context.Background(), at, get("/")); r.Status != balancer.NotSent || u.open != 0 {
		t.Errorf("later: status %v, want Moot; %d connections open", r.Status, u.open)
	}
}

func TestProbe(t *testing.T) {
	report := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for _, c := range []struct {
		name, answer string
		status       balancer.Status
		load         []float32 // -1: not a number
	}{
		{"both figures, in any order", report("pending=7,failed_ps=0.5\n"), balancer.OK, []float32{0.5, 7}},
		{"one figure and others", report("util=0.3,pending=2"), balancer.OK, []float32{-1, 2}},
		{"a malformed figure", report("pending=many,failed_ps=1,,=,x"), balancer.OK, []float32{1, -1}},
		{"a repeated figure", report("pending=1,failed_ps=2,pending=3"), balancer.OK, []float32{2, -1}},
		{"figures beyond sense", report("pending=1e30,failed_ps=-1"), balancer.OK, []float32{-1, -1}},
		{"figures that are none", report("pending=NaN,failed_ps=+Inf"), balancer.OK, []float32{-1, -1}},
		{"no report yet", report(""), balancer.OK, nil},
		{"turned away", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", balancer.Error, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := peer.New(t, peer.Always(c.answer))
			u := newTestUpstream(1)
			r := attempt.Probe(context.Background(), u.attempt, &engine.Target{Address: e.Address}, u.fields)
			for i, v := range r.Load {
				if v != v {
					r.Load[i] = -1
				}
			}
			if r.Status != c.status || !slices.Equal(r.Load, c.load) {
				t.Errorf("status %v, load %v; want %v, %v", r.Status, r.Load, c.status, c.load)
			}
			if path := e.Request(0).RequestURI; path != "/stats" {
				t.Errorf("asked %s", path)
			}
		})
	}
}

// A connection on which more came than the answer is not used again, whether the
// rest comes with the answer or after the connection was given back: the next
// request would be answered with what was made for another.
func TestNothingBeyondAnAnswerIsTakenForTheNext(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			rest := make(chan struct{})
			e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
				for r := e.Next(in); r != nil; r = e.Next(in) {
					own := strings.Replace(peer.Served, "done", r.URL.Path[1:5], 1)
					if !late {
						own += own
					}
					_, _ = io.WriteString(conn, own)
					if late {
						<-rest
						_, _ = io.WriteString(conn, own)
					}
				}
			})
			u, at := newTestUpstream(4), &engine.Target{Address: e.Address}
			if r := u.attempt(context.Background(), at, get("/one.")); r.Status != balancer.OK || string(r.Body) != "one." {
				t.Fatalf("first: status %v, body %q", r.Status, r.Body)
			}
			close(rest)
			if late {
				wait.Until(t, "the rest to arrive", func() bool { return !u.idle[at][0].alive() })
			}
			if r := u.attempt(context.Background(), at, get("/two.")); r.Status != balancer.OK || string(r.Body) != "two." {
				t.Errorf("second: status %v, body %q", r.Status, r.Body)
			}
			if _, conns := e.Seen(); conns != 2 {
				t.Errorf("%d connections, want 2", conns)
			}
		})
	}
}

// Only an answer that has begun must come to its end soon: one may take its time
// to begin, also after an interim answer.
func TestSlowAnswersAreAwaited(t *testing.T) {
	for name, first := range map[string]string{"plain": "", "after an interim answer": "HTTP/1.1 102 Processing\r\n\r\n"} {
		e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
			for e.Next(in) != nil {
				_, _ = io.WriteString(conn, first)
				time.Sleep(2 * answerRest)
				_, _ = io.WriteString(conn, peer.Served)
			}
		})
		u, at := newTestUpstream(1), &engine.Target{Address: e.Address}
		for range 2 { // on a new connection and on a used one
			if r := u.attempt(context.Background(), at, get("/")); r.Status != balancer.OK {
				t.Errorf("%s: status %v, want OK", name, r.Status)
			}
		}
		if _, conns := e.Seen(); conns != 1 {
			t.Errorf("%s: %d connections, want 1", name, conns)
		}
	}
}

// An attempt that is given up ends, whatever deadlines its answer's parts have set since: an
// interim answer clears the one for the next, a first byte sets one ahead.
func TestGivenUpInTheMiddleOfAnAnswer(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		_, _ = io.WriteString(conn, interim)
		_, _ = in.ReadByte() // until the other side closes
	})
	for name, read := range map[string]func(*conn) error{
		"between interim answers": func(c *conn) error {
			_, _, err := c.receive(http.MethodGet)
			return err
		},
		"at a first byte": func(c *conn) error {
			c.readBy(time.Now().Add(time.Hour))
			_, err := c.Read(make([]byte, 1))
			return err
		},
	} {
		c, err := newTestUpstream(1).dial(context.Background(), &engine.Target{Address: e.Address})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.limit.N = 1 << 10
		if _, err := c.reader.Peek(len(interim)); err != nil {
			t.Fatal(err)
		}
		c.stop() // as the end of the attempt's context does, now that these bytes are here
		ended := make(chan error, 1)
		go func() { ended <- read(c) }()
		select {
		case err := <-ended:
			if err == nil {
				t.Errorf("%s: an answer where none was given", name)
			}
		case <-time.After(patience):
			t.Errorf("%s: the attempt does not end", name)
		}
	}
}

// What is given up is closed with a reset: bytes that this machine has not delivered yet are
// dropped with it, where an orderly close would deliver them later, when a cut has healed.
func TestGivenUpEndsWithAReset(t *testing.T) {
	ended := make(chan error, 1)
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		_, err := in.ReadByte()
		ended <- err
	})
	u := newTestUpstream(1)
	ctx, giveUp := context.WithCancel(context.Background())
	defer giveUp()
	done := make(chan engine.Result)
	go func() { done <- u.attempt(ctx, &engine.Target{Address: e.Address}, get("/")) }()
	wait.Until(t, "the request", func() bool { n, _ := e.Seen(); return n == 1 })
	giveUp()
	if r := <-done; r.Status != balancer.Cancelled {
		t.Errorf("status %v, want Cancelled", r.Status)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the endpoint read %v, want a reset", err)
	}
}

// A connection rests after an answer: a second one may be on its way, and must not be taken for
// the answer to the next request, which waits. What has settled goes first.
func TestConnectionsSettle(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	u, at := newTestUpstream(2), &engine.Target{Address: e.Address}
	u.settle = time.Hour
	ask := func(ctx context.Context) balancer.Status { return u.attempt(ctx, at, get("/")).Status }
	if s := ask(context.Background()); s != balancer.OK {
		t.Fatalf("status %v", s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan balancer.Status)
	go func() { done <- ask(ctx) }()
	wait.Until(t, "the connection to be taken", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.idle[at]) == 0
	})
	if s := ask(context.Background()); s != balancer.OK { // none is idle: another one is opened
		t.Errorf("status %v", s)
	}
	cancel()
	if s := <-done; s != balancer.NotSent {
		t.Errorf("status %v while its connection has not settled, want Moot", s)
	}
	if n, conns := e.Seen(); n != 2 || conns != 2 {
		t.Errorf("%d requests on %d connections, want 2 on 2", n, conns)
	}
	u.settle = 1
	if s := ask(context.Background()); s != balancer.OK {
		t.Errorf("settled: status %v", s)
	}
	if _, conns := e.Seen(); conns != 2 {
		t.Errorf("%d connections, want 2", conns)
	}
}
