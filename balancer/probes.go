package balancer

import "slices"

const (
	probeCostRatio      = 0.005       // upper limit of the cost of probe rounds, as a ratio of request weight
	onDemandCostRatio   = 0.02        // the same for probes on demand
	maxProbesPerRequest = 4.0         // regardless of their cost
	minAdmittedRatio    = 0.3         // lowest ratio of admitted requests assumed for the probe rate
	maxProbeInterval    = second / 10 // µs between rounds
	probesPerRound      = 3
	maxNewProbes        = 32         // probes of new endpoints at once
	probeTimeout        = 5 * second // a probe without response is considered lost after this time
	maxProbeWaitRatio   = 0.1        // longest wait of a request for probes, as a ratio of its latency objective
	reportAge           = second     // a report is fresh for this time,
	reportRounds        = 3          // or until the fleet, up to maxCandidates, has been probed this many times
	onDemandReportAge   = 0.25       // age limit with probes on demand, as a ratio of the latency objective
	roundTripRiseWeight = 0.01       // weight of a slower probe; low, as the round trip to a zone seldom changes
	minQueuedProbeRatio = 0.05       // ratio of queued probes above which all endpoints are taken to queue them
	minQueuedRequests   = 0.5        // requests ahead of a probe from which it counts as queued; less is jitter
	minLocalLoad        = 0.1        // requests in flight per endpoint from which local counts show the load
	minReportedRatio    = 0.8        // ratio of local requests that a timely report counts; reports are noisy
	maxLateReportRatio  = 0.1        // ratio of late reports above which averages replace reports
	settledRoundTrips   = 5.0        // round trips after which a send has certainly arrived
	ratioWeight         = 0.02       // weight of the latest sample in a ratio of requests, probes or reports
)

// probeRate returns the number of probes per second that their price permits.
func (b *Balancer) probeRate(now Micros) float64 {
	perRequest := min(maxProbesPerRequest, probeCostRatio/b.settings.Prices.Probe)
	// The price is per request. While all are rejected, reports must still show when rejections may end.
	admitted := max(minAdmittedRatio, 1-b.traffic.rejected.value)
	return max(1, perRequest*b.traffic.demand.rate(now)*admitted)
}

// holdForProbes probes a few random endpoints for r and holds it until they respond, as in synchronous
// Prequal.
func (b *Balancer) holdForProbes(now Micros, r *request) bool {
	enabled := b.probes.onDemand && b.settings.Limits.Probes && len(b.settings.Fields) > 0
	// When most requests are rejected, most skip probing: clients retry, and probes alone would fill the fleet.
	if !enabled || b.random.float() > max(minAdmittedRatio, 2-2*b.traffic.rejected.value) {
		return false
	}
	wait := min(maxProbeWaitRatio*float64(b.classOf(r).LatencyObjective), float64(r.Deadline-now)/4)
	for i := range int(b.probes.perRequest) {
		// The first is in this zone. The others must respond in time, since a late response makes the answer late
		// too. While many requests are rejected, endpoints with capacity are sought at up to twice the round trip.
		maxRoundTrip := wait / 2
		if i == 0 {
			maxRoundTrip = 0
		} else if b.random.float() < b.traffic.rejected.value {
			maxRoundTrip = wait
		}
		e := b.drawRandom(now, r, nil, maxRoundTrip)
		if e == nil {
			return false
		}
		if !slices.Contains(r.awaitedProbes, e) {
			b.sendProbe(now, e)
			r.awaitedProbes = append(r.awaitedProbes, e)
		}
	}
	r.waitingForProbes = true
	b.ledger.waitingForProbes = append(b.ledger.waitingForProbes, r)
	b.actions.Timer(max(1, Micros(wait)), r.timerToken)
	return true
}

// resumeWaiting decides on the requests that were waiting only for e's response, or need no other because e
// is idle.
func (b *Balancer) resumeWaiting(now Micros, e *endpoint) {
	for i := len(b.ledger.waitingForProbes) - 1; i >= 0; i = min(i, len(b.ledger.waitingForProbes)) - 1 {
		r := b.ledger.waitingForProbes[i]
		awaited := len(r.awaitedProbes)
		r.awaitedProbes = slices.DeleteFunc(r.awaitedProbes, func(a *endpoint) bool { return a == e })
		// No endpoint can be better than one with a free core.
		idle := e.reportedAt == now && e.otherInFlight+float64(e.inFlight) <= assumedCores-1
		if len(r.awaitedProbes) < awaited && (idle || len(r.awaitedProbes) == 0) {
			b.sendOrReject(now, r)
		}
	}
}

// maxReportAge returns how long a report may be used for a request with this latency objective.
func (b *Balancer) maxReportAge(now, objective Micros) Micros {
	if b.probes.onDemand {
		return Micros(onDemandReportAge * float64(objective))
	}
	rounds := reportRounds * float64(min(len(b.endpoints.list), maxCandidates)) / b.probeRate(now)
	return max(reportAge, Micros(rounds*float64(second)))
}

// sendProbe probes e, unless a probe is pending.
func (b *Balancer) sendProbe(now Micros, e *endpoint) {
	timedOut := now-e.probedAt > probeTimeout
	if !b.settings.Limits.Probes || e.State != Ready || e.probePending && !timedOut {
		return
	}
	e.probePending = true
	e.probedAt = now
	e.slowStart.tokens -= probeWorkRatio * b.classes[0].work.value * indicator(e.inSlowStart(now, b))
	b.actions.Probe(e.ID)
}

// probeNew probes endpoints that a membership event has added. If the allowance is too low for all of them,
// they are chosen at random. The allowance is earned at the probe rate, which follows the balancer's own
// traffic.
func (b *Balancer) probeNew(now Micros, added []*endpoint) {
	if len(added) == 0 {
		return
	}
	allowance := &b.probes.newAllowance
	earned := b.probeRate(now) * float64(now-b.probes.newEarnedAt) / float64(second)
	*allowance = min(maxNewProbes, *allowance+earned)
	b.probes.newEarnedAt = now
	for n := len(added); n > 0 && *allowance >= 1; n-- {
		i := 0
		if float64(n) > *allowance {
			i = int(b.random.float() * float64(n))
		}
		b.sendProbe(now, added[i])
		added[i] = added[n-1]
		*allowance--
	}
}

// runProbeRound probes a few random ready endpoints and schedules the next round.
func (b *Balancer) runProbeRound(now Micros) {
	rate := b.probeRate(now)
	b.probes.onDemand = b.needsProbesOnDemand(now, rate)
	if b.probes.onDemand {
		b.actions.Timer(reportAge/2+b.random.below(reportAge), probeTimer)
		return
	}
	n := max(1, min(probesPerRound, int(rate*float64(maxProbeInterval)/float64(second))))
	interval := float64(n) / rate * float64(second)
	list := b.endpoints.list
	for draw := 0; n > 0 && draw < 4*probesPerRound && len(list) > 0; draw++ {
		e := list[int(b.random.float()*float64(len(list)))]
		if e.State == Ready && !e.probePending {
			b.sendProbe(now, e)
			n--
		}
	}
	b.actions.Timer(1+Micros(interval*(0.5+b.random.float())), probeTimer)
}

// needsProbesOnDemand reports whether probing the whole fleet takes longer than reports stay fresh, while
// local counts show little: with a pool of old reports, all balancers would send to endpoints that are no
// longer idle.
func (b *Balancer) needsProbesOnDemand(now Micros, rate float64) bool {
	fleet := float64(len(b.endpoints.list))
	inFlight := b.traffic.demand.rate(now) * b.classes[0].work.value / float64(second)
	slow := fleet*float64(second) > rate*float64(reportAge)
	return b.probes.perRequest >= 1 && slow && inFlight < minLocalLoad*fleet
}

// ProbeCompleted handles the end of a probe, with a load report if the endpoint sent one.
func (b *Balancer) ProbeCompleted(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.endpoints.byID[id]
	if e == nil {
		return
	}
	b.endpoints.advance(now)
	e.probePending = false
	if status.answered() {
		e.lastResponseAt = now
	}
	if status != OK {
		e.reportedAt = 0 // an endpoint that rejects or delays probes should get no requests
		if status == Timeout {
			b.addBaselineLoad(assumedCores + b.queuedAhead(float64(latency)))
		}
		b.resumeWaiting(now, e)
		return
	}
	// The lowest latency in a zone is its round trip; the rest of a latency is time in the queue.
	roundTrip := &b.estimates.roundTrip[e.Zone]
	roundTrip.add(float64(latency), roundTripRiseWeight)
	roundTrip.value = min(roundTrip.value, float64(latency))
	queued := b.queuedAhead(float64(latency) - roundTrip.value)
	b.reports.queued.add(indicator(queued >= minQueuedRequests), ratioWeight)
	inFlight, counted := reportedInFlight(b.settings.Fields, load)
	if inFlight >= 0 && queued >= minQueuedRequests {
		inFlight = max(inFlight, assumedCores+queued)
	}
	if inFlight >= 0 {
		b.recordLoad(now, e, inFlight, queued)
	}
	b.resumeWaiting(now, e)
	if counted {
		b.checkReport(now, e, inFlight)
	}
}

// recordLoad adds e to the pool with its reported number of requests in flight.
func (b *Balancer) recordLoad(now Micros, e *endpoint, inFlight, queued float64) {
	b.probes.add(e)
	e.hasLoad = true
	e.reportedAt = now
	e.otherInFlight = max(0, inFlight-float64(e.inFlight))
	e.inFlightAtReport = e.inFlight
	b.addBaselineLoad(e.otherInFlight)
	probesQueue := b.reports.queued.value > minQueuedProbeRatio
	if probesQueue && queued < minQueuedRequests && b.estimates.baselineLoad.value < assumedCores {
		// Probes queue at other endpoints but did not at this one, so it has a free core even if an old report says
		// otherwise. If the whole fleet is busy, a probe avoids the queue by chance, and the report counts more.
		e.otherInFlight = min(e.otherInFlight, assumedCores-1)
	}
}

// checkReport detects late reports: a report that counts fewer requests than this balancer alone has in
// flight is late, unless some have not arrived yet. If many are late, the pool misleads, and averages are
// used instead.
func (b *Balancer) checkReport(now Micros, e *endpoint, inFlight float64) {
	local := float64(e.inFlight)
	settled := settledRoundTrips * b.estimates.roundTrip[e.Zone].value
	if local <= 0 || float64(now-e.lastSentAt) <= settled {
		return
	}
	quality := &b.reports
	quality.lateRatio.add(indicator(inFlight+0.5 < minReportedRatio*local), ratioWeight)
	late := quality.lateRatio.value
	if late > maxLateReportRatio && !quality.late || late < maxLateReportRatio/3 && quality.late {
		quality.late = !quality.late
		b.log(now, "load report reliability changed", "reports_late", quality.late, "late_ratio", roundForLog(late))
	}
}
