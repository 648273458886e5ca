package registry

import "time"

// Timing holds the durations and timeouts of a client's calls. They depend on the drain grace: the
// time from the report that a server is draining until no new request may go to it.
type Timing struct {
	WatchWait   time.Duration // how long the service holds a watch call if nothing changes
	HedgeDelay  time.Duration // how long after WatchWait a second call is made if there is no response
	HedgeJitter time.Duration // the second call is made earlier by a random part of this, below HedgeDelay
	WatchGrace  time.Duration // how long after WatchWait a watch call may last if the second call fails
	ListTimeout time.Duration // timeout of a call that does not wait for changes
	RetryDelay  time.Duration // delay before a retry after a failure; 0 leaves retries to the caller of Watch
}

const (
	pollWatchWait   = 3500 * time.Millisecond
	pollWatchGrace  = 2 * time.Second
	pollListTimeout = 4 * time.Second

	// pollReportTime is when changes that a stalled watch has missed count as reported.
	pollReportTime = 6 * time.Second
	// pollCallTime is the longest time for which a crowded service holds a call before it answers.
	pollCallTime = 3 * time.Second
	// pollSlack is for delays of the network and of the machine.
	pollSlack = 300 * time.Millisecond
	// minPollHedgeDelay keeps usual delays of a watch's response from causing second calls.
	minPollHedgeDelay = 200 * time.Millisecond
)

// PollTiming is for a service that all instances share and that handles their calls one at a
// time. Changes that a stalled watch has missed count as reported 6 s after the stall, and no
// request may go to a server that drains once the grace has passed as well. The wait of a watch,
// the delay of the second call and the time that the service may take to answer it fit into this,
// so that a short grace leaves less time for the wait. While nothing changes, an instance makes 2
// calls in 7 s if the grace is at least 1 s.
func PollTiming(grace time.Duration) Timing {
	hedgeBy := pollReportTime + grace - pollCallTime - pollSlack
	wait := min(pollWatchWait, hedgeBy-minPollHedgeDelay)
	hedgeDelay := min(hedgeBy-wait, pollWatchGrace)
	return Timing{
		WatchWait:   wait,
		HedgeDelay:  hedgeDelay,
		HedgeJitter: hedgeDelay / 2,
		WatchGrace:  pollWatchGrace,
		ListTimeout: pollListTimeout,
	}
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
		HedgeDelay:  grace / 8,
		WatchGrace:  grace / 8,
		ListTimeout: grace / 8,
		RetryDelay:  grace / 20,
	}
}
