package balancer

import (
	"math"
	"slices"
)

// probePool holds at most maxCandidates endpoints with a fresh load report, and the mode of probing.
type probePool struct {
	pool       []*endpoint
	perRequest float64 // probes on demand for one request
	onDemand   bool    // probes are sent for single requests, not in rounds

	newAllowance float64 // tokens for probes of new endpoints
	newEarnedAt  Micros  // when tokens were last added
}

// add adds an endpoint that reports now. If the pool is full, it replaces the endpoint with the oldest report.
func (p *probePool) add(e *endpoint) {
	if e.pooled {
		return
	}
	e.pooled = true
	if len(p.pool) < maxCandidates {
		p.pool = append(p.pool, e)
		return
	}
	oldest := 0
	for i, other := range p.pool {
		if other.reportedAt < p.pool[oldest].reportedAt {
			oldest = i
		}
	}
	p.pool[oldest].pooled = false
	p.pool[oldest] = e
}

// remove removes an endpoint.
func (p *probePool) remove(e *endpoint) {
	if e.pooled {
		e.pooled = false
		p.pool = slices.DeleteFunc(p.pool, func(other *endpoint) bool { return other == e })
	}
}

// dropStale removes endpoints whose report is older than maxAge, or which are not ready.
func (p *probePool) dropStale(now, maxAge Micros) {
	p.pool = slices.DeleteFunc(p.pool, func(e *endpoint) bool {
		e.pooled = e.State == Ready && now-e.reportedAt <= maxAge
		return !e.pooled
	})
}

// reportQuality measures how reliable load reports and probes are.
type reportQuality struct {
	queued    ewma // ratio of probes that queued at the endpoint
	lateRatio ewma // ratio of load reports that are certainly late
	late      bool // reports are too late to base decisions on
}

// addBaselineLoad adds a sample, obtained from a probe, of the load that other balancers cause at an endpoint.
func (b *Balancer) addBaselineLoad(others float64) {
	b.estimates.baselineLoad.add(others, baselineProbeWeight)
}

// queuedAhead estimates the number of requests ahead of a probe from its time in the queue, in µs.
func (b *Balancer) queuedAhead(queueing float64) float64 {
	return queueing / b.classes[0].work.value * assumedCores
}

// reportedInFlight returns the lowest number of requests in flight that a load report implies, or -1 if the report has
// no figure for it; counted reports whether the endpoint has counted them.
func reportedInFlight(fields []Field, load []float32) (inFlight float64, counted bool) {
	if inFlight = reportValue(fields, load, FieldInFlight); inFlight >= 0 {
		return inFlight, true
	}
	if queue := reportValue(fields, load, FieldQueue); queue >= 0 {
		return queue + assumedCores*indicator(queue >= 1), false
	}
	if utilization := reportValue(fields, load, FieldUtilization); utilization >= 0 {
		return min(utilization, 1) * assumedCores, false
	}
	return -1, false
}

// reportValue returns a figure of a load report, or -1 if it is missing or invalid.
func reportValue(fields []Field, load []float32, want Field) float64 {
	for i, field := range fields[:min(len(fields), len(load))] {
		value := float64(load[i])
		if field == want && value >= 0 && !math.IsInf(value, 0) { // false for NaN, too
			return value
		}
	}
	return -1
}

// discoveryPolling is the state of the subscription to discovery and of its retries.
type discoveryPolling struct {
	subscribed bool
	pollAt     Micros // time of the next poll, unless subscribed by then
	backoff    Micros

	pollPending bool   // a poll has neither been answered nor failed
	polledAt    Micros // time of that poll
}

// schedulePoll schedules the next poll of discovery.
func (b *Balancer) schedulePoll(now, delay Micros) {
	b.discovery.pollAt = now + delay
	b.actions.Timer(delay, discoveryTimer)
}
