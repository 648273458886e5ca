package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/message"
	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/measure/harness"
	"pinedale/internal/replication"
)

const (
	// epoch is the epoch of all instances, since none restarts.
	epoch = 1_796_000_000_000_000

	// tick is the resolution of virtual time. A message is under way for one tick.
	tick = 10 * time.Millisecond

	// serverTopic is the topic of all entries.
	serverTopic replication.Topic = 1

	entryTTL = 5 * time.Minute
)

// propagation is an entry on its way to all instances.
type propagation struct {
	writtenAt time.Duration
	missing   int           // instances that do not have it
	took      time.Duration // once none is missing
}

// entryID identifies an entry.
type entryID struct {
	origin string
	seq    uint64
}

// node is one instance: its store, and the times of its next periodic actions.
type node struct {
	index int
	store *replication.Store

	nextWrite  time.Duration
	nextGossip time.Duration
	nextDigest time.Duration

	digestStart int // first bucket of the response to the next digest
	written     int // entries
	sentBytes   int

	inbox     []message.Message
	nextInbox []message.Message // messages that arrive at the next tick
}

// simulation is a fleet on virtual time.
type simulation struct {
	options  *Options
	limits   replication.Limits
	random   *rand.Rand
	nodes    []*node
	entries  map[entryID]*propagation
	messages int
	now      time.Duration

	busy        time.Duration // processing time of all nodes
	maxStepTime time.Duration
}

// newSimulation returns a fleet whose nodes start at random offsets within their intervals.
func newSimulation(o *Options, instances int) *simulation {
	s := &simulation{
		options: o,
		limits:  replication.DefaultLimits,
		random:  rand.New(rand.NewPCG(o.Seed, uint64(instances))),
		entries: map[entryID]*propagation{},
	}
	acceptAny := func([]byte) error { return nil }
	rules := map[replication.Topic]replication.Rule{serverTopic: {TTL: entryTTL, Check: acceptAny}}
	for i := range instances {
		origin := replication.Origin{Name: fmt.Sprintf("instance-%04d", i), Epoch: epoch}
		s.nodes = append(s.nodes, &node{
			index:      i,
			store:      replication.NewStore(origin, rules, s.limits),
			nextWrite:  s.randomOffset(replication.AdvertisementInterval(instances)),
			nextGossip: s.randomOffset(replication.GossipInterval),
			nextDigest: s.randomOffset(replication.AntiEntropyInterval),
		})
	}
	return s
}

// randomOffset draws a time within an interval.
func (s *simulation) randomOffset(interval time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(interval))
}

// run simulates the span of virtual time.
func (s *simulation) run() error {
	for s.now = 0; s.now < s.options.Span; s.now += tick {
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

// step runs every node for one tick. Messages that are sent arrive at the next tick.
func (s *simulation) step() error {
	for _, n := range s.nodes {
		start := time.Now()
		if err := s.stepNode(n); err != nil {
			return err
		}
		took := time.Since(start)
		s.busy += took
		s.maxStepTime = max(s.maxStepTime, took)
	}
	for _, n := range s.nodes {
		n.inbox, n.nextInbox = n.nextInbox, n.inbox[:0]
	}
	return nil
}

// stepNode has one node handle its messages and run the periodic actions that are due.
func (s *simulation) stepNode(n *node) error {
	for _, m := range n.inbox {
		if err := s.handle(n, m); err != nil {
			return err
		}
	}
	n.inbox = n.inbox[:0]
	if s.now >= n.nextWrite {
		n.nextWrite += replication.AdvertisementInterval(len(s.nodes))
		if err := s.write(n); err != nil {
			return err
		}
	}
	if s.now >= n.nextGossip {
		n.nextGossip += replication.GossipInterval
		if err := s.sendRumours(n); err != nil {
			return err
		}
	}
	if s.now >= n.nextDigest {
		n.nextDigest += replication.AntiEntropyInterval
		return s.send(n, s.randomPeer(n), n.store.Digest())
	}
	return nil
}

// send sends a message, which may be lost.
func (s *simulation) send(from *node, to int, payload any) error {
	data, err := message.Encode(message.Message{From: from.store.Self(), Payload: payload})
	if err != nil {
		return err
	}
	s.messages++
	from.sentBytes += len(data)
	if s.random.Float64() < s.options.Loss {
		return nil
	}
	decoded, err := message.Decode(data)
	if err != nil {
		return err
	}
	s.nodes[to].nextInbox = append(s.nodes[to].nextInbox, decoded)
	return nil
}

// randomPeer draws another node than n.
func (s *simulation) randomPeer(n *node) int {
	peer := s.random.IntN(len(s.nodes) - 1)
	if peer >= n.index {
		peer++
	}
	return peer
}

// handle handles a message and sends the responses to it.
func (s *simulation) handle(n *node, m message.Message) error {
	var from int
	if _, err := fmt.Sscanf(m.From.Name, "instance-%d", &from); err != nil {
		return err
	}
	switch payload := m.Payload.(type) {
	case message.Rumours:
		for _, rumour := range payload {
			s.countArrivals(n, rumour.Origin, []replication.Entry{rumour.Entry}, func() {
				n.store.HandleRumour(s.now, rumour)
			})
		}
	case replication.Digest:
		if vectors := n.store.HandleDigest(payload, n.digestStart); vectors != nil {
			n.digestStart = (n.digestStart + 1) % replication.DigestBuckets
			return s.send(n, from, vectors)
		}
	case *replication.Vectors:
		return s.handleVectors(n, from, payload)
	case replication.Delta:
		s.countArrivals(n, payload.Origin, payload.Entries, func() {
			n.store.Merge(s.now, payload)
		})
	}
	return nil
}

// handleVectors sends what the sender of vectors lacks, and requests what the receiver lacks.
func (s *simulation) handleVectors(n *node, from int, vectors *replication.Vectors) error {
	deltas, request := n.store.HandleVectors(s.now, vectors)
	if request != nil {
		if err := s.send(n, from, request); err != nil {
			return err
		}
	}
	for _, delta := range deltas {
		if err := s.send(n, from, delta); err != nil {
			return err
		}
	}
	return nil
}

// countArrivals calls merge, and counts those of the entries that the node has afterwards and did not have before.
func (s *simulation) countArrivals(
	n *node, origin replication.Origin, entries []replication.Entry, merge func(),
) {
	var lacking []replication.Entry
	for _, entry := range entries {
		if s.entries[entryID{origin.Name, entry.Seq}] != nil && !n.store.Contains(origin, entry.Seq) {
			lacking = append(lacking, entry)
		}
	}
	merge()
	for _, entry := range lacking {
		if !n.store.Contains(origin, entry.Seq) {
			continue
		}
		p := s.entries[entryID{origin.Name, entry.Seq}]
		p.missing--
		if p.missing == 0 {
			p.took = s.now - p.writtenAt
		}
	}
}

// write has a node write an entry for a random server.
func (s *simulation) write(n *node) error {
	value, err := proto.Marshal(&peerspb.Server{
		Attempts: uint64(s.random.IntN(1e6)) + 1e6,
		Failures: uint64(s.random.IntN(1e6)),
	})
	if err != nil {
		return err
	}
	server := s.random.IntN(min(s.options.Servers, s.limits.MaxEntries))
	subject := fmt.Sprintf("soko-%d@1796000000000", server)
	if err := n.store.Put(s.now, serverTopic, subject, value); err != nil {
		return err
	}
	n.written++
	id := entryID{n.store.Self().Name, uint64(n.written)}
	s.entries[id] = &propagation{writtenAt: s.now, missing: len(s.nodes) - 1}
	return nil
}

// sendRumours sends a node's rumours to some random other nodes.
func (s *simulation) sendRumours(n *node) error {
	rumours := n.store.Rumours(s.now)
	if len(rumours) == 0 {
		return nil
	}
	for range min(replication.Fanout, len(s.nodes)-1) {
		if err := s.send(n, s.randomPeer(n), message.Rumours(rumours)); err != nil {
			return err
		}
	}
	return nil
}

// row returns the result without StoreBytes.
func (s *simulation) row() Row {
	instances, seconds := float64(len(s.nodes)), s.options.Span.Seconds()
	total, highest := 0, 0
	for _, n := range s.nodes {
		total += n.sentBytes
		highest = max(highest, n.sentBytes)
	}
	row := Row{
		Instances:    len(s.nodes),
		Entries:      len(s.entries),
		BytesSent:    float64(total) / instances / seconds,
		MaxBytesSent: float64(highest) / seconds,
		Messages:     float64(s.messages) / instances / seconds,
		MaxStepTime:  s.maxStepTime,
		CPU:          s.busy.Seconds() / instances / seconds,
	}
	var took []time.Duration
	for id, p := range s.entries {
		if p.missing == 0 {
			took = append(took, p.took)
		} else if p.writtenAt < s.options.Span*3/4 && s.isMissing(id) {
			row.Incomplete++
		}
	}
	row.Propagation = harness.Median(took)
	row.Propagation95 = harness.Percentile(took, 95)
	return row
}

// isMissing reports whether a node does not have an entry.
func (s *simulation) isMissing(id entryID) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool {
		return !n.store.Contains(replication.Origin{Name: id.origin, Epoch: epoch}, id.seq)
	})
}
