package testfleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
)

// Incomplete responses for [Attempt.Respond]. The backend closes the connection after them.
const (
	// ResetConnection resets the connection without a response.
	ResetConnection = ""
	// TruncatedBody is a response that ends within its body.
	TruncatedBody = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"
	// TruncatedHead is a response that ends within its status line.
	TruncatedHead = "HTTP/1.1 200 O"
)

// Attempt is a request that a backend has read and not responded to yet.
type Attempt struct {
	RequestID string // X-Correlation-Id
	Backend   string // name of the backend
	Address   string // host:port of the backend

	conn     net.Conn
	keepOpen chan bool // receives whether the connection stays open after the response
}

// Respond writes a response of package scriptedconn or an incomplete one. It must be called exactly once.
func (a *Attempt) Respond(response string) {
	if response == ResetConnection {
		_ = a.conn.(*net.TCPConn).SetLinger(0)
		a.conn.Close()
		a.keepOpen <- false
		return
	}
	_, _ = io.WriteString(a.conn, response) // the client may have closed the connection
	a.keepOpen <- isComplete(response)
}

// isComplete reports whether a connection may be used again after a response.
func isComplete(response string) bool {
	switch response {
	case scriptedconn.Served, scriptedconn.Failing, scriptedconn.Full:
		return true
	default:
		return false
	}
}

// Backends are servers whose responses a test chooses.
type Backends struct {
	// Hosts are the discovery entries of the backends, which are named s-0, s-1 and so on.
	Hosts []fakediscovery.Host

	endpoints []*scriptedconn.Endpoint
}

// StartBackends starts n backends. Each request is passed to handle; nothing else is read from its connection until
// [Attempt.Respond] has been called, by handle or later.
func StartBackends(t testing.TB, n int, handle func(*Attempt)) *Backends {
	t.Helper()
	b := &Backends{}
	for i := range n {
		name := fmt.Sprint("s-", i)
		endpoint := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
			serveAttempts(name, e, conn, in, handle)
		})
		b.Hosts = append(b.Hosts, fakediscovery.Ready(name, endpoint.Address))
		b.endpoints = append(b.endpoints, endpoint)
	}
	return b
}

// OpenConnCount returns the number of open connections to all backends.
func (b *Backends) OpenConnCount() int {
	n := 0
	for _, e := range b.endpoints {
		n += e.OpenConnCount()
	}
	return n
}

// serveAttempts passes the requests of a connection to handle until the connection ends or a response closes it.
func serveAttempts(
	name string, e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader, handle func(*Attempt),
) {
	for request := e.Next(in); request != nil; request = e.Next(in) {
		attempt := &Attempt{
			RequestID: request.Header.Get("X-Correlation-Id"),
			Backend:   name,
			Address:   e.Address,
			conn:      conn,
			keepOpen:  make(chan bool, 1),
		}
		handle(attempt)
		if !<-attempt.keepOpen {
			return
		}
	}
}
