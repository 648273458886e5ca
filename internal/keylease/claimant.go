package keylease

import "time"

// Outcome says what a claim has come to.
type Outcome uint8

// The outcomes of a claim.
const (
	Pending   Outcome = iota // not known yet
	Exclusive                // the group that was asked for, and nobody else holds the key
	Shared                   // others hold it: Group is where the request may go, and it may have run since First
	SplitVote                // no group can have a majority of the answers that came: nothing may be sent
)

// Lease is one claimant's round for one key. It has no clock: the host tells the instants,
// asks the witnesses that Missing names, and again after a while.
type Lease struct {
	Request   Request
	witnesses []string
	answers   []told
}

// told is a witness's answer as the claimant takes it.
type told struct {
	came   bool // an answer that counts
	cannot bool // or one that says that none will
	group  string
	others bool
	first  time.Duration // by the claimant's clock, not later than it was
	why    ResponseKind
}

// NewLease returns a claim that nobody has been asked for yet.
func NewLease(a Request, witnesses []string) *Lease {
	return &Lease{Request: a, witnesses: witnesses, answers: make([]told, len(witnesses))}
}

// Unanswered are the witnesses that have not answered.
func (c *Lease) Unanswered() []string {
	var out []string
	for i, w := range c.witnesses {
		if !c.answers[i].came && !c.answers[i].cannot {
			out = append(out, w)
		}
	}
	return out
}

// HandleResponse takes a witness's answer in. asked is when this claim was first asked: the ages
// in answers are counted from there, so that a slow answer makes a claim older, never
// younger. It says whether the answer is of this claim.
func (c *Lease) HandleResponse(asked time.Duration, witness string, a Response) bool {
	if a.Key != c.Request.Key || a.Owner != c.Request.Owner || a.Term != c.Request.Term {
		return false
	}
	for i, w := range c.witnesses {
		if w != witness || c.answers[i].came {
			continue
		}
		if a.Kind != Granted {
			// It may be able to later: a claim that is still open then asks it again.
			c.answers[i].cannot, c.answers[i].why = true, a.Kind
			return true
		}
		c.answers[i] = told{came: true, group: a.Group, others: a.Shared, first: asked - max(0, a.Age)}
		return true
	}
	return false
}

// Retry has witnesses that could not answer be asked once more.
func (c *Lease) Retry() {
	for i := range c.answers {
		c.answers[i].cannot = false
	}
}

// State says what the answers so far come to. group and first are of Alone and Bound.
func (c *Lease) State() (o Outcome, group string, first time.Duration) {
	majority := len(c.witnesses)/2 + 1
	votes, silent, best := map[string]int{}, 0, 0
	for _, a := range c.answers {
		if !a.came {
			silent++
			continue
		}
		votes[a.group]++
		best = max(best, votes[a.group])
	}
	if best < majority {
		if best+silent < majority {
			return SplitVote, "", 0
		}
		return Pending, "", 0
	}
	alone, begun := true, false
	for _, a := range c.answers {
		if !a.came || votes[a.group] < majority {
			continue
		}
		if !begun || a.first < first {
			first, begun = a.first, true
		}
		group, alone = a.group, alone && !a.others
	}
	if alone && group == c.Request.Group {
		return Exclusive, group, first
	}
	return Shared, group, first
}

// Seen says whether any answer told of another holder or another group: while none did, a
// claim that is still open has met nobody.
func (c *Lease) Seen() bool {
	for _, a := range c.answers {
		if a.came && (a.others || a.group != c.Request.Group) {
			return true
		}
	}
	return false
}

// DenialReason names what kept witnesses from answering, Told if nothing did.
func (c *Lease) DenialReason() ResponseKind {
	for _, a := range c.answers {
		if a.cannot && !a.came {
			return a.why
		}
	}
	return Granted
}

// String is the kind in words.
func (k ResponseKind) String() string {
	return [...]string{"told", "started too lately", "has other witnesses in its file", "has no room"}[min(k, 3)]
}
