package extproc

import (
	"context"
	"runtime"
	"testing"

	"pinedale/balancer"
)

// A ledger entry of a request with a key takes no more memory than the limit of entries assumes.
func TestEntryStaysWithinMemoryBudget(t *testing.T) {
	h := start(t, 2, func(o *Options, s *balancer.Settings) {
		o.MaxEntries = 20_000
		s.Classes = append([]balancer.Class{}, classes...)
		s.Classes[2].DedupWindow = 600_000_000
	})
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	const requests = 4000
	run := func(count int) {
		for range count {
			s := h.open(context.Background())
			decision := s.request(h.request("close"), 0)
			if decision.Endpoint != "" {
				s.report(200, "via_upstream", decision.Endpoint)
			}
			s.end()
		}
	}
	run(500) // makes the allocations that happen once
	before := memory()
	run(requests)
	if _, _, entries := h.server.Counts(); entries < requests {
		t.Fatalf("the ledger has %d entries, want at least %d", entries, requests)
	}
	entryBytes := (memory() - before) / requests
	t.Logf("%d bytes per entry", entryBytes)
	if entryBytes > 1<<10 {
		t.Errorf("an entry takes %d bytes, want at most %d", entryBytes, 1<<10)
	}
}
