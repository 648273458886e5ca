package httpfront

import (
	"container/list"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowRequestAfter is how long a request may take to arrive, or a response to be written, before its connection
	// may be evicted: the application runs on the same host, sends a request in one piece and reads its response.
	slowRequestAfter = 100 * time.Millisecond
	// newConnectionTime is how long a new connection is kept for its first request to arrive.
	newConnectionTime = 250 * time.Millisecond
	// activeTime is how long after its last response a connection counts as one that its client uses.
	activeTime = 100 * time.Millisecond
	// maxAdmissionWait is how long a new connection waits at the limit for another one to be closed or to become slow.
	maxAdmissionWait = 2 * lingerTime
	// admissionInterval is how often a new connection that waits looks for one that has become slow.
	admissionInterval = 5 * time.Millisecond
	// acceptIdleTime is how long a stopping listener must have accepted no connection before it is closed. Closing
	// it resets the connections in its queue.
	acceptIdleTime = 20 * time.Millisecond
	// maxAcceptTime is the time after which a stopping listener is closed in any case.
	maxAcceptTime = 100 * time.Millisecond
	// maxUnreadChecks bounds the idle connections that are checked for unread bytes before one is evicted.
	maxUnreadChecks = 16
)

// expiredDeadline is a deadline that interrupts a Read.
var expiredDeadline = time.Unix(1, 0)

// clientListener accepts the connections of clients and bounds their number. The limit applies when they are
// accepted: a limit that acts on requests would let idle connections use up the sockets that attempts and
// discovery need. A connection is counted until it is closed.
type clientListener struct {
	net.Listener
	maxConnections     int
	keepAliveThreshold int         // used connections above which a first response closes its connection
	stopping           atomic.Bool // stopAccepting was called
	closes             closeLog
	acceptLoggedAt     time.Time     // owned by the goroutine of Accept
	closedOne          chan struct{} // receives after a connection was closed, unless it is full

	mu        sync.Mutex
	open      map[*clientConn]struct{}
	used      int       // of those, the ones that have carried a request
	evicting  int       // of those, the ones that were evicted and are not closed yet
	idle      list.List // of *clientConn: nothing received since the last response; longest first
	receiving list.List // of *clientConn: a part of a request received; longest first
	writing   list.List // of *clientConn: a response is being written; longest first
	lingering list.List // of *clientConn: the last response was written; longest first
	closeIdle bool      // used connections are closed once they are idle
}

// newClientListener returns a listener for at most maxConnections connections. Its Listener is set by Serve.
func newClientListener(maxConnections, keepAliveThreshold int, log *slog.Logger) *clientListener {
	return &clientListener{
		maxConnections:     maxConnections,
		keepAliveThreshold: keepAliveThreshold,
		closes:             closeLog{log: log},
		closedOne:          make(chan struct{}, 1),
		open:               map[*clientConn]struct{}{},
	}
}

// listenOn sets the listener whose connections are accepted.
func (l *clientListener) listenOn(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Listener = listener
}

// listener returns the listener whose connections are accepted, nil before listenOn.
func (l *clientListener) listener() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Listener
}

// Accept returns the next connection. At the limit it evicts a connection without a request in flight, and waits until
// that is closed. If none can be evicted, it closes the new one.
func (l *clientListener) Accept() (*clientConn, error) {
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
		c := &clientConn{Conn: raw, owner: l, accepted: time.Now()}
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

// admit counts a new connection. At the limit it evicts another one and waits until one is closed. It returns false if
// none can be evicted, or if that takes too long.
func (l *clientListener) admit(c *clientConn) bool {
	for end := time.Now().Add(maxAdmissionWait); ; {
		admitted, mayWait := l.tryAdmit(c)
		if admitted || !mayWait || time.Now().After(end) {
			return admitted
		}
		select {
		case <-l.closedOne:
		case <-time.After(admissionInterval):
		}
	}
}

// tryAdmit counts a new connection if the limit allows it, and evicts another one otherwise. mayWait reports whether a
// connection is going to be closed, or may become slow enough to be evicted.
func (l *clientListener) tryAdmit(c *clientConn) (admitted, mayWait bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) < l.maxConnections {
		l.open[c] = struct{}{}
		c.moveTo(&l.idle)
		return true, false
	}
	if l.evicting > 0 || l.evict() {
		return false, true
	}
	return false, l.idle.Len()+l.receiving.Len()+l.lingering.Len() > 0
}

// evict ends a connection without a request in flight. In this order: one that has carried no request and been idle
// for newConnectionTime, one that has lingered for minLingerTime, one that has carried requests and been idle for
// activeTime, one whose request has been arriving for more than slowRequestAfter, and any idle one that has carried
// requests; of each the one that has been so longest. While others linger, those that may still carry requests are
// kept: the new connection waits. The caller holds l.mu.
func (l *clientListener) evict() bool {
	if l.evictIdle(false, newConnectionTime) {
		return true
	}
	if longest := l.lingering.Front(); longest != nil {
		c := longest.Value.(*clientConn)
		if time.Since(c.since) < minLingerTime {
			return false
		}
		l.interrupt(c, closedLingering)
		return true
	}
	return l.evictIdle(true, activeTime) || l.evictSlowRequest(0, closedSlowRequest) || l.evictIdle(true, 0)
}

// evictIdle ends the connection that has been idle longest, if for minIdle, and has no unread bytes, of those that have
// carried requests or of the others. The caller holds l.mu.
func (l *clientListener) evictIdle(used bool, minIdle time.Duration) bool {
	checks := 0
	for element := l.idle.Front(); element != nil && checks < maxUnreadChecks; element = element.Next() {
		c := element.Value.(*clientConn)
		if time.Since(c.since) < minIdle {
			return false
		}
		if c.used != used {
			continue
		}
		if !c.hasUnreadBytes() {
			l.interrupt(c, closedIdleLongest)
			return true
		}
		checks++
	}
	return false
}

// evictSlowRequest ends the connection whose request has been arriving longest, if for more than slowRequestAfter, of
// those that wait for their client and have received more than minBytes. The caller holds l.mu.
func (l *clientListener) evictSlowRequest(minBytes int64, reason closeReason) bool {
	for element := l.receiving.Front(); element != nil; element = element.Next() {
		c := element.Value.(*clientConn)
		if time.Since(c.since) <= slowRequestAfter {
			return false
		}
		if c.reading.Load() && c.receivedBytes.Load() > minBytes {
			l.interrupt(c, reason)
			return true
		}
	}
	return false
}

// interrupt ends the reads and writes of a connection, which its goroutine then closes. The caller holds l.mu.
func (l *clientListener) interrupt(c *clientConn, reason closeReason) {
	l.evicting++
	c.evicted = true
	writing := c.list == &l.writing
	c.moveTo(nil)
	if writing {
		_ = c.SetWriteDeadline(expiredDeadline) // fails if the connection has ended already
	}
	c.interruptRead()
	l.closes.add(reason, "")
}

// evictForRequestMemory ends the connection whose request has been arriving longest, of those that hold memory.
func (l *clientListener) evictForRequestMemory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictSlowRequest(receiveBufferBytes, closedSlowRequestMemory)
}

// evictForResponseMemory ends the connection whose client has been reading its response longest, if for more than
// slowRequestAfter.
func (l *clientListener) evictForResponseMemory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := l.writing.Front()
	if longest == nil {
		return
	}
	if c := longest.Value.(*clientConn); time.Since(c.since) > slowRequestAfter {
		l.interrupt(c, closedSlowResponseMemory)
	}
}

// removed uncounts a connection that is closed.
func (l *clientListener) removed(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.moveTo(nil)
	delete(l.open, c)
	if c.used {
		l.used--
	}
	if c.evicted {
		l.evicting--
	}
	select {
	case l.closedOne <- struct{}{}:
	default:
	}
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

// closeAll closes all connections at once.
func (l *clientListener) closeAll() {
	l.mu.Lock()
	open := make([]*clientConn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

// aboveKeepAliveThreshold reports whether the first response on a connection should close it. Some clients send one
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
	return len(l.open)
}
