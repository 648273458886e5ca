package history

import (
	"strings"
	"testing"
	"time"

	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/tomlfile"
)

// Each rule is found broken by a history that breaks it, and by that alone; what a fault
// explains is not held against an instance, and only while it may.
func TestCheck(t *testing.T) {
	second := func(n int) tomlfile.Duration { return tomlfile.Duration(time.Duration(n) * time.Second) }
	s := &schedule.Schedule{Faults: []schedule.Fault{
		{Kind: schedule.Kill, Target: "i-1", Start: second(10), Duration: second(1)},
		{Kind: schedule.Partition, Target: schedule.Clients, Destination: "i-2", Start: second(30), Duration: second(1)},
		{Kind: schedule.Partition, Target: "i-3", Destination: "i-4", Start: second(0), Duration: second(60)},
		{Kind: schedule.Suspend, Target: "i-5", Start: second(5), Duration: second(1)},
		{Kind: schedule.Partition, Target: "i-6", Destination: "s-1", Start: second(4), Duration: second(2)},
		{Kind: schedule.Partition, Target: "i-7", Destination: "s-2", Start: second(4), Duration: second(2)}}}
	// s-1 drains until 8 s; an instance is told at an instant, never if that is before the start, and writes at another.
	drains := func(instance string, notified, sent int) []Drain {
		d := Drain{Server: "s-1", Until: 8 * time.Second, Notified: map[string]time.Duration{}, Sent: map[string][]time.Duration{instance: {time.Duration(sent) * time.Second}}}
		if notified >= 0 {
			d.Notified[instance] = time.Duration(notified) * time.Second
		}
		return []Drain{d}
	}
	try := func(instance string, at int, k Kind, code int) Try {
		return Try{Effect: "e", HasKey: true, Instance: instance, Requested: time.Duration(at) * time.Second, Ended: time.Duration(at+1) * time.Second, Kind: k, Code: code}
	}
	for name, c := range map[string]struct {
		h    History
		want string
	}{
		"good":                    {History{Tries: []Try{try("i-1", 1, Answered, 200)}, Done: map[string]int{"e": 1}}, ""},
		"served and not done":     {History{Tries: []Try{try("i-1", 1, Answered, 200)}}, "served is done"},
		"failed and not done":     {History{Tries: []Try{try("i-1", 1, Answered, 502)}}, ""},
		"lost":                    {History{Tries: []Try{try("i-1", 1, Unanswered, 0)}}, "one final answer each"},
		"killed":                  {History{Tries: []Try{try("i-1", 9, Broken, 0)}}, ""},
		"another was killed":      {History{Tries: []Try{try("i-2", 9, Broken, 0)}}, "one final answer each"},
		"long after the kill":     {History{Tries: []Try{try("i-1", 20, Broken, 0)}}, "one final answer each"},
		"clients cut off":         {History{Tries: []Try{try("i-2", 30, Unanswered, 0)}}, ""},
		"a cut between instances": {History{Tries: []Try{try("i-3", 30, Unanswered, 0)}}, "one final answer each"},
		"the rig stood still":     {History{Stalls: []Stall{{0, time.Second}, {30500 * time.Millisecond, 32 * time.Second}}, Tries: []Try{try("i-3", 30, Broken, 0)}}, ""},
		"it stood still before":   {History{Stalls: []Stall{{28 * time.Second, 29 * time.Second}}, Tries: []Try{try("i-3", 30, Broken, 0)}}, "one final answer each"},
		"and all else holds":      {History{Stalls: []Stall{{0, time.Minute}}, Tries: []Try{try("i-1", 1, Answered, 200)}}, "served is done"},
		"left":                    {History{Tries: []Try{try("i-3", 30, Cancelled, 0)}}, ""},
		"twice":                   {History{Tries: []Try{try("i-3", 30, Cancelled, 0)}, Twice: []string{"e"}}, "no effect twice"},
		"twice, and a still rig":  {History{Stalls: []Stall{{30500 * time.Millisecond, 30800 * time.Millisecond}}, Tries: []Try{try("i-3", 30, Cancelled, 0)}, Twice: []string{"e"}}, ""},
		"a moment":                {History{Stalls: []Stall{{30500 * time.Millisecond, 30600 * time.Millisecond}}, Tries: []Try{try("i-3", 30, Cancelled, 0)}, Twice: []string{"e"}}, "no effect twice"},
		"twice, still before":     {History{Stalls: []Stall{{28 * time.Second, 29 * time.Second}}, Tries: []Try{try("i-3", 30, Cancelled, 0)}, Twice: []string{"e"}}, "no effect twice"},
		"broken in a moment":      {History{Stalls: []Stall{{30500 * time.Millisecond, 30800 * time.Millisecond}}, Tries: []Try{try("i-3", 30, Broken, 0)}}, "one final answer each"},
		"copies differ":           {History{Differ: []string{"s-1"}}, "copies converge"},
		"a crash":                 {History{Ends: []string{"i-1"}}, "no crash"},
		"sent before it was told": {History{Drains: drains("i-3", 5, 4)}, ""},
		"sent as it was told":     {History{Drains: drains("i-3", 5, 6)}, ""},
		"sent after it was told":  {History{Drains: drains("i-3", 5, 7)}, "drains honoured"},
		"sent once it was back":   {History{Drains: drains("i-3", 5, 9)}, ""},
		"never told":              {History{Drains: drains("i-3", -1, 7)}, ""},
		"stopped meanwhile":       {History{Drains: drains("i-5", 5, 7)}, ""},
		"its way was cut":         {History{Drains: drains("i-6", 5, 7)}, ""},
		"another's way was cut":   {History{Drains: drains("i-7", 5, 7)}, "drains honoured"},
	} {
		c.h.Schedule = s
		got := c.h.Check()
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0].String(), c.want)) {
			t.Errorf("%s: %v, want %q", name, got, c.want)
		}
	}
}

func TestSum(t *testing.T) {
	h := History{}
	for n := range 100 {
		h.Tries = append(h.Tries, Try{Effect: "e", HasKey: true, Number: n, Instance: []string{"i-1", "i-1", "i-2"}[n%3], Kind: Answered, Code: 200, Ended: time.Duration(n) * time.Millisecond})
	}
	h.Tries = append(h.Tries, Try{Effect: "f", Kind: Cancelled}, Try{Effect: "f", Number: 1, Kind: Answered, Code: 502, Ended: time.Hour})
	s := h.Sum()
	if s.Effects != 2 || s.Tries != 102 || s.Served != 1 || s.Cancelled != 1 || s.ByCode[502] != 1 || s.Elsewhere != 66 || s.Median != 50*time.Millisecond || s.P99 != 99*time.Millisecond {
		t.Errorf("%+v", s)
	}
}
