package simulation

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"slices"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
)

const (
	ms              = time.Millisecond
	microsPerSecond = balancer.Micros(1_000_000)
)

// machine returns the configuration of one of the test fleet's machine kinds.
func machine(cores int, speed float64) model.Config {
	return model.Config{
		Cores:            cores,
		Speed:            speed,
		SlotsPerCore:     1,
		QueuePerCore:     300,
		ThrashRatio:      0.08,
		ThrashThreshold:  5,
		SlowStartRatio:   0.4,
		SlowStartTime:    6 * time.Second,
		OverloadMultiple: 2.5,
		OverloadWindow:   time.Second,
		PauseInterval:    5 * time.Second,
		PauseDuration:    20 * ms,
		ReportInterval:   150 * ms,
		ReportDelay:      40 * ms,
		ReportNoise:      0.1,
		ProbeWork:        120 * time.Microsecond,
	}
}

// smallFleet returns a scenario of 20 s: 10 servers of three kinds on two sites and 4 instances, with a load of about
// half the fleet's capacity.
func smallFleet(seed uint64) *plan.Scenario {
	s := &plan.Scenario{
		Seed:                 seed,
		Length:               20 * time.Second,
		Sites:                []string{"a", "b"},
		Kinds:                []string{"big", "small", "slow"},
		Weights:              []float64{6, 2.4, 2.4},
		Latencies:            plan.Latencies{SameSite: 250 * time.Microsecond, CrossSite: 7 * ms},
		Instances:            []int{0, 0, 1, 1},
		Clients:              plan.Clients{Rate: 120, Retries: 2, TimeoutRatio: 0.53, RetryDelay: 50 * ms},
		MaxNotificationDelay: 2 * time.Second,
		DrainDuration:        4 * time.Second,
		Classes:              smallFleetClasses(),
		Settings: balancer.Settings{
			Fields: []balancer.Field{balancer.FieldErrors, balancer.FieldQueue},
			Limits: balancer.Limits{
				Cancel:        true,
				Probes:        true,
				Hedging:       true,
				RetryAfter:    true,
				MaxAttempts:   3,
				MaxOpen:       1000,
				MaxRetryAfter: 1_500_000,
			},
			Contract: balancer.Contract{
				DrainGrace:       2 * microsPerSecond,
				SlowStartRatio:   0.31,
				SlowStartTime:    8_600_000,
				OverloadMultiple: 2.5,
				OverloadTime:     microsPerSecond,
				PollInterval:     10 * microsPerSecond,
			},
			Prices:       balancer.Prices{CrossZone: 0.03, Probe: 0.05},
			Goal:         balancer.Goal{Overall: 0.45, WorstWindow: 0.35, WorstClass: 0.2},
			WeightByWork: true,
		},
	}
	kinds := []model.Config{machine(3, 2), machine(2, 1.2), machine(3, 0.8)}
	for i := range 10 {
		s.Servers = append(s.Servers, plan.Server{
			Name:         fmt.Sprint("s-", i),
			Kind:         i % 3,
			Site:         i % 2,
			Pod:          i / 4,
			Config:       kinds[i%3],
			Incarnations: plan.AlwaysRunning,
		})
	}
	return s
}

func smallFleetClasses() []plan.Class {
	return []plan.Class{
		{
			Class: balancer.Class{
				Name:             "price-check",
				Idempotency:      balancer.Idempotent,
				LatencyObjective: 600_000,
				ClientTimeout:    3 * microsPerSecond,
				PriorityWeight:   2,
				LateWeightRatio:  0.3,
			},
			Share: 0.47,
			Work:  120 * ms,
			CV:    0.4,
		},
		{
			Class: balancer.Class{
				Name:             "stall-pay",
				Idempotency:      balancer.IdempotentWithKey,
				Group:            balancer.GroupAll,
				DedupWindow:      1_500_000,
				LatencyObjective: 600_000,
				ClientTimeout:    2_500_000,
				PriorityWeight:   10,
				LateWeightRatio:  0.3,
			},
			Share: 0.34,
			Work:  100 * ms,
			CV:    0.4,
		},
		{
			Class: balancer.Class{
				Name:             "day-close",
				Idempotency:      balancer.IdempotentWithKey,
				Group:            balancer.GroupCell,
				DedupWindow:      12 * microsPerSecond,
				LatencyObjective: 1_200_000,
				ClientTimeout:    2_500_000,
				PriorityWeight:   3,
				LateWeightRatio:  0.3,
			},
			Share: 0.19,
			Work:  190 * ms,
			CV:    0.4,
		},
	}
}

// drainAndEnd returns the incarnations of a server that drains and ends.
func drainAndEnd(drain, end Time) []plan.Incarnation {
	return []plan.Incarnation{{Drain: drain, End: end}}
}

// joinAt returns the incarnation of a server that starts in slow start and stays.
func joinAt(from Time) plan.Incarnation {
	return plan.Incarnation{From: from, Drain: plan.Never, End: plan.Never}
}

// run runs a scenario with the decision module.
func run(t *testing.T, s *plan.Scenario) *plan.Result {
	t.Helper()
	return runPolicy(t, s, baselines.Module, nil)
}

// runPolicy runs a scenario with a policy and passes the events of its trace to watch.
func runPolicy(t *testing.T, s *plan.Scenario, policy string, watch func(trace.Event)) *plan.Result {
	t.Helper()
	newDecider, err := baselines.Named(policy, s.Weights)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(s, Options{NewDecider: newDecider, OnEvent: watch})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// requireNoViolations reports the violations of a run.
func requireNoViolations(t *testing.T, result *plan.Result) {
	t.Helper()
	if violations := result.Violations(); violations != "" {
		t.Error(violations)
	}
}

// requireInTime reports a run that served less than the given ratio of its requests in time.
func requireInTime(t *testing.T, result *plan.Result, lowest float64) {
	t.Helper()
	if got := result.InTime(); got < lowest {
		t.Errorf("%.3f served in time, want at least %.3f: %+v", got, lowest, result.Classes)
	}
}

// attemptShare returns the share of attempts that the given servers received in the seconds [from, until).
func attemptShare(result *plan.Result, from, until int, servers ...int) float64 {
	var selected, total float64
	for _, second := range result.Seconds[from:until] {
		for server, attempts := range second.Attempts {
			total += float64(attempts)
			if slices.Contains(servers, server) {
				selected += float64(attempts)
			}
		}
	}
	return selected / total
}

func TestCalmFleetServesInTime(t *testing.T) {
	began := time.Now()
	result := run(t, smallFleet(1))
	requireNoViolations(t, result)
	requireInTime(t, result, 0.98)
	for server, attempts := range result.Attempts {
		if attempts == 0 {
			t.Errorf("server %d got no attempt", server)
		}
	}
	requested := result.Classes[0].Requested + result.Classes[1].Requested + result.Classes[2].Requested
	t.Logf("20 s of %d requests in %v: %+v", requested, time.Since(began), result.Classes)
}

func TestSameSeedGivesSameResult(t *testing.T) {
	first, second, other := run(t, smallFleet(3)), run(t, smallFleet(3)), run(t, smallFleet(4))
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs with the same seed give %+v and %+v", first, second)
	}
	if reflect.DeepEqual(first.Seconds, other.Seconds) {
		t.Error("runs with different seeds give the same results per second")
	}
}

// digest runs a scenario and returns a hash of its trace. If pause is above 0, it sleeps after every 1000 events.
func digest(t *testing.T, s *plan.Scenario, pause time.Duration) (sum uint64, events int) {
	t.Helper()
	hash := fnv.New64a()
	runPolicy(t, s, baselines.Module, func(event trace.Event) {
		events++
		if pause > 0 && events%1000 == 0 {
			time.Sleep(pause)
		}
		fmt.Fprintln(hash, event)
	})
	return hash.Sum64(), events
}

func TestResultIsIndependentOfRealTime(t *testing.T) {
	sum, events := digest(t, smallFleet(3), 0)
	if pausedSum, pausedEvents := digest(t, smallFleet(3), 20*ms); pausedSum != sum || pausedEvents != events {
		t.Errorf("the trace depends on pauses: %d events without, %d with pauses", events, pausedEvents)
	}
	if otherSum, _ := digest(t, smallFleet(4), 0); otherSum == sum {
		t.Error("runs with different seeds give the same trace")
	}
}

func TestRateVariationSpreadsRequestsUnevenly(t *testing.T) {
	requestsByInstance := func(variation float64) []int {
		s := smallFleet(2)
		s.Instances, s.Clients.RateVariation = make([]int, 20), variation
		counts := make([]int, 20)
		workload := s.Workload()
		for request, ok := workload.Next(); ok; request, ok = workload.Next() {
			counts[request.Instance]++
		}
		return counts
	}
	imbalance := func(counts []int) float64 {
		return float64(slices.Max(counts)) / float64(slices.Min(counts))
	}
	even, uneven := requestsByInstance(0), requestsByInstance(1)
	if imbalance(even) > 2.5 || imbalance(uneven) < 4 {
		t.Errorf("requests by instance: %v without variation, %v with variation", even, uneven)
	}
	if !slices.Equal(uneven, requestsByInstance(1)) {
		t.Error("a second run of the same seed distributes the requests differently")
	}
}

// BenchmarkRun measures simulated requests a second on one core at half the fleet's capacity, by number of servers and
// by policy.
func BenchmarkRun(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		for _, policy := range baselines.Names() {
			b.Run(fmt.Sprintf("%d/%s", servers, policy), func(b *testing.B) {
				requests := 0
				for b.Loop() {
					s := benchmarkScenario(servers)
					newDecider, err := baselines.Named(policy, s.Weights)
					if err != nil {
						b.Fatal(err)
					}
					result, err := Run(s, Options{NewDecider: newDecider})
					if err != nil {
						b.Fatal(err)
					}
					requests += result.ClientAttempts
				}
				b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
				b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(requests), "us/request")
			})
		}
	}
}

// benchmarkScenario returns a scenario with this many servers and a proportional request rate.
func benchmarkScenario(servers int) *plan.Scenario {
	s := smallFleet(1)
	for i := len(s.Servers); i < servers; i++ {
		copied := s.Servers[i%10]
		copied.Name, copied.Pod = fmt.Sprint("s-", i), i/4
		s.Servers = append(s.Servers, copied)
	}
	s.Clients.Rate = 12 * float64(servers)
	s.Length = max(2*time.Second, time.Duration(100/servers)*time.Second)
	return s
}
