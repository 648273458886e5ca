// Package realtime plays a scenario on loopback sockets and the system's clock: emulated
// servers, real instances (front, engine, upstream) and clients, all in one process.
// It plays the plan that package simulation plays on virtual time, and counts in the same
// way. Faults, membership's lateness and the latency between sites are emulated; the
// requests, connections and time-outs are real.
package realtime

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/sockets"
	"pinedale/internal/emulator/trace"
	"pinedale/internal/engine"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/upstream/httpupstream"
)

// Options are of one play.
type Options struct {
	Decide   baselines.Decide  // in place of the decision module
	Watch    func(trace.Event) // is told what is asked, sent and answered; one call at a time
	Progress func(plan.Time)
}

const (
	// An answer may be so late before it counts as missing: instances answer by the
	// deadline, and the machine that plays has its own delays.
	answerSlack = 250 * time.Millisecond
	keepIdle    = 5 * time.Second // servers keep idle connections for longer; the sidecar's setting on the platform
	dialTimeout = 2 * time.Second
	// Clients let go of idle connections before the front does, which is after 2.1 s:
	// else a request may cross the end of its connection.
	clientIdle = time.Second
	// The play begins once all is there: so long after the start, and so long for each
	// listener.
	setUp     = 50 * time.Millisecond
	setUpEach = 500 * time.Microsecond
	many      = 1 << 14 // connections that each side may hold: no limit of a play's
	bodies    = 1 << 26
)

// player is one play.
type player struct {
	s      *plan.Scenario
	o      Options
	began  time.Time
	fleet  *sockets.Fleet
	nodes  []*node
	client *http.Client
	tasks  sync.WaitGroup // clients' tries, lives of servers

	mu            sync.Mutex
	result        *plan.Result
	tries         map[string]*plan.Request // by id of the request
	numbers       map[*sockets.Server]int
	servers       []*sockets.Server    // by number, in their present life
	drainingSince map[[2]int]plan.Time // drains: by server and instance, when heard
	fell          map[int]bool
	closed        bool
}

// node is one instance.
type node struct {
	engine *engine.Engine
	url    string
}

// Run plays a scenario; it takes as long as the scenario says, and until all is
// answered. ctx ends it before.
func Run(ctx context.Context, s *plan.Scenario, o Options) (*plan.Result, error) {
	if len(s.Kills) > 0 {
		return nil, errors.New("instances are killed on virtual time alone: play this scenario without sockets")
	}
	p := &player{s: s, o: o, result: s.NewResult(), tries: map[string]*plan.Request{}, numbers: map[*sockets.Server]int{},
		servers: make([]*sockets.Server, len(s.Servers)), drainingSince: map[[2]int]plan.Time{}, fell: map[int]bool{}}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: many, IdleConnTimeout: clientIdle}}
	defer p.client.CloseIdleConnections()
	p.began = time.Now().Add(setUp + setUpEach*time.Duration(len(s.Servers)*len(s.Sites)+len(s.Instances)))
	var classes []sockets.Class
	for i := range s.Classes {
		classes = append(classes, sockets.Class{Name: s.Classes[i].Name, Class: s.Classes[i].DedupClass()})
	}
	p.fleet = sockets.New(sockets.Options{Classes: classes, Now: p.now, OnArrival: p.arrived, Work: func(_ int, id string) time.Duration {
		p.mu.Lock()
		defer p.mu.Unlock()
		if t := p.tries[id]; t != nil {
			return t.Work
		}
		return 0
	}})
	defer p.fleet.Close()
	for n := range s.Servers {
		if s.Servers[n].Incarnations[0].From == 0 {
			if err := p.start(n, s.Servers[n].Incarnations[0]); err != nil {
				return nil, err
			}
		}
	}
	engines, endEngines := context.WithCancel(context.Background())
	defer endEngines()
	fronts, endFronts := context.WithCancel(context.Background())
	var served sync.WaitGroup
	defer func() {
		endFronts()
		served.Wait()
	}()
	for i := range s.Instances {
		if err := p.instance(engines, fronts, &served, i); err != nil {
			return nil, err
		}
	}
	for _, n := range p.nodes { // until all have their list
		n.engine.Call(func(balancer.Micros) {})
	}
	sleep(ctx, -p.now())
	p.incarnations(ctx)
	p.clients(ctx)
	p.tasks.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.finish()
	return p.result, nil
}

// start starts a server in one of its lives.
func (p *player) start(n int, incarnation plan.Incarnation) error {
	x := &p.s.Servers[n]
	var latencies []time.Duration
	for site := range p.s.Sites {
		latencies = append(latencies, p.s.Latency(site, x.Site))
	}
	server, err := p.fleet.Start(sockets.ServerSpec{Name: x.Name, Group: fmt.Sprint(x.Pod), Config: x.Config, Seed: p.s.ServerSeed(n),
		Warming: incarnation.From > 0, Faults: x.Faults, Latencies: latencies})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[n], p.numbers[server] = server, n
	return nil
}

// instance starts an instance with the list of servers that are there.
func (p *player) instance(engines, fronts context.Context, served *sync.WaitGroup, i int) error {
	s, log := p.s, slog.New(slog.DiscardHandler)
	up := httpupstream.New(httpupstream.Options{DialTimeout: dialTimeout, Idle: keepIdle, Connections: many, Fields: []string{"eps", "queue"}})
	e, err := engine.New(engines, engine.Options{Settings: s.SettingsFor(i), Seed: s.Seed<<16 | uint64(i), Zones: s.Sites, Kinds: s.Kinds,
		Upstream: up, NewDecider: p.o.Decide, Log: log})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go e.Run()
	front := httpfront.New(e, up, httpfront.Options{Connections: many, KeepAliveThreshold: many, BodyBytes: bodies, AcceptFor: time.Millisecond, Log: log})
	served.Go(func() { _ = front.Serve(fronts, listener) }) // it ends with fronts
	p.nodes = append(p.nodes, &node{e, "http://" + listener.Addr().String()})
	list := engine.List{Complete: true}
	for n := range s.Servers {
		if incarnation := s.Servers[n].Incarnations[0]; incarnation.From == 0 {
			list.Hosts = append(list.Hosts, s.HostEntry(n, incarnation, balancer.Ready, p.servers[n].Addresses[s.Instances[i]], p.began))
		}
	}
	e.Post(func(now balancer.Micros) { e.UpdateEndpoints(now, balancer.ListFull, list) })
	return nil
}

// now is the play's time.
func (p *player) now() plan.Time { return time.Since(p.began) }

// on has something done at an instant of the play, unless it ends before.
func (p *player) on(ctx context.Context, at plan.Time, do func()) {
	p.tasks.Go(func() {
		if sleep(ctx, at-p.now()) {
			do()
		}
	})
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// incarnations has servers start, drain and end when the scenario says.
func (p *player) incarnations(ctx context.Context) {
	for n := range p.s.Servers {
		for _, incarnation := range p.s.Servers[n].Incarnations {
			if incarnation.From > 0 && incarnation.From < p.s.Length {
				p.on(ctx, incarnation.From, func() {
					if err := p.start(n, incarnation); err == nil {
						p.notify(ctx, n, incarnation, balancer.Ready)
					}
				})
			}
			if incarnation.Drain < p.s.Length {
				p.on(ctx, incarnation.Drain, func() { p.notify(ctx, n, incarnation, balancer.Draining) })
			}
			if incarnation.End < p.s.Length {
				p.on(ctx, incarnation.End, func() {
					p.fallen(n)
					p.mu.Lock()
					server := p.servers[n]
					p.mu.Unlock()
					server.Close()
					p.notify(ctx, n, incarnation, balancer.Removed)
				})
			}
		}
	}
}

// notify has each instance hear of a server, each as late as it is.
func (p *player) notify(ctx context.Context, n int, incarnation plan.Incarnation, state balancer.State) {
	at := p.now()
	p.mu.Lock()
	server := p.servers[n]
	p.mu.Unlock()
	for i, node := range p.nodes {
		p.on(ctx, at+p.s.NotificationDelay(n, i), func() {
			list := engine.List{Hosts: []engine.Host{p.s.HostEntry(n, incarnation, state, server.Addresses[p.s.Instances[i]], p.began)}}
			node.engine.Call(func(now balancer.Micros) { node.engine.UpdateEndpoints(now, balancer.ListDelta, list) })
			p.mu.Lock()
			defer p.mu.Unlock()
			if state == balancer.Ready {
				delete(p.drainingSince, [2]int{n, i})
			} else if _, was := p.drainingSince[[2]int{n, i}]; !was {
				p.drainingSince[[2]int{n, i}] = p.now()
			}
			p.watch(trace.Event{Kind: trace.KindEndpoint, Instance: i + 1, Server: n + 1, Code: int(state)})
		})
	}
}

// fallen notes a server that fell over.
func (p *player) fallen(n int) {
	p.mu.Lock()
	server := p.servers[n]
	p.mu.Unlock()
	if server == nil || !server.Collapsed() { // without mu: the fleet's lock comes first
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fell[n] {
		p.fell[n] = true
		p.watch(trace.Event{Kind: trace.KindCollapse, Server: n + 1})
	}
}

// watch is called with mu held.
func (p *player) watch(e trace.Event) {
	if p.o.Watch != nil && !p.closed {
		e.At = p.now().Microseconds()
		p.o.Watch(e)
	}
}

// arrived counts an attempt at its server.
func (p *player) arrived(server *sockets.Server, id string, _ model.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tries[id]
	n, ok := p.numbers[server]
	if t == nil || !ok {
		return
	}
	at := p.now()
	p.result.RecordAttempt(n, at)
	grace := time.Duration(p.s.Settings.Contract.DrainGrace)*time.Microsecond + p.s.Latency(p.s.Instances[t.Instance], p.s.Servers[n].Site)
	if since, ok := p.drainingSince[[2]int{n, t.Instance}]; ok && at > since+grace {
		p.result.SentAfterDrain++
	}
	p.watch(trace.Event{Kind: trace.KindAttempt, Number: t.Number, Try: t.ClientAttempts, Instance: t.Instance + 1, Server: n + 1})
}

// clients asks as the script says.
func (p *player) clients(ctx context.Context) {
	script, second := p.s.Workload(), time.Duration(0)
	for t, ok := script.Next(); ok && sleep(ctx, t.At-p.now()); t, ok = script.Next() {
		p.tasks.Go(func() { p.want(ctx, t) })
		if p.o.Progress != nil && t.At >= second {
			p.o.Progress(t.At)
			second += time.Second
		}
	}
	if p.o.Progress != nil {
		p.o.Progress(p.s.Length)
	}
}

// want is one client's wish: its tries, one after the other.
func (p *player) want(ctx context.Context, t *plan.Request) {
	for {
		p.mu.Lock()
		t.ClientAttempts++
		p.result.ClientAttempts++
		id := fmt.Sprintf("t%d-%d", t.Number, t.ClientAttempts)
		p.tries[id] = t
		p.watch(trace.Event{Kind: trace.KindRequest, Number: t.Number, Try: t.ClientAttempts, Instance: t.Instance + 1, Class: t.Class + 1})
		p.mu.Unlock()
		code, retryAfter, missing := p.submit(ctx, t, id)
		p.mu.Lock()
		if missing {
			p.result.Unanswered++
		}
		p.watch(trace.Event{Kind: trace.KindResponse, Number: t.Number, Try: t.ClientAttempts, Instance: t.Instance + 1, Code: code})
		now := p.now()
		wait, retry := p.s.Retry(t, code, retryAfter, now)
		if !retry {
			p.result.RecordOutcome(p.s, t, code, now)
		}
		p.mu.Unlock()
		if !retry || !sleep(ctx, wait) {
			return
		}
	}
}

// submit sends one try. missing says that there was no answer though the client waited
// its time out.
func (p *player) submit(ctx context.Context, t *plan.Request, id string) (code int, retryAfter time.Duration, missing bool) {
	c, patience := &p.s.Classes[t.Class], p.s.AttemptTimeout(t)
	wait := patience + answerSlack
	if g := p.s.Clients.AbandonAfter; g > 0 {
		wait = min(wait, g)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	method := http.MethodPost
	if c.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, p.nodes[t.Instance].url+"/"+c.Name+"/x", nil)
	if err != nil {
		return plan.CodeDisconnected, 0, true
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Service-Class", c.Name)
	r.Header.Set("X-Time-Left-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	r.Header.Set("X-Weight-Hint", strconv.FormatInt(t.WorkHint, 10))
	if t.Key != "" {
		r.Header.Set("Idempotency-Key", t.Key)
	}
	if t.AffinityKey > 0 {
		r.Header.Set("X-Session-Key", fmt.Sprint("s", t.AffinityKey))
	}
	if t.ClientAttempts > 1 {
		r.Header.Set("X-Repeat", "1")
	}
	if len(p.s.Tenants) > 0 {
		r.Header.Set("X-Account", p.s.Tenants[t.Tenant].Name)
	}
	out, err := p.client.Do(r)
	if err != nil {
		gaveUp := p.s.Clients.AbandonAfter > 0 && wait == p.s.Clients.AbandonAfter && errors.Is(err, context.DeadlineExceeded)
		return plan.CodeDisconnected, 0, !gaveUp
	}
	defer out.Body.Close()
	if _, err := io.Copy(io.Discard, out.Body); err != nil {
		return plan.CodeDisconnected, 0, true
	}
	if seconds, err := strconv.ParseFloat(strings.TrimSpace(out.Header.Get("Retry-After")), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return out.StatusCode, retryAfter, false
}

// finish counts what must not be.
func (p *player) finish() {
	for n := range p.s.Servers {
		p.fallen(n)
	}
	twice := len(p.fleet.DuplicateEffects())
	_, highest := p.fleet.Connections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.result.DuplicateEffects, p.result.Connections = twice, highest
	for n := range p.s.Servers {
		if p.fell[n] {
			p.result.Collapsed = append(p.result.Collapsed, n)
		}
	}
}
