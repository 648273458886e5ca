package balancer

import "math"

// classStats is what is known of a class.
type classStats struct {
	work         ewma   // mean work of a request, in µs
	arrivals     meter  // requests taken
	onTime       ewma   // ratio of requests answered within the latency objective
	hedgeLatency ewma   // latency at HedgeQuantile, in µs; 0 without one
	trialAt      Micros // latest request sent over its latency limit
	sinceTrial   int    // requests over their limit since then
}

// traffic measures what was asked of this balancer, and what became of it.
type traffic struct {
	demand        meter // requests taken
	sentWork      meter // work sent, in µs
	rejected      ewma  // ratio of requests rejected at arrival
	dropped       ewma  // ratio of attempts that were never answered though later ones were
	trialInterval int   // requests over their latency limit for one that is sent all the same
}

// estimates are what is expected of endpoints of which little is known.
type estimates struct {
	roundTrip     [256]ewma // shortest probe latency in µs, by zone
	kindSlowness  [256]mean // slowness of endpoints, by kind of machine
	fleetSlowness mean      // and of all
	baselineLoad  ewma      // requests of other balancers in flight at an endpoint
	hintExponent  float64   // work grows with this power of a work hint
}

// latencyTrend is the ratio of latencies to those predicted, for all endpoints together.
type latencyTrend struct{ ratio float64 }

// initialize sets averages and balances to their initial values.
func (b *Balancer) initialize() {
	// These ratios start at 0 and not at their first sample.
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

// estimateWork sets what r is expected to cost, from its hint or else the mean of its class.
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

// Weights are those of the latest sample in an exponentially weighted moving average.
const (
	hintExponentWeight     = 0.005
	fleetWeight            = 0.02
	workWeight             = 0.01
	slownessWeight         = 0.03
	staleSlownessWeight    = 0.15 // for an endpoint not heard of for slownessLifetime
	slownessLifetime       = 10 * second
	baselineProbeWeight    = 0.1              // of a probe response in the baseline load
	baselineResponseWeight = 0.025            // of an answer: there are more, and each says less, as work varies
	maxBaselineSample      = 3 * assumedCores // beyond it is the tail of the work
	trendWeight            = 0.1
	maxTrendSample         = 4.0 // one outcome counts as at most this multiple of the prediction
	trendNoiseRatio        = 1.5 // up to which the trend is chance
	maxTrend               = 8.0
)

// learnHedgeLatency moves the estimate of the class's latency quantile by stochastic approximation (Robbins
// and Monro, 1951): up by HedgeQuantile of a step after a slower answer, down by the rest after another.
func (b *Balancer) learnHedgeLatency(r *request, latency float64) {
	class, estimate := b.classOf(r), &b.classes[r.Class].hedgeLatency
	if class.HedgeQuantile <= 0 {
		return
	}
	step := hedgeQuantileStep * float64(class.LatencyObjective)
	estimate.value += step * (class.HedgeQuantile - indicator(latency <= estimate.value))
}

// learnSlowness adds a sample to e's slowness, which is kept as it is once slow start is over.
func (e *endpoint) learnSlowness(now Micros, b *Balancer, slowness, capacity float64) {
	e.slowness = ewma{value: e.currentSlowness(now, b) * capacity, seen: true}
	age := min(1, float64(now-e.slownessAt)/float64(slownessLifetime))
	e.slowness.add(slowness*capacity, max(slownessWeight, staleSlownessWeight*age))
	e.slownessAt = now
}

// learnBaselineLoad infers from an answer what other balancers have in flight at an endpoint: how much longer
// it took than its kind takes alone shows that sooner than the few probes do. Probes must have set the
// baseline first, since by answers alone a busy fleet and slow machines look alike. A sample under the
// baseline must weigh as much as one over it, so samples have no lower limit.
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

// update shifts what is expected of every endpoint by one outcome, as a ratio of the latency predicted: when
// the whole fleet slows down or recovers, endpoints with little of our traffic would be learned far too late.
func (t *latencyTrend) update(ratio float64) {
	factor := 1 + trendWeight*(min(ratio, maxTrendSample)-1)
	t.ratio = min(maxTrend, max(1/maxTrend, t.ratio*factor))
}

// slowdown is the trend beyond what chance makes of it, 1 or more.
func (t *latencyTrend) slowdown() float64 { return max(1, t.ratio/trendNoiseRatio) }
