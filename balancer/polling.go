package balancer

func (b *Balancer) askIn(now, delay Micros) {
	b.discovery.pollAt = now + delay
	b.actions.Timer(delay, tokenDiscovery)
}

func (b *Balancer) ask(now Micros) {
	if b.settings.PollDiscovery && !b.discovery.subscribed && now >= b.discovery.pollAt {
		b.actions.Watch(true)
		// The answer may be lost, and without one we would never hear again.
		b.askIn(now, 1+b.settings.Contract.PollInterval/2+b.random.below(b.settings.Contract.PollInterval/4))
	}
}

// retryAsk asks discovery again, later each time and never in step with others.
func (b *Balancer) retryAsk(now Micros) {
	if b.settings.PollDiscovery {
		interval := b.settings.Contract.PollInterval
		b.discovery.backoff = min(max(2*b.discovery.backoff, interval/20), interval/4)
		b.askIn(now, 1+b.discovery.backoff/2+b.random.below(b.discovery.backoff))
	}
}
