package simulation

import (
	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
)

// notifyInstances notifies every instance of a new state of the server, each after its own delay. The delay of an
// instance is the same for all states, so that its notifications arrive in order.
func (s *server) notifyInstances(incarnation plan.Incarnation, state balancer.State) {
	sim := s.simulator
	for i := range sim.instances {
		sim.after(sim.scenario.NotificationDelay(s.number, i), func() {
			sim.emit(trace.Event{
				Kind:     trace.KindEndpoint,
				Instance: i + 1,
				Server:   s.number + 1,
				Code:     int(state),
			})
			sim.instances[i].updateEndpoint(s, incarnation, state)
		})
	}
}

// stateFor returns the state of the server in the endpoint list that an instance receives now. The list is delayed as
// much as the instance's notifications.
func (s *server) stateFor(n *instance) (incarnation plan.Incarnation, state balancer.State, listed bool) {
	at := s.simulator.now - s.simulator.scenario.NotificationDelay(s.number, n.number)
	for _, candidate := range s.spec.Incarnations {
		if candidate.From > 0 && candidate.From > at {
			break
		}
		incarnation = candidate
		listed = candidate.End == plan.Never || at < candidate.End
		state = balancer.Ready
		if candidate.Drain != plan.Never && at >= candidate.Drain {
			state = balancer.Draining
		}
	}
	return incarnation, state, listed
}
