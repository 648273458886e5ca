package simulation

import (
	"context"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/trace"
	"pinedale/internal/engine"
)

// probeTimeout is how long an instance waits for the response to a load probe.
const probeTimeout = 400 * time.Millisecond

// NewCarrier is not used: each clientAttempt is its own carrier.
func (n *instance) NewCarrier(*engine.Message) engine.Carrier { return nil }

// Probe sends a load probe to a server.
func (n *instance) Probe(_ context.Context, target *engine.Target, done func(engine.Result)) {
	sim := n.simulator
	if n.killed {
		return
	}
	sim.result.Probes++
	server := sim.serverByAddress[target.Address]
	probe := &call{
		instance: n,
		server:   server,
		target:   target,
		deadline: sim.now + probeTimeout,
		probe:    true,
	}
	probe.onArrival = func() { server.answerProbe(probe) }
	probe.onResult = func(result engine.Result) {
		result.Duration = sim.now - probe.startedAt
		done(result)
	}
	sim.after(0, probe.start)
}

// Send starts an attempt at a server.
func (a *clientAttempt) Send(attempt *engine.Attempt) {
	sim, instance := a.simulator, a.instance
	if instance.killed { // a timer of its engine fired
		attempt.Abort = func() {}
		return
	}
	server := sim.serverByAddress[attempt.Target.Address]
	sim.result.RecordAttempt(server.number, sim.now)
	instance.checkDrainGrace(server)
	event := trace.Event{
		Kind:     trace.KindAttempt,
		Number:   a.request.Number,
		Try:      a.number,
		Attempt:  attempt.Number + 1,
		Instance: instance.number + 1,
		Server:   server.number + 1,
	}
	sim.emit(event)
	sim.attempts++
	c := &call{
		instance: instance,
		server:   server,
		target:   attempt.Target,
		number:   sim.attempts,
		deadline: attempt.DeadlineTime().Sub(epoch),
	}
	c.onArrival = func() { server.arrive(c, a.request) }
	c.onResult = func(result engine.Result) {
		event.Kind, event.Code = trace.KindAttemptEnd, int(result.Status)
		sim.emit(event)
		attempt.PostResult(result)
	}
	attempt.Abort = func() {
		sim.after(0, func() { c.abort(balancer.Cancelled) })
	}
	sim.after(0, c.start)
}

// Cancel aborts an attempt. The server continues its work.
func (a *clientAttempt) Cancel(attempt *engine.Attempt) { attempt.Abort() }

// checkDrainGrace records a violation if an attempt goes to a server whose drain grace is over.
func (n *instance) checkDrainGrace(server *server) {
	sim := n.simulator
	grace := time.Duration(sim.scenario.Settings.Contract.DrainGrace) * time.Microsecond
	since, draining := n.drainingSince[server.number]
	if draining && sim.now > since+grace {
		sim.result.SentAfterDrain++
	}
}
