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

// restartAndTenants is appended to the scenario file of shortScenario.
const restartAndTenants = `
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

// shortScenario returns a scenario of 5 s with a server that fails fast, one that drains and restarts in slow start,
// and the clients of two tenants.
func shortScenario(t *testing.T) *plan.Scenario {
	t.Helper()
	text, err := os.ReadFile("../../../scenarios/failing-fast.toml")
	if err != nil {
		t.Fatal(err)
	}
	shorten := strings.NewReplacer(
		`length = "30s"`, `length = "5s"`,
		`from = "8s"`, `from = "1s"`,
		`until = "22s"`, `until = "3s"`,
		`notice = "2s"`, `notice = "500ms"`,
		`drain_for = "4s"`, `drain_for = "2s"`,
		"rate = 150", "rate = 120",
	)
	file, err := scenario.Parse([]byte(shorten.Replace(string(text)) + restartAndTenants))
	if err != nil {
		t.Fatal(err)
	}
	return file.Plan(0)
}

// A run on sockets receives the same requests as one on virtual time, has a similar score apart from the machine's own
// delays, and has no violation.
func TestResultMatchesVirtualTime(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := shortScenario(t)
	events := map[trace.Kind]int{}
	got, err := Run(context.Background(), s, Options{OnEvent: func(event trace.Event) { events[event.Kind]++ }})
	if err != nil {
		t.Fatal(err)
	}
	want, err := simulation.Run(s, simulation.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if violations := got.Violations(); violations != "" {
		t.Error(violations)
	}
	for i := range s.Classes {
		if got.Classes[i].Requested != want.Classes[i].Requested {
			t.Errorf("class %d: %+v on sockets, %+v on virtual time, want as many requests",
				i, got.Classes[i], want.Classes[i])
		}
	}
	for i := range s.Tenants {
		if got.Tenants[i].Requested != want.Tenants[i].Requested || got.Tenants[i].Requested == 0 {
			t.Errorf("tenant %d: %+v on sockets, %+v on virtual time, want as many requests, above 0",
				i, got.Tenants[i], want.Tenants[i])
		}
	}
	// The bound is wide since tests share the machine. The documentation lists measured differences.
	if score, virtual := s.Score(got), s.Score(want); math.Abs(score-virtual) > 0.15 {
		t.Errorf("score %.3f on sockets, %.3f on virtual time, want a difference of at most 0.15", score, virtual)
	}
	checkEvents(t, events, s, got)
}

// checkEvents checks that the trace has an event for each client attempt, each notification and most attempts.
func checkEvents(t *testing.T, events map[trace.Kind]int, s *plan.Scenario, result *plan.Result) {
	t.Helper()
	attempts := result.ClientAttempts
	if events[trace.KindRequest] != attempts || events[trace.KindResponse] != attempts {
		t.Errorf("event counts %v, want a request and a response for each of %d client attempts", events, attempts)
	}
	if want := 3 * len(s.Instances); events[trace.KindEndpoint] != want {
		t.Errorf("event counts %v, want %d notifications", events, want)
	}
	if events[trace.KindAttempt] < attempts/2 {
		t.Errorf("event counts %v, want attempts for at least half of %d client attempts", events, attempts)
	}
}

func TestRunEndsWithContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := shortScenario(t)
	ctx, cancel := context.WithCancel(context.Background())
	requested := 0
	_, err := Run(ctx, s, Options{OnEvent: func(event trace.Event) {
		if event.Kind != trace.KindRequest {
			return
		}
		requested++
		if requested == 20 {
			cancel()
		}
	}})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v after %d client attempts, want %v", err, requested, context.Canceled)
	}
	if requested > 100 {
		t.Errorf("%d client attempts, want at most 100: the context was cancelled at the 20th", requested)
	}
}

func TestRunRejectsKills(t *testing.T) {
	s := shortScenario(t)
	s.Kills = []plan.Kill{{Instances: []int{0}}}
	if _, err := Run(context.Background(), s, Options{}); !errors.Is(err, ErrKillsUnsupported) {
		t.Errorf("error %v, want %v", err, ErrKillsUnsupported)
	}
}

// A run handles thousands of connections with both ends in one process, without a violation. How many requests are
// served in time depends on the machine and is not checked.
func TestRunHandlesThousandsOfConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := shortScenario(t)
	s.Length = time.Second
	s.Instances = make([]int, 20)
	s.Clients = plan.Clients{Rate: 4000, TimeoutRatio: 1}
	for i := range s.Classes {
		class := &s.Classes[i]
		class.Work, class.CV = 2*time.Second, 0
		class.ClientTimeout = (20 * time.Second).Microseconds()
		class.LatencyObjective = (10 * time.Second).Microseconds()
	}
	for i := range s.Servers {
		server := &s.Servers[i]
		server.Faults, server.Incarnations = nil, plan.AlwaysRunning
		server.Config.Cores, server.Config.Speed = 400, 1 // works on all requests at once
		server.Config.PauseInterval, server.Config.ThrashRatio, server.Config.HandshakeWork = 0, 0, 0
	}
	// The decision module would reject most requests, since it starts without measurements of the fleet.
	newDecider, err := baselines.Named("random", nil)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), s, Options{NewDecider: newDecider})
	if err != nil {
		t.Fatal(err)
	}
	if violations := result.Violations(); result.Connections < 2000 || violations != "" {
		t.Errorf("%d connections at the peak for %d client attempts, %.3f in time, violations %q, want 2000 and none",
			result.Connections, result.ClientAttempts, result.InTime(), violations)
	}
	t.Logf("%d client attempts, %d connections at the peak, %.3f in time",
		result.ClientAttempts, result.Connections, result.InTime())
}
