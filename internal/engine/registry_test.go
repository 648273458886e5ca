package engine

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pinedale/balancer"
)

// newTestEngine returns an engine that the test's goroutine owns: Run is not called.
func newTestEngine(t *testing.T) (*Engine, *fakeUpstream, *recordingDecider) {
	t.Helper()
	class := balancer.Class{
		Name:             "pay",
		Idempotency:      balancer.IdempotentWithKey,
		DedupWindow:      5_000_000,
		LatencyObjective: 600_000,
		ClientTimeout:    3_000_000,
		PriorityWeight:   1,
	}
	settings := testSettings(2, class, balancer.Limits{Cancel: true, MaxAttempts: 3, MaxOpen: 1000})
	settings.Kinds = 1
	up, decider := &fakeUpstream{}, &recordingDecider{}
	e := mustNew(t, Options{
		Zones:       []string{"a", "b"},
		Kinds:       []string{"m1"},
		Upstream:    up,
		Source:      up,
		Log:         slog.New(slog.DiscardHandler),
		Settings:    settings,
		WrapDecider: func(d Decider) Decider { decider.Decider = d; return decider },
	})
	e.decider.Start(e.Now())
	return e, up, decider
}

func stableID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Listed endpoints are passed to the decider, an endpoint keeps its id across lists, and an endpoint that has
// restarted gets a new target.
func TestEndpointKeepsIDAndRestartReplacesTarget(t *testing.T) {
	e, up, decider := newTestEngine(t)
	e.UpdateEndpoints(e.Now(), balancer.ListFull, snapshot(readyHost("s-1", "127.0.0.1:1")))
	before := e.endpoints.byID[1].target
	startedMS := time.Now().UnixMilli() - 500
	restarted := readyHost("s-1", "127.0.0.1:1")
	restarted.StartedMS = startedMS
	unlistedSite := Host{
		Name:    "s-9",
		Address: "127.0.0.1:1",
		Site:    "nowhere",
		Kind:    "odd",
		Cell:    4,
		State:   balancer.Draining,
	}
	e.UpdateEndpoints(e.Now(), balancer.ListDelta, List{Version: 2, Hosts: []Host{restarted, unlistedSite}})
	want := []balancer.Endpoint{
		{ID: 1, Zone: 0, Kind: 0, State: balancer.Ready, Weight: 1, StartTime: startedMS * 1000},
		{ID: 2, Zone: unknownName, Kind: unknownName, Cell: 4, State: balancer.Draining},
	}
	// The stable id is the same at every instance, whichever id it assigns to the endpoint.
	want[0].StableID, want[1].StableID = stableID("s-1"), stableID("s-9")
	if !slices.Equal(decider.entries, want) {
		t.Errorf("entries %+v, want %+v", decider.entries, want)
	}
	after := e.endpoints.byID[1].target
	if before == after || !before.Closed() || after.Closed() || !slices.Equal(up.retired, []*Target{before}) {
		t.Error("the target from before the restart was not closed, retired and replaced")
	}
	startTime, now := decider.entries[0].StartTime, e.Now()
	if startTime > now || now-startTime > time.Minute.Microseconds() {
		t.Errorf("start time %d, want one within the minute before the clock's time, %d", startTime, now)
	}
	if e.EndpointAt("127.0.0.1:1") != 1 || e.EndpointAt("127.0.0.1:2") != 0 || !e.HasEndpoints() {
		t.Error("EndpointAt or HasEndpoints: want the ready endpoint found, and no other")
	}
}

// Endpoints are added and removed all day under new names. The record of a removed endpoint is deleted once nothing
// is pending there; its id is not reused, so that a late outcome does not count for another endpoint.
func TestRemovedEndpointIsForgottenOnceNothingIsPending(t *testing.T) {
	e, up, _ := newTestEngine(t)
	list := func(complete bool, hosts ...Host) {
		kind := balancer.ListDelta
		if complete {
			kind = balancer.ListFull
		}
		e.UpdateEndpoints(e.Now(), kind, List{Complete: complete, Hosts: hosts})
	}
	list(true, readyHost("s-1", "127.0.0.1:1"))
	response := submit(e, up)
	for i := range 50 {
		list(true, readyHost(fmt.Sprintf("t-%d", i), "127.0.0.1:2"))
	}
	removed := readyHost("t-49", "")
	removed.State = balancer.Removed
	list(false, removed)
	list(false, removed)
	requests, endpoints := e.Counts()
	if requests != 1 || endpoints != 1 || len(e.endpoints.idByName) != 1 || e.endpoints.byID[1] == nil {
		t.Errorf("%d requests, %d endpoints and %d names, want one of each, with the attempt pending",
			requests, endpoints, len(e.endpoints.idByName))
	}
	up.attempts[0].Complete(e.Now(), Result{Status: balancer.OK})
	if response.Code != 200 {
		t.Errorf("answer to the request in flight: %+v, want 200", response)
	}
	if requests, endpoints := e.Counts(); requests != 0 || endpoints != 0 || len(e.endpoints.idByName) != 0 {
		t.Errorf("%d requests, %d endpoints and %d names, want none", requests, endpoints, len(e.endpoints.idByName))
	}
	list(true, readyHost("s-1", "127.0.0.1:1"))
	if id := e.endpoints.idByName["s-1"]; id != 52 {
		t.Errorf("the endpoint that was listed again has id %d, want a new one, 52", id)
	}
}

// An endpoint that other instances report as draining counts as draining while the source lists the same incarnation
// as ready: no new attempts, pending ones continue. A new incarnation or the end of the advice reverts it.
func TestAdvisedDrainingHoldsForListedIncarnationOnly(t *testing.T) {
	e, up, decider := newTestEngine(t)
	list := snapshot(readyHost("s-1", "127.0.0.1:1"), readyHost("s-2", "127.0.0.1:2"))
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	first := e.endpoints.byID[1].target
	e.SetAdvisedDraining(e.Now(), map[string]int64{"s-1": 0, "s-2": 7, "s-9": 0})
	if !first.Closed() || e.endpoints.byID[1].target != nil || !slices.Contains(up.retired, first) {
		t.Error("an endpoint that is advised to drain still has an open target")
	}
	if e.endpoints.byID[2].target == nil {
		t.Error("advice on another incarnation took effect")
	}
	want := []balancer.Endpoint{
		{ID: 1, StableID: decider.entries[0].StableID, State: balancer.Draining, Weight: 1},
	}
	if !slices.Equal(decider.entries, want) {
		t.Errorf("entries %+v, want %+v", decider.entries, want)
	}
	decider.entries = nil
	e.SetAdvisedDraining(e.Now(), map[string]int64{"s-1": 0})
	if decider.entries != nil {
		t.Errorf("unchanged advice caused an update with entries %+v", decider.entries)
	}
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list) // the source still lists the endpoint as ready
	if e.endpoints.byID[1].target != nil {
		t.Error("an outdated list overrode the advice")
	}
	list.Hosts[0].StartedMS = 5
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	if e.endpoints.byID[1].target == nil {
		t.Error("advice on the previous incarnation still applies to one that has restarted")
	}
	list.Hosts[0].StartedMS = 0
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	e.SetAdvisedDraining(e.Now(), nil)
	if e.endpoints.byID[1].target == nil || decider.entries[0].State != balancer.Ready {
		t.Error("advice that was withdrawn still applies")
	}
}

// BenchmarkAdvise measures how long a change of advice occupies the engine's goroutine with a large fleet.
func BenchmarkAdvise(b *testing.B) {
	up := &fakeUpstream{}
	e := mustNew(b, Options{
		Zones:    []string{"a"},
		Upstream: up,
		Source:   up,
		Log:      slog.New(slog.DiscardHandler),
		Settings: testSettings(1, readClass, balancer.Limits{MaxAttempts: 3, MaxOpen: 1000}),
	})
	advised := map[string]int64{}
	for n := range 48 {
		advised[fmt.Sprint("s-", n)] = 0
	}
	e.UpdateEndpoints(e.Now(), balancer.ListFull, snapshot(numberedHosts(10_000)...))
	for n := 0; b.Loop(); n++ {
		e.SetAdvisedDraining(e.Now(), []map[string]int64{advised, nil}[n%2])
	}
}

// Of two endpoints at one address only the one that started last takes requests, in whatever order and state they are
// listed; the other one's process has gone. Endpoints whose start is unknown are all used.
func TestEndpointIsSupersededByALaterStartAtItsAddress(t *testing.T) {
	const address = "127.0.0.1:1"
	host := func(name string, startedMS int64, state balancer.State) Host {
		h := readyHost(name, address)
		h.StartedMS, h.State = startedMS, state
		return h
	}
	for _, test := range []struct {
		name  string
		lists [][]Host // the first is a snapshot
		want  []string // names of the endpoints that take requests
	}{
		{"successor listed later", [][]Host{{host("old", 0, balancer.Ready)}, {host("new", 5, balancer.Ready)}},
			[]string{"new"}},
		{"successor listed first", [][]Host{{host("new", 5, balancer.Ready), host("old", 3, balancer.Ready)}},
			[]string{"new"}},
		{"successor drains", [][]Host{{host("old", 3, balancer.Ready)}, {host("new", 5, balancer.Draining)}}, nil},
		{"successor drains after it was ready", [][]Host{{host("old", 3, balancer.Ready)},
			{host("new", 5, balancer.Ready)}, {host("new", 5, balancer.Draining), host("old", 3, balancer.Ready)}}, nil},
		{"successor removed, old one listed again", [][]Host{{host("old", 3, balancer.Ready)},
			{host("new", 5, balancer.Ready)}, {host("new", 5, balancer.Removed), host("old", 3, balancer.Ready)}},
			[]string{"old"}},
		{"old one restarted later", [][]Host{{host("old", 3, balancer.Ready)},
			{host("new", 5, balancer.Ready)}, {host("old", 7, balancer.Ready)}}, []string{"old"}},
		{"starts unknown", [][]Host{{host("old", 0, balancer.Ready), host("new", 0, balancer.Ready)}},
			[]string{"new", "old"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, _, decider := newTestEngine(t)
			states := map[uint32]balancer.State{}
			for i, hosts := range test.lists {
				kind := balancer.ListDelta
				if i == 0 {
					kind = balancer.ListFull
				}
				e.UpdateEndpoints(e.Now(), kind, List{Version: uint64(i), Hosts: hosts})
				for _, entry := range decider.entries {
					states[entry.ID] = entry.State
				}
			}
			var open, ready []string
			for id, ep := range e.endpoints.byID {
				if ep.target != nil && !ep.target.Closed() {
					open = append(open, ep.name)
				}
				if states[id] == balancer.Ready {
					ready = append(ready, ep.name)
				}
			}
			slices.Sort(open)
			slices.Sort(ready)
			if !slices.Equal(open, test.want) || !slices.Equal(ready, test.want) {
				t.Errorf("open targets %v, ready for the decision module %v, want %v", open, ready, test.want)
			}
		})
	}
}
