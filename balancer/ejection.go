package balancer

import "math"

// failing is the recent share of failures at e; it fades, so that e is tried again.
func (e *endpoint) failing(now Micros) float64 {
	f := e.failures.ratio * math.Exp2(-float64(now-e.failures.updatedAt)/float64(3*second))
	return f * share(f > 0.01) // all but forgotten is forgotten
}

// ejected says whether e fails so often of late that it serves only when nothing else is left.
func (e *endpoint) ejected(now Micros) bool { return e.failing(now) >= ejectFrom }
