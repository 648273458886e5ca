package simulation

import (
	"context"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/engine"
)

// startSimulator returns a simulator of a scenario at the start of its run.
func startSimulator(t *testing.T, s *plan.Scenario) *simulator {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sim := newSimulator(s, Options{})
	if err := sim.start(ctx); err != nil {
		t.Fatal(err)
	}
	return sim
}

func TestIdleConnectionIsReusedUntilMaxIdle(t *testing.T) {
	for _, test := range []struct {
		name      string
		idle      time.Duration
		wantReuse bool
		wantOpen  int
	}{
		{"just before", maxIdle - ms, true, 1},
		{"at the limit", maxIdle, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := startSimulator(t, smallFleet(1))
			instance, target := sim.instances[0], &engine.Target{}
			conn := sim.servers[0].accept()
			sim.openConnections++
			instance.putIdle(target, conn)
			sim.now += test.idle
			if got := instance.takeIdle(target); (got == conn) != test.wantReuse {
				t.Errorf("reused %v, want %v", got == conn, test.wantReuse)
			}
			if sim.openConnections != test.wantOpen {
				t.Errorf("%d open connections, want %d", sim.openConnections, test.wantOpen)
			}
		})
	}
}

func TestPruneClosesExpiredConnectionsOnly(t *testing.T) {
	sim := startSimulator(t, smallFleet(1))
	instance, target := sim.instances[0], &engine.Target{}
	expired, fresh := sim.servers[0].accept(), sim.servers[0].accept()
	sim.openConnections += 2
	instance.putIdle(target, expired)
	sim.now += maxIdle
	instance.putIdle(target, fresh)
	instance.Prune()
	if idle := instance.idleConnections[target]; len(idle) != 1 || idle[0] != fresh {
		t.Errorf("%d idle connections, want the one that has not expired", len(idle))
	}
	instance.Retire(target)
	if sim.openConnections != 0 {
		t.Errorf("%d open connections after the target was retired, want 0", sim.openConnections)
	}
}

func TestRotationReplacesOlderConnectionsOnly(t *testing.T) {
	s := smallFleet(1)
	s.Rotations = []plan.Rotation{{From: 5 * time.Second, Until: 15 * time.Second}}
	sim := startSimulator(t, s)
	conn := sim.servers[0].accept()
	conn.spreadPosition = 0.5
	sim.now = 10*time.Second - ms
	if conn.rotatedOut() {
		t.Error("the connection is replaced before its position in the rotation")
	}
	sim.now = 10 * time.Second
	if !conn.rotatedOut() {
		t.Error("the connection is not replaced at its position in the rotation")
	}
	conn.openedAt = 5 * time.Second
	if conn.rotatedOut() {
		t.Error("a connection from after the start of the rotation is replaced")
	}
}

// The endpoint list of a new instance is delayed as much as its notifications, as for the other instances.
func TestNewInstanceGetsDelayedList(t *testing.T) {
	s := smallFleet(1)
	s.Servers[0].Incarnations = append(drainAndEnd(5*time.Second, 9*time.Second), joinAt(12*time.Second))
	sim := startSimulator(t, s)
	server, instance := sim.servers[0], sim.instances[0]
	delay := s.NotificationDelay(0, 0)
	for _, test := range []struct {
		name       string
		at         Time // without the delay
		wantListed bool
		wantState  balancer.State
	}{
		{"running", 5*time.Second - ms, true, balancer.Ready},
		{"draining", 5 * time.Second, true, balancer.Draining},
		{"ended", 9 * time.Second, false, balancer.Draining},
		{"restarted", 12 * time.Second, true, balancer.Ready},
	} {
		sim.now = test.at + delay
		_, state, listed := server.stateFor(instance)
		if listed != test.wantListed {
			t.Errorf("%s: listed %v, want %v", test.name, listed, test.wantListed)
		}
		if state != test.wantState {
			t.Errorf("%s: state %v, want %v", test.name, state, test.wantState)
		}
	}
}
