package simulation

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/handshake"
)

// instance is one instance, which is its engine's upstream on virtual time.
type instance struct {
	simulator       *simulator
	number          int
	site            int
	engine          *engine.Engine
	idleConnections map[*engine.Target][]*connection // the latest used last
	drainingSince   map[int]Time                     // since when it knows of a drain or an end, by server
	budget          *handshake.Budget                // of handshakes; nil for none
	openAttempts    map[*clientAttempt]bool          // without their end
	killed          bool
}

// newInstance makes one that knows nothing; incarnation counts how often it was killed.
func (p *simulator) newInstance(ctx context.Context, i, incarnation int) (n *instance, err error) {
	n = &instance{simulator: p, number: i, site: p.scenario.Instances[i], idleConnections: map[*engine.Target][]*connection{}, drainingSince: map[int]Time{}, openAttempts: map[*clientAttempt]bool{}}
	if p.scenario.Budget != nil {
		if n.budget, err = handshake.New(*p.scenario.Budget); err != nil {
			return nil, err
		}
	}
	part, err := p.scenario.SubsetFor(i)
	if err != nil {
		return nil, err
	}
	n.engine, err = engine.New(ctx, engine.Options{Settings: p.scenario.SettingsFor(i), Seed: p.scenario.Seed<<16 | uint64(incarnation)<<40 | uint64(i), Zones: p.scenario.Sites, Kinds: p.scenario.Kinds,
		Upstream: n, Clock: p, Subset: part, NewDecider: p.options.Decide, Log: slog.New(slog.DiscardHandler)})
	return n, err
}

// start begins an instance's life with the list as it is known where it stands.
func (n *instance) start() {
	p := n.simulator
	n.engine.Start()
	list := engine.List{Complete: true}
	for _, h := range p.servers {
		incarnation, state, ok := h.stateFor(n)
		if !ok {
			continue
		}
		if state == balancer.Draining {
			n.drainingSince[h.number] = p.now
		}
		list.Hosts = append(list.Hosts, p.scenario.HostEntry(h.number, incarnation, state, h.address, epoch))
	}
	n.post(func(now balancer.Micros) { n.engine.UpdateEndpoints(now, balancer.ListFull, list) })
}

// kill ends an instance: its connections break, and clients with a request there come again where that is safe.
func (n *instance) kill() {
	n.killed = true
	for _, list := range n.idleConnections {
		for _, c := range list {
			n.close(c)
		}
	}
	open := slices.SortedFunc(maps.Keys(n.openAttempts), func(a, b *clientAttempt) int { return cmp.Compare(a.request.Number, b.request.Number) })
	for _, r := range open {
		r.end(plan.CodeDisconnected, 0)
	}
}

// post hands an event to the engine, unless the instance has been killed.
func (n *instance) post(event func(now balancer.Micros)) {
	if !n.killed {
		n.engine.Post(event)
	}
}

// probeTimeout is how long an instance waits for a probe's answer.
const probeTimeout = 400 * time.Millisecond

// NewCarrier is not used: requests are their own carriers.
func (n *instance) NewCarrier(*engine.Message) engine.Carrier { return nil }

// Probe asks a server for its load.
func (n *instance) Probe(_ context.Context, t *engine.Target, done func(engine.Result)) {
	p := n.simulator
	if n.killed {
		return
	}
	p.result.Probes++
	h := p.serverByAddress[t.Address]
	c := &call{instance: n, server: h, target: t, deadline: p.now + probeTimeout, probe: true}
	c.onArrival = func() {
		if eps, queue, ok := h.machine.Probe(p.now); ok {
			h.reply(c, engine.Result{Status: balancer.OK, Load: []float32{float32(eps), float32(queue)}})
			h.schedule()
		}
	}
	c.onResult = func(res engine.Result) {
		res.Duration = p.now - c.startedAt
		done(res)
	}
	p.after(0, c.start)
}

// Send starts an attempt: the request is its own carrier.
func (r *clientAttempt) Send(a *engine.Attempt) {
	p, n := r.simulator, r.instance
	if n.killed { // what its timers ask for
		a.Abort = func() {}
		return
	}
	h := p.serverByAddress[a.Target.Address]
	p.result.RecordAttempt(h.number, p.now)
	if since, ok := n.drainingSince[h.number]; ok && p.now > since+time.Duration(p.scenario.Settings.Contract.DrainGrace)*time.Microsecond {
		p.result.SentAfterDrain++
	}
	e := trace.Event{Number: r.request.Number, Try: r.number, Attempt: a.Number + 1, Instance: n.number + 1, Server: h.number + 1}
	e.Kind = trace.KindAttempt
	p.emit(e)
	p.attempts++
	c := &call{instance: n, server: h, target: a.Target, number: p.attempts, deadline: a.DeadlineTime().Sub(epoch)}
	c.onArrival = func() { h.arrive(c, r.request) }
	c.onResult = func(res engine.Result) {
		e.Kind, e.Code = trace.KindAttemptEnd, int(res.Status)
		p.emit(e)
		a.PostResult(res)
	}
	a.Abort = func() { p.after(0, func() { c.stop(balancer.Cancelled) }) }
	p.after(0, c.start)
}

// Cancel gives an attempt up; the server works on.
func (r *clientAttempt) Cancel(a *engine.Attempt) { a.Abort() }
