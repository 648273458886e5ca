package keylease

import (
	"hash/fnv"
	"slices"
	"strings"
)

// exploredState is one state of all acceptors and requesters.
type exploredState struct {
	acceptors  []*Acceptor
	restarted  []bool // by acceptor
	requesters []*requester
}

// requester is one instance that requests the key.
type requester struct {
	lease         *Lease
	term          uint64
	sentTo        string   // group that the request was sent to, "" for none
	exclusive     bool     // the lease was exclusive when the request was sent
	finished      bool     // the request was not executed, and the requester has given up
	releasedTerms []uint64 // releases that the network may deliver
}

// waiting reports whether the requester waits for votes.
func (r *requester) waiting() bool { return r.sentTo == "" && !r.finished }

// clone returns a state that shares its acceptors and requesters with s. A step that changes
// one of them takes a copy by mutableAcceptor or mutableRequester first.
func (s *exploredState) clone() *exploredState {
	return &exploredState{
		acceptors:  slices.Clone(s.acceptors),
		restarted:  s.restarted,
		requesters: slices.Clone(s.requesters),
	}
}

// mutableAcceptor replaces an acceptor by a copy and returns it. There is at most one key.
func (s *exploredState) mutableAcceptor(index int) *Acceptor {
	acceptor := *s.acceptors[index]
	acceptor.keys = map[Key]*keyState{}
	acceptor.expirationQueue = nil
	for key, original := range s.acceptors[index].keys {
		state := *original
		state.holders = slices.Clone(original.holders)
		acceptor.keys[key] = &state
		acceptor.expirationQueue = []*keyState{&state}
	}
	s.acceptors[index] = &acceptor
	return &acceptor
}

// mutableRequester replaces a requester by a copy and returns it.
func (s *exploredState) mutableRequester(index int) *requester {
	r := *s.requesters[index]
	lease := *r.lease
	lease.votes = slices.Clone(r.lease.votes)
	r.lease = &lease
	r.releasedTerms = slices.Clone(r.releasedTerms)
	s.requesters[index] = &r
	return &r
}

// hash returns a hash of all that determines which states can follow.
func (s *exploredState) hash() uint64 {
	var encoded []byte
	for i, acceptor := range s.acceptors {
		encoded = appendFlag(encoded, s.restarted[i])
		if state := acceptor.keys[exploredKey]; state != nil {
			encoded = appendKeyState(encoded, state)
		}
	}
	for _, r := range s.requesters {
		encoded = appendRequester(encoded, r)
	}
	hash := fnv.New64a()
	hash.Write(encoded)
	return hash.Sum64()
}

func appendFlag(encoded []byte, set bool) []byte {
	if set {
		return append(encoded, 'y')
	}
	return append(encoded, 'n')
}

func appendKeyState(encoded []byte, state *keyState) []byte {
	holders := slices.Clone(state.holders)
	slices.SortFunc(holders, func(a, b holder) int { return strings.Compare(a.owner.Name, b.owner.Name) })
	encoded = append(encoded, 'g')
	encoded = append(encoded, state.group...)
	for _, h := range holders {
		encoded = append(encoded, h.owner.Name...)
		encoded = append(encoded, byte(h.term))
		encoded = appendFlag(encoded, h.released)
	}
	return encoded
}

func appendRequester(encoded []byte, r *requester) []byte {
	encoded = append(encoded, '|', byte(r.term), byte(len(r.releasedTerms)))
	encoded = append(encoded, r.sentTo...)
	encoded = appendFlag(encoded, r.exclusive)
	encoded = appendFlag(encoded, r.finished)
	if !r.waiting() {
		return encoded // its votes no longer matter
	}
	for _, v := range r.lease.votes {
		encoded = appendFlag(encoded, v.status == voteGranted)
		encoded = appendFlag(encoded, v.shared)
		encoded = append(encoded, v.group...)
	}
	return encoded
}

// validate returns the property that the state violates, nil if it violates none.
func (s *exploredState) validate() error {
	group := ""
	exclusive := 0
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
