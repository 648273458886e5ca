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
	if b.requests[in.ID] != nil {
		return
	}
	if int(in.Class) >= len(b.classes) {
		b.out.Reject(in.ID, 0) // nothing is known of it, but an answer is owed
		return
	}
	// A client that comes again may be of an effect that is nearly forgotten, and what it then asks for may have
	// run: it is sent at once, or not at all.
	if c := &b.s.Classes[in.Class]; in.ClientRetry && !in.MayHaveRun &&
		c.Idempotency == IdempotentWithKey && c.Group == GroupAll {
		in.MayHaveRun, in.PreviousAttempt = true, PreviousAttempt{At: now - c.DedupWindow + returnWay}
	}
	r := b.newRequest(now, in)
	b.demand.add(now, 1)
	left, u := b.budget(r)
	*left = min(u.Burst, *left+u.EarnRatio)
	b.copies = min(budgetBurst, b.copies+copyShare)
	c := &b.classes[in.Class]
	c.asked.add(now, 1)
	r.work = c.work.v
	if r.hint = 0; in.HasWorkHint && in.WorkHint > 0 {
		c.work.add(float64(in.WorkHint), workWeight)
		r.hint = math.Log(float64(in.WorkHint) / c.work.v)
		r.work = c.work.v * math.Exp(b.trust*r.hint)
	}
	if now >= in.Deadline || b.open > b.s.Limits.MaxOpen {
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
	if x > most && (b.crowding(e) > 1 || b.slowdown() > 1) {
		// It would come too late to be worth its work: not where nobody waits while the fleet is well, since
		// few samples of a long-tailed latency make a healthy endpoint look hopeless. As with the breaker, one
		// passes now and then, so that a wrong guess does not feed itself: of so many, since a pass a second
		// at each of a thousand balancers is more than a jammed fleet can bear.
		c := &b.classes[r.Class]
		c.since++
		if !first || c.since < b.passOf || now-c.passed < forcedPass {
			b.log(now, "request rejected: predicted latency too high", "endpoint", e.ID,
				"predicted_ms", int(x/1000), "limit_ms", int(most/1000), "rejected_ratio", ratio(b.refused.v))
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

// room is the longest predicted latency at which r is still sent to e: its time there without a queue, and
// a part of what the aim leaves for waiting. Classes of little value for their work give way first.
func (b *Balancer) room(now Micros, r *request, e *endpoint) float64 {
	alone := b.ways[e.Zone].v + b.workAt(now, r, e)*b.slowdown()*e.paceNow(now, b)
	share := max(roomLeast, roomMost*r.value)
	if b.harmlessFor(now, r) == 0 {
		share = roomMost // it cannot be refused any more, and would fail
	}
	if n := len(r.attempts); b.reportsLate || n > 0 && r.attempts[n-1].late {
		// Either the least loaded endpoint is not known, and averages must not refuse what it would serve,
		// or the request was swallowed: it has waited longer than its class should already.
		share = 1
	}
	spare := float64(b.class(r).LatencyObjective) - float64(now-r.arrived) - alone
	return min(alone+share*spare, float64(r.Deadline-now))
}

// value ranks r's class, 0 to 1, by the goal's gain from a unit of its work: worth, and more if served worst.
func (b *Balancer) value(now Micros, r *request) float64 {
	var work, worth float64
	worst := 1.0
	for i := range b.classes {
		c := &b.classes[i]
		if b.s.Classes[i].Retired {
			continue
		}
		rate := c.asked.rate(now)
		work += rate * c.work.v
		worth += rate * b.worth(i)
		worst = min(worst, c.good.or(1))
	}
	var top, own float64
	for i := range b.classes {
		c := &b.classes[i]
		if b.s.Classes[i].Retired && i != int(r.Class) {
			continue
		}
		part := c.asked.rate(now) * c.work.v / work
		v := (b.s.Goal.Overall + windowGain*b.s.Goal.WorstWindow) * b.worth(i) / c.work.v * work / worth
		v += b.s.Goal.WorstClass / max(0.05, part) * math.Exp((worst-c.good.or(1))/0.1)
		top = max(top, v)
		own += v * share(i == int(r.Class))
	}
	if !(top > 0) {
		return 1 // no worth was set
	}
	return own / top * b.shareWorth(now, r)
}

// shareWorth is what a request of r's tenant is worth: all of it while the tenant has had no more than its
// share of what was sent, and that of traffic over the share once it is ahead by tenantSlack. Only this
// balancer's own sends are known. Weighing them against each other, not against the allowances, needs no
// guess at what the other balancers carry: what all serve beyond the shares falls on all tenants alike.
func (b *Balancer) shareWorth(now Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenants) {
		return 1
	}
	var sent, allowed float64
	for i := range b.tenants {
		sent += b.tenants[i].rate(now)
		allowed += b.s.Tenants[i].Quota
	}
	mine := b.s.Tenants[r.Tenant].Quota
	if mine <= 0 || sent <= 0 {
		return 1
	}
	over := b.tenants[r.Tenant].rate(now)/mine*allowed/sent - 1
	return max(b.s.OverQuotaWeightRatio, 1-max(0, over)/tenantSlack)
}

func (b *Balancer) worth(class int) float64 {
	return b.s.Classes[class].PriorityWeight * (1 + (b.classes[class].work.v-1)*share(b.s.WeightByWork))
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
			b.usual.add(cores+b.line(float64(now-e.probedAt)), usualWeight)
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

// copy sends a second copy, if the limits, the class and the copies' budget permit.
func (b *Balancer) copy(now Micros, r *request) {
	if b.s.Limits.Hedging && !r.NoHedging && b.copies >= 1 && b.attempt(now, r, false) {
		b.copies--
	}
}

// late handles an attempt that takes far longer than was expected. Where all wait in line it must be waited
// for: a second copy doubles the work of those that have too much. But where a later one was answered before
// it, or nothing was heard at all since, not even a probe, it is lost: endpoints and the ways to them may
// swallow some requests and answer the rest in time. Then a copy goes elsewhere, as far as the class permits.
// That is done only while such losses are proven to happen: most late answers are slow, and come.
func (b *Balancer) late(now Micros, r *request, a *attempt) {
	e := a.ep
	if b.lost.v < lostLeast {
		return
	}
	overtaken, silent := e.answered > a.at, a.doubted && e.heardAt < a.at
	if !overtaken && !silent {
		a.doubted = true
		b.probe(now, e)
		a.lateAt = now + (now-a.at)/2
		if a.lateAt < r.Deadline {
			b.out.Timer(a.lateAt-now, r.token)
		}
		return
	}
	a.late = true
	b.copy(now, r)
}

// ResponseStarted handles the start of a streamed answer: no deadline and no attempt concern it from here on.
func (b *Balancer) ResponseStarted(now Micros, id uint64, attempt int, latency Micros) {
	r := b.requests[id]
	if r == nil || r.ended || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.stream = true
}

// AttemptCompleted handles the end of an attempt.
func (b *Balancer) AttemptCompleted(now Micros, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := &r.attempts[o.Attempt]
	if e := b.byID[o.Endpoint]; e != nil && e != a.ep {
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
	b.lost.add(share(lost), lostWeight)
	b.record(now, r, a, o.Status, o.Latency)
	if o.Status == OK && !r.ended && now-r.arrived <= b.class(r).LatencyObjective {
		r.good = 1
		b.passOf = passLeast
	} else if r.pass {
		b.passOf = min(2*b.passOf, passMost) // a jam needs rest: what is passed into it only keeps it
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

// record feeds an outcome to the averages.
func (b *Balancer) record(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.ep
	switch status {
	case OK:
		e.br.count(now, 1, 0)
		e.br.latency(float64(latency))
		e.errs, e.errAt = (1-failWeight)*e.failing(now), now
		b.learnPace(now, r, a, float64(latency), false)
		if c, tail := b.class(r), &b.classes[r.Class].tail; c.HedgeQuantile > 0 {
			// Robbins and Monro's: up by a part where it was slower, down by the rest where it was not.
			tail.v += tailStep * float64(c.LatencyObjective) * (c.HedgeQuantile - share(float64(latency) <= tail.v))
		}
	case Cancelled, NotSent:
	default:
		e.br.count(now, 0, 1)
		hasty := status == Timeout && float64(latency) < lateFactor*a.expected // the client had little time
		if weight := failWeight; !a.late && !hasty {
			if status == Reset || status == ConnectFailed || status == Timeout {
				weight = wayWeight
			}
			b.blame(now, e, weight)
		}
		if status == Timeout {
			b.learnPace(now, r, a, float64(latency), true)
		}
	}
}

// blame counts a failure of this weight against e.
func (b *Balancer) blame(now Micros, e *endpoint, weight float64) {
	before := e.ejected(now)
	e.errs, e.errAt = (1-weight)*e.failing(now)+weight, now
	if !before && e.ejected(now) {
		b.log(now, "endpoint ejected", "endpoint", e.ID, "failure_ratio", ratio(e.errs))
	}
}

// learnPace learns from a latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnPace(now Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.ep
	x := max(0, latency-b.ways[e.Zone].v) / a.factor
	// One that was overtaken may be lost, and then says nothing of how fast e is, or the fleet.
	if atLeast && (x <= e.paceNow(now, b) || e.answered > a.at) {
		return
	}
	b.follow(latency / a.expected)
	if !atLeast && e.pace.seen {
		b.keys.learn(a.bin, x*b.keys.part[a.bin]/e.paceNow(now, b))
	}
	if !atLeast && r.hint != 0 && x > 0 {
		// Rough hints overstate the large and understate the small: learn how far they tell.
		b.trust = min(1, max(0, b.trust+trustWeight*r.hint*math.Log(x/e.paceNow(now, b))))
	}
	warmth := e.warmth(now, b) // what is kept is the pace once warm
	e.pace = ewma{v: e.paceNow(now, b) * warmth, seen: true}
	e.pace.add(x*warmth, max(paceWeight, thinWeight*min(1, float64(now-e.paceAt)/float64(paceLife))))
	e.paceAt = now
	if atLeast {
		return
	}
	// How much longer than its kind it took tells what others hold, sooner than the few probes do. These say
	// what is usual to begin with: by answers alone a busy fleet and slow machines look alike. What is less
	// than usual must weigh as much as what is more, so nothing is cut off below.
	if alone := b.kinds[e.Kind].v / warmth; alone > 0 && b.usual.seen {
		b.usual.add(min(answerMost, x*a.crowding/alone*cores-1-float64(a.own)), answerWeight)
		b.usual.v = max(0, b.usual.v)
	}
	if !r.HasWorkHint {
		// Without hints a class's work is its mean latency on an endpoint without a queue.
		b.classes[r.Class].work.add(x*r.work, workWeight)
	}
	if !e.isCold {
		b.kinds[e.Kind].add(x, fleetWeight)
		b.fleet.add(x, fleetWeight)
	}
}

// follow shifts what is expected of every endpoint by one outcome: when the whole fleet turns slow, or
// recovers, the paces of endpoints that see little of our traffic are learned far too late.
func (b *Balancer) follow(ratio float64) {
	b.trend = min(trendMost, max(1/trendMost, b.trend*(1+trendWeight*(min(ratio, trendStep)-1))))
}

// slowdown is the trend beyond what chance makes of it.
func (b *Balancer) slowdown() float64 { return max(1, b.trend/trendNoise) }
