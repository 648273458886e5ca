// Package history records what a fault test observes and checks it against the rules that the software under test must
// satisfy. All times in a history are relative to the start of the load, on the clock of the process that runs the
// test. The package does no I/O.
package history

import (
	"slices"
	"time"

	"pinedale/internal/faulttest/schedule"
)

// Outcome is the result of an attempt.
type Outcome string

// The outcomes of attempts.
const (
	Answered   Outcome = "answered" // the client received a complete response
	Cancelled  Outcome = "left"     // the client cancelled the request early
	Unanswered Outcome = "silent"   // no response within UnansweredAfter after the deadline
	Broken     Outcome = "broken"   // the connection failed, or could not be established
)

// Attempt is one request of a client. All attempts at an effect carry the same idempotency key.
type Attempt struct {
	Effect    string        `json:"effect"`
	Class     string        `json:"class"`
	HasKey    bool          `json:"keyed"`
	Number    int           `json:"number"` // of the attempt at its effect, from 0
	Instance  string        `json:"instance"`
	Requested time.Duration `json:"asked"`
	Deadline  time.Duration `json:"deadline"` // after which the client has no use for a response
	Ended     time.Duration `json:"ended"`
	Outcome   Outcome       `json:"kind"`
	Status    int           `json:"code,omitempty"` // of the response, for Answered
}

// View is one instance's view of the cluster at one time.
type View struct {
	At       time.Duration `json:"at"`
	Instance string        `json:"instance"`
	Alive    int           `json:"alive"` // instances that it considers alive, itself included
}

// Drain is one drain of a server, as observed by discovery and on the paths from instances to the server.
type Drain struct {
	Server   string                     `json:"server"`
	End      time.Duration              `json:"until"` // when the server was restarted
	Notified map[string]time.Duration   `json:"told"`  // when each instance first polled for a newer list
	Sent     map[string][]time.Duration `json:"sent"`  // when each instance sent data to the server, during the run
}

// Stall is a period in which the process that runs clients and relays, or the server process, was not scheduled.
// Connections that broke during a stall are not blamed on instances, and neither are effects that servers executed
// twice: a stall can delay a request for longer than the servers store its key.
type Stall struct {
	Start time.Duration `json:"from"`
	End   time.Duration `json:"until"`
}

// MinStall is the length of the shortest stall that is recorded. It is slightly less than the margin that retries leave
// in the period for which servers store a key.
const MinStall = 200 * time.Millisecond

// History holds everything that was observed in one run.
type History struct {
	Schedule           *schedule.Schedule `json:"schedule"`
	Attempts           []Attempt          `json:"tries"`
	Views              []View             `json:"views"`
	Executions         map[string]int     `json:"done"`    // of each effect, counted by the servers
	DuplicateEffects   []string           `json:"twice"`   // effects executed more often than their class allows
	ConvergenceTime    time.Duration      `json:"settled"` // from the end of load and faults until all replicas were equal
	ReplicaDifferences []string           `json:"differ"`  // left when the run stopped waiting for convergence
	UnexpectedExits    []string           `json:"ends"`    // of instances
	LeaseCounts        []string           `json:"claims"`  // lease statistics of each instance's last process
	Drains             []Drain            `json:"drains"`
	Stalls             []Stall            `json:"stalls"`
}

// stalledBetween reports whether a stall longer than minLength overlaps the period from start to end.
func (h *History) stalledBetween(start, end, minLength time.Duration) bool {
	return slices.ContainsFunc(h.Stalls, func(stall Stall) bool {
		overlaps := stall.Start <= end && stall.End >= start
		return overlaps && stall.End-stall.Start > minLength
	})
}
