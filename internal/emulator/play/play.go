// Package play runs a scenario on virtual time: clients, the real decision module of
// each instance, the way between, and emulated servers. Nothing waits for a clock or
// a socket, so a minute of a fleet takes a fraction of a second, and the same seed
// gives the same answers.
package play

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/model"
)

// Time is virtual.
type Time = model.Time

// Server is one server of a scenario.
type Server struct {
	Name   string
	Site   int
	Pod    int
	Config model.Config
	Faults []model.Fault
	Starts Time // cold, if it is later than 0
	Drains Time // told draining then, 0 for never; it ends DrainFor later
}

// Class is one class of a scenario's requests.
type Class struct {
	balancer.Class
	Share float64
	Work  time.Duration // mean, on a core of speed 1
	CV    float64       // of the work, lognormal
}

// Surge multiplies the rate while it lasts.
type Surge struct {
	From, Until Time
	Factor      float64
}

// Costly has a share of one class's requests cost a multiple while it lasts.
type Costly struct {
	From, Until Time
	Class       int
	Share       float64
	Factor      float64
}

// Scenario is what is played.
type Scenario struct {
	Seed      uint64
	Length    Time
	Sites     int
	OneWay    [2]time.Duration // within a site, and between two
	Servers   []Server
	Instances []int // site of each
	Classes   []Class
	Rate      float64 // first tries a second, over all instances
	Surges    []Surge
	Costly    []Costly
	Notice    time.Duration // by which instances hear of the list's changes late
	DrainFor  time.Duration // from a drain's telling to the server's end
	Retries   int           // by a client, of what is refused or failed
	TryShare  float64       // of a class's patience, for one try
	Settings  balancer.Settings
}

// Tally counts first tries of one class.
type Tally struct {
	Asked, InTime, Late, Refused, Failed int
}

// Result is what came of a play.
type Result struct {
	Classes []Tally
	Seconds []Tally // over all classes, by the second of the first try
	Sends   []int   // attempts at each server
	Fell    []int   // servers that fell over
	Probes  int

	// What must not be.
	Unanswered int // requests without a final answer in time, or with two
	Twice      int // effects done twice
	AfterDrain int // sends later than the grace after a drain was told
}

// InTime is the share of first tries that were served within their aim.
func (r *Result) InTime() float64 {
	var in, asked int
	for _, t := range r.Classes {
		in, asked = in+t.InTime, asked+t.Asked
	}
	return float64(in) / float64(max(1, asked))
}

// Broken says which rule was broken, "" if none was.
func (r *Result) Broken() string {
	if r.Unanswered+r.Twice+r.AfterDrain+len(r.Fell) == 0 {
		return ""
	}
	return fmt.Sprintf("unanswered %d, done twice %d, sent after a drain %d, fallen over %v", r.Unanswered, r.Twice, r.AfterDrain, r.Fell)
}

type event struct {
	at  Time
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// play is one run.
type play struct {
	s      *Scenario
	rng    *rand.Rand
	now    Time
	seq    uint64
	queue  queue
	memory *model.Memory
	hosts  []*host
	nodes  []*node
	number uint64 // of attempts
	tries  uint64
	result Result
}

// host is one server.
type host struct {
	p       *play
	spec    *Server
	id      uint32
	machine *model.Server // nil before it starts
	wake    uint64        // version of the wake-up that counts
	waiting map[uint64]*attempt
}

// node is one instance.
type node struct {
	p        *play
	number   int
	site     int
	balancer *balancer.Balancer
	requests map[uint64]*request
	lastID   uint64
	told     map[uint32]Time // drains
}

// try is a client's first try, with its retries.
type try struct {
	class   int
	began   Time
	key     string
	work    time.Duration
	node    *node
	left    int // retries
	settled bool
}

type request struct {
	try      *try
	node     *node
	id       uint64
	deadline Time
	attempts []*attempt
	answers  int
}

type attempt struct {
	r      *request
	n      int
	host   *host
	at     Time
	number uint64
	over   bool
}

// micros is virtual time as the module has it. It does not begin at 0, which means
// "long ago" there.
const origin = balancer.Micros(1_000_000_000)

func micros(t Time) balancer.Micros { return origin + t.Microseconds() }
func instant(m balancer.Micros) Time {
	return time.Duration(m-origin) * time.Microsecond
}

// Run plays a scenario. Its error is one of the scenario.
func Run(s *Scenario) (*Result, error) {
	p := &play{s: s, rng: rand.New(rand.NewPCG(s.Seed, 1))}
	classes := make([]model.Class, len(s.Classes))
	settings := s.Settings
	settings.Balancers, settings.Zones, settings.Kinds, settings.Subscribe = len(s.Instances), s.Sites, 1, false
	settings.Classes = nil
	for i, c := range s.Classes {
		settings.Classes = append(settings.Classes, c.Class)
		classes[i] = model.Class{Repeat: model.Repeat(c.Repeat), Window: time.Duration(c.Window) * time.Microsecond}
		if c.Group != balancer.GroupAll {
			classes[i].Scope = model.Group
		}
	}
	p.memory = model.NewMemory(classes)
	p.result = Result{Classes: make([]Tally, len(s.Classes)), Seconds: make([]Tally, int(s.Length/time.Second)+1), Sends: make([]int, len(s.Servers))}
	for i := range s.Servers {
		h := &host{p: p, spec: &s.Servers[i], id: uint32(i + 1), waiting: map[uint64]*attempt{}}
		p.hosts = append(p.hosts, h)
		h.script()
	}
	for i, site := range s.Instances {
		n := &node{p: p, number: i, site: site, requests: map[uint64]*request{}, told: map[uint32]Time{}}
		mine := settings
		mine.Position, mine.Zone = i, site
		var err error
		if n.balancer, err = balancer.New(mine, s.Seed<<16|uint64(i), n); err != nil {
			return nil, err
		}
		p.nodes = append(p.nodes, n)
		n.balancer.Start(micros(0))
		var known []balancer.Endpoint
		for _, h := range p.hosts {
			if h.spec.Starts == 0 {
				known = append(known, h.entry(balancer.Ready))
			}
		}
		n.balancer.Members(micros(0), balancer.ListFull, known)
	}
	p.arrive()
	// All is answered and its servers' work done well within this time.
	end := s.Length + time.Minute
	for len(p.queue) > 0 && p.queue[0].at <= end {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.do()
	}
	p.result.Twice = p.memory.Twice()
	for i, h := range p.hosts {
		if h.machine != nil && h.machine.Fallen() != model.Never {
			p.result.Fell = append(p.result.Fell, i)
		}
	}
	for _, n := range p.nodes {
		for _, r := range n.requests {
			if r.answers != 1 {
				p.result.Unanswered++
			}
		}
	}
	return &p.result, nil
}

// in has something done after a while.
func (p *play) in(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.queue, event{p.now + max(0, d), p.seq, do})
}

func (p *play) at(t Time, do func()) { p.in(t-p.now, do) }

func (p *play) way(a, b int) time.Duration {
	if a == b {
		return p.s.OneWay[0]
	}
	return p.s.OneWay[1]
}

// ---- Clients ---------------------------------------------------------------

// arrive has the next first try come.
func (p *play) arrive() {
	rate := p.s.Rate
	for _, x := range p.s.Surges {
		if p.now >= x.From && p.now < x.Until {
			rate *= x.Factor
		}
	}
	p.in(time.Duration(p.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if p.now >= p.s.Length {
			return
		}
		p.first()
		p.arrive()
	})
}

func (p *play) first() {
	x, class := p.rng.Float64(), 0
	for class < len(p.s.Classes)-1 && x >= p.s.Classes[class].Share {
		x -= p.s.Classes[class].Share
		class++
	}
	c := &p.s.Classes[class]
	work := float64(c.Work)
	if c.CV > 0 {
		v := math.Log(1 + c.CV*c.CV)
		work *= math.Exp(p.rng.NormFloat64()*math.Sqrt(v) - v/2)
	}
	for _, x := range p.s.Costly {
		if x.Class == class && p.now >= x.From && p.now < x.Until && p.rng.Float64() < x.Share {
			work *= x.Factor
		}
	}
	p.tries++
	t := &try{class: class, began: p.now, work: time.Duration(work), node: p.nodes[p.rng.IntN(len(p.nodes))], left: p.s.Retries}
	if c.Repeat != balancer.Safe {
		t.key = fmt.Sprint("k", p.tries)
	}
	p.result.Classes[class].Asked++
	p.second(t).Asked++
	p.ask(t)
}

func (p *play) second(t *try) *Tally { return &p.result.Seconds[int(t.began/time.Second)] }

// ask passes a try to its instance.
func (p *play) ask(t *try) {
	n, c := t.node, &p.s.Classes[t.class]
	n.lastID++
	patience := time.Duration(float64(c.GiveUp)*p.s.TryShare) * time.Microsecond
	r := &request{try: t, node: n, id: n.lastID, deadline: p.now + patience}
	n.requests[r.id] = r
	// A rough hint, as clients give it: off by up to two.
	hint := float64(t.work) * math.Exp2(2*p.rng.Float64()-1)
	n.balancer.Request(micros(p.now), balancer.Request{ID: r.id, Class: uint8(t.class), Deadline: micros(r.deadline),
		Hint: time.Duration(hint).Microseconds(), HasHint: true})
	n.forget(r)
	p.at(r.deadline+time.Millisecond, func() {
		if r.answers == 0 {
			p.result.Unanswered++
			r.answers = 1 // it is counted
		}
	})
}

// answer gives a request its final answer.
func (p *play) answer(r *request, code int) {
	r.answers++
	if r.answers > 1 {
		p.result.Unanswered++
		return
	}
	t, c := r.try, &p.s.Classes[r.try.class]
	took := p.now - t.began
	if code != 200 && t.left > 0 && took < time.Duration(c.GiveUp)*time.Microsecond &&
		(code == 503 || c.Repeat == balancer.Safe || c.Repeat == balancer.Keyed && c.Group == balancer.GroupAll && took < time.Duration(c.Window)*time.Microsecond) {
		t.left--
		p.in(50*time.Millisecond, func() { p.ask(t) })
		return
	}
	for _, tally := range []*Tally{&p.result.Classes[t.class], p.second(t)} {
		switch {
		case code == 200 && took <= time.Duration(c.Aim)*time.Microsecond:
			tally.InTime++
		case code == 200:
			tally.Late++
		case code == 503:
			tally.Refused++
		default:
			tally.Failed++
		}
	}
}

// ---- Instances -------------------------------------------------------------

func (n *node) forget(r *request) {
	if r.answers == 0 {
		return
	}
	for _, a := range r.attempts {
		if !a.over {
			return
		}
	}
	delete(n.requests, r.id)
}

// Send starts an attempt: it is at its server one way later.
func (n *node) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	p, r := n.p, n.requests[id]
	h := p.hosts[endpoint-1]
	p.number++
	a := &attempt{r: r, n: len(r.attempts), host: h, at: p.now, number: p.number}
	r.attempts = append(r.attempts, a)
	p.result.Sends[endpoint-1]++
	if told, ok := n.told[endpoint]; ok && p.now > told+time.Duration(p.s.Settings.Contract.DrainGrace)*time.Microsecond {
		p.result.AfterDrain++
	}
	t := r.try
	p.in(p.way(n.site, h.spec.Site), func() { h.arrive(a, t) })
	until := r.deadline
	if timeout > 0 {
		until = min(until, p.now+time.Duration(timeout)*time.Microsecond)
	}
	p.at(until, func() { n.outcome(a, balancer.Timeout) })
}

// outcome tells how an attempt ended, once.
func (n *node) outcome(a *attempt, s balancer.Status) {
	if a.over {
		return
	}
	a.over = true
	r := a.r
	if s == balancer.OK && r.answers == 0 {
		n.p.answer(r, 200)
	}
	n.balancer.Outcome(micros(n.p.now), balancer.Outcome{ID: r.id, Attempt: a.n, Endpoint: a.host.id, Status: s,
		Latency: (n.p.now - a.at).Microseconds(), Settled: r.answers > 0})
	n.forget(r)
}

// Refuse gives a final answer.
func (n *node) Refuse(id uint64, _ balancer.Micros) { n.p.answer(n.requests[id], 503) }

// Fail gives a final answer.
func (n *node) Fail(id uint64) { n.p.answer(n.requests[id], 502) }

// Cancel ends an attempt here; the server works on.
func (n *node) Cancel(id uint64, attempt int) {
	if r := n.requests[id]; r != nil && attempt < len(r.attempts) {
		a := r.attempts[attempt]
		n.p.in(0, func() { n.outcome(a, balancer.Cancelled) })
	}
}

// Timer gives a token back.
func (n *node) Timer(delay balancer.Micros, token uint32) {
	n.p.in(time.Duration(delay)*time.Microsecond, func() { n.balancer.Timer(micros(n.p.now), token) })
}

// probeTimeout is how long an instance waits for a probe's answer.
const probeTimeout = 400 * time.Millisecond

// Probe asks a server for its load: one way, an answer, the way back.
func (n *node) Probe(endpoint uint32) {
	p, h, began := n.p, n.p.hosts[endpoint-1], n.p.now
	way := p.way(n.site, h.spec.Site)
	p.result.Probes++
	p.in(way, func() {
		status, wait := balancer.Timeout, probeTimeout-way
		var load []float32
		if h.machine == nil || h.machine.Down() {
			status, wait = balancer.ConnectFailed, way
		} else if eps, queue, ok := h.machine.Load(p.now); ok {
			status, wait, load = balancer.OK, way, []float32{float32(eps), float32(queue)}
			h.schedule()
		}
		p.in(wait, func() { n.balancer.Probed(micros(p.now), endpoint, status, (p.now - began).Microseconds(), load) })
	})
}

// Watch does nothing: lists are pushed.
func (n *node) Watch(bool) {}

// Log does nothing: the result tells.
func (n *node) Log(string) {}

// ---- Servers ---------------------------------------------------------------

func (h *host) entry(s balancer.State) balancer.Endpoint {
	e := balancer.Endpoint{ID: h.id, Zone: uint8(h.spec.Site), Cell: uint16(h.spec.Pod), State: s, Share: 1}
	if h.spec.Starts > 0 {
		e.StartTime = micros(h.spec.Starts)
	}
	return e
}

// script has the server start, drain and end when the scenario says.
func (h *host) script() {
	p := h.p
	p.at(h.spec.Starts, func() {
		h.machine = model.New(h.spec.Config, p.s.Seed^uint64(h.id)*0x9e3779b97f4a7c15, p.now, h.spec.Starts > 0, p.memory, fmt.Sprint(h.spec.Pod), h.spec.Faults)
		if h.spec.Starts > 0 {
			h.tell(balancer.Ready)
		}
	})
	if h.spec.Drains > 0 {
		p.at(h.spec.Drains, func() { h.tell(balancer.Draining) })
		p.at(h.spec.Drains+p.s.DrainFor, func() {
			h.ended(h.machine.Stop(p.now))
			h.tell(balancer.Gone)
		})
	}
}

// tell has every instance hear of the server, each as late as it is.
func (h *host) tell(s balancer.State) {
	for _, n := range h.p.nodes {
		h.p.in(time.Duration(h.p.rng.Float64()*float64(h.p.s.Notice)), func() {
			if _, was := n.told[h.id]; s != balancer.Ready && !was {
				n.told[h.id] = h.p.now
			}
			n.balancer.Members(micros(h.p.now), balancer.ListDelta, []balancer.Endpoint{h.entry(s)})
		})
	}
}

// arrive takes an attempt's request.
func (h *host) arrive(a *attempt, t *try) {
	if h.machine == nil {
		h.answer(a, model.Refused)
		return
	}
	h.waiting[a.number] = a
	h.ended(h.machine.Arrive(h.p.now, model.Request{Number: a.number, Work: t.work, Class: t.class, Key: t.key}))
	h.schedule()
}

// schedule has the machine looked at when it next has something to say.
func (h *host) schedule() {
	h.wake++
	version, at := h.wake, h.machine.Next()
	if at == model.Never {
		return
	}
	h.p.at(at, func() {
		if version == h.wake {
			h.ended(h.machine.Advance(h.p.now))
			h.schedule()
		}
	})
}

func (h *host) ended(all []model.Ended) {
	for _, e := range all {
		a := h.waiting[e.Number]
		delete(h.waiting, e.Number)
		if a != nil && e.Outcome != model.Lost {
			h.answer(a, e.Outcome)
		}
	}
}

// statuses are what an instance makes of how a request ended.
var statuses = map[model.Outcome]balancer.Status{model.Served: balancer.OK, model.Repeated: balancer.OK, model.Failed: balancer.Error,
	model.Away: balancer.Full, model.Refused: balancer.ConnectFailed}

// answer has an attempt's end be at its instance one way later.
func (h *host) answer(a *attempt, o model.Outcome) {
	status := statuses[o]
	if o == model.Refused && h.machine != nil && a.at < h.p.now-h.p.way(a.r.node.site, h.spec.Site) {
		status = balancer.Reset // it was there, and its connection broke
	}
	h.p.in(h.p.way(a.r.node.site, h.spec.Site), func() { a.r.node.outcome(a, status) })
}
