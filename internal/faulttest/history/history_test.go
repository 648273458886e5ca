package history

import (
	"testing"
	"time"

	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/tomlfile"
)

// seconds returns a duration of whole seconds.
func seconds(count int) time.Duration { return time.Duration(count) * time.Second }

// faultOf returns a fault that starts at a second and lasts some seconds.
func faultOf(kind schedule.Kind, target, destination string, start, duration int) schedule.Fault {
	return schedule.Fault{
		Kind:        kind,
		Target:      target,
		Destination: destination,
		Start:       tomlfile.Duration(seconds(start)),
		Duration:    tomlfile.Duration(seconds(duration)),
	}
}

// attemptAt returns an attempt at effect "e" that starts at a second and lasts a second.
func attemptAt(instance string, start int, outcome Outcome, status int) Attempt {
	return Attempt{
		Effect:    "e",
		HasKey:    true,
		Instance:  instance,
		Requested: seconds(start),
		Ended:     seconds(start + 1),
		Outcome:   outcome,
		Status:    status,
	}
}

// neverNotified is passed to drainOf for an instance that was not notified of the drain.
const neverNotified = -1

// drainOf returns a drain of s-1 until second 8. The instance was notified of it at second notified, unless that is
// neverNotified, and sent data to the server at second sent.
func drainOf(instance string, notified, sent int) Drain {
	drain := Drain{
		Server:   "s-1",
		End:      seconds(8),
		Notified: map[string]time.Duration{},
		Sent:     map[string][]time.Duration{instance: {seconds(sent)}},
	}
	if notified != neverNotified {
		drain.Notified[instance] = seconds(notified)
	}
	return drain
}

// stallBetween returns a stall between two times in milliseconds.
func stallBetween(start, end int) Stall {
	return Stall{
		Start: time.Duration(start) * time.Millisecond,
		End:   time.Duration(end) * time.Millisecond,
	}
}

// Each history breaks at most one rule, and Check must report that rule and no other. A fault or a stall excuses an
// instance only where it may be the cause.
func TestCheckReportsExactlyTheViolatedRule(t *testing.T) {
	faults := []schedule.Fault{
		faultOf(schedule.Kill, "i-1", "", 10, 1),
		faultOf(schedule.Partition, schedule.Clients, "i-2", 30, 1),
		faultOf(schedule.Partition, "i-3", "i-4", 0, 60),
		faultOf(schedule.Suspend, "i-5", "", 5, 1),
		faultOf(schedule.Partition, "i-6", "s-1", 4, 2),
		faultOf(schedule.Partition, "i-7", "s-2", 4, 2),
	}
	const none Rule = ""
	for _, test := range []struct {
		name    string
		history History
		want    Rule
	}{
		{
			name: "answered and executed",
			history: History{
				Attempts:   []Attempt{attemptAt("i-1", 1, Answered, 200)},
				Executions: map[string]int{"e": 1},
			},
			want: none,
		},
		{
			name:    "answered with success and not executed",
			history: History{Attempts: []Attempt{attemptAt("i-1", 1, Answered, 200)}},
			want:    SuccessIsExecuted,
		},
		{
			name: "answered with success and not executed during a stall",
			history: History{
				Stalls:   []Stall{stallBetween(0, 60_000)},
				Attempts: []Attempt{attemptAt("i-1", 1, Answered, 200)},
			},
			want: SuccessIsExecuted,
		},
		{
			name:    "answered with failure and not executed",
			history: History{Attempts: []Attempt{attemptAt("i-1", 1, Answered, 502)}},
			want:    none,
		},
		{
			name:    "unanswered before the instance is killed",
			history: History{Attempts: []Attempt{attemptAt("i-1", 1, Unanswered, 0)}},
			want:    OneResponse,
		},
		{
			name:    "broken when the instance is killed",
			history: History{Attempts: []Attempt{attemptAt("i-1", 9, Broken, 0)}},
			want:    none,
		},
		{
			name:    "broken when another instance is killed",
			history: History{Attempts: []Attempt{attemptAt("i-2", 9, Broken, 0)}},
			want:    OneResponse,
		},
		{
			name:    "broken long after the instance was killed",
			history: History{Attempts: []Attempt{attemptAt("i-1", 20, Broken, 0)}},
			want:    OneResponse,
		},
		{
			name:    "unanswered while the path from clients is partitioned",
			history: History{Attempts: []Attempt{attemptAt("i-2", 30, Unanswered, 0)}},
			want:    none,
		},
		{
			name:    "unanswered while a path to another instance is partitioned",
			history: History{Attempts: []Attempt{attemptAt("i-3", 30, Unanswered, 0)}},
			want:    OneResponse,
		},
		{
			name: "broken during a long stall",
			history: History{
				Stalls:   []Stall{stallBetween(0, 1_000), stallBetween(30_500, 32_000)},
				Attempts: []Attempt{attemptAt("i-3", 30, Broken, 0)},
			},
			want: none,
		},
		{
			name: "broken after a long stall",
			history: History{
				Stalls:   []Stall{stallBetween(28_000, 29_000)},
				Attempts: []Attempt{attemptAt("i-3", 30, Broken, 0)},
			},
			want: OneResponse,
		},
		{
			name: "broken during a short stall",
			history: History{
				Stalls:   []Stall{stallBetween(30_500, 30_800)},
				Attempts: []Attempt{attemptAt("i-3", 30, Broken, 0)},
			},
			want: OneResponse,
		},
		{
			name:    "cancelled by the client",
			history: History{Attempts: []Attempt{attemptAt("i-3", 30, Cancelled, 0)}},
			want:    none,
		},
		{
			name: "executed twice",
			history: History{
				Attempts:         []Attempt{attemptAt("i-3", 30, Cancelled, 0)},
				DuplicateEffects: []string{"e"},
			},
			want: AtMostOnce,
		},
		{
			name: "executed twice during a short stall",
			history: History{
				Stalls:           []Stall{stallBetween(30_500, 30_800)},
				Attempts:         []Attempt{attemptAt("i-3", 30, Cancelled, 0)},
				DuplicateEffects: []string{"e"},
			},
			want: none,
		},
		{
			name: "executed twice during a stall that is too short to count",
			history: History{
				Stalls:           []Stall{stallBetween(30_500, 30_600)},
				Attempts:         []Attempt{attemptAt("i-3", 30, Cancelled, 0)},
				DuplicateEffects: []string{"e"},
			},
			want: AtMostOnce,
		},
		{
			name: "executed twice after a stall",
			history: History{
				Stalls:           []Stall{stallBetween(28_000, 29_000)},
				Attempts:         []Attempt{attemptAt("i-3", 30, Cancelled, 0)},
				DuplicateEffects: []string{"e"},
			},
			want: AtMostOnce,
		},
		{
			name:    "replicas differ",
			history: History{ReplicaDifferences: []string{"s-1"}},
			want:    ReplicasConverge,
		},
		{
			name:    "an instance exits unexpectedly",
			history: History{UnexpectedExits: []string{"i-1"}},
			want:    NoUnexpectedExits,
		},
		{
			name:    "sent before the notification of a drain",
			history: History{Drains: []Drain{drainOf("i-3", 5, 4)}},
			want:    none,
		},
		{
			name:    "sent just after the notification of a drain",
			history: History{Drains: []Drain{drainOf("i-3", 5, 6)}},
			want:    none,
		},
		{
			name:    "sent long after the notification of a drain",
			history: History{Drains: []Drain{drainOf("i-3", 5, 7)}},
			want:    DrainsHonoured,
		},
		{
			name:    "sent after the end of a drain",
			history: History{Drains: []Drain{drainOf("i-3", 5, 9)}},
			want:    none,
		},
		{
			name:    "sent without notification of a drain",
			history: History{Drains: []Drain{drainOf("i-3", neverNotified, 7)}},
			want:    none,
		},
		{
			name:    "suspended when notified of a drain",
			history: History{Drains: []Drain{drainOf("i-5", 5, 7)}},
			want:    none,
		},
		{
			name:    "path to the server partitioned during its drain",
			history: History{Drains: []Drain{drainOf("i-6", 5, 7)}},
			want:    none,
		},
		{
			name:    "path to another server partitioned during a drain",
			history: History{Drains: []Drain{drainOf("i-7", 5, 7)}},
			want:    DrainsHonoured,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.history.Schedule = &schedule.Schedule{Faults: faults}
			found := test.history.Check()
			if test.want == none {
				if len(found) > 0 {
					t.Errorf("findings %v, want none", found)
				}
				return
			}
			if len(found) != 1 || found[0].Rule != test.want {
				t.Errorf("findings %v, want one of rule %q", found, test.want)
			}
		})
	}
}

func TestFindingIsPrintedWithItsRule(t *testing.T) {
	history := History{
		Schedule: &schedule.Schedule{},
		Attempts: []Attempt{
			attemptAt("i-1", 1, Answered, 200),
			{Effect: "f", Number: 2, Instance: "i-2", Requested: seconds(3), Ended: seconds(4), Outcome: Broken},
		},
		DuplicateEffects:   []string{"e"},
		Drains:             []Drain{drainOf("i-3", 5, 7)},
		ReplicaDifferences: []string{"s-1"},
		UnexpectedExits:    []string{"i-5: exit status 2"},
	}
	want := []string{
		"no effect twice: e; attempt 0 at i-1, 1s to 2s, answered 200",
		"served is done: e was answered 200 by i-1 at 2s, but no server executed it",
		"one final answer each: f, attempt 2 at i-2 from 3s to 4s: broken, and no fault or stall explains it",
		"drains honoured: i-3 sent data to s-1 at [7s], although it was notified at 5s of the drain, which lasted until 8s",
		"copies converge: s-1",
		"no crash: i-5: exit status 2",
	}
	found := history.Check()
	if len(found) != len(want) {
		t.Fatalf("%d findings, want %d: %v", len(found), len(want), found)
	}
	for i, finding := range found {
		if finding.String() != want[i] {
			t.Errorf("finding %d is %q, want %q", i, finding, want[i])
		}
	}
}

func TestSummarizeCountsAttempts(t *testing.T) {
	instances := []string{"i-1", "i-1", "i-2"}
	var history History
	for number := range 100 {
		history.Attempts = append(history.Attempts, Attempt{
			Effect:   "e",
			HasKey:   true,
			Number:   number,
			Instance: instances[number%len(instances)],
			Ended:    time.Duration(number) * time.Millisecond,
			Outcome:  Answered,
			Status:   200,
		})
	}
	history.Attempts = append(history.Attempts,
		Attempt{Effect: "f", Outcome: Cancelled},
		Attempt{Effect: "f", Number: 1, Outcome: Answered, Status: 502, Ended: time.Hour},
	)
	summary := history.Summarize()
	for _, count := range []struct {
		name      string
		got, want int
	}{
		{"effects", summary.Effects, 2},
		{"attempts", summary.Attempts, 102},
		{"served effects", summary.Served, 1},
		{"cancelled attempts", summary.Cancelled, 1},
		{"responses with status 502", summary.ByStatus[502], 1},
		{"instance changes", summary.InstanceChanges, 66},
	} {
		if count.got != count.want {
			t.Errorf("%d %s, want %d", count.got, count.name, count.want)
		}
	}
	if summary.MedianLatency != 50*time.Millisecond || summary.P99Latency != 99*time.Millisecond {
		t.Errorf("median latency %v, 99th percentile %v, want 50 ms and 99 ms",
			summary.MedianLatency, summary.P99Latency)
	}
}

func TestAddSumsCounts(t *testing.T) {
	first := Summary{Effects: 1, Attempts: 2, Served: 3, Cancelled: 4, Unanswered: 5, Broken: 6, InstanceChanges: 7}
	second := first
	second.ByStatus = map[int]int{200: 8, 502: 9}
	first.Add(second)
	first.Add(Summary{ByStatus: map[int]int{200: 1}})
	if first.Effects != 2 || first.Attempts != 4 || first.Served != 6 || first.Cancelled != 8 ||
		first.Unanswered != 10 || first.Broken != 12 || first.InstanceChanges != 14 {
		t.Errorf("counts %+v, want twice those of the second summary", first)
	}
	if first.ByStatus[200] != 9 || first.ByStatus[502] != 9 {
		t.Errorf("responses by status %v, want 9 of status 200 and 9 of status 502", first.ByStatus)
	}
}
