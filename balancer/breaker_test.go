package balancer

import (
	"math"
	"testing"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestErrorChanceFollowsFailureRatio(t *testing.T) {
	for _, test := range []struct {
		name              string
		accepts, failures int
		rejections        int
		spread            int // buckets that failures are spread over
		want              float64
	}{
		{"empty", 0, 0, 0, 1, 0},
		{"within protection", 0, 5, 0, 1, 0},
		{"one beyond protection", 0, 6, 0, 1, 1.0 / 7},
		// 30 requests, 10 accepts in the newest bucket: K stays 1.5.
		{"two thirds fail", 10, 20, 0, 1, (30.0 - 5 - 15) / 31},
		{"rejections count as requests", 10, 0, 20, 1, (30.0 - 5 - 15) / 31},
		{"all accepted", 40, 0, 0, 1, 0},
		// 20 failing buckets after the accepts: K = 1.5 - 0.4*20/40 = 1.3.
		{"K eases", 10, 20, 0, 20, (30.0 - 5 - 13) / 31},
	} {
		var k breaker
		now := 100 * second
		for range test.accepts {
			k.record(now, 1, 0)
		}
		for i := range test.failures {
			if test.spread > 1 && i%(test.failures/test.spread) == 0 {
				now += breakerWindow / breakerBuckets
			}
			k.record(now, 0, 1)
		}
		for range test.rejections {
			k.record(now, 0, 0)
		}
		if got := k.errorChance(now); !almostEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestBreakerWindowExpires(t *testing.T) {
	var k breaker
	for range 100 {
		k.record(100*second, 0, 1)
	}
	if k.errorChance(109*second) == 0 {
		t.Error("error chance 0 nine seconds after the failures, want more than 0")
	}
	if got := k.errorChance(110*second + 1); got != 0 || k.requests != 0 {
		t.Errorf("after the window: chance %v, %d requests, want 0 and 0", got, k.requests)
	}
	for range 100 {
		k.record(200*second, 0, 1)
	}
	k.errorChance(500 * second)
	if k.requests != 0 {
		t.Errorf("after a pause longer than the window: %d requests, want 0", k.requests)
	}
}

func TestBreakerBaselineFallsFasterThanItRises(t *testing.T) {
	var k breaker
	k.recordLatency(100)
	if k.baseline != 100 || k.current != 100 {
		t.Fatalf("first sample: baseline %v, current %v, want 100 and 100", k.baseline, k.current)
	}
	k.recordLatency(60) // the baseline falls by a quarter of the difference; current is (60+3*100)/4
	if !almostEqual(k.baseline, 90) || !almostEqual(k.current, 90) {
		t.Fatalf("lower sample: baseline %v, current %v, want 90 and 90", k.baseline, k.current)
	}
	k.recordLatency(190) // the baseline rises by a hundredth of the difference: (190+99*90)/100; current is (190+3*90)/4
	if !almostEqual(k.baseline, 91) || !almostEqual(k.current, 115) {
		t.Fatalf("higher sample: baseline %v, current %v, want 91 and 115", k.baseline, k.current)
	}
}

func TestLatencyChanceFollowsLatency(t *testing.T) {
	for _, test := range []struct {
		name                   string
		base, current, timeout float64
		want                   float64
	}{
		{"no sample", 0, 0, 1000, 0},
		{"under three times the baseline", 100, 299, 1000, 0},
		{"half way to the ceiling", 100, 625, 1000, 0.15}, // (625-300)/(950-300)*0.3
		{"at the ceiling", 100, 950, 1000, 0.3},
		{"capped", 100, 5000, 1000, 0.3},
		{"ceiling under the threshold", 400, 5000, 1000, 0},
	} {
		k := breaker{baseline: test.base, current: test.current}
		if got := k.latencyChance(test.timeout); !almostEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestFailingEndpointGetsTrialsAfterPause(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	e := b.endpoints.list[0]
	now := 20 * second
	for range 1000 {
		e.breaker.record(now, 0, 1)
	}
	r := &request{}
	if !b.breakerAllows(now, r, e) {
		t.Fatal("the first trial was rejected")
	}
	passed := 0
	for range 200 {
		if b.breakerAllows(now+1000, r, e) {
			passed++
		}
	}
	if passed > 20 {
		t.Errorf("%d of 200 requests admitted to an endpoint that fails all requests, want at most 20", passed)
	}
	if !b.breakerAllows(now+trialPause+1001, r, e) {
		t.Error("no trial was admitted after the pause")
	}
}

// When all endpoints fail at once, ejection must not direct all traffic to the last few.
func TestAllEndpointsFailingKeepsTrafficSpread(t *testing.T) {
	b, r := start(t, testSettings(), ready(8))
	sends := map[uint32]int{}
	for id := range uint64(400) {
		now := 1000 + 100*Micros(id)
		b.HandleRequest(now, Request{ID: id, Class: 4, Deadline: now + second})
		if n := len(r.sends); n > 0 && r.sends[n-1].id == id {
			sends[r.sends[n-1].endpoint]++
			b.AttemptCompleted(now, Outcome{ID: id, Endpoint: r.sends[n-1].endpoint, Status: Error, Latency: 50})
		}
	}
	if !b.endpoints.list[0].ejected(41_000) {
		t.Fatal("an endpoint that fails all requests was not ejected")
	}
	for e, n := range sends {
		if n > 3*len(r.sends)/8 {
			t.Errorf("endpoint %d got %d of %d sends, more than three times an equal part", e, n, len(r.sends))
		}
	}
	if b.endpoints.list[0].ejected(60 * second) {
		t.Error("the endpoint is still ejected a minute later")
	}
}
