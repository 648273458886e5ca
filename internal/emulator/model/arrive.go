package model

import (
	"cmp"
	"slices"
	"time"
)

// noWorkResponseTime is the time until a response to a request that needs no work.
const noWorkResponseTime = time.Millisecond

// Arrive passes a request to the server. It returns the requests that have completed by now, including this one if the
// server rejects it or its connection fails. Advance returns the completions of all other requests.
func (s *Server) Arrive(now Time, r Request) []Completion {
	completed := s.Advance(now)
	if s.down {
		return append(completed, Completion{Number: r.Number, Outcome: ConnectionFailed, At: now})
	}
	work := s.workOf(now, &r)
	if s.addLoad(now, work) {
		completed = append(completed, s.Advance(now)...)
		return append(completed, Completion{Number: r.Number, Outcome: ConnectionFailed, At: now})
	}
	effect, outcome := s.injectFaults(now, r.faultSeed())
	switch effect {
	case effectIgnored:
		return completed
	case effectRejected:
		return append(completed, Completion{Number: r.Number, Outcome: Rejected, At: now})
	case effectFailedFast:
		s.recentErrors = append(s.recentErrors, now)
		s.scheduleCompletion(Completion{Number: r.Number, Outcome: Failed, At: now + noWorkResponseTime})
		return completed
	}
	if !s.admit(now, &job{Request: r, remaining: work, outcome: outcome}) {
		completed = append(completed, Completion{Number: r.Number, Outcome: Rejected, At: now})
	}
	return completed
}

// workOf returns the work of a request, in seconds of a core of speed 1.
func (s *Server) workOf(now Time, r *Request) float64 {
	work := r.Work.Seconds()
	if s.cache.touch(now, r.AffinityKey, s.config.KeyCacheSize, s.config.KeyCacheTTL) {
		work *= 1 - s.config.KeyCacheSavings
	}
	return work
}

// admit starts or queues a request, or answers it if it is a duplicate. It returns false if the queue is full.
func (s *Server) admit(now Time, j *job) bool {
	busy := len(s.running) >= s.config.slots()
	if busy && len(s.queued) >= s.config.queueSize() {
		return false
	}
	// A duplicate is dropped on arrival: the first run has had its effect, or will have it.
	if j.Key != "" && !s.dedup.Execute(now, j.Class, j.Key, s.group) {
		if j.outcome == Served {
			j.outcome = Deduplicated
		}
		s.scheduleCompletion(Completion{Number: j.Number, Outcome: j.outcome, At: now + noWorkResponseTime})
		return true
	}
	if busy {
		s.queued = append(s.queued, j)
	} else {
		s.running = append(s.running, j)
	}
	return true
}

// scheduleCompletion schedules the completion of a request that needs no more work.
func (s *Server) scheduleCompletion(c Completion) {
	byTime := func(a, b Completion) int { return cmp.Compare(a.At, b.At) }
	i, _ := slices.BinarySearchFunc(s.scheduled, c, byTime)
	s.scheduled = slices.Insert(s.scheduled, i, c)
}
