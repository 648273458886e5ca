// Package history is what a rig has seen, on one clock, and says whether it is as it must be.
// It does no I/O.
package history

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"pinedale/internal/faulttest/schedule"
)

// Kind is what became of a try.
type Kind string

// The kinds of end.
const (
	Answered   Kind = "answered"
	Cancelled  Kind = "left"   // its client gave it up, as clients do
	Unanswered Kind = "silent" // no answer long after its time
	Broken     Kind = "broken" // the connection never came up, or broke
)

// Try is one request of a client. The tries of one effect share its key.
type Try struct {
	Effect    string        `json:"effect"`
	Class     string        `json:"class"`
	HasKey    bool          `json:"keyed"`
	Number    int           `json:"number"` // of the effect's tries, from 0
	Instance  string        `json:"instance"`
	Requested time.Duration `json:"asked"`
	Deadline  time.Duration `json:"deadline"` // by which it wanted its answer
	Ended     time.Duration `json:"ended"`
	Kind      Kind          `json:"kind"`
	Code      int           `json:"code,omitempty"` // of an answer
}

// View is what an instance takes to be there at an instant.
type View struct {
	At       time.Duration `json:"at"`
	Instance string        `json:"instance"`
	Alive    int           `json:"alive"`
}

// Drain is a server's drain as each instance has come to know of it.
type Drain struct {
	Server   string                     `json:"server"`
	Until    time.Duration              `json:"until"` // when it was started anew
	Notified map[string]time.Duration   `json:"told"`  // when an instance has surely been told: it asked for what is newer
	Sent     map[string][]time.Duration `json:"sent"`  // when instances wrote to the server
}

// drainSlack is for how long after an instance was told something may still come from it: its own
// work on the list, and the pieces of what it was writing, on a machine that is busy.
const drainSlack = time.Second

// late returns what an instance wrote to a server that it knew to drain, and nothing explains.
func (d *Drain) late(s *schedule.Schedule, instance string) (out []time.Duration) {
	notified, ok := d.Notified[instance]
	if !ok {
		return nil
	}
	for _, at := range d.Sent[instance] {
		if at <= notified+drainSlack || at >= d.Until {
			continue
		}
		// A stopped process goes on where it was, and a way that was cut passes what was written before.
		explained := slices.ContainsFunc(s.Faults, func(f schedule.Fault) bool {
			processFault := f.Kind == schedule.Suspend && f.Target == instance
			pathFault := f.Target == instance && f.Destination == d.Server
			return (processFault || pathFault) && f.StartTime() <= at && f.EndTime()+drainSlack >= notified
		})
		if !explained {
			out = append(out, at)
		}
	}
	return out
}

// Stall is a time in which the rig itself stood still, clients and relays with it, or its servers. What
// instances did meanwhile with connections on which nothing came is not held against them, nor that
// servers did again what came to them once they had forgotten its key: the network held it for so long.
type Stall struct {
	From  time.Duration `json:"from"`
	Until time.Duration `json:"until"`
}

const (
	// MinStall is the shortest stall that counts: what a resend keeps of its window is not much more.
	MinStall = 200 * time.Millisecond
	// brokenAfter is the shortest stall that explains a broken connection, which outlives a shorter one.
	brokenAfter = 500 * time.Millisecond
)

// History is all that a run has seen.
type History struct {
	Schedule *schedule.Schedule `json:"schedule"`
	Tries    []Try              `json:"tries"`
	Views    []View             `json:"views"`
	Done     map[string]int     `json:"done"`  // effects, as the servers count them
	Twice    []string           `json:"twice"` // those that must not be done twice and were
	Settled  time.Duration      `json:"settled"`
	Differ   []string           `json:"differ"` // copies that still differed when the run gave up waiting
	Ends     []string           `json:"ends"`   // instances that ended by themselves
	Claims   []string           `json:"claims"` // what became of each instance's claims, in its last life
	Drains   []Drain            `json:"drains"`
	Stalls   []Stall            `json:"stalls"`
}

// Finding is something that must not be.
type Finding struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

func (f Finding) String() string { return f.Rule + ": " + f.Text }

// slack is by how much an answer may be late before it counts as lost: machines under test
// are busy, and an answer that never comes is as late.
const slack = 5 * time.Second

// UnansweredAfter is how long after its deadline a try is waited for.
const UnansweredAfter = slack

// disturbed says whether a fault may have kept a try from its answer.
func disturbed(s *schedule.Schedule, t *Try) bool {
	return slices.ContainsFunc(s.Faults, func(f schedule.Fault) bool {
		if f.StartTime() > t.Ended || f.EndTime()+slack < t.Requested {
			return false
		}
		process := f.Destination == "" && f.Target == t.Instance
		pathFault := (f.Target == schedule.Clients && f.Destination == t.Instance)
		return process || pathFault
	})
}

// stalled says whether the rig stood still while a try was under way.
func (h *History) stalled(t *Try) bool {
	return h.stalledDuring(t.Requested, t.Ended, brokenAfter)
}

// stalledDuring says whether the rig or its servers did, for so long, at some time between two instants.
func (h *History) stalledDuring(from, until, minLength time.Duration) bool {
	return slices.ContainsFunc(h.Stalls, func(s Stall) bool { return s.From <= until && s.Until >= from && s.Until-s.From > minLength })
}

// Check returns what must not be: the rules over all processes together.
func (h *History) Check() (out []Finding) {
	for _, key := range h.Twice {
		f := Finding{"no effect twice", key}
		from, until := time.Duration(math.MaxInt64), time.Duration(0)
		for _, t := range h.Tries {
			if t.Effect == key {
				from, until = min(from, t.Requested), max(until, t.Ended)
				f.Text += fmt.Sprintf("; try %d at %s, %v to %v, %s %d", t.Number, t.Instance, t.Requested.Round(time.Millisecond), t.Ended.Round(time.Millisecond), t.Kind, t.Code)
			}
		}
		if !h.stalledDuring(from, until, MinStall) {
			out = append(out, f)
		}
	}
	for i := range h.Tries {
		t := &h.Tries[i]
		switch {
		case t.HasKey && t.Kind == Answered && t.Code == 200 && h.Done[t.Effect] == 0:
			out = append(out, Finding{"served is done", fmt.Sprintf("%s was answered 200 by %s at %v, and no server has done it", t.Effect, t.Instance, t.Ended)})
		case (t.Kind == Unanswered || t.Kind == Broken) && !disturbed(h.Schedule, t) && !h.stalled(t):
			out = append(out, Finding{"one final answer each", fmt.Sprintf("%s, try %d at %s from %v to %v: %s, and nothing befell that instance", t.Effect, t.Number, t.Instance, t.Requested, t.Ended, t.Kind)})
		}
	}
	for i := range h.Drains {
		d := &h.Drains[i]
		for _, instance := range slices.Sorted(maps.Keys(d.Notified)) {
			if late := d.late(h.Schedule, instance); len(late) > 0 {
				out = append(out, Finding{"drains honoured", fmt.Sprintf("%s wrote to %s at %v, and knew at %v that it drains until %v", instance, d.Server, late, d.Notified[instance], d.Until)})
			}
		}
	}
	for _, d := range h.Differ {
		out = append(out, Finding{"copies converge", d})
	}
	for _, e := range h.Ends {
		out = append(out, Finding{"no crash", e})
	}
	return out
}

// Sum is a run in figures.
type Sum struct {
	Effects, Tries, Served        int // effects asked for, tries at them, effects that a client has its answer for
	ByCode                        map[int]int
	Cancelled, Unanswered, Broken int
	Elsewhere                     int           // tries of keyed effects at another instance than the try before
	Median, P99                   time.Duration // until an answer 200, from the try's asking
}

// Sum counts.
func (h *History) Sum() Sum {
	s := Sum{ByCode: map[int]int{}}
	served := map[string]bool{}
	var took []time.Duration
	type try struct {
		effect string
		number int
	}
	at := map[try]string{}
	for _, t := range h.Tries {
		at[try{t.Effect, t.Number}] = t.Instance
	}
	for _, t := range h.Tries {
		if before, ok := at[try{t.Effect, t.Number - 1}]; ok && t.HasKey && before != t.Instance {
			s.Elsewhere++
		}
		s.Tries++
		if t.Number == 0 {
			s.Effects++
		}
		switch t.Kind {
		case Answered:
			s.ByCode[t.Code]++
			if t.Code == 200 {
				served[t.Effect] = true
				took = append(took, t.Ended-t.Requested)
			}
		case Cancelled:
			s.Cancelled++
		case Unanswered:
			s.Unanswered++
		case Broken:
			s.Broken++
		}
	}
	s.Served = len(served)
	slices.Sort(took)
	if n := len(took); n > 0 {
		s.Median, s.P99 = took[n/2], took[n*99/100]
	}
	return s
}
