package engine

import (
	"time"

	"pinedale/balancer"
)

// Clock is the time that an engine lives by where the system's is not wanted: that of
// a rehearsal. One goroutine owns it, and all engines on it.
type Clock interface {
	Now() time.Time
	// AfterFunc has f called on the clock's goroutine after a while, never from
	// within the call.
	AfterFunc(after time.Duration, f func())
}

// system is the system's time.
type system struct{}

func (system) Now() time.Time                          { return time.Now() }
func (system) AfterFunc(after time.Duration, f func()) { time.AfterFunc(after, f) }

// clock gives the balancer's time: microseconds that never run backwards, from
// the Unix time at the start on, so that start times of endpoints map onto it as
// they are.
type clock struct {
	Clock
	base time.Time
}

func (c clock) now() balancer.Micros {
	return c.base.UnixMicro() + c.Now().Sub(c.base).Microseconds()
}

func (c clock) time(at balancer.Micros) time.Time {
	return c.base.Add(time.Duration(at-c.base.UnixMicro()) * time.Microsecond)
}

func (c clock) micros(at time.Time) balancer.Micros {
	return c.base.UnixMicro() + at.Sub(c.base).Microseconds()
}
