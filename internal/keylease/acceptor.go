package keylease

import (
	"slices"
	"time"
)

// Limits bound the memory of an acceptor, whatever messages it receives.
type Limits struct {
	MaxKeys     int           // keys that are leased at the same time; one takes about 200 bytes
	MaxHolders  int           // holders of one key, including those that have released it
	MaxDuration time.Duration // longest lease that is granted
}

// holder is an owner that has requested a key. It stays recorded after a release until the
// lease expires, so that a delayed request of a released term is recognised.
type holder struct {
	owner    Owner
	term     uint64
	released bool
}

// supersedes reports whether the holder has ended a term: it is in a later one, or has released
// this one.
func (h *holder) supersedes(term uint64) bool {
	return h.term > term || h.released && h.term >= term
}

// keyState is an acceptor's state of one key.
type keyState struct {
	key       Key
	group     string
	grantedAt time.Duration // when the key was first granted for this group
	expiresAt time.Duration
	holders   []holder
}

// holderIndex returns the index of an owner among the holders, -1 if it is none of them.
func (s *keyState) holderIndex(owner Owner) int {
	return slices.IndexFunc(s.holders, func(h holder) bool { return h.owner == owner })
}

// hasOtherHolder reports whether any holder other than the one at index has not released the key.
func (s *keyState) hasOtherHolder(index int) bool {
	for i, h := range s.holders {
		if i != index && !h.released {
			return true
		}
	}
	return false
}

// Acceptor grants leases of keys. It is not safe for concurrent use: one goroutine owns it.
// Times are by the owner's monotonic clock.
type Acceptor struct {
	limits          Limits
	voterSet        uint64        // see VoterSetHash
	recoveredAt     time.Duration // until then leases of the previous incarnation may be valid
	keys            map[Key]*keyState
	expirationQueue []*keyState // states, also replaced ones, in the order in which expireSome inspects them
}

// NewAcceptor returns an acceptor that grants nothing until the longest lease of a previous
// incarnation has expired. voterSet is the hash of the configured voters, see VoterSetHash.
func NewAcceptor(now time.Duration, limits Limits, voterSet uint64) *Acceptor {
	return &Acceptor{
		limits:      limits,
		voterSet:    voterSet,
		recoveredAt: now + limits.MaxDuration,
		keys:        map[Key]*keyState{},
	}
}

// KeyCount returns the number of keys that are stored.
func (a *Acceptor) KeyCount() int { return len(a.keys) }

// RecoveringFor returns how long the acceptor will continue to grant nothing, 0 if it grants.
func (a *Acceptor) RecoveringFor(now time.Duration) time.Duration {
	return max(0, a.recoveredAt-now)
}

// HandleRequest processes a lease request. ok is false if no response must be sent, because the
// owner has already ended the term of the request.
func (a *Acceptor) HandleRequest(now time.Duration, request Request) (response Response, ok bool) {
	a.expireSome(now)
	response = Response{Key: request.Key, Owner: request.Owner, Term: request.Term}
	switch {
	case request.VoterSet != a.voterSet:
		response.Kind = UnknownVoters
		return response, true
	case now < a.recoveredAt:
		response.Kind = Recovering
		return response, true
	}
	state := a.findOrAddKey(now, request.Key)
	if state == nil {
		response.Kind = AtCapacity
		return response, true
	}
	index := state.holderIndex(request.Owner)
	if index >= 0 && state.holders[index].supersedes(request.Term) {
		return response, false
	}
	if index < 0 && len(state.holders) >= a.limits.MaxHolders {
		response.Kind = AtCapacity
		return response, true
	}
	response.Shared = state.hasOtherHolder(index)
	a.grant(now, state, index, request, response.Shared)
	response.Group = state.group
	response.Age = now - state.grantedAt
	return response, true
}

// findOrAddKey returns the state of a key, a new one if there is none or it has expired, and
// nil if there is no capacity for a new one.
func (a *Acceptor) findOrAddKey(now time.Duration, key Key) *keyState {
	state := a.keys[key]
	if state != nil && now < state.expiresAt {
		return state
	}
	if state == nil && len(a.keys) >= a.limits.MaxKeys {
		return nil
	}
	state = &keyState{key: key}
	a.keys[key] = state
	a.expirationQueue = append(a.expirationQueue, state)
	return state
}

// grant records the requester as a holder. index is its index among the holders, -1 if it is
// a new one. The group changes only if there is no other holder and the request is not a
// retransmission of the current term.
func (a *Acceptor) grant(now time.Duration, state *keyState, index int, request Request, shared bool) {
	retransmitted := index >= 0 && !state.holders[index].released && state.holders[index].term == request.Term
	if !shared && !retransmitted {
		state.group = request.Group
		state.grantedAt = now
	}
	if index < 0 {
		index = len(state.holders)
		state.holders = append(state.holders, holder{})
	}
	state.holders[index] = holder{owner: request.Owner, term: request.Term}
	duration := min(max(0, request.Duration), a.limits.MaxDuration)
	state.expiresAt = max(state.expiresAt, now+duration)
}

// HandleRelease ends the lease of an owner for a term and all terms before it.
func (a *Acceptor) HandleRelease(now time.Duration, key Key, owner Owner, term uint64) {
	state := a.keys[key]
	if state == nil || now >= state.expiresAt {
		return
	}
	index := state.holderIndex(owner)
	if index < 0 || state.holders[index].term > term {
		return
	}
	state.holders[index].term = term
	state.holders[index].released = true
}

// expirationsPerRequest is how many keys expireSome inspects. Each request adds one key at
// most, so that expired keys are removed faster than new ones are added.
const expirationsPerRequest = 2

// expireSome removes expired keys. It inspects a few keys only, so that no call takes time in
// proportion to the number of keys.
func (a *Acceptor) expireSome(now time.Duration) {
	for range expirationsPerRequest {
		if len(a.expirationQueue) == 0 {
			return
		}
		state := a.expirationQueue[0]
		a.expirationQueue = a.expirationQueue[1:]
		switch {
		case now < state.expiresAt:
			a.expirationQueue = append(a.expirationQueue, state)
		case a.keys[state.key] == state: // otherwise a newer state has replaced it
			delete(a.keys, state.key)
		}
	}
}
