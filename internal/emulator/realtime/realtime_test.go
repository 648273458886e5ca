package realtime

import (
	"context"
	"errors"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/scenario"
	"pinedale/internal/emulator/simulation"
	"pinedale/internal/emulator/trace"
)

// morning is a short scenario with faults of each kind that sockets carry: a server
// that fails fast, one that drains and comes back cold, clients of two tenants.
func morning(t *testing.T) *plan.Scenario {
	t.Helper()
	text, err := os.ReadFile("../../../scenarios/failing-fast.toml")
	if err != nil {
		t.Fatal(err)
	}
	file := strings.NewReplacer(`length = "30s"`, `length = "5s"`, `from = "8s"`, `from = "1s"`, `until = "22s"`, `until = "3s"`,
		`notice = "2s"`, `notice = "500ms"`, `drain_for = "4s"`, `drain_for = "2s"`, "rate = 150", "rate = 120").Replace(string(text)) + `
[[trouble]]
kind = "restart"
from = "1s"
until = "2s"
part = 0.1
gap = "200ms"
[[tenant]]
name = "stall"
load = 0.6
allowance = 100
[[tenant]]
name = "shop"
load = 0.4
allowance = 50
`
	f, err := scenario.Parse([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	return f.Plan(0)
}

// On sockets a scenario plays as on virtual time: the same is asked, the same is
// served but for what the machine's own delays cost, and no rule is broken.
func TestAsOnVirtualTime(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := morning(t)
	kinds := map[string]int{}
	got, err := Run(context.Background(), s, Options{Watch: func(e trace.Event) { kinds[e.Kind]++ }})
	if err != nil {
		t.Fatal(err)
	}
	want, err := simulation.Run(s, simulation.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if reason := got.Violations(); reason != "" {
		t.Error(reason)
	}
	for i := range s.Classes {
		if got.Classes[i].Requested != want.Classes[i].Requested {
			t.Errorf("class %d: %+v, virtual %+v", i, got.Classes[i], want.Classes[i])
		}
	}
	for i := range s.Tenants {
		if got.Tenants[i].Requested != want.Tenants[i].Requested || got.Tenants[i].Requested == 0 {
			t.Errorf("tenant %d: %+v, virtual %+v", i, got.Tenants[i], want.Tenants[i])
		}
	}
	// The bound is wide: tests share the machine. What is measured is in the docs.
	if a, b := s.Score(got), s.Score(want); math.Abs(a-b) > 0.15 {
		t.Errorf("G %.3f, virtual %.3f", a, b)
	}
	if kinds[trace.KindRequest] != got.ClientAttempts || kinds[trace.KindResponse] != got.ClientAttempts || kinds[trace.KindEndpoint] != 3*len(s.Instances) || kinds[trace.KindAttempt] < got.ClientAttempts/2 {
		t.Errorf("told of %v, %d tries", kinds, got.ClientAttempts)
	}
}

// A play that is ended leaves nothing behind.
func TestEndedBefore(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := morning(t)
	ctx, cancel := context.WithCancel(context.Background())
	requested := 0
	if _, err := Run(ctx, s, Options{Watch: func(e trace.Event) {
		if e.Kind == trace.KindRequest {
			if requested++; requested == 20 {
				cancel()
			}
		}
	}}); !errors.Is(err, context.Canceled) {
		t.Errorf("%v after %d tries", err, requested)
	}
	if requested > 100 {
		t.Errorf("%d tries", requested)
	}
}

// Thousands of connections, in one process for both sides: they come up, nothing is lost and no rule is
// broken. How much comes in time is the machine's, and is not asked here.
func TestThousandsOfConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := morning(t)
	s.Length = time.Second
	s.Instances = make([]int, 20)
	s.Clients = plan.Clients{Rate: 4000, TimeoutRatio: 1}
	for i := range s.Classes {
		s.Classes[i].Work, s.Classes[i].CV, s.Classes[i].ClientTimeout, s.Classes[i].LatencyObjective = 2*time.Second, 0, 20_000_000, 10_000_000
	}
	for i := range s.Servers {
		c := &s.Servers[i].Config
		c.Cores, c.Speed, c.PauseInterval, c.ThrashRatio, c.HandshakeWork = 400, 1, 0, 0, 0 // all at once
		s.Servers[i].Faults, s.Servers[i].Incarnations = nil, plan.Always
	}
	// What is shown is what the hosts bear: the module would refuse most of it, not
	// having seen the fleet serve.
	decide, err := baselines.Named("random", nil)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), s, Options{Decide: decide})
	if err != nil {
		t.Fatal(err)
	}
	if reason := r.Violations(); r.Connections < 2000 || reason != "" {
		t.Errorf("%d connections at most for %d tries, %.3f in time %s", r.Connections, r.ClientAttempts, r.InTime(), reason)
	}
	t.Logf("%d tries, %d connections at most, %.3f in time", r.ClientAttempts, r.Connections, r.InTime())
}
