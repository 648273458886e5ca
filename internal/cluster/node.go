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
	"pinedale/internal/engine"
	"pinedale/internal/replication"
)

const (
	inboxCapacity = 4096 // messages from peers; further ones are dropped, like lost datagrams
	tasksCapacity = 4096 // lease requests, releases and other calls
)

// ErrClosed is returned by methods of a node after Close.
var ErrClosed = errors.New("peers: the node is closed")

// Node takes part in the cluster for one instance. Its methods are safe for concurrent use.
type Node struct {
	cfg     Config
	log     *slog.Logger
	started time.Time
	self    replication.Origin

	inbox           chan []byte // messages from peers
	tasks           chan func() // called on the node's goroutine
	droppedMessages atomic.Uint64

	done       chan struct{}  // closed by Close
	goroutines sync.WaitGroup // Close waits for all goroutines of the node
	closeOnce  sync.Once
	closeMu    sync.Mutex
	closed     bool // if set, startGoroutine does nothing

	members *membership

	// The goroutine of run owns the fields below. Methods of the modules that may be called on
	// other goroutines say so.
	leases       *leases
	gossip       *gossip
	drains       *drains
	transport    *transport
	store        *replication.Store
	counts       Counts
	schedule     schedule
	lastEventAt  time.Duration // when the last event was handled
	longestEvent time.Duration // longest time that the handling of one event took
}

// Counts are numbers of lease requests and messages since the start.
type Counts struct {
	Requests   uint64 `json:"Claims"`  // lease requests of this instance
	Exclusive  uint64 `json:"Clear"`   // of these, granted without another holder of the key
	Shared     uint64 `json:"Shared"`  // of these, granted for the group of other holders
	Denied     uint64 `json:"Refused"` // of these, denied because of competing requests
	NoMajority uint64 `json:"Unsure"`  // of these, decided by the class's Agreement, without a majority of voters
	Received   uint64 `json:"Heard"`   // messages that were decoded
	Malformed  uint64 `json:"Bad"`     // messages that could not be decoded
	Sent       uint64 `json:"Sent"`    // messages
	Bytes      uint64 `json:"Bytes"`   // of the messages sent
}

// Start listens and joins the cluster.
func Start(cfg Config, post PostFunc) (*Node, error) {
	epoch := uint64(time.Now().UnixMicro())
	n := newNode(cfg, epoch, post)
	if err := n.members.start(&n.cfg, &delegate{n}); err != nil {
		return nil, err
	}
	n.goroutines.Go(n.run)
	n.goroutines.Go(func() { n.members.joinLoop(n.cfg.Join, n.done) })
	return n, nil
}

// newNode returns a node that does not listen and has no goroutines. epoch distinguishes this
// incarnation of the instance from earlier ones.
func newNode(cfg Config, epoch uint64, post PostFunc) *Node {
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

// Addr returns the host:port at which others reach this node.
func (n *Node) Addr() string { return n.members.address() }

// Close stops the node's goroutines, waits for them, and announces to the other instances that this
// one leaves.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		n.closeMu.Lock()
		n.closed = true
		n.closeMu.Unlock()
		close(n.done)
		n.goroutines.Wait()
		n.members.stop()
	})
}

// Covers reports whether requests of a class need a lease. It is part of engine.KeyLeases.
func (n *Node) Covers(class uint8) bool { return n.cfg.agreement(class) != AgreeNever }

// Acquire requests a lease of a key without waiting. onDecision is called once, on the engine's
// goroutine. Acquire must be called on that goroutine, too.
func (n *Node) Acquire(
	request engine.LeaseRequest, onDecision func(now balancer.Micros, decision engine.LeaseDecision),
) {
	select {
	case n.tasks <- func() { n.leases.request(n.now(), request, onDecision) }:
	default:
		// The engine's goroutine must not wait here, and onDecision must not be called before
		// Acquire returns. The new goroutine ends when the event is queued or the engine has ended.
		decision := n.leases.withoutMajority(request.Class, reasonQueueFull)
		n.startGoroutine(func() {
			n.leases.post(func(now balancer.Micros) { onDecision(now, decision) })
		})
	}
}

// startGoroutine calls f on a goroutine that Close waits for. It does nothing after Close. It may
// be called on any goroutine.
func (n *Node) startGoroutine(f func()) {
	n.closeMu.Lock()
	defer n.closeMu.Unlock()
	if !n.closed {
		n.goroutines.Go(f)
	}
}

// Release releases a lease. The caller guarantees that no request that was sent under the lease
// can have been executed.
func (n *Node) Release(request engine.LeaseRequest) {
	select {
	case n.tasks <- func() { n.leases.release(n.now(), request) }:
	default: // the key remains leased for its group until the lease expires
	}
}

// ObserveAttempt counts the outcome of an attempt or a health check. It is called on the engine's
// goroutine.
func (n *Node) ObserveAttempt(target *engine.Target, status balancer.Status) {
	incarnation := incarnationOf(target.Name, target.StartedMS)
	n.gossip.tallies.observe(time.Now(), incarnation, target.Started(), status)
}

// EndpointsUpdated handles an update of this instance's endpoint list. It may be called on any
// goroutine.
func (n *Node) EndpointsUpdated(kind balancer.ListKind, list engine.List) {
	n.drains.endpointsUpdated(kind, list)
}

// now returns the time on the modules' clock, which is monotonic and is 0 at the start of the node.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// runTask calls task on the node's goroutine and waits until it returns. It returns ErrClosed if
// the node is closed before that.
func (n *Node) runTask(ctx context.Context, task func()) error {
	finished := make(chan struct{})
	run := func() {
		task()
		close(finished)
	}
	select {
	case n.tasks <- run:
	case <-n.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-n.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}
