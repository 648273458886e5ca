package model

import (
	"math"
	"testing"
	"time"
)

// Faults that apply once the work is done do not undo the effect of the request. A duplicate with the same fault seed
// gets the same fault.
func TestLateFaultsKeepEffect(t *testing.T) {
	for _, test := range []struct {
		name        string
		fault       Fault
		wantOutcome Outcome
		wantRun     bool
	}{
		{"rejected", Fault{RejectRatio: 1, FailLateRatio: 1}, Rejected, false},
		{"failed late", Fault{FailLateRatio: 1}, Failed, true},
		{"connection reset", Fault{ResetRatio: 1}, ConnectionFailed, true},
		{"unanswered", Fault{UnansweredRatio: 1}, Unanswered, true},
		{"no fault", Fault{}, Served, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.fault.Until = time.Hour
			s := newTestServer(smallMachine(), false, test.fault)
			for number := range uint64(2) {
				request := Request{Number: number, FaultSeed: 77, Work: ms, Class: fleetKeyClass, Key: "k"}
				at := Time(number) * time.Second
				completed := arriveAndAdvance(s, at, request, at+time.Second)
				want := test.wantOutcome
				if number == 1 && want == Served {
					want = Deduplicated
				}
				if got := countOutcomes(completed); got[want] != 1 || len(completed) != 1 {
					t.Errorf("request %d: counts by outcome %v, want one with outcome %d", number, got, want)
				}
			}
			ran, dropped := s.dedup.Counts()
			if (ran == 1) != test.wantRun || (dropped == 1) != test.wantRun {
				t.Errorf("%d requests ran and %d were dropped as duplicates, want one of each: %v", ran, dropped, test.wantRun)
			}
		})
	}
}

func TestLateFaultsHitTheirRatios(t *testing.T) {
	const requests = 10_000
	s := newTestServer(smallMachine(), false, Fault{
		Until:           time.Hour,
		FailLateRatio:   0.1,
		ResetRatio:      0.2,
		UnansweredRatio: 0.3,
	})
	var completed []Completion
	for number := range uint64(requests) {
		at := Time(number) * 10 * ms
		completed = append(completed, arriveAndAdvance(s, at, Request{Number: number, Work: ms}, at+5*ms)...)
	}
	counts := countOutcomes(completed)
	wants := map[Outcome]int{Failed: 1000, ConnectionFailed: 2000, Unanswered: 3000, Served: 4000}
	for outcome, want := range wants {
		if math.Abs(float64(counts[outcome]-want)) > 200 {
			t.Errorf("counts by outcome %v, want about %d of outcome %d", counts, want, outcome)
		}
	}
}

func TestFailFastHitsItsRatio(t *testing.T) {
	fault := Fault{From: time.Second, Until: 10 * time.Second, FailFastRatio: 0.6}
	s := newTestServer(smallMachine(), false, fault)
	var completed []Completion
	for number := range uint64(1000) {
		at := time.Second + Time(number)*5*ms
		completed = append(completed, s.Arrive(at, Request{Number: number, Work: 2 * ms})...)
	}
	completed = append(completed, s.Advance(20*time.Second)...)
	counts := countOutcomes(completed)
	if counts[Failed] < 550 || counts[Failed] > 650 || counts[Served]+counts[Failed] != 1000 {
		t.Errorf("counts by outcome %v, want about 600 of 1000 requests failed and the rest served", counts)
	}
}

// A server that fails fast has an empty queue, so only the failures in its load report show the fault.
func TestFailFastShowsInErrorReport(t *testing.T) {
	s := newTestServer(smallMachine(), false, Fault{Until: time.Minute, FailFastRatio: 0.6})
	for number := range uint64(200) {
		s.Arrive(Time(number)*5*ms, Request{Number: number, Work: 2 * ms})
	}
	report, ok := s.Probe(time.Second)
	if !ok || report.Queue != 0 || report.ErrorsPerSecond < 50 {
		t.Errorf("report %+v (probe answered: %v), want an empty queue and at least 50 errors a second", report, ok)
	}
}

func TestServerIsHealthyOutsideFault(t *testing.T) {
	fault := Fault{From: time.Second, Until: 2 * time.Second, FailFastRatio: 1, UnansweredRatio: 1}
	s := newTestServer(smallMachine(), false, fault)
	for _, at := range []Time{0, 3 * time.Second} {
		completed := arriveAndAdvance(s, at, Request{Number: 1, Work: ms}, at+time.Second)
		if got := countOutcomes(completed); got[Served] != 1 {
			t.Errorf("at %v: counts by outcome %v, want one served request", at, got)
		}
	}
}

func TestUnansweredRequestRuns(t *testing.T) {
	s := newTestServer(smallMachine(), false, Fault{Until: time.Minute, UnansweredRatio: 1})
	request := Request{Number: 1, Work: ms, Class: notIdempotentClass, Key: "k"}
	if got := countOutcomes(arriveAndAdvance(s, 0, request, time.Second)); got[Unanswered] != 1 {
		t.Errorf("counts by outcome %v, want one unanswered request", got)
	}
	if s.dedup.EffectCounts()["k"] != 1 {
		t.Errorf("an unanswered request ran %d times, want 1", s.dedup.EffectCounts()["k"])
	}
}

func TestUnresponsiveServerAnswersNothing(t *testing.T) {
	s := newTestServer(smallMachine(), false, Fault{Until: time.Minute, Unresponsive: true})
	if got := arriveAndAdvance(s, 0, Request{Number: 1, Work: ms}, time.Second); len(got) != 0 {
		t.Errorf("an unresponsive server completed %v, want nothing", got)
	}
	if _, ok := s.Probe(0); ok {
		t.Error("an unresponsive server answered a probe")
	}
}

func TestSlowdownTakesEffectAtItsInstants(t *testing.T) {
	s := New(Options{
		Config: Config{Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 10},
		Seed:   1,
		Dedup:  NewDedupStore([]Class{{}}),
		Faults: []Fault{{From: time.Second, Until: 5 * time.Second, SlowdownFactor: 4}},
	})
	s.Arrive(0, Request{Number: 1, Work: 3 * time.Second})
	// One second of work is done by 1 s, another by 5 s at a quarter of the speed, and the last by 6 s.
	var completed []Completion
	for now := Time(0); now <= 7*time.Second; now += 100 * ms {
		completed = append(completed, s.Advance(now)...)
	}
	if len(completed) != 1 || math.Abs((completed[0].At-6*time.Second).Seconds()) > 1e-6 {
		t.Errorf("completions %v, want one at 6 s", completed)
	}
}
