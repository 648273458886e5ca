package cluster

import (
	"context"
	"errors"
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

// startNodes runs nodes that join each other. They are closed when the test ends. change, which may
// be nil, adjusts the configuration of the node with an index.
func startNodes(t *testing.T, count int, change func(index int, c *Config)) []*Node {
	t.Helper()
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("i-", i))
	}
	var nodes []*Node
	for i := range count {
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

// status returns the status of a node that is not closed.
func status(t *testing.T, node *Node) Status {
	t.Helper()
	s, err := node.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// waitReady waits until each node knows that all nodes are alive, and grants leases.
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

// An instance that stalled for more than half of the lease duration grants nothing, because another
// process with its name may have granted leases in the meantime.
func TestStalledProcessGrantsNoLeases(t *testing.T) {
	node := startNodes(t, 1, func(_ int, c *Config) { c.LeaseDuration = time.Hour })[0]
	recoveringAfter := func(stall time.Duration) string {
		t.Helper()
		if err := node.runTask(t.Context(), func() {
			node.leases.restartAcceptor(node.now() - time.Hour)
			node.lastEventAt = node.now() - stall
		}); err != nil {
			t.Fatal(err)
		}
		return status(t, node).RecoveringFor
	}
	if recovering := recoveringAfter(20 * time.Minute); recovering != "0s" {
		t.Errorf("stall of a third of the lease duration: recovering for %s, want 0s", recovering)
	}
	recovering, err := time.ParseDuration(recoveringAfter(40 * time.Minute))
	if err != nil || recovering < forever/2 {
		t.Errorf("stall of two thirds of the lease duration, without other instances: recovering for %v, want over %v; %v",
			recovering, forever/2, err)
	}
	// Once the node reaches another instance, it recovers like an instance that has just started.
	other := startNodes(t, 1, func(_ int, c *Config) {
		c.Name = "i-9"
		c.Join = []string{"i-0/" + node.Addr()}
	})[0]
	wait.Until(t, "the node has reached another instance", func() bool {
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
	if _, err := nodes[0].Status(context.Background()); !errors.Is(err, ErrClosed) {
		t.Errorf("status of a closed node: error %v, want %v", err, ErrClosed)
	}
}

// Any message from a peer is handled or rejected, and the resulting state is valid and bounded.
func FuzzHandleMessage(f *testing.F) {
	sender := replication.Origin{Name: "x", Epoch: 1}
	owner := keylease.Owner{Name: "x", Epoch: 1}
	key := keylease.KeyOf("a", "b")
	for _, payload := range []any{
		keylease.Request{Key: key, Owner: owner},
		keylease.Response{Key: key},
		message.Release{Key: key, Owner: owner},
		message.Rumours{{Origin: sender, Entry: replication.Entry{Topic: 1, Subject: "s", Seq: 1}}},
		replication.Digest{},
		&replication.Vectors{Buckets: []int{1}, Vectors: []replication.Vector{{Origin: sender, CompleteTo: 3}}},
		replication.Delta{
			Origin:  sender,
			To:      2,
			Parts:   1,
			Entries: []replication.Entry{{Topic: 2, Subject: "s", Seq: 1}},
		},
	} {
		data, err := message.Encode(message.Message{From: sender, Payload: payload})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		node := newNode(Config{Name: "i", Log: slog.New(slog.DiscardHandler)}, 1, nil)
		limits := keylease.Limits{MaxKeys: 8, MaxHolders: 2, MaxDuration: time.Second}
		node.leases.acceptor = keylease.NewAcceptor(-time.Second, limits, 0)
		node.leases.localAcceptor = keylease.NewAcceptor(-time.Second, limits, 0)
		for range 3 {
			node.handleMessage(data)
		}
		if node.store.Origins() > 1+len(data) || node.leases.acceptor.KeyCount() > 8 {
			t.Fatalf("%d origins, want at most %d; %d keys, want at most 8",
				node.store.Origins(), 1+len(data), node.leases.acceptor.KeyCount())
		}
		for _, record := range node.store.View(node.now(), topicInstance) {
			if topics[topicInstance].Check(record.Value) != nil {
				t.Fatalf("stored record with an invalid value: %v", record)
			}
		}
	})
}
