package engine

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pinedale/balancer"
)

// hostRange returns n ready hosts, numbered from first.
func hostRange(first, n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = readyHost(fmt.Sprintf("s-%04d", first+i), fmt.Sprintf("127.0.0.1:%d", first+i+1))
	}
	return hosts
}

// countingDecider records the kind of each update, the largest number of entries in an update, and each endpoint's
// last state.
type countingDecider struct {
	Decider
	kinds      []balancer.ListKind
	maxEntries int
	states     map[uint32]balancer.State
}

func (d *countingDecider) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	d.kinds = append(d.kinds, kind)
	d.maxEntries = max(d.maxEntries, len(entries))
	for _, entry := range entries {
		d.states[entry.ID] = entry.State
	}
	d.Decider.UpdateEndpoints(now, kind, entries)
}

// count returns the number of endpoints whose last state was the given one.
func (d *countingDecider) count(state balancer.State) int {
	n := 0
	for _, s := range d.states {
		if s == state {
			n++
		}
	}
	return n
}

func newPartsEngine(t *testing.T) (*Engine, *countingDecider) {
	t.Helper()
	e, _ := newRunningEngine(t)
	decider := &countingDecider{Decider: e.decider, states: map[uint32]balancer.State{}}
	e.decider = decider
	go e.Run() // until the test ends
	return e, decider
}

// beginWatch makes a watch that no goroutine runs the current one, in place of any other.
func beginWatch(ctx context.Context, e *Engine) (w *sourceWatch) {
	e.Call(func(balancer.Micros) {
		e.discovery.endCurrent()
		w = e.discovery.newWatch(ctx)
	})
	return w
}

// Applying a complete list in parts has the same result as applying it at once, and no event applies more than a part.
func TestLongListIsTakenInByParts(t *testing.T) {
	e, decider := newPartsEngine(t)
	const n = 1000
	e.updateInParts(beginWatch(context.Background(), e), balancer.ListFull, snapshot(hostRange(0, n)...))
	second := snapshot(hostRange(n/2, n)...)
	second.Version = 2
	second.Hosts[n-1].State = balancer.Draining
	e.updateInParts(beginWatch(context.Background(), e), balancer.ListFull, second)
	e.Call(func(balancer.Micros) {
		if decider.maxEntries > hostsPerPart {
			t.Errorf("%d entries in one event, at most %d are allowed", decider.maxEntries, hostsPerPart)
		}
		if ready, removed := decider.count(balancer.Ready), decider.count(balancer.Removed); ready != n-1 || removed != n/2 {
			t.Errorf("%d ready and %d removed, want %d and %d", ready, removed, n-1, n/2)
		}
		if last := decider.kinds[len(decider.kinds)-1]; last != balancer.ListDelta {
			t.Errorf("the last part is of kind %v, want %v", last, balancer.ListDelta)
		}
		if _, known := e.Counts(); known != n || *e.discovery.version != 2 {
			t.Errorf("%d endpoints at version %d, want %d at version 2", known, *e.discovery.version, n)
		}
	})
}

// Drains and removals take effect before the rest of a long list is applied.
func TestDrainsInALongListComeFirst(t *testing.T) {
	e, decider := newPartsEngine(t)
	const n = 500
	e.updateInParts(beginWatch(context.Background(), e), balancer.ListFull, snapshot(hostRange(0, n)...))
	changes := List{Version: 2, Hosts: hostRange(0, n+200)}
	changes.Hosts[n+199].State = balancer.Draining
	changes.Hosts[n-1].State = balancer.Draining
	var first []balancer.Endpoint
	e.Call(func(balancer.Micros) {
		decider.Decider = &firstUpdateDecider{Decider: decider.Decider, entries: &first}
	})
	e.updateInParts(beginWatch(context.Background(), e), balancer.ListDelta, changes)
	e.Call(func(balancer.Micros) {
		if len(first) < 2 || first[0].State != balancer.Draining || first[1].State != balancer.Draining {
			t.Error("the drains are not in the first part")
		}
	})
}

// firstUpdateDecider records the entries of the first update.
type firstUpdateDecider struct {
	Decider
	entries *[]balancer.Endpoint
}

func (d *firstUpdateDecider) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	if *d.entries == nil {
		*d.entries = entries
	}
	d.Decider.UpdateEndpoints(now, kind, entries)
}

// After a watch has ended, no further part of its list is applied, and the list's version is not recorded.
func TestPartsOfAnEndedWatchAreIgnored(t *testing.T) {
	e, decider := newPartsEngine(t)
	ctx, cancel := context.WithCancel(context.Background())
	e.Call(func(balancer.Micros) { decider.Decider = &cancellingDecider{decider.Decider, cancel} })
	e.updateInParts(beginWatch(ctx, e), balancer.ListFull, snapshot(hostRange(0, 500)...))
	e.Call(func(balancer.Micros) {
		if _, known := e.Counts(); known != hostsPerPart || e.discovery.version != nil {
			t.Errorf("%d endpoints known, want %d; version %v, want none", known, hostsPerPart, e.discovery.version)
		}
	})
}

// cancellingDecider cancels a context at the first update.
type cancellingDecider struct {
	Decider
	cancel func()
}

func (d *cancellingDecider) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	d.cancel()
	d.Decider.UpdateEndpoints(now, kind, entries)
}

// Endpoints of the first list are not new, whichever part contains them, so they get no slow start.
func TestFirstListInPartsStartsNoSlowStart(t *testing.T) {
	up := &fakeUpstream{}
	settings := testSettings(1, readClass, balancer.Limits{MaxAttempts: 3, MaxOpen: 1000})
	settings.PollDiscovery = true
	settings.Contract.SlowStartTime = time.Hour.Microseconds()
	settings.Contract.OverloadMultiple = 1e-9 // nothing would be sent in slow start
	e := mustNew(t, Options{
		Zones: []string{"a"}, Upstream: up, Source: up, Settings: settings, Log: slog.New(slog.DiscardHandler),
	})
	go e.Run()
	e.updateInParts(beginWatch(t.Context(), e), balancer.ListFull, snapshot(hostRange(0, 200)...))
	e.Call(func(now balancer.Micros) {
		for range 100 {
			r := &Request{Carrier: up, Respond: func(Response) {}}
			e.Submit(now, r, balancer.Request{Deadline: now + 3_000_000})
		}
		used := map[uint32]bool{}
		for _, a := range up.attempts {
			used[a.Endpoint] = true
		}
		if len(used) < hostsPerPart {
			t.Errorf("100 requests used %d of 200 endpoints, want at least %d", len(used), hostsPerPart)
		}
	})
}
