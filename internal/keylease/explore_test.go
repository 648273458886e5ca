package keylease

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"
)

// The properties that every explored state is checked for.
var (
	errTwoGroups    = errors.New("requests were sent to two groups")
	errTwoExclusive = errors.New("two requesters were granted an exclusive lease")
)

const (
	// leaseDuration is longer than any explored run: no lease expires.
	leaseDuration = time.Hour
	// maxExploredStates bounds the memory of an exploration.
	maxExploredStates = 3_000_000
	// numberOfGroups is how many groups the requesters choose from.
	numberOfGroups = 3
)

var (
	exploredKey    = Key{1}
	exploredLimits = Limits{MaxKeys: 4, MaxHolders: 8, MaxDuration: leaseDuration}
)

// explorer visits every state that three acceptors and some requesters can reach. Each
// requester wants a group of its own. The network may deliver any message that was ever sent,
// at any time and any number of times, or never: it loses, duplicates and reorders. A
// requester that is granted a group sends there. If its lease is exclusive it may also find
// that what it sent was never executed, release the key, and request the next group or give
// up. One acceptor may restart, and then grants nothing for as long as a lease lasts.
type explorer struct {
	voterSet      uint64
	acceptorNames []string
	requests      [][]Request // by requester and term
	maxTerm       uint64
	visited       map[uint64]bool // by state hash: of a million states two collide with probability 1e-7
	violation     error           // the first state that breaks a property, with the path to it

	// Injected faults.
	skipRecovery     bool // a restarted acceptor grants at once
	ignoreLaterTerms bool // a release counts whatever its term
}

// exploredState is one state of all acceptors and requesters.
type exploredState struct {
	acceptors  []*Acceptor
	restarted  []bool // by acceptor
	requesters []*requester
}

// requester is one instance that wants the key.
type requester struct {
	lease         *Lease
	term          uint64
	sentTo        string   // group that the request was sent to, "" for none
	exclusive     bool     // the lease was exclusive when the request was sent
	finished      bool     // the request was never executed, and the requester has given up
	releasedTerms []uint64 // releases that the network may deliver
}

// waiting reports whether the requester still waits for votes.
func (r *requester) waiting() bool { return r.sentTo == "" && !r.finished }

func (e *explorer) newLease(number int, term uint64) *Lease {
	request := Request{
		Key:      exploredKey,
		Owner:    Owner{Name: fmt.Sprint(number), Request: 1},
		Term:     term,
		Group:    fmt.Sprint((uint64(number) + term) % numberOfGroups),
		Duration: leaseDuration,
		VoterSet: e.voterSet,
	}
	return NewLease(request, e.acceptorNames)
}

// initialState returns the state before any message.
func (e *explorer) initialState(requesters int) *exploredState {
	s := &exploredState{}
	for range e.acceptorNames {
		s.acceptors = append(s.acceptors, NewAcceptor(-leaseDuration, exploredLimits, e.voterSet))
		s.restarted = append(s.restarted, false)
	}
	for number := range requesters {
		e.requests = append(e.requests, nil)
		for term := range e.maxTerm + 1 {
			e.requests[number] = append(e.requests[number], e.newLease(number, term).Request)
		}
		s.requesters = append(s.requesters, &requester{lease: e.newLease(number, 1), term: 1})
	}
	return s
}

// clone returns a state that shares its acceptors and requesters with s. A step that changes
// one of them takes a copy by mutableAcceptor or mutableRequester first.
func (s *exploredState) clone() *exploredState {
	return &exploredState{
		acceptors:  slices.Clone(s.acceptors),
		restarted:  s.restarted,
		requesters: slices.Clone(s.requesters),
	}
}

func (s *exploredState) mutableAcceptor(i int) *Acceptor {
	acceptor := *s.acceptors[i]
	acceptor.keys, acceptor.expirationQueue = map[Key]*keyState{}, nil
	for key, original := range s.acceptors[i].keys {
		state := *original
		state.holders = slices.Clone(original.holders)
		acceptor.keys[key], acceptor.expirationQueue = &state, []*keyState{&state}
	}
	s.acceptors[i] = &acceptor
	return &acceptor
}

func (s *exploredState) mutableRequester(number int) *requester {
	r := *s.requesters[number]
	lease := *r.lease
	lease.votes = slices.Clone(r.lease.votes)
	r.lease, r.releasedTerms = &lease, slices.Clone(r.releasedTerms)
	s.requesters[number] = &r
	return &r
}

// hash is the same for states that the same states can follow.
func (s *exploredState) hash() uint64 {
	var encoded []byte
	appendFlag := func(set bool) {
		if set {
			encoded = append(encoded, 'y')
		} else {
			encoded = append(encoded, 'n')
		}
	}
	for i, acceptor := range s.acceptors {
		appendFlag(s.restarted[i])
		state := acceptor.keys[exploredKey]
		if state == nil {
			continue
		}
		holders := slices.Clone(state.holders)
		slices.SortFunc(holders, func(a, b holder) int { return strings.Compare(a.owner.Name, b.owner.Name) })
		encoded = append(append(encoded, 'g'), state.group...)
		for _, h := range holders {
			encoded = append(append(encoded, h.owner.Name...), byte(h.term))
			appendFlag(h.released)
		}
	}
	for _, r := range s.requesters {
		encoded = append(append(encoded, '|', byte(r.term), byte(len(r.releasedTerms))), r.sentTo...)
		appendFlag(r.exclusive)
		appendFlag(r.finished)
		if !r.waiting() {
			continue // its votes no longer matter
		}
		for _, v := range r.lease.votes {
			appendFlag(v.status == voteGranted)
			appendFlag(v.shared)
			encoded = append(encoded, v.group...)
		}
	}
	h := fnv.New64a()
	h.Write(encoded)
	return h.Sum64()
}

// validate returns the property that the state breaks, nil if it keeps them all.
func (s *exploredState) validate() error {
	group, exclusive := "", 0
	for _, r := range s.requesters {
		if r.sentTo == "" {
			continue
		}
		if group != "" && r.sentTo != group {
			return errTwoGroups
		}
		group = r.sentTo
		if r.exclusive {
			exclusive++
		}
	}
	if exclusive > 1 {
		return errTwoExclusive
	}
	return nil
}

// step describes a step of a path. It is formatted only if the path is reported.
type step struct {
	format string
	args   []any
}

// describe returns the steps of a path, one a line.
func describe(path []step) string {
	var text strings.Builder
	for _, s := range path {
		fmt.Fprintf(&text, "\n  "+s.format, s.args...)
	}
	return text.String()
}

// explore visits a state, reached by path, and all states that can follow. It stops at the
// first violation.
func (e *explorer) explore(s *exploredState, path []step) {
	if e.violation != nil || len(e.visited) >= maxExploredStates {
		return
	}
	if err := s.validate(); err != nil {
		e.violation = fmt.Errorf("%w after%s", err, describe(path))
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
		outcome, group, _ := r.lease.State()
		if r.waiting() && (outcome == Exclusive || outcome == Shared) {
			e.exploreSend(s, path, number, outcome, group)
		}
	}
	e.exploreRestarts(s, path)
}

// next explores the state that a change of s leads to.
func (e *explorer) next(s *exploredState, path []step, change func(*exploredState), format string, args ...any) {
	next := s.clone()
	change(next)
	e.explore(next, append(path[:len(path):len(path)], step{format, args}))
}

// exploreRequests delivers each lease request that a requester has sent to an acceptor. It may
// be delayed: of an earlier term, or after its requester has stopped waiting.
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

// exploreSend has a requester with a granted lease send its request, which was executed or,
// with an exclusive lease, may not have been.
func (e *explorer) exploreSend(s *exploredState, path []step, number int, outcome Outcome, group string) {
	e.next(s, path, func(s *exploredState) {
		r := s.mutableRequester(number)
		r.sentTo, r.exclusive = group, outcome == Exclusive
	}, "%d sends to %s", number, group)
	if outcome != Exclusive {
		return
	}
	if s.requesters[number].term < e.maxTerm {
		e.next(s, path, func(s *exploredState) {
			r := s.mutableRequester(number)
			r.releasedTerms = append(r.releasedTerms, r.term)
			r.term++
			r.lease = e.newLease(number, r.term)
		}, "what %d sent to %s was not executed; it starts the next term", number, group)
	}
	e.next(s, path, func(s *exploredState) {
		r := s.mutableRequester(number)
		r.releasedTerms = append(r.releasedTerms, r.term)
		r.finished = true
	}, "what %d sent to %s was not executed; it gives up", number, group)
}

// exploreRestarts restarts each acceptor, unless one has restarted already.
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

// exploreAll explores all states of some requesters. injectFault may be nil.
func exploreAll(requesters int, maxTerm uint64, injectFault func(*explorer)) *explorer {
	e := &explorer{acceptorNames: []string{"a", "b", "c"}, maxTerm: maxTerm, visited: map[uint64]bool{}}
	e.voterSet = VoterSetHash(e.acceptorNames)
	if injectFault != nil {
		injectFault(e)
	}
	e.explore(e.initialState(requesters), nil)
	return e
}

// raceEnabled is set if the race detector is on: the larger explorations then take minutes.
var raceEnabled bool

// In every order of messages, with losses, duplicates and a restarted acceptor, requests are
// sent to one group and at most one lease is exclusive.
func TestEveryOrderSendsToOneGroup(t *testing.T) {
	for _, x := range []struct {
		requesters int
		maxTerm    uint64
	}{{2, 1}, {2, 2}, {3, 1}} {
		if raceEnabled && x.requesters*int(x.maxTerm) > 2 {
			t.Skip("explored without the race detector")
		}
		e := exploreAll(x.requesters, x.maxTerm, nil)
		if e.violation != nil {
			t.Fatal(e.violation)
		}
		t.Logf("%d requesters, %d terms: %d states", x.requesters, x.maxTerm, len(e.visited))
		if len(e.visited) < 100 {
			t.Errorf("%d states, want at least 100", len(e.visited))
		}
	}
}

func TestExplorerFindsInjectedFaults(t *testing.T) {
	for name, injectFault := range map[string]func(*explorer){
		"a restarted acceptor grants at once": func(e *explorer) { e.skipRecovery = true },
		"a release of any term counts":        func(e *explorer) { e.ignoreLaterTerms = true },
	} {
		if e := exploreAll(2, 2, injectFault); e.violation == nil {
			t.Errorf("%s: no violation found in %d states", name, len(e.visited))
		}
	}
}
