package fakezookeeper

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	writeTimeout  = time.Second // of a frame
	passwordBytes = 16          // of a session's password
)

// conn is one connection of a client to a member.
type conn struct {
	net.Conn
	member  *Member
	session *session
	auth    []string // digest identities
	writeMu sync.Mutex
	watches map[watchKey]bool
}

// accept serves connections until the listener is closed.
func (m *Member) accept() {
	for {
		raw, err := m.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: raw, member: m, watches: map[watchKey]bool{}}
		if !c.add() {
			raw.Close()
			continue
		}
		m.service.stopped.Go(func() {
			c.serve()
			c.Close()
			c.remove()
		})
	}
}

// add adds a connection to its member's, unless the member rejects it.
func (c *conn) add() bool {
	s := c.member.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.member.rejecting {
		return false
	}
	c.member.conns[c] = true
	return true
}

// remove takes a connection that has ended from its member and its session.
func (c *conn) remove() {
	s := c.member.service
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(c.member.conns, c)
	if c.session != nil && c.session.conn == c {
		c.session.conn = nil
	}
}

// readFrame reads one frame.
func (c *conn) readFrame() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("a frame of %d bytes", n)
	}
	data := make([]byte, n)
	_, err := io.ReadFull(c, data)
	return data, err
}

// send writes one frame. The connection's reader finds out where that fails.
func (c *conn) send(w *writer) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = c.Write(w.seal())
}

// serve reads a connection's frames until it ends. One that can't be read ends it,
// as ZooKeeper's does.
func (c *conn) serve() {
	data, err := c.readFrame()
	if err != nil {
		return
	}
	in, err := parseConnect(data)
	if err != nil || !c.open(in) {
		return
	}
	for {
		data, err := c.readFrame()
		if err != nil {
			return
		}
		q, err := parseRequest(data)
		if err != nil || !c.serveRequest(q) {
			return
		}
	}
}

// serveRequest answers a request as the member's script says. False ends the connection.
func (c *conn) serveRequest(q request) bool {
	s := c.member.service
	s.mu.Lock()
	unresponsive, delay := c.member.unresponsive, c.member.delay
	if !unresponsive {
		c.member.Requests[q.op]++
	}
	s.mu.Unlock()
	if unresponsive {
		return true
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-s.stop:
			return false
		}
	}
	return c.answer(q)
}

// open takes a connect request: a new session, or one that still lives. Session 0
// in the answer says that it does not.
func (c *conn) open(in connect) bool {
	s := c.member.service
	s.mu.Lock()
	if c.member.unresponsive {
		s.mu.Unlock()
		_, _ = io.Copy(io.Discard, c) // until the client has had enough
		return false
	}
	if in.zxid > s.zxid {
		// A member that is behind the client closes, so that it tries another.
		s.mu.Unlock()
		return false
	}
	c.session = s.openSession(in)
	opened := c.session
	if opened != nil {
		opened.conn, opened.lastSeen = c, time.Now()
	} else {
		opened = &session{password: make([]byte, passwordBytes)}
	}
	out := frame()
	out.int32(0)
	out.int32(int32(opened.timeout.Milliseconds()))
	out.int64(opened.id)
	out.buffer(opened.password)
	s.mu.Unlock()
	c.send(out)
	return c.session != nil
}
