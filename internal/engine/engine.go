// Package engine owns a balancer.Balancer: one goroutine passes it every event
// and carries out its Actions. Around it stand fronts, which bring requests and
// give final answers, carriers, which carry out attempts, and sources, which tell
// what endpoints there are. The engine knows them by the interfaces below alone.
package engine

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"pinedale/balancer"
)

// tickInterval is the interval of Engine.Tick.
const tickInterval = time.Second

// Engine runs one balancer. Make one with New and start Run in a goroutine.
type Engine struct {
	eventLoop
	opts   Options
	log    *slog.Logger
	listed atomic.Bool // endpoints are known

	settings atomic.Pointer[balancer.Settings]

	inflight float64         // requests in hand, a moving mean; of the engine's goroutine
	whole    map[string]Host // the fleet as listed, where a subset of it is held; likewise

	// Below: the engine's goroutine alone.
	balancer  Decider
	requests  map[uint64]*Request
	lastID    uint64
	ids       map[string]uint32 // of endpoints, by host name
	lastEP    uint32            // the latest id given; none is given twice
	fleet     map[uint32]*member
	addresses map[string]uint32 // of ready endpoints
	source    Source
	seq       *uint64          // version of the last list, if there was any
	advised   map[string]int64 // starts of endpoints that others know to drain, by name
	stopWatch context.CancelFunc
}

// New returns an engine that lives until ctx ends, or a *balancer.SettingError.
func New(ctx context.Context, o Options) (*Engine, error) {
	e := &Engine{
		eventLoop: newEventLoop(ctx, o.Clock), opts: o, log: o.Log, source: o.Source,
		requests: map[uint64]*Request{}, ids: map[string]uint32{}, fleet: map[uint32]*member{},
		addresses: map[string]uint32{},
		stopWatch: func() {},
	}
	e.settings.Store(&o.Settings)
	decide := o.NewDecider
	if decide == nil {
		decide = func(s balancer.Settings, seed uint64, a balancer.Actions) (Decider, error) {
			return balancer.New(s, seed, a)
		}
	}
	var err error
	if e.balancer, err = decide(o.Settings, o.Seed, (*actions)(e)); err != nil {
		return nil, err
	}
	if o.WrapDecider != nil {
		e.balancer = o.WrapDecider(e.balancer)
	}
	return e, nil
}

// Start starts the balancer. Run does it by itself.
func (e *Engine) Start() {
	now := e.clock.now()
	e.balancer.Start(now)
	if len(e.opts.CachedList.Hosts) > 0 {
		e.members(now, balancer.ListCached, e.opts.CachedList)
	}
	if !e.opts.Settings.PollDiscovery {
		e.watch(true)
	}
	e.runDeferred()
}

// Run handles events until the engine's context ends.
func (e *Engine) Run() {
	e.Start()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-e.queue:
			e.handle(event)
		case <-ticker.C:
			e.Tick()
		case <-e.ctx.Done():
			return
		}
	}
}

// inflightWeight is that of a second in the mean of requests in hand: some ten seconds count.
const inflightWeight = 0.1

// Tick does what is done each second. Run calls it by itself.
func (e *Engine) Tick() {
	e.opts.Upstream.Prune()
	if e.opts.Subset == nil {
		return
	}
	e.inflight += inflightWeight * (float64(len(e.requests)) - e.inflight)
	if e.opts.Subset.ObserveLoad(e.clock.Now(), e.inflight) {
		e.choose(e.clock.now())
		e.runDeferred()
	}
}

// Settings are the balancer's, as they are now. They must not be changed.
func (e *Engine) Settings() *balancer.Settings { return e.settings.Load() }

// Configure changes classes, budgets and pools, and nothing if it returns an error.
// Requests in hand keep their classes. It must be called on the engine's goroutine.
func (e *Engine) Configure(now balancer.Micros, t RuntimeSettings) error {
	if err := e.balancer.Configure(t.Classes, t.Budgets); err != nil {
		return err
	}
	next := *e.Settings()
	next.Classes, next.Budgets = t.Classes, t.Budgets
	e.settings.Store(&next)
	e.opts.Pools = t.Pools
	var entries []balancer.Endpoint
	for id, m := range e.fleet {
		if !m.gone {
			entries = append(entries, e.entry(id, m.host))
		}
	}
	slices.SortFunc(entries, func(a, b balancer.Endpoint) int { return int(a.ID) - int(b.ID) })
	e.balancer.UpdateEndpoints(now, balancer.ListHost, entries)
	return nil
}

// HasEndpoints says whether an endpoint is known that requests may go to.
func (e *Engine) HasEndpoints() bool { return e.listed.Load() }

// SwitchSource watches another source from now on. Its list is asked for whole, since
// versions are the old one's. Requests in hand and what the balancer knows stay.
// It must be called on the engine's goroutine.
func (e *Engine) SwitchSource(next Source) {
	old := e.source
	e.source, e.seq = next, nil
	e.watch(true)
	old.Close()
}

// Expire has every request in hand given its final answer now: the host is about to end. It
// must be called on the engine's goroutine.
func (e *Engine) Expire(now balancer.Micros) {
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; r != nil && !r.over {
			e.balancer.Expire(now, id)
			e.forget(r)
		}
	}
}

// Counts counts what the engine holds: requests in its ledger, and endpoints that
// are listed or have something out. It must be called on the engine's goroutine.
func (e *Engine) Counts() (requests, endpoints int) { return len(e.requests), len(e.fleet) }
