package reconcile

import (
	"log/slog"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// claimState is what a source last reported of an endpoint.
type claimState uint8

const (
	stateUp       claimState = iota
	stateDraining            // listed, and takes no new requests
	stateVanished            // was listed, and is not any more
	stateRetained            // missing from a suspect list, and not believed to be
)

// claim is one source's view of one endpoint.
type claim struct {
	state claimState
	host  engine.Host
	// since is when the endpoint arrived, began to drain or vanished. To be retained
	// does not change it.
	since time.Duration
	// drainingBefore is set if the endpoint was marked draining before it vanished.
	drainingBefore bool

	// evictAt is when a retained endpoint may be evicted.
	evictAt time.Duration
	// confirmedAt is when the source had last reported before it lost the endpoint, set
	// while the endpoint is retained.
	confirmedAt time.Duration

	// believedFrom is when an endpoint that flapped counts as up, if it stays.
	believedFrom time.Duration
	// returns counts how often the endpoint returned within flapWindow of lastReturn.
	returns    int
	lastReturn time.Duration
}

// update records that the source lists the endpoint as up or draining.
func (c *claim) update(now time.Duration, host engine.Host) {
	next := stateUp
	if host.State == balancer.Draining {
		next = stateDraining
	}
	if c.state != next || host.StartedMS > c.host.StartedMS {
		c.since = now
	}
	c.state, c.host = next, host
}

// supersedes reports whether the claim is about a later incarnation than another: one
// with a newer start time, or else one that arrived after the other's end.
func (c *claim) supersedes(other *claim) bool {
	if c.host.StartedMS != 0 && other.host.StartedMS != 0 && c.host.StartedMS != other.host.StartedMS {
		return c.host.StartedMS > other.host.StartedMS
	}
	return c.since > other.since
}

// source is the state of one membership source.
type source struct {
	kind Kind
	log  *slog.Logger // with the source's kind and name

	available   bool // it reports
	interrupted bool // it was unavailable since its last list
	hasList     bool // it has reported a list
	emptyList   bool // its last list was empty
	version     uint64
	reportedAt  time.Duration // of its last list or change
	listedAt    time.Duration // of its last list

	claims    map[string]*claim // by endpoint name
	retained  map[string]bool   // the names of claims in stateRetained
	evictedAt time.Duration     // when retained endpoints were last evicted, 0 for never
}

// presentCount returns the number of endpoints that have not vanished, retained ones
// included.
func (s *source) presentCount() int {
	count := 0
	for _, c := range s.claims {
		if c.state != stateVanished {
			count++
		}
	}
	return count
}

// missingFrom returns the endpoints that a list lacks, in order of name. It leaves out
// those that are retained already.
func (s *source) missingFrom(entries []Entry) []string {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Host.Name] = true
	}
	var missing []string
	for name, c := range s.claims {
		if (c.state == stateUp || c.state == stateDraining) && !listed[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}
