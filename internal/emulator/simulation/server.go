package simulation

import (
	"fmt"

	"pinedale/balancer"
	"pinedale/internal/certstore/validate"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
	"pinedale/internal/engine"
)

// server is one server, in one life after the other.
type server struct {
	simulator   *simulator
	spec        *plan.Server
	number      int
	address     string
	machine     *model.Server // nil before its first life
	wakeVersion uint64        // version of the wake-up that counts
	pending     map[uint64]*call
	overloaded  bool // it fell over in one of its lives
}

// scheduleIncarnations has the server start, drain and end when the scenario says.
func (h *server) scheduleIncarnations() {
	p := h.simulator
	for _, incarnation := range h.spec.Incarnations {
		p.at(incarnation.From, func() {
			p.recordStrain(h)
			h.machine = model.New(h.spec.Config, p.scenario.ServerSeed(h.number), p.now, incarnation.From > 0, p.dedup, fmt.Sprint(h.spec.Pod), h.spec.Faults)
			if incarnation.From > 0 {
				h.notify(incarnation, balancer.Ready)
			}
		})
		if incarnation.Drain != plan.Never {
			p.at(incarnation.Drain, func() { h.notify(incarnation, balancer.Draining) })
		}
		if incarnation.End != plan.Never {
			p.at(incarnation.End, func() {
				h.finishRequests(h.machine.Stop(p.now))
				h.notify(incarnation, balancer.Removed)
			})
		}
	}
}

// notify has every instance hear of the server, each with its own delay. What is sent
// later is heard later.
func (h *server) notify(incarnation plan.Incarnation, s balancer.State) {
	p := h.simulator
	for i := range p.instances {
		p.after(p.scenario.NotificationDelay(h.number, i), func() {
			n := p.instances[i]
			if s == balancer.Ready {
				delete(n.drainingSince, h.number)
			} else if _, was := n.drainingSince[h.number]; !was {
				n.drainingSince[h.number] = p.now
			}
			p.emit(trace.Event{Kind: trace.KindEndpoint, Instance: n.number + 1, Server: h.number + 1, Code: int(s)})
			list := engine.List{Hosts: []engine.Host{p.scenario.HostEntry(h.number, incarnation, s, h.address, epoch)}}
			n.post(func(now balancer.Micros) { n.engine.UpdateEndpoints(now, balancer.ListDelta, list) })
		})
	}
}

// stateFor is the server's state as an instance that polls now gets it, as late as it hears of all else.
func (h *server) stateFor(n *instance) (incarnation plan.Incarnation, state balancer.State, ok bool) {
	at := h.simulator.now - h.simulator.scenario.NotificationDelay(h.number, n.number)
	for _, l := range h.spec.Incarnations {
		if l.From > 0 && l.From > at {
			break
		}
		incarnation, ok = l, l.End == plan.Never || at < l.End
		if state = balancer.Ready; l.Drain != plan.Never && at >= l.Drain {
			state = balancer.Draining
		}
	}
	return incarnation, state, ok
}

// connect opens a connection; nil where there is none to be had.
func (h *server) connect() *connection {
	if h.machine == nil {
		return nil
	}
	ok := h.machine.Connect(h.simulator.now)
	h.schedule()
	if !ok {
		return nil
	}
	h.simulator.connectionsOpened++
	return &connection{server: h, machine: h.machine, openedAt: h.simulator.now, spreadPosition: validate.SpreadPosition(h.simulator.connectionsOpened)}
}

// arrive takes an attempt's request.
func (h *server) arrive(c *call, t *plan.Request) {
	h.pending[c.number] = c
	h.finishRequests(h.machine.Arrive(h.simulator.now, model.Request{Number: c.number, Work: t.Work, Class: t.Class, Key: t.Key, AffinityKey: t.AffinityKey}))
	h.schedule()
}

// schedule has the machine looked at when it next has something to say.
func (h *server) schedule() {
	if h.machine.CollapsedAt() != model.Never && !h.overloaded {
		h.overloaded = true
		h.simulator.emit(trace.Event{Kind: trace.KindCollapse, Server: h.number + 1})
	}
	h.wakeVersion++
	version, at := h.wakeVersion, h.machine.NextEvent()
	if at == model.Never {
		return
	}
	h.simulator.at(at, func() {
		if version == h.wakeVersion {
			h.finishRequests(h.machine.Advance(h.simulator.now))
			h.schedule()
		}
	})
}

// statusByOutcome are what an instance makes of how a request ended.
var statusByOutcome = map[model.Outcome]balancer.Status{model.Served: balancer.OK, model.Deduplicated: balancer.OK, model.Failed: balancer.Error,
	model.Rejected: balancer.Full, model.ConnectionFailed: balancer.Reset}

// finishRequests has the machine's ended requests answered.
func (h *server) finishRequests(all []model.Completion) {
	for _, e := range all {
		c := h.pending[e.Number]
		delete(h.pending, e.Number)
		if c == nil || e.Outcome == model.Unanswered {
			continue
		}
		res := engine.Result{Status: statusByOutcome[e.Outcome]}
		if e.Outcome != model.ConnectionFailed {
			eps, queue := h.machine.LoadReport(h.simulator.now)
			res.Load = []float32{float32(eps), float32(queue)}
		}
		h.reply(c, res)
	}
}

// reply has a call's end be at its instance one way later.
func (h *server) reply(c *call, res engine.Result) {
	h.simulator.after(c.latency(), func() { c.finish(res) })
}
