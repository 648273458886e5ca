package balancer

import "math"

// record feeds an outcome to the averages.
func (b *Balancer) record(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.ep
	switch status {
	case OK:
		e.br.count(now, 1, 0)
		e.br.latency(float64(latency))
		e.failures.ratio, e.failures.updatedAt = (1-failWeight)*e.failing(now), now
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
	e.failures.ratio, e.failures.updatedAt = (1-weight)*e.failing(now)+weight, now
	if !before && e.ejected(now) {
		b.log(now, "endpoint ejected", "endpoint", e.ID, "failure_ratio", ratio(e.failures.ratio))
	}
}

// learnPace learns from a latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnPace(now Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.ep
	x := max(0, latency-b.estimates.roundTrip[e.Zone].v) / a.factor
	// One that was overtaken may be lost, and then says nothing of how fast e is, or the fleet.
	if atLeast && (x <= e.paceNow(now, b) || e.answered > a.at) {
		return
	}
	b.trend.update(latency / a.expected)
	if !atLeast && e.pace.seen {
		b.keys.learn(a.bin, x*b.keys.part[a.bin]/e.paceNow(now, b))
	}
	if !atLeast && r.hint != 0 && x > 0 {
		// Rough hints overstate the large and understate the small: learn how far they tell.
		exponent := b.estimates.hintExponent + trustWeight*r.hint*math.Log(x/e.paceNow(now, b))
		b.estimates.hintExponent = min(1, max(0, exponent))
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
	if alone := b.estimates.kindSlowness[e.Kind].v / warmth; alone > 0 && b.estimates.baselineLoad.seen {
		b.estimates.baselineLoad.add(min(answerMost, x*a.crowding/alone*cores-1-float64(a.own)), answerWeight)
		b.estimates.baselineLoad.v = max(0, b.estimates.baselineLoad.v)
	}
	if !r.HasWorkHint {
		// Without hints a class's work is its mean latency on an endpoint without a queue.
		b.classes[r.Class].work.add(x*r.work, workWeight)
	}
	if !e.slowStart.active {
		b.estimates.kindSlowness[e.Kind].add(x, fleetWeight)
		b.estimates.fleetSlowness.add(x, fleetWeight)
	}
}

// update shifts what is expected of every endpoint by one outcome: when the whole fleet turns slow, or
// recovers, the paces of endpoints that see little of our traffic are learned far too late.
func (t *latencyTrend) update(ratio float64) {
	t.ratio = min(trendMost, max(1/trendMost, t.ratio*(1+trendWeight*(min(ratio, trendStep)-1))))
}

// slowdown is the trend beyond what chance makes of it.
func (t *latencyTrend) slowdown() float64 { return max(1, t.ratio/trendNoise) }
