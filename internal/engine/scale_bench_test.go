package engine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pinedale/balancer"
)

// fleetSizes are the numbers of endpoints at which the cost is measured.
var fleetSizes = []int{200, 800, 3200, 10_000}

// newScaleEngine returns an engine with n endpoints on a clock of its own.
func newScaleEngine(tb testing.TB, n int) (*Engine, *fakeUpstream, *steppedClock) {
	tb.Helper()
	up, clock := &fakeUpstream{}, newSteppedClock()
	settings := testSettings(1, readClass, balancer.Limits{MaxAttempts: 3, MaxOpen: 1000})
	settings.Balancers = 300
	e, err := New(tb.Context(), Options{
		Zones: []string{"a"}, Upstream: up, Clock: clock, Settings: settings, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		tb.Fatal(err)
	}
	e.Start()
	e.UpdateEndpoints(e.Now(), balancer.ListFull, snapshot(hostRange(0, n)...))
	return e, up, clock
}

// requestCases are the requests measured, by the outcomes of their attempts.
var requestCases = []struct {
	name     string
	statuses []balancer.Status // of a request's attempts
}{
	{"request", []balancer.Status{balancer.OK}},
	{"request_with_retry", []balancer.Status{balancer.ConnectFailed, balancer.OK}},
}

// BenchmarkEngineRequest measures a request from Submit to the last outcome.
func BenchmarkEngineRequest(b *testing.B) {
	for _, testCase := range requestCases {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("%s/%d", testCase.name, n), func(b *testing.B) {
				e, up, clock := newScaleEngine(b, n)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					clock.now = clock.now.Add(time.Millisecond)
					clock.timers = clock.timers[:0]
					now := e.Now()
					r := &Request{Carrier: up, Respond: func(Response) {}}
					up.attempts = up.attempts[:0]
					e.Submit(now, r, balancer.Request{Deadline: now + 3_000_000})
					for attempt := 0; attempt < len(up.attempts); attempt++ {
						status := testCase.statuses[min(attempt, len(testCase.statuses)-1)]
						up.attempts[attempt].Complete(now+500, Result{Status: status})
					}
				}
			})
		}
	}
}

// BenchmarkEngineDelta measures a delta that changes one endpoint.
func BenchmarkEngineDelta(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, up, _ := newScaleEngine(b, n)
			changed := hostRange(0, 100)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				host := changed[i%100]
				host.State = balancer.State((i/100 + 1) % 2)
				up.retired = up.retired[:0]
				e.UpdateEndpoints(e.Now(), balancer.ListDelta, List{Version: uint64(i), Hosts: []Host{host}})
			}
		})
	}
}

// BenchmarkEngineFullList measures an unchanged complete list that is applied in parts.
func BenchmarkEngineFullList(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, _, _ := newScaleEngine(b, n)
			list := snapshot(hostRange(0, n)...)
			w := beginWatch(b.Context(), e)
			b.ResetTimer()
			for range b.N {
				e.updateInParts(w, balancer.ListFull, list)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/endpoint")
		})
	}
}
