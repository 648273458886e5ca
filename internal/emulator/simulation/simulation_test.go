package simulation

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
)

const (
	ms     = time.Millisecond
	second = balancer.Micros(1_000_000)
)

// machine is one of the fleet's kinds.
func machine(cores int, speed float64) model.Config {
	return model.Config{Cores: cores, Speed: speed, SlotsPerCore: 1, QueuePerCore: 300, ThrashRatio: 0.08, ThrashThreshold: 5,
		SlowStartRatio: 0.4, SlowStartTime: 6 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second, PauseInterval: 5 * time.Second, PauseDuration: 20 * ms,
		ReportInterval: 150 * ms, ReportDelay: 40 * ms, ReportNoise: 0.1, ProbeWork: 120 * time.Microsecond}
}

// market is an ordinary market day's minute: 10 servers of three kinds on two sites,
// 4 instances, load at about half of what they can do.
func market(seed uint64) *plan.Scenario {
	s := &plan.Scenario{Seed: seed, Length: 20 * time.Second, Sites: []string{"a", "b"}, Kinds: []string{"big", "small", "slow"}, Weights: []float64{6, 2.4, 2.4}, Latencies: [2]time.Duration{250 * time.Microsecond, 7 * ms},
		Instances: []int{0, 0, 1, 1}, Clients: plan.Clients{Rate: 120, Retries: 2, TimeoutRatio: 0.53, RetryDelay: 50 * ms}, MaxNotificationDelay: 2 * time.Second, DrainDuration: 4 * time.Second,
		Classes: []plan.Class{
			{Class: balancer.Class{Name: "price-check", Idempotency: balancer.Idempotent, LatencyObjective: 600_000, ClientTimeout: 3 * second, PriorityWeight: 2, LateWeightRatio: 0.3}, Share: 0.47, Work: 120 * ms, CV: 0.4},
			{Class: balancer.Class{Name: "stall-pay", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupAll, DedupWindow: 1_500_000, LatencyObjective: 600_000, ClientTimeout: 2_500_000, PriorityWeight: 10, LateWeightRatio: 0.3}, Share: 0.34, Work: 100 * ms, CV: 0.4},
			{Class: balancer.Class{Name: "day-close", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupCell, DedupWindow: 12 * second, LatencyObjective: 1_200_000, ClientTimeout: 2_500_000, PriorityWeight: 3, LateWeightRatio: 0.3}, Share: 0.19, Work: 190 * ms, CV: 0.4}},
		Settings: balancer.Settings{Fields: []balancer.Field{balancer.FieldErrors, balancer.FieldQueue},
			Limits:   balancer.Limits{Cancel: true, Probes: true, Hedging: true, RetryAfter: true, MaxAttempts: 3, MaxOpen: 1000, MaxRetryAfter: 1_500_000},
			Contract: balancer.Contract{DrainGrace: 2 * second, SlowStartRatio: 0.31, SlowStartTime: 8_600_000, OverloadMultiple: 2.5, OverloadTime: second, PollInterval: 10 * second},
			Prices:   balancer.Prices{CrossZone: 0.03, Probe: 0.05}, Goal: balancer.Goal{Overall: 0.45, WorstWindow: 0.35, WorstClass: 0.2}, WeightByWork: true}}
	for i := range 10 {
		cfg := machine(3, 2)
		switch i % 3 {
		case 1:
			cfg = machine(2, 1.2)
		case 2:
			cfg = machine(3, 0.8)
		}
		s.Servers = append(s.Servers, plan.Server{Name: fmt.Sprint("s-", i), Kind: i % 3, Site: i % 2, Pod: i / 4, Config: cfg, Incarnations: plan.Always})
	}
	return s
}

func run(t *testing.T, s *plan.Scenario) *plan.Result {
	t.Helper()
	r, err := Run(s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestCalmMarket(t *testing.T) {
	began := time.Now()
	r := run(t, market(1))
	if reason := r.Violations(); reason != "" {
		t.Error(reason)
	}
	if in := r.InTime(); in < 0.98 {
		t.Errorf("%.3f served in time on a calm day: %+v", in, r.Classes)
	}
	for i, n := range r.Attempts {
		if n == 0 {
			t.Errorf("server %d got nothing", i)
		}
	}
	t.Logf("20 s of %d first tries in %v: %+v", r.Classes[0].Requested+r.Classes[1].Requested+r.Classes[2].Requested, time.Since(began), r.Classes)
}

// The same seed gives the same answers, to the last one; another seed others.
func TestSameSeedSameAnswers(t *testing.T) {
	a, b, c := run(t, market(3)), run(t, market(3)), run(t, market(4))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("the same seed: %+v and %+v", a, b)
	}
	if reflect.DeepEqual(a.Seconds, c.Seconds) {
		t.Error("another seed gives the same seconds")
	}
}

// 18% of the servers fail most of their requests at once while looking healthy.
func TestServersFailingFast(t *testing.T) {
	s := market(5)
	for _, i := range []int{0, 6} {
		s.Servers[i].Faults = []model.Fault{{From: 5 * time.Second, Until: 15 * time.Second, FailFastRatio: 0.9}}
	}
	r := run(t, s)
	if reason := r.Violations(); reason != "" {
		t.Error(reason)
	}
	if in := r.InTime(); in < 0.93 {
		t.Errorf("%.3f served in time: %+v", in, r.Classes)
	}
}

// A fresh server that comes to a crowded fleet is not overrun; where the instances are
// told that servers start warm, it is: the play shows what the protection is worth.
func TestFreshServerUnderFullLoad(t *testing.T) {
	fresh := func(seed uint64) *plan.Scenario {
		s := market(seed)
		s.Servers, s.Clients.Rate = s.Servers[:4], 150 // more than the first three can do
		s.Instances = make([]int, 40)
		for i := range s.Servers {
			s.Servers[i].Config = machine(3, 1.5)
		}
		s.Servers[3].Incarnations = []plan.Incarnation{{From: 10 * time.Second, Drain: plan.Never, End: plan.Never}}
		warming := &s.Servers[3].Config
		warming.SlowStartRatio, warming.SlowStartTime, warming.OverloadMultiple = 0.31, 8600*ms, 1 // weaker than the market's: what it can do, for 1 s
		s.Settings.Contract.OverloadMultiple = 1
		return s
	}
	fell := 0
	for seed := range uint64(4) {
		if r := run(t, fresh(seed)); r.Violations() != "" {
			t.Errorf("seed %d: %s", seed, r.Violations())
		}
		s := fresh(seed)
		s.Settings.Contract.SlowStartTime = 0
		fell += len(run(t, s).Collapsed)
	}
	if fell == 0 {
		t.Error("nothing falls over without the protection: the play shows nothing")
	}
}

// A fleet that shrinks: drains are honoured, and a broken rule would show.
func TestShrinkingFleet(t *testing.T) {
	s := market(7)
	for i := range 5 {
		at := Time(5+2*i) * time.Second
		s.Servers[i*2].Incarnations = []plan.Incarnation{{Drain: at, End: at + s.DrainDuration}}
	}
	s.Surges = []plan.Surge{{From: 5 * time.Second, Until: 20 * time.Second, Factor: 0.5, Tenant: -1}}
	r := run(t, s)
	if reason := r.Violations(); reason != "" {
		t.Error(reason)
	}
	if in := r.InTime(); in < 0.9 {
		t.Errorf("%.3f served in time: %+v", in, r.Classes)
	}
}

// One class turns costly: the others keep most of their service.
func TestOneClassTurnsCostly(t *testing.T) {
	s := market(9)
	s.CostSurges = []plan.CostSurge{{From: 5 * time.Second, Until: 15 * time.Second, Class: 0, Share: 0.02, Factor: 15}}
	r := run(t, s)
	if reason := r.Violations(); reason != "" {
		t.Error(reason)
	}
	if c := r.Classes[1]; float64(c.InTime) < 0.85*float64(c.Requested) {
		t.Errorf("stall-pay %+v", c)
	}
}

// Simulated requests a second of one core, by servers and policy, at half the fleet's
// load: what a play costs, and what of it is the policy.
func BenchmarkPlay(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		for _, policy := range baselines.Names() {
			b.Run(fmt.Sprintf("%d/%s", servers, policy), func(b *testing.B) {
				tries := 0
				for b.Loop() {
					s := market(1)
					for i := len(s.Servers); i < servers; i++ {
						x := s.Servers[i%10]
						x.Name, x.Pod = fmt.Sprint("s-", i), i/4
						s.Servers = append(s.Servers, x)
					}
					s.Clients.Rate = 12 * float64(servers)
					s.Length = max(2*time.Second, time.Duration(100/servers)*time.Second)
					decide, err := baselines.Named(policy, s.Weights)
					if err != nil {
						b.Fatal(err)
					}
					r, err := Run(s, Options{Decide: decide})
					if err != nil {
						b.Fatal(err)
					}
					tries += r.ClientAttempts
				}
				b.ReportMetric(float64(tries)/b.Elapsed().Seconds(), "requests/s")
				b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(tries), "us/request")
			})
		}
	}
}
