package engine

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"pinedale/balancer"
)

// tickInterval is the interval of Engine.Tick.
const tickInterval = time.Second

// Engine runs one balancer. It is created by New; Run must be started in a goroutine of its own.
type Engine struct {
	eventLoop
	options Options
	log     *slog.Logger

	// Readable from any goroutine.
	settings     atomic.Pointer[balancer.Settings]
	hasEndpoints atomic.Bool

	// Owned by the engine's goroutine.
	decider   Decider
	requests  requestLedger
	timers    requestTimers
	endpoints *endpointRegistry
	discovery discovery
	subset    *fleetSubset // nil if the complete fleet is used
}

// New returns an engine that runs until ctx ends. Invalid settings give a *balancer.SettingError.
func New(ctx context.Context, o Options) (*Engine, error) {
	e := &Engine{
		eventLoop: newEventLoop(ctx, o.Clock),
		options:   o,
		log:       o.Log,
		requests:  newRequestLedger(),
		timers:    newRequestTimers(),
		endpoints: newEndpointRegistry(o),
		discovery: newDiscovery(o.Source),
		subset:    newFleetSubset(o.Subset),
	}
	e.settings.Store(&o.Settings)
	newDecider := o.NewDecider
	if newDecider == nil {
		newDecider = newBalancer
	}
	decider, err := newDecider(o.Settings, o.Seed, actions{e})
	if err != nil {
		return nil, err
	}
	if o.WrapDecider != nil {
		decider = o.WrapDecider(decider)
	}
	e.decider = decider
	return e, nil
}

func newBalancer(s balancer.Settings, seed uint64, a balancer.Actions) (Decider, error) {
	return balancer.New(s, seed, a)
}

// Start starts the decision module and the watch of the source. It is called by Run, or, if
// Options.Clock is set, by the clock's goroutine.
func (e *Engine) Start() {
	now := e.Now()
	e.decider.Start(now)
	if len(e.options.CachedList.Hosts) > 0 {
		e.UpdateEndpoints(now, balancer.ListCached, e.options.CachedList)
	}
	if !e.options.Settings.PollDiscovery {
		e.startWatch()
	}
	e.runDeferred()
}

// Run handles events until the engine's context ends, and returns once the watch of the source has
// also returned. The goroutine that calls it becomes the engine's.
func (e *Engine) Run() {
	defer e.discovery.running.Wait()
	e.Start()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		event, ticked, ok := e.next(ticker.C)
		switch {
		case !ok:
			return
		case ticked:
			e.Tick()
		default:
			e.handle(event)
		}
	}
}

// Tick does periodic work. It is called every second by Run, or, if Options.Clock is set, by the
// clock's goroutine.
func (e *Engine) Tick() {
	e.logLateness(e.Now())
	e.options.Upstream.Prune()
	if e.subset != nil && e.subset.observeLoad(e.clock.Now(), e.requests.len()) {
		e.reselect(e.Now())
		e.runDeferred()
	}
}

// Settings returns the current settings, which must not be changed. It may be called from any
// goroutine.
func (e *Engine) Settings() *balancer.Settings { return e.settings.Load() }

// HasEndpoints reports whether any known endpoint takes requests. It may be called from any
// goroutine.
func (e *Engine) HasEndpoints() bool { return e.hasEndpoints.Load() }

// Configure replaces the classes, budgets and pools. If it returns an error, nothing has changed.
// Requests in flight keep their classes. It must be called on the engine's goroutine.
func (e *Engine) Configure(now balancer.Micros, t RuntimeSettings) error {
	if err := e.decider.Configure(t.Classes, t.Budgets); err != nil {
		return err
	}
	settings := *e.Settings()
	settings.Classes = t.Classes
	settings.Budgets = t.Budgets
	e.settings.Store(&settings)
	e.endpoints.pools = t.Pools
	e.decider.UpdateEndpoints(now, balancer.ListLocal, e.endpoints.entries())
	return nil
}

// Counts returns the number of requests in the ledger, and the number of endpoints that are listed
// or have attempts or health checks pending. It must be called on the engine's goroutine.
func (e *Engine) Counts() (requests, endpoints int) {
	return e.requests.len(), len(e.endpoints.byID)
}
