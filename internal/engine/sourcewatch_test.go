package engine

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pinedale/balancer"
	"pinedale/internal/ctxtime"
)

// delayedSource is a source whose watches report a list, or fail, after a delay. After its list, a watch reports
// nothing more.
type delayedSource struct {
	delay   time.Duration
	list    List // the watch fails if it has no hosts
	started atomic.Int32
	running atomic.Int32
	closed  atomic.Bool
}

func (s *delayedSource) Watch(
	ctx context.Context, after *uint64, notify func(balancer.ListKind, List),
) (*uint64, error) {
	s.started.Add(1)
	s.running.Add(1)
	defer s.running.Add(-1)
	if !ctxtime.Sleep(ctx, s.delay) {
		return after, ctx.Err()
	}
	if len(s.list.Hosts) == 0 {
		notify(balancer.ListFailed, List{})
		return after, errors.New("unavailable")
	}
	notify(balancer.ListFull, s.list)
	<-ctx.Done()
	return &s.list.Version, ctx.Err()
}

func (s *delayedSource) Close() { s.closed.Store(true) }

// sourceOf returns a source that reports hosts after a delay.
func sourceOf(delay time.Duration, hosts ...Host) *delayedSource {
	return &delayedSource{delay: delay, list: snapshot(hosts...)}
}

// failing returns a source whose watches fail after a delay.
func failing(delay time.Duration) *delayedSource { return &delayedSource{delay: delay} }

// pollingEngine is an engine that polls its source. Its methods are called on the test's goroutine.
type pollingEngine struct {
	*Engine
	t *testing.T
}

// withPollingEngine runs a test on virtual time, with an engine that polls first.
func withPollingEngine(t *testing.T, interval time.Duration, first Source, test func(t *testing.T, e pollingEngine)) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings(1, readClass, balancer.Limits{MaxAttempts: 3, MaxOpen: 1000})
		settings.PollDiscovery = true
		settings.Contract.PollInterval = interval.Microseconds()
		e := mustNew(t, Options{
			Zones:    []string{"a"},
			Upstream: &fakeUpstream{},
			Source:   first,
			Log:      slog.New(slog.DiscardHandler),
			Settings: settings,
		})
		go e.Run() // until the test ends
		test(t, pollingEngine{e, t})
	})
}

// switchTo replaces the source.
func (e pollingEngine) switchTo(next Source) {
	e.Call(func(balancer.Micros) { e.SwitchSource(next) })
}

// expectReady checks whether an endpoint gets new requests.
func (e pollingEngine) expectReady(name string, want bool) {
	e.t.Helper()
	synctest.Wait()
	e.Call(func(balancer.Micros) {
		ep := e.endpoints.byID[e.endpoints.idByName[name]]
		if got := ep != nil && !ep.removed && ep.host.State == balancer.Ready; got != want {
			e.t.Errorf("endpoint %s ready: %v, want %v", name, got, want)
		}
	})
}

// Hosts of the tests.
var (
	readyOne    = readyHost("s-1", "127.0.0.1:1")
	readyTwo    = readyHost("s-2", "127.0.0.1:2")
	drainingOne = Host{Name: "s-1", Address: "127.0.0.1:1", State: balancer.Draining}
)

// Configurations that arrive faster than discovery answers: each once ended the call before it, so that no list was
// read until the last of them, and requests went on to an endpoint that drained.
func TestReplacedSourceStillReportsTheCallUnderWay(t *testing.T) {
	for name, count := range map[string]int{"two in a row": 2, "ten in a row": 10} {
		t.Run(name, func(t *testing.T) {
			withPollingEngine(t, 10*time.Second, sourceOf(0, readyOne, readyTwo), func(t *testing.T, e pollingEngine) {
				time.Sleep(2 * time.Second)
				e.expectReady("s-1", true)
				for range count {
					time.Sleep(2 * time.Second)
					e.switchTo(sourceOf(2500*time.Millisecond, drainingOne, readyTwo))
				}
				time.Sleep(600 * time.Millisecond) // 2.6 s since the last but one
				e.expectReady("s-1", false)
			})
		})
	}
}

// A configuration that replaces its predecessor every second while calls take 2.4 s: the oldest call under way is the
// one that is kept.
func TestOldestCallIsKeptInARowOfReplacements(t *testing.T) {
	withPollingEngine(t, 10*time.Second, sourceOf(0, readyOne, readyTwo), func(t *testing.T, e pollingEngine) {
		time.Sleep(2 * time.Second)
		for range 4 {
			e.switchTo(sourceOf(2400*time.Millisecond, drainingOne, readyTwo))
			time.Sleep(time.Second)
		}
		e.expectReady("s-1", false)
	})
}

// A source that has been replaced answers after its successor: its list is older and must not be applied.
func TestLateListOfReplacedSourceIsIgnored(t *testing.T) {
	withPollingEngine(t, 10*time.Second, sourceOf(0, readyOne, readyTwo), func(t *testing.T, e pollingEngine) {
		time.Sleep(2 * time.Second)
		slow := sourceOf(3*time.Second, readyOne, readyTwo)
		e.switchTo(slow)
		e.switchTo(sourceOf(time.Second, drainingOne, readyTwo))
		time.Sleep(1500 * time.Millisecond)
		e.expectReady("s-1", false)
		time.Sleep(3 * time.Second)
		e.expectReady("s-1", false)
		if !slow.closed.Load() || slow.running.Load() != 0 {
			t.Error("the replaced source is still in use after its successor has reported a list")
		}
	})
}

// The list of a replaced source answers no poll of the current one: had it counted as an answer, the current source,
// whose poll has failed, would never be polled again.
func TestListOfReplacedSourceIsNoAnswerOfTheCurrentOne(t *testing.T) {
	for name, hosts := range map[string][]Host{
		"short":    {drainingOne, readyTwo},
		"in parts": append(hostRange(2, 3*hostsPerPart), drainingOne),
	} {
		t.Run(name, func(t *testing.T) {
			withPollingEngine(t, 10*time.Second, sourceOf(0, readyOne, readyTwo), func(t *testing.T, e pollingEngine) {
				time.Sleep(2 * time.Second)
				e.switchTo(sourceOf(time.Second, hosts...))
				current := failing(0)
				e.switchTo(current)
				time.Sleep(1100 * time.Millisecond)
				e.expectReady("s-1", false)
				before := current.started.Load()
				time.Sleep(5 * time.Second)
				if current.started.Load() == before {
					t.Error("the source whose poll failed was not polled again within 5 s")
				}
			})
		})
	}
}

// A replaced source answers before its successor, but with an older list than the one that is known: drains and
// removals are applied, and no endpoint becomes ready again.
func TestOlderListOfReplacedSourceRevivesNothing(t *testing.T) {
	for name, others := range map[string][]Host{"short": nil, "in parts": hostRange(10, 3*hostsPerPart)} {
		t.Run(name, func(t *testing.T) {
			known := sourceOf(0, append([]Host{drainingOne, readyTwo, readyHost("s-3", "127.0.0.1:3")}, others...)...)
			known.list.Version = 5
			older := sourceOf(time.Second, append([]Host{readyOne, readyTwo, readyHost("s-4", "127.0.0.1:4")}, others...)...)
			older.list.Version = 3
			withPollingEngine(t, 10*time.Second, known, func(t *testing.T, e pollingEngine) {
				time.Sleep(2 * time.Second)
				e.switchTo(older)
				e.switchTo(sourceOf(time.Hour, readyOne))
				time.Sleep(1500 * time.Millisecond)
				e.expectReady("s-1", false) // drained
				e.expectReady("s-2", true)
				e.expectReady("s-3", false) // no longer listed
				e.expectReady("s-4", false) // may have been removed
			})
		})
	}
}

// Any number of replacements leaves a few watches, and all replaced sources are closed in the end.
func TestManyReplacementsLeaveFewWatches(t *testing.T) {
	withPollingEngine(t, 10*time.Second, sourceOf(0, readyOne), func(t *testing.T, e pollingEngine) {
		time.Sleep(2 * time.Second)
		var sources []*delayedSource
		for range 200 {
			next := sourceOf(time.Hour, readyOne)
			sources = append(sources, next)
			e.switchTo(next)
		}
		synctest.Wait()
		running := int32(0)
		for _, s := range sources {
			running += s.running.Load()
		}
		if running > 3 {
			t.Errorf("%d watches run after 200 replacements, want at most 3", running)
		}
		e.switchTo(sourceOf(0, readyOne))
		synctest.Wait()
		for n, s := range sources {
			if !s.closed.Load() || s.running.Load() != 0 {
				t.Fatalf("replaced source %d is still in use", n)
			}
		}
	})
}

// A poll timer must not end a call that is under way: where the settings ask for short poll intervals, discovery that
// answers more slowly than that was never heard.
func TestPollLeavesTheCallUnderWay(t *testing.T) {
	for _, interval := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		slow := sourceOf(2900*time.Millisecond, drainingOne, readyTwo)
		withPollingEngine(t, interval, slow, func(t *testing.T, e pollingEngine) {
			time.Sleep(interval/10 + 3*time.Second)
			e.expectReady("s-2", true)
			if n := slow.started.Load(); n != 1 {
				t.Errorf("poll interval of %v: %d calls, want 1", interval, n)
			}
		})
	}
}

// The retry that a failure of the previous source has scheduled must not end the first call to the new one.
func TestRetryOfPreviousSourceLeavesTheFirstCallToTheNewOne(t *testing.T) {
	withPollingEngine(t, 10*time.Second, failing(0), func(t *testing.T, e pollingEngine) {
		time.Sleep(20 * time.Second) // the delay of a retry is now seconds
		slow := sourceOf(3*time.Second, readyTwo)
		e.switchTo(slow)
		time.Sleep(3100 * time.Millisecond)
		e.expectReady("s-2", true)
		if n := slow.started.Load(); n != 1 {
			t.Errorf("%d calls to the new source, want 1", n)
		}
	})
}
