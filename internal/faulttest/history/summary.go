package history

import (
	"slices"
	"time"
)

// Summary counts the attempts of one or more histories.
type Summary struct {
	Effects         int         // requested by clients
	Attempts        int         // at effects
	Served          int         // effects for which a client received a successful response
	ByStatus        map[int]int // responses by HTTP status
	Cancelled       int
	Unanswered      int
	Broken          int
	InstanceChanges int // attempts with a key at another instance than the previous attempt

	MedianLatency time.Duration // of successful attempts
	P99Latency    time.Duration // of successful attempts
}

// attemptID identifies an attempt within a history.
type attemptID struct {
	effect string
	number int
}

// Summarize summarizes the attempts of the history.
func (h *History) Summarize() Summary {
	summary := Summary{Attempts: len(h.Attempts), ByStatus: map[int]int{}}
	served := map[string]bool{}
	var latencies []time.Duration
	for i := range h.Attempts {
		attempt := &h.Attempts[i]
		summary.count(attempt)
		if attempt.succeeded() {
			served[attempt.Effect] = true
			latencies = append(latencies, attempt.Ended-attempt.Requested)
		}
	}
	summary.Served = len(served)
	summary.InstanceChanges = h.countInstanceChanges()
	slices.Sort(latencies)
	if count := len(latencies); count > 0 {
		summary.MedianLatency = latencies[count/2]
		summary.P99Latency = latencies[count*99/100]
	}
	return summary
}

// count adds an attempt's effect and outcome to the counts.
func (s *Summary) count(attempt *Attempt) {
	if attempt.Number == 0 {
		s.Effects++
	}
	switch attempt.Outcome {
	case Answered:
		s.ByStatus[attempt.Status]++
	case Cancelled:
		s.Cancelled++
	case Unanswered:
		s.Unanswered++
	case Broken:
		s.Broken++
	}
}

// countInstanceChanges counts the attempts with a key that went to another instance than the previous attempt.
func (h *History) countInstanceChanges() int {
	instances := map[attemptID]string{}
	for i := range h.Attempts {
		attempt := &h.Attempts[i]
		instances[attemptID{attempt.Effect, attempt.Number}] = attempt.Instance
	}
	changes := 0
	for i := range h.Attempts {
		attempt := &h.Attempts[i]
		previous, ok := instances[attemptID{attempt.Effect, attempt.Number - 1}]
		if ok && attempt.HasKey && previous != attempt.Instance {
			changes++
		}
	}
	return changes
}

// Add adds the counts of another summary. It does not change the latencies.
func (s *Summary) Add(other Summary) {
	s.Effects += other.Effects
	s.Attempts += other.Attempts
	s.Served += other.Served
	s.Cancelled += other.Cancelled
	s.Unanswered += other.Unanswered
	s.Broken += other.Broken
	s.InstanceChanges += other.InstanceChanges
	if s.ByStatus == nil {
		s.ByStatus = map[int]int{}
	}
	for status, count := range other.ByStatus {
		s.ByStatus[status] += count
	}
}

// ServedPercent returns the percentage of effects that were served.
func (s *Summary) ServedPercent() float64 {
	return 100 * float64(s.Served) / float64(max(1, s.Effects))
}
