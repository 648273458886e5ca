package balancer

import (
	"math"
	"slices"
)

const second Micros = 1_000_000

// ledger holds the requests that are not done with, and the timer slots that name them.
type ledger struct {
	requests         map[uint64]*request // every request with an attempt out or no final answer
	slots            []*request          // by timer slot
	free             []*request          // records to use again
	open             int                 // requests without final answer
	waitingForProbes []*request
}

// endpointSet holds the endpoints that discovery has listed.
type endpointSet struct {
	byID       map[uint32]*endpoint
	list       []*endpoint // in the order first listed
	version    int         // membership events so far
	discovered bool        // discovery has answered since the start
	maxWeight  float64     // of any endpoint
}

// recentlyUsed is a ring of the endpoints that requests were sent to last.
type recentlyUsed struct {
	ring  [metMost]*endpoint
	count int // sends so far
}

func (u *recentlyUsed) add(e *endpoint) {
	u.ring[u.count%metMost] = e
	u.count++
}

// len returns how many endpoints the ring holds.
func (u *recentlyUsed) len() int { return min(metMost, u.count) }

// probePool holds the endpoints with a fresh load report, and how probes are sent.
type probePool struct {
	pool       []*endpoint
	perRequest float64 // probes for a single request, in onDemand mode
	onDemand   bool    // probes are sent for single requests, not in rounds
}

// discoveryPolling is when discovery is asked next.
type discoveryPolling struct {
	subscribed bool
	pollAt     Micros // next poll, unless subscribed by then
	backoff    Micros
}

// budgets are token balances, in attempts.
type budgets struct {
	retry float64   // of requests without a budget of their own
	hedge float64   // of hedged requests
	named []float64 // by index of Settings.Budgets
}

// traffic measures what was asked of this balancer and what became of it.
type traffic struct {
	demand        meter // requests taken
	sentWork      meter // work sent
	rejected      ewma  // ratio of requests rejected at arrival
	swallowed     ewma  // ratio of attempts that were never answered though later ones were
	trialInterval int   // requests over the latency limit for one that is sent all the same
}

// reportQuality measures how far load reports and probes can be trusted.
type reportQuality struct {
	queued    ewma // ratio of probes that waited in the endpoint's queue
	lateRatio ewma // ratio of load reports that must be late
	late      bool // reports are too late to decide by
}

// estimates hold what is expected of endpoints of which little is known.
type estimates struct {
	roundTrip     [256]ewma // shortest probe latency, by zone
	kindSlowness  [256]mean // slowness of each kind of machine
	fleetSlowness mean
	baselineLoad  ewma    // load of other balancers at an endpoint
	hintExponent  float64 // power of a work hint that work grows with
}

// latencyTrend is the ratio of latencies to those predicted, for all endpoints together.
type latencyTrend struct{ ratio float64 }

// slowStart is the token bucket of an endpoint that is warming up.
type slowStart struct {
	active     bool
	since      Micros
	tokens     float64 // work that the endpoint may still be sent
	refilledAt Micros
}

// failureAverage is a recent ratio of failures; see failing.
type failureAverage struct {
	ratio     float64
	updatedAt Micros
}

// classStats is what a balancer knows of a class.
type classStats struct {
	work   ewma   // mean work of a request
	asked  meter  // requests taken
	good   ewma   // share answered in time
	tail   ewma   // latency at its class's CopyAt
	passed Micros // last request sent although it seemed too late
	since  int    // requests that seemed too late since then
}

// release ends r's wait for probes.
func (b *Balancer) release(r *request) {
	if r.held {
		r.held, r.awaits = false, r.awaits[:0]
		b.ledger.waitingForProbes = slices.DeleteFunc(b.ledger.waitingForProbes, func(h *request) bool { return h == r })
	}
}

// ewma is a moving average whose first sample is taken whole.
type ewma struct {
	v    float64
	seen bool
}

func (a *ewma) add(x, weight float64) {
	if !a.seen {
		a.v, a.seen = x, true
		return
	}
	a.v += (x - a.v) * weight
}

func (a *ewma) or(fallback float64) float64 {
	if a.seen {
		return a.v
	}
	return fallback
}

// mean is the plain mean of its first samples, and a moving average from then on.
type mean struct {
	ewma
	n int
}

func (m *mean) add(x, weight float64) {
	m.n++
	m.ewma.add(x, max(weight, 1/float64(m.n)))
}

// share counts a yes as a whole.
func share(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// meter is a rate a second, averaged over about two seconds.
type meter struct {
	sum float64
	at  Micros
}

const meterSpan = 2 * second

func (m *meter) add(now Micros, x float64) { m.sum, m.at = m.decayed(now)+x, now }

func (m *meter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.at)/float64(meterSpan))
}

func (m *meter) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(meterSpan)
}

// source is a SplitMix64 generator.
type source uint64

// float returns a number in [0,1).
func (s *source) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// below returns a duration in [0,d).
func (s *source) below(d Micros) Micros { return Micros(s.float() * float64(d)) }

// figure returns a figure of a load report, or -1 if it is not there or makes no sense.
func figure(fields []Field, load []float32, want Field) float64 {
	for i, f := range fields[:min(len(fields), len(load))] {
		if v := float64(load[i]); f == want && v >= 0 && !math.IsInf(v, 0) { // NaN fails this, too
			return v
		}
	}
	return -1
}

// log records an event for on-call staff, each kind of event at most once a second: rejections come in thousands.
func (b *Balancer) log(now Micros, event string, attributes ...any) {
	if at, ok := b.lastLogged[event]; ok && now-at < second {
		return
	}
	b.lastLogged[event] = now
	b.actions.Log(event, attributes...)
}

// ratio rounds a figure for the log.
func ratio(x float64) float64 { return math.Round(100*x) / 100 }

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	seen      bool // named by the list being read
	slowStart slowStart

	inflight int    // own attempts without outcome
	sentAt   Micros // latest own send
	answered Micros // latest send of those that were answered
	heardAt  Micros // latest answer of any kind, also to a probe
	probing  bool
	probedAt Micros
	hasLoad  bool
	pooled   bool
	answerAt Micros  // latest probe answer with a load figure
	others   float64 // load of others when it answered
	ownAt    int     // own in flight then

	pace     ewma // time taken per work and crowding
	paceAt   Micros
	failures failureAverage
	br       breaker
}

// warmth is the least share of its capacity that e has by now.
func (e *endpoint) warmth(now Micros, b *Balancer) float64 {
	if !e.cold(now, b) {
		return 1
	}
	from := b.settings.Contract.SlowStartRatio
	return from + (1-from)*float64(now-e.slowStart.since)/float64(b.settings.Contract.SlowStartTime)
}

func (e *endpoint) cold(now Micros, b *Balancer) bool {
	if e.slowStart.active && now-e.slowStart.since >= b.settings.Contract.SlowStartTime {
		e.slowStart.active = false
	}
	return e.slowStart.active
}

// breaker holds an endpoint's window of outcomes and its two latency averages.
type breaker struct {
	ring          [buckets]bucket
	head          int64 // number of the newest bucket
	requests      int   // over the window
	accepts       int
	base, current float64
	passed        Micros // last forced pass
}

type bucket struct{ requests, accepts, failures int }

func (k *breaker) slide(now Micros) *bucket {
	n := now / (window / buckets)
	if n-k.head >= buckets {
		k.ring, k.requests, k.accepts, k.head = [buckets]bucket{}, 0, 0, n
	}
	for k.head < n {
		k.head++
		old := &k.ring[k.head%buckets]
		k.requests -= old.requests
		k.accepts -= old.accepts
		*old = bucket{}
	}
	return &k.ring[n%buckets]
}

// latency moves the two averages, as go-zero's breaker does.
func (k *breaker) latency(x float64) {
	if k.base <= 0 {
		k.base, k.current = x, x
		return
	}
	divisor := float64(riseDivisor)
	if x < k.base {
		divisor = fallDivisor
	}
	k.base = (x + (divisor-1)*k.base) / divisor
	k.current = (x + (currDivisor-1)*k.current) / currDivisor
}

// count adds to the newest bucket. Whatever is asked counts as a request.
func (k *breaker) count(now Micros, accepts, failures int) {
	at := k.slide(now)
	at.requests++
	at.accepts += accepts
	at.failures += failures
	k.requests++
	k.accepts += accepts
}

func (b *Balancer) configure(classes []Class, budgets []RetryBudget) {
	for i := len(b.classes); i < len(classes); i++ {
		aim, copies := float64(classes[i].LatencyObjective), share(classes[i].HedgeQuantile > 0)
		b.classes = append(b.classes, classStats{work: ewma{v: aim / 5, seen: true}, tail: ewma{v: aim * copies}})
	}
	for i, u := range budgets {
		if i == len(b.budgets.named) {
			b.budgets.named = append(b.budgets.named, u.Burst)
		}
		b.budgets.named[i] = min(b.budgets.named[i], u.Burst)
	}
}

// budget is what is left of a request's budget, with what it earns and how much it holds.
func (b *Balancer) budget(r *request) (left *float64, u RetryBudget) {
	if n := int(r.Budget); n > 0 && n <= len(b.settings.Budgets) {
		return &b.budgets.named[n-1], b.settings.Budgets[n-1]
	}
	return &b.budgets.retry, RetryBudget{retryShare, budgetBurst}
}

// keyPlace is where a key was sent of late.
type keyPlace struct {
	homes [2]*endpoint // in this balancer's zone and in the fleet, nil if none is ready
	list  int          // the version of the list that they were chosen from
	sends [keyPlaces]struct {
		ep *endpoint
		at Micros
	}
}

// keyPlace returns the record of r's key, nil if it has none or keys do not matter.
func (b *Balancer) keyPlace(now Micros, r *request) *keyPlace {
	if !b.settings.KeyAffinity || r.Key == 0 {
		return nil
	}
	k := &b.keys
	if k.now == nil || now-k.turned > keyAgeLeast<<keyAges || len(k.now) >= keysMost {
		k.old, k.now, k.turned = k.now, make(map[uint64]*keyPlace, len(k.now)), now
	}
	p := k.now[r.Key]
	if p == nil {
		if p = k.old[r.Key]; p == nil {
			p = &keyPlace{list: -1}
		}
		k.now[r.Key] = p
	}
	if p.list != b.endpoints.version {
		p.homes, p.list = b.homesOf(r.Key), b.endpoints.version
	}
	return p
}

// identity is the same for e at every balancer.
func (e *endpoint) identity() uint64 {
	s := source(e.StableID)
	if e.StableID == 0 {
		s = source(e.ID)
	}
	s.float()
	return uint64(s)
}

// sentTo notes that the key goes to e now, in place of the send longest ago.
func (p *keyPlace) sentTo(now Micros, e *endpoint) {
	at := 0
	for i := range p.sends {
		if s := &p.sends[i]; s.ep == e {
			at = i
			break
		} else if s.at < p.sends[at].at {
			at = i
		}
	}
	p.sends[at].ep, p.sends[at].at = e, now
}

// Timer tokens below firstSlot belong to the balancer; others name a request.
const (
	tokenProbe = iota
	tokenDiscovery
	firstSlot = 16
	slotBits  = 20
)

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	token    uint32 // of its timers
	arrived  Micros
	work     float64
	value    float64 // of its class and tenant, 0 to 1, when last decided
	hint     float64 // logarithm of its hint over the mean of its class
	place    *keyPlace
	earlier  attempt // made before this request was taken; of use if MayHaveRun
	attempts []attempt
	out      int     // attempts without outcome
	ended    bool    // the final answer is out
	stream   bool    // an answer has begun: the attempt is the client's
	pass     bool    // it was sent although it seemed too late
	good     float64 // 1 once answered within its aim
	held     bool    // it waits for probes
	awaits   []*endpoint
}

// attempt is one send of a request.
type attempt struct {
	ep       *endpoint
	zone     uint8 // of ep when sent: an endpoint may move
	cell     uint16
	at       Micros
	expected float64 // latency predicted when sent
	crowding float64 // seen when sent
	own      int     // own requests there then
	factor   float64 // work times that crowding
	bin      keyBin  // what its key was there
	lateAt   Micros  // when it should have had its outcome long ago
	doubted  bool    // that has passed once
	late     bool    // it is given up for lost, though its outcome may still come
	planned  bool    // and not for lost: its class wants a second copy by then
	out      bool    // no outcome yet
	broke    bool    // it failed on the way: that says little of the endpoint
	mayRun   bool    // it may have had its effect, or may yet
}

func (b *Balancer) newRequest(now Micros, in Request) *request {
	var r *request
	if n := len(b.ledger.free); n > 0 {
		r, b.ledger.free = b.ledger.free[n-1], b.ledger.free[:n-1]
	} else {
		r = &request{token: uint32(len(b.ledger.slots) + firstSlot)}
		b.ledger.slots = append(b.ledger.slots, r)
	}
	// The high bits count uses of the slot, so that an old timer finds nothing.
	r.token += 1 << slotBits
	r.Request, r.arrived, r.attempts, r.out, r.ended, r.stream = in, now, r.attempts[:0], 0, false, false
	r.earlier = attempt{at: in.PreviousAttempt.At, zone: in.PreviousAttempt.Zone, cell: in.PreviousAttempt.Cell}
	r.good, r.pass, r.held, r.awaits, r.place = 0, false, false, r.awaits[:0], b.keyPlace(now, r)
	b.ledger.requests[in.ID] = r
	b.ledger.open++
	return r
}

// bound returns the first attempt that may have run, or nil.
func (r *request) bound() *attempt {
	if r.MayHaveRun {
		return &r.earlier
	}
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// sendBy is when an attempt at r must have been written: a connection may be slow to come up, and those who drop
// repeats count from the first attempt that may have run.
func (r *request) sendBy(c *Class) Micros {
	if first := r.bound(); first != nil && c.Idempotency == IdempotentWithKey {
		return min(r.Deadline, first.at+c.DedupWindow)
	}
	return r.Deadline
}

// waits says whether r has an attempt out that is to be waited for: any, or where second copies may be sent,
// one that is not late.
func (r *request) waits(copies bool) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.out && !(copies && a.late && !r.NoHedging) })
}

func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.ep == e })
}

// failedAt says whether e itself has failed r, or may yet.
func (r *request) failedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.ep == e && !a.broke })
}

// class returns the settings of a request's class.
func (b *Balancer) class(r *request) *Class { return &b.settings.Classes[r.Class] }

// TimerFired handles a token given to Actions.Timer.
func (b *Balancer) TimerFired(now Micros, token uint32) {
	switch {
	case token == tokenProbe:
		b.probeRound(now)
	case token == tokenDiscovery:
		b.ask(now)
	case token >= firstSlot:
		slot := int(token&(1<<slotBits-1)) - firstSlot
		if slot >= 0 && slot < len(b.ledger.slots) {
			if r := b.ledger.slots[slot]; r.token == token && !r.ended && !r.stream {
				b.wake(now, r)
			}
		}
	}
}
