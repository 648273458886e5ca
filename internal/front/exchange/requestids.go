package exchange

import (
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"pinedale/internal/requestmeta"
)

const (
	// idRetention is for how long at least an id is remembered, unless maxRetainedIDs newer ones follow.
	idRetention = time.Minute
	// maxRetainedIDs bounds a generation of ids: two of them take about half a megabyte.
	maxRetainedIDs = 16 << 10
)

// idState is what is known of an X-Correlation-Id when a request with it arrives.
type idState int

const (
	idNew idState = iota
	idInFlight
	idMayHaveRun // a request with it that is not idempotent may have run
)

// Reasons why an id is refused.
var (
	errInFlight = &requestmeta.Error{
		Code:   http.StatusConflict,
		Reason: "a request with this X-Correlation-Id is already in flight",
	}
	errMayHaveRun = &requestmeta.Error{
		Code:   http.StatusConflict,
		Reason: "a request with this X-Correlation-Id may have run already",
	}
)

// conflict returns the error for a request whose id has this state, nil if it may be used.
func (s idState) conflict() error {
	switch s {
	case idInFlight:
		return errInFlight
	case idMayHaveRun:
		return errMayHaveRun
	}
	return nil
}

// requestIDs holds the ids of the requests in flight, and those of earlier requests that must not run again. The latter
// are kept as hashes, in two generations. It is safe for concurrent use.
type requestIDs struct {
	now  func() time.Time
	seed maphash.Seed

	mu        sync.Mutex
	inFlight  map[string]bool
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	rotatedAt time.Time
}

// newRequestIDs returns an empty set. now is time.Now, except in tests.
func newRequestIDs(now func() time.Time) *requestIDs {
	return &requestIDs{
		now:       now,
		seed:      maphash.MakeSeed(),
		inFlight:  map[string]bool{},
		current:   map[uint64]struct{}{},
		rotatedAt: now(),
	}
}

// begin records a new id as in flight. It does nothing but report the state of an id that is not new.
func (s *requestIDs) begin(id string) idState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[id] {
		return idInFlight
	}
	s.rotateIfDue()
	hash := maphash.String(s.seed, id)
	if _, ok := s.current[hash]; ok {
		return idMayHaveRun
	}
	if _, ok := s.previous[hash]; ok {
		return idMayHaveRun
	}
	s.inFlight[id] = true
	return idNew
}

// end records that the request with an id is no longer in flight. retain keeps the id from being used again.
func (s *requestIDs) end(id string, retain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, id)
	if !retain {
		return
	}
	s.rotateIfDue()
	s.current[maphash.String(s.seed, id)] = struct{}{}
}

// rotateIfDue starts a new generation once the current one is old or full. The caller holds s.mu.
func (s *requestIDs) rotateIfDue() {
	now := s.now()
	age := now.Sub(s.rotatedAt)
	if age < idRetention && len(s.current) < maxRetainedIDs {
		return
	}
	s.previous = s.current
	if age >= 2*idRetention {
		s.previous = nil
	}
	s.current = map[uint64]struct{}{}
	s.rotatedAt = now
}
