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

	"pinedale/internal/requestmeta"
	"pinedale/internal/standin/wait"
)

// If every connection has a request in flight, one more is closed.
func TestConnectionIsClosedAtLimitWithoutIdleOnes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &clientListener{Listener: listener, maxConnections: 1}
	defer l.Close()
	accepted := make(chan *clientConn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*clientConn)
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(wait.Timeout)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	defer dial().Close()
	c := <-accepted
	if _, ok := c.requestStarted(0); !ok {
		t.Fatal("the first connection was evicted")
	}
	second := dial()
	defer second.Close()
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read on the second connection: %v, want io.EOF", err)
	}
	c.requestDone()
	defer dial().Close()
	<-accepted
	if _, ok := c.requestStarted(0); ok {
		t.Error("an evicted connection accepts a request")
	}
	c.Close()
	if n := l.count(); n != 1 {
		t.Errorf("%d connections are counted, want 1", n)
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

// handleRequest marks a request as started and done, as Server does, and answers it.
func handleRequest(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*clientConn)
	if _, ok := c.requestStarted(r.ContentLength); !ok {
		panic(http.ErrAbortHandler)
	}
	defer c.requestDone()
	_, _ = io.WriteString(w, "served")
}

// roundTrip sends a request on a connection and reads its response to the end.
func roundTrip(conn net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
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
			requests := 0
			l := &clientListener{maxConnections: 1}
			l.Listener = &hookedListener{listener, func() {
				if requests == 1 { // the second one has been read
					closeIdle(l)
				}
			}}
			server := http.Server{
				IdleTimeout: wait.Timeout,
				ReadTimeout: wait.Timeout,
				ConnContext: func(ctx context.Context, c net.Conn) context.Context {
					return context.WithValue(ctx, connKey{}, c)
				},
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					handleRequest(w, r)
					requests++
				}),
			}
			served := make(chan struct{})
			go func() {
				defer close(served)
				_ = server.Serve(l) // until Close
			}()
			defer func() {
				server.Close()
				<-served
			}()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(wait.Timeout)); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			for n := range 2 {
				if err := roundTrip(conn, reader); err != nil {
					t.Fatalf("request %d: %v", n+1, err)
				}
			}
			if name == "shutdown" {
				if _, err := reader.ReadByte(); err != io.EOF {
					t.Errorf("read after the response: %v, want io.EOF", err)
				}
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
	l := &clientListener{maxConnections: 1}
	slow := &clientConn{Conn: local, owner: l}
	if !l.admit(slow) {
		t.Fatal("the first connection is not admitted")
	}
	go func() { _, _ = io.WriteString(peer, "GET") }()
	if _, err := slow.Read(make([]byte, 9)); err != nil {
		t.Fatal(err)
	}
	if l.admit(&clientConn{Conn: local, owner: l}) {
		t.Error("a connection whose request has just begun to arrive is evicted")
	}
	slow.receivingSince = time.Now().Add(-2 * slowRequestAfter)
	if !l.admit(&clientConn{Conn: local, owner: l}) || l.count() != 1 {
		t.Errorf("a connection with a slow request is not evicted: %d connections, want 1", l.count())
	}
	if _, ok := slow.requestStarted(0); ok {
		t.Error("an evicted connection accepts a request")
	}
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
