package cluster

import (
	"bytes"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/wait"
)

// observeAttempts counts 10 attempts at server s-1 on the first node, 20 on the second, and so on. One
// in five fails: four nodes have 100 attempts and 20 failures in total.
func observeAttempts(nodes []*Node) {
	startedMS := time.Now().UnixMilli()
	for index, node := range nodes {
		for i := range 10 * (index + 1) {
			outcome := balancer.OK
			if i%5 == 0 {
				outcome = balancer.Error
			}
			node.ObserveAttempt(&engine.Target{Name: "s-1", StartedMS: startedMS}, outcome)
		}
		node.ObserveAttempt(&engine.Target{Name: "s-1"}, balancer.NotSent)
	}
}

// sumServers returns the sum of the totals of all servers.
func sumServers(servers []ServerTotal) (sum ServerTotal) {
	for _, server := range servers {
		sum.Attempts += server.Attempts
		sum.Failures += server.Failures
		sum.SlowStart += server.SlowStart
	}
	return sum
}

// printAll returns the printed status of all nodes.
func printAll(t *testing.T, nodes []*Node) string {
	t.Helper()
	var text strings.Builder
	for _, node := range nodes {
		s := status(t, node)
		if err := s.Print(&text); err != nil {
			t.Error(err)
		}
	}
	return text.String()
}

// The tallies of each instance reach all instances. Each attempt is counted once in the sums, however
// often a tally is replicated.
func TestServerTalliesReachAllInstances(t *testing.T) {
	nodes := startNodes(t, 4, func(_ int, c *Config) { c.SlowStartTime = time.Hour })
	observeAttempts(nodes)
	wait.Until(t, "all nodes have all tallies", func() bool {
		var first *Status
		for _, node := range nodes {
			s := status(t, node)
			total := sumServers(s.Servers)
			if total.Attempts > 100 || total.Failures > 20 || total.SlowStart > total.Attempts {
				t.Fatalf("totals of %s: %+v, want at most 100 attempts and 20 failures", s.Name, total)
			}
			if total.Attempts != 100 || total.Failures != 20 || total.SlowStart != 100 {
				return false
			}
			if first == nil {
				first = &s
				continue
			}
			aboutServer := func(line string) bool { return strings.Contains(line, "s-1") }
			if slices.ContainsFunc(Diff(first, &s), aboutServer) {
				return false
			}
		}
		return true
	}, func() string { return printAll(t, nodes) })
}

func TestFetchReturnsServedStatus(t *testing.T) {
	nodes := startNodes(t, 4, func(_ int, c *Config) { c.SlowStartTime = time.Hour })
	observeAttempts(nodes)
	wait.Until(t, "the first node has a tally", func() bool { return len(status(t, nodes[0]).Servers) > 0 })
	server := httptest.NewServer(nodes[0])
	t.Cleanup(server.Close)
	got, err := Fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if err != nil || got.Name != "i-0" || len(got.Servers) == 0 {
		t.Errorf("fetched %+v, error %v, want the status of i-0 with a server", got, err)
	}
	var out bytes.Buffer
	if err := got.Print(&out); err != nil || !strings.Contains(out.String(), "s-1@") {
		t.Errorf("printed %q, error %v, want a line for s-1", out.String(), err)
	}
}
