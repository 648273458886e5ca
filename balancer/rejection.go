package balancer

import "math"

// room is the longest predicted latency at which r is still sent to e: its time there without a queue, and
// a part of what the aim leaves for waiting. Classes of little value for their work give way first.
func (b *Balancer) room(now Micros, r *request, e *endpoint) float64 {
	alone := b.estimates.roundTrip[e.Zone].v + b.workAt(now, r, e)*b.trend.slowdown()*e.paceNow(now, b)
	share := max(roomLeast, roomMost*r.value)
	if b.harmlessFor(now, r) == 0 {
		share = roomMost // it cannot be refused any more, and would fail
	}
	if n := len(r.attempts); b.reports.late || n > 0 && r.attempts[n-1].late {
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
		if b.settings.Classes[i].Retired {
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
		if b.settings.Classes[i].Retired && i != int(r.Class) {
			continue
		}
		part := c.asked.rate(now) * c.work.v / work
		gain := b.settings.Goal.Overall + windowGain*b.settings.Goal.WorstWindow
		v := gain * b.worth(i) / c.work.v * work / worth
		v += b.settings.Goal.WorstClass / max(0.05, part) * math.Exp((worst-c.good.or(1))/0.1)
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
		allowed += b.settings.Tenants[i].Quota
	}
	mine := b.settings.Tenants[r.Tenant].Quota
	if mine <= 0 || sent <= 0 {
		return 1
	}
	over := b.tenants[r.Tenant].rate(now)/mine*allowed/sent - 1
	return max(b.settings.OverQuotaWeightRatio, 1-max(0, over)/tenantSlack)
}

func (b *Balancer) worth(class int) float64 {
	perRequest := 1 + (b.classes[class].work.v-1)*share(b.settings.WeightByWork)
	return b.settings.Classes[class].PriorityWeight * perRequest
}

// returnWay is kept of a window for a refused client's way back, and as long again for what it asks for.
const returnWay = 50_000

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

// refuse gives the final answer "refused" where that is true, else "failed".
func (b *Balancer) refuse(now Micros, r *request) {
	harmless := b.harmlessFor(now, r)
	if r.ended || harmless == 0 {
		b.fail(r)
		return
	}
	var after Micros
	if b.settings.Limits.RetryAfter {
		// Spread the returns, and let them come while an answer is still wanted.
		after = Micros((0.1 + 0.2*b.random.float()) * float64(b.class(r).LatencyObjective))
		after = min(after, b.settings.Limits.MaxRetryAfter, harmless)
	}
	b.actions.Reject(r.ID, after)
	b.end(r)
}

func (b *Balancer) fail(r *request) {
	if !r.ended {
		b.actions.Fail(r.ID)
		b.end(r)
	}
}

// Expire handles a request that its host must answer now, before its time is over.
func (b *Balancer) Expire(now Micros, id uint64) {
	if r := b.ledger.requests[id]; r != nil {
		b.refuse(now, r)
	}
}
