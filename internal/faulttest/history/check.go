package history

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"pinedale/internal/faulttest/schedule"
)

// Rule is a rule that every history must satisfy.
type Rule string

// The rules.
const (
	AtMostOnce        Rule = "no effect twice"       // effects with a key are executed at most once
	SuccessIsExecuted Rule = "served is done"        // an effect with a successful response was executed
	OneResponse       Rule = "one final answer each" // no attempt loses its response unless a fault explains it
	DrainsHonoured    Rule = "drains honoured"       // instances send nothing to servers that they know to be draining
	ReplicasConverge  Rule = "copies converge"       // replicas become equal after the last fault
	NoUnexpectedExits Rule = "no crash"              // instances exit only if the run makes them exit
)

// UnansweredAfter is how long after its deadline an attempt counts as unanswered. It is long because the machines that
// run fault tests are busy: a late response is not a lost one.
const UnansweredAfter = 5 * time.Second

const (
	// minConnectionStall is the shortest stall that explains a broken connection.
	minConnectionStall = 500 * time.Millisecond

	// drainGracePeriod is how long an instance may still send data to a server after it was notified of the drain: it
	// has to process the list, and completes requests that it has begun to write.
	drainGracePeriod = time.Second
)

// Finding is a violation of a rule.
type Finding struct {
	Rule Rule   `json:"rule"`
	Text string `json:"text"`
}

// String returns the finding as one line.
func (f Finding) String() string { return string(f.Rule) + ": " + f.Text }

// Check returns all violations of the rules, in the order in which the rules are declared, except that the findings of
// SuccessIsExecuted and OneResponse are in the order of the attempts.
func (h *History) Check() []Finding {
	return slices.Concat(
		h.checkDuplicateEffects(),
		h.checkAttempts(),
		h.checkDrains(),
		findings(ReplicasConverge, h.ReplicaDifferences),
		findings(NoUnexpectedExits, h.UnexpectedExits),
	)
}

// findings returns a finding of one rule for each text.
func findings(rule Rule, texts []string) []Finding {
	var found []Finding
	for _, text := range texts {
		found = append(found, Finding{Rule: rule, Text: text})
	}
	return found
}

// checkDuplicateEffects checks AtMostOnce.
func (h *History) checkDuplicateEffects() []Finding {
	var found []Finding
	for _, effect := range h.DuplicateEffects {
		var text strings.Builder
		text.WriteString(effect)
		start, end := time.Duration(math.MaxInt64), time.Duration(0)
		for _, attempt := range h.Attempts {
			if attempt.Effect != effect {
				continue
			}
			start, end = min(start, attempt.Requested), max(end, attempt.Ended)
			fmt.Fprintf(&text, "; attempt %d at %s, %v to %v, %s %d", attempt.Number, attempt.Instance,
				attempt.Requested.Round(time.Millisecond), attempt.Ended.Round(time.Millisecond),
				attempt.Outcome, attempt.Status)
		}
		if !h.stalledBetween(start, end, MinStall) {
			found = append(found, Finding{Rule: AtMostOnce, Text: text.String()})
		}
	}
	return found
}

// checkAttempts checks SuccessIsExecuted and OneResponse.
func (h *History) checkAttempts() []Finding {
	var found []Finding
	for i := range h.Attempts {
		attempt := &h.Attempts[i]
		switch {
		case attempt.HasKey && attempt.succeeded() && h.Executions[attempt.Effect] == 0:
			found = append(found, Finding{SuccessIsExecuted, fmt.Sprintf(
				"%s was answered 200 by %s at %v, but no server executed it",
				attempt.Effect, attempt.Instance, attempt.Ended)})
		case attempt.hasNoResponse() && !h.faultExplains(attempt) && !h.stallExplains(attempt):
			found = append(found, Finding{OneResponse, fmt.Sprintf(
				"%s, attempt %d at %s from %v to %v: %s, and no fault or stall explains it",
				attempt.Effect, attempt.Number, attempt.Instance, attempt.Requested, attempt.Ended, attempt.Outcome)})
		}
	}
	return found
}

// succeeded reports whether the attempt was answered with success.
func (a *Attempt) succeeded() bool { return a.Outcome == Answered && a.Status == http.StatusOK }

// hasNoResponse reports whether the client waited for a response and received none.
func (a *Attempt) hasNoResponse() bool { return a.Outcome == Unanswered || a.Outcome == Broken }

// faultExplains reports whether a fault may be the reason why the attempt got no response: a fault of the instance, or
// of the path from clients to it, that overlaps the attempt or ended at most UnansweredAfter before it.
func (h *History) faultExplains(attempt *Attempt) bool {
	return slices.ContainsFunc(h.Schedule.Faults, func(fault schedule.Fault) bool {
		if fault.StartTime() > attempt.Ended || fault.EndTime()+UnansweredAfter < attempt.Requested {
			return false
		}
		ofInstance := fault.Destination == "" && fault.Target == attempt.Instance
		ofPath := fault.Target == schedule.Clients && fault.Destination == attempt.Instance
		return ofInstance || ofPath
	})
}

// stallExplains reports whether a stall may be the reason why the attempt got no response.
func (h *History) stallExplains(attempt *Attempt) bool {
	return h.stalledBetween(attempt.Requested, attempt.Ended, minConnectionStall)
}

// checkDrains checks DrainsHonoured.
func (h *History) checkDrains() []Finding {
	var found []Finding
	for i := range h.Drains {
		drain := &h.Drains[i]
		for _, instance := range slices.Sorted(maps.Keys(drain.Notified)) {
			late := drain.sentLate(h.Schedule, instance)
			if len(late) == 0 {
				continue
			}
			found = append(found, Finding{DrainsHonoured, fmt.Sprintf(
				"%s sent data to %s at %v, although it was notified at %v of the drain, which lasted until %v",
				instance, drain.Server, late, drain.Notified[instance], drain.End)})
		}
	}
	return found
}

// sentLate returns the times at which an instance sent data to the server although it had been notified of the drain,
// and no fault explains it.
func (d *Drain) sentLate(schedule *schedule.Schedule, instance string) []time.Duration {
	notified, ok := d.Notified[instance]
	if !ok {
		return nil
	}
	var late []time.Duration
	for _, sent := range d.Sent[instance] {
		if sent <= notified+drainGracePeriod || sent >= d.End {
			continue
		}
		if !d.faultExplains(schedule.Faults, instance, notified, sent) {
			late = append(late, sent)
		}
	}
	return late
}

// faultExplains reports whether a fault may have delayed data that the instance sent before it was notified: a
// suspended process continues to send once it is resumed, and a path delivers data that it held back.
func (d *Drain) faultExplains(faults []schedule.Fault, instance string, notified, sent time.Duration) bool {
	return slices.ContainsFunc(faults, func(fault schedule.Fault) bool {
		if fault.Target != instance {
			return false
		}
		if fault.Kind != schedule.Suspend && fault.Destination != d.Server {
			return false
		}
		return fault.StartTime() <= sent && fault.EndTime()+drainGracePeriod >= notified
	})
}
