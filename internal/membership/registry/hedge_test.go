package registry

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pinedale/balancer"
)

// Watch timeouts were once independent of the drain grace and of how long a crowded service takes: a stalled watch was
// opened again so late that the list arrived after the grace, and requests went on to a server that drained.
func TestStalledWatchIsReplacedInTimeBySlowService(t *testing.T) {
	const holdUp = 150 * time.Millisecond // of the instance, which the grace has to cover
	for _, grace := range []time.Duration{0, time.Second / 2, time.Second, 2 * time.Second, time.Minute} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := &scriptedService{outcomes: []outcome{answered, stalled}, rest: answeredSlowly, version: 41}
				reported := watch(t, PollTiming(grace), service, 2)
				if got := kindsOf(reported); !slices.Equal(got, []balancer.ListKind{balancer.ListFull, balancer.ListDelta}) {
					t.Fatalf("reported list kinds %v, want a list and changes", got)
				}
				limit := 6*time.Second + grace - holdUp
				if elapsed := reported[1].at.Sub(service.calls[1].at); elapsed > limit {
					t.Errorf("the next list is received after %v, want at most %v", elapsed, limit)
				}
			})
		})
	}
}

// The second call must not end the watch: a service that is slow may be about to answer it, and the second call later
// or not at all.
func TestLateResponseOfWatchIsUsed(t *testing.T) {
	for name, hedge := range map[string]outcome{"slow": answeredSlowly, "reset": reset, "stalled": stalled} {
		t.Run("second call "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := &scriptedService{outcomes: []outcome{answered, answeredLate, hedge}, version: 41}
				reported := watch(t, testTiming, service, 2)
				if got := kindsOf(reported); !slices.Equal(got, []balancer.ListKind{balancer.ListFull, balancer.ListDelta}) {
					t.Fatalf("reported list kinds %v, want a list and changes", got)
				}
				elapsed := reported[1].at.Sub(service.calls[1].at)
				if want := testTiming.WatchWait + lateness; elapsed != want {
					t.Errorf("the response of the watch is reported after %v, want %v", elapsed, want)
				}
				if n := len(service.calls); n != 3 {
					t.Errorf("%d calls, want 3: %v", n, service.calls)
				}
			})
		})
	}
}

// If the second call fails and the watch stays stalled, the failure is reported at the watch's timeout.
func TestFailureOfBothCallsIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &scriptedService{outcomes: []outcome{answered, stalled, reset}, version: 41}
		reported := watch(t, testTiming, service, 2)
		if got := kindsOf(reported); !slices.Equal(got, []balancer.ListKind{balancer.ListFull, balancer.ListFailed}) {
			t.Fatalf("reported list kinds %v, want a list and a failure", got)
		}
		timeout := testTiming.WatchWait + testTiming.WatchGrace
		if elapsed := reported[1].at.Sub(service.calls[1].at); elapsed > timeout {
			t.Errorf("the failure is reported after %v, want at most %v", elapsed, timeout)
		}
	})
}

// While nothing changes, an instance makes one call in 3.5 s, and in no less than 2.5 s if the drain grace is very
// short.
func TestQuietWatchMakesFewCalls(t *testing.T) {
	for grace, wait := range map[time.Duration]time.Duration{
		0:                2500 * time.Millisecond,
		time.Second:      3500 * time.Millisecond,
		2 * time.Second:  3500 * time.Millisecond,
		10 * time.Second: 3500 * time.Millisecond,
	} {
		synctest.Test(t, func(t *testing.T) {
			const calls = 200
			service := &scriptedService{outcomes: []outcome{answered}, rest: answeredAfterWait, version: 41}
			start := time.Now()
			watch(t, PollTiming(grace), service, calls)
			if elapsed := time.Since(start); len(service.calls) != calls || elapsed < (calls-1)*wait {
				t.Errorf("grace %v: %d calls in %v, want %d in at least %v",
					grace, len(service.calls), elapsed, calls, (calls-1)*wait)
			}
		})
	}
}

// Instances whose watches were opened and stalled at the same time make their second calls at different times.
func TestSecondCallsOfAFleetAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 200
		perTenth := map[time.Duration]int{}
		for range instances {
			service := &scriptedService{outcomes: []outcome{answered, stalled}, version: 41}
			watch(t, testTiming, service, 2)
			perTenth[service.calls[2].at.Sub(service.calls[1].at)/(testTiming.HedgeJitter/10)]++
		}
		for tenth, n := range perTenth {
			if n > instances/4 {
				t.Errorf("%d of %d second calls fall into one tenth (number %d) of the time for them", n, instances, tenth)
			}
		}
	})
}
