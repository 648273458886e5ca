package plan

import (
	"fmt"
	"slices"
	"time"
)

// Tally counts first tries by how they ended at last.
type Tally struct {
	Requested, InTime, Late, Rejected, Failed int
}

func (t *Tally) add(o Tally) {
	t.Requested, t.InTime, t.Late = t.Requested+o.Requested, t.InTime+o.InTime, t.Late+o.Late
	t.Rejected, t.Failed = t.Rejected+o.Rejected, t.Failed+o.Failed
}

// Second is one second of a play, by the start of the first try.
type Second struct {
	Classes        []Tally
	ResponseMillis []float32 // of those served, milliseconds, unordered
	Attempts       []int32   // attempts at each server
}

// Total sums the classes.
func (s *Second) Total() (t Tally) {
	for _, c := range s.Classes {
		t.add(c)
	}
	return t
}

// Quantile is a quantile of the times to an answer; 0 if nothing was served.
func (s *Second) Quantile(q float64) time.Duration {
	if len(s.ResponseMillis) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.ResponseMillis))
	at := min(len(sorted)-1, int(q*float64(len(sorted))))
	return time.Duration(float64(sorted[at]) * float64(time.Millisecond))
}

// Result is what came of a play.
type Result struct {
	Classes          []Tally
	Tenants          []Tally
	Seconds          []Second
	Attempts         []int // attempts at each server
	ClientAttempts   int   // first ones and retries
	Probes           int
	Connections      int     // open at once, at most
	Handshakes       int     // connections opened; on virtual time alone
	PeakStrain       float64 // of the cold server that came nearest to its fall, 1 being that; on virtual time alone
	HandshakesDenied int     // attempts and probes that had no turn for a handshake
	PeakHandshakes   int     // handshakes that one server had in one second of the play, at most

	shakes []int // by server, in the second that is counted now
	second int

	// What must not be.
	Unanswered       int   // tries without a final answer in time, or with two
	DuplicateEffects int   // effects done twice
	SentAfterDrain   int   // sends later than the grace after a drain was told
	Collapsed        []int // servers that fell over
}

// NewResult returns a result of nothing yet.
func (s *Scenario) NewResult() *Result {
	r := &Result{Classes: make([]Tally, len(s.Classes)), Tenants: make([]Tally, len(s.Tenants)), Attempts: make([]int, len(s.Servers)),
		Seconds: make([]Second, int((s.Length+time.Second-1)/time.Second))}
	for i := range r.Seconds {
		r.Seconds[i].Classes, r.Seconds[i].Attempts = make([]Tally, len(s.Classes)), make([]int32, len(s.Servers))
	}
	return r
}

// RecordHandshake counts a handshake.
func (r *Result) RecordHandshake(server int, at Time) {
	if second := int(at / time.Second); second != r.second || r.shakes == nil {
		r.second, r.shakes = second, make([]int, len(r.Attempts))
	}
	r.Handshakes++
	r.shakes[server]++
	r.PeakHandshakes = max(r.PeakHandshakes, r.shakes[server])
}

// RecordAttempt counts an attempt.
func (r *Result) RecordAttempt(server int, at Time) {
	r.Attempts[server]++
	if i := int(at / time.Second); i < len(r.Seconds) {
		r.Seconds[i].Attempts[server]++
	}
}

// RecordOutcome counts how a client's wish ended.
func (r *Result) RecordOutcome(s *Scenario, t *Request, code int, now Time) {
	c, took := &s.Classes[t.Class], now-t.At
	one := Tally{Requested: 1}
	second := &r.Seconds[int(t.At/time.Second)]
	switch code {
	case 200:
		if took <= time.Duration(c.LatencyObjective)*time.Microsecond {
			one.InTime = 1
		} else {
			one.Late = 1
		}
		second.ResponseMillis = append(second.ResponseMillis, float32(took.Seconds()*1e3))
	case 503:
		one.Rejected = 1
	default:
		one.Failed = 1
	}
	r.Classes[t.Class].add(one)
	second.Classes[t.Class].add(one)
	if t.Tenant < len(r.Tenants) {
		r.Tenants[t.Tenant].add(one)
	}
}

// InTime is the share of first tries that were served within their aim.
func (r *Result) InTime() float64 {
	var all Tally
	for _, t := range r.Classes {
		all.add(t)
	}
	return float64(all.InTime) / float64(max(1, all.Requested))
}

// earned is the worth of what was served, and what there was to earn.
func (s *Scenario) earned(classes []Tally) (got, highest float64) {
	for i, t := range classes {
		c := &s.Classes[i]
		got += c.PriorityWeight * (float64(t.InTime) + c.LateWeightRatio*float64(t.Late))
		highest += c.PriorityWeight * float64(t.Requested)
	}
	return got, highest
}

// window is the time whose worst stretch is told, in seconds.
const window = 10

// WorstWindow is the least share of the worth earned over any 10 s, of a play that is
// as long.
func (s *Scenario) WorstWindow(r *Result) float64 {
	worst := 1.0
	for i := 0; i+window <= len(r.Seconds); i++ {
		var got, highest float64
		for j := range window {
			g, m := s.earned(r.Seconds[i+j].Classes)
			got, highest = got+g, highest+m
		}
		if highest > 0 {
			worst = min(worst, got/highest)
		}
	}
	return worst
}

// WorstClass is the least share of a class's worth that was earned.
func (s *Scenario) WorstClass(r *Result) float64 {
	worst := 1.0
	for i, t := range r.Classes {
		if t.Requested > 0 {
			worst = min(worst, (float64(t.InTime)+s.Classes[i].LateWeightRatio*float64(t.Late))/float64(t.Requested))
		}
	}
	return worst
}

// Score is G, the one figure of a play, 0 to 1: shares of the worth earned, over the whole,
// in the worst 10 s and by the worst class, weighted by the settings' goal.
func (s *Scenario) Score(r *Result) float64 {
	got, highest := s.earned(r.Classes)
	if highest == 0 {
		return 0
	}
	g := s.Settings.Goal
	return (g.Overall*got/highest + g.WorstWindow*s.WorstWindow(r) + g.WorstClass*s.WorstClass(r)) / (g.Overall + g.WorstWindow + g.WorstClass)
}

// Violations says which rule was broken, "" if none was.
func (r *Result) Violations() string {
	if r.Unanswered+r.DuplicateEffects+r.SentAfterDrain+len(r.Collapsed) == 0 {
		return ""
	}
	return fmt.Sprintf("unanswered %d, done twice %d, sent after a drain %d, fallen over %v", r.Unanswered, r.DuplicateEffects, r.SentAfterDrain, r.Collapsed)
}
