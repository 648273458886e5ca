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
	// aheadMost is how many bytes are kept that come behind an open request. Clients send one
	// at a time: who sends so much more is none that waits for an answer.
	aheadMost = 16 << 10
	readChunk = 4 << 10
	// slowAfter is how long a request may be in coming before its connection may have to make
	// room: an application next door sends it in one piece.
	slowAfter = 100 * time.Millisecond
	// lastQuiet is how long nobody must have connected for the listener to be closed: whoever is
	// in its queue then is reset.
	lastQuiet = 20 * time.Millisecond
	lastMost  = 100 * time.Millisecond // and it is closed by then, who ever connects
)

var errAhead = errors.New("too much has come behind an open request")

// past is a deadline that wakes whoever reads.
var past = time.Unix(1, 0)

// clients is the listener of the application's side. It bounds the connections
// as they are accepted: a limit that acts when a request comes would let silent
// connections use up the descriptors that attempts and discovery need.
type clients struct {
	net.Listener
	most      int
	mostAsked int
	closing   atomic.Bool // once nobody connects any more

	mu      sync.Mutex
	open    int
	asked   int       // of those, the ones that a request has come on
	waiting list.List // of *clientConn, with nothing come since the last answer; the longest so first
	begun   list.List // and those on which a request has begun to come, likewise
	ending  bool      // connections are closed once they wait
}

// Accept returns the next connection. Beyond the limit the connection that has
// waited longest for a request makes room; where all have one open, the new one
// is closed.
func (l *clients) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		closing := l.closing.Load()
		if err != nil && closing {
			l.Close()
			return nil, net.ErrClosed
		} else if err != nil {
			return nil, err
		}
		if closing {
			l.extend()
		}
		c := &clientConn{Conn: raw, owner: l}
		if l.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// end has the listener closed as soon as its queue is empty: those in it have connected, and
// may have sent their requests.
func (l *clients) end() {
	time.AfterFunc(lastMost, func() { l.Close() })
	l.closing.Store(true)
	if !l.extend() {
		l.Close()
	}
}

// extend gives those who still connect a moment longer. It says whether the listener can.
func (l *clients) extend() bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(lastQuiet)) == nil
}

// admit counts a new connection in. Where there is no room, another one goes for it.
func (l *clients) admit(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.most && !l.makeRoom() {
		return false
	}
	l.open++
	c.put(&l.waiting)
	return true
}

// makeRoom has a connection end on which no request is open. It holds l.mu.
func (l *clients) makeRoom() bool {
	if longest := l.waiting.Front(); longest != nil {
		c := longest.Value.(*clientConn)
		c.leave()
		c.dismiss()
		return true
	}
	if slowest := l.begun.Front(); slowest != nil {
		if c := slowest.Value.(*clientConn); time.Since(c.begunAt) > slowAfter {
			c.leave()
			c.Conn.Close()
			return true
		}
	}
	return false
}

// retire closes the connections that a request has come on and that wait for another, now
// and from now on.
func (l *clients) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending = true
	for at := l.waiting.Front(); at != nil; at = at.Next() {
		if c := at.Value.(*clientConn); c.asked {
			c.dismiss()
		}
	}
}

// crowded says that so many connections have been asked on that answers should
// end theirs. Some clients ask once and keep the connection for good, and clients
// may hold only so many: kept here, these would leave none for the next request.
func (l *clients) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked > l.mostAsked
}

// count returns the number of open connections.
func (l *clients) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// clientConn is one connection of a client. It carries one request at a time.
type clientConn struct {
	net.Conn
	owner *clients

	// Under owner.mu.
	in      *list.List // owner.waiting or owner.begun; nil while a request is open
	place   *list.Element
	begunAt time.Time // when the request came that is in coming
	asked   bool      // a request has come on it
	left    bool      // no longer counted
	closed  bool

	mu      sync.Mutex // net/http reads on while a handler runs
	head    httpmsg.HeadScan
	open    bool   // a request is: what comes belongs to the next one
	ahead   []byte // and is kept here meanwhile
	reading int    // calls of Read that wait
}

// put moves a connection to one of its owner's lists, or to none. It holds owner.mu.
func (c *clientConn) put(to *list.List) {
	if c.in != nil {
		c.in.Remove(c.place)
	}
	if c.in, c.place = to, nil; to != nil {
		c.place = to.PushBack(c)
	}
}

// leave ends the counting of a connection. It holds owner.mu.
func (c *clientConn) leave() {
	if c.left {
		return
	}
	c.left = true
	c.owner.open--
	if c.asked {
		c.owner.asked--
	}
	c.put(nil)
}

// dismiss has a connection that waits end by a deadline for reading in the past, not by
// closing it here: a request that has been read in this very moment is served all the same,
// and one that has not is still unread when net/http closes, which tells its client to send
// it again. It holds owner.mu.
func (c *clientConn) dismiss() {
	_ = c.Conn.SetReadDeadline(past) // fails where the connection has ended already
}

// SetReadDeadline bounds reading, but a connection that waits for a request while the
// service ends is not to wait any longer.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.owner.ending && c.asked && c.in == &c.owner.waiting {
		at = past
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	c.leave()
	c.closed = true
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// Read reads for net/http. While a request is open it reads on by itself and keeps what
// comes: net/http reads one byte then to learn of the client's departure, and would never
// hear of it once that byte has come.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readOn(p)
	if n > 0 {
		c.came()
	}
	return n, err
}

// readOn reads what comes while no request is open, and keeps the rest.
func (c *clientConn) readOn(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading++
	defer func() { c.reading-- }()
	// In one step with each delivery: begin must not look in between.
	deliver := func(n int, err error) (int, error) {
		c.head.Scan(p[:n])
		return n, err
	}
	buffer, direct := p, true
	for c.open || len(c.ahead) == 0 {
		c.mu.Unlock()
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		if direct && !c.open && len(c.ahead) == 0 {
			return deliver(n, err)
		}
		c.ahead = append(c.ahead, buffer[:n]...)
		if n == 0 || c.open && err != nil {
			return 0, err
		}
		if len(c.ahead) > aheadMost && c.open {
			return 0, errAhead
		}
		if direct {
			buffer, direct = make([]byte, readChunk), false
		}
	}
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return deliver(n, nil) // an error that came with it comes again
}

// came marks that a request has begun to come.
func (c *clientConn) came() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.closed || c.in == &c.owner.begun {
		return
	}
	if c.left { // it was to make room in this moment: it is served first
		c.left = false
		c.owner.open++
		if c.asked {
			c.owner.asked++
		}
	} else if c.in == nil {
		return // of a request that is open
	}
	c.begunAt = time.Now()
	c.put(&c.owner.begun)
}

// begin marks that a request is open; false says that its connection has just
// had to make room. From here on what is read belongs to the next request. alone
// says that nothing came behind this one, whose body has this length (-1:
// unknown).
func (c *clientConn) begin(length int64) (alone, ok bool) {
	c.mu.Lock()
	alone = length >= 0 && c.head.Size == c.head.End+length
	c.head = httpmsg.HeadScan{}
	c.open = true
	c.mu.Unlock()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.left {
		return alone, false
	}
	c.put(nil)
	if !c.asked {
		c.asked = true
		c.owner.asked++
	}
	return alone, true
}

// watch calls gone when the client leaves, where net/http has stopped looking: a byte of
// what came behind the open request has reached it before begin.
func (c *clientConn) watch(gone func()) {
	c.mu.Lock()
	watched := c.reading > 0
	c.mu.Unlock()
	if watched {
		return
	}
	go func() {
		for buffer := make([]byte, 1); ; {
			n, err := c.readOn(buffer)
			if err != nil {
				gone()
				return
			}
			c.mu.Lock()
			open := c.open
			c.mu.Unlock()
			if n > 0 && !open {
				return // the connection ends with its answer
			}
		}
	}()
}

// done marks that the request has its answer.
func (c *clientConn) done() {
	c.mu.Lock()
	c.open = false
	c.mu.Unlock()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.left && c.in == nil {
		c.put(&c.owner.waiting)
	}
}

// ambiguous says whether the request's head states its body's length in two ways.
func (c *clientConn) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Lengths > 1 || c.head.Lengths > 0 && c.head.Coding
}
