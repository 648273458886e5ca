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

// What each instance counts reaches all, and is summed once however often it is replicated.
func TestServerTalliesReachAllInstances(t *testing.T) {
	nodes := startNodes(t, 4, func(_ int, c *Config) { c.SlowStartTime = time.Hour })
	startedMS := time.Now().UnixMilli()
	for n, node := range nodes {
		for i := range 10 * (n + 1) {
			result := balancer.OK
			if i%5 == 0 {
				result = balancer.Error
			}
			node.ObserveAttempt(&engine.Target{Name: "s-1", StartedMS: startedMS}, result)
		}
		node.ObserveAttempt(&engine.Target{Name: "s-1"}, balancer.NotSent)
	}
	wait.Until(t, "all nodes have all tallies", func() bool {
		var first *Status
		for _, node := range nodes {
			s := status(t, node)
			total := ServerTotal{}
			for _, server := range s.Servers {
				total.Attempts += server.Attempts
				total.Failures += server.Failures
				total.SlowStart += server.SlowStart
			}
			if total.Attempts > 100 || total.Failures > 20 || total.SlowStart > total.Attempts {
				t.Fatalf("totals of %s: %+v", s.Name, total)
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
	}, func() string {
		var text strings.Builder
		for _, node := range nodes {
			s := status(t, node)
			if err := s.Print(&text); err != nil {
				t.Error(err)
			}
		}
		return text.String()
	})
	server := httptest.NewServer(nodes[0])
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
