// Package gossip measures what it costs to hold copies of what all instances tell, in fleets
// of any size: the stores of package replica at the pace of package peers, on virtual time,
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
	Told      int           // entries
	Sent      float64       // bytes a second and instance, the mean
	Most      float64       // and of the instance that sent most
	Messages  float64       // a second and instance
	Known     time.Duration // until an entry was known by all, the median
	Known95   time.Duration
	Unknown   int           // entries of the first three quarters that somebody never heard of
	Turn      time.Duration // the longest that one instance's module was at work at once, by this machine's clock
	CPU       float64       // of a core that one instance needs, by this machine's clock
	Bytes     int64         // of memory that one instance's store takes
}

// telling is one entry under way.
type telling struct {
	at    time.Duration
	left  int // instances that do not know it yet
	known time.Duration
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

type node struct {
	store                 *replication.Store
	tell, rumour, compare time.Duration
	start                 int
	sent                  int
	number                int // of its next entry
	inbox, next           []message.Message
}

func one(o Options, n int) (Row, error) {
	row := Row{Instances: n}
	rng := rand.New(rand.NewPCG(o.Seed, uint64(n)))
	anything := func([]byte) error { return nil }
	rules := map[replication.Topic]replication.Rule{1: {TTL: 5 * time.Minute, Check: anything}}
	limits := replication.Defaults
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	nodes := make([]*node, n)
	for i := range nodes {
		spread := func(every time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(every)) }
		nodes[i] = &node{store: replication.New(replication.Origin{Name: fmt.Sprintf("instance-%04d", i), Epoch: epoch}, rules, limits),
			tell: spread(replication.AdvertisementInterval(n)), rumour: spread(replication.GossipInterval), compare: spread(replication.AntiEntropyInterval)}
	}
	type entry struct {
		origin string
		seq    uint64
	}
	told := map[entry]*telling{}
	messages := 0
	var busy time.Duration
	for now := time.Duration(0); now < o.Span; now += tick {
		for i, x := range nodes {
			began := time.Now()
			send := func(to int, what any) error {
				data, err := message.Encode(message.Message{From: x.store.Self(), What: what})
				if err != nil {
					return err
				}
				messages++
				x.sent += len(data)
				if rng.Float64() < o.Loss {
					return nil
				}
				m, err := message.Decode(data)
				if err != nil {
					return err
				}
				nodes[to].next = append(nodes[to].next, m)
				return nil
			}
			other := func() int {
				to := rng.IntN(n - 1)
				if to >= i {
					to++
				}
				return to
			}
			for _, m := range x.inbox {
				from := 0
				fmt.Sscanf(m.From.Name, "instance-%d", &from)
				knew := func(e replication.Entry, of replication.Origin) func() {
					k := entry{of.Name, e.Seq}
					t := told[k]
					if t == nil {
						return func() {}
					}
					had := x.store.Contains(of, e.Seq)
					return func() {
						if !had && x.store.Contains(of, e.Seq) {
							if t.left--; t.left == 0 {
								t.known = now - t.at
							}
						}
					}
				}
				var err error
				switch w := m.What.(type) {
				case message.Rumours:
					for _, r := range w {
						done := knew(r.Entry, r.Origin)
						x.store.HandleRumour(now, r)
						done()
					}
				case replication.Digest:
					if v := x.store.HandleDigest(w, x.start); v != nil {
						x.start = (x.start + 1) % replication.Buckets
						err = send(from, v)
					}
				case *replication.Vectors:
					deltas, own := x.store.HandleVectors(now, w)
					if own != nil {
						err = send(from, own)
					}
					for _, d := range deltas {
						if err == nil {
							err = send(from, d)
						}
					}
				case replication.Delta:
					var done []func()
					for _, e := range w.Entries {
						done = append(done, knew(e, w.Origin))
					}
					x.store.Merge(now, w)
					for _, f := range done {
						f()
					}
				}
				if err != nil {
					return row, err
				}
			}
			x.inbox = x.inbox[:0]
			if now >= x.tell {
				x.tell += replication.AdvertisementInterval(n)
				value, err := proto.Marshal(&peerspb.Server{Attempts: uint64(rng.IntN(1e6)) + 1e6, Failures: uint64(rng.IntN(1e6))})
				if err != nil {
					return row, err
				}
				if err := x.store.Put(now, 1, fmt.Sprintf("soko-%d@1796000000000", rng.IntN(min(o.Servers, limits.Entries))), value); err != nil {
					return row, err
				}
				x.number++
				told[entry{x.store.Self().Name, uint64(x.number)}] = &telling{at: now, left: n - 1}
			}
			if now >= x.rumour {
				x.rumour += replication.GossipInterval
				if r := x.store.Rumours(now); len(r) > 0 {
					for range min(replication.Fanout, n-1) {
						if err := send(other(), message.Rumours(r)); err != nil {
							return row, err
						}
					}
				}
			}
			if now >= x.compare {
				x.compare += replication.AntiEntropyInterval
				if err := send(other(), x.store.Digest()); err != nil {
					return row, err
				}
			}
			took := time.Since(began)
			busy += took
			row.Turn = max(row.Turn, took)
		}
		for _, x := range nodes {
			x.inbox, x.next = x.next, x.inbox[:0]
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	var sum, most int
	for _, x := range nodes {
		sum, most = sum+x.sent, max(most, x.sent)
	}
	seconds := o.Span.Seconds()
	row.Sent, row.Most = float64(sum)/float64(n)/seconds, float64(most)/seconds
	row.Messages = float64(messages) / float64(n) / seconds
	row.CPU = busy.Seconds() / float64(n) / seconds
	row.Bytes = int64(after.HeapAlloc-before.HeapAlloc) / int64(n)
	var known []time.Duration
	for k, t := range told {
		row.Told++
		if t.left == 0 {
			known = append(known, t.known)
		} else if t.at < o.Span*3/4 && slices.ContainsFunc(nodes, func(x *node) bool {
			return !x.store.Contains(replication.Origin{Name: k.origin, Epoch: epoch}, k.seq)
		}) {
			row.Unknown++
		}
	}
	slices.Sort(known)
	if len(known) > 0 {
		row.Known, row.Known95 = known[len(known)/2], known[len(known)*95/100]
	}
	runtime.KeepAlive(nodes)
	return row, nil
}

// Print writes the rows.
func Print(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "instances\tentries\tB/s sent\tmost\tmessages/s\tknown by all, median\t95%\tnot known\tlongest turn\tof a core\tmemory\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%d\t%.0f\t%.0f\t%.1f\t%v\t%v\t%d\t%v\t%.4f\t%.1f MB\t\n", r.Instances, r.Told, r.Sent, r.Most, r.Messages, r.Known, r.Known95, r.Unknown,
			r.Turn.Round(10*time.Microsecond), r.CPU, float64(r.Bytes)/(1<<20))
	}
	w.Flush()
}
