package scenario

import (
	"slices"
	"testing"
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
)

// fleetText is a valid scenario of four servers and two instances, without faults.
const fleetText = `
version = 1
name = "four"
seed = 3
length = "60s"
sites = ["a", "b"]
[clients]
rate = 10.0
[list]
drain_for = "4s"
[[instances]]
site = "a"
count = 2
[[class]]
name = "read"
repeat = "safe"
aim = "600ms"
deadline = "3s"
worth = 1.0
share = 1.0
work = "100ms"
[[machine]]
name = "box"
cores = 2
speed = 1.0
[[servers]]
machine = "box"
site = "a"
count = 2
[[servers]]
machine = "box"
site = "b"
count = 2
`

// planWith returns the plan of the scenario fleetText with one more fault.
func planWith(t *testing.T, fault string) *plan.Scenario {
	t.Helper()
	file, err := Parse([]byte(fleetText + "[[trouble]]\n" + fault))
	if err != nil {
		t.Fatal(err)
	}
	return file.Plan(0)
}

func TestPlanSeedReplacesFileSeed(t *testing.T) {
	file, err := Parse([]byte(fleetText))
	if err != nil {
		t.Fatal(err)
	}
	if got := file.Plan(0).Seed; got != 3 {
		t.Errorf("seed %d with no seed given, want 3, the seed of the file", got)
	}
	if got := file.Plan(8).Seed; got != 8 {
		t.Errorf("seed %d with seed 8 given, want 8", got)
	}
}

func TestServerFaultAffectsItsRatioOfServers(t *testing.T) {
	s := planWith(t, `kind = "slow"
from = "1s"
until = "2s"
part = 0.5
factor = 3.0`)
	want := model.Fault{From: time.Second, Until: 2 * time.Second, SlowdownFactor: 3}
	affected := 0
	for _, server := range s.Servers {
		if len(server.Faults) == 0 {
			continue
		}
		affected++
		if !slices.Equal(server.Faults, []model.Fault{want}) {
			t.Errorf("server with the faults %+v, want %+v", server.Faults, want)
		}
	}
	if affected != 2 {
		t.Errorf("%d servers are affected, want 2 of 4", affected)
	}
}

func TestSiteOutageAffectsServersOfSite(t *testing.T) {
	s := planWith(t, `kind = "cut_off"
from = "1s"
until = "2s"
site = "b"`)
	for i, server := range s.Servers {
		unresponsive := len(server.Faults) == 1 && server.Faults[0].Unresponsive
		if want := server.Site == 1; unresponsive != want {
			t.Errorf("server %d on site %d: unresponsive %v, want %v", i, server.Site, unresponsive, want)
		}
	}
}

func TestRollingRestartDrainsServersInTurn(t *testing.T) {
	s := planWith(t, `kind = "restart"
from = "10s"
until = "30s"
part = 1.0
gap = "2s"`)
	var drains []time.Duration
	for i, server := range s.Servers {
		if len(server.Incarnations) != 2 {
			t.Fatalf("server %d has the incarnations %+v, want 2", i, server.Incarnations)
		}
		first, second := server.Incarnations[0], server.Incarnations[1]
		if first.End != first.Drain+4*time.Second || second.From != first.End+2*time.Second {
			t.Errorf("server %d has the incarnations %+v, want a drain of 4 s and a gap of 2 s", i, server.Incarnations)
		}
		drains = append(drains, first.Drain)
	}
	slices.Sort(drains)
	want := []time.Duration{10 * time.Second, 15 * time.Second, 20 * time.Second, 25 * time.Second}
	if !slices.Equal(drains, want) {
		t.Errorf("drains start at %v, want %v", drains, want)
	}
}

func TestCrashRestartsServersAfterGap(t *testing.T) {
	s := planWith(t, `kind = "crash"
from = "10s"
part = 1.0
gap = "3s"`)
	want := []plan.Incarnation{
		{Drain: plan.Never, End: 10 * time.Second},
		{From: 13 * time.Second, Drain: plan.Never, End: plan.Never},
	}
	for i, server := range s.Servers {
		if !slices.Equal(server.Incarnations, want) {
			t.Errorf("server %d has the incarnations %+v, want %+v", i, server.Incarnations, want)
		}
	}
	if !slices.Equal(plan.AlwaysRunning, []plan.Incarnation{{Drain: plan.Never, End: plan.Never}}) {
		t.Errorf("the crash changed plan.AlwaysRunning to %+v", plan.AlwaysRunning)
	}
}
