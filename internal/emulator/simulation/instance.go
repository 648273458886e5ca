package simulation

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"

	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/handshake"
)

// instance is one load balancer instance. It is the engine.Upstream of its engine on virtual time.
type instance struct {
	simulator       *simulator
	number          int
	site            int
	engine          *engine.Engine
	budget          *handshake.Budget                // nil for no limit
	idleConnections map[*engine.Target][]*connection // the most recently used last
	drainingSince   map[int]Time                     // by server: time of the notification of its drain or removal
	openAttempts    map[*clientAttempt]bool          // client attempts without a response
	killed          bool
}

// newInstance creates an instance without state. incarnation is 0 for an instance of the initial
// fleet and the number of the kill, counted from 1, for its replacements.
func (sim *simulator) newInstance(ctx context.Context, number, incarnation int) (*instance, error) {
	n := &instance{
		simulator:       sim,
		number:          number,
		site:            sim.scenario.Instances[number],
		idleConnections: map[*engine.Target][]*connection{},
		drainingSince:   map[int]Time{},
		openAttempts:    map[*clientAttempt]bool{},
	}
	if sim.scenario.Budget != nil {
		budget, err := handshake.New(*sim.scenario.Budget)
		if err != nil {
			return nil, err
		}
		n.budget = budget
	}
	subset, err := sim.scenario.SubsetFor(number)
	if err != nil {
		return nil, err
	}
	n.engine, err = engine.New(ctx, engine.Options{
		Settings:   sim.scenario.SettingsFor(number),
		Seed:       instanceSeed(sim.scenario.Seed, number, incarnation),
		Zones:      sim.scenario.Sites,
		Kinds:      sim.scenario.Kinds,
		Upstream:   n,
		Clock:      sim,
		Subset:     subset,
		NewDecider: sim.options.NewDecider,
		Log:        slog.New(slog.DiscardHandler),
	})
	return n, err
}

// instanceSeed derives the seed of an instance from that of the scenario.
func instanceSeed(seed uint64, number, incarnation int) uint64 {
	return seed<<16 | uint64(incarnation)<<40 | uint64(number)
}

// start starts the engine with the endpoint list that is known at the instance's site.
func (n *instance) start() {
	sim := n.simulator
	n.engine.Start()
	list := engine.List{Complete: true}
	for _, server := range sim.servers {
		incarnation, state, listed := server.stateFor(n)
		if !listed {
			continue
		}
		if state == balancer.Draining {
			n.drainingSince[server.number] = sim.now
		}
		entry := sim.scenario.HostEntry(server.number, incarnation, state, server.address, epoch)
		list.Hosts = append(list.Hosts, entry)
	}
	n.post(func(now balancer.Micros) { n.engine.UpdateEndpoints(now, balancer.ListFull, list) })
}

// kill stops the instance. Its connections are closed, and its clients retry where that is safe.
func (n *instance) kill() {
	n.killed = true
	for _, idle := range n.idleConnections {
		for _, conn := range idle {
			n.closeConnection(conn)
		}
	}
	byNumber := func(a, b *clientAttempt) int { return cmp.Compare(a.request.Number, b.request.Number) }
	for _, attempt := range slices.SortedFunc(maps.Keys(n.openAttempts), byNumber) {
		attempt.finish(plan.CodeDisconnected, 0)
	}
}

// post passes an event to the engine unless the instance was killed.
func (n *instance) post(event func(now balancer.Micros)) {
	if !n.killed {
		n.engine.Post(event)
	}
}

// updateEndpoint applies a change of one server to the instance's endpoint list.
func (n *instance) updateEndpoint(server *server, incarnation plan.Incarnation, state balancer.State) {
	if state == balancer.Ready {
		delete(n.drainingSince, server.number)
	} else if _, known := n.drainingSince[server.number]; !known {
		n.drainingSince[server.number] = n.simulator.now
	}
	entry := n.simulator.scenario.HostEntry(server.number, incarnation, state, server.address, epoch)
	list := engine.List{Hosts: []engine.Host{entry}}
	n.post(func(now balancer.Micros) { n.engine.UpdateEndpoints(now, balancer.ListDelta, list) })
}
