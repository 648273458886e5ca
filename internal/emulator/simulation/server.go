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

// host is one server, in one life after the other.
type host struct {
	play        *play
	spec        *plan.Server
	number      int
	address     string
	machine     *model.Server // nil before its first life
	wakeVersion uint64        // version of the wake-up that counts
	waiting     map[uint64]*call
	overloaded  bool // it fell over in one of its lives
}

// scheduleIncarnations has the server start, drain and end when the scenario says.
func (h *host) scheduleIncarnations() {
	p := h.play
	for _, incarnation := range h.spec.Incarnations {
		p.atTime(incarnation.From, func() {
			p.recordStrain(h)
			h.machine = model.New(h.spec.Config, p.scenario.SeedOf(h.number), p.now, incarnation.From > 0, p.memory, fmt.Sprint(h.spec.Pod), h.spec.Faults)
			if incarnation.From > 0 {
				h.notify(incarnation, balancer.Ready)
			}
		})
		if incarnation.Drain != plan.Never {
			p.atTime(incarnation.Drain, func() { h.notify(incarnation, balancer.Draining) })
		}
		if incarnation.End != plan.Never {
			p.atTime(incarnation.End, func() {
				h.finishRequests(h.machine.Stop(p.now))
				h.notify(incarnation, balancer.Removed)
			})
		}
	}
}

// notify has every instance hear of the server, each with its own delay. What is sent
// later is heard later.
func (h *host) notify(incarnation plan.Incarnation, s balancer.State) {
	p := h.play
	for i := range p.instances {
		p.after(p.scenario.Late(h.number, i), func() {
			n := p.instances[i]
			if s == balancer.Ready {
				delete(n.drainingSince, h.number)
			} else if _, was := n.drainingSince[h.number]; !was {
				n.drainingSince[h.number] = p.now
			}
			p.emit(trace.Event{Kind: trace.KindEndpoint, Instance: n.number + 1, Server: h.number + 1, Code: int(s)})
			list := engine.List{Hosts: []engine.Host{p.scenario.Entry(h.number, incarnation, s, h.address, epoch)}}
			n.post(func(now balancer.Micros) { n.engine.UpdateEndpoints(now, balancer.ListDelta, list) })
		})
	}
}

// stateFor is the server's state as an instance that polls now gets it, as late as it hears of all else.
func (h *host) stateFor(n *instance) (incarnation plan.Incarnation, state balancer.State, ok bool) {
	at := h.play.now - h.play.scenario.Late(h.number, n.number)
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
func (h *host) connect() *conn {
	if h.machine == nil {
		return nil
	}
	ok := h.machine.Connect(h.play.now)
	h.schedule()
	if !ok {
		return nil
	}
	h.play.totalConns++
	return &conn{host: h, machine: h.machine, opened: h.play.now, part: validate.SpreadPosition(h.play.totalConns)}
}

// arrive takes an attempt's request.
func (h *host) arrive(c *call, t *plan.Try) {
	h.waiting[c.number] = c
	h.finishRequests(h.machine.Arrive(h.play.now, model.Request{Number: c.number, Work: t.Work, Class: t.Class, Key: t.Key, Subject: t.Subject}))
	h.schedule()
}

// schedule has the machine looked at when it next has something to say.
func (h *host) schedule() {
	if h.machine.Fallen() != model.Never && !h.overloaded {
		h.overloaded = true
		h.play.emit(trace.Event{Kind: trace.KindCollapse, Server: h.number + 1})
	}
	h.wakeVersion++
	version, at := h.wakeVersion, h.machine.Next()
	if at == model.Never {
		return
	}
	h.play.atTime(at, func() {
		if version == h.wakeVersion {
			h.finishRequests(h.machine.Advance(h.play.now))
			h.schedule()
		}
	})
}

// statusByOutcome are what an instance makes of how a request ended.
var statusByOutcome = map[model.Outcome]balancer.Status{model.Served: balancer.OK, model.Repeated: balancer.OK, model.Failed: balancer.Error,
	model.Rejected: balancer.Full, model.ConnectionFailed: balancer.Reset}

// finishRequests has the machine's ended requests answered.
func (h *host) finishRequests(all []model.Ended) {
	for _, e := range all {
		c := h.waiting[e.Number]
		delete(h.waiting, e.Number)
		if c == nil || e.Outcome == model.Unanswered {
			continue
		}
		res := engine.Result{Status: statusByOutcome[e.Outcome]}
		if e.Outcome != model.ConnectionFailed {
			eps, queue := h.machine.Report(h.play.now)
			res.Load = []float32{float32(eps), float32(queue)}
		}
		h.reply(c, res)
	}
}

// reply has a call's end be at its instance one way later.
func (h *host) reply(c *call, res engine.Result) {
	h.play.after(c.latency(), func() { c.finish(res) })
}
