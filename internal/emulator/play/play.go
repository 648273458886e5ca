// Package play runs a scenario on virtual time: clients, the real engine and decision
// module of each instance, the way between, connections, and emulated servers. Nothing
// waits for a clock or a socket, so a minute of a fleet takes a fraction of a second,
// and the same seed gives the same answers.
package play

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/rivals"
	"pinedale/internal/emulator/trace"
	"pinedale/internal/engine"
	"pinedale/internal/keyroom/judge"
	"pinedale/internal/upstream/handshake"
)

// Time is virtual.
type Time = plan.Time

// Options are of one play.
type Options struct {
	Decide   rivals.Decide     // in place of the decision module
	Watch    func(trace.Event) // is told all that is asked, decided and answered
	Progress func(Time)        // is called each virtual second
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
	s      *plan.Scenario
	o      Options
	now    Time
	seq    uint64
	queue  queue
	memory *model.Memory
	hosts  []*host
	at     map[string]*host // by address
	nodes  []*node
	number uint64 // of attempts
	open   int    // connections
	opened uint64 // connections since the start
	script *plan.Script
	result *plan.Result
}

// began is the system's time at the start of every play. It is no instant of the
// machine that plays.
var began = time.Unix(1_000_000_000, 0)

// Now is virtual time as the engines have it.
func (p *play) Now() time.Time { return began.Add(p.now) }

// AfterFunc has something done after a while.
func (p *play) AfterFunc(d time.Duration, do func()) { p.in(d, do) }

// in has something done after a while.
func (p *play) in(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.queue, event{p.now + max(0, d), p.seq, do})
}

func (p *play) on(t Time, do func()) { p.in(t-p.now, do) }

func (p *play) watch(e trace.Event) {
	if p.o.Watch != nil {
		e.At = p.now.Microseconds()
		p.o.Watch(e)
	}
}

// settleFor is how long a play goes on after the last first try: all is answered and
// its servers' work done well within this time.
const settleFor = time.Minute

// Run plays a scenario. Its error is one of the scenario.
func Run(s *plan.Scenario, o Options) (*plan.Result, error) {
	return runWith(s, o, func(*play) {})
}

// runWith hands the play to made before it begins.
func runWith(s *plan.Scenario, o Options, made func(*play)) (*plan.Result, error) {
	p := &play{s: s, o: o, memory: s.Memory(), at: map[string]*host{}, script: s.Script(), result: s.NewResult()}
	made(p)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for i := range s.Servers {
		h := &host{p: p, spec: &s.Servers[i], number: i, address: fmt.Sprintf("server-%d:80", i+1), waiting: map[uint64]*call{}}
		p.hosts, p.at[h.address] = append(p.hosts, h), h
	}
	for i := range s.Instances {
		n, err := p.instance(ctx, i, 0)
		if err != nil {
			return nil, err
		}
		p.nodes = append(p.nodes, n)
	}
	for _, h := range p.hosts {
		h.script()
	}
	p.tick()
	for len(p.queue) > 0 && p.queue[0].at == 0 { // servers that were there before
		p.next()
	}
	for _, n := range p.nodes {
		n.start()
	}
	var failed error
	for life, k := range s.Kills {
		p.on(k.At, func() {
			for _, i := range k.Instances {
				p.nodes[i].kill()
				n, err := p.instance(ctx, i, life+1)
				if err != nil {
					failed = err
					return
				}
				p.nodes[i] = n
				n.start()
			}
		})
	}
	p.arrive()
	for end := s.Length + settleFor; len(p.queue) > 0 && p.queue[0].at <= end; {
		if p.next(); failed != nil {
			return nil, failed
		}
	}
	p.result.Twice = len(p.memory.Twice())
	for _, h := range p.hosts {
		p.strained(h)
		if h.fell {
			p.result.Fell = append(p.result.Fell, h.number)
		}
	}
	return p.result, nil
}

// instance makes one that knows nothing; life counts how often it was killed.
func (p *play) instance(ctx context.Context, i, life int) (n *node, err error) {
	n = &node{p: p, number: i, site: p.s.Instances[i], idle: map[*engine.Target][]*conn{}, told: map[int]Time{}, open: map[*request]bool{}}
	if p.s.Budget != nil {
		if n.budget, err = handshake.New(*p.s.Budget); err != nil {
			return nil, err
		}
	}
	part, err := p.s.SubsetOf(i)
	if err != nil {
		return nil, err
	}
	n.engine, err = engine.New(ctx, engine.Options{Settings: p.s.For(i), Seed: p.s.Seed<<16 | uint64(life)<<40 | uint64(i), Zones: p.s.Sites, Kinds: p.s.Kinds,
		Upstream: n, Clock: p, Subset: part, NewDecider: p.o.Decide, Log: slog.New(slog.DiscardHandler)})
	return n, err
}

// start begins an instance's life with the list as it is known where it stands.
func (n *node) start() {
	p := n.p
	n.engine.Start()
	list := engine.List{Complete: true}
	for _, h := range p.hosts {
		life, state, ok := h.known(n)
		if !ok {
			continue
		}
		if state == balancer.Draining {
			n.told[h.number] = p.now
		}
		list.Hosts = append(list.Hosts, p.s.Entry(h.number, life, state, h.address, began))
	}
	n.post(func(now balancer.Micros) { n.engine.UpdateEndpoints(now, balancer.ListFull, list) })
}

// kill ends an instance: its connections break, and clients with a request there come again where that is safe.
func (n *node) kill() {
	n.dead = true
	for _, list := range n.idle {
		for _, c := range list {
			n.close(c)
		}
	}
	open := slices.SortedFunc(maps.Keys(n.open), func(a, b *request) int { return cmp.Compare(a.try.Number, b.try.Number) })
	for _, r := range open {
		r.end(plan.CodeGone, 0)
	}
}

// strained counts how near a life of a server has come to its fall.
func (p *play) strained(h *host) {
	if h.machine != nil {
		p.result.Strain = max(p.result.Strain, h.machine.Strain())
	}
}

func (p *play) next() {
	e := heap.Pop(&p.queue).(event)
	p.now = e.at
	e.do()
}

// tick is called each second: instances let go of idle connections.
func (p *play) tick() {
	if p.o.Progress != nil {
		p.o.Progress(p.now)
	}
	for _, n := range p.nodes {
		n.engine.Tick()
	}
	if p.now < p.s.Length {
		p.in(time.Second, p.tick)
	}
}

// ---- Clients ---------------------------------------------------------------

// arrive has the next first try come.
func (p *play) arrive() {
	t, ok := p.script.Next()
	if !ok {
		return
	}
	p.on(t.At, func() {
		p.ask(t)
		p.arrive()
	})
}

// request is one try at an instance.
type request struct {
	p    *play
	try  *plan.Try
	n    int // which try it is, the first is 1
	node *node
	out  engine.Request
	over bool
}

// ask passes a try to its instance.
func (p *play) ask(t *plan.Try) {
	t.Tries++
	p.result.Tries++
	r := &request{p: p, try: t, n: t.Tries, node: p.nodes[t.Instance]}
	r.node.open[r] = true
	r.out = engine.Request{Carrier: r, Respond: func(a engine.Response) {
		r.end(a.Code, time.Duration(a.RetryAfter)*time.Microsecond)
	}}
	p.watch(trace.Event{Kind: trace.Ask, Number: t.Number, Try: r.n, Instance: t.Instance + 1, Class: t.Class + 1})
	patience := p.s.Patience(t)
	r.node.post(func(now balancer.Micros) {
		r.node.engine.Submit(now, &r.out, balancer.Request{Class: uint8(t.Class), Key: t.Subject, Tenant: uint16(t.Tenant), ClientRetry: r.n > 1,
			Deadline: now + patience.Microseconds(), WorkHint: t.Hint, HasWorkHint: true})
	})
	if p.s.Clients.GiveUp > 0 && !r.over {
		p.in(p.s.Clients.GiveUp, func() {
			if !r.over {
				r.end(plan.CodeGone, 0)
				r.node.post(func(now balancer.Micros) { r.node.engine.ClientDisconnected(now, &r.out) })
			}
		})
	}
	p.in(patience+time.Millisecond, func() {
		if !r.over {
			p.result.Unanswered++
			r.end(plan.CodeGone, 0)
		}
	})
}

// end is the end of a try: an answer, or the client's going.
func (r *request) end(code int, retryAfter time.Duration) {
	p, t := r.p, r.try
	if r.over {
		if code != plan.CodeGone && !r.node.dead {
			p.result.Unanswered++
		}
		return
	}
	r.over = true
	delete(r.node.open, r)
	p.watch(trace.Event{Kind: trace.Answer, Number: t.Number, Try: r.n, Instance: t.Instance + 1, Code: code})
	// Nobody knows since when what a killed instance held may have run: clients repeat only what is safe.
	lost := r.node.dead && p.s.Classes[t.Class].Idempotency != balancer.Idempotent
	if wait, again := p.s.Again(t, code, retryAfter, p.now); again && !lost {
		p.in(wait, func() { p.ask(t) })
		return
	}
	p.result.Final(p.s, t, code, p.now)
}

// ---- Instances: the engine's upstream on virtual time -------------------------

// node is one instance.
type node struct {
	p      *play
	number int
	site   int
	engine *engine.Engine
	idle   map[*engine.Target][]*conn // the latest used last
	told   map[int]Time               // drains and ends, by server
	budget *handshake.Budget          // of handshakes; nil for none
	open   map[*request]bool          // without their end
	dead   bool
}

func (n *node) post(event func(now balancer.Micros)) {
	if !n.dead {
		n.engine.Post(event)
	}
}

// conn is one connection between an instance and a server.
type conn struct {
	host    *host
	machine *model.Server // the life that it was opened to
	idleAt  Time
	opened  Time
	part    float64 // of a rotation's span, at which it is replaced
}

// rotated says that a connection is of no more use since keys have changed.
func (c *conn) rotated() bool {
	for i := range c.host.p.s.Rotations {
		if c.host.p.now >= c.host.p.s.Rotations[i].Over(c.opened, c.part) {
			return true
		}
	}
	return false
}

// broken says that the life at its other end is over.
func (c *conn) broken() bool { return c.machine != c.host.machine || c.machine.Down() }

// idleMost is for how long an idle connection is used, as by the sidecar where servers
// keep theirs for 5 s.
const idleMost = 3750 * time.Millisecond

// probeTimeout is how long an instance waits for a probe's answer.
const probeTimeout = 400 * time.Millisecond

// NewCarrier is not used: requests are their own carriers.
func (n *node) NewCarrier(*engine.Message) engine.Carrier { return nil }

// Retire closes a target's idle connections.
func (n *node) Retire(t *engine.Target) {
	for _, c := range n.idle[t] {
		n.close(c)
	}
	delete(n.idle, t)
}

// Prune closes connections that have been idle for too long.
func (n *node) Prune() {
	for t, list := range n.idle {
		old := 0
		for old < len(list) && n.p.now-list[old].idleAt >= idleMost {
			n.close(list[old])
			old++
		}
		if n.idle[t] = list[old:]; old == len(list) {
			delete(n.idle, t)
		}
	}
}

// close ends a connection; its server knows one way later.
func (n *node) close(c *conn) {
	n.p.open--
	n.p.in(n.p.s.Way(n.site, c.host.spec.Site), func() {
		if !c.broken() {
			c.machine.Disconnect()
		}
	})
}

// call is an attempt or a probe on its way.
type call struct {
	n      *node
	host   *host
	target *engine.Target
	conn   *conn
	at     Time
	until  Time
	number uint64
	probe  bool
	sent   bool
	over   bool
	arrive func()              // at the server
	end    func(engine.Result) // at the instance
}

func (c *call) way() time.Duration { return c.n.p.s.Way(c.n.site, c.host.spec.Site) }

// start takes a connection, or opens one, and writes.
func (c *call) start() {
	n, p := c.n, c.n.p
	c.at = p.now
	if c.over { // given up before it began
		return
	}
	p.on(c.until, func() { c.stop(balancer.Timeout) })
	for list := n.idle[c.target]; len(list) > 0; list = n.idle[c.target] {
		at := len(list) - 1
		idle := list[at]
		n.idle[c.target] = list[:at]
		if !idle.broken() && !idle.rotated() && p.now-idle.idleAt < idleMost {
			c.conn = idle
			c.write()
			return
		}
		n.close(idle)
	}
	if n.budget == nil {
		c.open()
		return
	}
	kind := handshake.Request
	if c.probe {
		kind = handshake.Background
	}
	begin, ok := n.budget.Ask(p.Now(), c.target.Address, c.target.Started(), kind, min(turnMost, (c.until-p.now)/2))
	if !ok {
		p.result.Turned++
		p.in(0, func() { c.finish(engine.Result{Status: balancer.NotSent}) })
		return
	}
	p.in(begin.Sub(p.Now()), c.open)
}

// turnMost is how long a request waits for a handshake's turn: half of the time that one has,
// as in pinedale-site with its defaults.
const turnMost = 250 * time.Millisecond

// open opens a connection, and writes.
func (c *call) open() {
	n, p := c.n, c.n.p
	if c.over { // given up before it began
		return
	}
	p.in(c.way(), func() {
		c.conn = c.host.connect()
		answered := balancer.ConnectFailed
		if c.conn == nil && c.host.machine != nil && !c.host.machine.Down() {
			// It holds as many as it can: taken and closed at once, which the
			// instance learns from what it has written.
			answered = balancer.Reset
		}
		if c.conn != nil {
			p.open++
			p.result.Opened(c.host.number, p.now)
			p.result.Connections = max(p.result.Connections, p.open)
		}
		p.in(c.way(), func() {
			switch {
			case c.conn != nil && c.over: // given up meanwhile
				n.close(c.conn)
			case c.conn != nil:
				c.write()
			default:
				c.finish(engine.Result{Status: answered})
			}
		})
	})
}

// write has the request be at its server one way later.
func (c *call) write() {
	if c.target.Closed() {
		c.finish(engine.Result{Status: balancer.NotSent})
		return
	}
	c.sent = true
	c.n.p.in(c.way(), func() {
		if c.conn.broken() {
			c.host.reply(c, engine.Result{Status: balancer.Reset})
			return
		}
		c.arrive()
	})
}

// stop gives a call up: what is out there goes on.
func (c *call) stop(s balancer.Status) {
	if !c.sent {
		s = balancer.NotSent
	}
	c.finish(engine.Result{Status: s})
}

// finish tells the instance, once. The connection is kept after a whole answer.
func (c *call) finish(res engine.Result) {
	if c.over {
		return
	}
	c.over = true
	if c.conn != nil {
		if whole := res.Status == balancer.OK || res.Status == balancer.Error || res.Status == balancer.Full; whole && !c.n.dead && !c.target.Closed() && !c.conn.broken() {
			c.conn.idleAt = c.n.p.now
			c.n.idle[c.target] = append(c.n.idle[c.target], c.conn)
		} else {
			c.n.close(c.conn)
		}
	}
	c.end(res)
}

// Send starts an attempt: the request is its own carrier.
func (r *request) Send(a *engine.Attempt) {
	p, n := r.p, r.node
	if n.dead { // what its timers ask for
		a.Stop = func() {}
		return
	}
	h := p.at[a.Target.Address]
	p.result.Sent(h.number, p.now)
	if told, ok := n.told[h.number]; ok && p.now > told+time.Duration(p.s.Settings.Contract.DrainGrace)*time.Microsecond {
		p.result.AfterDrain++
	}
	e := trace.Event{Number: r.try.Number, Try: r.n, Attempt: a.Number + 1, Instance: n.number + 1, Server: h.number + 1}
	e.Kind = trace.Send
	p.watch(e)
	p.number++
	c := &call{n: n, host: h, target: a.Target, number: p.number, until: a.DeadlineTime().Sub(began)}
	c.arrive = func() { h.arrive(c, r.try) }
	c.end = func(res engine.Result) {
		e.Kind, e.Code = trace.End, int(res.Status)
		p.watch(e)
		a.PostResult(res)
	}
	a.Stop = func() { p.in(0, func() { c.stop(balancer.Cancelled) }) }
	p.in(0, c.start)
}

// Cancel gives an attempt up; the server works on.
func (r *request) Cancel(a *engine.Attempt) { a.Stop() }

// Probe asks a server for its load.
func (n *node) Probe(_ context.Context, t *engine.Target, told func(engine.Result)) {
	p := n.p
	if n.dead {
		return
	}
	p.result.Probes++
	h := p.at[t.Address]
	c := &call{n: n, host: h, target: t, until: p.now + probeTimeout, probe: true}
	c.arrive = func() {
		if eps, queue, ok := h.machine.Load(p.now); ok {
			h.reply(c, engine.Result{Status: balancer.OK, Load: []float32{float32(eps), float32(queue)}})
			h.schedule()
		}
	}
	c.end = func(res engine.Result) {
		res.Duration = p.now - c.at
		told(res)
	}
	p.in(0, c.start)
}

// ---- Servers ---------------------------------------------------------------

// host is one server, in one life after the other.
type host struct {
	p       *play
	spec    *plan.Server
	number  int
	address string
	machine *model.Server // nil before its first life
	wake    uint64        // version of the wake-up that counts
	waiting map[uint64]*call
	fell    bool
}

// script has the server start, drain and end when the scenario says.
func (h *host) script() {
	p := h.p
	for _, life := range h.spec.Lives {
		p.on(life.From, func() {
			p.strained(h)
			h.machine = model.New(h.spec.Config, p.s.SeedOf(h.number), p.now, life.From > 0, p.memory, fmt.Sprint(h.spec.Pod), h.spec.Faults)
			if life.From > 0 {
				h.tell(life, balancer.Ready)
			}
		})
		if life.Drain != plan.Never {
			p.on(life.Drain, func() { h.tell(life, balancer.Draining) })
		}
		if life.End != plan.Never {
			p.on(life.End, func() {
				h.ended(h.machine.Stop(p.now))
				h.tell(life, balancer.Removed)
			})
		}
	}
}

// tell has every instance hear of the server, each as late as it is. What is told
// later is heard later.
func (h *host) tell(life plan.Life, s balancer.State) {
	p := h.p
	for i := range p.nodes {
		p.in(p.s.Late(h.number, i), func() {
			n := p.nodes[i]
			if s == balancer.Ready {
				delete(n.told, h.number)
			} else if _, was := n.told[h.number]; !was {
				n.told[h.number] = p.now
			}
			p.watch(trace.Event{Kind: trace.Member, Instance: n.number + 1, Server: h.number + 1, Code: int(s)})
			list := engine.List{Hosts: []engine.Host{p.s.Entry(h.number, life, s, h.address, began)}}
			n.post(func(now balancer.Micros) { n.engine.UpdateEndpoints(now, balancer.ListDelta, list) })
		})
	}
}

// known is what an instance that asks now is told of the server, as late as it hears of all else.
func (h *host) known(n *node) (life plan.Life, state balancer.State, ok bool) {
	at := h.p.now - h.p.s.Late(h.number, n.number)
	for _, l := range h.spec.Lives {
		if l.From > 0 && l.From > at {
			break
		}
		life, ok = l, l.End == plan.Never || at < l.End
		if state = balancer.Ready; l.Drain != plan.Never && at >= l.Drain {
			state = balancer.Draining
		}
	}
	return life, state, ok
}

// connect opens a connection; nil where there is none to be had.
func (h *host) connect() *conn {
	if h.machine == nil {
		return nil
	}
	ok := h.machine.Connect(h.p.now)
	h.schedule()
	if !ok {
		return nil
	}
	h.p.opened++
	return &conn{host: h, machine: h.machine, opened: h.p.now, part: judge.Part(h.p.opened)}
}

// arrive takes an attempt's request.
func (h *host) arrive(c *call, t *plan.Try) {
	h.waiting[c.number] = c
	h.ended(h.machine.Arrive(h.p.now, model.Request{Number: c.number, Work: t.Work, Class: t.Class, Key: t.Key, Subject: t.Subject}))
	h.schedule()
}

// schedule has the machine looked at when it next has something to say.
func (h *host) schedule() {
	if h.machine.Fallen() != model.Never && !h.fell {
		h.fell = true
		h.p.watch(trace.Event{Kind: trace.Fall, Server: h.number + 1})
	}
	h.wake++
	version, at := h.wake, h.machine.Next()
	if at == model.Never {
		return
	}
	h.p.on(at, func() {
		if version == h.wake {
			h.ended(h.machine.Advance(h.p.now))
			h.schedule()
		}
	})
}

// statuses are what an instance makes of how a request ended.
var statuses = map[model.Outcome]balancer.Status{model.Served: balancer.OK, model.Repeated: balancer.OK, model.Failed: balancer.Error,
	model.Away: balancer.Full, model.Refused: balancer.Reset}

func (h *host) ended(all []model.Ended) {
	for _, e := range all {
		c := h.waiting[e.Number]
		delete(h.waiting, e.Number)
		if c == nil || e.Outcome == model.Lost {
			continue
		}
		res := engine.Result{Status: statuses[e.Outcome]}
		if e.Outcome != model.Refused {
			eps, queue := h.machine.Report(h.p.now)
			res.Load = []float32{float32(eps), float32(queue)}
		}
		h.reply(c, res)
	}
}

// reply has a call's end be at its instance one way later.
func (h *host) reply(c *call, res engine.Result) {
	h.p.in(c.way(), func() { c.finish(res) })
}
