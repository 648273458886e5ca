package httpfront

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"

	"pinedale/internal/httpmsg"
)

const (
	// maxReadAheadBytes bounds the buffered bytes that a client sends after a request in flight. Clients send one
	// request at a time; one that exceeds the limit does not wait for responses.
	maxReadAheadBytes = 16 << 10
	readAheadChunk    = 4 << 10
)

var errReadAheadLimit = errors.New("too many bytes received after a request in flight")

// clientConn is one connection of a client. It carries one request at a time.
//
// Its state is given by the list that it is in: idle, receiving (part of a request was received) or none (a request
// is in flight). A connection that is evicted or closed is uncounted and in no list.
type clientConn struct {
	net.Conn
	owner *clientListener

	// Guarded by owner.mu.
	list           *list.List // owner.idle, owner.receiving or nil
	element        *list.Element
	receivingSince time.Time // when the first byte of the request that is arriving was received
	used           bool      // it has carried a request
	uncounted      bool      // evicted or closed: not in owner.open
	closed         bool

	mu          sync.Mutex // guards the fields below: net/http reads while a handler runs
	head        httpmsg.HeadScan
	inFlight    bool   // a request is in flight: what is received belongs to the next one
	readAhead   []byte // received while a request was in flight, not yet returned by Read
	activeReads int    // calls of readNextRequest that are running
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
}

// uncount removes a connection from its owner's counts and lists. The caller holds owner.mu.
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

// interruptRead ends an idle connection by an expired read deadline, after which net/http closes it. It is not closed
// here, so that a request that is read at the same time is still served. A request that arrives later is still unread
// when net/http closes the connection, so that its client may send it again. The caller holds owner.mu.
func (c *clientConn) interruptRead() {
	_ = c.Conn.SetReadDeadline(expiredDeadline) // fails if the connection has ended already
}

// SetReadDeadline sets the deadline for reading. The deadline of an idle connection stays expired once idle
// connections are being closed: net/http would otherwise undo interruptRead.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.owner.closeIdle && c.used && c.list == &c.owner.idle {
		at = expiredDeadline
	}
	return c.Conn.SetReadDeadline(at)
}

// Close closes the connection and uncounts it.
func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	c.uncount()
	c.closed = true
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// Read reads for net/http. While a request is in flight it reads ahead and buffers what it receives: net/http then
// reads a single byte to detect a disconnect, and could not detect one after that byte has arrived.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readNextRequest(p)
	if n > 0 {
		c.requestReceiving()
	}
	return n, err
}

// readNextRequest returns bytes of the next request: those that were read ahead, or else those that are
// received while no request is in flight. While one is in flight, it reads ahead.
func (c *clientConn) readNextRequest(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeReads++
	defer func() { c.activeReads-- }()
	// deliver scans the bytes under the lock that is held until they are returned: requestStarted must see both or
	// neither.
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
			return 0, errReadAheadLimit
		}
		if direct {
			buffer, direct = make([]byte, readAheadChunk), false
		}
	}
	n := copy(p, c.readAhead)
	c.readAhead = c.readAhead[n:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return deliver(n, nil) // an error received with these bytes is returned by the next Read
}

// requestReceiving records that a part of a request has been received.
func (c *clientConn) requestReceiving() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.closed || c.list == &c.owner.receiving {
		return
	}
	if c.uncounted { // evicted concurrently: the request is still served
		c.uncounted = false
		c.owner.open++
		if c.used {
			c.owner.used++
		}
	} else if c.list == nil {
		return // the bytes belong to the request in flight
	}
	c.receivingSince = time.Now()
	c.moveTo(&c.owner.receiving)
}

// requestStarted records that a request is in flight: bytes received from now on belong to the next one. bodyLength
// is the length of its body, -1 if unknown. alone reports whether nothing was received after the request, ok whether
// its connection has not been evicted in the meantime.
func (c *clientConn) requestStarted(bodyLength int64) (alone, ok bool) {
	c.mu.Lock()
	alone = bodyLength >= 0 && c.head.ScannedBytes == c.head.HeaderBytes+bodyLength
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

// watchDisconnect calls disconnected when the client disconnects, if net/http no longer watches for that. net/http
// stops watching when it has read a byte that followed the request and was received before requestStarted. The
// goroutine ends with the connection, or at the first byte that is received after the response.
func (c *clientConn) watchDisconnect(disconnected func()) {
	c.mu.Lock()
	watched := c.activeReads > 0
	c.mu.Unlock()
	if watched {
		return
	}
	go func() {
		buffer := make([]byte, 1)
		for {
			n, err := c.readNextRequest(buffer)
			if err != nil {
				disconnected()
				return
			}
			c.mu.Lock()
			inFlight := c.inFlight
			c.mu.Unlock()
			if n > 0 && !inFlight {
				return // the connection is closed after its response
			}
		}
	}()
}

// requestDone records that the request in flight has its response.
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

// hasAmbiguousLength reports whether the request's header states the length of its body more than once.
func (c *clientConn) hasAmbiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.ContentLengthLines > 1 || c.head.ContentLengthLines > 0 && c.head.HasTransferEncoding
}
