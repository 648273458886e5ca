package httpfront

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/httpmsg"
)

const (
	// maxReadAheadBytes is how many bytes are kept that come behind an open request. Clients send one
	// at a time: who sends so much more is none that waits for an answer.
	maxReadAheadBytes = 16 << 10
	readAheadChunk    = 4 << 10
	// slowRequestAfter is how long a request may be in coming before its connection may have to make
	// room: an application next door sends it in one piece.
	slowRequestAfter = 100 * time.Millisecond
	// acceptQuietTime is how long nobody must have connected for the listener to be closed: whoever is
	// in its queue then is reset.
	acceptQuietTime = 20 * time.Millisecond
	maxAcceptTime   = 100 * time.Millisecond // and it is closed by then, who ever connects
)

var errReadAhead = errors.New("too much has come behind an open request")

// expiredDeadline is a deadline that wakes whoever reads.
var expiredDeadline = time.Unix(1, 0)

// clientListener is the listener of the application's side. It bounds the connections
// as they are accepted: a limit that acts when a request comes would let silent
// connections use up the descriptors that attempts and discovery need.
type clientListener struct {
	net.Listener
	maxConnections     int
	keepAliveThreshold int
	stopping           atomic.Bool // once nobody connects any more

	mu        sync.Mutex
	open      int
	used      int       // of those, the ones that a request has come on
	idle      list.List // of *clientConn, with nothing come since the last answer; the longest so first
	receiving list.List // and those on which a request has begun to come, likewise
	closeIdle bool      // connections are closed once they wait
}

// Accept returns the next connection. Beyond the limit the connection that has
// waited longest for a request makes room; where all have one open, the new one
// is closed.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		closing := l.stopping.Load()
		if err != nil && closing {
			l.Close()
			return nil, net.ErrClosed
		} else if err != nil {
			return nil, err
		}
		if closing {
			l.extendDeadline()
		}
		c := &clientConn{Conn: raw, owner: l}
		if l.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// stopAccepting has the listener closed as soon as its queue is empty: those in it have connected, and
// may have sent their requests.
func (l *clientListener) stopAccepting() {
	time.AfterFunc(maxAcceptTime, func() { l.Close() })
	l.stopping.Store(true)
	if !l.extendDeadline() {
		l.Close()
	}
}

// extendDeadline gives those who still connect a moment longer. It says whether the listener can.
func (l *clientListener) extendDeadline() bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(acceptQuietTime)) == nil
}

// admit counts a new connection in. Where there is no room, another one goes for it.
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

// evict has a connection end on which no request is open. It holds l.mu.
func (l *clientListener) evict() bool {
	if longest := l.idle.Front(); longest != nil {
		c := longest.Value.(*clientConn)
		c.uncount()
		c.interruptRead()
		return true
	}
	if slowest := l.receiving.Front(); slowest != nil {
		if c := slowest.Value.(*clientConn); time.Since(c.receivingSince) > slowRequestAfter {
			c.uncount()
			c.Conn.Close()
			return true
		}
	}
	return false
}

// closeIdleConnections closes the connections that a request has come on and that wait for another, now
// and from now on.
func (l *clientListener) closeIdleConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle = true
	for at := l.idle.Front(); at != nil; at = at.Next() {
		if c := at.Value.(*clientConn); c.used {
			c.interruptRead()
		}
	}
}

// aboveKeepAliveThreshold says that so many connections have been asked on that answers should
// end theirs. Some clients ask once and keep the connection for good, and clients
// may hold only so many: kept here, these would leave none for the next request.
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

// clientConn is one connection of a client. It carries one request at a time.
type clientConn struct {
	net.Conn
	owner *clientListener

	// Under owner.mu.
	list           *list.List // owner.waiting or owner.begun; nil while a request is open
	element        *list.Element
	receivingSince time.Time // when the request came that is in coming
	used           bool      // a request has come on it
	uncounted      bool      // no longer counted
	closed         bool

	mu          sync.Mutex // net/http reads on while a handler runs
	head        httpmsg.HeadScan
	inFlight    bool   // a request is: what comes belongs to the next one
	readAhead   []byte // and is kept here meanwhile
	activeReads int    // calls of Read that wait
}

// moveTo moves a connection to one of its owner's lists, or to none. It holds owner.mu.
func (c *clientConn) moveTo(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	if c.list, c.element = to, nil; to != nil {
		c.element = to.PushBack(c)
	}
}

// uncount ends the counting of a connection. It holds owner.mu.
func (c *clientConn) uncount() {
	if c.uncounted {
		return
	}
	c.uncounted = true
	c.owner.open--
	if c.used {
		c.owner.used--
	}
	c.moveTo(nil)
}

// interruptRead has a connection that waits end by a deadline for reading in the past, not by
// closing it here: a request that has been read in this very moment is served all the same,
// and one that has not is still unread when net/http closes, which tells its client to send
// it again. It holds owner.mu.
func (c *clientConn) interruptRead() {
	_ = c.Conn.SetReadDeadline(expiredDeadline) // fails where the connection has ended already
}

// SetReadDeadline bounds reading, but a connection that waits for a request while the
// service ends is not to wait any longer.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.owner.closeIdle && c.used && c.list == &c.owner.idle {
		at = expiredDeadline
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	c.uncount()
	c.closed = true
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// Read reads for net/http. While a request is open it reads on by itself and keeps what
// comes: net/http reads one byte then to learn of the client's departure, and would never
// hear of it once that byte has come.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readRequest(p)
	if n > 0 {
		c.requestReceiving()
	}
	return n, err
}

// readRequest reads what comes while no request is open, and keeps the rest.
func (c *clientConn) readRequest(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeReads++
	defer func() { c.activeReads-- }()
	// In one step with each delivery: begin must not look in between.
	deliver := func(n int, err error) (int, error) {
		c.head.Scan(p[:n])
		return n, err
	}
	buffer, direct := p, true
	for c.inFlight || len(c.readAhead) == 0 {
		c.mu.Unlock()
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		if direct && !c.inFlight && len(c.readAhead) == 0 {
			return deliver(n, err)
		}
		c.readAhead = append(c.readAhead, buffer[:n]...)
		if n == 0 || c.inFlight && err != nil {
			return 0, err
		}
		if len(c.readAhead) > maxReadAheadBytes && c.inFlight {
			return 0, errReadAhead
		}
		if direct {
			buffer, direct = make([]byte, readAheadChunk), false
		}
	}
	n := copy(p, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return deliver(n, nil) // an error that came with it comes again
}

// requestReceiving marks that a request has begun to come.
func (c *clientConn) requestReceiving() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.closed || c.list == &c.owner.receiving {
		return
	}
	if c.uncounted { // it was to make room in this moment: it is served first
		c.uncounted = false
		c.owner.open++
		if c.used {
			c.owner.used++
		}
	} else if c.list == nil {
		return // of a request that is open
	}
	c.receivingSince = time.Now()
	c.moveTo(&c.owner.receiving)
}

// requestStarted marks that a request is open; false says that its connection has just
// had to make room. From here on what is read belongs to the next request. alone
// says that nothing came behind this one, whose body has this length (-1:
// unknown).
func (c *clientConn) requestStarted(length int64) (alone, ok bool) {
	c.mu.Lock()
	alone = length >= 0 && c.head.Size == c.head.End+length
	c.head = httpmsg.HeadScan{}
	c.inFlight = true
	c.mu.Unlock()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.uncounted {
		return alone, false
	}
	c.moveTo(nil)
	if !c.used {
		c.used = true
		c.owner.used++
	}
	return alone, true
}

// watchDisconnect calls gone when the client leaves, where net/http has stopped looking: a byte of
// what came behind the open request has reached it before begin.
func (c *clientConn) watchDisconnect(disconnected func()) {
	c.mu.Lock()
	watched := c.activeReads > 0
	c.mu.Unlock()
	if watched {
		return
	}
	go func() {
		for buffer := make([]byte, 1); ; {
			n, err := c.readRequest(buffer)
			if err != nil {
				disconnected()
				return
			}
			c.mu.Lock()
			open := c.inFlight
			c.mu.Unlock()
			if n > 0 && !open {
				return // the connection ends with its answer
			}
		}
	}()
}

// requestDone marks that the request has its answer.
func (c *clientConn) requestDone() {
	c.mu.Lock()
	c.inFlight = false
	c.mu.Unlock()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.uncounted && c.list == nil {
		c.moveTo(&c.owner.idle)
	}
}

// hasAmbiguousLength says whether the request's head states its body's length in two ways.
func (c *clientConn) hasAmbiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Lengths > 1 || c.head.Lengths > 0 && c.head.Coding
}
