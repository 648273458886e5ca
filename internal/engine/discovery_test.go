package engine

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/subset"
)

// failingSource is a source whose watches fail at once. It reports each to the test.
type failingSource struct{ watches chan struct{} }

func (s failingSource) Watch(
	_ context.Context, after *uint64, _ func(balancer.ListKind, List),
) (*uint64, error) {
	s.watches <- struct{}{}
	return after, errors.New("unavailable")
}
func (s failingSource) Close() {}

// A change of the list that the engine's host makes itself, with new settings or another subset, does not count as
// an answer of discovery: a watch that has failed is started again all the same. It counted as one before, and the
// list was never updated again.
func TestFailedWatchIsRestartedAfterLocalListChange(t *testing.T) {
	for name, change := range map[string]func(e *Engine, now balancer.Micros){
		"none": func(*Engine, balancer.Micros) {},
		"settings": func(e *Engine, now balancer.Micros) {
			if err := e.Configure(now, RuntimeSettings{Classes: e.Settings().Classes}); err != nil {
				t.Fatal(err)
			}
		},
		"subset": func(e *Engine, now balancer.Micros) { e.reselect(now) },
	} {
		t.Run(name, func(t *testing.T) {
			clock := &virtualClock{now: time.Unix(1_000_000_000, 0)}
			source := failingSource{make(chan struct{}, 100)}
			selector, err := subset.New(subset.Config{Instance: "one", Site: "a", MinSize: 2, PerInFlight: 1})
			if err != nil {
				t.Fatal(err)
			}
			settings := testSettings(1, readClass, balancer.Limits{MaxAttempts: 3, MaxOpen: 1000})
			settings.PollDiscovery = true
			settings.Contract.PollInterval = 2_000_000
			e := mustNew(t, Options{
				Zones:    []string{"a"},
				Upstream: &fakeUpstream{},
				Source:   source,
				Subset:   selector,
				Clock:    clock,
				Log:      slog.New(slog.DiscardHandler),
				Settings: settings,
			})
			e.Start()
			clock.advance(time.Second) // starts are spread over a tenth of the poll interval
			<-source.watches
			e.UpdateEndpoints(e.Now(), balancer.ListFull, snapshot(numberedHosts(9)...))
			e.UpdateEndpoints(e.Now(), balancer.ListFailed, List{})
			if name == "subset" { // more of the fleet is to be selected
				selector.ObserveLoad(clock.now, 5)
			}
			before := len(e.endpoints.byID)
			change(e, e.Now())
			if name == "subset" && len(e.endpoints.byID) <= before {
				t.Fatalf("%d servers selected, %d before: nothing has changed", len(e.endpoints.byID), before)
			}
			clock.advance(10 * time.Second)
			select {
			case <-source.watches:
			case <-time.After(20 * time.Second):
				t.Error("discovery is not polled again")
			}
		})
	}
}

// slowSource is a source whose watches take a while to return once their context has ended.
type slowSource struct {
	started  chan struct{}
	returned atomic.Bool
}

func (s *slowSource) Watch(
	ctx context.Context, after *uint64, _ func(balancer.ListKind, List),
) (*uint64, error) {
	close(s.started)
	<-ctx.Done()
	time.Sleep(20 * time.Millisecond)
	s.returned.Store(true)
	return after, ctx.Err()
}
func (s *slowSource) Close() {}

func TestRunReturnsAfterWatchOfSource(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	source := &slowSource{started: make(chan struct{})}
	e, err := New(ctx, Options{
		Zones:    []string{"a"},
		Upstream: &fakeUpstream{},
		Source:   source,
		Log:      slog.New(slog.DiscardHandler),
		Settings: testSettings(1, readClass, balancer.Limits{MaxAttempts: 3, MaxOpen: 1000}),
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run()
	}()
	<-source.started
	cancel()
	<-ended
	if !source.returned.Load() {
		t.Error("Run has returned before the watch")
	}
}
