package extproc

import (
	"context"
	"runtime"
	"testing"

	"pinedale/balancer"
)

// What is remembered of a keyed request takes no more than the limit of entries is
// reckoned with.
func TestMemoryOfAnEntry(t *testing.T) {
	w := start(t, 2, func(o *Options, s *balancer.Settings) {
		o.Entries = 20_000
		s.Classes = append([]balancer.Class{}, classes...)
		s.Classes[2].DedupWindow = 600_000_000
	})
	held := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	const n = 4000
	once := func(count int) {
		for range count {
			s := w.open(context.Background())
			v := s.ask(w.request("close"), 0)
			if v.Endpoint != "" {
				s.report(200, "via_upstream", v.Endpoint)
			}
			s.end()
		}
	}
	once(500) // what is made once is there
	before := held()
	once(n)
	if _, _, entries := w.server.Held(); entries < n {
		t.Fatalf("%d entries are remembered, want over %d", entries, n)
	}
	each := (held() - before) / n
	t.Logf("%d bytes an entry", each)
	if each > 1<<10 {
		t.Errorf("an entry takes %d bytes, reckoned are %d", each, 1<<10)
	}
}
