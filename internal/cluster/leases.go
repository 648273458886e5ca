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
	// votersPerKey is the number of voters of a key. Two of them are a majority. One of the three
	// may be unreachable for a time, but not both voters that have granted a lease.
	votersPerKey = 3
	// leaseRetryInterval is the time after which a lease request is sent again to voters that have
	// not responded: twice the round-trip time of a slow local network.
	leaseRetryInterval = 20 * time.Millisecond
	// duplicateTimeout is how long an instance grants nothing, in addition to the lease duration,
	// after it has found another instance with its name. In this time memberlist exchanges the
	// complete membership twice, which would reveal the other instance again.
	duplicateTimeout = time.Minute
	// forever is longer than the uptime of any node.
	forever = 100 * 365 * 24 * time.Hour
)

// leases requests leases of keys for this instance, and grants leases to other instances as one of
// the voters. The node's goroutine owns it, except for withoutMajority and post.
type leases struct {
	cfg       *Config
	started   time.Time // zero of the modules' clock
	self      replication.Origin
	voterSet  uint64
	transport *transport
	counts    *Counts
	post      PostFunc

	acceptor      *keylease.Acceptor    // votes on the requests of all instances
	localAcceptor *keylease.Acceptor    // grants leases to this instance only, without messages to voters
	open          map[uint64]*openLease // requests without a decision, by request number
}

// decisionFunc receives the decision on a lease request on the engine's goroutine.
type decisionFunc = func(now balancer.Micros, decision engine.LeaseDecision)

// openLease is a lease request without a decision.
type openLease struct {
	lease         *keylease.Lease
	request       engine.LeaseRequest
	startedAt     time.Duration
	sentAt        time.Duration // when it was last sent to the voters
	deadline      time.Duration
	onDecision    decisionFunc
	localResponse keylease.Response // of the local acceptor
}

func newLeases(
	cfg *Config, started time.Time, self replication.Origin, transport *transport, post PostFunc,
) *leases {
	l := &leases{
		cfg:       cfg,
		started:   started,
		self:      self,
		voterSet:  keylease.VoterSetHash(cfg.Voters),
		transport: transport,
		counts:    transport.counts,
		post:      post,
		open:      map[uint64]*openLease{},
	}
	l.restartAcceptor(0)
	limits := cfg.leaseLimits()
	l.localAcceptor = keylease.NewAcceptor(-limits.MaxDuration, limits, l.voterSet)
	return l
}

// restartAcceptor replaces the acceptor by one that starts at the given time. The new acceptor grants
// nothing until the lease duration has passed after that time.
func (l *leases) restartAcceptor(at time.Duration) {
	l.acceptor = keylease.NewAcceptor(at, l.cfg.leaseLimits(), l.voterSet)
}

// suspendAcceptor makes the acceptor grant nothing until resumeAcceptor.
func (l *leases) suspendAcceptor(now time.Duration) { l.restartAcceptor(now + forever) }

// resumeAcceptor makes a suspended acceptor grant again after the lease duration.
func (l *leases) resumeAcceptor(now time.Duration) {
	suspended := l.acceptor.RecoveringFor(now) > forever/2
	if suspended {
		l.restartAcceptor(now)
	}
}

// request sends a lease request to the key's voters.
func (l *leases) request(now time.Duration, request engine.LeaseRequest, onDecision decisionFunc) {
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
		startedAt:  now,
		deadline:   min(now+l.cfg.LeaseTimeout, now+time.Until(request.Deadline)),
		onDecision: onDecision,
	}
	open.localResponse, _ = l.localAcceptor.HandleRequest(now, leaseRequest)
	l.open[request.Request] = open
	l.sendRequest(now, open)
}

// release releases a lease at all voters, whether it was granted or not.
func (l *leases) release(now time.Duration, request engine.LeaseRequest) {
	delete(l.open, request.Request)
	key := l.key(request)
	release := message.Release{
		Key:   key,
		Owner: l.owner(request.Request),
		Term:  request.Term,
	}
	l.localAcceptor.HandleRelease(now, release.Key, release.Owner, release.Term)
	for _, voter := range l.voters(key) {
		if voter == l.cfg.Name {
			l.handleRelease(now, release)
		} else {
			l.transport.send(voter, release)
		}
	}
}

// retry sends open requests again, in case messages were lost, and resolves those whose deadline
// has passed.
func (l *leases) retry(now time.Duration) {
	for _, open := range l.open {
		switch {
		case now >= open.deadline:
			l.resolve(open, true)
		case now-open.sentAt >= leaseRetryInterval:
			open.lease.Retry()
			l.sendRequest(now, open)
		}
	}
}

// sendRequest sends a request to all voters that have not responded. If this instance is a voter,
// its own acceptor responds at once.
func (l *leases) sendRequest(now time.Duration, open *openLease) {
	open.sentAt = now
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

// handleRequest responds to another instance's request as a voter.
func (l *leases) handleRequest(now time.Duration, sender string, request keylease.Request) {
	if response, ok := l.acceptor.HandleRequest(now, request); ok {
		l.transport.send(sender, response)
	}
}

// handleResponse records a voter's response to a request of this instance.
func (l *leases) handleResponse(voter string, response keylease.Response) {
	number := response.Owner.Request
	open := l.open[number]
	if open == nil || response.Owner != l.owner(number) {
		return
	}
	if open.lease.HandleResponse(open.startedAt, voter, response) {
		l.resolve(open, false)
	}
}

// handleRelease releases a lease that this instance may have granted as a voter.
func (l *leases) handleRelease(now time.Duration, release message.Release) {
	l.acceptor.HandleRelease(now, release.Key, release.Owner, release.Term)
}

// key returns the lease key of a request, which depends on the name of its class.
func (l *leases) key(request engine.LeaseRequest) keylease.Key {
	return keylease.KeyOf(l.cfg.Classes[request.Class].Name, request.Key)
}

// voters returns the names of a key's voters.
func (l *leases) voters(key keylease.Key) []string {
	return keylease.Voters(l.cfg.Voters, key, votersPerKey)
}

// owner identifies a request of this instance as the owner of leases.
func (l *leases) owner(requestNumber uint64) keylease.Owner {
	return keylease.Owner{
		Name:    l.self.Name,
		Epoch:   l.self.Epoch,
		Request: requestNumber,
	}
}
