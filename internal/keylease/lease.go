package keylease

import "time"

// Outcome is the outcome of a lease request.
type Outcome uint8

// Outcomes of a lease request.
const (
	Pending   Outcome = iota // responses are missing
	Exclusive                // the requested group is granted and there is no other holder
	Shared                   // there are other holders; the request may have been executed already
	SplitVote                // no group can reach a majority any more: nothing may be sent
)

// Result is the evaluation of the votes for a lease request.
type Result struct {
	Outcome Outcome
	// Group is the group that the request may be sent to, for Exclusive and Shared.
	Group string
	// FirstGrantedAt is the earliest time at which a request may have been sent to Group, for
	// Exclusive and Shared.
	FirstGrantedAt time.Duration
}

// voteStatus is whether an acceptor has responded, and whether it granted the lease.
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
	grantedAt time.Duration // by the requester's clock; never later than the actual time
	denial    ResponseKind  // reason of a denied vote
}

// Lease is a requester's side of one lease request: it collects the votes for one term. It
// has no clock and sends nothing. The caller sends Request to the acceptors that Unanswered
// returns, and calls Retry before it sends Request again.
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
// requested. The age in a response is subtracted from it, so that a slow response makes a
// lease appear older than it is but never younger. HandleResponse reports whether the response
// was recorded: it is not if it belongs to another lease or the voter's grant is recorded already.
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

// newVote returns the vote of a response to a request that was first sent at requestedAt.
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

// Retry makes Unanswered return again the voters that could not vote, since they may be able to
// vote now.
func (l *Lease) Retry() {
	for i := range l.votes {
		if l.votes[i].status == voteDenied {
			l.votes[i].status = voteMissing
		}
	}
}

// State evaluates the votes.
func (l *Lease) State() Result {
	majority := len(l.voters)/2 + 1
	count := l.countVotes()
	switch {
	case count.leaderVotes+count.undecided < majority:
		return Result{Outcome: SplitVote}
	case count.leaderVotes < majority:
		return Result{Outcome: Pending}
	}
	return l.grantedResult(count.leader)
}

// grantedResult returns the result for a group that a majority has granted.
func (l *Lease) grantedResult(group string) Result {
	result := Result{Outcome: Exclusive, Group: group}
	if group != l.Request.Group {
		result.Outcome = Shared
	}
	first := true
	for _, v := range l.votes {
		if v.status != voteGranted || v.group != group {
			continue
		}
		if first || v.grantedAt < result.FirstGrantedAt {
			result.FirstGrantedAt = v.grantedAt
			first = false
		}
		if v.shared {
			result.Outcome = Shared
		}
	}
	return result
}

// voteCount is the distribution of votes.
type voteCount struct {
	leader      string // group with the most votes
	leaderVotes int
	undecided   int // voters that have not granted any group
}

// countVotes counts the votes. If several groups have the most votes, the leader is the one that
// reached that number first.
func (l *Lease) countVotes() voteCount {
	var count voteCount
	votesByGroup := map[string]int{}
	for _, v := range l.votes {
		if v.status != voteGranted {
			count.undecided++
			continue
		}
		votesByGroup[v.group]++
		if votesByGroup[v.group] > count.leaderVotes {
			count.leader = v.group
			count.leaderVotes = votesByGroup[v.group]
		}
	}
	return count
}

// Contended reports whether any vote reported another holder or granted another group.
func (l *Lease) Contended() bool {
	for _, v := range l.votes {
		if v.status == voteGranted && (v.shared || v.group != l.Request.Group) {
			return true
		}
	}
	return false
}

// DenialReason returns the reason of the first voter that could not vote, Granted if there is
// none.
func (l *Lease) DenialReason() ResponseKind {
	for _, v := range l.votes {
		if v.status == voteDenied {
			return v.denial
		}
	}
	return Granted
}
