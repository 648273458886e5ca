package fakezookeeper

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// writeTimeout bounds the writing of one frame.
const writeTimeout = time.Second

// Lengths of fields, in bytes.
const (
	lengthBytes   = 4  // of a frame's length
	passwordBytes = 16 // of a session's password
)

// conn is one connection of a client to a member.
type conn struct {
	net.Conn
	member     *Member
	session    *session
	identities []string // digest identities that the client has authenticated as
	watches    map[watchKey]bool
	writeMu    sync.Mutex
}

// accept serves connections until the listener is closed.
func (m *Member) accept() {
	for {
		raw, err := m.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{
			Conn:    raw,
			member:  m,
			watches: map[watchKey]bool{},
		}
		if !c.register() {
			raw.Close()
			continue
		}
		m.service.stopped.Go(func() {
			c.serve()
			c.Close()
			c.unregister()
		})
	}
}

// register adds the connection to its member's. It reports false if the member rejects it.
func (c *conn) register() bool {
	s := c.member.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.member.rejecting {
		return false
	}
	c.member.conns[c] = true
	return true
}

// unregister removes the connection, which has ended, from its member and its session.
func (c *conn) unregister() {
	s := c.member.service
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(c.member.conns, c)
	if c.session != nil && c.session.conn == c {
		c.session.conn = nil
	}
}

// readFrame reads one frame and returns it without its length.
func (c *conn) readFrame() ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes exceeds the limit of %d bytes", length, maxFrameBytes)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(c, data)
	return data, err
}

// send writes one frame. A write error is ignored, because the connection's reader fails as well.
func (c *conn) send(w *writer) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = c.Write(w.seal())
}

// serve reads a connection's frames until it ends. As in ZooKeeper, a malformed frame ends it.
func (c *conn) serve() {
	data, err := c.readFrame()
	if err != nil {
		return
	}
	connectReq, err := parseConnect(data)
	if err != nil || !c.open(connectReq) {
		return
	}
	for {
		data, err := c.readFrame()
		if err != nil {
			return
		}
		r, err := parseRequest(data)
		if err != nil || !c.serveRequest(r) {
			return
		}
	}
}

// serveRequest responds to a request, unless the member is unresponsive. It reports whether the connection stays open.
func (c *conn) serveRequest(r request) bool {
	s := c.member.service
	s.mu.Lock()
	unresponsive, delay := c.member.unresponsive, c.member.delay
	if !unresponsive {
		c.member.requests[r.op]++
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
	return c.respond(r)
}

// open responds to a connect request with a new session, or with one that has not ended. It reports whether the
// connection stays open.
func (c *conn) open(connectReq connectRequest) bool {
	s := c.member.service
	s.mu.Lock()
	if c.member.unresponsive {
		s.mu.Unlock()
		_, _ = io.Copy(io.Discard, c) // until the client disconnects
		return false
	}
	if connectReq.zxid > s.zxid {
		// A member that is behind the client closes the connection, so that the client tries another.
		s.mu.Unlock()
		return false
	}
	c.session = s.openSession(connectReq)
	responseSession := c.session
	if responseSession == nil {
		responseSession = &session{password: make([]byte, passwordBytes)} // id 0 says that the session has ended
	} else {
		responseSession.conn = c
		responseSession.lastSeen = time.Now()
	}
	response := newFrame()
	response.connectResponse(responseSession)
	s.mu.Unlock()
	c.send(response)
	return c.session != nil
}
