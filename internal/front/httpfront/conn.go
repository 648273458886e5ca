package httpfront

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// clientConn is one connection of a client. It carries one request at a time.
//
// Its state is given by the list of its owner that it is in: idle, receiving (part of a request was received), writing
// (its response is being written), lingering (its last response was written) or none (a request is in flight).
type clientConn struct {
	net.Conn
	owner    *clientListener
	accepted time.Time

	// receivedBytes is the number of bytes of the request that is arriving.
	receivedBytes atomic.Int64
	reading       atomic.Bool // a part of a request is awaited

	// Guarded by owner.mu.
	list    *list.List // one of owner's, or nil
	element *list.Element
	since   time.Time // when the connection was moved to its list
	used    bool      // it has carried a request
	evicted bool      // its reads or writes were interrupted to make room
	closed  bool
}

// moveTo moves a connection to one of its owner's lists, or to none. The caller holds owner.mu.
func (c *clientConn) moveTo(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list, c.element = to, nil
	if to != nil {
		c.element = to.PushBack(c)
	}
	c.since = time.Now()
}

// enter moves a connection to one of its owner's lists, unless it is to be closed.
func (c *clientConn) enter(to *list.List) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.closed && !c.evicted {
		c.moveTo(to)
	}
}

// interruptRead ends the connection's reads by an expired deadline. The connection is not closed here, so that a
// request that is read at the same time is still served, and another is answered. The caller holds owner.mu.
func (c *clientConn) interruptRead() { _ = c.SetReadDeadline(expiredDeadline) } // fails if it has ended already

// setReadDeadline sets the deadline for reading, unless reads are to stay interrupted.
func (c *clientConn) setReadDeadline(at time.Time) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.evicted || c.owner.closeIdle && c.used && c.list == &c.owner.idle {
		at = expiredDeadline
	}
	_ = c.SetReadDeadline(at) // fails if the connection has ended; reads then fail, too
}

// beginWriting marks the connection as writing a response, which may take until a deadline.
func (c *clientConn) beginWriting(deadline time.Time) {
	_ = c.SetWriteDeadline(deadline) // fails if the connection has ended; writes then fail, too
	c.enter(&c.owner.writing)
}

// awaitRequest marks the connection as idle until the next request begins to arrive.
func (c *clientConn) awaitRequest() {
	c.receivedBytes.Store(0)
	c.enter(&c.owner.idle)
	deadline := c.accepted.Add(ReadTimeout)
	if c.used { // set by this goroutine
		deadline = time.Now().Add(IdleTimeout)
	}
	c.setReadDeadline(deadline)
}

// Read reads a part of a request.
func (c *clientConn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	if n > 0 {
		c.received(n)
	}
	return n, err
}

// received records that a part of a request has been received.
func (c *clientConn) received(n int) {
	if c.receivedBytes.Add(int64(n)) > int64(n) {
		return
	}
	c.enter(&c.owner.receiving)
	if c.used {
		c.setReadDeadline(time.Now().Add(ReadTimeout))
	}
}

// requestStarted records that a request is in flight. It returns false if the connection was to be closed meanwhile:
// the request is served, and is the last one.
func (c *clientConn) requestStarted() (keep bool) {
	c.owner.mu.Lock()
	keep = !c.evicted
	if c.evicted {
		c.evicted = false
		c.owner.evicting--
	}
	if !c.closed {
		c.moveTo(nil)
	}
	if !c.used {
		c.used = true
		c.owner.used++
	}
	c.owner.mu.Unlock()
	c.setReadDeadline(time.Time{})
	return keep
}

// wasEvicted reports whether the connection was interrupted to make room.
func (c *clientConn) wasEvicted() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.evicted
}

// Close closes the connection and uncounts it.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.owner.removed(c)
	return err
}

const (
	// lingerTime is how long a connection whose request was refused stays open if its client does not close it. Until
	// then the client does not connect anew: clients that are refused over and over take little processor time.
	lingerTime = 500 * time.Millisecond
	// minLingerTime is the same for a connection that is closed to make room.
	minLingerTime = lingerTime / 2
	// lingerBytes bounds what is read and discarded meanwhile.
	lingerBytes = 128 << 10
)

// linger discards what the client still sends until it closes the connection: if bytes are unread when a connection is
// closed, it is reset, and the client may never read the response (RFC 9112, section 9.6).
func (c *clientConn) linger(buffer []byte) {
	c.enter(&c.owner.lingering)
	c.setReadDeadline(time.Now().Add(lingerTime))
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			break
		}
		discarded += n
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails if the connection has ended already
	}
}

// isTimeout reports whether a read or write ended by its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
