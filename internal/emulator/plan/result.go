package plan

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Tally counts requests by their final outcome.
type Tally struct {
	Requested, InTime, Late, Rejected, Failed int
}

func (t *Tally) add(other Tally) {
	t.Requested += other.Requested
	t.InTime += other.InTime
	t.Late += other.Late
	t.Rejected += other.Rejected
	t.Failed += other.Failed
}

// Second is the result of one second of a run. A request counts in the second of its first client attempt.
type Second struct {
	Classes        []Tally
	ResponseMillis []float32 // response times of successful requests, unordered
	Attempts       []int32   // by server
}

// Total sums the tallies of all classes.
func (s *Second) Total() Tally { return sumTallies(s.Classes) }

func sumTallies(tallies []Tally) Tally {
	var sum Tally
	for _, tally := range tallies {
		sum.add(tally)
	}
	return sum
}

// Quantile returns a quantile of the response times, 0 if there were no responses.
func (s *Second) Quantile(quantile float64) time.Duration {
	if len(s.ResponseMillis) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.ResponseMillis))
	rank := min(len(sorted)-1, int(quantile*float64(len(sorted))))
	return time.Duration(float64(sorted[rank]) * float64(time.Millisecond))
}

// Result is the result of a run.
type Result struct {
	Classes           []Tally
	Tenants           []Tally
	Seconds           []Second
	Attempts          []int // by server
	ClientAttempts    int   // including retries
	Probes            int
	Connections       int     // the highest number open at once
	Handshakes        int     // connections opened; on virtual time only
	HandshakesDenied  int     // attempts and probes that the handshake budget refused
	PeakHandshakes    int     // the highest number at one server in one second
	PeakOverloadRatio float64 // of all warming servers; above 1 a server collapses; on virtual time only

	// Violations of the guarantees of an instance and a fleet.
	Unanswered       int   // client attempts with no response in time, or with more than one
	DuplicateEffects int   // effects that happened more than once
	SentAfterDrain   int   // attempts sent later than the grace period after the notification of a drain
	Collapsed        []int // servers that collapsed

	// State of RecordHandshake.
	handshakeSecond    int
	handshakesByServer []int // in handshakeSecond
}

// NewResult returns the empty result of a run.
func (s *Scenario) NewResult() *Result {
	r := &Result{
		Classes:  make([]Tally, len(s.Classes)),
		Tenants:  make([]Tally, len(s.Tenants)),
		Attempts: make([]int, len(s.Servers)),
		Seconds:  make([]Second, int((s.Length+time.Second-1)/time.Second)),
	}
	for i := range r.Seconds {
		r.Seconds[i].Classes = make([]Tally, len(s.Classes))
		r.Seconds[i].Attempts = make([]int32, len(s.Servers))
	}
	return r
}

// RecordHandshake counts a new connection to a server. Calls must be in chronological order.
func (r *Result) RecordHandshake(server int, at Time) {
	second := int(at / time.Second)
	if second != r.handshakeSecond || r.handshakesByServer == nil {
		r.handshakeSecond = second
		r.handshakesByServer = make([]int, len(r.Attempts))
	}
	r.Handshakes++
	r.handshakesByServer[server]++
	r.PeakHandshakes = max(r.PeakHandshakes, r.handshakesByServer[server])
}

// RecordAttempt counts an attempt at a server.
func (r *Result) RecordAttempt(server int, at Time) {
	r.Attempts[server]++
	if second := int(at / time.Second); second < len(r.Seconds) {
		r.Seconds[second].Attempts[server]++
	}
}

// RecordOutcome counts the final outcome of a request.
func (r *Result) RecordOutcome(s *Scenario, request *Request, code int, now Time) {
	second := &r.Seconds[int(request.At/time.Second)]
	elapsed := now - request.At
	outcome := Tally{Requested: 1}
	switch code {
	case http.StatusOK:
		objective := time.Duration(s.Classes[request.Class].LatencyObjective) * time.Microsecond
		if elapsed <= objective {
			outcome.InTime = 1
		} else {
			outcome.Late = 1
		}
		second.ResponseMillis = append(second.ResponseMillis, float32(elapsed.Seconds()*1e3))
	case http.StatusServiceUnavailable:
		outcome.Rejected = 1
	default:
		outcome.Failed = 1
	}
	r.Classes[request.Class].add(outcome)
	second.Classes[request.Class].add(outcome)
	if request.Tenant < len(r.Tenants) {
		r.Tenants[request.Tenant].add(outcome)
	}
}

// Violations describes the violations of a run. It is empty if there are none.
func (r *Result) Violations() string {
	if r.Unanswered+r.DuplicateEffects+r.SentAfterDrain+len(r.Collapsed) == 0 {
		return ""
	}
	return fmt.Sprintf("unanswered client attempts %d, duplicate effects %d, attempts sent after a drain %d, "+
		"collapsed servers %v", r.Unanswered, r.DuplicateEffects, r.SentAfterDrain, r.Collapsed)
}
