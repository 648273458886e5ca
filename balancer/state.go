package balancer

import (
	"math"
	"slices"
)

// Records, averages and bookkeeping that decisions are taken by. The order of the sections: requests and attempts,
// endpoints, breaker, probes and load reports, budgets, keys, what outcomes teach, averages, random numbers, log.

const second Micros = 1_000_000

// ledger holds the requests that are not done with, and the timer slots that name them.
type ledger struct {
	requests         map[uint64]*request // by ID: every request with an attempt pending or no final answer
	slots            []*request          // by timer slot
	free             []*request          // records to use again
	open             int                 // requests without final answer
	waitingForProbes []*request
}

// Timer tokens below firstRequestTimer belong to the balancer. Others name a request: the low bits hold its slot
// plus firstRequestTimer, the high bits count uses of the slot, so that an old timer finds nothing.
const (
	probeTimer = iota
	discoveryTimer
	firstRequestTimer = 16
	timerSlotBits     = 20
)

// newRecord returns an unused record with a timer token of its own.
func (l *ledger) newRecord() *request {
	var r *request
	if n := len(l.free); n > 0 {
		r = l.free[n-1]
		l.free = l.free[:n-1]
	} else {
		r = &request{timerToken: uint32(len(l.slots) + firstRequestTimer)}
		l.slots = append(l.slots, r)
	}
	r.timerToken += 1 << timerSlotBits
	return r
}

// byTimer returns the request that a timer token names, or nil if it is done with.
func (l *ledger) byTimer(token uint32) *request {
	slot := int(token&(1<<timerSlotBits-1)) - firstRequestTimer
	if slot < 0 || slot >= len(l.slots) {
		return nil
	}
	if r := l.slots[slot]; r.timerToken == token && !r.finished && !r.streaming {
		return r
	}
	return nil
}

// release frees the record of a request that has its final answer and no pending attempt.
func (l *ledger) release(r *request) {
	if l.requests[r.ID] == r {
		delete(l.requests, r.ID)
		l.free = append(l.free, r)
	}
}

// stopWaiting ends r's wait for probes.
func (l *ledger) stopWaiting(r *request) {
	if !r.waitingForProbes {
		return
	}
	r.waitingForProbes = false
	r.awaitedProbes = r.awaitedProbes[:0]
	l.waitingForProbes = slices.DeleteFunc(l.waitingForProbes, func(other *request) bool { return other == r })
}

// TimerFired handles a token given to Actions.Timer.
func (b *Balancer) TimerFired(now Micros, token uint32) {
	switch {
	case token == probeTimer:
		b.runProbeRound(now)
	case token == discoveryTimer:
		b.pollDiscovery(now)
	case token >= firstRequestTimer:
		if r := b.ledger.byTimer(token); r != nil {
			b.handleRequestTimer(now, r)
		}
	}
}

// Expire handles a request that its host must answer now, before its deadline.
func (b *Balancer) Expire(now Micros, id uint64) {
	if r := b.ledger.requests[id]; r != nil {
		b.reject(now, r)
	}
}

// ClientDisconnected handles a client that left before its final answer.
func (b *Balancer) ClientDisconnected(now Micros, id uint64) {
	if r := b.ledger.requests[id]; r != nil {
		b.finish(r)
	}
}

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	timerToken       uint32
	arrivedAt        Micros
	work             float64 // expected, in µs
	logHint          float64 // logarithm of the ratio of its hint to the mean of its class; 0 without hint
	priority         float64 // 0 to 1, when last decided on
	key              *keyRecord
	previous         attempt // made before this request was taken; valid if MayHaveRun
	attempts         []attempt
	pending          int     // attempts without outcome
	finished         bool    // the final answer is out
	streaming        bool    // an answer has begun: only its end is awaited
	trial            bool    // sent although its predicted latency was over the limit
	onTime           float64 // 1 once answered within the latency objective
	waitingForProbes bool
	awaitedProbes    []*endpoint
}

// attempt is one send of a request.
type attempt struct {
	endpoint        *endpoint
	zone            uint8 // of the endpoint when sent: it may move
	cell            uint16
	sentAt          Micros
	expectedLatency float64 // in µs, predicted when sent
	loadFactor      float64 // of the endpoint when sent
	workFactor      float64 // work times load factor, when sent
	inFlightBefore  int     // local requests at the endpoint when sent
	affinity        affinity
	overdueAt       Micros // when it is looked at for having been dropped
	probedOverdue   bool   // that was once, and the endpoint was probed
	overdue         bool   // it is no longer waited for, though its outcome may still come
	plannedHedge    bool   // it is overdue by the hedge delay, not for having been dropped
	pending         bool   // no outcome yet
	transportFailed bool   // it failed on the network path, which says little of the endpoint
	mayHaveRun      bool   // it may have had its effect, or may yet
}

// newRequest enters a request into the ledger.
func (b *Balancer) newRequest(now Micros, in Request) *request {
	r := b.ledger.newRecord()
	r.Request = in
	r.arrivedAt = now
	r.previous = attempt{sentAt: in.PreviousAttempt.At, zone: in.PreviousAttempt.Zone, cell: in.PreviousAttempt.Cell}
	r.attempts = r.attempts[:0]
	r.pending = 0
	r.finished = false
	r.streaming = false
	r.trial = false
	r.onTime = 0
	r.waitingForProbes = false
	r.awaitedProbes = r.awaitedProbes[:0]
	r.key = b.keyRecord(now, r)
	b.ledger.requests[in.ID] = r
	b.ledger.open++
	return r
}

// firstMayHaveRun returns the first attempt that may have run, or nil.
func (r *request) firstMayHaveRun() *attempt {
	if r.MayHaveRun {
		return &r.previous
	}
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// writeDeadline is when an attempt must have been written: a connection may take long to open, and endpoints that
// drop repeats count from the first attempt that may have run.
func (r *request) writeDeadline(c *Class) Micros {
	if first := r.firstMayHaveRun(); first != nil && c.Idempotency == IdempotentWithKey {
		return min(r.Deadline, first.sentAt+c.DedupWindow)
	}
	return r.Deadline
}

// hasPendingAttempt reports whether an attempt is to be waited for: any that is pending, or with hedging permitted
// one that is not overdue.
func (r *request) hasPendingAttempt(hedging bool) bool {
	hedging = hedging && !r.NoHedging
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.pending && (!hedging || !a.overdue) })
}

func (r *request) triedEndpoint(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// failedByEndpoint reports whether e itself has failed r, or may yet.
func (r *request) failedByEndpoint(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e && !a.transportFailed })
}

// inPool reports whether e is in the pool that r is restricted to.
func (r *request) inPool(e *endpoint) bool { return r.Pool == 0 || e.Pools>>(r.Pool-1)&1 != 0 }

// classOf returns the settings of a request's class.
func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.Class] }

// closeAttempt records that an attempt is no longer in flight, and what its status proves.
func (b *Balancer) closeAttempt(now Micros, r *request, a *attempt, status Status) {
	e := a.endpoint
	a.pending = false
	a.transportFailed = status == Reset || status == ConnectFailed
	r.pending--
	e.inFlight--
	b.dropUnused(e)
	if status.neverRan() {
		a.mayHaveRun = false
	}
	if status.answered() {
		e.lastResponseAt = now
		e.lastAnsweredSentAt = max(e.lastAnsweredSentAt, a.sentAt)
	}
}

// answered reports whether the endpoint itself has responded.
func (s Status) answered() bool { return s == OK || s == Error || s == Full }

// attributeAttempt moves an attempt to the endpoint that had it, where its carrier went elsewhere than it was
// sent: statistics, and the group in which repeats are dropped, follow that endpoint.
func (b *Balancer) attributeAttempt(a *attempt, actual uint32) {
	e := b.endpoints.byID[actual]
	if e == nil || e == a.endpoint {
		return
	}
	a.endpoint.inFlight--
	b.dropUnused(a.endpoint)
	e.inFlight++
	a.endpoint = e
	a.zone = e.Zone
	a.cell = e.Cell
}

// endpointSet holds the endpoints that discovery has listed.
type endpointSet struct {
	byID       map[uint32]*endpoint
	list       []*endpoint // in the order first listed
	version    int         // membership events so far
	discovered bool        // discovery has answered since the start
	maxWeight  float64     // of any endpoint so far
}

// dropIfRemoved removes e from the index if it is removed with nothing in flight, and reports whether it is.
func (b *Balancer) dropIfRemoved(e *endpoint) bool {
	drop := e.State == Removed && e.inFlight == 0
	if drop && b.endpoints.byID[e.ID] == e {
		delete(b.endpoints.byID, e.ID)
	}
	return drop
}

// dropUnused drops e at once if it is removed with nothing in flight: the next list may be long in coming.
func (b *Balancer) dropUnused(e *endpoint) {
	if b.dropIfRemoved(e) {
		b.endpoints.list = slices.DeleteFunc(b.endpoints.list, func(other *endpoint) bool { return other == e })
	}
}

// endpoint is what is known of an endpoint.
type endpoint struct {
	Endpoint
	inSnapshot bool // named by the membership event being read
	slowStart  slowStart

	inFlight           int    // local attempts without outcome
	lastSentAt         Micros // of the latest local attempt
	lastAnsweredSentAt Micros // when the latest attempt that was answered had been sent
	lastResponseAt     Micros // of any kind, also to a probe

	probePending     bool
	probedAt         Micros
	pooled           bool    // in the probe pool
	hasLoad          bool    // it has reported its load
	reportedAt       Micros  // when it did last; 0 if a probe has failed since
	otherInFlight    float64 // requests of other balancers in flight, by that report
	inFlightAtReport int     // inFlight at that report

	slowness   ewma // µs taken per µs of work and load factor
	slownessAt Micros
	failures   failureAverage
	breaker    breaker
}

// capacityRatio is the least ratio of its capacity that e has by now.
func (e *endpoint) capacityRatio(now Micros, b *Balancer) float64 {
	if !e.inSlowStart(now, b) {
		return 1
	}
	from := b.settings.Contract.SlowStartRatio
	return from + (1-from)*float64(now-e.slowStart.since)/float64(b.settings.Contract.SlowStartTime)
}

// inSlowStart reports whether e is in slow start, and ends that when its time is over.
func (e *endpoint) inSlowStart(now Micros, b *Balancer) bool {
	if e.slowStart.active && now-e.slowStart.since >= b.settings.Contract.SlowStartTime {
		e.slowStart.active = false
	}
	return e.slowStart.active
}

// identity is the same for e at every balancer.
func (e *endpoint) identity() uint64 {
	id := e.StableID
	if id == 0 {
		id = uint64(e.ID)
	}
	hash := randomSource(id)
	hash.float()
	return uint64(hash)
}

// slowStart is the token bucket of an endpoint in slow start.
type slowStart struct {
	active     bool
	since      Micros
	tokens     float64 // work in µs that the endpoint may still be sent
	refilledAt Micros
}

// refill adds what was earned since the last time, up to burst.
func (s *slowStart) refill(now Micros, rate, burst float64) {
	earned := rate * float64(now-s.refilledAt) / float64(second)
	s.tokens = min(burst, s.tokens+earned)
	s.refilledAt = now
}

// failureAverage is the ratio of failures at an endpoint when it was updated; see failureRatio.
type failureAverage struct {
	ratio     float64
	updatedAt Micros
}

// recordSuccess counts an answered attempt for e.
func (e *endpoint) recordSuccess(now Micros) {
	e.failures.ratio = (1 - failureWeight) * e.failureRatio(now)
	e.failures.updatedAt = now
}

// recentlyUsed is a ring of the endpoints that requests were sent to last.
type recentlyUsed struct {
	ring  [maxRecent]*endpoint
	count int // sends so far
}

func (u *recentlyUsed) add(e *endpoint) {
	u.ring[u.count%maxRecent] = e
	u.count++
}

// len returns how many endpoints the ring holds.
func (u *recentlyUsed) len() int { return min(maxRecent, u.count) }

// breaker holds an endpoint's window of outcomes, in buckets of time, and its two latency averages.
type breaker struct {
	buckets  [breakerBuckets]bucket
	newest   int64   // number of the newest bucket since the origin of time
	requests int     // over the window
	accepts  int     // over the window
	baseline float64 // µs: falls fast and rises slowly
	current  float64 // µs
	trialAt  Micros  // latest request let through whatever the chance
}

type bucket struct{ requests, accepts, failures int }

// slide drops the buckets that have left the window, and returns the newest.
func (k *breaker) slide(now Micros) *bucket {
	newest := now / (breakerWindow / breakerBuckets)
	if newest-k.newest >= breakerBuckets {
		k.buckets = [breakerBuckets]bucket{}
		k.requests = 0
		k.accepts = 0
		k.newest = newest
	}
	for k.newest < newest {
		k.newest++
		expired := &k.buckets[k.newest%breakerBuckets]
		k.requests -= expired.requests
		k.accepts -= expired.accepts
		*expired = bucket{}
	}
	return &k.buckets[newest%breakerBuckets]
}

// recordLatency updates the two averages, as go-zero's breaker does.
func (k *breaker) recordLatency(latency float64) {
	if k.baseline <= 0 {
		k.baseline = latency
		k.current = latency
		return
	}
	divisor := float64(riseDivisor)
	if latency < k.baseline {
		divisor = fallDivisor
	}
	k.baseline = (latency + (divisor-1)*k.baseline) / divisor
	k.current = (latency + (currentDivisor-1)*k.current) / currentDivisor
}

// record counts one request in the newest bucket.
func (k *breaker) record(now Micros, accepts, failures int) {
	newest := k.slide(now)
	newest.requests++
	newest.accepts += accepts
	newest.failures += failures
	k.requests++
	k.accepts += accepts
}

// probePool holds the endpoints with a fresh load report, and the mode of probing.
type probePool struct {
	pool       []*endpoint
	perRequest float64 // probes on demand for one request
	onDemand   bool    // probes are sent for single requests, not in rounds
}

func (p *probePool) add(e *endpoint) {
	if !e.pooled {
		e.pooled = true
		p.pool = append(p.pool, e)
	}
}

// dropStale removes endpoints whose report is older than maxAge, or that are not ready.
func (p *probePool) dropStale(now, maxAge Micros) {
	p.pool = slices.DeleteFunc(p.pool, func(e *endpoint) bool {
		e.pooled = e.State == Ready && now-e.reportedAt <= maxAge
		return !e.pooled
	})
}

// reportQuality measures how far load reports and probes can be trusted.
type reportQuality struct {
	queued    ewma // ratio of probes that queued at the endpoint
	lateRatio ewma // ratio of load reports that must be late
	late      bool // reports are too late to decide by
}

// addBaselineLoad adds what a probe shows of the load of other balancers at an endpoint.
func (b *Balancer) addBaselineLoad(others float64) {
	b.estimates.baselineLoad.add(others, baselineProbeWeight)
}

// queuedAhead is how many requests are ahead of a probe that is queued for so long, in µs.
func (b *Balancer) queuedAhead(queueing float64) float64 {
	return queueing / b.classes[0].work.value * assumedCores
}

// reportedInFlight returns the least number of requests in flight that a load report proves, or -1; counted
// says that the endpoint has counted them.
func reportedInFlight(fields []Field, load []float32) (inFlight float64, counted bool) {
	if inFlight = reportValue(fields, load, FieldInflight); inFlight >= 0 {
		return inFlight, true
	}
	if queue := reportValue(fields, load, FieldQueue); queue >= 0 {
		return queue + assumedCores*indicator(queue >= 1), false
	}
	if utilization := reportValue(fields, load, FieldUtil); utilization >= 0 {
		return min(utilization, 1) * assumedCores, false
	}
	return -1, false
}

// reportValue returns a figure of a load report, or -1 if it is missing or makes no sense.
func reportValue(fields []Field, load []float32, want Field) float64 {
	for i, field := range fields[:min(len(fields), len(load))] {
		value := float64(load[i])
		if field == want && value >= 0 && !math.IsInf(value, 0) { // false for NaN, too
			return value
		}
	}
	return -1
}

// discoveryPolling is when discovery is polled next.
type discoveryPolling struct {
	subscribed bool
	pollAt     Micros // unless subscribed by then
	backoff    Micros
}

// schedulePoll sets the instant of the next poll of discovery.
func (b *Balancer) schedulePoll(now, delay Micros) {
	b.discovery.pollAt = now + delay
	b.actions.Timer(delay, discoveryTimer)
}

// budgets are token balances, in attempts.
type budgets struct {
	retry float64   // of requests without a budget of their own
	hedge float64   // of hedged requests
	named []float64 // by index of Settings.Budgets
}

// budgetOf returns the balance of a request's retry budget, and what the budget earns and holds.
func (b *Balancer) budgetOf(r *request) (balance *float64, budget RetryBudget) {
	if n := int(r.Budget); n > 0 && n <= len(b.settings.Budgets) {
		return &b.budgets.named[n-1], b.settings.Budgets[n-1]
	}
	return &b.budgets.retry, RetryBudget{EarnRatio: retryEarnRatio, Burst: budgetBurst}
}

// affinity says what an endpoint is to a request's key: 0 for a request without key, else notOwner, zoneOwner
// or fleetOwner plus an age bucket. The last bucket stands for a key that was not sent there for long.
type affinity uint8

const (
	maxKeys     = 4096       // of one generation: three times as many as any known deployment has
	sendsPerKey = 4          // endpoints remembered for a key
	minKeyAge   = second / 2 // upper limit of the first age bucket

	ageBuckets    = 7 // each twice as long as the one before
	notOwner      = affinity(1)
	zoneOwner     = notOwner + ageBuckets
	fleetOwner    = zoneOwner + ageBuckets
	affinityCount = fleetOwner + ageBuckets
	notCached     = notOwner + ageBuckets - 1 // neither an owner nor sent there
)

// Indexes of a key's owners.
const (
	inZone = iota
	inFleet
	ownersPerKey
)

// keyAffinity holds what is known of keys.
type keyAffinity struct {
	current, previous map[uint64]*keyRecord // by key: those used in this generation and in the one before
	rotatedAt         Micros
	workRatio         [affinityCount]float64
}

// reset sets all work ratios to their priors.
func (k *keyAffinity) reset() {
	k.workRatio[0] = 1
	for age, ratio := range workRatioPrior {
		bucket := affinity(age)
		k.workRatio[notOwner+bucket] = ratio
		k.workRatio[zoneOwner+bucket] = zoneOwnerPrior
		k.workRatio[fleetOwner+bucket] = fleetOwnerPrior
	}
}

// learn adds a sample of the work ratio. That of requests without key, or where nothing is cached, is the
// reference and stays 1.
func (k *keyAffinity) learn(a affinity, ratio float64) {
	if a == 0 || a == notCached {
		return
	}
	estimate := &k.workRatio[a]
	*estimate = min(1, max(minWorkRatio, *estimate+workRatioWeight*(ratio-*estimate)))
}

// keyRecord is where a key was sent to lately.
type keyRecord struct {
	owners  [ownersPerKey]*endpoint // nil where none is ready
	version int                     // of the endpoint set that the owners were chosen from
	sends   [sendsPerKey]keySend
}

// keySend is the latest send of a key to an endpoint.
type keySend struct {
	endpoint *endpoint
	at       Micros
}

// keyRecord returns the record of r's key, nil if it has none or keys do not matter. Records that are not used
// for a generation or two are dropped.
func (b *Balancer) keyRecord(now Micros, r *request) *keyRecord {
	if !b.settings.KeyAffinity || r.Key == 0 {
		return nil
	}
	keys := &b.keys
	if keys.current == nil || now-keys.rotatedAt > minKeyAge<<ageBuckets || len(keys.current) >= maxKeys {
		keys.previous = keys.current
		keys.current = make(map[uint64]*keyRecord, len(keys.current))
		keys.rotatedAt = now
	}
	record := keys.current[r.Key]
	if record == nil {
		record = keys.previous[r.Key]
		if record == nil {
			record = &keyRecord{version: -1}
		}
		keys.current[r.Key] = record
	}
	if record.version != b.endpoints.version {
		record.owners = b.keyOwners(r.Key)
		record.version = b.endpoints.version
	}
	return record
}

// recordSend notes that the key goes to e now, in place of the oldest send.
func (k *keyRecord) recordSend(now Micros, e *endpoint) {
	slot := 0
	for i := range k.sends {
		if k.sends[i].endpoint == e {
			slot = i
			break
		}
		if k.sends[i].at < k.sends[slot].at {
			slot = i
		}
	}
	k.sends[slot] = keySend{endpoint: e, at: now}
}

// ageAt returns the age bucket of the last send of the key to e. A process that started since has nothing
// cached.
func (k *keyRecord) ageAt(now Micros, e *endpoint) affinity {
	age := affinity(ageBuckets - 1)
	for i := range k.sends {
		if send := &k.sends[i]; send.endpoint == e && send.at >= e.StartTime {
			age = 0
			for since := now - send.at; since > minKeyAge<<age && age < ageBuckets-1; {
				age++
			}
		}
	}
	return age
}

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

// ewma is an exponentially weighted moving average that starts at its first sample.
type ewma struct {
	value float64
	seen  bool
}

func (a *ewma) add(sample, weight float64) {
	if !a.seen {
		a.value = sample
		a.seen = true
		return
	}
	a.value += (sample - a.value) * weight
}

// or returns the average, or a fallback before the first sample.
func (a *ewma) or(fallback float64) float64 {
	if a.seen {
		return a.value
	}
	return fallback
}

// mean is the arithmetic mean of its first samples, and a moving average from then on.
type mean struct {
	ewma
	samples int
}

func (m *mean) add(sample, weight float64) {
	m.samples++
	m.ewma.add(sample, max(weight, 1/float64(m.samples)))
}

// meter is a rate per second, averaged over about meterSpan.
type meter struct {
	sum float64
	at  Micros
}

const meterSpan = 2 * second

func (m *meter) add(now Micros, amount float64) {
	m.sum = m.decayed(now) + amount
	m.at = now
}

func (m *meter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.at)/float64(meterSpan))
}

func (m *meter) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(meterSpan)
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// randomSource is a SplitMix64 generator (Steele, Lea and Flood, 2014).
type randomSource uint64

// float returns a number in [0,1).
func (s *randomSource) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// below returns a duration in [0,limit).
func (s *randomSource) below(limit Micros) Micros { return Micros(s.float() * float64(limit)) }

// log records an event for on-call staff, each kind of event at most once a second: rejections come in thousands.
func (b *Balancer) log(now Micros, event string, attributes ...any) {
	if at, ok := b.lastLogged[event]; ok && now-at < second {
		return
	}
	b.lastLogged[event] = now
	b.actions.Log(event, attributes...)
}

// roundForLog rounds to two decimals.
func roundForLog(x float64) float64 { return math.Round(100*x) / 100 }
