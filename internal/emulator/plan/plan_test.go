package plan

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pinedale/balancer"
)

const ms = time.Millisecond

// Classes of the test scenario.
const (
	readClass  = iota // idempotent
	payClass          // idempotent with a key that all servers of the fleet share
	closeClass        // idempotent with a key that the servers of one group share
	orderClass        // not idempotent
)

// testClass returns a class with a quarter of the load.
func testClass(class balancer.Class, work time.Duration, cv float64) Class {
	class.LatencyObjective = 600_000
	class.ClientTimeout = 3_000_000
	return Class{Class: class, Share: 0.25, Work: work, CV: cv}
}

// testScenario returns a scenario of one minute at 100 requests a second.
func testScenario(seed uint64) *Scenario {
	read := balancer.Class{Name: "read", PriorityWeight: 1, LateWeightRatio: 0.5}
	pay := balancer.Class{
		Name:            "pay",
		Idempotency:     balancer.IdempotentWithKey,
		DedupWindow:     1_500_000,
		PriorityWeight:  3,
		LateWeightRatio: 0.5,
	}
	closing := balancer.Class{
		Name:        "close",
		Idempotency: balancer.IdempotentWithKey,
		Group:       balancer.GroupCell,
		DedupWindow: 9_000_000,
	}
	order := balancer.Class{Name: "order", Idempotency: balancer.NotIdempotent}
	return &Scenario{
		Seed:      seed,
		Length:    60 * time.Second,
		Sites:     []string{"a"},
		Instances: []int{0, 0, 0},
		Clients:   Clients{Rate: 100, Retries: 2, TimeoutRatio: 0.5, RetryDelay: 50 * ms},
		Classes: []Class{
			readClass:  testClass(read, 100*ms, 0.5),
			payClass:   testClass(pay, 50*ms, 0),
			closeClass: testClass(closing, 50*ms, 0),
			orderClass: testClass(order, 50*ms, 0),
		},
		Settings: balancer.Settings{Goal: balancer.Goal{Overall: 0.45, WorstWindow: 0.35, WorstClass: 0.2}},
	}
}

// generate returns all requests of a scenario.
func generate(s *Scenario) []Request {
	var requests []Request
	workload := s.Workload()
	for request, ok := workload.Next(); ok; request, ok = workload.Next() {
		requests = append(requests, *request)
	}
	return requests
}

func TestWorkloadFollowsSeed(t *testing.T) {
	first, second, other := generate(testScenario(1)), generate(testScenario(1)), generate(testScenario(2))
	if !reflect.DeepEqual(first, second) || reflect.DeepEqual(first[:10], other[:10]) {
		t.Error("the workloads of seed 1 differ, or those of seeds 1 and 2 begin with the same requests")
	}
}

func TestWorkloadHasRequestedDistribution(t *testing.T) {
	requests := generate(testScenario(1))
	if n := float64(len(requests)); math.Abs(n-6000) > 3*math.Sqrt(6000) {
		t.Errorf("%v requests, want about 6000", n)
	}
	var sum, sumOfSquares, reads float64
	for _, request := range requests {
		checkRequest(t, request)
		if request.Class == readClass {
			reads++
			sum += request.Work.Seconds()
			sumOfSquares += request.Work.Seconds() * request.Work.Seconds()
		}
	}
	mean := sum / reads
	cv := math.Sqrt(sumOfSquares/reads-mean*mean) / mean
	if math.Abs(mean-0.1) > 0.005 || math.Abs(cv-0.5) > 0.05 || math.Abs(reads-1500) > 120 {
		t.Errorf("%v reads with mean work %v s and coefficient of variation %v, want about 1500, 0.1 s and 0.5",
			reads, mean, cv)
	}
}

// checkRequest checks that a request has a key if its class needs one, a known instance and a hint near its work.
func checkRequest(t *testing.T, request Request) {
	t.Helper()
	wantKey := request.Class != readClass
	work, hint := request.Work.Microseconds(), request.WorkHint
	hintNearWork := float64(hint) >= float64(work)/2-1 && hint <= 2*work
	if (request.Key != "") != wantKey || request.Instance > 2 || !hintNearWork {
		t.Fatalf("request %+v, want a key unless it is a read, an instance of 0 to 2, a hint near the work", request)
	}
}

func TestSurgeAffectsItsTenant(t *testing.T) {
	s := testScenario(1)
	s.Tenants = []Tenant{{Load: 0.75}, {Load: 0.25}}
	s.Surges = []Surge{{From: 30 * time.Second, Until: time.Minute, Factor: 4, Tenant: 1}}
	var counts [2][2]float64 // by half of the run and tenant
	for _, request := range generate(s) {
		counts[request.At/(30*time.Second)][request.Tenant]++
	}
	for half, wants := range [2][2]float64{{2250, 750}, {2250, 3000}} {
		for tenant, want := range wants {
			if got := counts[half][tenant]; math.Abs(got-want) > 5*math.Sqrt(want) {
				t.Errorf("half %d of the run, tenant %d: %v requests, want about %v", half, tenant, got, want)
			}
		}
	}
}

func TestClientRetriesOnlyIfSafe(t *testing.T) {
	s := testScenario(1)
	for _, test := range []struct {
		name       string
		class      int
		attempts   int
		code       int
		retryAfter time.Duration
		now        Time
		wantWait   time.Duration
		wantRetry  bool
	}{
		{"success", readClass, 1, 200, 0, 100 * ms, 0, false},
		{"rejected", readClass, 1, 503, 0, 100 * ms, 50 * ms, true},
		{"rejected with Retry-After", readClass, 1, 503, 400 * ms, 100 * ms, 400 * ms, true},
		{"no attempts left", readClass, 3, 503, 0, 100 * ms, 0, false},
		{"timeout over", readClass, 1, 503, 0, 2950 * ms, 0, false},
		{"idempotent failed", readClass, 1, 502, 0, 100 * ms, 50 * ms, true},
		{"fleet key failed", payClass, 1, 502, 0, 100 * ms, 50 * ms, true},
		{"fleet key failed after window", payClass, 1, 502, 0, 1450 * ms, 50 * ms, false},
		{"fleet key disconnected", payClass, 1, CodeDisconnected, 0, 100 * ms, 50 * ms, true},
		{"group key failed", closeClass, 1, 502, 0, 100 * ms, 50 * ms, false},
		{"group key rejected", closeClass, 1, 503, 0, 100 * ms, 50 * ms, true},
		{"not idempotent disconnected", orderClass, 1, CodeDisconnected, 0, 100 * ms, 50 * ms, false},
		{"not idempotent rejected", orderClass, 1, 503, 0, 100 * ms, 50 * ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := &Request{Class: test.class, ClientAttempts: test.attempts}
			wait, retry := s.Retry(request, test.code, test.retryAfter, test.now)
			if retry != test.wantRetry || retry && wait != test.wantWait {
				t.Errorf("wait %v, retry %v, want %v, %v", wait, retry, test.wantWait, test.wantRetry)
			}
		})
	}
}

func TestScoreWeightsOverallWorstWindowAndWorstClass(t *testing.T) {
	s := testScenario(1)
	r := s.NewResult()
	for second := range 60 {
		at := time.Duration(second) * time.Second
		code, elapsed := 200, 100*ms
		switch {
		case second >= 20 && second < 25:
			code = 503
		case second >= 40 && second < 45:
			elapsed = 700 * ms
		case second == 50:
			code = CodeDisconnected
		}
		r.RecordOutcome(s, &Request{At: at, Class: readClass}, code, at+elapsed)
	}
	want := Tally{Requested: 60, InTime: 49, Late: 5, Rejected: 5, Failed: 1}
	if got := r.Classes[readClass]; got != want {
		t.Errorf("tally of class read %+v, want %+v", got, want)
	}
	overall, worstWindow := (49+2.5)/60, 0.5
	if got := s.WorstWindow(r); math.Abs(got-worstWindow) > 1e-9 {
		t.Errorf("ratio in time in the worst window %v, want %v", got, worstWindow)
	}
	if got, want := s.Score(r), 0.45*overall+0.35*worstWindow+0.2*overall; math.Abs(got-want) > 1e-9 {
		t.Errorf("score %v, want %v", got, want)
	}
	if got := r.Seconds[41].Quantile(0.99); got != 700*ms {
		t.Errorf("99th percentile %v of a second with late responses, want 700ms", got)
	}
	if got := r.Seconds[21].Quantile(0.5); got != 0 {
		t.Errorf("median %v of a second without responses, want 0", got)
	}
	if r.Violations() != "" {
		t.Errorf("late, rejected and failed requests count as violations: %s", r.Violations())
	}
}

func TestCollapseIsViolation(t *testing.T) {
	r := testScenario(1).NewResult()
	if r.Violations() != "" {
		t.Errorf("an empty result has the violations %q, want none", r.Violations())
	}
	r.Collapsed = append(r.Collapsed, 3)
	if r.Violations() == "" {
		t.Error("a collapsed server does not count as a violation")
	}
}
