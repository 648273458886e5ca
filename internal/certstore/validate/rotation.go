package validate

import (
	"crypto/sha256"
	"time"
)

const (
	// SettleTime is how long a transient fault may last before files are rejected. A script writes two files
	// within milliseconds, a slow copy over a network within seconds.
	SettleTime = 10 * time.Second

	// minSpread is the shortest period over which connections are replaced.
	minSpread = time.Second
)

// Action is the result of an offer.
type Action uint8

// The results of an offer.
const (
	Unchanged Action = iota // the files are those that serve
	Accepted                // the files serve from now on
	Pending                 // the previous material keeps serving; check again at Decision.RecheckAt
	Rejected                // the previous material keeps serving
)

// Decision is the result of an offer with its reason.
type Decision struct {
	Action    Action
	Fault     *Fault    // Pending and Rejected: the broken rule
	Report    bool      // operators have not been informed of this yet
	RecheckAt time.Time // Pending: when the same files may be decided on differently
}

// Rotation holds the material that serves and decides whether other material replaces it. It is not safe for
// concurrent use. Create one with NewRotation.
type Rotation struct {
	want       Requirements
	spread     time.Duration // period over which connections are replaced after a change
	serving    *Material     // nil until files are accepted
	generation int           // of serving, from 1
	since      time.Time     // when serving was accepted

	pending pendingOffer
	warned  int // how many warningThresholds were reported for serving
}

// pendingOffer is the last offer that was not accepted.
type pendingOffer struct {
	digest   [sha256.Size]byte
	fault    *Fault    // nil if there is no such offer
	since    time.Time // when the change that caused it was first seen
	reported bool
}

// NewRotation returns a Rotation that serves nothing yet. After a change, connections made before it are replaced
// over the given period.
func NewRotation(want Requirements, spread time.Duration) *Rotation {
	return &Rotation{want: want, spread: max(spread, minSpread)}
}

// Serving returns the material that serves and its generation; nil and 0 before any was accepted.
func (r *Rotation) Serving() (*Material, int) { return r.serving, r.generation }

// Offer decides on files as they are now. The material is replaced completely or not at all.
func (r *Rotation) Offer(now time.Time, files Files) Decision {
	material, fault := Parse(files)
	if fault == nil && material.Equal(r.serving) {
		r.pending.fault = nil // an operator has undone the change
		return Decision{Action: Unchanged}
	}
	if fault == nil {
		fault = material.CheckIdentity(now, r.want)
	}
	if fault == nil {
		r.accept(now, material)
		return Decision{Action: Accepted, Report: true}
	}
	r.pending.update(now, files.digestWithErrors(), fault)
	return r.pending.decide(now)
}

// accept lets material serve.
func (r *Rotation) accept(now time.Time, material *Material) {
	r.serving = material
	r.generation++
	r.since = now
	r.pending.fault = nil
	r.warned = 0
}

// update records the fault of an offer. A sequence of different transient faults counts as one change.
func (p *pendingOffer) update(now time.Time, digest [sha256.Size]byte, fault *Fault) {
	if p.fault == nil || digest != p.digest || p.fault.Rule != fault.Rule {
		if p.fault == nil || !fault.transient() || !p.fault.transient() {
			p.since = now
		}
		p.digest, p.reported = digest, false
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
		decision.Action, decision.RecheckAt = Pending, p.fault.ValidFrom
	}
	p.reported = true
	return decision
}
