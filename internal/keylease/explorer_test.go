package keylease

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Violations of the properties that every explored state must have.
var (
	errTwoGroups    = errors.New("requests were sent to two groups")
	errTwoExclusive = errors.New("two requesters were granted an exclusive lease")
)

const (
	// leaseDuration is longer than any explored run: no lease expires.
	leaseDuration = time.Hour
	// maxExploredStates bounds the memory of an exploration.
	maxExploredStates = 3_000_000
	// groupCount is the number of groups that requesters request.
	groupCount = 3
)

var (
	exploredKey    = Key{1}
	exploredLimits = Limits{MaxKeys: 4, MaxHolders: 8, MaxDuration: leaseDuration}
)

// explorer visits every state that three acceptors and some requesters can reach. Each
// requester requests a different group. The network may deliver any message that was ever sent,
// at any time and any number of times, or never: it loses, duplicates and reorders messages. A
// requester sends its request to the group that it was granted. With an exclusive lease, the
// request may turn out not to be executed. The requester then releases the key, and requests the
// next group or gives up. One acceptor may restart; it then grants nothing for the duration of a
// lease.
type explorer struct {
	voterSet      uint64
	acceptorNames []string
	requests      [][]Request // by requester and term
	maxTerm       uint64
	visited       map[uint64]bool // by state hash: of a million states two collide with probability 1e-7
	violation     error           // the first violated property, with the path to the state

	// Injected faults.
	skipRecovery     bool // a restarted acceptor grants at once
	ignoreLaterTerms bool // a release of an earlier term ends a lease of a later one
}

// newLease returns a requester's lease request for a term.
func (e *explorer) newLease(number int, term uint64) *Lease {
	request := Request{
		Key:      exploredKey,
		Owner:    Owner{Name: fmt.Sprint(number), Request: 1},
		Term:     term,
		Group:    fmt.Sprint((uint64(number) + term) % groupCount),
		Duration: leaseDuration,
		VoterSet: e.voterSet,
	}
	return NewLease(request, e.acceptorNames)
}

// initialState returns the state before any message.
func (e *explorer) initialState(requesterCount int) *exploredState {
	s := &exploredState{}
	for range e.acceptorNames {
		s.acceptors = append(s.acceptors, NewAcceptor(-leaseDuration, exploredLimits, e.voterSet))
		s.restarted = append(s.restarted, false)
	}
	for number := range requesterCount {
		e.requests = append(e.requests, nil)
		for term := range e.maxTerm + 1 {
			e.requests[number] = append(e.requests[number], e.newLease(number, term).Request)
		}
		s.requesters = append(s.requesters, &requester{lease: e.newLease(number, 1), term: 1})
	}
	return s
}

// step is a step of a path. Its text is formatted only if the path is reported.
type step struct {
	format string
	args   []any
}

// describe returns the steps of a path, one per line.
func describe(path []step) string {
	var text strings.Builder
	for _, s := range path {
		fmt.Fprintf(&text, "\n  "+s.format, s.args...)
	}
	return text.String()
}

// explore visits a state that was reached by path, and all states that can follow. It stops at
// the first violation.
func (e *explorer) explore(s *exploredState, path []step) {
	if e.violation != nil || len(e.visited) >= maxExploredStates {
		return
	}
	if err := s.validate(); err != nil {
		e.violation = fmt.Errorf("%w after these steps:%s", err, describe(path))
		return
	}
	id := s.hash()
	if e.visited[id] {
		return
	}
	e.visited[id] = true
	for number, r := range s.requesters {
		for i := range e.acceptorNames {
			if s.restarted[i] && !e.skipRecovery {
				continue // it responds that it is recovering, which changes nothing
			}
			e.exploreRequests(s, path, number, i)
			e.exploreReleases(s, path, number, i)
		}
		result := r.lease.State()
		if r.waiting() && (result.Outcome == Exclusive || result.Outcome == Shared) {
			e.exploreSend(s, path, number, result)
		}
	}
	e.exploreRestarts(s, path)
}

// next explores the state that results from a change of s. The format and its arguments describe
// the change.
func (e *explorer) next(s *exploredState, path []step, change func(*exploredState), format string, args ...any) {
	next := s.clone()
	change(next)
	e.explore(next, append(path[:len(path):len(path)], step{format, args}))
}

// exploreRequests delivers each lease request that a requester has sent to an acceptor. A delayed
// request may be of an earlier term, or arrive after its requester has stopped waiting.
func (e *explorer) exploreRequests(s *exploredState, path []step, number, acceptor int) {
	r := s.requesters[number]
	name := e.acceptorNames[acceptor]
	for term := uint64(1); term <= r.term; term++ {
		request := e.requests[number][term]
		waiting := term == r.term && r.waiting()
		if waiting && r.lease.votes[acceptor].status == voteGranted {
			continue // the acceptor would repeat its response, or has restarted and grants nothing
		}
		e.next(s, path, func(s *exploredState) {
			response, ok := s.mutableAcceptor(acceptor).HandleRequest(0, request)
			if ok && waiting {
				s.mutableRequester(number).lease.HandleResponse(0, name, response)
			}
		}, "request of %d term %d delivered to %s", number, term, name)
	}
}

// exploreReleases delivers each release that a requester has sent to an acceptor.
func (e *explorer) exploreReleases(s *exploredState, path []step, number, acceptor int) {
	r := s.requesters[number]
	name := e.acceptorNames[acceptor]
	for _, term := range r.releasedTerms {
		if e.ignoreLaterTerms {
			term += 100
		}
		e.next(s, path, func(s *exploredState) {
			s.mutableAcceptor(acceptor).HandleRelease(0, exploredKey, r.lease.Request.Owner, term)
		}, "release of %d term %d delivered to %s", number, term, name)
	}
}

// exploreSend has a requester with a granted lease send its request. The request is executed or,
// with an exclusive lease, possibly not.
func (e *explorer) exploreSend(s *exploredState, path []step, number int, result Result) {
	group := result.Group
	exclusive := result.Outcome == Exclusive
	e.next(s, path, func(s *exploredState) {
		r := s.mutableRequester(number)
		r.sentTo = group
		r.exclusive = exclusive
	}, "%d sends to %s", number, group)
	if !exclusive {
		return
	}
	if s.requesters[number].term < e.maxTerm {
		e.next(s, path, func(s *exploredState) {
			r := s.mutableRequester(number)
			r.releasedTerms = append(r.releasedTerms, r.term)
			r.term++
			r.lease = e.newLease(number, r.term)
		}, "the request of %d to %s was not executed; it starts the next term", number, group)
	}
	e.next(s, path, func(s *exploredState) {
		r := s.mutableRequester(number)
		r.releasedTerms = append(r.releasedTerms, r.term)
		r.finished = true
	}, "the request of %d to %s was not executed; it gives up", number, group)
}

// exploreRestarts restarts each acceptor unless one has restarted already.
func (e *explorer) exploreRestarts(s *exploredState, path []step) {
	if slices.Contains(s.restarted, true) {
		return
	}
	for i, name := range e.acceptorNames {
		e.next(s, path, func(s *exploredState) {
			s.restarted = slices.Clone(s.restarted)
			s.restarted[i] = true
			s.acceptors[i] = NewAcceptor(0, exploredLimits, e.voterSet)
			if e.skipRecovery {
				s.acceptors[i].recoveredAt = 0
			}
		}, "%s restarts", name)
	}
}
