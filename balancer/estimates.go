package balancer

import "math"

// classStats holds what the balancer has learned about the requests of one class.
type classStats struct {
	work         ewma   // mean work of a request, in µs
	arrivals     meter  // requests received
	onTime       ewma   // ratio of requests answered within the latency objective
	hedgeLatency ewma   // latency at HedgeQuantile, in µs; 0 if no quantile is set
	trialAt      Micros // when a request over its latency limit was last sent as a trial
	sinceTrial   int    // requests over their latency limit since then

	idempotencyKeys generations[idempotencyRecord] // by Request.IdempotencyKey
}

// traffic measures the demand on this balancer and the outcomes of its requests.
type traffic struct {
	demand        meter // requests received
	sentWork      meter // work sent, in µs
	rejected      ewma  // ratio of requests rejected at arrival
	dropped       ewma  // ratio of attempts that were lost
	trialInterval int   // one in this many requests over their latency limit is sent as a trial
}

// estimates are the defaults for endpoints with few or no samples, and the exponent for work hints.
type estimates struct {
	roundTrip     [256]ewma // shortest probe latency in µs, by zone
	kindSlowness  [256]mean // slowness of endpoints, by kind of machine
	fleetSlowness mean      // slowness of all endpoints
	baselineLoad  ewma      // requests of other balancers in flight at an endpoint
	hintExponent  float64   // work is taken to grow with this power of a work hint
}

// latencyTrend tracks the ratio of observed to predicted latencies over all endpoints.
type latencyTrend struct{ ratio float64 }

// initialize sets the statistics and budgets whose initial value is not the zero value.
func (b *Balancer) initialize() {
	// These ratios start at 0 instead of at their first sample.
	b.reports.lateRatio.seen = true
	b.traffic.rejected.seen = true
	b.traffic.dropped.seen = true
	b.traffic.trialInterval = minTrialInterval
	b.trend.ratio = 1
	b.estimates.hintExponent = 0.5
	b.keys.reset()
	b.budgets.retry = budgetBurst
	b.budgets.hedge = budgetBurst
	b.probes.newAllowance = maxNewProbes
}

// estimateWork estimates the work of r from its hint, or else from the mean of its class.
func (b *Balancer) estimateWork(now Micros, r *request) {
	class := &b.classes[r.Class]
	class.arrivals.add(now, 1)
	r.work = class.work.value
	r.logHint = 0
	if r.HasWorkHint && r.WorkHint > 0 {
		class.work.add(float64(r.WorkHint), workWeight)
		r.logHint = math.Log(float64(r.WorkHint) / class.work.value)
		r.work = class.work.value * math.Exp(b.estimates.hintExponent*r.logHint)
	}
}

// Constants named Weight are the weight of the latest sample in an exponentially weighted moving average.
const (
	hintExponentWeight     = 0.005
	fleetWeight            = 0.02
	workWeight             = 0.01
	slownessWeight         = 0.03
	staleSlownessWeight    = 0.15 // for an endpoint without a sample for slownessLifetime
	slownessLifetime       = 10 * second
	baselineProbeWeight    = 0.1              // of a probe response in the baseline load
	baselineResponseWeight = 0.025            // of an answer; low, as answers are frequent and their work varies
	maxBaselineSample      = 3 * assumedCores // higher samples come from the tail of the work distribution
	trendWeight            = 0.1
	maxTrendSample         = 4.0 // a single outcome counts as at most this multiple of the prediction
	trendNoiseRatio        = 1.5 // a trend up to this ratio may be random
	maxTrend               = 8.0
)

// learnHedgeLatency moves the estimate of the class's latency quantile by stochastic approximation (Robbins
// and Monro, 1951): up by HedgeQuantile of a step after a slower answer, otherwise down by 1-HedgeQuantile of a step.
func (b *Balancer) learnHedgeLatency(r *request, latency float64) {
	class, estimate := b.classOf(r), &b.classes[r.Class].hedgeLatency
	if class.HedgeQuantile <= 0 {
		return
	}
	step := hedgeQuantileStep * float64(class.LatencyObjective)
	estimate.value += step * (class.HedgeQuantile - indicator(latency <= estimate.value))
}

// learnSlowness adds a sample to e's slowness, which is stored normalized to full capacity.
func (e *endpoint) learnSlowness(now Micros, b *Balancer, slowness, capacity float64) {
	e.slowness = ewma{value: e.currentSlowness(now, b) * capacity, seen: true}
	age := min(1, float64(now-e.slownessAt)/float64(slownessLifetime))
	e.slowness.add(slowness*capacity, max(slownessWeight, staleSlownessWeight*age))
	e.slownessAt = now
}

// learnBaselineLoad infers from an answer the number of requests that other balancers have in flight at an endpoint:
// the ratio of the latency to that of an idle endpoint of the same kind shows a change of load sooner than the few
// probes do. Probes must have set the baseline first, since answers alone do not distinguish a busy fleet from slow
// machines. Samples have no lower limit, since one below the baseline must weigh as much as one above it.
func (b *Balancer) learnBaselineLoad(a *attempt, slowness, capacity float64) {
	baseline := &b.estimates.baselineLoad
	alone := b.estimates.kindSlowness[a.endpoint.Kind].value / capacity
	if !(alone > 0) || !baseline.seen {
		return
	}
	load := slowness * a.loadFactor / alone * assumedCores
	others := load - 1 - float64(a.inFlightBefore)
	baseline.add(min(maxBaselineSample, others), baselineResponseWeight)
	baseline.value = max(0, baseline.value)
}

// update adjusts the predictions for all endpoints to one outcome, given as the ratio of observed to predicted
// latency. When the whole fleet slows down or recovers, the predictions for endpoints that receive little of this
// balancer's traffic would otherwise be updated far too late.
func (t *latencyTrend) update(ratio float64) {
	factor := 1 + trendWeight*(min(ratio, maxTrendSample)-1)
	t.ratio = min(maxTrend, max(1/maxTrend, t.ratio*factor))
}

// slowdown returns the factor by which the fleet is slower than predicted, beyond random variation. It is at least 1.
func (t *latencyTrend) slowdown() float64 { return max(1, t.ratio/trendNoiseRatio) }
