package balancer

import "math"

const (
	budgetBurst = 10.0
	retryShare  = 0.2  // retries earned by each request
	lostWeight  = 0.02 // of the latest outcome in the share of attempts that are lost
	lostLeast   = 0.01 // share from which late attempts get a second copy
	copyShare   = 0.2  // second copies earned by each request
	trustWeight = 0.005
	trendWeight = 0.1
	trendStep   = 4.0 // one outcome counts as no more than this many times the prediction
	trendNoise  = 1.5
	trendMost   = 8.0
	failWeight  = 0.5  // of the latest outcome in an endpoint's share of failures: healthy ones hardly ever fail
	wayWeight   = 0.25 // the same for a failure of the way there: connections break at healthy endpoints, too
	tailStep    = 0.02 // of the aim, by which a quantile moves at most with one answer
	lateFactor  = 2.5  // times the latency expected, and
	lateLeast   = 0.25 // of the aim at least, after which an answer is late
	passLeast   = 10   // requests that seem too late: one of so many is sent all the same,
	passMost    = 640  // and one of so many after passes that earned nothing
	ejectFrom   = 0.4  // share of failures from which an endpoint is ejected
	roomMost    = 0.6  // of what the aim leaves may be waited by the class of most value: latencies vary
	roomLeast   = 0.2  // and by any
	tenantSlack = 0.12 // of its share, by which a tenant is ahead of the others when the rest is over its share
	windowGain  = 4.0  // worth counts more in the worst windows, and those are when requests are refused
)

// HandleRequest handles a client's request.
func (b *Balancer) HandleRequest(now Micros, in Request) {
	if b.ledger.requests[in.ID] != nil {
		return
	}
	if int(in.Class) >= len(b.classes) {
		b.actions.Reject(in.ID, 0) // nothing is known of it, but an answer is owed
		return
	}
	// A client that comes again may be of an effect that is nearly forgotten, and what it then asks for may have
	// run: it is sent at once, or not at all.
	if c := &b.settings.Classes[in.Class]; in.ClientRetry && !in.MayHaveRun &&
		c.Idempotency == IdempotentWithKey && c.Group == GroupAll {
		in.MayHaveRun, in.PreviousAttempt = true, PreviousAttempt{At: now - c.DedupWindow + returnWay}
	}
	r := b.newRequest(now, in)
	b.traffic.demand.add(now, 1)
	left, u := b.budget(r)
	*left = min(u.Burst, *left+u.EarnRatio)
	b.budgets.hedge = min(budgetBurst, b.budgets.hedge+copyShare)
	c := &b.classes[in.Class]
	c.asked.add(now, 1)
	r.work = c.work.v
	if r.hint = 0; in.HasWorkHint && in.WorkHint > 0 {
		c.work.add(float64(in.WorkHint), workWeight)
		r.hint = math.Log(float64(in.WorkHint) / c.work.v)
		r.work = c.work.v * math.Exp(b.estimates.hintExponent*r.hint)
	}
	if now >= in.Deadline || b.ledger.open > b.settings.Limits.MaxOpen {
		b.refuse(now, r)
		return
	}
	if !b.hold(now, r) {
		b.decide(now, r)
	}
}

// attempt picks and sends; a pick that the breaker refuses tries one more.
func (b *Balancer) attempt(now Micros, r *request, first bool) bool {
	r.value = b.value(now, r)
	e := b.pick(now, r, nil)
	if e == nil {
		return false
	}
	x, most := b.predict(now, e, b.workAt(now, r, e)), b.room(now, r, e)
	if x > most && (b.crowding(e) > 1 || b.trend.slowdown() > 1) {
		// It would come too late to be worth its work: not where nobody waits while the fleet is well, since
		// few samples of a long-tailed latency make a healthy endpoint look hopeless. As with the breaker, one
		// passes now and then, so that a wrong guess does not feed itself: of so many, since a pass a second
		// at each of a thousand balancers is more than a jammed fleet can bear.
		c := &b.classes[r.Class]
		c.since++
		if !first || c.since < b.traffic.trialInterval || now-c.passed < forcedPass {
			b.log(now, "request rejected: predicted latency too high", "endpoint", e.ID,
				"predicted_ms", int(x/1000), "limit_ms", int(most/1000), "rejected_ratio", ratio(b.traffic.rejected.v))
			return false
		}
		c.passed, c.since = now, 0
		r.pass = true
	}
	if !b.allows(now, r, e) {
		if e = b.pick(now, r, e); e == nil || !b.allows(now, r, e) {
			return false
		}
	}
	return b.send(now, r, e)
}

// wake looks at a request whose probes are slow, or whose time is up.
func (b *Balancer) wake(now Micros, r *request) {
	if now >= r.Deadline {
		for i := range r.attempts {
			if a := &r.attempts[i]; a.out {
				b.learnPace(now, r, a, float64(now-a.at), true)
			}
		}
		b.refuse(now, r)
	} else if r.held {
		// Only the idle answer in time: to count them alone would show an idle fleet when all of it is jammed.
		for _, e := range r.awaits {
			b.estimates.baselineLoad.add(cores+b.line(float64(now-e.probedAt)), usualWeight)
		}
		b.decide(now, r)
	} else if n := len(r.attempts); n > 0 {
		a := &r.attempts[n-1]
		if after := b.copyAfter(r); n == 1 && a.out && !a.late && after > 0 && now >= a.at+after {
			a.late, a.planned = true, true
			b.copy(now, r)
		} else if a.out && !a.late && now >= a.lateAt {
			b.late(now, r, a)
		}
	}
}

// ResponseStarted handles the start of a streamed answer: no deadline and no attempt concern it from here on.
func (b *Balancer) ResponseStarted(now Micros, id uint64, attempt int, latency Micros) {
	r := b.ledger.requests[id]
	if r == nil || r.ended || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.stream = true
}

// AttemptCompleted handles the end of an attempt.
func (b *Balancer) AttemptCompleted(now Micros, o Outcome) {
	r := b.ledger.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := &r.attempts[o.Attempt]
	if e := b.endpoints.byID[o.Endpoint]; e != nil && e != a.ep {
		// It went elsewhere: what it tells, and where repeats of it are dropped, goes by that endpoint.
		a.ep.inflight--
		b.cleanUp(a.ep)
		e.inflight++
		a.ep, a.zone, a.cell = e, e.Zone, e.Cell
	}
	a.out, a.broke = false, o.Status == Reset || o.Status == ConnectFailed
	r.out--
	a.ep.inflight--
	b.cleanUp(a.ep)
	if o.Status == Full || o.Status == ConnectFailed || o.Status == NotSent {
		a.mayRun = false
	}
	if o.Status == OK || o.Status == Error || o.Status == Full {
		a.ep.heardAt, a.ep.answered = now, max(a.ep.answered, a.at)
	}
	lost := a.late && !a.planned && o.Status == Cancelled ||
		o.Status == Timeout && (a.ep.answered > a.at || a.ep.heardAt < a.at)
	b.traffic.swallowed.add(share(lost), lostWeight)
	b.record(now, r, a, o.Status, o.Latency)
	if o.Status == OK && !r.ended && now-r.arrived <= b.class(r).LatencyObjective {
		r.good = 1
		b.traffic.trialInterval = passLeast
	} else if r.pass {
		// A jam needs rest: what is passed into it only keeps it.
		b.traffic.trialInterval = min(2*b.traffic.trialInterval, passMost)
	}
	if o.Settled || o.Status == OK || r.ended {
		b.end(r)
		return
	}
	price := share(a.mayRun) // what never ran may be sent again for nothing
	if left, _ := b.budget(r); *left >= price && b.attempt(now, r, false) {
		*left -= price
		return
	}
	if r.out == 0 { // else another copy may still be answered
		b.refuse(now, r)
	}
}
