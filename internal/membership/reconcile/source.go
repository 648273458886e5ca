package reconcile

import (
	"log/slog"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// claimState is the state of an endpoint according to one source.
type claimState uint8

const (
	stateUp       claimState = iota
	stateDraining            // listed, but takes no new requests
	stateVanished            // no longer listed
	stateRetained            // missing from a suspect list, and still counted as up
)

// claim is one source's view of one endpoint.
type claim struct {
	state claimState
	host  engine.Host
	// since is when the claim began: when the endpoint was listed, restarted, began to drain or
	// vanished. Retaining the endpoint does not change this time.
	since time.Duration
	// wasDraining is set if the endpoint was draining when it vanished.
	wasDraining bool

	// evictAt is when a retained endpoint may be evicted.
	evictAt time.Duration
	// confirmedAt is the time of the source's last report that listed a retained endpoint.
	confirmedAt time.Duration

	// upFrom is when an endpoint that flapped counts as up, if it does not vanish before.
	upFrom time.Duration
	// returns counts the endpoint's successive returns, each within flapWindow of the previous
	// one. The last of them was at lastReturn.
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
	c.state = next
	c.host = host
}

// supersedes reports whether the claim takes precedence over other: it has a newer start time or,
// if the start times are equal or unknown, it began later.
func (c *claim) supersedes(other *claim) bool {
	started, otherStarted := c.host.StartedMS, other.host.StartedMS
	if started != 0 && otherStarted != 0 && started != otherStarted {
		return started > otherStarted
	}
	return c.since > other.since
}

// source is the state of one membership source.
type source struct {
	kind Kind
	log  *slog.Logger // with the source's kind and name

	available   bool
	interrupted bool // unavailable at some time since the last list
	hasList     bool // at least one list was reported
	emptyList   bool // the last list was empty
	version     uint64
	reportedAt  time.Duration // time of the last list or change
	listedAt    time.Duration // time of the last list

	claims    map[string]*claim // by endpoint name
	retained  map[string]bool   // names of the claims in stateRetained
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

// missingFrom returns the names of the up and draining endpoints that a list does not contain,
// sorted.
func (s *source) missingFrom(hosts []engine.Host) []string {
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = true
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

// lastListing returns the time of the last report in which the source listed an endpoint as up.
// listed is false if the source has no claim on it that is up or retained.
func (s *source) lastListing(name string) (at time.Duration, listed bool) {
	c := s.claims[name]
	switch {
	case c == nil:
		return 0, false
	case c.state == stateUp:
		return s.reportedAt, true
	case c.state == stateRetained:
		return c.confirmedAt, true
	}
	return 0, false
}
