package model

import "slices"

// arrivedWork is work that arrived at a warming server, in seconds of a core of speed 1.
type arrivedWork struct {
	at   Time
	work float64
}

// PeakOverloadRatio returns how close the server has come to a collapse while it was warming: the highest ratio of the
// work that arrived within an overload window to the work that makes it collapse. Handshakes and probes count as work.
func (s *Server) PeakOverloadRatio() float64 { return s.peakOverloadRatio }

// CollapsedAt returns when the server collapsed, Never if it did not.
func (s *Server) CollapsedAt() Time { return s.collapsedAt }

// addLoad records work that arrives at a warming server. It returns true if the server collapses, which fails the
// connections of all its requests.
func (s *Server) addLoad(now Time, work float64) bool {
	if !s.warming || s.config.OverloadMultiple <= 0 {
		return false
	}
	s.recentWork = append(s.recentWork, arrivedWork{at: now, work: work})
	expired := 0
	for expired < len(s.recentWork) && s.recentWork[expired].at <= now-s.config.OverloadWindow {
		expired++
	}
	s.recentWork = slices.Delete(s.recentWork, 0, expired)
	sum := 0.0
	for _, arrived := range s.recentWork {
		sum += arrived.work
	}
	capacity := s.config.capacity() * s.Warmth(now)
	limit := s.config.OverloadMultiple * capacity * s.config.OverloadWindow.Seconds()
	s.peakOverloadRatio = max(s.peakOverloadRatio, sum/limit)
	if sum <= limit {
		return false
	}
	s.down, s.collapsedAt = true, now
	for _, dropped := range s.dropAll(now) {
		s.scheduleCompletion(dropped)
	}
	return true
}
