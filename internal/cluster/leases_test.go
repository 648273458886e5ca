package cluster

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/wait"
)

// acquire requests a lease and returns a channel that receives the decision.
func acquire(node *Node, request engine.LeaseRequest) <-chan engine.LeaseDecision {
	decisions := make(chan engine.LeaseDecision, 1)
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(time.Minute)
	}
	node.Acquire(request, func(_ balancer.Micros, decision engine.LeaseDecision) { decisions <- decision })
	return decisions
}

// acquireOnce returns the decision on a request.
func acquireOnce(node *Node, request engine.LeaseRequest) engine.LeaseDecision {
	return <-acquire(node, request)
}

// In a cluster with a keyring, the voters grant each key to one group.
func TestAcquireGrantsKeyToOneGroup(t *testing.T) {
	nodes := startNodes(t, 5, func(_ int, c *Config) {
		c.Keys = [][]byte{bytes.Repeat([]byte{7}, 32)}
		c.LeaseDuration = 2 * time.Second
	})
	waitReady(t, nodes)
	t.Run("a lease of another instance is shared", func(t *testing.T) { testLeaseIsShared(t, nodes) })
	t.Run("a released key is granted to another group", func(t *testing.T) { testReleasedKeyIsFree(t, nodes) })
	t.Run("concurrent requests get one group", func(t *testing.T) { testConcurrentRequests(t, nodes) })
}

func testLeaseIsShared(t *testing.T, nodes []*Node) {
	first := acquireOnce(nodes[0], engine.LeaseRequest{Key: "k", Request: 1, Term: 1, Group: "pod 1"})
	if first.Outcome != engine.LeaseExclusive {
		t.Fatalf("first request: %+v, want an exclusive lease", first)
	}
	granted := time.Now()
	second := acquireOnce(nodes[1], engine.LeaseRequest{Key: "k", Request: 1, Term: 1, Group: "pod 2"})
	if second.Outcome != engine.LeaseShared || second.Group != "pod 1" || second.Since.After(granted) {
		t.Fatalf("second request: %+v, want a lease shared with group \"pod 1\"", second)
	}
	otherClass := acquireOnce(nodes[1], engine.LeaseRequest{Class: 1, Key: "k", Request: 2, Term: 1, Group: "pod 2"})
	if otherClass.Outcome != engine.LeaseExclusive {
		t.Fatalf("request for the same key in another class: %+v, want an exclusive lease", otherClass)
	}
}

func testReleasedKeyIsFree(t *testing.T, nodes []*Node) {
	request := engine.LeaseRequest{Key: "r", Request: 3, Term: 1, Group: "pod 1"}
	if decision := acquireOnce(nodes[2], request); decision.Outcome != engine.LeaseExclusive {
		t.Fatalf("first request: %+v, want an exclusive lease", decision)
	}
	nodes[2].Release(request)
	wait.Until(t, "the released key is free", func() bool {
		request := engine.LeaseRequest{Key: "r", Request: uint64(time.Now().UnixNano()), Term: 1, Group: "pod 2"}
		decision := acquireOnce(nodes[3], request)
		nodes[3].Release(request)
		return decision.Outcome == engine.LeaseExclusive
	})
}

// Of several concurrent requests at most one is exclusive, and all may be sent to one group only.
func testConcurrentRequests(t *testing.T, nodes []*Node) {
	for n := range 20 {
		key := fmt.Sprint("concurrent-", n)
		var decisions []<-chan engine.LeaseDecision
		for i, node := range nodes {
			request := engine.LeaseRequest{Key: key, Request: 100 + uint64(n), Term: 1, Group: fmt.Sprint("pod ", i)}
			decisions = append(decisions, acquire(node, request))
		}
		exclusive := 0
		groups := map[string]bool{}
		for i, pending := range decisions {
			switch decision := <-pending; decision.Outcome {
			case engine.LeaseExclusive:
				exclusive++
				groups[fmt.Sprint("pod ", i)] = true
			case engine.LeaseShared:
				groups[decision.Group] = true
			}
		}
		if exclusive > 1 || len(groups) > 1 {
			t.Fatalf("key %s: %d exclusive leases, groups %v; want at most one of each", key, exclusive, groups)
		}
	}
}

// If the queue of the node's goroutine is full, the decision is the same as without a majority.
func TestAcquireDecidesWithoutMajorityIfQueueIsFull(t *testing.T) {
	node := startNodes(t, 1, nil)[0]
	blocked := make(chan struct{})
	unblock := make(chan struct{})
	node.tasks <- func() {
		close(blocked)
		<-unblock
	}
	<-blocked
	for range cap(node.tasks) {
		node.tasks <- func() {}
	}
	always := acquireOnce(node, engine.LeaseRequest{Key: "k", Request: 1, Term: 1})
	if always.Outcome != engine.LeaseDenied || always.Reason != reasonQueueFull {
		t.Errorf("AgreeAlways: %+v, want a denial with reason %q", always, reasonQueueFull)
	}
	soon := acquireOnce(node, engine.LeaseRequest{Class: 1, Key: "k", Request: 2, Term: 1})
	if soon.Outcome != engine.LeaseExclusive {
		t.Errorf("AgreeSoon: %+v, want an exclusive lease", soon)
	}
	close(unblock)
}

// Without a majority of voters, a request is denied with AgreeAlways. With AgreeSoon, it is sent as
// if no other instance had requested the key.
func TestAcquireWithoutMajorityFollowsAgreement(t *testing.T) {
	node := startNodes(t, 1, func(_ int, c *Config) {
		c.Voters = []string{"i-0", "x", "y"}
		c.LeaseTimeout = 30 * time.Millisecond
	})[0]
	always := acquireOnce(node, engine.LeaseRequest{Key: "k", Request: 1, Term: 1})
	if always.Outcome != engine.LeaseDenied {
		t.Errorf("AgreeAlways: %+v, want a denial", always)
	}
	soon := acquireOnce(node, engine.LeaseRequest{Class: 1, Key: "k", Request: 2, Term: 1})
	if soon.Outcome != engine.LeaseExclusive {
		t.Errorf("AgreeSoon: %+v, want an exclusive lease", soon)
	}
	// The instance still has a record of its own first request.
	second := acquireOnce(node, engine.LeaseRequest{Class: 1, Key: "k", Request: 3, Term: 1, Group: "pod 3"})
	if second.Outcome != engine.LeaseShared || second.Group != "" {
		t.Errorf("AgreeSoon, second request: %+v, want a lease shared with the first request's group", second)
	}
}

func TestCoversReportsClassesWithAgreement(t *testing.T) {
	node := startNodes(t, 1, nil)[0]
	if node.Covers(2) || !node.Covers(0) || node.Covers(9) {
		t.Errorf("Covers of classes 0, 2 and 9: %t, %t, %t; want true, false, false",
			node.Covers(0), node.Covers(2), node.Covers(9))
	}
}

// A voter that has just started, or is configured with other voters, does not vote. Its response
// gives the reason.
func TestAcquireIsDeniedByRecoveringOrUnknownVoters(t *testing.T) {
	nodes := startNodes(t, 3, func(index int, c *Config) {
		c.LeaseTimeout = 300 * time.Millisecond
		c.LeaseDuration = time.Second
		if index > 0 {
			c.Voters = []string{"i-0", "i-1", "i-2", "i-3"}
		}
	})
	waitReady(t, nodes)
	// On a busy machine the other voters may respond after the timeout, which results in another
	// reason. Therefore the request is repeated.
	waitDenied := func(node *Node, reason string) {
		t.Helper()
		number := uint64(0)
		wait.Until(t, "a denial with the reason "+reason, func() bool {
			number++
			request := engine.LeaseRequest{Key: fmt.Sprint("k-", number), Request: number, Term: 1}
			decision := acquireOnce(node, request)
			if decision.Outcome != engine.LeaseDenied {
				t.Fatalf("want a denial with reason %q, got %+v", reason, decision)
			}
			return strings.Contains(decision.Reason, reason)
		})
	}
	waitDenied(nodes[0], "other voters")
	recovering := startNodes(t, 3, func(_ int, c *Config) {
		c.LeaseTimeout = 300 * time.Millisecond
		c.LeaseDuration = time.Hour
	})
	wait.Until(t, "all nodes are alive", func() bool { return len(status(t, recovering[0]).Alive) == 3 })
	waitDenied(recovering[0], "too recently")
}
