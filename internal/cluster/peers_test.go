package cluster

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"pinedale/balancer"
	"pinedale/internal/cluster/message"
	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/engine"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
	"pinedale/internal/standin/wait"
)

// start runs hosts that know each other by name, with keys or without.
func start(t *testing.T, n int, change func(i int, c *Config)) []*Node {
	t.Helper()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("i-", i))
	}
	var hosts []*Node
	for i := range n {
		c := Config{Name: names[i], Listen: "127.0.0.1:0", Voters: names, Classes: []Class{{"pay", AgreeAlways}, {"close", AgreeSoon}, {"read", AgreeNever}},
			LeaseTimeout: 10 * time.Second, LeaseDuration: time.Second, Log: slog.New(slog.DiscardHandler), SlowStartTime: time.Second}
		if i > 0 {
			c.Join = []string{names[0] + "/" + hosts[0].Addr()}
		}
		if change != nil {
			change(i, &c)
		}
		h, err := Start(c, func(f func(balancer.Micros)) { f(0) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		hosts = append(hosts, h)
	}
	return hosts
}

func status(t *testing.T, h *Node) Status {
	t.Helper()
	s, err := h.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// meet waits until all know all and answer as witnesses.
func meet(t *testing.T, hosts []*Node) {
	t.Helper()
	wait.Until(t, "all know all", func() bool {
		for _, h := range hosts {
			if s := status(t, h); len(s.Alive) != len(hosts) || s.Quiet != "0s" {
				return false
			}
		}
		return true
	})
}

func claim(h *Node, c engine.LeaseRequest) <-chan engine.LeaseDecision {
	out := make(chan engine.LeaseDecision, 1)
	if c.Deadline.IsZero() {
		c.Deadline = time.Now().Add(time.Minute)
	}
	h.Acquire(c, func(_ balancer.Micros, v engine.LeaseDecision) { out <- v })
	return out
}

// A key that one instance has claimed is told to the others with its group; one that was
// released is free; of several that ask at once at most one is alone.
func TestClaims(t *testing.T) {
	hosts := start(t, 5, func(_ int, c *Config) {
		c.Keys = [][]byte{bytes.Repeat([]byte{7}, 32)}
		c.LeaseDuration = 2 * time.Second
	})
	meet(t, hosts)
	first := claim(hosts[0], engine.LeaseRequest{Key: "k", Request: 1, Term: 1, Group: "pod 1"})
	if v := <-first; v.Kind != engine.LeaseExclusive {
		t.Fatalf("the first: %+v", v)
	}
	began := time.Now()
	if v := <-claim(hosts[1], engine.LeaseRequest{Key: "k", Request: 1, Term: 1, Group: "pod 2"}); v.Kind != engine.LeaseShared || v.Group != "pod 1" || v.Since.After(began) {
		t.Fatalf("another: %+v", v)
	}
	if v := <-claim(hosts[1], engine.LeaseRequest{Class: 1, Key: "k", Request: 2, Term: 1, Group: "pod 2"}); v.Kind != engine.LeaseExclusive {
		t.Fatalf("the same key of another class: %+v", v)
	}
	c := engine.LeaseRequest{Key: "r", Request: 3, Term: 1, Group: "pod 1"}
	if v := <-claim(hosts[2], c); v.Kind != engine.LeaseExclusive {
		t.Fatalf("a key to be released: %+v", v)
	}
	hosts[2].Release(c)
	wait.Until(t, "the released key is free", func() bool {
		c := engine.LeaseRequest{Key: "r", Request: uint64(time.Now().UnixNano()), Term: 1, Group: "pod 2"}
		v := <-claim(hosts[3], c)
		hosts[3].Release(c)
		return v.Kind == engine.LeaseExclusive
	})
	for n := range 20 {
		var verdicts []<-chan engine.LeaseDecision
		key := fmt.Sprint("at-once-", n)
		for i, h := range hosts {
			verdicts = append(verdicts, claim(h, engine.LeaseRequest{Key: key, Request: 100 + uint64(n), Term: 1, Group: fmt.Sprint("pod ", i)}))
		}
		alone, groups := 0, map[string]bool{}
		for i, got := range verdicts {
			switch v := <-got; v.Kind {
			case engine.LeaseExclusive:
				alone++
				groups[fmt.Sprint("pod ", i)] = true
			case engine.LeaseShared:
				groups[v.Group] = true
			}
		}
		if alone > 1 || len(groups) > 1 {
			t.Fatalf("%d are alone with %s, which may go to %v", alone, key, groups)
		}
	}
}

// Without a majority of its witnesses a request of a class that must be sure is not sent, and
// one that waits only for what is known soon is sent as if nobody had it.
func TestNobodyAnswers(t *testing.T) {
	hosts := start(t, 1, func(_ int, c *Config) { c.Voters = []string{"i-0", "x", "y"}; c.LeaseTimeout = 30 * time.Millisecond })
	if v := <-claim(hosts[0], engine.LeaseRequest{Key: "k", Request: 1, Term: 1}); v.Kind != engine.LeaseDenied {
		t.Errorf("always: %+v", v)
	}
	if v := <-claim(hosts[0], engine.LeaseRequest{Class: 1, Key: "k", Request: 2, Term: 1}); v.Kind != engine.LeaseExclusive {
		t.Errorf("soon: %+v", v)
	}
	// But what went through the instance itself is known.
	if v := <-claim(hosts[0], engine.LeaseRequest{Class: 1, Key: "k", Request: 3, Term: 1, Group: "pod 3"}); v.Kind != engine.LeaseShared || v.Group != "" {
		t.Errorf("soon, for the second time: %+v", v)
	}
	if hosts[0].Covers(2) || !hosts[0].Covers(0) || hosts[0].Covers(9) {
		t.Error("classes are taken for others")
	}
}

// A witness that has just started, or whose file names others, says so and does not count.
func TestWitnessesThatDoNotCount(t *testing.T) {
	hosts := start(t, 3, func(i int, c *Config) {
		c.LeaseTimeout, c.LeaseDuration = 300*time.Millisecond, time.Second
		if i > 0 {
			c.Voters = []string{"i-0", "i-1", "i-2", "i-3"}
		}
	})
	meet(t, hosts)
	// On a busy machine the others may take longer than the wait: then nobody has said why.
	refused := func(h *Node, why string) {
		t.Helper()
		n := uint64(0)
		wait.Until(t, "a refusal for "+why, func() bool {
			n++
			v := <-claim(h, engine.LeaseRequest{Key: fmt.Sprint("k-", n), Request: n, Term: 1})
			if v.Kind != engine.LeaseDenied {
				t.Fatalf("%s: %+v", why, v)
			}
			return strings.Contains(v.Reason, why)
		})
	}
	refused(hosts[0], "other witnesses")
	young := start(t, 3, func(i int, c *Config) { c.LeaseTimeout, c.LeaseDuration = 300*time.Millisecond, time.Hour })
	wait.Until(t, "all know all", func() bool { return len(status(t, young[0]).Alive) == 3 })
	refused(young[0], "too lately")
}

// What each instance counts comes to all, and is added up once however often it travels.
func TestServersAreTold(t *testing.T) {
	hosts := start(t, 4, func(_ int, c *Config) { c.SlowStartTime = time.Hour })
	born := time.Now().UnixMilli()
	for n, h := range hosts {
		for i := range 10 * (n + 1) {
			s := balancer.OK
			if i%5 == 0 {
				s = balancer.Error
			}
			h.ObserveAttempt(&engine.Target{Name: "s-1", StartedMS: born}, s)
		}
		h.ObserveAttempt(&engine.Target{Name: "s-1"}, balancer.NotSent)
	}
	wait.Until(t, "all hold all", func() bool {
		var first *Status
		for _, h := range hosts {
			s := status(t, h)
			total := ServerSum{}
			for _, x := range s.Servers {
				total.Attempts, total.Failures, total.Cold = total.Attempts+x.Attempts, total.Failures+x.Failures, total.Cold+x.Cold
			}
			if total.Attempts > 100 || total.Failures > 20 || total.Cold > total.Attempts {
				t.Fatalf("%s adds up to %+v", s.Name, total)
			}
			if total.Attempts != 100 || total.Failures != 20 || total.Cold != 100 {
				return false
			}
			if first == nil {
				first = &s
			} else if d := Diff(first, &s); slices.ContainsFunc(d, func(l string) bool { return strings.Contains(l, "s-1") }) {
				return false
			}
		}
		return true
	}, func() string {
		var b strings.Builder
		for _, h := range hosts {
			s := status(t, h)
			s.Print(&b)
		}
		return b.String()
	})
	server := httptest.NewServer(hosts[0])
	defer server.Close()
	got, err := Fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if err != nil || got.Name != "i-0" || len(got.Servers) == 0 {
		t.Errorf("fetched %+v, %v", got, err)
	}
	var out bytes.Buffer
	if err := got.Print(&out); err != nil || !strings.Contains(out.String(), "s-1@") {
		t.Errorf("printed %q, %v", out.String(), err)
	}
}

// Without the key nobody is heard; what can't be read changes nothing.
func TestStrangersAreNotHeard(t *testing.T) {
	hosts := start(t, 2, func(i int, c *Config) { c.Keys = [][]byte{bytes.Repeat([]byte{byte(i)}, 16)} })
	conn, err := net.Dial("udp", hosts[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for range 50 {
		conn.Write([]byte("\x08rubbish"))
	}
	hosts[0].inbox <- []byte("rubbish")
	wait.Until(t, "it is counted", func() bool { return status(t, hosts[0]).Counts.Bad == 1 })
	if s := status(t, hosts[0]); !slices.Equal(s.Alive, []string{"i-0"}) || s.Counts.Heard != 0 {
		t.Errorf("it has heard %+v", s)
	}
}

// A copied folder runs beside its original: the copy does not answer as a witness, and the
// others agree as before.
func TestTwoOfOneName(t *testing.T) {
	hosts := start(t, 3, nil)
	meet(t, hosts)
	copied := start(t, 1, func(_ int, c *Config) {
		c.Join, c.Voters = []string{"i-1/" + hosts[1].Addr()}, []string{"i-0", "i-1", "i-2"}
	})[0]
	wait.Until(t, "the copy knows that there is another", func() bool {
		d, err := time.ParseDuration(status(t, copied).Quiet)
		return err == nil && d > 10*time.Second
	})
	if v := <-claim(hosts[1], engine.LeaseRequest{Key: "k", Request: 1, Term: 1, Group: "pod 1"}); v.Kind != engine.LeaseExclusive {
		t.Errorf("beside the copy: %+v", v)
	}
}

// A process that stood still for half of the hold or longer has forgotten what it witnessed:
// a successor may have answered in its name.
func TestStoodStill(t *testing.T) {
	h := start(t, 1, func(_ int, c *Config) { c.LeaseDuration = time.Hour })[0]
	still := func(d time.Duration) string {
		if err := h.do(t.Context(), func() {
			h.witness = keylease.NewAcceptor(h.now()-time.Hour, h.keys(), h.roll)
			h.seen = h.now() - d
		}); err != nil {
			t.Fatal(err)
		}
		return status(t, h).Quiet
	}
	if q := still(20 * time.Minute); q != "0s" {
		t.Errorf("after a third of the hold it is quiet for %s", q)
	}
	if q, err := time.ParseDuration(still(40 * time.Minute)); err != nil || q < never/2 {
		t.Errorf("after two thirds of the hold it is quiet for %v, %v: it has met nobody since", q, err)
	}
	// Once it has met another it is as one that has just started.
	other := start(t, 1, func(_ int, c *Config) { c.Name, c.Join = "i-9", []string{"i-0/" + h.Addr()} })[0]
	wait.Until(t, "it has met another", func() bool {
		q, err := time.ParseDuration(status(t, h).Quiet)
		return err == nil && q <= time.Hour && len(status(t, other).Alive) == 2
	})
}

func TestHostsEnd(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	hosts := start(t, 2, nil)
	meet(t, hosts)
	for _, h := range hosts {
		h.Close()
	}
	if _, err := hosts[0].Status(context.Background()); err == nil {
		t.Error("one that has ended tells its status")
	}
}

// Values that make no sense are refused by name.
func TestRecordsThatMakeNoSense(t *testing.T) {
	for _, v := range []proto.Message{&peerspb.Instance{Requests: math.NaN()}, &peerspb.Instance{Requests: math.Inf(1)}, &peerspb.Instance{Requests: -1}} {
		b, _ := proto.Marshal(v)
		if topics[topicInstance].Check(b) == nil {
			t.Errorf("%v is taken", v)
		}
	}
	b, _ := proto.Marshal(&peerspb.Server{Attempts: 1, Failures: 2})
	if topics[topicServer].Check(b) == nil || topics[topicServer].Check([]byte{0xff}) == nil {
		t.Error("a server with more failures than attempts is taken")
	}
}

// Whatever a peer sends: a message or an error, and no harm to what is held.
func FuzzHear(f *testing.F) {
	from := replication.Origin{Name: "x", Epoch: 1}
	key := keylease.KeyOf("a", "b")
	for _, m := range []any{keylease.Request{Key: key, Owner: keylease.Owner{Name: "x", Epoch: 1}}, keylease.Response{Key: key}, message.Release{Key: key, Owner: keylease.Owner{Name: "x", Epoch: 1}},
		message.Rumours{{Origin: from, Entry: replication.Entry{Topic: 1, Subject: "s", Seq: 1}}}, replication.Digest{}, &replication.Vectors{Buckets: []int{1}, Vectors: []replication.Vector{{Origin: from, Have: 3}}},
		replication.Delta{Origin: from, To: 2, Parts: 1, Entries: []replication.Entry{{Topic: 2, Subject: "s", Seq: 1}}}} {
		data, err := message.Encode(message.Message{From: from, What: m})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h := &Node{cfg: Config{Name: "i"}, log: slog.New(slog.DiscardHandler), began: time.Now(), open: map[uint64]*pending{}, budget: bytesMost,
			witness: keylease.NewAcceptor(-time.Second, keylease.Limits{Keys: 8, Holders: 2, MaxDuration: time.Second}, 0),
			mine:    keylease.NewAcceptor(-time.Second, keylease.Limits{Keys: 8, Holders: 2, MaxDuration: time.Second}, 0),
			store:   replication.New(replication.Origin{Name: "i", Epoch: 1}, topics, replication.Defaults)}
		for range 3 {
			h.hear(data)
		}
		if h.store.Origins() > 1+len(data) || h.witness.KeyCount() > 8 {
			t.Fatalf("%d origins, %d keys", h.store.Origins(), h.witness.KeyCount())
		}
		for _, x := range h.store.View(h.now(), topicInstance) {
			if topics[topicInstance].Check(x.Value) != nil {
				t.Fatalf("%v is held", x)
			}
		}
	})
}
