package engine

import (
	"context"
	"time"

	"pinedale/balancer"
)

// eventQueueSize is the capacity of each event queue.
const eventQueueSize = 1024

// event is a function that runs on the engine's goroutine.
type event = func(now balancer.Micros)

// queuedEvent is an event that waits for the engine's goroutine.
type queuedEvent struct {
	run event
	due balancer.Micros // earliest time at which it could have run
}

// eventLoop passes events to the engine's goroutine. Engine embeds it, and so has its exported
// methods.
//
// Arrivals, which begin work, have a queue of their own, with a lower priority than all events that
// end work: outcomes, timers, disconnects and lists.
type eventLoop struct {
	ctx      context.Context // ends with the engine
	clock    clock
	queue    chan queuedEvent // nil if Options.Clock is set: events run immediately
	arrivals chan queuedEvent // nil if Options.Clock is set
	deferred []event          // to run after the current event; owned by the engine's goroutine
	lateness lateness         // owned by the engine's goroutine
}

// newEventLoop returns a loop on the given clock, or on the system clock if source is nil.
func newEventLoop(ctx context.Context, source Clock) eventLoop {
	if source != nil {
		return eventLoop{ctx: ctx, clock: newClock(source)}
	}
	return eventLoop{
		ctx:      ctx,
		clock:    newClock(systemClock{}),
		queue:    make(chan queuedEvent, eventQueueSize),
		arrivals: make(chan queuedEvent, eventQueueSize),
	}
}

// Now returns the balancer's time. It may be called from any goroutine.
func (l *eventLoop) Now() balancer.Micros { return l.clock.now() }

// WallTime converts an instant of the balancer's time to the system's. It may be called from any
// goroutine.
func (l *eventLoop) WallTime(at balancer.Micros) time.Time { return l.clock.time(at) }

// Post passes an event to the engine's goroutine. It blocks while the queue is full, and must not be
// called on the engine's goroutine.
func (l *eventLoop) Post(event func(now balancer.Micros)) { l.postDue(event, l.Now()) }

// postDue is Post for an event that could have run since due.
func (l *eventLoop) postDue(event event, due balancer.Micros) {
	if l.queue == nil {
		l.handle(queuedEvent{event, due})
		return
	}
	select {
	case l.queue <- queuedEvent{event, due}:
	case <-l.ctx.Done():
	}
}

// PostArrival is Post for an event that submits a request; it gives up once done is closed. Arrivals
// run in order, each when no other event waits. It reports whether the event was posted.
func (l *eventLoop) PostArrival(done <-chan struct{}, event func(now balancer.Micros)) bool {
	arrival := queuedEvent{event, l.Now()}
	if l.arrivals == nil {
		l.handle(arrival)
		return true
	}
	select {
	case l.arrivals <- arrival:
		return true
	case <-done:
	case <-l.ctx.Done():
	}
	return false
}

// TryPost is Post that does nothing if the queue is full, instead of blocking. It reports whether
// the event was posted.
func (l *eventLoop) TryPost(event func(now balancer.Micros)) bool {
	posted := queuedEvent{event, l.Now()}
	if l.queue == nil {
		l.handle(posted)
		return true
	}
	select {
	case l.queue <- posted:
		return true
	default:
		return false
	}
}

// Call runs an event on the engine's goroutine, and waits until the event or the engine has ended.
// It must not be called on the engine's goroutine.
func (l *eventLoop) Call(event func(now balancer.Micros)) {
	done := make(chan struct{})
	l.Post(func(now balancer.Micros) {
		event(now)
		close(done)
	})
	select {
	case <-done:
	case <-l.ctx.Done():
	}
}

// After posts an event after a delay. It may be called from any goroutine.
func (l *eventLoop) After(delay time.Duration, event func(now balancer.Micros)) {
	due := l.Now() + delay.Microseconds()
	l.clock.AfterFunc(delay, func() { l.postDue(event, due) })
}

// Defer runs an event on the engine's goroutine after the current one. It must be called on that
// goroutine. Carriers use it to report a result from within their methods.
func (l *eventLoop) Defer(event func(now balancer.Micros)) {
	l.deferred = append(l.deferred, event)
}

// next waits for the next event. ticked reports that tick fired in its place; ok is false once the
// context has ended.
func (l *eventLoop) next(tick <-chan time.Time) (next queuedEvent, ticked, ok bool) {
	select {
	case next = <-l.queue:
		return next, false, true
	default:
	}
	select {
	case next = <-l.queue:
	case next = <-l.arrivals:
	case <-tick:
		return next, true, true
	case <-l.ctx.Done():
		return next, false, false
	}
	return next, false, true
}

// handle runs an event and the events that it deferred.
func (l *eventLoop) handle(e queuedEvent) {
	now := l.clock.now()
	l.lateness.observe(now, now-e.due)
	e.run(now)
	l.runDeferred()
}

// runDeferred runs deferred events until none is left.
func (l *eventLoop) runDeferred() {
	for len(l.deferred) > 0 {
		events := l.deferred
		l.deferred = nil
		for _, event := range events {
			event(l.clock.now())
		}
	}
}
