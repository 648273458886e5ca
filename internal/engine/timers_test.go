package engine

import (
	"testing"

	"pinedale/balancer"
)

// A flood of requests with long deadlines must not leave a timer for each of them until its deadline: those of answered
// requests are stopped when others use their slots.
func TestTimersOfAnsweredRequestsAreStopped(t *testing.T) {
	e, up, _ := newTestEngine(t)
	e.UpdateEndpoints(e.Now(), balancer.ListFull, snapshot(readyHost("s-1", "127.0.0.1:1")))
	stopped := 0
	for n := range 500 {
		now := e.Now()
		r := &Request{Carrier: up, Respond: func(Response) {}}
		e.Submit(now, r, balancer.Request{Deadline: now + 60_000_000})
		up.attempts[n].Complete(now, Result{Status: balancer.OK})
		e.runDeferred()
		for _, s := range e.timers.bySlot {
			for i := range s.timers {
				stop := s.timers[i].stop
				s.timers[i].stop = func() {
					stopped++
					stop()
				}
			}
		}
	}
	pending := 0
	for _, s := range e.timers.bySlot {
		pending += len(s.timers)
	}
	if pending > 10 || stopped < 490 {
		t.Errorf("%d timers are pending and %d were stopped after 500 requests, want at most 10 and the others",
			pending, stopped)
	}
}

// Timers with one token are kept until they have fired, and are stopped with the next token of their slot.
func TestTimersOfOneTokenAreKept(t *testing.T) {
	timers := newRequestTimers()
	stopped := 0
	start := func(now balancer.Micros, token uint32, due balancer.Micros) {
		timers.add(now, token, startedTimer{stop: func() { stopped++ }, due: due})
	}
	const slot, nextUse = 20, 20 + 1<<20
	start(0, slot, 100)
	start(0, slot, 200)
	start(0, slot+1, 100)
	start(150, slot, 300) // the first has fired
	if n := len(timers.bySlot[slot].timers); n != 2 || stopped != 0 {
		t.Errorf("%d timers with the token, %d stopped; want 2 and none", n, stopped)
	}
	start(150, nextUse, 400)
	if n := len(timers.bySlot[slot].timers); n != 1 || stopped != 2 {
		t.Errorf("%d timers with the next token, %d stopped; want 1 and 2", n, stopped)
	}
	if n := len(timers.bySlot[slot+1].timers); n != 1 {
		t.Errorf("%d timers in the other slot, want 1", n)
	}
}
