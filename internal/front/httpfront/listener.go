package httpfront

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowRequestAfter is how long a request may take to arrive before its connection may be evicted: the
	// application runs on the same host and sends it in one piece.
	slowRequestAfter = 100 * time.Millisecond
	// acceptIdleTime is how long a stopping listener must have accepted no connection before it is closed. Closing
	// it resets the connections in its queue.
	acceptIdleTime = 20 * time.Millisecond
	// maxAcceptTime is the time after which a stopping listener is closed in any case.
	maxAcceptTime = 100 * time.Millisecond
)

// expiredDeadline is a deadline that interrupts a Read.
var expiredDeadline = time.Unix(1, 0)

// clientListener accepts the connections of clients and bounds their number. The limit applies when they are
// accepted: a limit that acts on requests would let idle connections use up the sockets that attempts and
// discovery need.
type clientListener struct {
	net.Listener
	maxConnections     int
	keepAliveThreshold int         // used connections above which a response closes its connection
	stopping           atomic.Bool // stopAccepting was called
	closes             closeLog
	acceptLoggedAt     time.Time // owned by the goroutine of Accept

	mu        sync.Mutex
	open      int       // connections
	used      int       // of those, the ones that have carried a request
	idle      list.List // of *clientConn: nothing received since the last response; longest first
	receiving list.List // of *clientConn: a part of a request received; longest first
	closeIdle bool      // used connections are closed once they are idle
}

// Accept returns the next connection. At the limit it evicts a connection without a request in flight. If none
// can be evicted, it closes the new one.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.acceptRetrying()
		stopping := l.stopping.Load()
		if err != nil && stopping {
			l.Close()
			return nil, net.ErrClosed
		} else if err != nil {
			return nil, err
		}
		if stopping {
			l.extendDeadline()
		}
		c := &clientConn{Conn: raw, owner: l}
		if l.admit(c) {
			return c, nil
		}
		raw.Close()
		l.closes.add(closedAtLimit, "")
	}
}

// stopAccepting closes the listener as soon as its queue is empty: the clients in it are connected and may
// have sent their requests.
func (l *clientListener) stopAccepting() {
	time.AfterFunc(maxAcceptTime, func() { l.Close() })
	l.stopping.Store(true)
	if !l.extendDeadline() {
		l.Close()
	}
}

// extendDeadline lets Accept wait for acceptIdleTime from now. It returns false if the listener has no
// deadline.
func (l *clientListener) extendDeadline() bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(acceptIdleTime)) == nil
}

// admit counts a new connection. At the limit it evicts another one; it returns false if none can be evicted.
func (l *clientListener) admit(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxConnections && !l.evict() {
		return false
	}
	l.open++
	c.moveTo(&l.idle)
	return true
}

// evict ends a connection without a request in flight: the one that has been idle longest, or else the one
// whose request has been arriving longest, if for more than slowRequestAfter. The caller holds l.mu.
func (l *clientListener) evict() bool {
	if longest := l.idle.Front(); longest != nil {
		c := longest.Value.(*clientConn)
		c.uncount()
		c.interruptRead()
		l.closes.add(closedIdleLongest, "")
		return true
	}
	if slowest := l.receiving.Front(); slowest != nil {
		if c := slowest.Value.(*clientConn); time.Since(c.receivingSince) > slowRequestAfter {
			c.uncount()
			c.Conn.Close()
			l.closes.add(closedSlowRequest, "")
			return true
		}
	}
	return false
}

// closeIdleConnections closes the used connections that are idle, now and whenever one becomes idle later.
func (l *clientListener) closeIdleConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle = true
	for element := l.idle.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*clientConn); c.used {
			c.interruptRead()
		}
	}
}

// aboveKeepAliveThreshold reports whether responses should close their connections. Some clients send one
// request and never close the connection: kept alive, these would use up all connections.
func (l *clientListener) aboveKeepAliveThreshold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used > l.keepAliveThreshold
}

// count returns the number of open connections.
func (l *clientListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}
