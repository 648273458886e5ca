package engine

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pinedale/balancer"
)

// With Options.Clock, an engine runs all events immediately on the caller's goroutine, and takes the time only from
// that clock.
func TestEventsRunAtOnceOnGivenClock(t *testing.T) {
	up, clock := &fakeUpstream{}, newSteppedClock()
	settings := testSettings(1, readClass, balancer.Limits{MaxAttempts: 3, MaxOpen: 10})
	settings.Kinds = 1
	e := mustNew(t, Options{
		Zones:    []string{"a"},
		Kinds:    []string{"m1"},
		Upstream: up,
		Clock:    clock,
		Log:      slog.New(slog.DiscardHandler),
		Settings: settings,
	})
	e.Start()
	e.Post(func(now balancer.Micros) {
		e.UpdateEndpoints(now, balancer.ListFull, snapshot(readyHost("s-1", "127.0.0.1:1")))
	})
	if !e.HasEndpoints() {
		t.Error("the list was not applied immediately")
	}
	response := submit(e, up)
	if len(up.attempts) != 1 || !up.attempts[0].DeadlineTime().Equal(clock.now.Add(3*time.Second)) {
		t.Fatalf("%d attempts, want one with a deadline in 3 s", len(up.attempts))
	}
	clock.now = clock.now.Add(time.Second)
	if now := e.Now(); now != clock.now.UnixMicro() {
		t.Errorf("the engine's time is %d, want the clock's time %d", now, clock.now.UnixMicro())
	}
	up.attempts[0].PostResult(Result{Status: balancer.OK})
	if response.Code != 200 {
		t.Errorf("answer %+v, want 200", response)
	}
	ran := false
	e.After(time.Second, func(balancer.Micros) { ran = true })
	if len(clock.timers) == 0 || ran {
		t.Fatal("After did not use the clock")
	}
	clock.timers[len(clock.timers)-1]()
	if !ran || !e.TryPost(func(balancer.Micros) { ran = false }) || ran {
		t.Error("events did not run immediately")
	}
}

// newRunningEngine returns an engine on the system clock, without endpoints, and the function that ends it. The
// caller starts Run.
func newRunningEngine(t *testing.T) (*Engine, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	up := &fakeUpstream{}
	e, err := New(ctx, Options{
		Zones:    []string{"a"},
		Upstream: up,
		Source:   up,
		Log:      slog.New(slog.DiscardHandler),
		Settings: testSettings(1, readClass, balancer.Limits{MaxAttempts: 3, MaxOpen: 10}),
	})
	if err != nil {
		t.Fatal(err)
	}
	return e, cancel
}

func TestRunHandlesEventsInOrderUntilContextEnds(t *testing.T) {
	e, cancel := newRunningEngine(t)
	var order []string // owned by the engine's goroutine
	e.Post(func(balancer.Micros) {
		e.Defer(func(balancer.Micros) { order = append(order, "deferred") })
		order = append(order, "first")
	})
	e.Post(func(balancer.Micros) { order = append(order, "second") })
	ended := make(chan struct{})
	go func() {
		e.Run()
		close(ended)
	}()
	var got []string
	e.Call(func(balancer.Micros) { got = slices.Clone(order) })
	if want := []string{"first", "deferred", "second"}; !slices.Equal(got, want) {
		t.Errorf("events ran in the order %v, want %v", got, want)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("Run did not return")
	}
}

func TestPostGivesUpOnFullQueue(t *testing.T) {
	e, cancel := newRunningEngine(t)
	ran := false
	event := func(balancer.Micros) { ran = true }
	for n := range eventQueueSize {
		if !e.TryPost(event) {
			t.Fatalf("event %d was not posted", n)
		}
	}
	if e.TryPost(event) {
		t.Error("TryPost posted to a full queue")
	}
	for n := range eventQueueSize {
		if !e.PostArrival(nil, event) {
			t.Fatalf("arrival %d was not posted", n)
		}
	}
	done := make(chan struct{})
	close(done)
	if e.PostArrival(done, event) {
		t.Error("PostArrival posted to a full queue")
	}
	cancel()
	if e.PostArrival(nil, event) {
		t.Error("PostArrival posted to an engine that had ended")
	}
	e.Call(event) // returns, since the engine has ended
	if ran {
		t.Error("an event ran on the caller's goroutine")
	}
}
