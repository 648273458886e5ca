package fakezookeeper

import (
	"bytes"
	"crypto/rand"
	"slices"
	"time"
)

// expireInterval is how often sessions are looked at.
const expireInterval = 10 * time.Millisecond

// session is a client's session. It outlives its connections.
type session struct {
	id       int64
	password []byte
	timeout  time.Duration // after which it ends if nothing was received
	lastSeen time.Time
	conn     *conn // nil between two connections
}

// openSession opens a new session, or finds one that still lives and ends its former connection. It
// returns nil if there is no such session. It holds mu.
func (s *Service) openSession(in connect) *session {
	if in.session == 0 {
		s.lastSession++
		opened := &session{
			id:       s.lastSession<<8 | 1,
			password: make([]byte, passwordBytes),
			timeout:  time.Duration(in.timeout) * time.Millisecond,
		}
		rand.Read(opened.password)
		s.sessions[opened.id] = opened
		return opened
	}
	known := s.sessions[in.session]
	if known == nil || !bytes.Equal(known.password, in.password) {
		return nil
	}
	if known.conn != nil {
		known.conn.Close()
	}
	return known
}

// expire ends sessions of which nothing was received for their time-out, until the service is closed.
func (s *Service) expire() {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		s.expireSessions()
		s.mu.Unlock()
	}
}

// expireSessions ends the sessions whose time-out is over, unless a member is out of order. It holds mu.
func (s *Service) expireSessions() {
	if slices.ContainsFunc(s.members, func(m *Member) bool { return m.unresponsive || m.rejecting }) {
		return
	}
	for _, c := range s.sessions {
		if time.Since(c.lastSeen) > c.timeout {
			s.end(c)
		}
	}
}

// end ends a session. It holds mu.
func (s *Service) end(c *session) {
	delete(s.sessions, c.id)
	var owned []string
	for p, n := range s.nodes {
		if n.owner == c.id {
			owned = append(owned, p)
		}
	}
	slices.Sort(owned)
	for _, p := range owned {
		s.remove(p)
	}
	if c.conn != nil {
		c.conn.Close()
	}
}
