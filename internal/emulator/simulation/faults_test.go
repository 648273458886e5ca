package simulation

import (
	"fmt"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
)

// A fifth of the servers fails most requests immediately and looks healthy otherwise.
func TestServersFailingFastAreAvoided(t *testing.T) {
	s := smallFleet(5)
	fault := model.Fault{From: 5 * time.Second, Until: 15 * time.Second, FailFastRatio: 0.9}
	for _, server := range []int{0, 6} {
		s.Servers[server].Faults = []model.Fault{fault}
	}
	result := run(t, s)
	requireNoViolations(t, result)
	requireInTime(t, result, 0.93)
}

// A fifth of the servers fails between a third and nearly all of its requests immediately. Least-request balancing
// takes quick errors for short response times and sends these servers more requests than before. The decision module
// sends them fewer and serves nearly all requests.
func TestFailingServersLoseLoadAtAllRatios(t *testing.T) {
	for _, ratio := range []float64{0.36, 0.6, 0.9, 0.99} {
		t.Run(fmt.Sprint(ratio), func(t *testing.T) {
			failing := []int{3, 9} // servers of the fastest kind
			scenario := func() *plan.Scenario {
				s := smallFleet(5)
				fault := model.Fault{From: 5 * time.Second, Until: 15 * time.Second, FailFastRatio: ratio}
				for _, server := range failing {
					s.Servers[server].Faults = []model.Fault{fault}
				}
				return s
			}
			result := run(t, scenario())
			before := attemptShare(result, 0, 5, failing...)
			during := attemptShare(result, 7, 15, failing...)
			requireNoViolations(t, result)
			requireInTime(t, result, 0.95)
			if during > before/2 {
				t.Errorf("the failing servers get a share of %.2f, want at most half of the %.2f before",
					during, before)
			}
			baseline := runPolicy(t, scenario(), "least-request", nil)
			baselineBefore := attemptShare(baseline, 0, 5, failing...)
			baselineDuring := attemptShare(baseline, 7, 15, failing...)
			if ratio >= 0.6 && baselineDuring < baselineBefore*1.1 {
				t.Errorf("least request sends the failing servers %.2f, %.2f before: quick errors do not attract load",
					baselineDuring, baselineBefore)
			}
			t.Logf("module: in time %.3f, share %.2f then %.2f; least request: in time %.3f, share %.2f then %.2f",
				result.InTime(), before, during, baseline.InTime(), baselineBefore, baselineDuring)
		})
	}
}

// A server in slow start that joins an overloaded fleet does not collapse. Servers do collapse
// if slow start is missing in the settings of the instances.
func TestSlowStartProtectsNewServer(t *testing.T) {
	overloaded := func(seed uint64) *plan.Scenario {
		s := smallFleet(seed)
		s.Servers = s.Servers[:4]
		s.Clients.Rate = 150 // more than the capacity of the first three servers
		s.Instances = make([]int, 40)
		for i := range s.Servers {
			s.Servers[i].Config = machine(3, 1.5)
		}
		s.Servers[3].Incarnations = []plan.Incarnation{joinAt(10 * time.Second)}
		joining := &s.Servers[3].Config
		joining.SlowStartRatio, joining.SlowStartTime = 0.31, 8600*ms
		joining.OverloadMultiple = 1 // collapses when it gets more work than its capacity for 1 s
		s.Settings.Contract.OverloadMultiple = 1
		return s
	}
	collapsed := 0
	for seed := range uint64(4) {
		if violations := run(t, overloaded(seed)).Violations(); violations != "" {
			t.Errorf("seed %d: %s", seed, violations)
		}
		unprotected := overloaded(seed)
		unprotected.Settings.Contract.SlowStartTime = 0
		collapsed += len(run(t, unprotected).Collapsed)
	}
	if collapsed == 0 {
		t.Error("no server collapses without slow start: the scenario is too easy")
	}
}

func TestShrinkingFleetHonoursDrains(t *testing.T) {
	s := smallFleet(7)
	for i := range 5 {
		drain := Time(5+2*i) * time.Second
		s.Servers[i*2].Incarnations = drainAndEnd(drain, drain+s.DrainDuration)
	}
	s.Surges = []plan.Surge{{From: 5 * time.Second, Until: 20 * time.Second, Factor: 0.5, Tenant: -1}}
	result := run(t, s)
	requireNoViolations(t, result)
	requireInTime(t, result, 0.9)
}

func TestCostlyClassLeavesOthersServed(t *testing.T) {
	s := smallFleet(9)
	s.CostSurges = []plan.CostSurge{{
		From:   5 * time.Second,
		Until:  15 * time.Second,
		Class:  0,
		Share:  0.02,
		Factor: 15,
	}}
	result := run(t, s)
	requireNoViolations(t, result)
	if other := result.Classes[1]; float64(other.InTime) < 0.85*float64(other.Requested) {
		t.Errorf("class stall-pay: %+v, want at least 0.85 of the requests served in time", other)
	}
}

// Clients that disconnect early and retry make an overload worse. There are no violations with or without them.
func TestEarlyRetriesWorsenOverload(t *testing.T) {
	overload := func(abandonAfter time.Duration) *plan.Result {
		s := smallFleet(11)
		s.Surges = []plan.Surge{{From: 5 * time.Second, Until: 15 * time.Second, Factor: 3.5, Tenant: -1}}
		s.Clients.AbandonAfter, s.Clients.Retries = abandonAfter, 4
		return run(t, s)
	}
	patient, impatient := overload(0), overload(250*ms)
	requested := 0
	for _, tally := range impatient.Classes {
		requested += tally.Requested
	}
	for name, result := range map[string]*plan.Result{"patient": patient, "impatient": impatient} {
		if violations := result.Violations(); violations != "" {
			t.Errorf("%s clients: violations: %s", name, violations)
		}
	}
	if impatient.ClientAttempts < requested*3/2 || impatient.InTime() >= patient.InTime() {
		t.Errorf("impatient clients: %d attempts for %d requests, %.3f in time; patient clients: %d attempts, %.3f",
			impatient.ClientAttempts, requested, impatient.InTime(), patient.ClientAttempts, patient.InTime())
	}
}

// A server continues the work of a cancelled attempt: the next request waits for it, and the effect happens.
func TestWorkContinuesAfterCancel(t *testing.T) {
	s := smallFleet(1)
	s.Servers, s.Instances, s.Length = s.Servers[:1], []int{0}, 4*time.Second
	s.Classes = s.Classes[1:2] // payments
	s.Classes[0].Share, s.Classes[0].Work, s.Classes[0].CV = 1, time.Second, 0
	s.Servers[0].Config = model.Config{Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 10, ReportInterval: 150 * ms}
	s.Clients = plan.Clients{Rate: 5, TimeoutRatio: 1, AbandonAfter: 50 * ms}
	s.Settings.Contract.SlowStartTime = 0
	started := map[int]int{}
	sim := newSimulator(s, Options{OnEvent: func(event trace.Event) {
		if event.Kind == trace.KindAttempt {
			started[event.Server]++
		}
	}})
	result, err := sim.run()
	if err != nil {
		t.Fatal(err)
	}
	// Each attempt is cancelled after 50 ms, and the server completes it nevertheless.
	if result.InTime() != 0 || started[1] < 3 {
		t.Fatalf("ratio of requests served in time: %v, want 0; %d attempts, want at least 3", result.InTime(), started[1])
	}
	process := sim.servers[0].machine
	if working, waiting := process.InFlight(); working+waiting != 0 {
		t.Errorf("%d requests in work and %d waiting a minute after the run, want none", working, waiting)
	}
	if done := process.WorkDone(); done < 0.99*float64(started[1]) {
		t.Errorf("%.2f s of work were done for %d requests of 1 s, want at least 0.99 of that", done, started[1])
	}
}

// A server at its connection limit closes new connections. The instance can't know whether such a request ran, and must
// not cause a duplicate effect.
func TestConnectionLimitResetsNewConnections(t *testing.T) {
	const limit = 3 // fewer connections than the instances want
	s := smallFleet(2)
	for i := range s.Servers {
		s.Servers[i].Config.MaxConnections = limit
	}
	resets := 0
	result := runPolicy(t, s, baselines.Module, func(event trace.Event) {
		if event.Kind == trace.KindAttemptEnd && event.Code == int(balancer.Reset) {
			resets++
		}
	})
	if resets == 0 || result.Connections > limit*len(s.Servers) {
		t.Errorf("%d resets, %d connections at the peak: the connection limit is not enforced",
			resets, result.Connections)
	}
	if result.DuplicateEffects+result.SentAfterDrain+result.Unanswered > 0 {
		t.Error(result.Violations())
	}
}
