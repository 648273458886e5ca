// Package scriptedconn is a stand-in for an endpoint whose answers a test writes byte by
// byte: what no proper server would send.
package scriptedconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Endpoint is a TCP server whose answers a test writes byte by byte.
type Endpoint struct {
	Address string // host:port

	mu       sync.Mutex
	conns    int
	requests []*http.Request // read by Next
}

// New starts an endpoint that serves each connection with a function of its own
// until the test ends.
func New(t *testing.T, serve func(e *Endpoint, conn net.Conn, in *bufio.Reader)) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &Endpoint{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			go func() {
				defer conn.Close()
				serve(e, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return e
}

// Next reads a whole request, or returns nil when the connection has ended.
func (e *Endpoint) Next(in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	e.mu.Lock()
	e.requests = append(e.requests, r)
	e.mu.Unlock()
	return r
}

// Seen counts the requests read and the connections accepted.
func (e *Endpoint) Seen() (requests, conns int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests), e.conns
}

// Request returns one of the requests read.
func (e *Endpoint) Request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[i]
}

// Always answers every request with the same bytes.
func Always(answer string) func(*Endpoint, net.Conn, *bufio.Reader) {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			_, _ = io.WriteString(conn, answer)
		}
	}
}

// Answers as endpoints give them.
const (
	Served  = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	Failing = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	Full    = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// Unresponsive takes requests and never answers.
func Unresponsive(e *Endpoint, conn net.Conn, in *bufio.Reader) {
	for e.Next(in) != nil {
	}
}

// Then answers the first request in one way and all others in another, over
// all connections.
func Then(first, rest string) func(*Endpoint, net.Conn, *bufio.Reader) {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			if n, _ := e.Seen(); n == 1 {
				_, _ = io.WriteString(conn, first)
			} else {
				_, _ = io.WriteString(conn, rest)
			}
		}
	}
}
