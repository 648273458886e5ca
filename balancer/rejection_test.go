package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// A wrong estimate of a class's work must not reject that class forever. But a trial per second from each of a
// thousand balancers with little traffic would keep an overloaded fleet overloaded.
func TestLatencyRejectionAdmitsFewTrials(t *testing.T) {
	for _, test := range []struct {
		gap      Micros
		from, to int
	}{{second / 100, 3, 6}, {second, 28, 33}} {
		b, r := start(t, testSettings(), ready(1))
		b.classes[0].work.value = float64(100 * second)
		for i := range uint64(300) {
			now := 10*second + Micros(i)*test.gap
			b.HandleRequest(now, testRequest(i, 0, now))
		}
		if n := len(r.sends); n < test.from || n > test.to {
			t.Errorf("one request every %d µs: %d of 300 sent, want %d to %d", test.gap, n, test.from, test.to)
		}
		if len(r.rejected) != 300-len(r.sends) {
			t.Errorf("%d requests rejected and %d sent, want 300 in total", len(r.rejected), len(r.sends))
		}
	}
}

// Tenants are compared by the requests sent for each relative to its quota. A tenant that is ahead has a lower weight
// until the others have caught up; one that stays below its quota always has the full weight.
func TestTenantAboveQuotaHasLowerWeight(t *testing.T) {
	for name, test := range map[string]struct {
		sends       [3]int // in turn
		quotas      [3]float64
		wantWeights [3]float64
	}{
		"as quotas say":    {[3]int{2, 2, 2}, [3]float64{50, 50, 50}, [3]float64{1, 1, 1}},
		"one far ahead":    {[3]int{6, 1, 1}, [3]float64{50, 50, 50}, [3]float64{0.05, 1, 1}},
		"large quota":      {[3]int{6, 1, 1}, [3]float64{300, 50, 50}, [3]float64{1, 1, 1}},
		"one below quota":  {[3]int{3, 3, 1}, [3]float64{50, 50, 50}, [3]float64{0.05, 0.05, 1}},
		"no quota":         {[3]int{6, 1, 1}, [3]float64{0, 0, 0}, [3]float64{1, 1, 1}},
		"nothing sent yet": {[3]int{}, [3]float64{50, 50, 50}, [3]float64{1, 1, 1}},
	} {
		s := testSettings()
		s.OverQuotaWeightRatio = 0.05
		for _, quota := range test.quotas {
			s.Tenants = append(s.Tenants, Tenant{Quota: quota})
		}
		b, _ := start(t, s, ready(2))
		for range 50 {
			for i, n := range test.sends {
				for range n {
					b.tenants[i].add(second, 1)
				}
			}
		}
		for i, want := range test.wantWeights {
			if got := b.tenantWeight(second, &request{Request: Request{Tenant: uint16(i)}}); math.Abs(got-want) > 0.01 {
				t.Errorf("%s: weight of tenant %d is %.2f, want %.2f", name, i, got, want)
			}
		}
		if got := b.tenantWeight(second, &request{Request: Request{Tenant: 9}}); got != 1 {
			t.Errorf("%s: weight of an unknown tenant is %v, want 1", name, got)
		}
	}
}

// While reports are late, averages are used, which must not reject a request that some endpoint would serve in time.
func TestLateReportsAllowFullLatencyObjective(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	r := &request{Request: testRequest(1, 0, 0), work: 50_000}
	b.classes[0].arrivals.add(0, 1)
	before := b.latencyLimit(0, r, b.endpoints.list[0])
	b.reports.late = true
	objective := float64(b.settings.Classes[0].LatencyObjective)
	if after := b.latencyLimit(0, r, b.endpoints.list[0]); after <= before || after != objective {
		t.Errorf("latency limit %v with timely reports and %v with late ones, want the latency objective",
			before, after)
	}
}

// A few slow answers must not lead to rejections when nothing is queued.
func TestIdleEndpointIsNotRejected(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.endpoints.list[0].slowness, b.endpoints.list[0].slownessAt = ewma{value: 9, seen: true}, 1000
	b.ProbeCompleted(1000, 1, OK, 500, []float32{0})
	b.HandleRequest(2000, testRequest(1, 0, 2000))
	if len(r.sends) != 1 {
		t.Errorf("%d sends to an idle endpoint with high slowness, want 1", len(r.sends))
	}
}

// Trials prolong an overload, so each failed trial makes the next one rarer.
func TestFailedTrialsBecomeRarer(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.classes[0].work.value = float64(100 * second)
	b.trend.ratio = maxTrend
	passed := [2]int{}
	for i := range uint64(400) {
		now := 10*second + Micros(i)*second
		b.HandleRequest(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && r.sends[n-1].id == i {
			passed[i/200]++
			b.AttemptCompleted(now+second, Outcome{ID: i, Endpoint: 1, Status: Timeout, Latency: second})
		}
	}
	if passed[0] < 3 || passed[0] > 8 || passed[1] > 2 {
		t.Errorf("%d trials in the first 200 requests and %d in the next 200, want 3 to 8 and at most 2",
			passed[0], passed[1])
	}
	b.traffic.trialInterval = maxTrialInterval
	r.sends = nil
	b.trend.ratio, b.classes[0].work.value = 1, 1000
	b.HandleRequest(500*second, testRequest(1000, 0, 500*second))
	b.AttemptCompleted(501*second, Outcome{ID: 1000, Endpoint: 1, Status: OK, Latency: 1000, Settled: true})
	b.HandleRequest(502*second, testRequest(1001, 0, 502*second))
	b.AttemptCompleted(502*second+1000, Outcome{ID: 1001, Endpoint: 1, Status: OK, Latency: 1000, Settled: true})
	if b.traffic.trialInterval != minTrialInterval {
		t.Errorf("one trial in %d requests after a timely answer, want the minimum interval", b.traffic.trialInterval)
	}
}

func TestRequestWithoutEndpointIsRejected(t *testing.T) {
	b, r := start(t, testSettings(), nil)
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	b.HandleRequest(1000, Request{ID: 2, Deadline: 500})
	if len(r.rejected) != 2 || b.ledger.open != 0 || len(b.ledger.requests) != 0 {
		t.Errorf("rejected %v, %d open, want both requests rejected and released", r.rejected, b.ledger.open)
	}
}

// On-call staff must see why requests are rejected in one log line a second, not in thousands.
func TestRejectionsAreLoggedOncePerSecond(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{50})
	for id := range uint64(200) {
		now := second + 5000*Micros(id)
		b.ProbeCompleted(now, 1, OK, 500, []float32{50})
		b.HandleRequest(now, testRequest(id, 0, now))
	}
	if len(r.rejected) < 150 {
		t.Fatalf("%d requests rejected, want at least 150", len(r.rejected))
	}
	if len(r.logs) != 2 || !strings.Contains(r.logs[0], "predicted latency too high endpoint 1 ") ||
		!strings.Contains(r.logs[1], "reason predicted latency too high attempts 0 count 1") {
		t.Errorf("log lines %q, want one for the prediction and one for the rejection", r.logs)
	}
	rejected := len(r.rejected)
	now := 5 * second
	b.ProbeCompleted(now, 1, OK, 500, []float32{50})
	for id := uint64(1000); len(r.rejected) == rejected; id++ {
		b.HandleRequest(now, testRequest(id, 0, now))
	}
	if last := r.logs[len(r.logs)-1]; !strings.HasSuffix(last, fmt.Sprint("count ", rejected)) {
		t.Errorf("last log line %q, want a count of %d", last, rejected)
	}
}

// Each final answer that the balancer itself gives, and each retry, is logged with the request and the reason.
func TestAnswersAndRetriesAreLoggedWithTheirReason(t *testing.T) {
	for wantLine, trigger := range map[string]func(*Balancer){
		"request rejected request 1 reason deadline exceeded": func(b *Balancer) {
			b.HandleRequest(2*second, testRequest(1, 0, 0))
		},
		"request rejected request 1 reason no endpoint available": func(b *Balancer) {
			b.UpdateEndpoints(0, ListDelta, []Endpoint{{ID: 1, State: Draining}, {ID: 2, State: Draining}})
			b.HandleRequest(0, testRequest(1, 0, 0))
		},
		"request rejected request 1 reason ended by host": func(b *Balancer) {
			b.HandleRequest(0, testRequest(1, 0, 0))
			b.Expire(0, 1)
		},
		"request failed request 1 reason reset": func(b *Balancer) {
			b.HandleRequest(0, testRequest(1, 4, 0))
			b.AttemptCompleted(0, Outcome{ID: 1, Endpoint: 1, Status: Reset})
		},
		"request retried request 1 endpoint": func(b *Balancer) {
			b.HandleRequest(0, testRequest(1, 0, 0))
			b.AttemptCompleted(0, Outcome{ID: 1, Status: ConnectFailed})
		},
	} {
		b, r := start(t, testSettings(), ready(2))
		trigger(b)
		if !slices.ContainsFunc(r.logs, func(line string) bool { return strings.HasPrefix(line, wantLine) }) {
			t.Errorf("log lines %q, want one that starts with %q", r.logs, wantLine)
		}
	}
}
