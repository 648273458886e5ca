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

// server is one server of the scenario. It runs one process after the other, one for each of its incarnations.
type server struct {
	simulator   *simulator
	spec        *plan.Server
	number      int
	address     string
	machine     *model.Server // the current process; nil before the first
	wakeVersion uint64        // number of the wake-up scheduled last; earlier ones have no effect
	pending     map[uint64]*call
	collapsed   bool // at least one incarnation has collapsed
}

// running reports whether the server has a process that accepts connections.
func (s *server) running() bool { return s.machine != nil && !s.machine.Down() }

// scheduleIncarnations schedules the starts, drains and ends of the server's processes.
func (s *server) scheduleIncarnations() {
	sim := s.simulator
	for _, incarnation := range s.spec.Incarnations {
		sim.at(incarnation.From, func() { s.startProcess(incarnation) })
		if incarnation.Drain != plan.Never {
			sim.at(incarnation.Drain, func() { s.notifyInstances(incarnation, balancer.Draining) })
		}
		if incarnation.End != plan.Never {
			sim.at(incarnation.End, func() {
				s.complete(s.machine.Stop(sim.now))
				s.notifyInstances(incarnation, balancer.Removed)
			})
		}
	}
}

// startProcess starts a process of the server. A process of the initial fleet is not in slow start, and it is in
// the endpoint lists with which the instances start.
func (s *server) startProcess(incarnation plan.Incarnation) {
	sim := s.simulator
	s.recordPeakOverload()
	warming := incarnation.From > 0
	s.machine = model.New(model.Options{
		Config:  s.spec.Config,
		Seed:    sim.scenario.ServerSeed(s.number),
		Start:   sim.now,
		Warming: warming,
		Dedup:   sim.dedup,
		Group:   fmt.Sprint(s.spec.Pod),
		Faults:  s.spec.Faults,
	})
	if warming {
		s.notifyInstances(incarnation, balancer.Ready)
	}
}

// recordPeakOverload records how close the current process has come to a collapse.
func (s *server) recordPeakOverload() {
	if s.machine != nil {
		result := s.simulator.result
		result.PeakOverloadRatio = max(result.PeakOverloadRatio, s.machine.PeakOverloadRatio())
	}
}

// accept opens a connection. It returns nil if the server does not accept one.
func (s *server) accept() *connection {
	if s.machine == nil {
		return nil
	}
	sim := s.simulator
	accepted := s.machine.Connect(sim.now)
	s.scheduleWakeUp()
	if !accepted {
		return nil
	}
	sim.connectionsOpened++
	return &connection{
		server:         s,
		machine:        s.machine,
		openedAt:       sim.now,
		spreadPosition: validate.SpreadPosition(sim.connectionsOpened),
	}
}

// arrive passes the request of an attempt to the server's process.
func (s *server) arrive(c *call, request *plan.Request) {
	s.pending[c.number] = c
	s.complete(s.machine.Arrive(s.simulator.now, model.Request{
		Number:      c.number,
		Work:        request.Work,
		Class:       request.Class,
		Key:         request.Key,
		AffinityKey: request.AffinityKey,
	}))
	s.scheduleWakeUp()
}

// answerProbe answers a load probe unless the server is unresponsive.
func (s *server) answerProbe(probe *call) {
	if report, ok := s.machine.Probe(s.simulator.now); ok {
		s.reply(probe, engine.Result{Status: balancer.OK, Load: loadFields(report)})
		s.scheduleWakeUp()
	}
}

// scheduleWakeUp schedules the next advance of the model and cancels the one scheduled before.
func (s *server) scheduleWakeUp() {
	s.emitCollapse()
	s.wakeVersion++
	version, next := s.wakeVersion, s.machine.NextEvent()
	if next == model.Never {
		return
	}
	s.simulator.at(next, func() {
		if version == s.wakeVersion {
			s.complete(s.machine.Advance(s.simulator.now))
			s.scheduleWakeUp()
		}
	})
}

// emitCollapse emits an event when the server collapses for the first time.
func (s *server) emitCollapse() {
	if s.machine.CollapsedAt() == model.Never || s.collapsed {
		return
	}
	s.collapsed = true
	s.simulator.emit(trace.Event{Kind: trace.KindCollapse, Server: s.number + 1})
}

// statusByOutcome maps the end of a request at a server to the status that its instance sees.
var statusByOutcome = map[model.Outcome]balancer.Status{
	model.Served:           balancer.OK,
	model.Deduplicated:     balancer.OK,
	model.Failed:           balancer.Error,
	model.Rejected:         balancer.Full,
	model.ConnectionFailed: balancer.Reset,
}

// complete replies to the requests that the model has completed.
func (s *server) complete(completions []model.Completion) {
	for _, completion := range completions {
		c := s.pending[completion.Number]
		delete(s.pending, completion.Number)
		if c == nil || completion.Outcome == model.Unanswered {
			continue
		}
		result := engine.Result{Status: statusByOutcome[completion.Outcome]}
		if completion.Outcome != model.ConnectionFailed {
			result.Load = loadFields(s.machine.Report(s.simulator.now))
		}
		s.reply(c, result)
	}
}

// loadFields returns a load report in the order of the settings' fields: errors, queue.
func loadFields(report model.LoadReport) []float32 {
	return []float32{float32(report.ErrorsPerSecond), float32(report.Queue)}
}

// reply delivers the result of a call to its instance after the one-way latency.
func (s *server) reply(c *call, result engine.Result) {
	s.simulator.after(c.latency(), func() { c.finish(result) })
}
