package model

import (
	"math"
	"slices"
	"time"
)

const (
	// warmingStep is the longest time for which the service rate of a warming server is treated as constant.
	warmingStep = 50 * time.Millisecond
	// minRemainingWork is the remaining work, in seconds, up to which a request counts as done: it is a rounding error.
	minRemainingWork = 1e-12
)

// NextEvent returns when the server's state next changes without a call. Advance must be called by then.
func (s *Server) NextEvent() Time {
	next := Never
	if len(s.scheduled) > 0 {
		next = s.scheduled[0].At
	}
	if s.down {
		return next
	}
	if rate := s.rate(); rate > 0 {
		return min(next, s.nextWorkEvent(rate))
	}
	if len(s.running) > 0 { // the server is paused
		return min(next, s.resumeAt)
	}
	return next
}

// nextWorkEvent returns when the next request is done at this service rate, or when the rate changes if that is
// earlier.
func (s *Server) nextWorkEvent(rate float64) Time {
	shortest := math.Inf(1)
	for _, job := range s.running {
		shortest = min(shortest, job.remaining)
	}
	roundedUp := math.Ceil(shortest / rate * float64(time.Second)) // at an earlier event, the work would be unfinished
	next := min(s.now+time.Duration(roundedUp), s.nextPause)
	if s.warming && s.Warmth(s.now) < 1 {
		next = min(next, s.now+warmingStep)
	}
	for i := range s.faults {
		fault := &s.faults[i]
		if !fault.slowsDown() {
			continue
		}
		if fault.From > s.now {
			next = min(next, fault.From)
		}
		if fault.Until > s.now {
			next = min(next, fault.Until)
		}
	}
	return next
}

// Advance advances the server's time and returns the requests that have completed, in order.
func (s *Server) Advance(now Time) []Completion {
	var completed []Completion
	for {
		next := s.NextEvent()
		if next > now {
			break
		}
		s.advanceWork(next)
		completed = append(completed, s.takeScheduled(next)...)
		s.startPause()
		completed = append(completed, s.takeFinished()...)
		s.fillSlots()
	}
	if now > s.now {
		s.advanceWork(now)
	}
	return completed
}

// advance is Advance for callers that return no completions. It schedules them again for the next call of Advance.
func (s *Server) advance(now Time) {
	for _, c := range s.Advance(now) {
		s.scheduleCompletion(c)
	}
}

// advanceWork processes the running requests until an instant. The service rate must be constant until then.
func (s *Server) advanceWork(until Time) {
	if rate := s.rate(); rate > 0 {
		work := rate * (until - s.now).Seconds()
		for _, job := range s.running {
			job.remaining = max(0, job.remaining-work)
			s.workDone += work
		}
	}
	s.now = max(s.now, until)
	s.recordReports()
	if s.warming && s.Warmth(s.now) >= 1 {
		s.warming, s.recentWork = false, nil
	}
}

// takeScheduled removes and returns the scheduled completions up to an instant.
func (s *Server) takeScheduled(until Time) []Completion {
	count := 0
	for count < len(s.scheduled) && s.scheduled[count].At <= until {
		count++
	}
	taken := s.scheduled[:count]
	s.scheduled = s.scheduled[count:]
	return taken
}

// takeFinished removes the running requests whose work is done and returns their completions.
func (s *Server) takeFinished() []Completion {
	var completed []Completion
	for _, job := range s.running {
		if job.remaining <= minRemainingWork {
			completed = append(completed, Completion{Number: job.Number, Outcome: job.outcome, At: s.now})
		}
	}
	s.running = slices.DeleteFunc(s.running, func(j *job) bool { return j.remaining <= minRemainingWork })
	return completed
}

// startPause starts a pause if one is due, and draws the start of the next.
func (s *Server) startPause() {
	if s.nextPause > s.now {
		return
	}
	s.resumeAt = s.now + s.drawPause(s.config.PauseDuration)
	s.nextPause = s.resumeAt + s.drawPause(s.config.PauseInterval)
}

// fillSlots moves requests from the queue into free slots.
func (s *Server) fillSlots() {
	for len(s.running) < s.config.slots() && len(s.queued) > 0 {
		s.running = append(s.running, s.queued[0])
		s.queued = slices.Delete(s.queued, 0, 1)
	}
}
