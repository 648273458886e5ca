package cluster

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/cluster/message"
	"pinedale/internal/engine"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

const (
	inboxCapacity  = 4096 // messages; one that finds the queue full is dropped, as a datagram may be
	tasksCapacity  = 4096 // lease requests and releases, and other calls
	tickInterval   = 5 * time.Millisecond
	expiryInterval = time.Second
)

// errClosed is returned by calls of a node that has ended.
var errClosed = errors.New("peers: the host has ended")

// Node takes part in the cluster for one instance. Its methods are safe for concurrent use.
type Node struct {
	cfg     Config
	log     *slog.Logger
	started time.Time
	self    replication.Origin

	inbox           chan []byte // messages from peers
	tasks           chan func() // to run on the node's goroutine
	droppedMessages atomic.Uint64

	done       chan struct{} // closed by Close
	goroutines sync.WaitGroup
	closeOnce  sync.Once

	members *membership

	// Owned by the goroutine of run, but for the methods that say otherwise.
	leases      *leases
	gossip      *gossip
	drains      *drains
	transport   *transport
	store       *replication.Store
	counts      Counts
	schedule    schedule
	lastCheck   time.Duration // when the clock was last checked for a stall
	longestTurn time.Duration
}

// schedule says when periodic work is due.
type schedule struct {
	gossip      time.Duration
	antiEntropy time.Duration
	expiry      time.Duration
}

// Counts are figures since the start.
type Counts struct {
	Requests   uint64 `json:"Claims"`  // lease requests of this instance
	Exclusive  uint64 `json:"Clear"`   // of these: granted, and nobody else has a lease of the key
	Shared     uint64 `json:"Shared"`  // granted for the group that others send to
	Denied     uint64 `json:"Refused"` // not to be sent: the votes are split, or others hold the key and no majority says for which group
	NoMajority uint64 `json:"Unsure"`  // sent or not, by class, since no majority of voters answered
	Received   uint64 `json:"Heard"`   // messages that were handled
	Malformed  uint64 `json:"Bad"`     // messages that could not be decoded
	Sent       uint64 `json:"Sent"`    // messages
	Bytes      uint64 `json:"Bytes"`   // of the messages sent
}

// Start listens and joins the cluster. post hands events to the engine's goroutine; the node
// calls it from its own goroutines and never from that one.
func Start(cfg Config, post func(func(now balancer.Micros))) (*Node, error) {
	epoch := uint64(time.Now().UnixMicro())
	n := newNode(cfg, epoch, post)
	if err := n.members.start(&n.cfg, &delegate{n}); err != nil {
		return nil, err
	}
	n.goroutines.Go(n.run)
	n.goroutines.Go(func() { n.members.joinLoop(n.cfg.Join, n.done) })
	return n, nil
}

// newNode returns a node that neither listens nor has goroutines. epoch tells this life of the
// instance from those before it.
func newNode(cfg Config, epoch uint64, post func(func(now balancer.Micros))) *Node {
	n := &Node{
		cfg:     cfg,
		log:     cfg.Log,
		started: time.Now(),
		self:    replication.Origin{Name: cfg.Name, Epoch: epoch},
		inbox:   make(chan []byte, inboxCapacity),
		tasks:   make(chan func(), tasksCapacity),
		done:    make(chan struct{}),
		members: newMembership(cfg.Name, cfg.Log),
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.store = replication.NewStore(n.self, topics, replication.DefaultLimits)
	n.transport = &transport{
		self:    n.self,
		members: n.members,
		counts:  &n.counts,
		budget:  newByteBudget(),
		log:     n.log,
	}
	n.leases = newLeases(&n.cfg, n.started, n.self, n.transport, post)
	n.drains = newDrains(&n.cfg, n.store, n.members, rng, post, &n.goroutines)
	n.gossip = &gossip{
		cfg:       &n.cfg,
		store:     n.store,
		members:   n.members,
		transport: n.transport,
		tallies:   newTallies(cfg.SlowStartTime),
		rng:       rng,
		log:       n.log,
	}
	return n
}

// Addr returns the host:port that the node listens on.
func (n *Node) Addr() string { return n.members.address() }

// Close announces to the others that this instance leaves, and waits for the node's goroutines.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		close(n.done)
		n.goroutines.Wait()
		n.members.stop()
	})
}

// Covers reports whether requests of a class need a lease. It is part of engine.KeyLeases.
func (n *Node) Covers(class uint8) bool { return n.cfg.agreement(class) != AgreeNever }

// Acquire requests a lease of a key. onDecision is called once, on the engine's goroutine.
func (n *Node) Acquire(
	request engine.LeaseRequest, onDecision func(now balancer.Micros, decision engine.LeaseDecision),
) {
	select {
	case n.tasks <- func() { n.leases.request(n.now(), request, onDecision) }:
	default:
		// This is the engine's goroutine: it must not wait for the node, and onDecision must not
		// be called from within. The goroutine ends as soon as the engine takes the event or ends.
		decision := n.leases.withoutMajority(request.Class, "too many claims wait")
		go n.leases.post(func(now balancer.Micros) { onDecision(now, decision) })
	}
}

// Release gives up a lease: nothing that was sent under it can have been executed.
func (n *Node) Release(request engine.LeaseRequest) {
	select {
	case n.tasks <- func() { n.leases.release(n.now(), request) }:
	default: // the lease expires, and until then keeps the key in its group
	}
}

// ObserveAttempt counts how an attempt or a probe ended. It is called on the engine's goroutine.
func (n *Node) ObserveAttempt(target *engine.Target, status balancer.Status) {
	incarnation := incarnationOf(target.Name, target.StartedMS)
	n.gossip.tallies.observe(time.Now(), incarnation, target.Started(), status)
}

// EndpointsUpdated takes over an update of the own endpoint list, on any goroutine.
func (n *Node) EndpointsUpdated(kind balancer.ListKind, list engine.List) {
	n.drains.endpointsUpdated(kind, list)
}

// now returns the modules' time, which counts from the start and never runs backwards.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// run owns the modules until Close.
func (n *Node) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case task := <-n.tasks:
			n.turn(func(time.Duration) { task() })
		case data := <-n.inbox:
			n.turn(func(time.Duration) { n.handleMessage(data) })
		case <-ticker.C:
			n.turn(n.handleTick)
		case <-n.done:
			return
		}
	}
}

// turn handles one event, and measures for how long that blocks others.
func (n *Node) turn(handle func(now time.Duration)) {
	woke := time.Now()
	handle(n.checkStall())
	n.longestTurn = max(n.longestTurn, time.Since(woke))
}

// checkStall returns the time. A process that was stopped for long may have a successor of its
// name, which has granted leases meanwhile. The successor grants nothing for the lease duration
// after its start, so a process that stalled for less than half of it has missed nothing. One
// that stalled for longer grants nothing until it has synchronized its membership with another
// instance, by which it finds out about a successor, and then for the lease duration.
func (n *Node) checkStall() time.Duration {
	now := n.now()
	stalled := now - n.lastCheck
	n.lastCheck = now
	// Without a lease duration no class needs leases, and nobody requests them.
	if n.cfg.LeaseDuration > 0 && stalled > n.cfg.LeaseDuration/2 {
		n.log.Warn("process stalled, acceptor recovering", "stalled_for", stalled)
		n.leases.suspendAcceptor(now)
		n.goroutines.Go(n.resumeAfterSync)
	}
	return now
}

// resumeAfterSync has the acceptor grant again once another instance has been reached.
func (n *Node) resumeAfterSync() {
	if !n.members.syncWithAny(n.done) {
		return
	}
	// It fails only where the node ends.
	_ = n.runTask(context.Background(), func() { n.leases.resumeAcceptor(n.now()) })
}

// recoverFromDuplicate has the acceptor grant nothing for a time after another instance of the
// same name was found.
func (n *Node) recoverFromDuplicate() { n.leases.restartAcceptor(n.now() + duplicateTimeout) }

// handleTick does what is due.
func (n *Node) handleTick(now time.Duration) {
	n.leases.retry(now)
	if now >= n.schedule.gossip {
		n.transport.budget.refill(replication.GossipInterval)
		n.gossip.advertise(now)
		n.drains.update(now)
		n.gossip.sendRumours(now)
		n.schedule.gossip = now + replication.GossipInterval
	}
	if now >= n.schedule.antiEntropy {
		n.gossip.sendDigest()
		n.schedule.antiEntropy = now + replication.AntiEntropyInterval
	}
	if now >= n.schedule.expiry {
		n.store.Expire(now)
		n.schedule.expiry = now + expiryInterval
	}
}

// handleMessage decodes a message from a peer and hands it to its module.
func (n *Node) handleMessage(data []byte) {
	m, err := message.Decode(data)
	if err != nil {
		n.counts.Malformed++
		if isPowerOfTwo(n.counts.Malformed) { // a peer can't fill the log
			n.log.Warn("peer message decoding failed", "err", err, "count", n.counts.Malformed)
		}
		return
	}
	n.counts.Received++
	now := n.now()
	from := m.From.Name
	switch what := m.Payload.(type) {
	case keylease.Request:
		n.leases.handleRequest(now, from, what)
	case keylease.Response:
		n.leases.handleResponse(from, what)
	case message.Release:
		n.leases.handleRelease(now, what)
	case message.Rumours:
		for _, rumour := range what {
			n.store.HandleRumour(now, rumour)
		}
	case replication.Digest:
		n.gossip.handleDigest(from, what)
	case *replication.Vectors:
		n.gossip.handleVectors(now, from, what)
	case replication.Delta:
		n.store.Merge(now, what)
	}
}

func isPowerOfTwo(n uint64) bool { return n&(n-1) == 0 }

// runTask runs a function on the node's goroutine and waits for its end.
func (n *Node) runTask(ctx context.Context, task func()) error {
	finished := make(chan struct{})
	run := func() {
		task()
		close(finished)
	}
	select {
	case n.tasks <- run:
	case <-n.done:
		return errClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-n.done:
		return errClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}
