package engine

import (
	"context"
	"time"

	"pinedale/balancer"
)

// eventQueueSize is the number of events that may wait for the engine's goroutine.
const eventQueueSize = 1024

// event is a step of the engine's goroutine.
type event = func(now balancer.Micros)

// eventLoop passes events to the engine's goroutine. Engine embeds it: its exported methods are
// the engine's.
type eventLoop struct {
	ctx      context.Context // ends with the engine
	clock    clock
	queue    chan event // nil on a Clock of the options: events run at once
	deferred []event    // to run after the current event; owned by the engine's goroutine
}

// newEventLoop returns a loop on the system's time if source is nil.
func newEventLoop(ctx context.Context, source Clock) eventLoop {
	if source != nil {
		return eventLoop{ctx: ctx, clock: newClock(source)}
	}
	return eventLoop{ctx: ctx, clock: newClock(systemClock{}), queue: make(chan event, eventQueueSize)}
}

// Now returns the balancer's time. It may be called from any goroutine.
func (l *eventLoop) Now() balancer.Micros { return l.clock.now() }

// WallTime returns the system's time at an instant of the balancer's. It may be called from any
// goroutine.
func (l *eventLoop) WallTime(at balancer.Micros) time.Time { return l.clock.time(at) }

// Post hands an event to the engine's goroutine, and waits for space in its queue. It must not be
// called from there.
func (l *eventLoop) Post(event func(now balancer.Micros)) { l.PostUntil(nil, event) }

// PostUntil is Post, given up once done is closed. It reports whether the event was posted.
func (l *eventLoop) PostUntil(done <-chan struct{}, event func(now balancer.Micros)) bool {
	if l.queue == nil {
		l.handle(event)
		return true
	}
	select {
	case l.queue <- event:
		return true
	case <-done:
	case <-l.ctx.Done():
	}
	return false
}

// TryPost is Post if the queue has space at once; otherwise it does nothing. It reports whether
// the event was posted.
func (l *eventLoop) TryPost(event func(now balancer.Micros)) bool {
	if l.queue == nil {
		l.handle(event)
		return true
	}
	select {
	case l.queue <- event:
		return true
	default:
		return false
	}
}

// Call runs an event on the engine's goroutine, and waits for its end or the engine's. It must
// not be called from there.
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
	l.clock.AfterFunc(delay, func() { l.Post(event) })
}

// Defer runs an event on the engine's goroutine after the current one. It must be called on that
// goroutine. Carriers use it to report a result from within their methods.
func (l *eventLoop) Defer(event func(now balancer.Micros)) {
	l.deferred = append(l.deferred, event)
}

// handle runs an event and what it deferred.
func (l *eventLoop) handle(event event) {
	event(l.clock.now())
	l.runDeferred()
}

// runDeferred runs deferred events until there are none.
func (l *eventLoop) runDeferred() {
	for len(l.deferred) > 0 {
		events := l.deferred
		l.deferred = nil
		for _, event := range events {
			event(l.clock.now())
		}
	}
}
