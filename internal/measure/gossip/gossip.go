// Package gossip measures what it costs to hold copies of what all instances tell, in fleets
// of any size: the stores of package replication at the pace of package cluster, on virtual time,
// their messages as long as they are on the wire.
package gossip

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/message"
	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/replication"
)

// Options say what is simulated.
type Options struct {
	Sizes   []int         // of fleets
	Servers int           // that instances tell of
	Span    time.Duration // of virtual time
	Loss    float64       // share of the messages that are lost
	Seed    uint64
}

// Row is what came of a fleet.
type Row struct {
	Instances int
	Entries   int           // that were put
	Sent      float64       // bytes a second and instance, the mean
	MaxSent   float64       // and of the instance that sent most
	Messages  float64       // a second and instance
	Known     time.Duration // until an entry was known by all, the median
	Known95   time.Duration
	Unknown   int           // entries of the first three quarters that somebody never heard of
	Turn      time.Duration // the longest that one instance's module was at work at once, by this machine's clock
	CPU       float64       // of a core that one instance needs, by this machine's clock
	Bytes     int64         // of memory that one instance's store takes
}

// propagation is one entry under way.
type propagation struct {
	at        time.Duration
	remaining int // instances that do not know it yet
	known     time.Duration
}

// Run simulates each size.
func Run(o Options) ([]Row, error) {
	var out []Row
	for _, n := range o.Sizes {
		r, err := one(o, n)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// epoch is that of all instances: nobody starts anew here.
const epoch = 1_796_000_000_000_000

// tick is the grain of virtual time: a message takes one.
const tick = 10 * time.Millisecond

// node is one instance: its store, and when it does next what it does at intervals.
type node struct {
	store                            *replication.Store
	nextPut, nextRumours, nextDigest time.Duration
	start                            int
	sent                             int // bytes
	number                           int // of its next entry
	inbox, next                      []message.Message
}

// entry names one entry of an origin.
type entry struct {
	origin string
	seq    uint64
}

// simulation is a fleet of one size on virtual time.
type simulation struct {
	options  Options
	limits   replication.Limits
	rng      *rand.Rand
	nodes    []*node
	entries  map[entry]*propagation
	messages int
	busy     time.Duration // of all instances' modules
	turn     time.Duration // the longest of one
	now      time.Duration
}

// one simulates a fleet of n instances.
func one(o Options, n int) (Row, error) {
	s := &simulation{options: o, limits: replication.DefaultLimits, rng: rand.New(rand.NewPCG(o.Seed, uint64(n))), entries: map[entry]*propagation{}}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s.start(n)
	for s.now = 0; s.now < o.Span; s.now += tick {
		if err := s.step(); err != nil {
			return Row{Instances: n}, err
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	row := s.row()
	row.Bytes = int64(after.HeapAlloc-before.HeapAlloc) / int64(n)
	runtime.KeepAlive(s.nodes)
	return row, nil
}

// start makes the instances, each at its own place within the intervals.
func (s *simulation) start(n int) {
	anything := func([]byte) error { return nil }
	rules := map[replication.Topic]replication.Rule{1: {TTL: 5 * time.Minute, Check: anything}}
	spread := func(every time.Duration) time.Duration { return time.Duration(s.rng.Float64() * float64(every)) }
	s.nodes = make([]*node, n)
	for i := range s.nodes {
		origin := replication.Origin{Name: fmt.Sprintf("instance-%04d", i), Epoch: epoch}
		s.nodes[i] = &node{
			store:       replication.NewStore(origin, rules, s.limits),
			nextPut:     spread(replication.AdvertisementInterval(n)),
			nextRumours: spread(replication.GossipInterval),
			nextDigest:  spread(replication.AntiEntropyInterval),
		}
	}
}

// step has every instance do what is due at the present instant. What they send comes at the next.
func (s *simulation) step() error {
	for i, x := range s.nodes {
		began := time.Now()
		if err := s.turnOf(i, x); err != nil {
			return err
		}
		took := time.Since(began)
		s.busy += took
		s.turn = max(s.turn, took)
	}
	for _, x := range s.nodes {
		x.inbox, x.next = x.next, x.inbox[:0]
	}
	return nil
}

// turnOf has one instance take its messages and do what is due.
func (s *simulation) turnOf(i int, x *node) error {
	for _, m := range x.inbox {
		if err := s.handle(x, m); err != nil {
			return err
		}
	}
	x.inbox = x.inbox[:0]
	if s.now >= x.nextPut {
		x.nextPut += replication.AdvertisementInterval(len(s.nodes))
		if err := s.put(x); err != nil {
			return err
		}
	}
	if s.now >= x.nextRumours {
		x.nextRumours += replication.GossipInterval
		if err := s.spread(i, x); err != nil {
			return err
		}
	}
	if s.now >= x.nextDigest {
		x.nextDigest += replication.AntiEntropyInterval
		return s.send(x, s.other(i), x.store.Digest())
	}
	return nil
}

// send sends a message, which may be lost.
func (s *simulation) send(from *node, to int, what any) error {
	data, err := message.Encode(message.Message{From: from.store.Self(), Payload: what})
	if err != nil {
		return err
	}
	s.messages++
	from.sent += len(data)
	if s.rng.Float64() < s.options.Loss {
		return nil
	}
	m, err := message.Decode(data)
	if err != nil {
		return err
	}
	s.nodes[to].next = append(s.nodes[to].next, m)
	return nil
}

// other draws another instance.
func (s *simulation) other(i int) int {
	to := s.rng.IntN(len(s.nodes) - 1)
	if to >= i {
		to++
	}
	return to
}

// handle takes a message and sends what it asks for.
func (s *simulation) handle(x *node, m message.Message) error {
	var from int
	if _, err := fmt.Sscanf(m.From.Name, "instance-%d", &from); err != nil {
		return err
	}
	switch w := m.Payload.(type) {
	case message.Rumours:
		for _, r := range w {
			done := s.notice(x, r.Origin, r.Entry)
			x.store.HandleRumour(s.now, r)
			done()
		}
	case replication.Digest:
		if v := x.store.HandleDigest(w, x.start); v != nil {
			x.start = (x.start + 1) % replication.DigestBuckets
			return s.send(x, from, v)
		}
	case *replication.Vectors:
		return s.answerVectors(x, from, w)
	case replication.Delta:
		var done []func()
		for _, e := range w.Entries {
			done = append(done, s.notice(x, w.Origin, e))
		}
		x.store.Merge(s.now, w)
		for _, f := range done {
			f()
		}
	}
	return nil
}

// answerVectors sends what the sender of vectors lacks, and asks for what the receiver lacks.
func (s *simulation) answerVectors(x *node, from int, vectors *replication.Vectors) error {
	deltas, request := x.store.HandleVectors(s.now, vectors)
	if request != nil {
		if err := s.send(x, from, request); err != nil {
			return err
		}
	}
	for _, d := range deltas {
		if err := s.send(x, from, d); err != nil {
			return err
		}
	}
	return nil
}

// notice looks whether an instance has an entry. The function that it returns looks again, and counts
// the entry as known there if it has come meanwhile.
func (s *simulation) notice(x *node, origin replication.Origin, e replication.Entry) func() {
	t := s.entries[entry{origin.Name, e.Seq}]
	if t == nil {
		return func() {}
	}
	had := x.store.Contains(origin, e.Seq)
	return func() {
		if !had && x.store.Contains(origin, e.Seq) {
			if t.remaining--; t.remaining == 0 {
				t.known = s.now - t.at
			}
		}
	}
}

// put has an instance tell of a server.
func (s *simulation) put(x *node) error {
	value, err := proto.Marshal(&peerspb.Server{Attempts: uint64(s.rng.IntN(1e6)) + 1e6, Failures: uint64(s.rng.IntN(1e6))})
	if err != nil {
		return err
	}
	subject := fmt.Sprintf("soko-%d@1796000000000", s.rng.IntN(min(s.options.Servers, s.limits.MaxEntries)))
	if err := x.store.Put(s.now, 1, subject, value); err != nil {
		return err
	}
	x.number++
	s.entries[entry{x.store.Self().Name, uint64(x.number)}] = &propagation{at: s.now, remaining: len(s.nodes) - 1}
	return nil
}

// spread sends an instance's rumours to some others.
func (s *simulation) spread(i int, x *node) error {
	rumours := x.store.Rumours(s.now)
	if len(rumours) == 0 {
		return nil
	}
	for range min(replication.Fanout, len(s.nodes)-1) {
		if err := s.send(x, s.other(i), message.Rumours(rumours)); err != nil {
			return err
		}
	}
	return nil
}

// row sums up, but for the memory.
func (s *simulation) row() Row {
	n, seconds := len(s.nodes), s.options.Span.Seconds()
	var sum, highest int
	for _, x := range s.nodes {
		sum, highest = sum+x.sent, max(highest, x.sent)
	}
	row := Row{
		Instances: n,
		Entries:   len(s.entries),
		Sent:      float64(sum) / float64(n) / seconds,
		MaxSent:   float64(highest) / seconds,
		Messages:  float64(s.messages) / float64(n) / seconds,
		Turn:      s.turn,
		CPU:       s.busy.Seconds() / float64(n) / seconds,
	}
	var known []time.Duration
	for k, t := range s.entries {
		if t.remaining == 0 {
			known = append(known, t.known)
		} else if t.at < s.options.Span*3/4 && s.lacking(k) {
			row.Unknown++
		}
	}
	slices.Sort(known)
	if len(known) > 0 {
		row.Known, row.Known95 = known[len(known)/2], known[len(known)*95/100]
	}
	return row
}

// lacking says whether an instance does not have an entry.
func (s *simulation) lacking(k entry) bool {
	return slices.ContainsFunc(s.nodes, func(x *node) bool {
		return !x.store.Contains(replication.Origin{Name: k.origin, Epoch: epoch}, k.seq)
	})
}

// Print writes the rows.
func Print(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "instances\tentries\tB/s sent\tmost\tmessages/s\tknown by all, median\t95%\tnot known\tlongest turn\tof a core\tmemory\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%d\t%.0f\t%.0f\t%.1f\t%v\t%v\t%d\t%v\t%.4f\t%.1f MB\t\n", r.Instances, r.Entries, r.Sent, r.MaxSent, r.Messages, r.Known, r.Known95, r.Unknown,
			r.Turn.Round(10*time.Microsecond), r.CPU, float64(r.Bytes)/(1<<20))
	}
	w.Flush()
}
