package simulation

import (
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
	"pinedale/internal/engine"
)

// lateResponseTolerance is how long after its timeout a client still waits for the response.
const lateResponseTolerance = time.Millisecond

// clientAttempt is one attempt of a client at an instance: the first of its request, or a retry. It
// implements engine.Carrier for itself.
type clientAttempt struct {
	simulator *simulator
	request   *plan.Request
	number    int // counts from 1
	instance  *instance
	submitted engine.Request
	finished  bool
}

// scheduleArrival schedules the next new request.
func (sim *simulator) scheduleArrival() {
	request, ok := sim.workload.Next()
	if !ok {
		return
	}
	sim.at(request.At, func() {
		sim.submit(request)
		sim.scheduleArrival()
	})
}

// submit sends one client attempt of a request to its instance.
func (sim *simulator) submit(request *plan.Request) {
	request.ClientAttempts++
	sim.result.ClientAttempts++
	attempt := &clientAttempt{
		simulator: sim,
		request:   request,
		number:    request.ClientAttempts,
		instance:  sim.instances[request.Instance],
	}
	attempt.instance.openAttempts[attempt] = true
	sim.emit(trace.Event{
		Kind:     trace.KindRequest,
		Number:   request.Number,
		Try:      attempt.number,
		Instance: request.Instance + 1,
		Class:    request.Class + 1,
	})
	timeout := sim.scenario.AttemptTimeout(request)
	attempt.submit(timeout)
	abandonAfter := sim.scenario.Clients.AbandonAfter
	if abandonAfter > 0 && !attempt.finished {
		sim.after(abandonAfter, attempt.abandon)
	}
	sim.after(timeout+lateResponseTolerance, attempt.expire)
}

// submit passes the attempt to the engine of its instance.
func (a *clientAttempt) submit(timeout time.Duration) {
	a.submitted = engine.Request{
		Carrier: a,
		Respond: func(response engine.Response) {
			a.finish(response.Code, time.Duration(response.RetryAfter)*time.Microsecond)
		},
	}
	a.instance.post(func(now balancer.Micros) {
		a.instance.engine.Submit(now, &a.submitted, balancer.Request{
			Class:       uint8(a.request.Class),
			Key:         a.request.AffinityKey,
			Tenant:      uint16(a.request.Tenant),
			ClientRetry: a.number > 1,
			Deadline:    now + timeout.Microseconds(),
			WorkHint:    a.request.WorkHint,
			HasWorkHint: true,
		})
	})
}

// abandon disconnects the client of an attempt that has no response yet.
func (a *clientAttempt) abandon() {
	if a.finished {
		return
	}
	a.finish(plan.CodeDisconnected, 0)
	a.instance.post(func(now balancer.Micros) {
		a.instance.engine.ClientDisconnected(now, &a.submitted)
	})
}

// expire records a violation if the instance has not answered within the client's timeout.
func (a *clientAttempt) expire() {
	if a.finished {
		return
	}
	a.simulator.result.Unanswered++
	a.finish(plan.CodeDisconnected, 0)
}

// finish ends the attempt with a response or with the client's disconnect, and schedules a retry if the client makes
// one. A second response is a violation.
func (a *clientAttempt) finish(code int, retryAfter time.Duration) {
	sim, request := a.simulator, a.request
	if a.finished {
		if code != plan.CodeDisconnected && !a.instance.killed {
			sim.result.Unanswered++
		}
		return
	}
	a.finished = true
	delete(a.instance.openAttempts, a)
	sim.emit(trace.Event{
		Kind:     trace.KindResponse,
		Number:   request.Number,
		Try:      a.number,
		Instance: request.Instance + 1,
		Code:     code,
	})
	wait, retry := sim.scenario.Retry(request, code, retryAfter, sim.now)
	if retry && !a.mayHaveRun() {
		sim.after(wait, func() { sim.submit(request) })
		return
	}
	sim.result.RecordOutcome(sim.scenario, request, code, sim.now)
}

// mayHaveRun reports whether a request that is not idempotent may have run, or may run later, after its instance was
// killed. Clients don't retry such a request even if it has an idempotency key: the server may have evicted the key by
// the time of a retry.
func (a *clientAttempt) mayHaveRun() bool {
	class := &a.simulator.scenario.Classes[a.request.Class]
	return a.instance.killed && class.Idempotency != balancer.Idempotent
}
