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

func acquire(node *Node, request engine.LeaseRequest) <-chan engine.LeaseDecision {
	decisions := make(chan engine.LeaseDecision, 1)
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(time.Minute)
	}
	node.Acquire(request, func(_ balancer.Micros, decision engine.LeaseDecision) { decisions <- decision })
	return decisions
}

// A key that one instance has a lease of is shared by others with its group; one that was
// released is free; of several concurrent requests at most one is exclusive.
func TestAcquireGrantsKeyToOneGroup(t *testing.T) {
	nodes := startNodes(t, 5, func(_ int, c *Config) {
		c.Keys = [][]byte{bytes.Repeat([]byte{7}, 32)}
		c.LeaseDuration = 2 * time.Second
	})
	waitReady(t, nodes)
	first := acquire(nodes[0], engine.LeaseRequest{Key: "k", Request: 1, Term: 1, Group: "pod 1"})
	if decision := <-first; decision.Outcome != engine.LeaseExclusive {
		t.Fatalf("first request: %+v", decision)
	}
	granted := time.Now()
	second := <-acquire(nodes[1], engine.LeaseRequest{Key: "k", Request: 1, Term: 1, Group: "pod 2"})
	if second.Outcome != engine.LeaseShared || second.Group != "pod 1" || second.Since.After(granted) {
		t.Fatalf("second request: %+v", second)
	}
	otherClass := <-acquire(nodes[1], engine.LeaseRequest{Class: 1, Key: "k", Request: 2, Term: 1, Group: "pod 2"})
	if otherClass.Outcome != engine.LeaseExclusive {
		t.Fatalf("the same key of another class: %+v", otherClass)
	}
	request := engine.LeaseRequest{Key: "r", Request: 3, Term: 1, Group: "pod 1"}
	if decision := <-acquire(nodes[2], request); decision.Outcome != engine.LeaseExclusive {
		t.Fatalf("a key to be released: %+v", decision)
	}
	nodes[2].Release(request)
	wait.Until(t, "the released key is free", func() bool {
		request := engine.LeaseRequest{Key: "r", Request: uint64(time.Now().UnixNano()), Term: 1, Group: "pod 2"}
		decision := <-acquire(nodes[3], request)
		nodes[3].Release(request)
		return decision.Outcome == engine.LeaseExclusive
	})
	for n := range 20 {
		var decisions []<-chan engine.LeaseDecision
		key := fmt.Sprint("concurrent-", n)
		for i, node := range nodes {
			request := engine.LeaseRequest{Key: key, Request: 100 + uint64(n), Term: 1, Group: fmt.Sprint("pod ", i)}
			decisions = append(decisions, acquire(node, request))
		}
		exclusive, groups := 0, map[string]bool{}
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
			t.Fatalf("%d exclusive leases of %s, which may go to %v", exclusive, key, groups)
		}
	}
}

// Without a majority of voters AgreeAlways denies a request, and AgreeSoon lets it go as if
// nobody else had requested the key.
func TestAcquireWithoutMajorityFollowsAgreement(t *testing.T) {
	node := startNodes(t, 1, func(_ int, c *Config) {
		c.Voters = []string{"i-0", "x", "y"}
		c.LeaseTimeout = 30 * time.Millisecond
	})[0]
	always := <-acquire(node, engine.LeaseRequest{Key: "k", Request: 1, Term: 1})
	if always.Outcome != engine.LeaseDenied {
		t.Errorf("AgreeAlways: %+v", always)
	}
	soon := <-acquire(node, engine.LeaseRequest{Class: 1, Key: "k", Request: 2, Term: 1})
	if soon.Outcome != engine.LeaseExclusive {
		t.Errorf("AgreeSoon: %+v", soon)
	}
	// But what went through the instance itself is known.
	second := <-acquire(node, engine.LeaseRequest{Class: 1, Key: "k", Request: 3, Term: 1, Group: "pod 3"})
	if second.Outcome != engine.LeaseShared || second.Group != "" {
		t.Errorf("AgreeSoon, second request: %+v", second)
	}
	if node.Covers(2) || !node.Covers(0) || node.Covers(9) {
		t.Error("Covers confuses classes")
	}
}

// A voter that has just started, or is configured with other voters, says so and does not count.
func TestAcquireIsDeniedByRecoveringOrUnknownVoters(t *testing.T) {
	nodes := startNodes(t, 3, func(i int, c *Config) {
		c.LeaseTimeout, c.LeaseDuration = 300*time.Millisecond, time.Second
		if i > 0 {
			c.Voters = []string{"i-0", "i-1", "i-2", "i-3"}
		}
	})
	waitReady(t, nodes)
	// On a busy machine the others may answer after the timeout: then the reason is another.
	expectDenied := func(node *Node, reason string) {
		t.Helper()
		n := uint64(0)
		wait.Until(t, "a denial with the reason "+reason, func() bool {
			n++
			decision := <-acquire(node, engine.LeaseRequest{Key: fmt.Sprint("k-", n), Request: n, Term: 1})
			if decision.Outcome != engine.LeaseDenied {
				t.Fatalf("%s: %+v", reason, decision)
			}
			return strings.Contains(decision.Reason, reason)
		})
	}
	expectDenied(nodes[0], "other witnesses")
	recovering := startNodes(t, 3, func(_ int, c *Config) {
		c.LeaseTimeout, c.LeaseDuration = 300*time.Millisecond, time.Hour
	})
	wait.Until(t, "all nodes are alive", func() bool { return len(status(t, recovering[0]).Alive) == 3 })
	expectDenied(recovering[0], "too lately")
}
