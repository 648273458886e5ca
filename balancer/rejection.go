package balancer

import "math"

const (
	maxQueueingRatio  = 0.6    // ratio of the time left to the objective for queueing at the highest priority
	minQueueingRatio  = 0.2    // the same at the lowest priority
	tenantTolerance   = 0.12   // excess over its quota, as a ratio, at which a tenant has the lowest weight
	worstWindowGain   = 4.0    // weight counts more in the worst windows, which are those with rejections
	minClassWorkRatio = 0.05   // ratio of all work; a class below it gains no further priority from being small
	fairnessScale     = 0.1    // difference in the ratio of requests in time that multiplies urgency by e
	onTimeWeight      = 0.02   // weight of the latest request in the ratio of requests answered in time
	minTrialInterval  = 10     // one in this many requests over the latency limit is sent as a trial,
	maxTrialInterval  = 640    // and one in this many after trials that were not answered in time
	retryTransit      = 50_000 // µs of a deduplication window reserved for a client's retry to arrive
)

// exceedsLimit reports whether the answer to r from e would be too late to be worth the work. It returns
// false if no requests are queued at e and the fleet is not slower than usual, since a few samples of a
// long-tailed latency can make a healthy endpoint look too slow. As in the breaker, an occasional request is
// sent as a trial in spite of the limit, so that a wrong prediction does not persist. Trials are one in many
// requests and not one per second, since a trial per second from each of a thousand balancers would overload
// the fleet again.
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

// latencyLimit returns the highest predicted latency at which r is still sent to e: its time there without a
// queue, plus a part of the time left to its objective. The part is smaller for low priorities, which are
// rejected first.
func (b *Balancer) latencyLimit(now Micros, r *request, e *endpoint) float64 {
	service := b.expectedWork(now, r, e) * b.trend.slowdown() * e.currentSlowness(now, b)
	unqueued := b.estimates.roundTrip[e.Zone].value + service
	queueing := max(minQueueingRatio, maxQueueingRatio*r.priority)
	if b.safeRetryWindow(now, r) == 0 {
		queueing = maxQueueingRatio // the request can no longer be rejected, only failed
	}
	if n := len(r.attempts); b.reports.late || n > 0 && r.attempts[n-1].overdue {
		// Either reports are late, and averages must not reject what the unknown least loaded endpoint would serve,
		// or the previous attempt was dropped, and the request has already waited too long for its class.
		queueing = 1
	}
	spare := float64(b.classOf(r).LatencyObjective) - float64(now-r.arrivedAt) - unqueued
	return min(unqueued+queueing*spare, float64(r.Deadline-now))
}

// priority ranks r from 0 to 1 by the contribution of a unit of its class's work to the goal, and by the
// quota of its tenant.
func (b *Balancer) priority(now Micros, r *request) float64 {
	var work, weight float64 // per second, of all classes
	worst := 1.0             // lowest ratio of requests in time of any class
	for i := range b.classes {
		if b.settings.Classes[i].Retired {
			continue
		}
		class := &b.classes[i]
		rate := class.arrivals.rate(now)
		work += rate * class.work.value
		weight += rate * b.classWeight(i)
		worst = min(worst, class.onTime.valueOr(1))
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

// classGain returns the contribution of a unit of a class's work to the goal: its weight per work relative to
// that of all classes, plus a term that is larger the worse the class is served.
func (b *Balancer) classGain(now Micros, i int, work, weight, worst float64) float64 {
	class, goal := &b.classes[i], &b.settings.Goal
	workRatio := class.arrivals.rate(now) * class.work.value / work
	windows := goal.Overall + worstWindowGain*goal.WorstWindow
	gain := windows * b.classWeight(i) / class.work.value * work / weight
	urgency := math.Exp((worst - class.onTime.valueOr(1)) / fairnessScale)
	return gain + goal.WorstClass/max(minClassWorkRatio, workRatio)*urgency
}

// classWeight is the priority weight of one request of a class.
func (b *Balancer) classWeight(class int) float64 {
	perRequest := 1 + (b.classes[class].work.value-1)*indicator(b.settings.WeightByWork)
	return b.settings.Classes[class].PriorityWeight * perRequest
}

// tenantWeight returns 1 while r's tenant has had no more than its quota's part of the requests sent, and
// falls to OverQuotaWeightRatio as the excess reaches tenantTolerance. Only requests that this balancer has
// sent are counted, since those of other balancers are not known.
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

// safeRetryWindow returns for how long a rejected client may retry without a second effect, or 0 if the
// balancer cannot guarantee that.
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

// reject gives the final answer that guarantees that a retry is harmless, or fails r if that is not certain.
func (b *Balancer) reject(now Micros, r *request) {
	window := b.safeRetryWindow(now, r)
	if r.finished || window == 0 {
		b.fail(now, r)
		return
	}
	b.logFinalAnswer(now, "request rejected", r)
	var retryAfter Micros
	if b.settings.Limits.RetryAfter {
		// Spread out the retries, but early enough that an answer is still useful.
		ratio := 0.1 + 0.2*b.random.float()
		retryAfter = Micros(ratio * float64(b.classOf(r).LatencyObjective))
		retryAfter = min(retryAfter, b.settings.Limits.MaxRetryAfter, window)
	}
	b.actions.Reject(r.ID, retryAfter)
	b.finish(r)
}

// fail gives the final answer without a guarantee.
func (b *Balancer) fail(now Micros, r *request) {
	if !r.finished {
		b.logFinalAnswer(now, "request failed", r)
		b.actions.Fail(r.ID)
		b.finish(r)
	}
}
