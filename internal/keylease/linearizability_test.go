package keylease

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// writeOnceRegister models a key whose holders never release it as a register that is written
// once. The input of an operation is the requested group, its output the granted one. An
// operation without an output may or may not have written the register.
var writeOnceRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		current, requested, granted := state.(string), input.(string), output.(string)
		switch {
		case granted == "" && current == "":
			return []any{"", requested}
		case granted == "" || granted == current:
			return []any{current}
		case current == "" && granted == requested:
			return []any{requested}
		}
		return nil
	},
}

const (
	// simulatedTime is how long a simulation lasts. The network delivers within 50 ms.
	simulatedTime = 500 * time.Millisecond
	// retryInterval is the time between two transmissions of a request.
	retryInterval = 20 * time.Millisecond
	// simulatedLease is longer than a simulation, so that no lease expires.
	simulatedLease = time.Minute
)

// networkMessage is a message that the simulated network has not delivered yet: either a
// request from a requester to an acceptor or a response the other way.
type networkMessage struct {
	deliverAt time.Duration
	request   *Request
	response  *Response
	from, to  int // indexes of requester and acceptor
}

// simulatedRequester requests the key once and waits for a limited time.
type simulatedRequester struct {
	lease             *Lease
	startAt, giveUpAt time.Duration
	finished          bool
	operation         porcupine.Operation
}

// simulation runs acceptors and requesters on virtual time.
type simulation struct {
	t             *rapid.T
	acceptorNames []string
	acceptors     []*Acceptor
	requesters    []*simulatedRequester
	network       []networkMessage
}

// drawMilliseconds draws a duration between two numbers of milliseconds.
func drawMilliseconds(t *rapid.T, low, high int, label string) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
}

// newSimulation draws the requesters of a simulation.
func newSimulation(t *rapid.T, acceptorNames []string, limits Limits) *simulation {
	s := &simulation{t: t, acceptorNames: acceptorNames}
	voterSet := VoterSetHash(acceptorNames)
	for range acceptorNames {
		s.acceptors = append(s.acceptors, NewAcceptor(-simulatedLease, limits, voterSet))
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "requesters") {
		r := &simulatedRequester{startAt: drawMilliseconds(t, 0, 200, "start")}
		r.giveUpAt = r.startAt + drawMilliseconds(t, 20, 200, "timeout")
		group := fmt.Sprint("pod ", rapid.IntRange(0, 2).Draw(t, "group"))
		r.lease = NewLease(Request{
			Key:      Key{1},
			Owner:    Owner{Name: fmt.Sprint(i), Request: 1},
			Term:     1,
			Group:    group,
			Duration: simulatedLease,
			VoterSet: voterSet,
		}, acceptorNames)
		r.operation = porcupine.Operation{
			ClientId: i,
			Input:    group,
			Call:     int64(r.startAt),
			Output:   "",
			Return:   math.MaxInt64,
		}
		s.requesters = append(s.requesters, r)
	}
	return s
}

// send drops a message, or queues it for delivery once or twice after a delay.
func (s *simulation) send(now time.Duration, m networkMessage) {
	for range rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(s.t, "deliveries") {
		m.deliverAt = now + drawMilliseconds(s.t, 1, 50, "delay")
		s.network = append(s.network, m)
	}
}

// runRequester sends a requester's outstanding requests and evaluates its votes.
func (s *simulation) runRequester(now time.Duration, number int) {
	r := s.requesters[number]
	if r.finished || now < r.startAt {
		return
	}
	if (now-r.startAt)%retryInterval == 0 {
		r.lease.Retry()
		for acceptor, name := range s.acceptorNames {
			if slices.Contains(r.lease.Unanswered(), name) {
				s.send(now, networkMessage{request: &r.lease.Request, from: number, to: acceptor})
			}
		}
	}
	result := r.lease.State()
	switch {
	case result.Outcome == Exclusive || result.Outcome == Shared:
		r.finished = true
		r.operation.Output = result.Group
		r.operation.Return = int64(now)
	case result.Outcome == SplitVote || now >= r.giveUpAt:
		r.finished = true // without an output, since its votes may or may not have been counted
	}
}

// deliver delivers all messages that are due, including responses that become due at the same time.
func (s *simulation) deliver(now time.Duration) {
	slices.SortStableFunc(s.network, func(a, b networkMessage) int { return cmp.Compare(a.deliverAt, b.deliverAt) })
	for len(s.network) > 0 && s.network[0].deliverAt <= now {
		m := s.network[0]
		s.network = s.network[1:]
		if m.response != nil {
			r := s.requesters[m.to]
			r.lease.HandleResponse(r.startAt, s.acceptorNames[m.from], *m.response)
			continue
		}
		if response, ok := s.acceptors[m.to].HandleRequest(now, *m.request); ok {
			s.send(now, networkMessage{response: &response, from: m.to, to: m.from})
		}
	}
}

// Leases are linearizable: even if messages are delayed, lost and duplicated and an acceptor
// restarts, some sequential order of the requests explains the granted groups.
func TestLeasesAreLinearizable(t *testing.T) {
	limits := Limits{MaxKeys: 4, MaxHolders: 8, MaxDuration: simulatedLease}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, []string{"a", "b", "c"}, limits)
		restartAt := drawMilliseconds(t, 0, 1000, "restart")
		for now := time.Duration(0); now < simulatedTime; now += time.Millisecond {
			if now == restartAt {
				restarted := rapid.IntRange(0, 2).Draw(t, "restarted")
				s.acceptors[restarted] = NewAcceptor(now, limits, VoterSetHash(s.acceptorNames))
			}
			for number := range s.requesters {
				s.runRequester(now, number)
			}
			s.deliver(now)
		}
		var history []porcupine.Operation
		for _, r := range s.requesters {
			history = append(history, r.operation)
		}
		if !porcupine.CheckOperations(writeOnceRegister.ToModel(), history) {
			t.Fatalf("no sequential order explains the history %+v", history)
		}
	})
}

func TestModelRejectsTwoGroupsForOneKey(t *testing.T) {
	twoGroups := []porcupine.Operation{
		{ClientId: 0, Input: "a", Output: "a", Call: 0, Return: 10},
		{ClientId: 1, Input: "b", Output: "b", Call: 20, Return: 30},
	}
	if porcupine.CheckOperations(writeOnceRegister.ToModel(), twoGroups) {
		t.Error("a history in which a key was leased to two groups passes the check")
	}
}
