package keylease

import "time"

// Outcome is the result of a lease request, as far as it is known.
type Outcome uint8

// The outcomes of a lease request.
const (
	Pending   Outcome = iota // not known yet
	Exclusive                // the requested group is granted and there is no other holder
	Shared                   // there are other holders; the request may have been executed already
	SplitVote                // no group can reach a majority any more: nothing may be sent
)

// voteStatus says whether an acceptor has responded.
type voteStatus uint8

const (
	voteMissing voteStatus = iota
	voteGranted
	voteDenied // the acceptor could not vote; Retry makes it missing again
)

// vote is the response of one acceptor, as recorded by the requester.
type vote struct {
	status    voteStatus
	group     string
	shared    bool
	grantedAt time.Duration // by the requester's clock, not later than it was
	denial    ResponseKind  // of a denied vote: the reason
}

// Lease is a requester's side of one lease request: it collects the votes for one term. It
// has no clock and sends nothing. The caller sends Request to the acceptors that Unanswered
// names, and calls Retry before it sends it again.
type Lease struct {
	Request Request
	voters  []string
	votes   []vote // by index of the voter
}

// NewLease returns a lease request that no acceptor has responded to. voters is the voter set
// of the key.
func NewLease(request Request, voters []string) *Lease {
	return &Lease{Request: request, voters: voters, votes: make([]vote, len(voters))}
}

// Unanswered returns the voters that have not responded.
func (l *Lease) Unanswered() []string {
	var names []string
	for i, name := range l.voters {
		if l.votes[i].status == voteMissing {
			names = append(names, name)
		}
	}
	return names
}

// HandleResponse records a voter's response. requestedAt is when this lease was first
// requested: the age in a response is subtracted from it, so that a slow response makes a
// lease older than it is and never younger. It reports whether the response was recorded:
// false if it is not of this lease or the voter's grant is recorded already.
func (l *Lease) HandleResponse(requestedAt time.Duration, voter string, response Response) bool {
	if response.Key != l.Request.Key || response.Owner != l.Request.Owner || response.Term != l.Request.Term {
		return false
	}
	for i, name := range l.voters {
		if name != voter || l.votes[i].status == voteGranted {
			continue
		}
		l.votes[i] = newVote(requestedAt, response)
		return true
	}
	return false
}

// newVote returns the vote that a response to a request of requestedAt casts.
func newVote(requestedAt time.Duration, response Response) vote {
	if response.Kind != Granted {
		return vote{status: voteDenied, denial: response.Kind}
	}
	return vote{
		status:    voteGranted,
		group:     response.Group,
		shared:    response.Shared,
		grantedAt: requestedAt - max(0, response.Age),
	}
}

// Retry makes Unanswered name the voters again that could not vote: they may be able to now.
func (l *Lease) Retry() {
	for i := range l.votes {
		if l.votes[i].status == voteDenied {
			l.votes[i].status = voteMissing
		}
	}
}

// State evaluates the votes. group and first are set for Exclusive and Shared: the group that
// the request may be sent to, and the earliest time at which it may have been sent there.
func (l *Lease) State() (outcome Outcome, group string, first time.Duration) {
	majority := len(l.voters)/2 + 1
	leader, count, undecided := l.tally()
	if count+undecided < majority {
		return SplitVote, "", 0
	}
	if count < majority {
		return Pending, "", 0
	}
	shared, found := false, false
	for _, v := range l.votes {
		if v.status != voteGranted || v.group != leader {
			continue
		}
		if !found || v.grantedAt < first {
			first, found = v.grantedAt, true
		}
		shared = shared || v.shared
	}
	if shared || leader != l.Request.Group {
		return Shared, leader, first
	}
	return Exclusive, leader, first
}

// tally returns the group with the most votes, their count, and the number of voters that
// have not granted any group yet.
func (l *Lease) tally() (leader string, count, undecided int) {
	counts := map[string]int{}
	for _, v := range l.votes {
		if v.status != voteGranted {
			undecided++
			continue
		}
		counts[v.group]++
		if counts[v.group] > count {
			leader, count = v.group, counts[v.group]
		}
	}
	return leader, count, undecided
}

// Contended reports whether any vote named another holder or another group. While none did, a
// pending lease has met no competing request.
func (l *Lease) Contended() bool {
	for _, v := range l.votes {
		if v.status == voteGranted && (v.shared || v.group != l.Request.Group) {
			return true
		}
	}
	return false
}

// DenialReason returns why the first of the voters that could not vote could not, and Granted
// if there is none.
func (l *Lease) DenialReason() ResponseKind {
	for _, v := range l.votes {
		if v.status == voteDenied {
			return v.denial
		}
	}
	return Granted
}
