package balancer

// maxPollBackoff limits backoff before jitter: a change must be known 6 s after discovery is reachable again.
const maxPollBackoff = 5 * second / 2

// pollDiscovery subscribes to discovery, unless a subscription is active or the timer is outdated.
func (b *Balancer) pollDiscovery(now Micros) {
	if !b.settings.PollDiscovery || b.discovery.subscribed || now < b.discovery.pollAt {
		return
	}
	b.actions.Watch(true)
	// The response may be lost, so poll again: without a subscription no update would ever arrive.
	interval := b.settings.Contract.PollInterval
	b.schedulePoll(now, 1+interval/2+b.random.below(interval/4))
}

// pollAfterBackoff schedules the next poll with exponential backoff and jitter.
func (b *Balancer) pollAfterBackoff(now Micros) {
	if !b.settings.PollDiscovery {
		return
	}
	interval := b.settings.Contract.PollInterval
	b.discovery.backoff = min(max(2*b.discovery.backoff, interval/20), interval/4, maxPollBackoff)
	b.schedulePoll(now, 1+b.discovery.backoff/2+b.random.below(b.discovery.backoff))
}
