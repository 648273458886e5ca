package simulation

import (
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
	"pinedale/internal/engine"
)

// scheduleArrival has the next first try come.
func (p *simulator) scheduleArrival() {
	t, ok := p.script.Next()
	if !ok {
		return
	}
	p.at(t.At, func() {
		p.submit(t)
		p.scheduleArrival()
	})
}

// clientAttempt is one try at an instance.
type clientAttempt struct {
	simulator *simulator
	request   *plan.Request
	number    int // which try it is, the first is 1
	instance  *instance
	submitted engine.Request
	finished  bool
}

// submit passes a try to its instance.
func (p *simulator) submit(t *plan.Request) {
	t.ClientAttempts++
	p.result.ClientAttempts++
	r := &clientAttempt{simulator: p, request: t, number: t.ClientAttempts, instance: p.instances[t.Instance]}
	r.instance.openAttempts[r] = true
	r.submitted = engine.Request{Carrier: r, Respond: func(a engine.Response) {
		r.end(a.Code, time.Duration(a.RetryAfter)*time.Microsecond)
	}}
	p.emit(trace.Event{Kind: trace.KindRequest, Number: t.Number, Try: r.number, Instance: t.Instance + 1, Class: t.Class + 1})
	patience := p.scenario.AttemptTimeout(t)
	r.instance.post(func(now balancer.Micros) {
		r.instance.engine.Submit(now, &r.submitted, balancer.Request{Class: uint8(t.Class), Key: t.AffinityKey, Tenant: uint16(t.Tenant), ClientRetry: r.number > 1,
			Deadline: now + patience.Microseconds(), WorkHint: t.WorkHint, HasWorkHint: true})
	})
	if p.scenario.Clients.AbandonAfter > 0 && !r.finished {
		p.after(p.scenario.Clients.AbandonAfter, func() {
			if !r.finished {
				r.end(plan.CodeDisconnected, 0)
				r.instance.post(func(now balancer.Micros) { r.instance.engine.ClientDisconnected(now, &r.submitted) })
			}
		})
	}
	p.after(patience+time.Millisecond, func() {
		if !r.finished {
			p.result.Unanswered++
			r.end(plan.CodeDisconnected, 0)
		}
	})
}

// end is the end of a try: an answer, or the client's going.
func (r *clientAttempt) end(code int, retryAfter time.Duration) {
	p, t := r.simulator, r.request
	if r.finished {
		if code != plan.CodeDisconnected && !r.instance.killed {
			p.result.Unanswered++
		}
		return
	}
	r.finished = true
	delete(r.instance.openAttempts, r)
	p.emit(trace.Event{Kind: trace.KindResponse, Number: t.Number, Try: r.number, Instance: t.Instance + 1, Code: code})
	// Nobody knows since when what a killed instance held may have run: clients repeat only what is safe.
	mayHaveRun := r.instance.killed && p.scenario.Classes[t.Class].Idempotency != balancer.Idempotent
	if wait, retry := p.scenario.Retry(t, code, retryAfter, p.now); retry && !mayHaveRun {
		p.after(wait, func() { p.submit(t) })
		return
	}
	p.result.RecordOutcome(p.scenario, t, code, p.now)
}

// emit passes an event on to who watches the play.
func (p *simulator) emit(e trace.Event) {
	if p.options.Watch != nil {
		e.At = p.now.Microseconds()
		p.options.Watch(e)
	}
}
