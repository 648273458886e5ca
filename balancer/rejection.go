package balancer

import "math"

const (
	maxQueueingRatio  = 0.6    // of the time left to the objective: queueing accepted for the highest priority
	minQueueingRatio  = 0.2    // and for any
	tenantTolerance   = 0.12   // of its quota, by which a tenant is ahead of the others at its least weight
	worstWindowGain   = 4.0    // weight counts more in the worst windows, when requests are rejected
	minClassWorkRatio = 0.05   // of all work, below which a class gains nothing from being smaller
	fairnessScale     = 0.1    // ratio of requests in time, by which a class is served e times as badly
	onTimeWeight      = 0.02   // of the latest request in the ratio of requests answered in time
	minTrialInterval  = 10     // requests over the latency limit: one in so many is sent all the same,
	maxTrialInterval  = 640    // and one in so many after trials that were not answered in time
	retryTransit      = 50_000 // µs kept of a deduplication window for a client's retry to arrive
)

// exceedsLimit reports whether r would come too late from e to be worth its work. It does not where nobody
// queues while the fleet is well, since few samples of a long-tailed latency make a healthy endpoint look
// hopeless. As with the breaker, a trial is sent now and then, so that a wrong prediction does not persist:
// one in many, since a trial a second of each of a thousand balancers would overload the fleet again.
func (b *Balancer) exceedsLimit(now Micros, r *request, e *endpoint, mayTry bool) bool {
	predicted := b.predictLatency(now, e, b.expectedWork(now, r, e))
	limit := b.latencyLimit(now, r, e)
	busy := b.loadFactor(e) > 1 || b.trend.slowdown() > 1
	if !(predicted > limit) || !busy {
		return false
	}
	class := &b.classes[r.Class]
	class.sinceTrial++
	if !mayTry || class.sinceTrial < b.traffic.trialInterval || now-class.trialAt < trialPause {
		b.log(now, "request rejected: predicted latency too high",
			"endpoint", e.ID, "predicted_ms", int(predicted/1000), "limit_ms", int(limit/1000),
			"rejected_ratio", roundForLog(b.traffic.rejected.value))
		return true
	}
	class.trialAt = now
	class.sinceTrial = 0
	r.trial = true
	return false
}

// latencyLimit is the longest predicted latency at which r is still sent to e: its time there without a
// queue, and for queueing a part of the time left to its objective. Low priorities give way first.
func (b *Balancer) latencyLimit(now Micros, r *request, e *endpoint) float64 {
	service := b.expectedWork(now, r, e) * b.trend.slowdown() * e.currentSlowness(now, b)
	unqueued := b.estimates.roundTrip[e.Zone].value + service
	queueing := max(minQueueingRatio, maxQueueingRatio*r.priority)
	if b.safeRetryWindow(now, r) == 0 {
		queueing = maxQueueingRatio // it can no longer be rejected, and would fail
	}
	if n := len(r.attempts); b.reports.late || n > 0 && r.attempts[n-1].overdue {
		// Either the least loaded endpoint is unknown, and averages must not reject what it would serve, or the
		// attempt was dropped: it has waited longer than its class should already.
		queueing = 1
	}
	spare := float64(b.classOf(r).LatencyObjective) - float64(now-r.arrivedAt) - unqueued
	return min(unqueued+queueing*spare, float64(r.Deadline-now))
}

// priority ranks r, 0 to 1, by what the goal gains from a unit of its class's work, and by its tenant's
// quota.
func (b *Balancer) priority(now Micros, r *request) float64 {
	var work, weight float64 // per second, of all classes
	worst := 1.0             // ratio of requests in time, of any class
	for i := range b.classes {
		if b.settings.Classes[i].Retired {
			continue
		}
		class := &b.classes[i]
		rate := class.arrivals.rate(now)
		work += rate * class.work.value
		weight += rate * b.classWeight(i)
		worst = min(worst, class.onTime.or(1))
	}
	var highest, requestGain float64
	for i := range b.classes {
		if b.settings.Classes[i].Retired && i != int(r.Class) {
			continue
		}
		gain := b.classGain(now, i, work, weight, worst)
		highest = max(highest, gain)
		requestGain += gain * indicator(i == int(r.Class))
	}
	if !(highest > 0) { // also true of NaN
		return 1 // no weight was set
	}
	return requestGain / highest * b.tenantWeight(now, r)
}

// classGain is what the goal gains from a unit of a class's work: its weight per work over that of all, and
// more if it is the class that is served worst.
func (b *Balancer) classGain(now Micros, i int, work, weight, worst float64) float64 {
	class, goal := &b.classes[i], &b.settings.Goal
	workRatio := class.arrivals.rate(now) * class.work.value / work
	windows := goal.Overall + worstWindowGain*goal.WorstWindow
	gain := windows * b.classWeight(i) / class.work.value * work / weight
	urgency := math.Exp((worst - class.onTime.or(1)) / fairnessScale)
	return gain + goal.WorstClass/max(minClassWorkRatio, workRatio)*urgency
}

// classWeight is the priority weight of one request of a class.
func (b *Balancer) classWeight(class int) float64 {
	perRequest := 1 + (b.classes[class].work.value-1)*indicator(b.settings.WeightByWork)
	return b.settings.Classes[class].PriorityWeight * perRequest
}

// tenantWeight is 1 while r's tenant has had no more than its quota's part of what was sent, and falls to
// OverQuotaWeightRatio once it is ahead by tenantTolerance. Only the sends of this balancer are known.
func (b *Balancer) tenantWeight(now Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenants) {
		return 1
	}
	var sent, quotas float64
	for i := range b.tenants {
		sent += b.tenants[i].rate(now)
		quotas += b.settings.Tenants[i].Quota
	}
	quota := b.settings.Tenants[r.Tenant].Quota
	if quota <= 0 || sent <= 0 {
		return 1
	}
	excess := b.tenants[r.Tenant].rate(now)/quota*quotas/sent - 1
	return max(b.settings.OverQuotaWeightRatio, 1-max(0, excess)/tenantTolerance)
}

// safeRetryWindow is for how long a client that is rejected may retry without a second effect; 0 if it must
// not be promised that.
func (b *Balancer) safeRetryWindow(now Micros, r *request) Micros {
	class, first := b.classOf(r), r.firstMayHaveRun()
	switch {
	case class.Idempotency == Idempotent || first == nil:
		return math.MaxInt64
	case class.Idempotency == IdempotentWithKey && class.Group == GroupAll:
		return max(0, first.sentAt+class.DedupWindow-now-2*retryTransit)
	}
	return 0
}

// reject gives the final answer that promises that a retry is harmless, or fails r where it is not.
func (b *Balancer) reject(now Micros, r *request) {
	window := b.safeRetryWindow(now, r)
	if r.finished || window == 0 {
		b.fail(now, r)
		return
	}
	b.logAnswer(now, "request rejected", r)
	var retryAfter Micros
	if b.settings.Limits.RetryAfter {
		// Spread the retries, and let them come while an answer is still wanted.
		ratio := 0.1 + 0.2*b.random.float()
		retryAfter = Micros(ratio * float64(b.classOf(r).LatencyObjective))
		retryAfter = min(retryAfter, b.settings.Limits.MaxRetryAfter, window)
	}
	b.actions.Reject(r.ID, retryAfter)
	b.finish(r)
}

// fail gives the final answer that promises nothing.
func (b *Balancer) fail(now Micros, r *request) {
	if !r.finished {
		b.logAnswer(now, "request failed", r)
		b.actions.Fail(r.ID)
		b.finish(r)
	}
}
