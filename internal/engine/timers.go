package engine

import (
	"slices"
	"time"

	"pinedale/balancer"
)

// requestTimers holds the timers of the decision module's requests. A client may state a deadline of up to a minute,
// and thousands of requests may be answered meanwhile: their timers are stopped once the module uses their slot again.
// It is owned by the engine's goroutine.
type requestTimers struct {
	bySlot map[uint32]*slotTimers
}

// slotTimers holds the timers that were started with one token.
type slotTimers struct {
	token  uint32
	timers []startedTimer
}

// startedTimer is a timer with the instant at which it fires.
type startedTimer struct {
	stop func()
	due  balancer.Micros
}

func newRequestTimers() requestTimers { return requestTimers{bySlot: map[uint32]*slotTimers{}} }

// add records a timer that was started with a token, and stops those of earlier requests with the same slot.
func (t *requestTimers) add(now balancer.Micros, token uint32, started startedTimer) {
	slot := balancer.TimerSlot(token)
	s := t.bySlot[slot]
	if s == nil {
		s = &slotTimers{token: token}
		t.bySlot[slot] = s
	}
	if s.token != token {
		for _, outdated := range s.timers {
			outdated.stop()
		}
		s.token = token
		s.timers = s.timers[:0]
	}
	s.timers = slices.DeleteFunc(s.timers, func(fired startedTimer) bool { return fired.due < now })
	s.timers = append(s.timers, started)
}

// startTimer posts an event after a delay, unless stop is called before.
func (l *eventLoop) startTimer(delay time.Duration, event event) (stop func()) {
	due := l.Now() + delay.Microseconds()
	post := func() { l.postDue(event, due) }
	if _, ok := l.clock.Clock.(systemClock); !ok {
		l.clock.AfterFunc(delay, post)
		return func() {} // on virtual time, outdated timers do no harm
	}
	timer := time.AfterFunc(delay, post)
	return func() { timer.Stop() }
}
