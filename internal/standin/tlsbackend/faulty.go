package tlsbackend

import (
	"io"
	"net"
	"sync"
	"testing"
)

// HandshakeFault handles a connection in place of a TLS handshake. The connection is closed once it returns.
type HandshakeFault func(net.Conn)

// Disconnect reads at most truncatedBytes of the client's first message. Garbage writes garbageBytes.
const (
	truncatedBytes = 16
	garbageBytes   = 4096
)

var (
	// Unresponsive discards all input and writes nothing.
	Unresponsive HandshakeFault = discardAll

	// Disconnect closes the connection after a part of the client's first message.
	Disconnect HandshakeFault = func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, truncatedBytes))
	}

	// Garbage writes bytes that are not a TLS record.
	Garbage HandshakeFault = func(conn net.Conn) {
		_, _ = conn.Write(make([]byte, garbageBytes))
		discardAll(conn)
	}

	// PlainHTTP responds as a server of plain HTTP does.
	PlainHTTP HandshakeFault = func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		discardAll(conn)
	}
)

// discardAll reads until the connection ends.
func discardAll(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// faultyListener passes each accepted connection to a fault.
type faultyListener struct {
	net.Listener
	fault     HandshakeFault
	accepting sync.WaitGroup
	serving   sync.WaitGroup
	conns     []net.Conn // owned by the accepting goroutine until it has ended
}

// ListenFaulty starts a TCP listener with a fault and returns its address. The listener and its connections are closed
// when the test ends.
func ListenFaulty(t testing.TB, fault HandshakeFault) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &faultyListener{Listener: listener, fault: fault}
	l.accepting.Go(l.accept)
	t.Cleanup(l.close)
	return listener.Addr().String()
}

// accept serves connections until the listener is closed.
func (l *faultyListener) accept() {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		l.conns = append(l.conns, conn)
		l.serving.Go(func() {
			defer conn.Close()
			l.fault(conn)
		})
	}
}

// close closes the listener and its connections and waits for their goroutines.
func (l *faultyListener) close() {
	l.Close()
	l.accepting.Wait()
	for _, conn := range l.conns {
		conn.Close()
	}
	l.serving.Wait()
}
