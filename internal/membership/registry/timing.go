package registry

import "time"

// Timing holds the durations and timeouts of a client's calls. They depend on the drain grace: the
// time from the report that a server is draining until no new request may go to it.
type Timing struct {
	WatchWait   time.Duration // how long the service holds a watch call if nothing changes
	WatchGrace  time.Duration // timeout of a watch call, in addition to WatchWait
	ListTimeout time.Duration // timeout of a call that does not wait for changes
	RetryDelay  time.Duration // delay before a retry after a failure; 0 leaves retries to the caller of Watch
}

// PollTiming is for a service that all instances share and that handles their calls one at a
// time. Changes that a stalled watch has missed count as reported 6 s after the stall, or 2 s
// after the end of its wait, whichever is later. A stalled call times out after 5.5 s, which
// leaves half a second, in addition to the drain grace, for the call that opens the watch again.
// While nothing changes, each instance makes 2 calls in 7 s.
var PollTiming = Timing{
	WatchWait:   3500 * time.Millisecond,
	WatchGrace:  2 * time.Second,
	ListTimeout: 4 * time.Second,
}

// Bounds of the drain grace that PushTiming divides. Below the lower bound, delays of the
// machine itself dominate; above the upper bound, longer timeouts have no benefit.
const (
	minPushGrace = 400 * time.Millisecond
	maxPushGrace = 4 * time.Second
)

// PushTiming is for an agent on the instance's own machine, where calls are fast and cheap. A
// change counts as reported as soon as the agent knows it, even if the client's calls fail. A lost
// call must therefore be detected and repeated within the drain grace: a lost watch call and the
// call that repeats it take at most half of the grace, all durations together 55 % of it.
func PushTiming(grace time.Duration) Timing {
	grace = min(max(grace, minPushGrace), maxPushGrace)
	return Timing{
		WatchWait:   grace / 4,
		WatchGrace:  grace / 8,
		ListTimeout: grace / 8,
		RetryDelay:  grace / 20,
	}
}
