package balancer

func (b *Balancer) askIn(now, delay Micros) {
	b.askAt = now + delay
	b.out.Timer(delay, tokenDiscovery)
}

func (b *Balancer) ask(now Micros) {
	if b.s.PollDiscovery && !b.subscribed && now >= b.askAt {
		b.out.Watch(true)
		// The answer may be lost, and without one we would never hear again.
		b.askIn(now, 1+b.s.Contract.PollInterval/2+b.rng.below(b.s.Contract.PollInterval/4))
	}
}

// retryAsk asks discovery again, later each time and never in step with others.
func (b *Balancer) retryAsk(now Micros) {
	if b.s.PollDiscovery {
		b.askWait = min(max(2*b.askWait, b.s.Contract.PollInterval/20), b.s.Contract.PollInterval/4)
		b.askIn(now, 1+b.askWait/2+b.rng.below(b.askWait))
	}
}
