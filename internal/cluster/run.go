package cluster

import (
	"context"
	"time"

	"pinedale/internal/cluster/message"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

const (
	tickInterval   = 5 * time.Millisecond
	expiryInterval = time.Second
)

// schedule holds the times at which periodic work is due.
type schedule struct {
	gossip      time.Duration
	antiEntropy time.Duration
	expiry      time.Duration
}

// run handles tasks, messages and ticks until Close.
func (n *Node) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case task := <-n.tasks:
			n.handleEvent(func(time.Duration) { task() })
		case data := <-n.inbox:
			n.handleEvent(func(time.Duration) { n.handleMessage(data) })
		case <-ticker.C:
			n.handleEvent(n.handleTick)
		case <-n.done:
			return
		}
	}
}

// handleEvent checks for a stall, handles one event, and records the longest time that this took.
func (n *Node) handleEvent(handle func(now time.Duration)) {
	now := n.now()
	n.checkStall(now)
	handle(now)
	n.longestEvent = max(n.longestEvent, n.now()-now)
}

// checkStall suspends the acceptor if the process stalled for more than half of the lease duration,
// because another process with the same instance name may have started and granted leases in the
// meantime. That process grants nothing for the lease duration after its start, so that it cannot
// have granted a lease during a shorter stall. After a longer stall, the acceptor grants nothing
// until the membership is synchronized with another instance, which reveals a process with the same
// name, and for the lease duration after that.
func (n *Node) checkStall(now time.Duration) {
	stalled := now - n.lastEventAt
	n.lastEventAt = now
	// A lease duration of 0 means that no class needs leases.
	if n.cfg.LeaseDuration > 0 && stalled > n.cfg.LeaseDuration/2 {
		n.log.Warn("process stalled, granting no key leases until recovered", "stalled_for", stalled)
		n.leases.suspendAcceptor(now)
		n.goroutines.Go(n.resumeAfterSync)
	}
}

// resumeAfterSync resumes the acceptor once the membership is synchronized with another instance.
func (n *Node) resumeAfterSync() {
	if !n.members.syncWithAny(n.done) {
		return
	}
	// runTask fails only if the node is closed.
	_ = n.runTask(context.Background(), func() { n.leases.resumeAcceptor(n.now()) })
}

// recoverFromDuplicate makes the acceptor grant nothing for duplicateTimeout and the lease duration
// after another instance with the same name was found.
func (n *Node) recoverFromDuplicate() { n.leases.restartAcceptor(n.now() + duplicateTimeout) }

// handleTick does the periodic work that is due.
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

// handleMessage decodes a message from a peer and passes it to its module.
func (n *Node) handleMessage(data []byte) {
	received, err := message.Decode(data)
	if err != nil {
		n.countMalformed(err)
		return
	}
	n.counts.Received++
	now := n.now()
	sender := received.From.Name
	switch payload := received.Payload.(type) {
	case keylease.Request:
		n.leases.handleRequest(now, sender, payload)
	case keylease.Response:
		n.leases.handleResponse(sender, payload)
	case message.Release:
		n.leases.handleRelease(now, payload)
	case message.Rumours:
		for _, rumour := range payload {
			n.store.HandleRumour(now, rumour)
		}
	case replication.Digest:
		n.gossip.handleDigest(sender, payload)
	case *replication.Vectors:
		n.gossip.handleVectors(now, sender, payload)
	case replication.Delta:
		n.store.Merge(now, payload)
	}
}

// countMalformed counts a message that could not be decoded. It logs only the counts that are
// powers of two, so that a peer cannot fill the log.
func (n *Node) countMalformed(err error) {
	n.counts.Malformed++
	if isPowerOfTwo(n.counts.Malformed) {
		n.log.Warn("peer message decoding failed", "err", err, "count", n.counts.Malformed)
	}
}

func isPowerOfTwo(n uint64) bool { return n&(n-1) == 0 }
