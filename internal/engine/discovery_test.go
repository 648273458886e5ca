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

// failingSource is a source whose watches fail immediately. It sends a value for each watch that starts.
type failingSource struct{ watches chan struct{} }

func (s failingSource) Watch(
	_ context.Context, after *uint64, _ func(balancer.ListKind, List),
) (*uint64, error) {
	s.watches <- struct{}{}
	return after, errors.New("unavailable")
}
func (s failingSource) Close() {}

// A local change of the endpoint list, by new settings or a new subset selection, is not an answer from discovery: a
// failed watch must still be restarted after it. Counting it as an answer once left the list outdated for good.
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
			if name == "subset" { // a higher load makes the subset select more servers
				selector.ObserveLoad(clock.now, 5)
			}
			before := len(e.endpoints.byID)
			change(e, e.Now())
			if name == "subset" && len(e.endpoints.byID) <= before {
				t.Fatalf("%d servers known after the change of the subset, %d before: want more", len(e.endpoints.byID), before)
			}
			clock.advance(10 * time.Second)
			select {
			case <-source.watches:
			case <-time.After(20 * time.Second):
				t.Error("the failed watch was not restarted within 10 s of virtual time")
			}
		})
	}
}

// slowSource is a source whose watch returns 20 ms after its context has ended.
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
		t.Error("Run returned before the watch")
	}
}
