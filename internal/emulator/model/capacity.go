package model

// warmingLoadRatio is the load at which work warms a server as fast as time does, as a ratio of its capacity.
const warmingLoadRatio = 0.5

// Warmth returns the ratio of its full capacity that the server has now. The ratio rises to 1 during slow start.
func (s *Server) Warmth(now Time) float64 {
	if !s.warming || s.config.SlowStartTime <= 0 {
		return 1
	}
	progress := float64(now-s.startedAt) / float64(s.config.SlowStartTime)
	if s.config.WarmByWork {
		warmAfterWork := warmingLoadRatio * s.config.capacity() * s.config.SlowStartTime.Seconds()
		progress = max(progress, s.workDone/warmAfterWork)
	}
	return min(1, s.config.SlowStartRatio+(1-s.config.SlowStartRatio)*progress)
}

// rate returns the service rate of each running request: the work done on the request in a second.
func (s *Server) rate() float64 {
	running := len(s.running)
	if running == 0 || s.now < s.resumeAt {
		return 0
	}
	cores := float64(s.config.Cores)
	rate := s.config.Speed * min(1, cores/float64(running))
	excess := float64(running+len(s.queued))/cores - s.config.ThrashThreshold
	if excess > 0 && s.config.ThrashRatio > 0 {
		rate /= 1 + s.config.ThrashRatio*excess
	}
	for i := range s.faults {
		fault := &s.faults[i]
		if fault.slowsDown() && fault.active(s.now) {
			rate /= fault.SlowdownFactor
		}
	}
	return rate * s.Warmth(s.now)
}
