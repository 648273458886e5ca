package engine

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
	"pinedale/internal/subset"
)

// view is what the balancer has been told of endpoints.
type view struct {
	Decider
	ready map[uint32]bool
	e     *Engine
}

func (v *view) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	if kind == balancer.ListFull || kind == balancer.ListCached {
		clear(v.ready)
	}
	for _, x := range entries {
		if v.ready[x.ID] = x.State == balancer.Ready; !v.ready[x.ID] {
			delete(v.ready, x.ID)
		}
	}
	v.Decider.UpdateEndpoints(now, kind, entries)
}

// Whatever lists tell and however servers fare: the balancer knows as ready the servers that are held and no
// others, each at the address where it was last listed, and what is let go is closed.
func TestSubsetOfAFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		held, err := subset.New(subset.Config{Instance: "one", Site: "a", Floor: 4, Spread: 1})
		if err != nil {
			t.Fatal(err)
		}
		up, v := &plainUpstream{}, &view{ready: map[uint32]bool{}}
		e, err := New(ctx, Options{Zones: []string{"a", "b"}, Upstream: up, Source: up, Subset: held, Log: slog.New(slog.DiscardHandler),
			WrapDecider: func(d Decider) Decider { v.Decider = d; return v },
			Settings: balancer.Settings{Balancers: 1, Zones: 2, Classes: []balancer.Class{{Name: "read", LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1}},
				Limits: balancer.Limits{Cancel: true, MaxAttempts: 3, MaxOpen: 1000}, Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5}}})
		if err != nil {
			t.Fatal(err)
		}
		e.decider.Start(e.Now())
		listed := map[string]Host{}
		host := func(state balancer.State) Host {
			n := rapid.IntRange(0, 14).Draw(t, "server")
			return Host{Name: fmt.Sprint("s-", n), Address: fmt.Sprintf("127.0.0.1:%d", 100+n+100*rapid.IntRange(0, 1).Draw(t, "moved")),
				Site: string(rune('a' + n%2)), State: state, Weight: 1}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"delta", "delta", "full", "failed", "outcome", "load"}).Draw(t, "step") {
			case "delta":
				h := host(rapid.SampledFrom([]balancer.State{balancer.Ready, balancer.Ready, balancer.Ready, balancer.Draining, balancer.Removed}).Draw(t, "state"))
				listed[h.Name] = h
				e.UpdateEndpoints(e.Now(), balancer.ListDelta, List{Hosts: []Host{h}})
			case "full":
				clear(listed)
				for range rapid.IntRange(0, 14).Draw(t, "hosts") {
					h := host(rapid.SampledFrom([]balancer.State{balancer.Ready, balancer.Ready, balancer.Draining}).Draw(t, "state"))
					listed[h.Name] = h
				}
				var list List
				for _, h := range listed {
					list.Hosts = append(list.Hosts, h)
				}
				slices.SortFunc(list.Hosts, func(a, b Host) int {
					return len(a.Name)*1000 + int(a.Name[len(a.Name)-1]) - len(b.Name)*1000 - int(b.Name[len(b.Name)-1])
				})
				e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
			case "failed":
				e.UpdateEndpoints(e.Now(), balancer.ListFailed, List{})
			case "outcome":
				if len(e.endpoints.byID) > 0 {
					e.observeOutcome(e.Now(), uint32(rapid.IntRange(1, int(e.endpoints.lastID)).Draw(t, "endpoint")), rapid.SampledFrom([]balancer.Status{balancer.OK, balancer.Timeout, balancer.Timeout}).Draw(t, "status"))
				}
			case "load":
				e.subset.meanInFlight = rapid.Float64Range(0, 20).Draw(t, "inflight")
				e.Tick()
			}
			ready := 0
			for name, h := range listed {
				id := e.endpoints.idByName[name]
				if h.State == balancer.Ready && held.Contains(name) {
					ready++
					if m := e.endpoints.byID[id]; m == nil || m.target == nil || m.target.Address != h.Address || !v.ready[id] {
						t.Fatalf("%s is held, and the balancer does not know it at %s", name, h.Address)
					}
				} else if v.ready[id] {
					t.Fatalf("%s is not held, and the balancer knows it", name)
				}
			}
			if ready != len(v.ready) || ready < min(4, ready) {
				t.Fatalf("%d are held, the balancer knows %d", ready, len(v.ready))
			}
			for _, target := range up.retired {
				if !target.Closed() {
					t.Fatal("a server that is let go is open")
				}
			}
		}
	})
}

// What a whole engine does with a request where it holds 20 servers of fleets of any size, and where it holds them all.
func BenchmarkRequest(b *testing.B) {
	for _, narrow := range []bool{true, false} {
		for _, n := range []int{10, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("subset=%t/servers=%d", narrow, n), func(b *testing.B) {
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				up := &plainUpstream{}
				o := Options{Zones: []string{"a", "b"}, Upstream: up, Source: up, Log: slog.New(slog.DiscardHandler),
					Settings: balancer.Settings{Balancers: 1, Zones: 2, Classes: []balancer.Class{{Name: "read", LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1}},
						Limits: balancer.Limits{Cancel: true, Probes: true, MaxAttempts: 3, MaxOpen: 1000}, Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5},
						Fields: []balancer.Field{balancer.FieldQueue}}}
				if narrow {
					s, err := subset.New(subset.Config{Instance: "one", Site: "a", Floor: 20, Spread: 2})
					if err != nil {
						b.Fatal(err)
					}
					o.Subset = s
				}
				e, err := New(ctx, o)
				if err != nil {
					b.Fatal(err)
				}
				e.decider.Start(e.Now())
				list := List{Complete: true}
				for i := range n {
					list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("s-", i), Address: fmt.Sprint("127.0.0.1:", 1000+i), Site: string(rune('a' + i%2)), Weight: 1})
				}
				e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
				for id := range e.endpoints.byID { // all freshly probed
					e.decider.ProbeCompleted(e.Now(), id, balancer.OK, 500, []float32{0})
				}
				b.ResetTimer()
				for range b.N {
					up.attempts = up.attempts[:0]
					take(e, up)
					for _, a := range up.attempts {
						a.Complete(e.Now(), Result{Status: balancer.OK})
					}
				}
			})
		}
	}
}
