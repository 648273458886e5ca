package httpfront

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/requestmeta"
	"pinedale/internal/standin/testengine"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/httpupstream"
)

// newTestListener returns a listener on a free port, for at most maxConnections connections.
func newTestListener(t *testing.T, maxConnections int) *clientListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newClientListener(maxConnections, maxConnections, nil)
	l.listenOn(listener)
	t.Cleanup(func() { listener.Close() })
	return l
}

// dialTest opens a client's connection to an address, whose reads and writes are bounded in time.
func dialTest(t *testing.T, address net.Addr) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(wait.Timeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// If every connection has a request in flight, one more is closed. A connection that is evicted is counted until it is
// closed.
func TestConnectionIsClosedAtLimitWithoutIdleOnes(t *testing.T) {
	l := newTestListener(t, 1)
	accepted := make(chan *clientConn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dialTest(t, l.Addr())
	c := <-accepted
	if !c.requestStarted() {
		t.Fatal("the first connection was evicted")
	}
	second := dialTest(t, l.Addr())
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read on the second connection: %v, want io.EOF", err)
	}
	c.awaitRequest()
	dialTest(t, l.Addr())
	if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("read on the idle connection: %v, want its eviction", err)
	}
	if len(accepted) > 0 || l.count() != 1 {
		t.Errorf("%d connections are counted before the evicted one is closed, want 1", l.count())
	}
	c.Close()
	third := <-accepted
	if n := l.count(); n != 1 {
		t.Errorf("%d connections are counted, want 1", n)
	}
	third.Close()
	third.Close()
	if n := l.count(); n != 0 {
		t.Errorf("%d connections are counted after all were closed", n)
	}
}

// hookedConn calls a function after each read that returns bytes, before they are returned.
type hookedConn struct {
	net.Conn
	afterRead func()
}

// Read calls afterRead before it returns.
func (h *hookedConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.afterRead()
	}
	return n, err
}

// hookedListener makes accepted connections hookedConns.
type hookedListener struct {
	net.Listener
	afterRead func()
}

// Accept wraps the next connection.
func (h *hookedListener) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{c, h.afterRead}, nil
}

// roundTrip sends a request on a connection and reads its response to the end.
func roundTrip(conn net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(conn, "GET "+exchange.ReadinessPath+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// A request that is read while its connection is being closed as idle, on shutdown or to make room for another, is
// served: its client could not know that it was read.
func TestRequestReadDuringEvictionIsServed(t *testing.T) {
	for name, closeIdle := range map[string]func(l *clientListener){
		"shutdown": (*clientListener).closeIdleConnections,
		"eviction": func(l *clientListener) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.evict()
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := newTestServer(t, 1)
			l := server.clients
			reads := 0
			serve(t, server, &hookedListener{listener, func() {
				if reads++; reads == 2 { // the second request has been read
					closeIdle(l)
				}
			}})
			conn := dialTest(t, listener.Addr())
			reader := bufio.NewReader(conn)
			for n := range 2 {
				if err := roundTrip(conn, reader); err != nil {
					t.Fatalf("request %d: %v", n+1, err)
				}
			}
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("read after the response: %v, want io.EOF", err)
			}
			if l.count() > 1 {
				t.Errorf("%d connections are counted, want at most 1", l.count())
			}
		})
	}
}

// A connection whose request has been arriving for slowRequestAfter may be evicted; one whose request has only
// begun to arrive is not.
func TestSlowRequestIsEvicted(t *testing.T) {
	local, peer := net.Pipe()
	defer peer.Close()
	l := newClientListener(1, 1, nil)
	slow := &clientConn{Conn: local, owner: l, accepted: time.Now()}
	if !l.admit(slow) {
		t.Fatal("the first connection is not admitted")
	}
	go func() { _, _ = io.WriteString(peer, "GET") }()
	if _, err := slow.Read(make([]byte, 9)); err != nil {
		t.Fatal(err)
	}
	next := &clientConn{Conn: local, owner: l}
	if admitted, mayWait := l.tryAdmit(next); admitted || !mayWait || slow.wasEvicted() {
		t.Error("a connection whose request has just begun to arrive is evicted")
	}
	slow.since = time.Now().Add(-2 * slowRequestAfter)
	if admitted, mayWait := l.tryAdmit(next); admitted || !mayWait || slow.wasEvicted() {
		t.Error("a connection that does not wait for its client is evicted")
	}
	read := make(chan error)
	go func() {
		_, err := slow.Read(make([]byte, 9))
		read <- err
	}()
	wait.Until(t, "the connection to wait for its client", slow.reading.Load)
	if admitted, mayWait := l.tryAdmit(next); admitted || !mayWait || !slow.wasEvicted() {
		t.Error("a connection with a slow request is not evicted")
	}
	if err := <-read; !isTimeout(err) {
		t.Errorf("read on the evicted connection: %v, want its interruption", err)
	}
	if slow.Close(); !l.admit(next) || l.count() != 1 {
		t.Errorf("no connection is admitted in place of the slow one: %d connections, want 1", l.count())
	}
}

// A new connection is not closed to make room before its client had time to send a request: a client that is closed
// unread on two connections has lost its request.
func TestNewConnectionIsNotEvictedAtOnce(t *testing.T) {
	local, peer := net.Pipe()
	defer peer.Close()
	// admitAfter lets one connection be idle for a time, and then another one ask for its place.
	admitAfter := func(idleTime time.Duration) (evicted, mayWait bool, took time.Duration) {
		l := newClientListener(1, 1, nil)
		first := &clientConn{Conn: local, owner: l, accepted: time.Now()}
		if !l.admit(first) {
			t.Fatal("the first connection is not admitted")
		}
		began := time.Now()
		first.since = began.Add(-idleTime)
		_, mayWait = l.tryAdmit(&clientConn{Conn: local, owner: l})
		return first.wasEvicted(), mayWait, time.Since(began)
	}
	evicted, mayWait, took := admitAfter(0)
	for took > newConnectionTime { // the machine is busy
		evicted, mayWait, took = admitAfter(0)
	}
	if evicted || !mayWait {
		t.Error("a new connection is evicted, or the next one does not wait")
	}
	if evicted, mayWait, _ := admitAfter(2 * newConnectionTime); !evicted || !mayWait {
		t.Error("a connection that has been idle for long is not evicted")
	}
}

// newTestServer returns a server whose engine has no endpoints, for at most maxConnections connections.
func newTestServer(t *testing.T, maxConnections int) *Server {
	t.Helper()
	read := balancer.Class{
		Name:             "read",
		Idempotency:      balancer.Idempotent,
		LatencyObjective: 600_000,
		ClientTimeout:    3_000_000,
		PriorityWeight:   1,
	}
	upstream := httpupstream.New(httpupstream.Options{Connections: 1})
	e := testengine.Run(t, engine.Options{
		Upstream: upstream,
		Source:   silentSource{},
		Log:      slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{
			Balancers: 1,
			Classes:   []balancer.Class{read},
			Limits:    balancer.Limits{MaxAttempts: 3, MaxOpen: 1000},
			Contract:  balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5},
		},
	})
	return New(e, upstream, Options{
		Connections:        maxConnections,
		KeepAliveThreshold: maxConnections,
		Memory:             exchange.LimitsWithin(64 << 20),
		Log:                slog.New(slog.DiscardHandler),
	})
}

// silentSource is a source that lists nothing.
type silentSource struct{}

func (silentSource) Close() {}
func (silentSource) Watch(
	ctx context.Context, after *uint64, _ func(balancer.ListKind, engine.List),
) (*uint64, error) {
	<-ctx.Done()
	return after, ctx.Err()
}

// serve serves a listener until the test ends.
func serve(t *testing.T, server *Server, listener net.Listener) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(ctx, listener) // until cancel or Close
	}()
	t.Cleanup(func() {
		cancel()
		server.Close()
		<-served
	})
}

// Each request has its response before the platform kills the process. The earliest kill is 0.7 s plus the longest
// deadline after SIGTERM, where at most 3 s of the deadline count.
func TestShutdownEndsBeforeKill(t *testing.T) {
	s := New(nil, nil, Options{Parser: &requestmeta.Parser{}, Log: slog.New(slog.DiscardHandler)})
	for _, longest := range []time.Duration{
		50 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, time.Minute,
	} {
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		if exit := s.opts.DrainTimeout(longest) + exitDelay; exit >= kill {
			t.Errorf("longest deadline %v: the process ends %v after SIGTERM, it may be killed after %v", longest, exit, kill)
		}
		if s.opts.DrainTimeout(longest) < defaultAcceptTime-150*time.Millisecond {
			t.Errorf("longest deadline %v: draining ends while clients still connect", longest)
		}
	}
}
