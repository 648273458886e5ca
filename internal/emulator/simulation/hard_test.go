package simulation

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
)

// playBy plays with one of the policies.
func playBy(t *testing.T, s *plan.Scenario, policy string, watch func(trace.Event)) *plan.Result {
	t.Helper()
	decide, err := baselines.Named(policy, s.Weights)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(s, Options{Decide: decide, Watch: watch})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// shareOf is the share of attempts that some servers got in some seconds.
func shareOf(r *plan.Result, from, until int, servers ...int) float64 {
	var these, all float64
	for _, x := range r.Seconds[from:until] {
		for n, sends := range x.Attempts {
			all += float64(sends)
			for _, i := range servers {
				if i == n {
					these += float64(sends)
				}
			}
		}
	}
	return these / all
}

// 18% of the servers fail from a third to nearly all of their requests, at once. To a
// policy that goes by what is out, quick errors look like speed: it sends them more
// than before. The module sends them less, and serves nearly all.
func TestFailingFastAtAllShares(t *testing.T) {
	for _, share := range []float64{0.36, 0.6, 0.9, 0.99} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			scenario := func() *plan.Scenario {
				s := market(5)
				for _, i := range []int{3, 9} { // big ones
					s.Servers[i].Faults = []model.Fault{{From: 5 * time.Second, Until: 15 * time.Second, FailFastRatio: share}}
				}
				return s
			}
			r := playBy(t, scenario(), baselines.Module, nil)
			before, during := shareOf(r, 0, 5, 3, 9), shareOf(r, 7, 15, 3, 9)
			if reason := r.Violations(); reason != "" || r.InTime() < 0.95 || during > before/2 {
				t.Errorf("in time %.3f, share of the failing %.2f before and %.2f then %s", r.InTime(), before, during, reason)
			}
			other := playBy(t, scenario(), "least-request", nil)
			drawn, was := shareOf(other, 7, 15, 3, 9), shareOf(other, 0, 5, 3, 9)
			if share >= 0.6 && drawn < was*1.1 {
				t.Errorf("least request sends them %.2f before and %.2f then: quick errors draw nothing", was, drawn)
			}
			t.Logf("failing %v: module in time %.3f, to the failing %.2f then %.2f; least request %.3f, %.2f then %.2f", share, r.InTime(), before, during, other.InTime(), was, drawn)
		})
	}
}

// Clients that give up and try again make a jam worse: the same load from patient ones
// is asked less often. No rule is broken either way.
func TestRetriesIntoAJam(t *testing.T) {
	jam := func(giveUp time.Duration) *plan.Result {
		s := market(11)
		s.Surges = []plan.Surge{{From: 5 * time.Second, Until: 15 * time.Second, Factor: 3.5, Tenant: -1}}
		s.Clients.AbandonAfter, s.Clients.Retries = giveUp, 4
		return playBy(t, s, baselines.Module, nil)
	}
	patient, hasty := jam(0), jam(250*ms)
	requested := 0
	for _, c := range hasty.Classes {
		requested += c.Requested
	}
	for name, r := range map[string]*plan.Result{"patient": patient, "hasty": hasty} {
		if reason := r.Violations(); reason != "" {
			t.Errorf("%s clients: %s", name, reason)
		}
	}
	if hasty.ClientAttempts < requested*3/2 || hasty.InTime() >= patient.InTime() {
		t.Errorf("hasty clients: %d tries for %d first ones, %.3f in time; patient ones: %d tries, %.3f", hasty.ClientAttempts, requested, hasty.InTime(), patient.ClientAttempts, patient.InTime())
	}
}

// What a server works at goes on when its instance calls it off: the next request
// waits for it, and the effect is there.
func TestWorkGoesOnAfterACancel(t *testing.T) {
	s := market(1)
	s.Servers, s.Instances, s.Length = s.Servers[:1], []int{0}, 4*time.Second
	s.Classes = s.Classes[1:2] // payments
	s.Classes[0].Share, s.Classes[0].Work, s.Classes[0].CV = 1, time.Second, 0
	s.Servers[0].Config = model.Config{Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 10, ReportInterval: 150 * ms}
	s.Clients = plan.Clients{Rate: 5, TimeoutRatio: 1, AbandonAfter: 50 * ms}
	s.Settings.Contract.SlowStartTime = 0
	started := map[int]int{}
	var p *simulator
	r, err := runWith(s, Options{Watch: func(e trace.Event) {
		if e.Kind == trace.KindAttempt {
			started[e.Server]++
		}
	}}, func(made *simulator) { p = made })
	if err != nil {
		t.Fatal(err)
	}
	// All were called off after 50 ms, and the core was at work all the same.
	if r.InTime() != 0 || started[1] < 3 {
		t.Fatalf("%v in time, %d sends", r.InTime(), started[1])
	}
	if working, waiting := p.servers[0].machine.InFlight(); working+waiting != 0 {
		t.Errorf("%d in work and %d waiting a minute later", working, waiting)
	}
	if worked := p.servers[0].machine.WorkDone(); worked < 0.99*float64(started[1]) {
		t.Errorf("%.2f s of work were done for %d requests of 1 s", worked, started[1])
	}
}

// digest plays and folds everything that is told.
func digest(t *testing.T, s *plan.Scenario, pause time.Duration) (sum uint64, events int) {
	h := fnv.New64a()
	playBy(t, s, baselines.Module, func(e trace.Event) {
		if events++; pause > 0 && events%1000 == 0 {
			time.Sleep(pause)
		}
		fmt.Fprintln(h, e)
	})
	return h.Sum64(), events
}

// The process may be paused at any time: nothing of real time is in a play.
func TestPauseOfTheProcess(t *testing.T) {
	sum, n := digest(t, market(3), 0)
	if repeated, m := digest(t, market(3), 20*ms); repeated != sum || m != n {
		t.Errorf("a play with pauses differs: %d events and %d", n, m)
	}
	if other, _ := digest(t, market(4), 0); other == sum {
		t.Error("another seed plays the same")
	}
}

// A server that holds as many connections as it can closes new ones: such a request
// may have run, for all that its instance knows, and none is done twice.
func TestConnectionLimit(t *testing.T) {
	s := market(2)
	for i := range s.Servers {
		s.Servers[i].Config.MaxConnections = 3 // fewer than the instances want
	}
	resets := 0
	r := playBy(t, s, baselines.Module, func(e trace.Event) {
		if e.Kind == trace.KindAttemptEnd && e.Code == int(balancer.Reset) {
			resets++
		}
	})
	if resets == 0 || r.Connections > 3*len(s.Servers) {
		t.Errorf("%d resets, %d connections at most", resets, r.Connections)
	}
	if r.DuplicateEffects+r.SentAfterDrain+r.Unanswered > 0 {
		t.Error(r.Violations())
	}
}

// A server that restarts is told draining, gone, and ready with a new start; nothing
// is lost, and it comes back to work.
func TestRestart(t *testing.T) {
	s := market(6)
	s.Servers[0].Incarnations = []plan.Incarnation{{Drain: 5 * time.Second, End: 9 * time.Second}, {From: 10 * time.Second, Drain: plan.Never, End: plan.Never}}
	var notified []string
	r := playBy(t, s, baselines.Module, func(e trace.Event) {
		if e.Kind == trace.KindEndpoint && e.Instance == 1 {
			notified = append(notified, fmt.Sprint(e.Server, balancer.State(e.Code)))
		}
	})
	want := fmt.Sprint([]string{fmt.Sprint(1, balancer.Draining), fmt.Sprint(1, balancer.Removed), fmt.Sprint(1, balancer.Ready)})
	if got := fmt.Sprint(notified); got != want || r.Violations() != "" {
		t.Errorf("told %s, want %s; %s", got, want, r.Violations())
	}
	if idle, back := shareOf(r, 8, 10, 0), shareOf(r, 14, 20, 0); idle != 0 || back == 0 {
		t.Errorf("its share is %.2f while it is gone and %.2f afterwards", idle, back)
	}
}

// The other policies answer each request once and honour drains: what they lack is
// judgement.
func TestBaselinesKeepTheLedger(t *testing.T) {
	for _, name := range baselines.Names() {
		s := market(8)
		s.Servers[1].Incarnations = []plan.Incarnation{{Drain: 5 * time.Second, End: 9 * time.Second}}
		s.Servers[2].Faults = []model.Fault{{From: 3 * time.Second, Until: 9 * time.Second, FailFastRatio: 0.5, UnansweredRatio: 0.2}}
		if r := playBy(t, s, name, nil); r.Unanswered+r.SentAfterDrain > 0 || r.InTime() < 0.5 {
			t.Errorf("%s: %s, %.3f in time", name, r.Violations(), r.InTime())
		}
	}
	if _, err := baselines.Named("best", nil); err == nil || !strings.Contains(err.Error(), "least-request") {
		t.Errorf("an unknown policy: %v", err)
	}
}

// Instances that are killed lose what they hold and know, and no request is left without its end; those that
// start in their place are told what holds by then, and serve.
func TestKilledInstances(t *testing.T) {
	s := market(6)
	s.Servers[0].Incarnations = []plan.Incarnation{{Drain: 5 * time.Second, End: 9 * time.Second}}
	s.Kills = []plan.Kill{{At: 7 * time.Second, Instances: []int{0}}, {At: 10 * time.Second, Instances: []int{0, 1}}}
	var p *simulator
	sends := map[int]int{} // of instance 1 after its second kill, by server
	r, err := runWith(s, Options{Watch: func(e trace.Event) {
		if e.Kind == trace.KindAttempt && e.Instance == 1 && e.At > 10_000_000 {
			sends[e.Server]++
		}
	}}, func(made *simulator) { p = made })
	if err != nil {
		t.Fatal(err)
	}
	if reason := r.Violations(); reason != "" {
		t.Error(reason)
	}
	for _, n := range p.instances {
		if n.killed || len(n.openAttempts) > 0 {
			t.Errorf("instance %d: dead %t, %d requests without their end", n.number, n.killed, len(n.openAttempts))
		}
	}
	if sends[1] > 0 || len(sends) < 2 {
		t.Errorf("what started again sends to %v: server 1 is gone", sends)
	}
	if repeated, err := Run(market(6), Options{}); err != nil || repeated.ClientAttempts == r.ClientAttempts {
		t.Errorf("nobody comes again after a kill: %d tries, %v", r.ClientAttempts, err)
	}
}

// Instances' parts of the traffic differ as far as is asked, and are the same at every play.
func TestUnevenTraffic(t *testing.T) {
	counts := func(uneven float64) (by []int) {
		s := market(2)
		s.Instances, s.Clients.RateVariation = make([]int, 20), uneven
		by = make([]int, 20)
		for script := s.Workload(); ; {
			try, ok := script.Next()
			if !ok {
				return by
			}
			by[try.Instance]++
		}
	}
	spread := func(by []int) float64 { return float64(slices.Max(by)) / float64(slices.Min(by)) }
	even, uneven := counts(0), counts(1)
	if spread(even) > 2.5 || spread(uneven) < 4 {
		t.Errorf("even: %v, uneven: %v", even, uneven)
	}
	if !slices.Equal(uneven, counts(1)) {
		t.Error("another play, other parts")
	}
}

// many is a market of hundreds of instances that send a few requests a second each.
func many(seed uint64) *plan.Scenario {
	s := market(seed)
	ten := s.Servers
	s.Servers, s.Instances = nil, nil
	for i := range 60 {
		x := ten[i%len(ten)]
		x.Name, x.Site, x.Pod = fmt.Sprint("s-", i), i%2, i/4
		s.Servers = append(s.Servers, x)
	}
	for i := range 300 {
		s.Instances = append(s.Instances, i%2)
	}
	s.Clients.Rate, s.Clients.RateVariation = 900, 0.8
	s.Settings.Limits.KeepAlive = 5 * second
	return s
}

// All instances start within an instant, knowing nothing: their first requests are served nearly as the
// last ones of before, and the connections that they all open are spread over the servers.
func TestAllInstancesStartAtOnce(t *testing.T) {
	s := many(7)
	k := plan.Kill{At: 10 * time.Second}
	for i := range s.Instances {
		k.Instances = append(k.Instances, i)
	}
	s.Kills = []plan.Kill{k}
	r := run(t, s)
	if reason := r.Violations(); reason != "" {
		t.Error(reason)
	}
	inTime := func(second int) float64 {
		all := r.Seconds[second].Total()
		return float64(all.InTime) / float64(all.Requested)
	}
	for second := 11; second < 15; second++ { // those of the tenth lost what was open
		if got, want := inTime(second), inTime(8)-0.05; got < want {
			t.Errorf("second %d: %.3f served in time, %.3f before the start", second, got, inTime(8))
		}
	}
	if mean := r.Handshakes / len(s.Servers) / int(s.Length/time.Second); r.PeakHandshakes > 4*mean {
		t.Errorf("%d connections opened to one server in a second, the mean is %d", r.PeakHandshakes, mean)
	}
}

// Many instances that each send a request or two a second share servers without a word between them: nobody is
// crowded by all at once, and a site that comes back cold before all of them does not fall over.
func TestWarmingSiteBeforeManyInstances(t *testing.T) {
	s := many(8)
	for i := range s.Servers {
		if s.Servers[i].Site == 1 {
			s.Servers[i].Incarnations = []plan.Incarnation{{Drain: plan.Never, End: 6 * time.Second}, {From: 9 * time.Second, Drain: plan.Never, End: plan.Never}}
		}
	}
	r := run(t, s)
	if reason := r.Violations(); reason != "" {
		t.Error(reason)
	}
	if r.PeakStrain > 0.9 {
		t.Errorf("a cold server came to %.2f of its fall", r.PeakStrain)
	}
	if back := r.Seconds[18].Total(); float64(back.InTime) < 0.97*float64(back.Requested) {
		t.Errorf("9 s after its return: %+v", back)
	}
	highest, lowest := slices.Max(r.Seconds[4].Attempts), slices.Min(r.Seconds[4].Attempts)
	if highest > 60 || lowest < 1 {
		t.Errorf("while all was well a server got %d to %d requests in a second", lowest, highest)
	}
}
