// Package model emulates servers on virtual time. A server has cores, slots, a queue, a slow start during which too
// much load makes it collapse, pauses, scripted faults and load reports. The servers of a fleet share a record of
// idempotency keys, by which they drop duplicate requests. The package does no I/O and has no clock: the caller passes
// the time with every call and gets the requests that have completed by then.
//
// All random behaviour is derived from the server's seed and the request's number. The same calls give the same
// results, regardless of other requests.
package model

import (
	"math"
	"time"
)

// Time is virtual time since the start of a run.
type Time = time.Duration

// Never is later than every instant of a run.
const Never = Time(math.MaxInt64)
