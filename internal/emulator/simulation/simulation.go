// Package simulation runs a scenario on virtual time: clients, the real engine and decision module of each instance,
// the network between instances and servers, and emulated servers. No part waits for a clock or a socket, so that a
// simulated minute of a fleet takes a fraction of a second, and the same seed gives the same result.
package simulation

import (
	"context"
	"fmt"
	"time"

	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
)

// Time is virtual time since the start of a run.
type Time = plan.Time

// Options configure one run.
type Options struct {
	NewDecider baselines.NewDecider // creates the deciders of the engines; nil for the decision module
	OnEvent    func(trace.Event)    // called with every event of the trace; may be nil
	OnProgress func(Time)           // called each virtual second; may be nil
}

// simulator holds the state of one run. It has a single goroutine, which executes scheduled events one after the other.
type simulator struct {
	scenario *plan.Scenario
	options  Options
	result   *plan.Result
	workload *plan.Workload
	dedup    *model.DedupStore // shared by all servers
	err      error             // ends the run

	now      Time
	sequence uint64 // number of the event scheduled last
	queue    eventQueue

	servers           []*server
	serverByAddress   map[string]*server
	instances         []*instance
	attempts          uint64 // started so far
	openConnections   int
	connectionsOpened uint64 // since the start of the run
}

// settleDuration is how long a run continues after the last new request. It is ample time for all responses to arrive
// and for the servers to complete their work.
const settleDuration = time.Minute

// tickInterval is the interval at which engines prune idle connections.
const tickInterval = time.Second

// Run runs a scenario to its end.
func Run(s *plan.Scenario, o Options) (*plan.Result, error) {
	return newSimulator(s, o).run()
}

func newSimulator(s *plan.Scenario, o Options) *simulator {
	return &simulator{
		scenario:        s,
		options:         o,
		result:          s.NewResult(),
		workload:        s.Workload(),
		dedup:           s.NewDedupStore(),
		serverByAddress: map[string]*server{},
	}
}

func (sim *simulator) run() (*plan.Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := sim.start(ctx); err != nil {
		return nil, err
	}
	for i, kill := range sim.scenario.Kills {
		sim.at(kill.At, func() { sim.killInstances(ctx, kill.Instances, i+1) })
	}
	sim.scheduleArrival()
	end := sim.scenario.Length + settleDuration
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		sim.step()
		if sim.err != nil {
			return nil, sim.err
		}
	}
	sim.completeResult()
	return sim.result, nil
}

// start creates the servers and instances, and starts all instances and the servers of the initial fleet.
func (sim *simulator) start(ctx context.Context) error {
	for i := range sim.scenario.Servers {
		server := &server{
			simulator: sim,
			spec:      &sim.scenario.Servers[i],
			number:    i,
			address:   fmt.Sprintf("server-%d:80", i+1),
			pending:   map[uint64]*call{},
		}
		sim.servers = append(sim.servers, server)
		sim.serverByAddress[server.address] = server
	}
	for i := range sim.scenario.Instances {
		instance, err := sim.newInstance(ctx, i, 0)
		if err != nil {
			return err
		}
		sim.instances = append(sim.instances, instance)
	}
	for _, server := range sim.servers {
		server.scheduleIncarnations()
	}
	sim.tick()
	for len(sim.queue) > 0 && sim.queue[0].at == 0 { // starts of the initial fleet's servers
		sim.step()
	}
	for _, instance := range sim.instances {
		instance.start()
	}
	return nil
}

// killInstances stops instances and replaces each of them by one without state.
func (sim *simulator) killInstances(ctx context.Context, numbers []int, incarnation int) {
	for _, number := range numbers {
		sim.instances[number].kill()
		replacement, err := sim.newInstance(ctx, number, incarnation)
		if err != nil {
			sim.err = err
			return
		}
		sim.instances[number] = replacement
		replacement.start()
	}
}

// tick reports the progress of the run and ticks all engines, every tickInterval until the end of the scenario.
func (sim *simulator) tick() {
	if sim.options.OnProgress != nil {
		sim.options.OnProgress(sim.now)
	}
	for _, instance := range sim.instances {
		instance.engine.Tick()
	}
	if sim.now < sim.scenario.Length {
		sim.after(tickInterval, sim.tick)
	}
}

// completeResult adds the values that are known only at the end of the run.
func (sim *simulator) completeResult() {
	sim.result.DuplicateEffects = len(sim.dedup.DuplicateEffects())
	for _, server := range sim.servers {
		server.recordPeakOverload()
		if server.collapsed {
			sim.result.Collapsed = append(sim.result.Collapsed, server.number)
		}
	}
}

// emit passes an event of the trace to Options.OnEvent.
func (sim *simulator) emit(event trace.Event) {
	if sim.options.OnEvent != nil {
		event.At = sim.now.Microseconds()
		sim.options.OnEvent(event)
	}
}
