package balancer

// A change must be known 6 s after discovery is reachable again.
const (
	// maxPollBackoff limits backoff before jitter.
	maxPollBackoff = 5 * second / 2
	// maxPollSpacing limits the time from a poll that fails late to the next one. The poll may have been
	// lost, and the next one may take 3 s.
	maxPollSpacing = 19 * second / 4
	// minPollBackoff is the backoff before jitter after a poll that took all of maxPollSpacing.
	minPollBackoff = second / 2
)

// pollDiscovery subscribes to discovery, unless a subscription is active or the timer is outdated.
func (b *Balancer) pollDiscovery(now Micros) {
	if !b.settings.PollDiscovery || b.discovery.subscribed || now < b.discovery.pollAt {
		return
	}
	if !b.discovery.pollPending {
		b.discovery.pollPending = true
		b.discovery.polledAt = now
	}
	b.actions.Watch(true)
	// The response may be lost, so poll again: without a subscription no update would ever arrive.
	interval := b.settings.Contract.PollInterval
	b.schedulePoll(now, 1+interval/2+b.random.below(interval/4))
}

// pollAfterBackoff schedules the next poll with exponential backoff and jitter. The longer the failed poll
// took, the less is left of the time to the next one.
func (b *Balancer) pollAfterBackoff(now Micros) {
	if !b.settings.PollDiscovery {
		return
	}
	interval := b.settings.Contract.PollInterval
	b.discovery.backoff = min(max(2*b.discovery.backoff, interval/20), interval/4, maxPollBackoff)
	backoff := b.discovery.backoff
	if b.discovery.pollPending {
		remaining := b.discovery.polledAt + maxPollSpacing - now
		backoff = min(backoff, max(remaining*2/3, minPollBackoff)) // the jitter adds up to a half
		b.discovery.pollPending = false
	}
	b.schedulePoll(now, 1+backoff/2+b.random.below(backoff))
}
