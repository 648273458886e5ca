package model

// Fault is a scripted fault of a server during an interval. Ratios are of requests.
type Fault struct {
	From, Until     Time
	FailFastRatio   float64 // fail at once, while the server appears healthy
	UnansweredRatio float64 // run and get no response
	RejectRatio     float64 // are rejected before they run
	FailLateRatio   float64 // fail once their work is done
	ResetRatio      float64 // lose their connection once their work is done
	Unresponsive    bool    // the server answers neither requests nor probes
	SlowdownFactor  float64 // multiplies the time that work takes; probes are answered as before
}

// active reports whether the fault affects the server now.
func (f *Fault) active(now Time) bool { return now >= f.From && now < f.Until }

// slowsDown reports whether the fault has an effect on the service rate.
func (f *Fault) slowsDown() bool { return f.SlowdownFactor > 1 }

// faultEffect is the effect of a fault on an arriving request.
type faultEffect uint8

const (
	effectNone       faultEffect = iota // the request is admitted
	effectIgnored                       // the server does not react
	effectRejected                      // the server rejects the request
	effectFailedFast                    // the server fails the request at once
)

// injectFaults draws the effect of the active faults on an arriving request, and the outcome of the request if it is
// admitted.
func (s *Server) injectFaults(now Time, seed uint64) (effect faultEffect, outcome Outcome) {
	outcome = Served
	for i := range s.faults {
		fault := &s.faults[i]
		switch {
		case !fault.active(now):
			continue
		case fault.Unresponsive:
			return effectIgnored, outcome
		case s.draw(seed, purposeReject) < fault.RejectRatio:
			return effectRejected, outcome
		case s.draw(seed, purposeFailFast) < fault.FailFastRatio:
			return effectFailedFast, outcome
		}
		if late, ok := fault.lateOutcome(s.draw(seed, purposeLate)); ok {
			outcome = late
		}
	}
	return effectNone, outcome
}

// lateOutcome returns the outcome that the fault gives a request once its work is done; false if it has none. draw is
// a random number in [0, 1).
func (f *Fault) lateOutcome(draw float64) (Outcome, bool) {
	switch {
	case draw < f.FailLateRatio:
		return Failed, true
	case draw < f.FailLateRatio+f.ResetRatio:
		return ConnectionFailed, true
	case draw < f.FailLateRatio+f.ResetRatio+f.UnansweredRatio:
		return Unanswered, true
	}
	return Served, false
}

// unresponsive reports whether the server answers neither requests nor probes now.
func (s *Server) unresponsive(now Time) bool {
	for i := range s.faults {
		if s.faults[i].Unresponsive && s.faults[i].active(now) {
			return true
		}
	}
	return false
}
