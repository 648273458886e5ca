// Package balancer makes the decisions of a client-side sidecar balancer.
//
// Settings, events and actions stand in api.go, the records kept in state.go; all decisions stand in the
// others: balancer.go has the lifecycle and the request ledger, members.go membership and warm-up,
// probes.go the probe pool, pick.go prediction and pick, keys.go warm keys, breaker.go the breaker,
// attempts.go attempts and refusals. A Balancer is a deterministic state machine for one caller at a
// time: the host passes each event with its instant, and the balancer calls Actions.
package balancer

import "math"

// Timer tokens below firstSlot belong to the balancer; others name a request.
const (
	tokenProbe = iota
	tokenDiscovery
	firstSlot = 16
	slotBits  = 20
)

func (b *Balancer) configure(classes []Class, budgets []RetryBudget) {
	for i := len(b.classes); i < len(classes); i++ {
		aim, copies := float64(classes[i].LatencyObjective), share(classes[i].HedgeQuantile > 0)
		b.classes = append(b.classes, classStats{work: ewma{v: aim / 5, seen: true}, tail: ewma{v: aim * copies}})
	}
	for i, u := range budgets {
		if i == len(b.budgets) {
			b.budgets = append(b.budgets, u.Burst)
		}
		b.budgets[i] = min(b.budgets[i], u.Burst)
	}
}

// budget is what is left of a request's budget, with what it earns and how much it holds.
func (b *Balancer) budget(r *request) (left *float64, u RetryBudget) {
	if n := int(r.Budget); n > 0 && n <= len(b.s.Budgets) {
		return &b.budgets[n-1], b.s.Budgets[n-1]
	}
	return &b.credit, RetryBudget{retryShare, budgetBurst}
}

// Start begins the balancer's life.
func (b *Balancer) Start(now Micros) {
	b.lag.seen, b.refused.seen, b.lost.seen = true, true, true
	b.trend, b.trust = 1, 0.5
	b.keys.start()
	b.credit, b.copies, b.passOf = budgetBurst, budgetBurst, passLeast
	b.asks = min(probeMost, askSpend/b.s.Prices.Probe) // a price of 0 asks for the most
	if b.s.PollDiscovery {                             // all may start at once: spread their first calls
		b.askIn(now, 1+b.rng.below(b.s.Contract.PollInterval/10))
	}
	if b.s.Limits.Probes {
		b.out.Timer(1+b.rng.below(probeGap), tokenProbe)
	}
}

// TimerFired handles a token given to Actions.Timer.
func (b *Balancer) TimerFired(now Micros, token uint32) {
	switch {
	case token == tokenProbe:
		b.probeRound(now)
	case token == tokenDiscovery:
		b.ask(now)
	case token >= firstSlot:
		slot := int(token&(1<<slotBits-1)) - firstSlot
		if slot >= 0 && slot < len(b.slots) {
			if r := b.slots[slot]; r.token == token && !r.ended && !r.stream {
				b.wake(now, r)
			}
		}
	}
}

// All leaves through send, refuse and fail below. They alone keep the rules: no policy gets round them.

// end marks that the final answer is out; the record stays for late outcomes.
func (b *Balancer) end(r *request) {
	if !r.ended {
		b.classes[r.Class].good.add(r.good, 0.02)
		r.ended = true
		b.release(r)
		b.open--
		for i := range r.attempts {
			if r.attempts[i].out && b.s.Limits.Cancel {
				b.out.Cancel(r.ID, i)
			}
		}
	}
	if r.out == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.free = append(b.free, r)
	}
}

// maySend says whether the rules allow an attempt at e now.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	if r.ended || r.stream || r.waits(b.s.Limits.Hedging) || now >= r.Deadline ||
		len(r.attempts) >= b.s.Limits.MaxAttempts || r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts ||
		e.State != Ready || r.Pool > 0 && e.Pools>>(r.Pool-1)&1 == 0 {
		return false
	}
	if e.cold(now, b) && !b.coldRoom(now, e, r.work) {
		return false
	}
	c, first := b.class(r), r.bound()
	return first == nil || c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentWithKey && now < first.at+c.DedupWindow &&
			(c.Group == GroupAll || c.Group == GroupZone && e.Zone == first.zone ||
				c.Group == GroupCell && e.Cell == first.cell)
}

// copyAfter is how long the first attempt is out before a second copy is sent without proof that it is
// lost; 0 if that is not done. The class's quantile stands for a delay that is not given.
func (b *Balancer) copyAfter(r *request) Micros {
	if r.HedgeDelay > 0 {
		return r.HedgeDelay
	}
	return Micros(b.classes[r.Class].tail.v)
}

// harmlessFor is for how long a client that is refused may come again without a second
// effect; 0 if it must not be told that it may.
func (b *Balancer) harmlessFor(now Micros, r *request) Micros {
	c, first := b.class(r), r.bound()
	switch {
	case c.Idempotency == Idempotent || first == nil:
		return math.MaxInt64
	case c.Idempotency == IdempotentWithKey && c.Group == GroupAll:
		return max(0, first.at+c.DedupWindow-now-2*returnWay)
	}
	return 0
}

// send starts an attempt if the rules allow it.
func (b *Balancer) send(now Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	if e.cold(now, b) {
		e.room -= r.work * coldCharge
	}
	bin, by := b.bin(now, r, e), r.sendBy(b.class(r))
	work, crowding := r.work*b.keys.part[bin], b.crowding(e)
	a := attempt{ep: e, zone: e.Zone, cell: e.Cell, at: now, bin: bin, crowding: crowding, own: e.inflight,
		expected: b.predict(now, e, work), factor: work * crowding, out: true, mayRun: true}
	if r.place != nil {
		r.place.sentTo(now, e)
	}
	a.lateAt = now + Micros(max(lateFactor*a.expected, lateLeast*float64(b.class(r).LatencyObjective)))
	r.attempts = append(r.attempts, a)
	r.out++
	e.inflight++
	e.sentAt = now
	if b.s.Limits.KeepAlive > 0 {
		b.met[b.metAt%metMost] = e
		b.metAt++
	}
	b.sentWork.add(now, r.work)
	if first := len(r.attempts) == 1; first && int(r.Tenant) < len(b.tenants) {
		b.tenants[r.Tenant].add(now, 1)
	}
	b.out.Send(r.ID, e.ID, r.AttemptTimeout, by)
	if len(r.attempts) == 1 {
		b.out.Timer(max(1, r.Deadline-now), r.token)
		if after := b.copyAfter(r); after > 0 && now+after < r.Deadline {
			b.out.Timer(after, r.token)
		}
	}
	if b.lost.v >= lostLeast && a.lateAt+Micros(a.expected) < r.Deadline {
		b.out.Timer(a.lateAt-now, r.token)
	}
	return true
}

// returnWay is kept of a window for a refused client's way back, and as long again for what it asks for.
const returnWay = 50_000

// refuse gives the final answer "refused" where that is true, else "failed".
func (b *Balancer) refuse(now Micros, r *request) {
	harmless := b.harmlessFor(now, r)
	if r.ended || harmless == 0 {
		b.fail(r)
		return
	}
	var after Micros
	if b.s.Limits.RetryAfter {
		// Spread the returns, and let them come while an answer is still wanted.
		after = Micros((0.1 + 0.2*b.rng.float()) * float64(b.class(r).LatencyObjective))
		after = min(after, b.s.Limits.MaxRetryAfter, harmless)
	}
	b.out.Reject(r.ID, after)
	b.end(r)
}

func (b *Balancer) fail(r *request) {
	if !r.ended {
		b.out.Fail(r.ID)
		b.end(r)
	}
}

// Expire handles a request that its host must answer now, before its time is over.
func (b *Balancer) Expire(now Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.refuse(now, r)
	}
}

// ClientDisconnected handles a client that left before its final answer.
func (b *Balancer) ClientDisconnected(now Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.end(r)
	}
}
