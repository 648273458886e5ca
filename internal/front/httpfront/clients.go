package httpfront

import (
	"container/list"
	"net"
	"sync"

	"pinedale/internal/httpmsg"
)

// clients is the listener of the application's side. It bounds the connections
// as they are accepted: a limit that acts when a request comes would let silent
// connections use up the descriptors that attempts and discovery need.
type clients struct {
	net.Listener
	most      int
	mostAsked int

	mu      sync.Mutex
	open    int
	asked   int       // of those, the ones that a request has come on
	waiting list.List // of *clientConn, with no request open; the longest without one first
}

// Accept returns the next connection. Beyond the limit the connection that has
// waited longest for a request makes room; where all have one open, the new one
// is closed.
func (l *clients) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &clientConn{Conn: raw, owner: l}
		if old, ok := l.admit(c); ok {
			if old != nil {
				old.Conn.Close()
			}
			return c, nil
		}
		raw.Close()
	}
}

// admit counts a new connection in and names the one that must go for it, if any.
func (l *clients) admit(c *clientConn) (old *clientConn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.most {
		longest := l.waiting.Front()
		if longest == nil {
			return nil, false
		}
		old = longest.Value.(*clientConn)
		old.leave()
	}
	l.open++
	c.place = l.waiting.PushBack(c)
	return old, true
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
	place *list.Element // in owner.waiting; nil while a request is open
	asked bool          // a request has come on it
	left  bool          // no longer counted

	mu   sync.Mutex // net/http reads on while a handler runs
	head httpmsg.HeadScan
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
	if c.place != nil {
		c.owner.waiting.Remove(c.place)
		c.place = nil
	}
}

func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	c.leave()
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.head.Scan(p[:n])
	c.mu.Unlock()
	return n, err
}

// begin marks that a request is open; false says that its connection has just
// had to make room. From here on what is read belongs to the next request. alone
// says that nothing came behind this one, whose body has this length (-1:
// unknown).
func (c *clientConn) begin(length int64) (alone, ok bool) {
	c.mu.Lock()
	alone = length >= 0 && c.head.Size == c.head.End+length
	c.head = httpmsg.HeadScan{}
	c.mu.Unlock()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.left {
		return alone, false
	}
	c.owner.waiting.Remove(c.place)
	c.place = nil
	if !c.asked {
		c.asked = true
		c.owner.asked++
	}
	return alone, true
}

// done marks that the request has its answer.
func (c *clientConn) done() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.left && c.place == nil {
		c.place = c.owner.waiting.PushBack(c)
	}
}

// ambiguous says whether the request's head states its body's length in two ways.
func (c *clientConn) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Lengths > 1 || c.head.Lengths > 0 && c.head.Coding
}
