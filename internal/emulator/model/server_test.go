package model

import (
	"math"
	"testing"
	"time"

	_ "pinedale/internal/standin/seeds"
)

const ms = time.Millisecond

// smallMachine returns a machine with two cores of speed 1 and one slot each.
func smallMachine() Config {
	return Config{
		Cores:            2,
		Speed:            1,
		SlotsPerCore:     1,
		QueuePerCore:     2,
		SlowStartRatio:   0.31,
		SlowStartTime:    8600 * ms,
		OverloadMultiple: 2.5,
		OverloadWindow:   time.Second,
		ReportInterval:   100 * ms,
		ReportDelay:      50 * ms,
	}
}

// Indexes of testClasses.
const (
	idempotentClass = iota
	fleetKeyClass
	groupKeyClass
	notIdempotentClass
)

var testClasses = []Class{
	idempotentClass:    {Idempotency: Idempotent},
	fleetKeyClass:      {Idempotency: IdempotentWithKey, Window: 1500 * ms},
	groupKeyClass:      {Idempotency: IdempotentWithKey, Scope: Group, Window: 12 * time.Second},
	notIdempotentClass: {Idempotency: NotIdempotent},
}

// newTestServer returns a server with its own deduplication store.
func newTestServer(config Config, warming bool, faults ...Fault) *Server {
	return New(Options{
		Config:  config,
		Seed:    7,
		Warming: warming,
		Dedup:   NewDedupStore(testClasses),
		Group:   "g",
		Faults:  faults,
	})
}

func countOutcomes(completions []Completion) map[Outcome]int {
	counts := map[Outcome]int{}
	for _, c := range completions {
		counts[c.Outcome]++
	}
	return counts
}

// arriveAndAdvance passes a request to a server and returns what has completed by an instant.
func arriveAndAdvance(s *Server, at Time, r Request, until Time) []Completion {
	return append(s.Arrive(at, r), s.Advance(until)...)
}

func TestServiceTimeFollowsConfig(t *testing.T) {
	for _, test := range []struct {
		name         string
		configure    func(*Config)
		requests     int
		wantLast     time.Duration
		wantServed   int
		wantRejected int
	}{
		{"one request", nil, 1, 100 * ms, 1, 0},
		{"one request on each core", nil, 2, 100 * ms, 2, 0},
		{"one request waits", nil, 3, 200 * ms, 3, 0},
		{"full queue", nil, 8, 300 * ms, 6, 2},
		{"fast core", func(c *Config) { c.Speed = 2 }, 1, 50 * ms, 1, 0},
		{"two requests on a core", func(c *Config) { c.Cores, c.SlotsPerCore = 1, 2 }, 2, 200 * ms, 2, 0},
		{"thrashing", func(c *Config) {
			c.Cores, c.SlotsPerCore = 1, 2
			c.ThrashRatio, c.ThrashThreshold = 0.5, 1
		}, 2, 300 * ms, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := smallMachine()
			if test.configure != nil {
				test.configure(&config)
			}
			s := newTestServer(config, false)
			var completed []Completion
			for number := range uint64(test.requests) {
				completed = append(completed, s.Arrive(0, Request{Number: number, Work: 100 * ms})...)
			}
			completed = append(completed, s.Advance(10*time.Second)...)
			counts := countOutcomes(completed)
			if counts[Served] != test.wantServed || counts[Rejected] != test.wantRejected {
				t.Errorf("counts by outcome %v, want %d served and %d rejected",
					counts, test.wantServed, test.wantRejected)
			}
			if last := completed[len(completed)-1].At; last < test.wantLast || last > test.wantLast+ms {
				t.Errorf("the last request ended after %v, want %v", last, test.wantLast)
			}
		})
	}
}

func TestPausesDelayWork(t *testing.T) {
	config := smallMachine()
	config.PauseInterval, config.PauseDuration = 100*ms, 50*ms // a third of the time
	s := newTestServer(config, false)
	s.Arrive(0, Request{Number: 1, Work: 10 * time.Second})
	if end := s.Advance(time.Hour)[0].At; end < 13*time.Second || end > 18*time.Second {
		t.Errorf("10 s of work took %v with pauses, want about 15 s", end)
	}
}

func TestStopFailsOpenRequests(t *testing.T) {
	config := smallMachine()
	config.PauseInterval, config.PauseDuration = 100*ms, 50*ms
	s := newTestServer(config, false)
	s.Arrive(time.Hour, Request{Number: 2, Work: time.Second})
	if got := countOutcomes(s.Stop(time.Hour + ms)); got[ConnectionFailed] != 1 || !s.Down() {
		t.Errorf("counts by outcome %v, down %v, want one failed connection and a server that is down", got, s.Down())
	}
}

func TestWarmthRisesWithTime(t *testing.T) {
	s := newTestServer(smallMachine(), true)
	for at, want := range map[Time]float64{0: 0.31, 4300 * ms: 0.655, 8600 * ms: 1, time.Hour: 1} {
		if got := s.Warmth(at); math.Abs(got-want) > 0.001 {
			t.Errorf("warmth %v after %v, want %v", got, at, want)
		}
	}
}

func TestWarmthRisesFasterWithWork(t *testing.T) {
	config := smallMachine()
	config.WarmByWork, config.OverloadMultiple, config.QueuePerCore = true, 0, 10_000
	s := newTestServer(config, true)
	for number := range uint64(1000) {
		s.Arrive(0, Request{Number: number, Work: 10 * ms})
	}
	s.Advance(5 * time.Second)
	idle := newTestServer(smallMachine(), true)
	if got, want := s.Warmth(5*time.Second), idle.Warmth(5*time.Second); got <= want {
		t.Errorf("warmth %v after 5 s of work, want more than the %v without work", got, want)
	}
}

func TestWarmingServerRespondsSlower(t *testing.T) {
	responseTime := func(s *Server) Time {
		s.Arrive(0, Request{Number: 1, Work: 100 * ms})
		return s.Advance(time.Minute)[0].At
	}
	warming := responseTime(newTestServer(smallMachine(), true))
	warm := responseTime(newTestServer(smallMachine(), false))
	if ratio := float64(warming) / float64(warm); ratio < 2.9 || ratio > 1/0.31+0.05 {
		t.Errorf("response times: warming %v, warm %v, want a ratio of 2.9 to %.2f", warming, warm, 1/0.31+0.05)
	}
}
