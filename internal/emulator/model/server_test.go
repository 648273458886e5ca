package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

const ms = time.Millisecond

// box is a plain machine: two cores of speed 1, one slot each.
var box = Config{Cores: 2, Speed: 1, SlotsPerCore: 1, QueuePerCore: 2, SlowStartRatio: 0.31, SlowStartTime: 8600 * ms, OverloadMultiple: 2.5, OverloadWindow: time.Second,
	ReportInterval: 100 * ms, ReportDelay: 50 * ms}

var classes = []Class{{Idempotency: Idempotent}, {Idempotency: IdempotentWithKey, Window: 1500 * ms}, {Idempotency: IdempotentWithKey, Scope: Group, Window: 12 * time.Second}, {Idempotency: NotIdempotent}}

func server(cfg Config, warming bool, faults ...Fault) *Server {
	return New(cfg, 7, 0, warming, NewDedupStore(classes), "g", faults)
}

// outcomes folds what ended.
func outcomes(all []Completion) map[Outcome]int {
	n := map[Outcome]int{}
	for _, e := range all {
		n[e.Outcome]++
	}
	return n
}

func TestWorkTakesItsTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		cfg      func(*Config)
		n        int
		last     time.Duration
		served   int
		rejected int
	}{
		{"alone", nil, 1, 100 * ms, 1, 0},
		{"side by side", nil, 2, 100 * ms, 2, 0},
		{"one waits", nil, 3, 200 * ms, 3, 0},
		{"the room is full", nil, 8, 300 * ms, 6, 2},
		{"a fast core", func(c *Config) { c.Speed = 2 }, 1, 50 * ms, 1, 0},
		{"two on a core", func(c *Config) { c.Cores, c.SlotsPerCore = 1, 2 }, 2, 200 * ms, 2, 0},
		{"crowded", func(c *Config) { c.Cores, c.SlotsPerCore, c.ThrashRatio, c.ThrashThreshold = 1, 2, 0.5, 1 }, 2, 300 * ms, 2, 0},
	} {
		cfg := box
		if c.cfg != nil {
			c.cfg(&cfg)
		}
		s := server(cfg, false)
		var all []Completion
		for n := range c.n {
			all = append(all, s.Arrive(0, Request{Number: uint64(n), Work: 100 * ms})...)
		}
		all = append(all, s.Advance(10*time.Second)...)
		got := outcomes(all)
		last := all[len(all)-1].At
		if got[Served] != c.served || got[Rejected] != c.rejected || last < c.last || last > c.last+ms {
			t.Errorf("%s: %v, the last after %v; want %d served, %d rejected, %v", c.name, got, last, c.served, c.rejected, c.last)
		}
	}
}

// A cold server falls over at the load that is stated of the real ones, and not
// below: 2.5 times what it can do just now, for 1 s, from 31% of its capacity on.
func TestWarmingServerFallsAtItsLoad(t *testing.T) {
	capacity := 2.0 // of the box, warm
	for _, c := range []struct {
		at    time.Duration // since its start
		load  float64       // of what it can do then
		falls bool
	}{
		{0, 2.3, false}, {0, 2.7, true}, {4300 * ms, 2.3, false}, {4300 * ms, 2.7, true}, {9 * time.Second, 20, false},
	} {
		cfg := box
		cfg.QueuePerCore = 1000
		s := server(cfg, true)
		// Many small requests, evenly over the second that counts.
		const n = 1000
		work := time.Duration(c.load * capacity * s.Warmth(c.at+time.Second) * float64(time.Second) / n)
		for i := range n {
			s.Arrive(c.at+time.Duration(i)*time.Second/n, Request{Number: uint64(i), Work: work})
		}
		if s.Down() != c.falls {
			t.Errorf("at %v with %.1f times its capacity: down %v, want %v", c.at, c.load, s.Down(), c.falls)
		}
		if c.falls {
			if got := outcomes(s.Arrive(time.Hour, Request{Number: 9999, Work: ms})); got[ConnectionFailed] != 1 {
				t.Errorf("an hour later: %v, want it to be down still", got)
			}
			if late := s.CollapsedAt(); late < c.at+900*ms || late > c.at+time.Second {
				t.Errorf("it fell %v after the load began", late-c.at)
			}
		}
	}
	// A short heavy burst spends the same budget.
	s := server(box, true)
	s.Arrive(0, Request{Number: 1, Work: 2 * time.Second})
	if !s.Down() {
		t.Error("a burst of 2 s of work on 0.62 s a second is borne")
	}
	// What it is asked beside requests counts, too.
	cfg := box
	cfg.HandshakeWork, cfg.ProbeWork = 100*ms, 100*ms
	s = server(cfg, true)
	for i := range 20 {
		if i%2 == 0 {
			s.Connect(0)
		} else {
			s.Probe(0)
		}
	}
	if !s.Down() {
		t.Error("connections and probes alone do not bring it down")
	}
}

func TestWarmUp(t *testing.T) {
	s := server(box, true)
	for at, want := range map[Time]float64{0: 0.31, 4300 * ms: 0.655, 8600 * ms: 1, time.Hour: 1} {
		if got := s.Warmth(at); math.Abs(got-want) > 0.001 {
			t.Errorf("after %v: %v, want %v", at, got, want)
		}
	}
	// With work it warms sooner.
	cfg := box
	cfg.WarmByWork, cfg.OverloadMultiple, cfg.QueuePerCore = true, 0, 10_000
	s = server(cfg, true)
	for n := range uint64(1000) {
		s.Arrive(0, Request{Number: n, Work: 10 * ms})
	}
	s.Advance(5 * time.Second)
	if got := s.Warmth(5 * time.Second); got <= server(box, true).Warmth(5*time.Second) {
		t.Errorf("warmth %v after 5 s of work", got)
	}
	// A cold server's answers take as much longer.
	warming, warm := server(box, true), server(box, false)
	took := func(s *Server) Time {
		s.Arrive(0, Request{Number: 1, Work: 100 * ms})
		return s.Advance(time.Minute)[0].At
	}
	a, b := took(warming), took(warm)
	if ratio := float64(a) / float64(b); ratio < 2.9 || ratio > 1/0.31+0.05 {
		t.Errorf("%v cold and %v warm", a, b)
	}
}

// Faults that strike when the work is done leave the effect, and are the same for a
// repeat that is drawn alike.
func TestLateFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault Fault
		want  Outcome
		runs  bool
	}{
		"turned away":       {Fault{RejectRatio: 1, FailLateRatio: 1}, Rejected, false},
		"failing late":      {Fault{FailLateRatio: 1}, Failed, true},
		"its link breaks":   {Fault{ResetRatio: 1}, ConnectionFailed, true},
		"swallowed":         {Fault{UnansweredRatio: 1}, Unanswered, true},
		"none of the three": {Fault{FailLateRatio: 0, ResetRatio: 0, UnansweredRatio: 0}, Served, true},
	} {
		c.fault.Until = time.Hour
		s := server(box, false, c.fault)
		for n := range uint64(2) {
			all := append(s.Arrive(Time(n)*time.Second, Request{Number: n, FaultSeed: 77, Work: ms, Class: 1, Key: "k"}), s.Advance(Time(n+1)*time.Second)...)
			want := c.want
			if n == 1 && want == Served {
				want = Deduplicated
			}
			if got := outcomes(all); got[want] != 1 || len(all) != 1 {
				t.Errorf("%s, request %d: %v", name, n, got)
			}
		}
		if ran, dropped := s.dedup.Counts(); (ran == 1) != c.runs || (dropped == 1) != c.runs {
			t.Errorf("%s: ran %d, dropped %d", name, ran, dropped)
		}
	}
	// Each has its share.
	s := server(box, false, Fault{Until: time.Hour, FailLateRatio: 0.1, ResetRatio: 0.2, UnansweredRatio: 0.3})
	got := map[Outcome]int{}
	for n := range uint64(10_000) {
		for o, k := range outcomes(append(s.Arrive(Time(n)*10*ms, Request{Number: n, Work: ms}), s.Advance(Time(n)*10*ms+5*ms)...)) {
			got[o] += k
		}
	}
	for o, want := range map[Outcome]int{Failed: 1000, ConnectionFailed: 2000, Unanswered: 3000, Served: 4000} {
		if math.Abs(float64(got[o]-want)) > 200 {
			t.Errorf("%v, want about %d of outcome %d", got, want, o)
		}
	}
}

// 18% of a fleet failing fast look healthy: their queues are empty, their answers
// soon. Only the failures tell.
func TestFailingFastLooksHealthy(t *testing.T) {
	s := server(box, false, Fault{From: time.Second, Until: 10 * time.Second, FailFastRatio: 0.6})
	var all []Completion
	for n := range uint64(1000) {
		all = append(all, s.Arrive(time.Second+Time(n)*5*ms, Request{Number: n, Work: 2 * ms})...)
	}
	all = append(all, s.Advance(20*time.Second)...)
	got := outcomes(all)
	if got[Failed] < 550 || got[Failed] > 650 || got[Served]+got[Failed] != 1000 {
		t.Errorf("%v, want about 600 failures", got)
	}
	s = server(box, false, Fault{Until: time.Minute, FailFastRatio: 0.6})
	for n := range uint64(200) {
		s.Arrive(Time(n)*5*ms, Request{Number: n, Work: 2 * ms})
	}
	if eps, queue, ok := s.Probe(time.Second); !ok || queue != 0 || eps < 50 {
		t.Errorf("it reports %v failures a second and %v waiting, %v", eps, queue, ok)
	}
	// Before and after the fault it is well.
	s = server(box, false, Fault{From: time.Second, Until: 2 * time.Second, FailFastRatio: 1, UnansweredRatio: 1})
	for _, at := range []Time{0, 3 * time.Second} {
		if got := outcomes(append(s.Arrive(at, Request{Number: 1, Work: ms}), s.Advance(at+time.Second)...)); got[Served] != 1 {
			t.Errorf("at %v: %v", at, got)
		}
	}
}

func TestSwallowedAndUnresponsive(t *testing.T) {
	s := server(box, false, Fault{Until: time.Minute, UnansweredRatio: 1})
	if got := outcomes(append(s.Arrive(0, Request{Number: 1, Work: ms, Class: 3, Key: "k"}), s.Advance(time.Second)...)); got[Unanswered] != 1 {
		t.Errorf("swallowed: %v", got)
	}
	if s.dedup.effects["k"].done != 1 {
		t.Error("a swallowed request did not run")
	}
	s = server(box, false, Fault{Until: time.Minute, Unresponsive: true})
	if got := append(s.Arrive(0, Request{Number: 1, Work: ms}), s.Advance(time.Second)...); len(got) != 0 {
		t.Errorf("a vanished machine says %v", got)
	}
	if _, _, ok := s.Probe(0); ok {
		t.Error("a vanished machine answers probes")
	}
}

func TestMemory(t *testing.T) {
	m := NewDedupStore(classes)
	for _, c := range []struct {
		at    Time
		class int
		key   string
		group string
		runs  bool
	}{
		{0, 1, "a", "x", true}, {time.Second, 1, "a", "y", false}, {1500 * ms, 1, "a", "x", true},
		{0, 2, "b", "x", true}, {11 * time.Second, 2, "b", "x", false}, {11 * time.Second, 2, "b", "y", true},
		{0, 3, "c", "x", true}, {0, 3, "c", "x", true}, {0, 0, "d", "x", true}, {0, 0, "d", "x", true},
	} {
		if got := m.Execute(c.at, c.class, c.key, c.group); got != c.runs {
			t.Errorf("%+v: ran %v", c, got)
		}
	}
	if keys := m.DuplicateEffects(); !slices.Equal(keys, []string{"a", "b", "c"}) {
		t.Errorf("%v done twice, want a, b and c", keys)
	}
}

func TestPausesAndStop(t *testing.T) {
	cfg := box
	cfg.PauseInterval, cfg.PauseDuration = 100*ms, 50*ms
	s := server(cfg, false)
	s.Arrive(0, Request{Number: 1, Work: 10 * time.Second})
	end := s.Advance(time.Hour)[0].At
	if end < 13*time.Second || end > 18*time.Second { // a third of the time it stands
		t.Errorf("10 s of work took %v", end)
	}
	s.Arrive(time.Hour, Request{Number: 2, Work: time.Second})
	if got := outcomes(s.Stop(time.Hour + ms)); got[ConnectionFailed] != 1 || !s.Down() {
		t.Errorf("at its stop: %v", got)
	}
}

// Every request ends exactly once, whatever comes, and the same events give the same
// answers.
func TestRandomPlays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Cores: rapid.IntRange(1, 3).Draw(t, "cores"), Speed: 1.5, SlotsPerCore: rapid.IntRange(1, 2).Draw(t, "slots"),
			QueuePerCore: rapid.IntRange(0, 3).Draw(t, "queue"), ThrashRatio: 0.1, ThrashThreshold: 2, SlowStartRatio: 0.3, SlowStartTime: time.Second,
			WarmByWork: rapid.Bool().Draw(t, "by work"), OverloadMultiple: 2.5, OverloadWindow: time.Second, PauseInterval: 300 * ms, PauseDuration: 30 * ms,
			ReportInterval: 50 * ms, ReportDelay: 20 * ms, ReportNoise: 0.1, HandshakeWork: ms, ProbeWork: ms}
		faults := []Fault{{From: 500 * ms, Until: time.Second, FailFastRatio: 0.5, UnansweredRatio: 0.3}}
		warming := rapid.Bool().Draw(t, "cold")
		type step struct {
			at   Time
			what int
			work time.Duration
		}
		var steps []step
		now := Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += Time(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			steps = append(steps, step{now, rapid.IntRange(0, 9).Draw(t, "what"), time.Duration(rapid.IntRange(1, 200).Draw(t, "work")) * ms})
		}
		play := func() (trace []string, ended map[uint64]int, requested int) {
			s := New(cfg, 7, 0, warming, NewDedupStore(classes), "g", faults)
			ended = map[uint64]int{}
			take := func(all []Completion) {
				for _, e := range all {
					ended[e.Number]++
					trace = append(trace, fmt.Sprint(e))
				}
			}
			for i, x := range steps {
				switch {
				case x.what < 7:
					requested++
					take(s.Arrive(x.at, Request{Number: uint64(i), Work: x.work, Class: i % 4, Key: fmt.Sprint(i % 5)}))
				case x.what == 7:
					trace = append(trace, fmt.Sprint(s.Probe(x.at)))
				case x.what == 8:
					trace = append(trace, fmt.Sprint(s.Connect(x.at)))
				default:
					take(s.Advance(x.at))
				}
			}
			take(s.Advance(now + time.Hour))
			return
		}
		first, ended, requested := play()
		if len(ended) != requested {
			t.Fatalf("%d requests, %d ended", requested, len(ended))
		}
		for n, times := range ended {
			if times != 1 {
				t.Fatalf("request %d ended %d times", n, times)
			}
		}
		if second, _, _ := play(); !slices.Equal(first, second) {
			t.Fatal("the same events gave other answers")
		}
	})
}

// Known results: in a queue with Poisson arrivals, exponential work and c servers the
// mean wait is Erlang's C over what the servers have left (Erlang, 1917).
func TestQueueAgainstErlang(t *testing.T) {
	for _, c := range []struct {
		servers int
		load    float64 // of a server
	}{{1, 0.6}, {2, 0.7}, {4, 0.8}} {
		const mean = 10 * ms
		n := 1_000_000
		s := server(Config{Cores: c.servers, Speed: 1, SlotsPerCore: 1, QueuePerCore: 1 << 20}, false)
		rng := rand.New(rand.NewPCG(1, uint64(c.servers)))
		type job struct{ at, work Time }
		jobs := map[uint64]job{}
		var waited float64
		done := 0
		take := func(all []Completion) {
			for _, e := range all {
				j := jobs[e.Number]
				delete(jobs, e.Number)
				waited += (e.At - j.at - j.work).Seconds()
				done++
			}
		}
		at := Time(0)
		for i := range n {
			at += Time(rng.ExpFloat64() * float64(mean) / (c.load * float64(c.servers)))
			j := job{at, Time(rng.ExpFloat64() * float64(mean))}
			jobs[uint64(i)] = j
			take(s.Arrive(at, Request{Number: uint64(i), Work: j.work}))
		}
		take(s.Advance(at + time.Hour))
		// Erlang's C.
		a, sum, term := c.load*float64(c.servers), 0.0, 1.0
		for k := range c.servers {
			sum += term
			term *= a / float64(k+1)
		}
		last := term / (1 - c.load)
		want := last / (sum + last) * mean.Seconds() / (float64(c.servers) * (1 - c.load))
		if got := waited / float64(done); done != n || math.Abs(got/want-1) > 0.02 {
			t.Errorf("%d servers at %.1f: %d done, mean wait %.4f ms, want %.4f within 2%%", c.servers, c.load, done, got*1e3, want*1e3)
		} else {
			t.Logf("%d servers at %.1f: mean wait %.4f ms, Erlang %.4f", c.servers, c.load, got*1e3, want*1e3)
		}
	}
}
