package balancer

import (
	"math"
	"slices"
)

const second Micros = 1_000_000

// Balancer decides for one sidecar. Make one with New.
type Balancer struct {
	s   Settings
	out Actions
	rng source

	requests map[uint64]*request // every request with an attempt out or no final answer
	slots    []*request          // by timer slot
	free     []*request          // records to use again
	open     int                 // requests without final answer
	held     []*request          // requests that wait for probes

	byID    map[uint32]*endpoint
	list    []*endpoint        // known endpoints in the order first heard of
	lists   int                // membership events so far
	listed  bool               // discovery has answered since the start
	pool    []*endpoint        // endpoints with a fresh answer
	met     [metMost]*endpoint // the latest that requests were sent to, in a ring
	metAt   int
	largest float64 // share of any listed endpoint
	asks    float64 // probes that go with a request, while sparse
	sparse  bool    // probes are asked for single requests

	subscribed bool
	askAt      Micros // next call of discovery, unless subscribed by then
	askWait    Micros

	classes  []classStats
	budgets  []float64 // what is left of each
	tenants  []meter   // requests sent, by tenant
	ways     [256]ewma // least time of a probe to each zone and back
	kinds    [256]mean // pace of each kind of machine
	fleet    mean      // and of the whole fleet
	demand   meter     // requests taken
	sentWork meter     // work sent
	refused  ewma      // share of requests refused at arrival
	passOf   int       // requests that seem too late for one that is sent
	credit   float64   // retry budget, in attempts
	copies   float64   // budget of second copies
	lost     ewma      // share of attempts that were swallowed
	keys     keys

	waits       ewma // share of probes that waited in line
	lag         ewma // share of load reports that must be late
	usual       ewma // load of others at an endpoint, over all answers
	reportsLate bool
	trust       float64 // power of a hint that work grows with
	trend       float64 // latencies over those predicted, for all endpoints together

	logged map[string]Micros // when each event was logged last
}

// New returns a balancer, or a *SettingError. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		s: s, out: out, rng: source(seed),
		requests: map[uint64]*request{}, byID: map[uint32]*endpoint{}, logged: map[string]Micros{},
		tenants: make([]meter, len(s.Tenants)),
	}
	b.configure(s.Classes, s.Budgets)
	return b, nil
}

// Configure gives the balancer other classes and budgets. Requests in hand are still of their class: one that
// is there stays at its number, as it is but for Retired. A budget keeps what is left of it. An error says
// which setting makes no sense, and changes nothing.
func (b *Balancer) Configure(classes []Class, budgets []RetryBudget) error {
	next := b.s
	next.Classes, next.Budgets = classes, budgets
	if err := next.Validate(); err != nil {
		return err
	}
	for i, was := range b.s.Classes {
		if i < len(classes) {
			was.Retired = classes[i].Retired
		}
		if i >= len(classes) || was != classes[i] {
			return &SettingError{"Classes", was.Name,
				"requests in hand may be of it: it must stay as it is"}
		}
	}
	b.s = next
	b.configure(classes, budgets)
	return nil
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

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	seen     bool // named by the list being read
	isCold   bool
	coldFrom Micros  // start of its warm-up
	room     float64 // work that it may still get while cold
	roomAt   Micros

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

	pace   ewma // time taken per work and crowding
	paceAt Micros
	errs   float64 // share of failures, recent
	errAt  Micros
	br     breaker
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

func (b *Balancer) newRequest(now Micros, in Request) *request {
	var r *request
	if n := len(b.free); n > 0 {
		r, b.free = b.free[n-1], b.free[:n-1]
	} else {
		r = &request{token: uint32(len(b.slots) + firstSlot)}
		b.slots = append(b.slots, r)
	}
	// The high bits count uses of the slot, so that an old timer finds nothing.
	r.token += 1 << slotBits
	r.Request, r.arrived, r.attempts, r.out, r.ended, r.stream = in, now, r.attempts[:0], 0, false, false
	r.earlier = attempt{at: in.PreviousAttempt.At, zone: in.PreviousAttempt.Zone, cell: in.PreviousAttempt.Cell}
	r.good, r.pass, r.held, r.awaits, r.place = 0, false, false, r.awaits[:0], b.keyPlace(now, r)
	b.requests[in.ID] = r
	b.open++
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

// release ends r's wait for probes.
func (b *Balancer) release(r *request) {
	if r.held {
		r.held, r.awaits = false, r.awaits[:0]
		b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
	}
}

// log records an event for on-call staff, each kind of event at most once a second: rejections come in thousands.
func (b *Balancer) log(now Micros, event string, attributes ...any) {
	if at, ok := b.logged[event]; ok && now-at < second {
		return
	}
	b.logged[event] = now
	b.out.Log(event, attributes...)
}

// ratio rounds a figure for the log.
func ratio(x float64) float64 { return math.Round(100*x) / 100 }

// warmth is the least share of its capacity that e has by now.
func (e *endpoint) warmth(now Micros, b *Balancer) float64 {
	if !e.cold(now, b) {
		return 1
	}
	from := b.s.Contract.SlowStartRatio
	return from + (1-from)*float64(now-e.coldFrom)/float64(b.s.Contract.SlowStartTime)
}

func (e *endpoint) cold(now Micros, b *Balancer) bool {
	if e.isCold && now-e.coldFrom >= b.s.Contract.SlowStartTime {
		e.isCold = false
	}
	return e.isCold
}

// class returns the settings of a request's class.
func (b *Balancer) class(r *request) *Class { return &b.s.Classes[r.Class] }
