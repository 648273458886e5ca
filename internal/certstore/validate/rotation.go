package validate

import (
	"crypto/sha256"
	"time"
)

const (
	// SettleTime is how long a transient fault may last before files are rejected. A script writes two files within
	// milliseconds, a slow copy over a network takes seconds.
	SettleTime = 10 * time.Second

	// minReplacementTime is the minimum period over which connections are replaced.
	minReplacementTime = time.Second
)

// Action is the result of an offer.
type Action uint8

// Results of an offer.
const (
	Unchanged Action = iota // the files are those in use
	Accepted                // the files are in use from now on
	Pending                 // the previous material remains in use; check again at Decision.RecheckAt
	Rejected                // the previous material remains in use
)

// Decision is the result of an offer with its reason.
type Decision struct {
	Action    Action
	Fault     *Fault    // the violated rule, for Pending and Rejected
	Report    bool      // the result was not reported to operators before
	RecheckAt time.Time // when the decision on the same files may change, for Pending
}

// Rotation holds the material in use and decides whether other material replaces it. It is not safe for concurrent use.
type Rotation struct {
	requirements    Requirements
	replacementTime time.Duration // period over which connections are replaced after a change
	serving         *Material     // in use; nil until files are accepted
	generation      int           // of serving, from 1
	since           time.Time     // when serving was accepted

	pending          pendingOffer
	reportedWarnings int // number of warningThresholds that were reported for serving
}

// pendingOffer is the last offer that was not accepted.
type pendingOffer struct {
	digest   [sha256.Size]byte
	fault    *Fault    // nil if there is no such offer
	since    time.Time // when the change that caused it was first noticed
	reported bool
}

// NewRotation returns a rotation without material. After a change, connections that were established before are
// replaced over replacementTime.
func NewRotation(requirements Requirements, replacementTime time.Duration) *Rotation {
	return &Rotation{requirements: requirements, replacementTime: max(replacementTime, minReplacementTime)}
}

// Serving returns the material in use and its generation, nil and 0 if none was accepted.
func (r *Rotation) Serving() (*Material, int) { return r.serving, r.generation }

// Offer decides whether files replace the material in use. The material is replaced completely or not at all.
func (r *Rotation) Offer(now time.Time, files Files) Decision {
	material, fault := Parse(files)
	if fault == nil && material.Equal(r.serving) {
		r.pending.fault = nil // the change was undone
		return Decision{Action: Unchanged}
	}
	if fault == nil {
		fault = material.CheckIdentity(now, r.requirements)
	}
	if fault == nil {
		r.accept(now, material)
		return Decision{Action: Accepted, Report: true}
	}
	r.pending.update(now, files.digestWithErrors(), fault)
	return r.pending.decide(now)
}

// accept makes material the one in use.
func (r *Rotation) accept(now time.Time, material *Material) {
	r.serving = material
	r.generation++
	r.since = now
	r.pending.fault = nil
	r.reportedWarnings = 0
}

// update records the fault of an offer. A sequence of different transient faults counts as one change.
func (p *pendingOffer) update(now time.Time, digest [sha256.Size]byte, fault *Fault) {
	if p.fault == nil || digest != p.digest || p.fault.Rule != fault.Rule {
		sameChange := p.fault != nil && p.fault.transient() && fault.transient()
		if !sameChange {
			p.since = now
		}
		p.digest = digest
		p.reported = false
	}
	p.fault = fault
	if now.Before(p.since) {
		p.since = now // the clock was set back
	}
}

// decide returns the decision on the offer. A transient fault is not reported before SettleTime has passed.
func (p *pendingOffer) decide(now time.Time) Decision {
	if p.fault.transient() && now.Sub(p.since) < SettleTime {
		return Decision{Action: Pending, Fault: p.fault, RecheckAt: p.since.Add(SettleTime)}
	}
	decision := Decision{Action: Rejected, Fault: p.fault, Report: !p.reported}
	if p.fault.Rule == NotYetValid {
		decision.Action = Pending
		decision.RecheckAt = p.fault.ValidFrom
	}
	p.reported = true
	return decision
}
