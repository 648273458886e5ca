package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"peatpost/balancer"
)

const (
	eventsMost = 1024 // waiting for the loop
	pruneEvery = time.Second
)

// clock gives the balancer's time: microseconds that never run backwards, from
// the Unix time at the start on, so that discovery's times map onto it as they
// are.
type clock struct{ base time.Time }

func (c clock) now() balancer.Micros {
	return c.base.UnixMicro() + time.Since(c.base).Microseconds()
}

func (c clock) time(at balancer.Micros) time.Time {
	return c.base.Add(time.Duration(at-c.base.UnixMicro()) * time.Microsecond)
}

// decider is what the loop needs of a *balancer.Balancer.
type decider interface {
	Start(now balancer.Micros)
	Members(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint)
	Request(now balancer.Micros, in balancer.Request)
	Outcome(now balancer.Micros, o balancer.Outcome)
	ClientGone(now balancer.Micros, id uint64)
	Timer(now balancer.Micros, token uint32)
	Probed(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32)
}

// loop owns the balancer: one goroutine passes it every event and carries out
// its Actions. It never waits for the network; what it starts reports back
// through events.
type loop struct {
	cfg    *Config
	log    *slog.Logger
	clock  clock
	up     *upstream
	disc   *discovery
	events chan func(now balancer.Micros)
	ctx    context.Context // ends with the loop
	listed atomic.Bool     // endpoints are known

	// Below: the loop's goroutine alone.
	balancer  decider
	requests  map[uint64]*request
	lastID    uint64
	ids       map[string]uint32 // of endpoints, by host name
	lastEP    uint32            // the latest id given; none is given twice
	fleet     map[uint32]*member
	seq       *uint64 // version of the last list, if there was any
	stopWatch context.CancelFunc
}

// member is what the loop holds of an endpoint until it is gone and nothing is
// out there any more. Endpoints come and go all day under ever new names.
type member struct {
	name   string
	target *target // nil unless ready
	out    int     // attempts and probes without outcome
	gone   bool
}

// request is the ledger's entry for a request that the balancer may still
// speak of: no final answer is out, or attempts are.
type request struct {
	id       uint64
	message  *message
	deadline balancer.Micros
	answer   chan answer // takes the one final answer
	over     bool        // the final answer is out, or the client is gone
	attempts []context.CancelFunc
	out      int // attempts without outcome
}

// answer is the final answer to a request.
type answer struct {
	code       int
	retryAfter balancer.Micros
	header     http.Header
	body       []byte
}

func newLoop(ctx context.Context, cfg *Config, log *slog.Logger) (*loop, error) {
	l := &loop{
		cfg: cfg, log: log, clock: clock{time.Now()}, ctx: ctx,
		up: newUpstream(cfg, connections(cfg)), disc: newDiscovery(cfg.Discovery),
		events:   make(chan func(balancer.Micros), eventsMost),
		requests: map[uint64]*request{}, ids: map[string]uint32{}, fleet: map[uint32]*member{},
		stopWatch: func() {},
	}
	var err error
	l.balancer, err = balancer.New(cfg.Settings, cfg.Seed, l)
	return l, err
}

// run handles events until the loop's context ends.
func (l *loop) run() {
	now := l.clock.now()
	l.balancer.Start(now)
	if len(l.cfg.known.Hosts) > 0 {
		l.members(now, balancer.ListCached, l.cfg.known)
	}
	if !l.cfg.Settings.Subscribe {
		l.Watch(true)
	}
	prune := time.NewTicker(pruneEvery)
	defer prune.Stop()
	for {
		select {
		case event := <-l.events:
			event(l.clock.now())
		case <-prune.C:
			l.up.prune()
		case <-l.ctx.Done():
			return
		}
	}
}

// post hands an event to the loop. It must not be called from the loop.
func (l *loop) post(event func(now balancer.Micros)) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// take passes a new request to the balancer.
func (l *loop) take(now balancer.Micros, r *request, in balancer.Request) {
	l.lastID++
	r.id, in.ID, r.deadline = l.lastID, l.lastID, in.Deadline
	l.requests[r.id] = r
	l.balancer.Request(now, in)
	l.forget(r)
}

// gone tells that the client went away.
func (l *loop) gone(now balancer.Micros, r *request) {
	if !r.over {
		r.over = true
		l.balancer.ClientGone(now, r.id)
		l.forget(r)
	}
}

// outcome tells how an attempt ended: exactly once for each, also after the
// request's end, when the balancer still learns from it.
func (l *loop) outcome(now balancer.Micros, r *request, o balancer.Outcome, res result) {
	r.out--
	if res.status == balancer.OK {
		l.finish(r, answer{code: http.StatusOK, header: res.header, body: res.body})
	}
	o.Settled = r.over
	l.balancer.Outcome(now, o)
	l.forget(r)
}

// finish gives the final answer, unless one is out already.
func (l *loop) finish(r *request, a answer) {
	if r != nil && !r.over {
		r.over = true
		r.answer <- a // it has room for the one
	}
}

func (l *loop) forget(r *request) {
	if r.over && r.out == 0 {
		delete(l.requests, r.id)
	}
}

// members passes on a list and brings the targets in line with it.
func (l *loop) members(now balancer.Micros, kind balancer.ListKind, list registry) {
	if kind == balancer.ListFailed {
		l.balancer.Members(now, kind, nil)
		return
	}
	l.seq = &list.Seq
	entries := make([]balancer.Endpoint, 0, len(list.Hosts))
	named := map[uint32]bool{}
	for _, h := range list.Hosts {
		id := l.ids[h.Name]
		if id == 0 {
			if states[h.Health] == balancer.Gone {
				continue
			}
			l.lastEP++
			id = l.lastEP
			l.ids[h.Name], l.fleet[id] = id, &member{name: h.Name}
		}
		named[id] = true
		e := balancer.Endpoint{ID: id, Zone: number(l.cfg.zones, h.Site), Kind: number(l.cfg.kinds, h.Class),
			Cell: h.Block, State: states[h.Health], Share: h.Share}
		if h.BornMS > 0 {
			e.StartTime = h.BornMS * 1000
		}
		entries = append(entries, e)
		l.aim(id, h, e.State)
	}
	ready := false
	for id, e := range l.fleet {
		if kind != balancer.ListDelta && !named[id] {
			l.aim(id, host{}, balancer.Gone)
		}
		ready = ready || e.target != nil
	}
	l.listed.Store(ready)
	l.balancer.Members(now, kind, entries)
}

// aim points an endpoint's id at where it is reached now. A target that drains,
// is gone or has restarted is closed, so that a send on its way does not start.
func (l *loop) aim(id uint32, h host, state balancer.State) {
	e := l.fleet[id]
	e.gone = state == balancer.Gone
	if t := e.target; t != nil && (state != balancer.Ready || t.address != h.Dial || t.born != h.BornMS) {
		l.up.retire(t)
		e.target = nil
	}
	if e.target == nil && state == balancer.Ready {
		e.target = &target{address: h.Dial, born: h.BornMS}
	}
	l.forgetMember(id)
}

func (l *loop) forgetMember(id uint32) {
	if e := l.fleet[id]; e.gone && e.out == 0 {
		delete(l.ids, e.name)
		delete(l.fleet, id)
	}
}

// depart counts something out to an endpoint and returns where that is reached,
// nil if nothing may go there. The balancer may know an endpoint for a moment
// longer than the loop does.
func (l *loop) depart(id uint32) *target {
	e := l.fleet[id]
	if e == nil {
		return nil
	}
	e.out++
	return e.target
}

// back is depart's end.
func (l *loop) back(id uint32) {
	if e := l.fleet[id]; e != nil {
		e.out--
		l.forgetMember(id)
	}
}

// Send starts an attempt.
func (l *loop) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	r, t := l.requests[id], l.depart(endpoint)
	now, until := l.clock.now(), r.deadline
	if timeout > 0 {
		until = min(until, now+timeout)
	}
	ctx, cancel := context.WithDeadline(l.ctx, l.clock.time(until))
	o := balancer.Outcome{ID: id, Attempt: len(r.attempts), Endpoint: endpoint}
	r.attempts = append(r.attempts, cancel)
	r.out++
	go func() {
		res := result{status: balancer.Moot}
		if t != nil {
			res = l.up.attempt(ctx, t, r.message)
		}
		cancel()
		l.post(func(at balancer.Micros) {
			o.Status, o.Load, o.Latency = res.status, res.load, at-now
			l.outcome(at, r, o, res)
			l.back(endpoint)
		})
	}()
}

// Refuse answers that a retry is harmless, and when it is welcome.
func (l *loop) Refuse(id uint64, retryAfter balancer.Micros) {
	l.finish(l.requests[id], answer{code: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

// Fail answers that the request failed.
func (l *loop) Fail(id uint64) {
	l.finish(l.requests[id], answer{code: http.StatusBadGateway})
}

// Cancel gives an attempt up: its connection is closed, its outcome still comes.
func (l *loop) Cancel(id uint64, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt]()
	}
}

// Timer gives a token back after a while.
func (l *loop) Timer(delay balancer.Micros, token uint32) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		l.post(func(now balancer.Micros) { l.balancer.Timer(now, token) })
	})
}

// Probe asks an endpoint for its load.
func (l *loop) Probe(endpoint uint32) {
	t := l.depart(endpoint)
	go func() {
		res := result{status: balancer.Moot}
		if t != nil {
			res = l.up.probe(l.ctx, t)
		}
		l.post(func(now balancer.Micros) {
			l.balancer.Probed(now, endpoint, res.status, res.took.Microseconds(), res.load)
			l.back(endpoint)
		})
	}()
}

// Watch begins to watch discovery's list, from the last version on, or ends it.
func (l *loop) Watch(on bool) {
	l.stopWatch()
	if !on {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	seq, disc := l.seq, l.disc
	tell := func(kind balancer.ListKind, list registry) {
		l.post(func(now balancer.Micros) {
			if ctx.Err() == nil { // else the watch was ended meanwhile
				l.members(now, kind, list)
			}
		})
	}
	go func() {
		for ctx.Err() == nil {
			var err error
			seq, err = disc.watch(ctx, seq, tell)
			if ctx.Err() == nil {
				l.log.Warn("discovery", "error", err)
			}
			if l.cfg.Settings.Subscribe {
				return // when to ask again is the balancer's decision
			}
			time.Sleep(pushedPause)
		}
	}()
}

// reload takes up what a new configuration may change: where discovery is. Its
// list is asked for whole, since versions are the old one's. Requests in hand and
// what the balancer knows stay.
func (l *loop) reload(next *Config) {
	old := l.disc
	l.disc, l.seq = newDiscovery(next.Discovery), nil
	l.Watch(true)
	old.client.CloseIdleConnections()
	l.log.Info("configuration reloaded", "discovery", next.Discovery)
}

// Log records a line of the balancer's.
func (l *loop) Log(line string) { l.log.Info(line) }
