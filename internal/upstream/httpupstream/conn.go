package httpupstream

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	socket        net.Conn        // the TCP connection below Conn, or Conn itself
	session       attempt.Session // nil for plain text
	target        *engine.Target
	reader        *bufio.Reader
	responseLimit io.LimitedReader // bounds the bytes of one response
	idleSince     time.Time
	settledAt     time.Time // when it may be used, set when it is reserved; see settle.go
	used          bool      // has carried a request

	mu          sync.Mutex
	interrupted bool // its exchange was cancelled: deadlines are no longer set
}

// pastDeadline is a deadline that ends a pending read or write immediately.
var pastDeadline = time.Unix(1, 0)

// interrupt ends pending and later reads and writes.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(pastDeadline) // fails only if the connection has already ended
}

// setReadDeadline sets the deadline for reading, unless the connection was interrupted: a later
// deadline would let the read of a cancelled exchange continue.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(deadline) // fails only if the next read fails, too
	}
}

// setResetOnClose makes the connection end with a reset. An orderly close would first deliver all
// bytes that were written.
func (c *conn) setResetOnClose() {
	if tcp, ok := c.socket.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has already ended
	}
}

// isUsable reports whether keys and trust still allow new requests on the connection. Prune does
// not call it: after a change of keys it verifies a certificate chain, which takes too long on
// the engine's goroutine, where Prune runs.
func (c *conn) isUsable(now time.Time) bool { return c.session == nil || c.session.Usable(now) }

// isAlive reports whether an idle connection is open and has no unread bytes. An endpoint may
// close it at any time. A request written after that ends with a reset, which does not prove
// whether the request has run.
func (c *conn) isAlive() bool {
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN
		return true
	})
	return err == nil && alive && (c.session == nil || c.session.HasNoUnreadData())
}
