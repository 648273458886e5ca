// Package simulation runs a scenario on virtual time: clients, the real engine and decision
// module of each instance, the way between, connections, and emulated servers. Nothing
// waits for a clock or a socket, so a minute of a fleet takes a fraction of a second,
// and the same seed gives the same answers.
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

// Time is virtual.
type Time = plan.Time

// Options are of one play.
type Options struct {
	Decide   baselines.Decide  // in place of the decision module
	Watch    func(trace.Event) // is told all that is asked, decided and answered
	Progress func(Time)        // is called each virtual second
}

// simulator is one run. It has one goroutine: all is done by events, one after the other.
type simulator struct {
	scenario          *plan.Scenario
	options           Options
	now               Time
	seq               uint64 // of the event added last
	queue             queue
	dedup             *model.DedupStore // of all servers
	servers           []*server
	serverByAddress   map[string]*server
	instances         []*instance
	attempts          uint64 // started so far
	openConnections   int
	connectionsOpened uint64 // opened since the start
	script            *plan.Workload
	result            *plan.Result
	err               error // that ends the play
}

// settleDuration is how long a play goes on after the last first try: all is answered and
// its servers' work done well within this time.
const settleDuration = time.Minute

// Run plays a scenario. Its error is one of the scenario.
func Run(s *plan.Scenario, o Options) (*plan.Result, error) {
	return runWith(s, o, func(*simulator) {})
}

// runWith hands the play to made before it begins.
func runWith(s *plan.Scenario, o Options, made func(*simulator)) (*plan.Result, error) {
	p := &simulator{scenario: s, options: o, dedup: s.NewDedupStore(), serverByAddress: map[string]*server{}, script: s.Workload(), result: s.NewResult()}
	made(p)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	for n, k := range s.Kills {
		p.at(k.At, func() { p.kill(ctx, k.Instances, n+1) })
	}
	p.scheduleArrival()
	for end := s.Length + settleDuration; len(p.queue) > 0 && p.queue[0].at <= end; {
		if p.step(); p.err != nil {
			return nil, p.err
		}
	}
	p.result.DuplicateEffects = len(p.dedup.DuplicateEffects())
	for _, h := range p.servers {
		p.recordStrain(h)
		if h.overloaded {
			p.result.Collapsed = append(p.result.Collapsed, h.number)
		}
	}
	return p.result, nil
}

// start makes servers and instances, and starts all that is there from the beginning.
func (p *simulator) start(ctx context.Context) error {
	for i := range p.scenario.Servers {
		h := &server{simulator: p, spec: &p.scenario.Servers[i], number: i, address: fmt.Sprintf("server-%d:80", i+1), pending: map[uint64]*call{}}
		p.servers = append(p.servers, h)
		p.serverByAddress[h.address] = h
	}
	for i := range p.scenario.Instances {
		n, err := p.newInstance(ctx, i, 0)
		if err != nil {
			return err
		}
		p.instances = append(p.instances, n)
	}
	for _, h := range p.servers {
		h.scheduleIncarnations()
	}
	p.tick()
	for len(p.queue) > 0 && p.queue[0].at == 0 { // servers that were there before
		p.step()
	}
	for _, n := range p.instances {
		n.start()
	}
	return nil
}

// kill ends instances and starts each again as one that knows nothing.
func (p *simulator) kill(ctx context.Context, instances []int, incarnation int) {
	for _, i := range instances {
		p.instances[i].kill()
		n, err := p.newInstance(ctx, i, incarnation)
		if err != nil {
			p.err = err
			return
		}
		p.instances[i] = n
		n.start()
	}
}

// recordStrain counts how near a life of a server has come to its fall.
func (p *simulator) recordStrain(h *server) {
	if h.machine != nil {
		p.result.PeakStrain = max(p.result.PeakStrain, h.machine.Strain())
	}
}

// tick is called each second: instances let go of idle connections.
func (p *simulator) tick() {
	if p.options.Progress != nil {
		p.options.Progress(p.now)
	}
	for _, n := range p.instances {
		n.engine.Tick()
	}
	if p.now < p.scenario.Length {
		p.after(time.Second, p.tick)
	}
}
