package balancer

// pollDiscovery subscribes to discovery, unless a subscription stands or the timer is out of date.
func (b *Balancer) pollDiscovery(now Micros) {
	if !b.settings.PollDiscovery || b.discovery.subscribed || now < b.discovery.pollAt {
		return
	}
	b.actions.Watch(true)
	// The response may be lost, and without one no update would ever come.
	interval := b.settings.Contract.PollInterval
	b.schedulePoll(now, 1+interval/2+b.random.below(interval/4))
}

// pollAfterBackoff polls again with exponential backoff and jitter.
func (b *Balancer) pollAfterBackoff(now Micros) {
	if !b.settings.PollDiscovery {
		return
	}
	interval := b.settings.Contract.PollInterval
	backoff := min(max(2*b.discovery.backoff, interval/20), interval/4)
	b.discovery.backoff = backoff
	b.schedulePoll(now, 1+backoff/2+b.random.below(backoff))
}
