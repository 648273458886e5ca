package fakezookeeper

import (
	"bytes"
	"crypto/rand"
	"slices"
	"time"
)

// expireInterval is how often sessions are checked for their timeout.
const expireInterval = 10 * time.Millisecond

// A session's id consists of its number, in the upper bits, and a suffix that is the same for all sessions.
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
// there is no such session. The caller holds mu.
func (s *Service) openSession(request connectRequest) *session {
	if request.session == 0 {
		return s.newSession(time.Duration(request.timeoutMS) * time.Millisecond)
	}
	sess := s.sessions[request.session]
	if sess == nil || !bytes.Equal(sess.password, request.password) {
		return nil
	}
	if sess.conn != nil {
		sess.conn.Close()
	}
	return sess
}

// newSession adds a session. The caller holds mu.
func (s *Service) newSession(timeout time.Duration) *session {
	s.lastSession++
	sess := &session{
		id:       s.lastSession<<sessionNumberShift | sessionIDSuffix,
		password: make([]byte, passwordBytes),
		timeout:  timeout,
	}
	rand.Read(sess.password)
	s.sessions[sess.id] = sess
	return sess
}

// expireUntilStop ends sessions whose timeout has passed, until the service is closed.
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

// expireSessions ends the sessions whose timeout has passed, unless a member is unresponsive or rejects connections.
func (s *Service) expireSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.members, func(m *Member) bool { return m.unresponsive || m.rejecting }) {
		return
	}
	for _, sess := range s.sessions {
		if time.Since(sess.lastSeen) > sess.timeout {
			s.endSession(sess)
		}
	}
}

// endSession ends a session, with its nodes and its connection. The caller holds mu.
func (s *Service) endSession(sess *session) {
	s.removeSession(sess.id)
	if sess.conn != nil {
		sess.conn.Close()
	}
}

// removeSession removes a session and its nodes, and leaves its connection open. The caller holds mu.
func (s *Service) removeSession(id int64) {
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

// restartSessionTimeouts restarts the timeout of every session. The caller holds mu.
func (s *Service) restartSessionTimeouts() {
	now := time.Now()
	for _, sess := range s.sessions {
		sess.lastSeen = now
	}
}
