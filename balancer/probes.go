package balancer

import "slices"

const (
	probeGap     = second / 10 // longest pause between probe rounds
	probeSpend   = 0.005       // of the result, at most, goes to probes
	firstTries   = 0.3         // at least, of what is asked
	probeMost    = 4.0         // probes a request, at most
	askSpend     = 0.02        // of the result, at most, goes to probes asked for single requests
	holdPart     = 0.1         // of its aim, at most, a request waits for the probes asked for it
	askedAge     = 0.25        // of its aim, at most, may a figure be old where probes go with requests
	probeBatch   = 3           // endpoints a round
	wayRise      = 0.01        // weight of a slower probe answer: the way to a zone seldom changes
	waitsTell    = 0.05        // share of probes that waited from which all are taken to stand in line
	usualWeight  = 0.1         // of the latest answer in the usual load
	answerWeight = 0.025       // and of a request's: there are more, and they tell less, since work varies
	answerMost   = 3 * cores   // held by others, at most, by one answer: beyond it is the tail of the work
	lineLeast    = 0.5         // requests a probe must have waited for to count: less is jitter
	ownTells     = 0.1         // own requests held at an endpoint from which own counts tell its load
	drawTries    = 8           // random draws before the list is gone through
	poolAge      = second      // an answer is fresh for this long,
	poolRounds   = 3           // or for so many turns of the whole fleet
	reportFloor  = 0.8         // of own requests held, that a report in time surely counts: reports are noisy
	lagMost      = 0.1         // share of late reports above which their averages serve
	shareWeight  = 0.02        // of the latest sample in a share of all
	paceLife     = 10 * second
	paceWeight   = 0.03
	thinWeight   = 0.15 // of a sample of an endpoint of which nothing was heard for paceLife
	fleetWeight  = 0.02
	workWeight   = 0.01
	settleTrips  = 5.0  // round trips after which a send has surely arrived
	othersWeight = 0.05 // of the delay that a send is to those already there: among equals less load goes first
	zoneWeight   = 2.0  // aims of latency that a crossing's price counts as
	idlePart     = 0.7  // of the time that endpoints keep a connection, for which an idle one is counted on
	openTrips    = 2.0  // round trips that a connection takes to open
	openWeight   = 0.2  // of an aim, what opening one counts as beside: work of the endpoint, and its price
	metDraws     = 4    // of them, that a pick considers
	metMost      = 32   // endpoints remembered as sent to of late
	cores        = 2.0  // requests that an endpoint works at side by side, assumed
)

// probeRate is the pace of probes a second that the settings' price allows.
func (b *Balancer) probeRate(now Micros) float64 {
	per := min(probeMost, probeSpend/b.settings.Prices.Probe)
	// The price counts first tries. While all is refused, answers must still show when that may end.
	return max(1, per*b.traffic.demand.rate(now)*max(firstTries, 1-b.traffic.rejected.v))
}

// hold probes a few random endpoints for r and keeps it until they answer.
func (b *Balancer) hold(now Micros, r *request) bool {
	// While most is refused, most go without: clients retry, and their probes alone would fill the fleet.
	asking := b.probes.onDemand && b.settings.Limits.Probes && len(b.settings.Fields) > 0
	if !asking || b.random.float() > max(firstTries, 2-2*b.traffic.rejected.v) {
		return false
	}
	wait := min(holdPart*float64(b.class(r).LatencyObjective), float64(r.Deadline-now)/4)
	for i := range int(b.probes.perRequest) {
		// One of its own zone, and others whose answer can come in time: from afar it would come too late,
		// and an endpoint heard of so late would serve late. While much is refused, a way out is looked for.
		far := wait / 2
		if i == 0 {
			far = 0
		} else if b.random.float() < b.traffic.rejected.v {
			far = wait
		}
		e := b.draw(now, r, nil, far)
		if e == nil {
			return false
		}
		if !slices.Contains(r.awaits, e) {
			b.probe(now, e)
			r.awaits = append(r.awaits, e)
		}
	}
	r.held = true
	b.ledger.waitingForProbes = append(b.ledger.waitingForProbes, r)
	b.actions.Timer(max(1, Micros(wait)), r.token)
	return true
}

// heard sends the requests that waited for e's answer alone.
func (b *Balancer) heard(now Micros, e *endpoint) {
	for i := len(b.ledger.waitingForProbes) - 1; i >= 0; i = min(i, len(b.ledger.waitingForProbes)) - 1 {
		r := b.ledger.waitingForProbes[i]
		waited := len(r.awaits)
		r.awaits = slices.DeleteFunc(r.awaits, func(a *endpoint) bool { return a == e })
		// Nothing beats an endpoint that has room at once.
		idle := e.answerAt == now && e.others+float64(e.inflight) <= cores-1
		if len(r.awaits) < waited && (idle || len(r.awaits) == 0) {
			b.decide(now, r)
		}
	}
}

// decide sends a request, or refuses it.
func (b *Balancer) decide(now Micros, r *request) {
	b.release(r)
	first := len(r.attempts) == 0
	sent := b.attempt(now, r, first)
	if first {
		b.traffic.rejected.add(share(!sent), shareWeight)
	}
	if !sent {
		b.refuse(now, r)
	}
}

// freshFor is how long a pooled answer may be used for a request of this aim.
func (b *Balancer) freshFor(now, aim Micros) Micros {
	if b.probes.onDemand {
		return Micros(askedAge * float64(aim))
	}
	return max(poolAge, Micros(poolRounds*float64(len(b.endpoints.list))/b.probeRate(now)*float64(second)))
}

func (b *Balancer) probe(now Micros, e *endpoint) {
	if lost := now-e.probedAt > 5*second; b.settings.Limits.Probes && e.State == Ready && (lost || !e.probing) {
		e.probing, e.probedAt = true, now
		e.slowStart.tokens -= probeShare * b.classes[0].work.v * share(e.cold(now, b))
		b.actions.Probe(e.ID)
	}
}

// probeRound probes a few random ready endpoints and arms the next round.
func (b *Balancer) probeRound(now Micros) {
	rate := b.probeRate(now)
	// Where a turn of the fleet takes too long for a fresh pool, and own in-flight tells little, probes go with
	// requests instead: a pool of old answers sends everyone to endpoints that were quiet long ago.
	size, own := float64(len(b.endpoints.list)), b.traffic.demand.rate(now)*b.classes[0].work.v/float64(second)
	b.probes.onDemand = b.probes.perRequest >= 1 && size*float64(second) > rate*float64(poolAge) &&
		own < ownTells*size
	if b.probes.onDemand {
		b.actions.Timer(poolAge/2+b.random.below(poolAge), tokenProbe)
		return
	}
	n := max(1, min(probeBatch, int(rate*float64(probeGap)/float64(second))))
	gap := float64(n) / rate * float64(second)
	for try := 0; n > 0 && try < 4*probeBatch && len(b.endpoints.list) > 0; try++ {
		e := b.endpoints.list[int(b.random.float()*float64(len(b.endpoints.list)))]
		if e.State == Ready && !e.probing {
			b.probe(now, e)
			n--
		}
	}
	b.actions.Timer(1+Micros(gap*(0.5+b.random.float())), tokenProbe)
}

// ProbeCompleted handles a probe's answer.
func (b *Balancer) ProbeCompleted(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.endpoints.byID[id]
	if e == nil {
		return
	}
	e.probing = false
	if status == OK || status == Error || status == Full {
		e.heardAt = now
	}
	if status != OK {
		e.answerAt = 0 // one that turns probes away or leaves them waiting is no place for a request
		if status == Timeout {
			b.estimates.baselineLoad.add(cores+b.line(float64(latency)), usualWeight)
		}
		b.heard(now, e)
		return
	}
	// The quickest answer of its zone is the way there and back alone; what one took beyond, it waited in line.
	way := &b.estimates.roundTrip[e.Zone]
	way.add(float64(latency), wayRise)
	way.v = min(way.v, float64(latency))
	waited := float64(latency) - way.v
	held, queue := figure(b.settings.Fields, load, FieldInflight), figure(b.settings.Fields, load, FieldQueue)
	hasHeld, util := held >= 0, figure(b.settings.Fields, load, FieldUtil)
	// Each figure proves that at least so much is held there.
	if !hasHeld && queue >= 0 {
		held = queue + cores*share(queue >= 1)
	} else if !hasHeld && util >= 0 {
		held = min(util, 1) * cores
	}
	line := b.line(waited)
	b.reports.queued.add(share(line >= lineLeast), shareWeight)
	if held >= 0 && line >= lineLeast {
		held = max(held, cores+line)
	}
	if held >= 0 {
		if !e.pooled {
			e.pooled = true
			b.probes.pool = append(b.probes.pool, e)
		}
		e.hasLoad, e.answerAt = true, now
		e.others, e.ownAt = max(0, held-float64(e.inflight)), e.inflight
		b.estimates.baselineLoad.add(e.others, usualWeight)
		if b.reports.queued.v > waitsTell && line < lineLeast && b.estimates.baselineLoad.v < cores {
			// Probes wait in line here, and this one found none, whatever an old report says. In a fleet that
			// is busy all over it is chance: the report tells more.
			e.others = min(e.others, cores-1)
		}
	}
	b.heard(now, e)
	// An answer that counts fewer than we alone have there is late, unless some are
	// still on their way. If that happens often, the pool misleads: averages serve then.
	own, settled := e.inflight, settleTrips*b.estimates.roundTrip[e.Zone].v
	if hasHeld && own > 0 && float64(now-e.sentAt) > settled {
		q := &b.reports
		q.lateRatio.add(share(held+0.5 < reportFloor*float64(own)), shareWeight)
		if q.lateRatio.v > lagMost && !q.late || q.lateRatio.v < lagMost/3 && q.late {
			q.late = !q.late
			b.log(now, "load report trust changed", "reports_late", q.late, "late_ratio", ratio(q.lateRatio.v))
		}
	}
}

// line is how many requests are ahead of a probe that waits so long.
func (b *Balancer) line(waited float64) float64 { return waited / b.classes[0].work.v * cores }
