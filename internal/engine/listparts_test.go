package engine

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pinedale/balancer"
)

// manyHosts returns n ready hosts from a number on.
func manyHosts(first, n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = readyHost(fmt.Sprintf("s-%04d", first+i), fmt.Sprintf("127.0.0.1:%d", first+i+1))
	}
	return hosts
}

// partsDecider counts the entries of each call, and checks that nothing long holds up the engine.
type partsDecider struct {
	Decider
	kinds   []balancer.ListKind
	longest int
	states  map[uint32]balancer.State
}

func (d *partsDecider) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	d.kinds = append(d.kinds, kind)
	d.longest = max(d.longest, len(entries))
	for _, entry := range entries {
		d.states[entry.ID] = entry.State
	}
	d.Decider.UpdateEndpoints(now, kind, entries)
}

// count returns the number of endpoints that were last given with a state.
func (d *partsDecider) count(state balancer.State) int {
	n := 0
	for _, s := range d.states {
		if s == state {
			n++
		}
	}
	return n
}

func newPartsEngine(t *testing.T) (*Engine, *partsDecider) {
	t.Helper()
	e, _ := newRunningEngine(t)
	decider := &partsDecider{Decider: e.decider, states: map[uint32]balancer.State{}}
	e.decider = decider
	go e.Run() // until the test ends
	return e, decider
}

// A complete list comes to the same in parts as whole, and no event takes in more than a part.
func TestLongListIsTakenInByParts(t *testing.T) {
	e, decider := newPartsEngine(t)
	const n = 1000
	e.updateInParts(context.Background(), balancer.ListFull, snapshot(manyHosts(0, n)...))
	second := snapshot(manyHosts(n/2, n)...)
	second.Version = 2
	second.Hosts[n-1].State = balancer.Draining
	e.updateInParts(context.Background(), balancer.ListFull, second)
	e.Call(func(balancer.Micros) {
		if decider.longest > hostsPerPart {
			t.Errorf("%d entries in one event, at most %d are allowed", decider.longest, hostsPerPart)
		}
		if ready, removed := decider.count(balancer.Ready), decider.count(balancer.Removed); ready != n-1 || removed != n/2 {
			t.Errorf("%d ready and %d removed, want %d and %d", ready, removed, n-1, n/2)
		}
		if last := decider.kinds[len(decider.kinds)-1]; last != balancer.ListDelta {
			t.Errorf("the last part is of kind %v, want that of a live list", last)
		}
		if _, known := e.Counts(); known != n || *e.discovery.version != 2 {
			t.Errorf("%d endpoints known at version %d, want %d at 2", known, *e.discovery.version, n)
		}
	})
}

// Drains and removals are in effect before the rest of a long list is taken in.
func TestDrainsInALongListComeFirst(t *testing.T) {
	e, decider := newPartsEngine(t)
	const n = 500
	e.updateInParts(context.Background(), balancer.ListFull, snapshot(manyHosts(0, n)...))
	changes := List{Version: 2, Hosts: manyHosts(0, n+200)}
	changes.Hosts[n+199].State = balancer.Draining
	changes.Hosts[n-1].State = balancer.Draining
	var first []balancer.Endpoint
	e.Call(func(balancer.Micros) { decider.Decider = &firstUpdate{Decider: decider.Decider, entries: &first} })
	e.updateInParts(context.Background(), balancer.ListDelta, changes)
	e.Call(func(balancer.Micros) {
		if len(first) < 2 || first[0].State != balancer.Draining || first[1].State != balancer.Draining {
			t.Error("the drains are not in the first part")
		}
	})
}

// firstUpdate keeps the entries of the first call.
type firstUpdate struct {
	Decider
	entries *[]balancer.Endpoint
}

func (d *firstUpdate) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	if *d.entries == nil {
		*d.entries = entries
	}
	d.Decider.UpdateEndpoints(now, kind, entries)
}

// An ended watch takes in no further part, and its version does not count.
func TestPartsOfAnEndedWatchAreIgnored(t *testing.T) {
	e, decider := newPartsEngine(t)
	ctx, cancel := context.WithCancel(context.Background())
	e.Call(func(balancer.Micros) { decider.Decider = &endingDecider{decider.Decider, cancel} })
	e.updateInParts(ctx, balancer.ListFull, snapshot(manyHosts(0, 500)...))
	e.Call(func(balancer.Micros) {
		if _, known := e.Counts(); known != hostsPerPart || e.discovery.version != nil {
			t.Errorf("%d endpoints known, want %d; version %v, want none", known, hostsPerPart, e.discovery.version)
		}
	})
}

// endingDecider ends a context at the first list.
type endingDecider struct {
	Decider
	cancel func()
}

func (d *endingDecider) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	d.cancel()
	d.Decider.UpdateEndpoints(now, kind, entries)
}

// Endpoints of the first list are not new, whichever part names them: they have no slow start.
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
	e.updateInParts(t.Context(), balancer.ListFull, snapshot(manyHosts(0, 200)...))
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
			t.Errorf("100 requests used %d of 200 endpoints", len(used))
		}
	})
}
