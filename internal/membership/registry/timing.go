package registry

import "time"

// Timing is how long a client's calls wait, and are waited for.
type Timing struct {
	WatchWait   time.Duration // the service holds a watch call for this long if nothing changes
	WatchGrace  time.Duration // a watch call is given up this long after WatchWait
	ListTimeout time.Duration // a call that does not wait is given up after this
	RetryDelay  time.Duration // before the client calls again after a failure; 0 leaves retries to its caller
}

// PollTiming is for a service that all instances share and that works through their calls
// in turn. What a stalled watch has missed counts as reported 6 s after it stalled, or 2 s
// after its wait is over, whichever is later: half a second remains for the call that opens
// it again, besides the drain grace. Calls without changes cost the service 2 in 7 s for
// each instance.
var PollTiming = Timing{
	WatchWait:   3500 * time.Millisecond,
	WatchGrace:  2 * time.Second,
	ListTimeout: 4 * time.Second,
}

// The bounds of the drain grace that PushTiming divides. Below the lower one the machine's
// own delays dominate, above the upper one nothing is gained.
const (
	minPushGrace = 400 * time.Millisecond
	maxPushGrace = 4 * time.Second
)

// PushTiming is for an agent on the instance's own machine, which answers at once and at no
// cost. What the agent has counts as reported, whatever became of the calls: a call that is
// lost must be detected and repeated within the drain grace, after which no new request may
// go to a server that was reported draining. All parts together take less than half of it.
func PushTiming(grace time.Duration) Timing {
	grace = min(max(grace, minPushGrace), maxPushGrace)
	return Timing{WatchWait: grace / 4, WatchGrace: grace / 8, ListTimeout: grace / 8, RetryDelay: grace / 20}
}
