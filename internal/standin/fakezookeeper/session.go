package fakezookeeper

import (
	"bytes"
	"crypto/rand"
	"slices"
	"time"
)

// expireInterval is how often sessions are checked for their timeout.
const expireInterval = 10 * time.Millisecond

// A session's id has its number in the upper bits and the same suffix as all others.
const (
	sessionNumberShift = 8
	sessionIDSuffix    = 1
)

// session is a client's session. It outlives its connections.
type session struct {
	id       int64
	password []byte
	timeout  time.Duration // after which it ends if nothing was received
	lastSeen time.Time
	conn     *conn // nil between two connections
}

// openSession returns a new session, or one that has not ended, whose earlier connection it closes. It returns nil if
// there is no such session. It holds mu.
func (s *Service) openSession(request connectRequest) *session {
	if request.session == 0 {
		return s.newSession(time.Duration(request.timeoutMS) * time.Millisecond)
	}
	known := s.sessions[request.session]
	if known == nil || !bytes.Equal(known.password, request.password) {
		return nil
	}
	if known.conn != nil {
		known.conn.Close()
	}
	return known
}

// newSession adds a session. It holds mu.
func (s *Service) newSession(timeout time.Duration) *session {
	s.lastSession++
	opened := &session{
		id:       s.lastSession<<sessionNumberShift | sessionIDSuffix,
		password: make([]byte, passwordBytes),
		timeout:  timeout,
	}
	rand.Read(opened.password)
	s.sessions[opened.id] = opened
	return opened
}

// expireUntilStop ends sessions whose timeout is over, until the service is closed.
func (s *Service) expireUntilStop() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.expireSessions()
		}
	}
}

// expireSessions ends the sessions whose timeout is over, unless a member is unresponsive or rejects connections.
func (s *Service) expireSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.members, func(m *Member) bool { return m.unresponsive || m.rejecting }) {
		return
	}
	for _, known := range s.sessions {
		if time.Since(known.lastSeen) > known.timeout {
			s.endSession(known)
		}
	}
}

// endSession ends a session, with its nodes and its connection. It holds mu.
func (s *Service) endSession(ended *session) {
	s.forgetSession(ended.id)
	if ended.conn != nil {
		ended.conn.Close()
	}
}

// forgetSession removes a session and its nodes, and leaves its connection open. It holds mu.
func (s *Service) forgetSession(id int64) {
	delete(s.sessions, id)
	var owned []string
	for nodePath, n := range s.nodes {
		if n.owner == id {
			owned = append(owned, nodePath)
		}
	}
	slices.Sort(owned)
	for _, nodePath := range owned {
		s.remove(nodePath)
	}
}

// restartSessionTimeouts lets the timeout of every session begin now. It holds mu.
func (s *Service) restartSessionTimeouts() {
	now := time.Now()
	for _, known := range s.sessions {
		known.lastSeen = now
	}
}
