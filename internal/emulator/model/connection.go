package model

import "time"

// Connect opens a connection, which costs the server Config.HandshakeWork. It returns false if the server is down,
// collapses or has reached its connection limit.
func (s *Server) Connect(now Time) bool {
	s.advance(now)
	limit := s.config.MaxConnections
	if s.down || limit > 0 && s.connections >= limit {
		return false
	}
	s.connections++
	s.addOverhead(now, s.config.HandshakeWork)
	return !s.down
}

// Disconnect closes a connection.
func (s *Server) Disconnect() { s.connections = max(0, s.connections-1) }

// addOverhead adds work that delays the running requests, divided equally among them.
func (s *Server) addOverhead(now Time, work time.Duration) {
	if s.addLoad(now, work.Seconds()) {
		return
	}
	for _, job := range s.running {
		job.remaining += work.Seconds() / float64(len(s.running))
	}
}
