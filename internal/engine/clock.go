package engine

import (
	"time"

	"pinedale/balancer"
)

// clock gives the balancer's time: microseconds that never run backwards, from
// the Unix time at the start on, so that start times of endpoints map onto it as
// they are.
type clock struct{ base time.Time }

func (c clock) now() balancer.Micros {
	return c.base.UnixMicro() + time.Since(c.base).Microseconds()
}

func (c clock) time(at balancer.Micros) time.Time {
	return c.base.Add(time.Duration(at-c.base.UnixMicro()) * time.Microsecond)
}
