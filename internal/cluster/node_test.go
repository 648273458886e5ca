package cluster

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/balancer"
	"pinedale/internal/cluster/message"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
	"pinedale/internal/standin/wait"
)

// startNodes runs nodes that join each other, closed at the test's end. change may adapt each
// one's configuration.
func startNodes(t *testing.T, n int, change func(i int, c *Config)) []*Node {
	t.Helper()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("i-", i))
	}
	var nodes []*Node
	for i := range n {
		c := Config{
			Name:          names[i],
			Listen:        "127.0.0.1:0",
			Voters:        names,
			Classes:       []Class{{"pay", AgreeAlways}, {"close", AgreeSoon}, {"read", AgreeNever}},
			LeaseTimeout:  10 * time.Second,
			LeaseDuration: time.Second,
			Log:           slog.New(slog.DiscardHandler),
			SlowStartTime: time.Second,
		}
		if i > 0 {
			c.Join = []string{names[0] + "/" + nodes[0].Addr()}
		}
		if change != nil {
			change(i, &c)
		}
		node, err := Start(c, func(event func(balancer.Micros)) { event(0) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		nodes = append(nodes, node)
	}
	return nodes
}

func status(t *testing.T, node *Node) Status {
	t.Helper()
	s, err := node.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// waitReady waits until all nodes are alive to each other and grant leases.
func waitReady(t *testing.T, nodes []*Node) {
	t.Helper()
	wait.Until(t, "all nodes are alive and grant leases", func() bool {
		for _, node := range nodes {
			if s := status(t, node); len(s.Alive) != len(nodes) || s.RecoveringFor != "0s" {
				return false
			}
		}
		return true
	})
}

// A process that stalled for more than half of the lease duration forgets what it has granted: a
// successor may have granted leases in its name.
func TestStalledProcessGrantsNoLeases(t *testing.T) {
	node := startNodes(t, 1, func(_ int, c *Config) { c.LeaseDuration = time.Hour })[0]
	recoveringAfter := func(stall time.Duration) string {
		t.Helper()
		if err := node.runTask(t.Context(), func() {
			node.leases.restartAcceptor(node.now() - time.Hour)
			node.lastCheck = node.now() - stall
		}); err != nil {
			t.Fatal(err)
		}
		return status(t, node).RecoveringFor
	}
	if recovering := recoveringAfter(20 * time.Minute); recovering != "0s" {
		t.Errorf("after a third of the lease duration it recovers for %s", recovering)
	}
	recovering, err := time.ParseDuration(recoveringAfter(40 * time.Minute))
	if err != nil || recovering < forever/2 {
		t.Errorf("after two thirds of the lease duration, with no other instance, it recovers for %v, %v", recovering, err)
	}
	// Once it has reached another instance it is as one that has just started.
	other := startNodes(t, 1, func(_ int, c *Config) { c.Name, c.Join = "i-9", []string{"i-0/" + node.Addr()} })[0]
	wait.Until(t, "it has reached another instance", func() bool {
		recovering, err := time.ParseDuration(status(t, node).RecoveringFor)
		return err == nil && recovering <= time.Hour && len(status(t, other).Alive) == 2
	})
}

func TestCloseEndsAllGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	nodes := startNodes(t, 2, nil)
	waitReady(t, nodes)
	for _, node := range nodes {
		node.Close()
	}
	if _, err := nodes[0].Status(context.Background()); err == nil {
		t.Error("a closed node returns its status")
	}
}

// Any input from a peer is handled or rejected, and what is kept of it stays within its bounds.
func FuzzHandleMessage(f *testing.F) {
	from := replication.Origin{Name: "x", Epoch: 1}
	owner := keylease.Owner{Name: "x", Epoch: 1}
	key := keylease.KeyOf("a", "b")
	for _, what := range []any{
		keylease.Request{Key: key, Owner: owner},
		keylease.Response{Key: key},
		message.Release{Key: key, Owner: owner},
		message.Rumours{{Origin: from, Entry: replication.Entry{Topic: 1, Subject: "s", Seq: 1}}},
		replication.Digest{},
		&replication.Vectors{Buckets: []int{1}, Vectors: []replication.Vector{{Origin: from, Have: 3}}},
		replication.Delta{Origin: from, To: 2, Parts: 1, Entries: []replication.Entry{{Topic: 2, Subject: "s", Seq: 1}}},
	} {
		data, err := message.Encode(message.Message{From: from, Payload: what})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		node := newNode(Config{Name: "i", Log: slog.New(slog.DiscardHandler)}, 1, nil)
		limits := keylease.Limits{MaxKeys: 8, MaxHolders: 2, MaxDuration: time.Second}
		node.leases.acceptor = keylease.NewAcceptor(-time.Second, limits, 0)
		node.leases.local = keylease.NewAcceptor(-time.Second, limits, 0)
		for range 3 {
			node.handleMessage(data)
		}
		if node.store.Origins() > 1+len(data) || node.leases.acceptor.KeyCount() > 8 {
			t.Fatalf("%d origins, %d keys", node.store.Origins(), node.leases.acceptor.KeyCount())
		}
		for _, record := range node.store.View(node.now(), topicInstance) {
			if topics[topicInstance].Check(record.Value) != nil {
				t.Fatalf("an invalid record is kept: %v", record)
			}
		}
	})
}
