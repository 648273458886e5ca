package httpfront

import "time"

const (
	// defaultAcceptTime is how long new connections are accepted after SIGTERM, since clients go on
	// connecting for 0.4 s.
	defaultAcceptTime = 600 * time.Millisecond

	// The platform kills the process no earlier than killDelay plus the longest class deadline after SIGTERM, where
	// a deadline counts as at most maxKillDelay. Requests in flight are answered killMargin earlier, so that the
	// responses reach their clients.
	maxKillDelay = 3 * time.Second
	killDelay    = 700 * time.Millisecond
	killMargin   = 250 * time.Millisecond
	// exitDelay is how long after the drain timeout Serve returns even if a client still holds a connection open.
	exitDelay = 100 * time.Millisecond

	drainInterval = 5 * time.Millisecond // between checks whether draining is complete
)

// drain ends the service without losing a request. Idle connections are closed at once, while a client that was just
// sending a request can still open a new one; every later response closes its connection. served is closed when the
// listener is.
func (s *Server) drain(served <-chan struct{}) {
	longest := s.dispatcher.LongestDeadline()
	began := time.Now()
	end := began.Add(s.opts.DrainTimeout(longest))
	s.drainDeadline.Store(s.engine.Now() + time.Until(end).Microseconds())
	s.clients.closeIdleConnections()
	stopped, accepting, expired := false, true, false
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for ; ; <-ticker.C {
		now := time.Now()
		if !stopped && now.Sub(began) >= s.opts.AcceptFor {
			s.clients.stopAccepting()
			stopped = true
		}
		select {
		case <-served:
			accepting = false
		default:
		}
		if !expired && !now.Before(end) {
			go s.engine.Post(s.engine.ExpireAll)
			expired = true
		}
		complete := !accepting && s.clients.count() == 0
		if complete || now.Sub(end) >= exitDelay {
			s.Close() // its error is that of the listener, which is closed already
			return
		}
	}
}
