package engine

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
	"pinedale/internal/subset"
)

// readyDecider records which endpoints were passed to the decider as ready.
type readyDecider struct {
	Decider
	ready map[uint32]bool
}

func (d *readyDecider) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	if kind == balancer.ListFull || kind == balancer.ListCached {
		clear(d.ready)
	}
	for _, entry := range entries {
		if entry.State == balancer.Ready {
			d.ready[entry.ID] = true
		} else {
			delete(d.ready, entry.ID)
		}
	}
	d.Decider.UpdateEndpoints(now, kind, entries)
}

// subsetModel applies random lists, outcomes and loads to an engine that uses a subset of its fleet.
type subsetModel struct {
	engine   *Engine
	up       *fakeUpstream
	selector *subset.Subset
	decider  *readyDecider
	listed   map[string]Host
}

func newSubsetModel(t *rapid.T) *subsetModel {
	selector, err := subset.New(subset.Config{Instance: "one", Site: "a", MinSize: 4, PerInFlight: 1})
	if err != nil {
		t.Fatal(err)
	}
	m := &subsetModel{
		up:       &fakeUpstream{},
		selector: selector,
		decider:  &readyDecider{ready: map[uint32]bool{}},
		listed:   map[string]Host{},
	}
	m.engine = mustNew(t, Options{
		Zones:       []string{"a", "b"},
		Upstream:    m.up,
		Source:      m.up,
		Subset:      selector,
		Log:         slog.New(slog.DiscardHandler),
		WrapDecider: func(d Decider) Decider { m.decider.Decider = d; return m.decider },
		Settings:    testSettings(2, readClass, balancer.Limits{Cancel: true, MaxAttempts: 3, MaxOpen: 1000}),
	})
	m.engine.decider.Start(m.engine.Now())
	return m
}

// drawHost returns one of 15 servers, at one of its two addresses, in one of the given states.
func drawHost(t *rapid.T, states ...balancer.State) Host {
	state := rapid.SampledFrom(states).Draw(t, "state")
	n := rapid.IntRange(0, 14).Draw(t, "server")
	port := 100 + n + 100*rapid.IntRange(0, 1).Draw(t, "moved")
	return Host{
		Name:    fmt.Sprint("s-", n),
		Address: fmt.Sprintf("127.0.0.1:%d", port),
		Site:    string(rune('a' + n%2)),
		State:   state,
		Weight:  1,
	}
}

// step applies one random event.
func (m *subsetModel) step(t *rapid.T) {
	e := m.engine
	switch rapid.SampledFrom([]string{"delta", "delta", "full", "failed", "outcome", "load"}).Draw(t, "step") {
	case "delta":
		h := drawHost(t, balancer.Ready, balancer.Ready, balancer.Ready, balancer.Draining, balancer.Removed)
		m.listed[h.Name] = h
		e.UpdateEndpoints(e.Now(), balancer.ListDelta, List{Hosts: []Host{h}})
	case "full":
		clear(m.listed)
		for range rapid.IntRange(0, 14).Draw(t, "hosts") {
			h := drawHost(t, balancer.Ready, balancer.Ready, balancer.Draining)
			m.listed[h.Name] = h
		}
		e.UpdateEndpoints(e.Now(), balancer.ListFull, List{Hosts: m.sortedHosts()})
	case "failed":
		e.UpdateEndpoints(e.Now(), balancer.ListFailed, List{})
	case "outcome":
		if len(e.endpoints.byID) > 0 {
			id := uint32(rapid.IntRange(1, int(e.endpoints.lastID)).Draw(t, "endpoint"))
			statuses := []balancer.Status{balancer.OK, balancer.Timeout, balancer.Timeout}
			e.observeOutcome(e.Now(), id, rapid.SampledFrom(statuses).Draw(t, "status"))
		}
	case "load":
		e.subset.meanInFlight = rapid.Float64Range(0, 20).Draw(t, "inflight")
		e.Tick()
	}
}

// sortedHosts returns the listed hosts in an order independent of the map's.
func (m *subsetModel) sortedHosts() []Host {
	var hosts []Host
	for _, h := range m.listed {
		hosts = append(hosts, h)
	}
	key := func(h Host) int { return len(h.Name)*1000 + int(h.Name[len(h.Name)-1]) }
	slices.SortFunc(hosts, func(a, b Host) int { return key(a) - key(b) })
	return hosts
}

// check checks that the decider knows the selected servers as ready, and no others.
func (m *subsetModel) check(t *rapid.T) {
	ready, listedReady := 0, 0
	for name, h := range m.listed {
		id := m.engine.endpoints.idByName[name]
		if h.State == balancer.Ready {
			listedReady++
		}
		if h.State == balancer.Ready && m.selector.Contains(name) {
			ready++
			ep := m.engine.endpoints.byID[id]
			if ep == nil || ep.target == nil || ep.target.Address != h.Address || !m.decider.ready[id] {
				t.Fatalf("%s is selected, but the decider does not know it as ready at %s", name, h.Address)
			}
		} else if m.decider.ready[id] {
			t.Fatalf("%s is not selected, but the decider knows it as ready", name)
		}
	}
	if ready != len(m.decider.ready) || ready < min(4, listedReady) {
		t.Fatalf("%d of %d ready servers selected; the decider knows %d", ready, listedReady, len(m.decider.ready))
	}
	for _, target := range m.up.retired {
		if !target.Closed() {
			t.Fatal("a retired target is not closed")
		}
	}
}

// For any lists and outcomes, the decider knows exactly the selected servers as ready, each at the address where it
// was last listed, and targets no longer in use are closed.
func TestDeciderKnowsExactlyTheSelectedServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSubsetModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}

// BenchmarkRequest measures a request at an engine that uses a subset of 20 servers, or all servers, of a fleet.
func BenchmarkRequest(b *testing.B) {
	for _, useSubset := range []bool{true, false} {
		for _, n := range []int{10, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("subset=%t/servers=%d", useSubset, n), func(b *testing.B) {
				e, up := newBenchmarkEngine(b, useSubset, n)
				b.ResetTimer()
				for range b.N {
					up.attempts = up.attempts[:0]
					submit(e, up)
					for _, a := range up.attempts {
						a.Complete(e.Now(), Result{Status: balancer.OK})
					}
				}
			})
		}
	}
}

// newBenchmarkEngine returns an engine that knows n servers and the load of each.
func newBenchmarkEngine(b *testing.B, useSubset bool, n int) (*Engine, *fakeUpstream) {
	up := &fakeUpstream{}
	limits := balancer.Limits{Cancel: true, Probes: true, MaxAttempts: 3, MaxOpen: 1000}
	settings := testSettings(2, readClass, limits)
	settings.Fields = []balancer.Field{balancer.FieldQueue}
	o := Options{
		Zones:    []string{"a", "b"},
		Upstream: up,
		Source:   up,
		Log:      slog.New(slog.DiscardHandler),
		Settings: settings,
	}
	if useSubset {
		selector, err := subset.New(subset.Config{Instance: "one", Site: "a", MinSize: 20, PerInFlight: 2})
		if err != nil {
			b.Fatal(err)
		}
		o.Subset = selector
	}
	e := mustNew(b, o)
	e.decider.Start(e.Now())
	list := List{Complete: true}
	for i := range n {
		list.Hosts = append(list.Hosts, Host{
			Name:    fmt.Sprint("s-", i),
			Address: fmt.Sprint("127.0.0.1:", 1000+i),
			Site:    string(rune('a' + i%2)),
			Weight:  1,
		})
	}
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	for id := range e.endpoints.byID { // all freshly probed
		e.decider.ProbeCompleted(e.Now(), id, balancer.OK, 500, []float32{0})
	}
	return e, up
}
