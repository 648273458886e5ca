package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// action is a kind of call to a server.
type action uint8

const (
	arriveAction action = iota
	probeAction
	connectAction
	advanceAction
)

// step is one action of a random sequence.
type step struct {
	at     Time
	action action
	work   time.Duration
}

// drawSteps draws a random sequence of actions, 70% of them arrivals, and returns it with its end.
func drawSteps(t *rapid.T) (steps []step, end Time) {
	actions := append(slices.Repeat([]action{arriveAction}, 7), probeAction, connectAction, advanceAction)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		end += Time(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
		steps = append(steps, step{
			at:     end,
			action: actions[rapid.IntRange(0, 9).Draw(t, "action")],
			work:   time.Duration(rapid.IntRange(1, 200).Draw(t, "work")) * ms,
		})
	}
	return steps, end
}

// runRecord is the outcome of a sequence of actions.
type runRecord struct {
	log       []string
	ended     map[uint64]int // completions by request
	requested int
}

func (r *runRecord) complete(completions []Completion) {
	for _, c := range completions {
		r.ended[c.Number]++
		r.log = append(r.log, fmt.Sprint(c))
	}
}

// runSteps runs a sequence of actions on a server.
func runSteps(o Options, steps []step, end Time) runRecord {
	o.Dedup = NewDedupStore(testClasses)
	s := New(o)
	r := runRecord{ended: map[uint64]int{}}
	for i, step := range steps {
		switch step.action {
		case arriveAction:
			r.requested++
			r.complete(s.Arrive(step.at, Request{
				Number: uint64(i),
				Work:   step.work,
				Class:  i % len(testClasses),
				Key:    fmt.Sprint(i % 5),
			}))
		case probeAction:
			r.log = append(r.log, fmt.Sprint(s.Probe(step.at)))
		case connectAction:
			r.log = append(r.log, fmt.Sprint(s.Connect(step.at)))
		case advanceAction:
			r.complete(s.Advance(step.at))
		}
	}
	r.complete(s.Advance(end + time.Hour))
	return r
}

// Every request ends exactly once under any sequence of actions, and the same actions give the same results.
func TestEveryRequestEndsOnceAndRepeatably(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{
			Config: Config{
				Cores:            rapid.IntRange(1, 3).Draw(t, "cores"),
				Speed:            1.5,
				SlotsPerCore:     rapid.IntRange(1, 2).Draw(t, "slots"),
				QueuePerCore:     rapid.IntRange(0, 3).Draw(t, "queue"),
				ThrashRatio:      0.1,
				ThrashThreshold:  2,
				SlowStartRatio:   0.3,
				SlowStartTime:    time.Second,
				WarmByWork:       rapid.Bool().Draw(t, "warm by work"),
				OverloadMultiple: 2.5,
				OverloadWindow:   time.Second,
				PauseInterval:    300 * ms,
				PauseDuration:    30 * ms,
				ReportInterval:   50 * ms,
				ReportDelay:      20 * ms,
				ReportNoise:      0.1,
				HandshakeWork:    ms,
				ProbeWork:        ms,
			},
			Seed:    7,
			Warming: rapid.Bool().Draw(t, "warming"),
			Group:   "g",
			Faults:  []Fault{{From: 500 * ms, Until: time.Second, FailFastRatio: 0.5, UnansweredRatio: 0.3}},
		}
		steps, end := drawSteps(t)
		first := runSteps(options, steps, end)
		if len(first.ended) != first.requested {
			t.Fatalf("%d requests arrived, but %d ended", first.requested, len(first.ended))
		}
		for number, times := range first.ended {
			if times != 1 {
				t.Fatalf("request %d ended %d times, want once", number, times)
			}
		}
		if second := runSteps(options, steps, end); !slices.Equal(first.log, second.log) {
			t.Fatal("a second run of the same actions gave other results")
		}
	})
}

// erlangWait returns the mean wait in a queue with Poisson arrivals, exponential service times and several servers:
// Erlang's C formula over the free capacity (Erlang, 1917).
func erlangWait(servers int, utilization float64, meanService time.Duration) float64 {
	offered := utilization * float64(servers)
	sum, term := 0.0, 1.0
	for k := range servers {
		sum += term
		term *= offered / float64(k+1)
	}
	last := term / (1 - utilization)
	waitProbability := last / (sum + last)
	return waitProbability * meanService.Seconds() / (float64(servers) * (1 - utilization))
}

func TestMeanWaitMatchesErlang(t *testing.T) {
	const (
		meanService = 10 * ms
		requests    = 1_000_000
	)
	for _, test := range []struct {
		cores       int
		utilization float64
	}{{1, 0.6}, {2, 0.7}, {4, 0.8}} {
		t.Run(fmt.Sprintf("%d cores at %v", test.cores, test.utilization), func(t *testing.T) {
			config := Config{Cores: test.cores, Speed: 1, SlotsPerCore: 1, QueuePerCore: 1 << 20}
			s := newTestServer(config, false)
			rng := rand.New(rand.NewPCG(1, uint64(test.cores)))
			expected := map[uint64]Time{} // completion time of each open request if it did not wait
			waited, completed := 0.0, 0
			complete := func(completions []Completion) {
				for _, c := range completions {
					waited += (c.At - expected[c.Number]).Seconds()
					delete(expected, c.Number)
					completed++
				}
			}
			meanInterval := float64(meanService) / (test.utilization * float64(test.cores))
			at := Time(0)
			for i := range uint64(requests) {
				at += Time(rng.ExpFloat64() * meanInterval)
				work := Time(rng.ExpFloat64() * float64(meanService))
				expected[i] = at + work
				complete(s.Arrive(at, Request{Number: i, Work: work}))
			}
			complete(s.Advance(at + time.Hour))
			got, want := waited/float64(completed), erlangWait(test.cores, test.utilization, meanService)
			if completed != requests || math.Abs(got/want-1) > 0.02 {
				t.Errorf("%d requests completed with a mean wait of %.4f ms, want %.4f ms within 2%%",
					completed, got*1e3, want*1e3)
			}
			t.Logf("mean wait %.4f ms, Erlang %.4f ms", got*1e3, want*1e3)
		})
	}
}
