package plan

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pinedale/balancer"
)

const ms = time.Millisecond

func scenario(seed uint64) *Scenario {
	return &Scenario{Seed: seed, Length: 60 * time.Second, Sites: []string{"a"}, Instances: []int{0, 0, 0},
		Clients: Clients{Rate: 100, Retries: 2, TimeoutRatio: 0.5, RetryDelay: 50 * ms},
		Classes: []Class{
			{Class: balancer.Class{Name: "read", LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1, LateWeightRatio: 0.5}, Share: 0.25, Work: 100 * ms, CV: 0.5},
			{Class: balancer.Class{Name: "pay", Idempotency: balancer.IdempotentWithKey, DedupWindow: 1_500_000, LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 3, LateWeightRatio: 0.5}, Share: 0.25, Work: 50 * ms},
			{Class: balancer.Class{Name: "close", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupCell, DedupWindow: 9_000_000, LatencyObjective: 600_000, ClientTimeout: 3_000_000}, Share: 0.25, Work: 50 * ms},
			{Class: balancer.Class{Name: "order", Idempotency: balancer.NotIdempotent, LatencyObjective: 600_000, ClientTimeout: 3_000_000}, Share: 0.25, Work: 50 * ms}},
		Settings: balancer.Settings{Goal: balancer.Goal{Overall: 0.45, WorstWindow: 0.35, WorstClass: 0.2}}}
}

func tries(s *Scenario) (all []Request) {
	script := s.Workload()
	for t, ok := script.Next(); ok; t, ok = script.Next() {
		all = append(all, *t)
	}
	return all
}

// What clients want follows from the seed alone, and is as the file says.
func TestScript(t *testing.T) {
	a, b, c := tries(scenario(1)), tries(scenario(1)), tries(scenario(2))
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a[:10], c[:10]) {
		t.Error("the script does not follow from the seed")
	}
	if n := float64(len(a)); math.Abs(n-6000) > 3*math.Sqrt(6000) {
		t.Errorf("%v first tries, want about 6000", n)
	}
	var work, square float64
	counts := map[int]int{}
	for _, x := range a {
		counts[x.Class]++
		if x.Class == 0 {
			work += x.Work.Seconds()
			square += x.Work.Seconds() * x.Work.Seconds()
		}
		if (x.Key == "") != (x.Class == 0) || x.Instance > 2 || float64(x.WorkHint) < float64(x.Work.Microseconds())/2-1 || x.WorkHint > 2*x.Work.Microseconds() {
			t.Fatalf("%+v", x)
		}
	}
	n := float64(counts[0])
	mean := work / n
	if cv := math.Sqrt(square/n-mean*mean) / mean; math.Abs(mean-0.1) > 0.005 || math.Abs(cv-0.5) > 0.05 || math.Abs(n-1500) > 120 {
		t.Errorf("%v reads, work %v with cv %v", n, mean, cv)
	}
}

// Tenants ask by their share, and a surge is of the one that has it.
func TestTenants(t *testing.T) {
	s := scenario(1)
	s.Tenants = []Tenant{{Load: 0.75}, {Load: 0.25}}
	s.Surges = []Surge{{From: 30 * time.Second, Until: time.Minute, Factor: 4, Tenant: 1}}
	var counts [2][2]float64 // by half and tenant
	for _, x := range tries(s) {
		counts[x.At/(30*time.Second)][x.Tenant]++
	}
	for half, want := range [2][2]float64{{2250, 750}, {2250, 3000}} {
		for tenant, n := range want {
			if got := counts[half][tenant]; math.Abs(got-n) > 5*math.Sqrt(n) {
				t.Errorf("half %d, tenant %d: %v first tries, want about %v", half, tenant, got, n)
			}
		}
	}
}

// A client repeats what was refused, and what may have run only where that is harmless.
func TestRetry(t *testing.T) {
	s := scenario(1)
	for _, c := range []struct {
		class, tries, code int
		after              time.Duration
		at                 Time
		wait               time.Duration
		retry              bool
	}{
		{0, 1, 200, 0, 100 * ms, 0, false},
		{0, 1, 503, 0, 100 * ms, 50 * ms, true},
		{0, 1, 503, 400 * ms, 100 * ms, 400 * ms, true},
		{0, 3, 503, 0, 100 * ms, 0, false},        // out of tries
		{0, 1, 503, 0, 2950 * ms, 0, false},       // and of patience
		{0, 1, 502, 0, 100 * ms, 50 * ms, true},   // safe
		{1, 1, 502, 0, 100 * ms, 50 * ms, true},   // remembered everywhere
		{1, 1, 502, 0, 1450 * ms, 50 * ms, false}, // no more
		{1, 1, CodeDisconnected, 0, 100 * ms, 50 * ms, true},
		{2, 1, 502, 0, 100 * ms, 50 * ms, false}, // remembered by some
		{2, 1, 503, 0, 100 * ms, 50 * ms, true},  // but it did not run
		{3, 1, CodeDisconnected, 0, 100 * ms, 50 * ms, false},
		{3, 1, 503, 0, 100 * ms, 50 * ms, true},
	} {
		wait, retry := s.Retry(&Request{Class: c.class, ClientAttempts: c.tries}, c.code, c.after, c.at)
		if retry != c.retry || retry && wait != c.wait {
			t.Errorf("%+v: %v, %v", c, wait, retry)
		}
	}
}

func TestResult(t *testing.T) {
	s := scenario(1)
	r := s.NewResult()
	for second := range 60 {
		at := time.Duration(second) * time.Second
		code, took := 200, 100*ms
		switch {
		case second >= 20 && second < 25:
			code = 503
		case second >= 40 && second < 45:
			took = 700 * ms
		case second == 50:
			code = CodeDisconnected
		}
		r.RecordOutcome(s, &Request{At: at, Class: 0}, code, at+took)
	}
	if got := r.Classes[0]; got != (Tally{60, 49, 5, 5, 1}) {
		t.Errorf("%+v", got)
	}
	complete, window := (49+2.5)/60, 0.5
	if got := s.WorstWindow(r); math.Abs(got-window) > 1e-9 {
		t.Errorf("worst window %v", got)
	}
	if got, want := s.Score(r), 0.45*complete+0.35*window+0.2*complete; math.Abs(got-want) > 1e-9 {
		t.Errorf("G %v, want %v", got, want)
	}
	if r.Seconds[41].Quantile(0.99) != 700*ms || r.Seconds[21].Quantile(0.5) != 0 {
		t.Error("quantiles of a second")
	}
	if r.Violations() != "" {
		t.Error(r.Violations())
	}
	r.Collapsed = append(r.Collapsed, 3)
	if r.Violations() == "" {
		t.Error("a server that fell over breaks no rule")
	}
}
