// Package scriptedconn provides a TCP endpoint whose responses a test writes byte by byte, including those that no
// correct server would send.
package scriptedconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Complete responses for handlers to write.
const (
	Served  = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	Failing = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	Full    = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// A Handler serves one connection, which is closed once it returns. It reads requests with [Endpoint.Next].
type Handler = func(e *Endpoint, conn net.Conn, in *bufio.Reader)

// Endpoint is a TCP server whose responses are written by a [Handler].
type Endpoint struct {
	Address string // host:port

	mu        sync.Mutex
	connCount int
	openConns int
	requests  []*http.Request // read by Next
}

// New starts an endpoint that serves each connection with handler. It accepts connections until the test ends.
func New(t testing.TB, handler Handler) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Endpoint{Address: listener.Addr().String()}
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		e.accept(t, listener, handler)
	}()
	t.Cleanup(func() {
		listener.Close()
		<-accepting
	})
	return e
}

// accept serves connections until the listener is closed. It does not wait for their handlers, because a test may end
// while a handler waits to be released.
func (e *Endpoint) accept(t testing.TB, listener net.Listener, handler Handler) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.Errorf("scriptedconn: accept: %v", err)
			return
		}
		e.mu.Lock()
		e.connCount++
		e.openConns++
		e.mu.Unlock()
		go e.serve(conn, handler)
	}
}

// serve passes one connection to a handler, and closes it once the handler returns.
func (e *Endpoint) serve(conn net.Conn, handler Handler) {
	defer func() {
		conn.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.openConns--
	}()
	handler(e, conn, bufio.NewReader(conn))
}

// Next reads a complete request. It returns nil once the connection has ended.
func (e *Endpoint) Next(in *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, request)
	return request
}

// RequestCount returns the number of requests read so far.
func (e *Endpoint) RequestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// ConnCount returns the number of connections accepted so far.
func (e *Endpoint) ConnCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connCount
}

// OpenConnCount returns the number of connections whose handler has not returned.
func (e *Endpoint) OpenConnCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openConns
}

// Request returns the i-th request that was read, counted from 0.
func (e *Endpoint) Request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[i]
}

// Always returns a handler that gives the same response to every request.
func Always(response string) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			_, _ = io.WriteString(conn, response)
		}
	}
}

// FirstThen returns a handler that gives one response to the first request of the endpoint, counted over all its
// connections, and another to all later ones.
func FirstThen(first, later string) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			response := later
			if e.RequestCount() == 1 {
				response = first
			}
			_, _ = io.WriteString(conn, response)
		}
	}
}

// ServedAfter returns a handler that serves every request, but serves those that match only once release is closed. If
// matches is nil, all requests match.
func ServedAfter(release <-chan struct{}, matches func(*http.Request) bool) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for request := e.Next(in); request != nil; request = e.Next(in) {
			if matches == nil || matches(request) {
				<-release
			}
			_, _ = io.WriteString(conn, Served)
		}
	}
}

// Unresponsive is a [Handler] that reads requests and never responds.
func Unresponsive(e *Endpoint, _ net.Conn, in *bufio.Reader) {
	for e.Next(in) != nil {
	}
}
