package balancer

// copy sends a second copy, if the limits, the class and the copies' budget permit.
func (b *Balancer) copy(now Micros, r *request) {
	if b.settings.Limits.Hedging && !r.NoHedging && b.budgets.hedge >= 1 && b.attempt(now, r, false) {
		b.budgets.hedge--
	}
}

// late handles an attempt that takes far longer than was expected. Where all wait in line it must be waited
// for: a second copy doubles the work of those that have too much. But where a later one was answered before
// it, or nothing was heard at all since, not even a probe, it is lost: endpoints and the ways to them may
// swallow some requests and answer the rest in time. Then a copy goes elsewhere, as far as the class permits.
// That is done only while such losses are proven to happen: most late answers are slow, and come.
func (b *Balancer) late(now Micros, r *request, a *attempt) {
	e := a.ep
	if b.traffic.swallowed.v < lostLeast {
		return
	}
	overtaken, silent := e.answered > a.at, a.doubted && e.heardAt < a.at
	if !overtaken && !silent {
		a.doubted = true
		b.probe(now, e)
		a.lateAt = now + (now-a.at)/2
		if a.lateAt < r.Deadline {
			b.actions.Timer(a.lateAt-now, r.token)
		}
		return
	}
	a.late = true
	b.copy(now, r)
}

// copyAfter is how long the first attempt is out before a second copy is sent without proof that it is
// lost; 0 if that is not done. The class's quantile stands for a delay that is not given.
func (b *Balancer) copyAfter(r *request) Micros {
	if r.HedgeDelay > 0 {
		return r.HedgeDelay
	}
	return Micros(b.classes[r.Class].tail.v)
}
