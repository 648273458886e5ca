package cluster

import (
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/keylease"
)

// Reasons of denied leases, for the log.
const (
	reasonQueueFull  = "too many lease requests are queued"
	reasonSplitVote  = "several instances request the key at the same time"
	reasonContended  = "other instances hold the key, and no majority of voters grants one group"
	reasonNoMajority = "no majority of the key's voters granted a lease"
)

// resolve posts the decision on a request if there is one. If expired is set, because the request's
// deadline has passed, there always is one.
func (l *leases) resolve(open *openLease, expired bool) {
	decision, ok := l.decide(open, expired)
	if !ok {
		return
	}
	delete(l.open, open.request.Request)
	l.post(func(now balancer.Micros) { open.onDecision(now, decision) })
}

// decide returns the decision on a request and counts it. ok is false if the decision depends on
// responses that may still arrive.
func (l *leases) decide(open *openLease, expired bool) (decision engine.LeaseDecision, ok bool) {
	result := open.lease.State()
	switch {
	case result.Outcome == keylease.Exclusive:
		l.counts.Exclusive++
		return engine.LeaseDecision{
			Outcome: engine.LeaseExclusive,
			Group:   result.Group,
			Since:   l.started.Add(result.FirstGrantedAt),
		}, true
	case result.Outcome == keylease.Shared:
		return l.shared(result.Group, result.FirstGrantedAt), true
	case result.Outcome == keylease.SplitVote:
		// Requests of several instances split the votes, so that none can reach a majority.
		l.counts.Denied++
		return denied(reasonSplitVote), true
	case expired:
		return l.decideExpired(open), true
	}
	return engine.LeaseDecision{}, false
}

// decideExpired returns the decision on a request whose deadline passed without a majority.
func (l *leases) decideExpired(open *openLease) engine.LeaseDecision {
	if open.lease.Contended() {
		l.counts.Denied++
		return denied(reasonContended)
	}
	local := open.localResponse
	if l.cfg.agreement(open.request.Class) == AgreeSoon && local.Shared {
		// No voter reported another holder, but another request of this instance holds the key.
		return l.shared(local.Group, open.startedAt-local.Age)
	}
	l.counts.NoMajority++
	reason := reasonNoMajority
	if denial := open.lease.DenialReason(); denial != keylease.Granted {
		reason += "; one of them " + denial.String()
	}
	return l.withoutMajority(open.request.Class, reason)
}

// shared counts and returns the decision to send to the group of other holders. first is the
// earliest time at which one of them may have sent its request.
func (l *leases) shared(group string, first time.Duration) engine.LeaseDecision {
	l.counts.Shared++
	return engine.LeaseDecision{
		Outcome: engine.LeaseShared,
		Group:   group,
		Since:   l.started.Add(first),
	}
}

// withoutMajority returns the decision on a request for which no majority of voters has responded.
// It may be called on any goroutine.
func (l *leases) withoutMajority(class uint8, reason string) engine.LeaseDecision {
	if l.cfg.agreement(class) == AgreeAlways {
		return denied(reason)
	}
	return engine.LeaseDecision{Outcome: engine.LeaseExclusive}
}

func denied(reason string) engine.LeaseDecision {
	return engine.LeaseDecision{Outcome: engine.LeaseDenied, Reason: reason}
}
