package engine

import (
	"time"

	"pinedale/balancer"
)

// Clock replaces the system clock, for simulations on virtual time. One goroutine owns the clock and
// all engines that use it.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f on the clock's goroutine after a delay, never from within the call.
	AfterFunc(after time.Duration, f func())
}

// systemClock is the Clock of the operating system.
type systemClock struct{}

func (systemClock) Now() time.Time                          { return time.Now() }
func (systemClock) AfterFunc(after time.Duration, f func()) { time.AfterFunc(after, f) }

// clock converts a Clock's time to the balancer's: microseconds that never run backwards. They
// start at the Unix time of base, so that start times of endpoints need no conversion.
type clock struct {
	Clock
	base time.Time
}

func newClock(source Clock) clock {
	return clock{Clock: source, base: source.Now()}
}

// now returns the balancer's time.
func (c clock) now() balancer.Micros { return c.micros(c.Now()) }

// time converts an instant of the balancer's time.
func (c clock) time(at balancer.Micros) time.Time {
	return c.base.Add(time.Duration(at-c.base.UnixMicro()) * time.Microsecond)
}

// micros converts a time to the balancer's time.
func (c clock) micros(at time.Time) balancer.Micros {
	return c.base.UnixMicro() + at.Sub(c.base).Microseconds()
}
