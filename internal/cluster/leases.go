package cluster

import (
	"time"

	"pinedale/balancer"
	"pinedale/internal/cluster/message"
	"pinedale/internal/engine"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

const (
	// votersPerKey is the number of voters of a key: one of three may be lost or partitioned
	// for a time, never both of a majority that has granted.
	votersPerKey = 3
	// leaseRetryInterval is twice the round trip of a slow local network.
	leaseRetryInterval = 20 * time.Millisecond
	// duplicateTimeout is how long, beside the lease duration, an instance grants nothing after
	// it has found another of its name: two complete memberlist exchanges, in which it would
	// find it again.
	duplicateTimeout = time.Minute
	// forever is longer than any node runs.
	forever = 100 * 365 * 24 * time.Hour
)

// leases requests leases of keys for this instance, and grants them to others as one of the
// voters. The node's goroutine owns it, except for covers and withoutMajority, which read the
// configuration alone.
type leases struct {
	cfg       *Config
	started   time.Time // instants of the state are counted from here
	self      replication.Origin
	voterSet  uint64
	transport *transport
	counts    *Counts
	post      func(func(now balancer.Micros)) // to the engine

	acceptor *keylease.Acceptor    // grants leases to all instances
	local    *keylease.Acceptor    // all keys requested here: what is known without any answer
	open     map[uint64]*openLease // requests without a decision, by request number
}

// openLease is a lease request that waits for its decision.
type openLease struct {
	lease         *keylease.Lease
	request       engine.LeaseRequest
	started       time.Duration
	sent          time.Duration // when it was last sent to the voters
	deadline      time.Duration
	onDecision    func(balancer.Micros, engine.LeaseDecision)
	localResponse keylease.Response // what this instance knows by itself
}

func newLeases(
	cfg *Config, started time.Time, self replication.Origin, t *transport, post func(func(now balancer.Micros)),
) *leases {
	l := &leases{
		cfg:       cfg,
		started:   started,
		self:      self,
		voterSet:  keylease.VoterSetHash(cfg.Voters),
		transport: t,
		counts:    t.counts,
		post:      post,
		open:      map[uint64]*openLease{},
	}
	l.restartAcceptor(0)
	limits := cfg.leaseLimits()
	l.local = keylease.NewAcceptor(-limits.MaxDuration, limits, l.voterSet)
	return l
}

// restartAcceptor replaces the acceptor by one that starts at an instant: it grants nothing
// until the lease duration after it.
func (l *leases) restartAcceptor(at time.Duration) {
	l.acceptor = keylease.NewAcceptor(at, l.cfg.leaseLimits(), l.voterSet)
}

// suspendAcceptor has the acceptor grant nothing until resumeAcceptor.
func (l *leases) suspendAcceptor(now time.Duration) { l.restartAcceptor(now + forever) }

// resumeAcceptor has a suspended acceptor grant again after the lease duration.
func (l *leases) resumeAcceptor(now time.Duration) {
	if l.acceptor.RecoveringFor(now) > forever/2 {
		l.restartAcceptor(now)
	}
}

// request begins to request a lease from the key's voters.
func (l *leases) request(
	now time.Duration, request engine.LeaseRequest, onDecision func(balancer.Micros, engine.LeaseDecision),
) {
	l.counts.Requests++
	key := l.key(request)
	leaseRequest := keylease.Request{
		Key:      key,
		Owner:    l.owner(request.Request),
		Term:     request.Term,
		Group:    request.Group,
		Duration: l.cfg.LeaseDuration,
		VoterSet: l.voterSet,
	}
	open := &openLease{
		lease:      keylease.NewLease(leaseRequest, l.voters(key)),
		request:    request,
		started:    now,
		deadline:   min(now+l.cfg.LeaseTimeout, now+time.Until(request.Deadline)),
		onDecision: onDecision,
	}
	open.localResponse, _ = l.local.HandleRequest(now, leaseRequest)
	l.open[request.Request] = open
	l.sendRequest(now, open)
}

// release gives up a lease, granted or not.
func (l *leases) release(now time.Duration, request engine.LeaseRequest) {
	delete(l.open, request.Request)
	key := l.key(request)
	release := message.Release{Key: key, Owner: l.owner(request.Request), Term: request.Term}
	l.local.HandleRelease(now, release.Key, release.Owner, release.Term)
	for _, voter := range l.voters(key) {
		if voter == l.cfg.Name {
			l.handleRelease(now, release)
		} else {
			l.transport.send(voter, release)
		}
	}
}

// retry sends requests again whose answers may be lost, and decides those whose time is over.
func (l *leases) retry(now time.Duration) {
	for _, open := range l.open {
		switch {
		case now >= open.deadline:
			l.resolve(open, true)
		case now-open.sent >= leaseRetryInterval:
			open.lease.Retry()
			l.sendRequest(now, open)
		}
	}
}

// sendRequest sends a request to all voters that have not answered.
func (l *leases) sendRequest(now time.Duration, open *openLease) {
	open.sent = now
	for _, voter := range open.lease.Unanswered() {
		if voter != l.cfg.Name {
			l.transport.send(voter, open.lease.Request)
			continue
		}
		if response, ok := l.acceptor.HandleRequest(now, open.lease.Request); ok {
			l.handleResponse(voter, response)
		}
	}
}

// handleRequest answers another instance's request as a voter.
func (l *leases) handleRequest(now time.Duration, from string, request keylease.Request) {
	if response, ok := l.acceptor.HandleRequest(now, request); ok {
		l.transport.send(from, response)
	}
}

// handleResponse counts a voter's answer to an own request.
func (l *leases) handleResponse(voter string, response keylease.Response) {
	number := response.Owner.Request
	open := l.open[number]
	if open == nil || response.Owner != l.owner(number) {
		return
	}
	if open.lease.HandleResponse(open.started, voter, response) {
		l.resolve(open, false)
	}
}

// handleRelease releases a lease that this instance may have granted as a voter.
func (l *leases) handleRelease(now time.Duration, release message.Release) {
	l.acceptor.HandleRelease(now, release.Key, release.Owner, release.Term)
}

// resolve posts the decision on a request, if there is one. An expired request always has one.
func (l *leases) resolve(open *openLease, expired bool) {
	decision, ok := l.decide(open, expired)
	if !ok {
		return
	}
	delete(l.open, open.request.Request)
	l.post(func(now balancer.Micros) { open.onDecision(now, decision) })
}

// decide derives and counts the decision on a request. It returns false while answers that may
// still come are needed.
func (l *leases) decide(open *openLease, expired bool) (engine.LeaseDecision, bool) {
	outcome, group, first := open.lease.State()
	switch {
	case outcome == keylease.Exclusive:
		l.counts.Exclusive++
		return engine.LeaseDecision{Group: group, Since: l.started.Add(first)}, true
	case outcome == keylease.Shared:
		l.counts.Shared++
		return engine.LeaseDecision{Outcome: engine.LeaseShared, Group: group, Since: l.started.Add(first)}, true
	case outcome == keylease.SplitVote:
		// Several requested the key at once, and none can have a majority: none of them sends.
		l.counts.Denied++
		return denied("several ask for the key at once"), true
	case !expired:
		return engine.LeaseDecision{}, false
	case open.lease.Contended():
		l.counts.Denied++
		return denied("others hold the key, and no majority of its witnesses says where"), true
	case l.cfg.agreement(open.request.Class) == AgreeSoon && open.localResponse.Shared:
		// Nobody else answers, but another request with the key went through this instance.
		l.counts.Shared++
		return engine.LeaseDecision{
			Outcome: engine.LeaseShared,
			Group:   open.localResponse.Group,
			Since:   l.started.Add(open.started - open.localResponse.Age),
		}, true
	default:
		l.counts.NoMajority++
		reason := "no majority of the key's witnesses answered; one " + open.lease.DenialReason().String()
		return l.withoutMajority(open.request.Class, reason), true
	}
}

// withoutMajority is the decision where no majority of voters has answered.
func (l *leases) withoutMajority(class uint8, reason string) engine.LeaseDecision {
	if l.cfg.agreement(class) == AgreeAlways {
		return denied(reason)
	}
	return engine.LeaseDecision{Outcome: engine.LeaseExclusive}
}

func denied(reason string) engine.LeaseDecision {
	return engine.LeaseDecision{Outcome: engine.LeaseDenied, Reason: reason}
}

func (l *leases) key(request engine.LeaseRequest) keylease.Key {
	return keylease.KeyOf(l.cfg.Classes[request.Class].Name, request.Key)
}

func (l *leases) voters(key keylease.Key) []string {
	return keylease.Voters(l.cfg.Voters, key, votersPerKey)
}

func (l *leases) owner(request uint64) keylease.Owner {
	return keylease.Owner{Name: l.self.Name, Epoch: l.self.Epoch, Request: request}
}
