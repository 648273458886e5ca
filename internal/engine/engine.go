// Package engine owns a balancer.Balancer: one goroutine passes it every event
// and carries out its Actions. Around it stand fronts, which bring requests and
// give final answers, carriers, which carry out attempts, and sources, which tell
// what endpoints there are. The engine knows them by the interfaces below alone.
package engine

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/subset"
)

const (
	eventsMost = 1024 // waiting for the engine's goroutine
	pruneEvery = time.Second
)

// A Carrier carries out the attempts of one request. Both methods are called on
// the engine's goroutine and must not block, nor call back into the engine.
type Carrier interface {
	// Send starts an attempt. Done or End must be called for it exactly once.
	Send(*Attempt)
	// Cancel gives an attempt up. Its end is still told.
	Cancel(*Attempt)
}

// An Upstream sends requests to endpoints itself, and keeps connections there.
type Upstream interface {
	// NewCarrier returns a carrier for one request.
	NewCarrier(*Message) Carrier
	// Probe asks an endpoint for its load, and must not block. told is called exactly
	// once, and not from within Probe.
	Probe(ctx context.Context, t *Target, told func(Result))
	// Retire follows Target.Close: what is kept for the target is let go.
	Retire(*Target)
	// Prune lets go of what has been idle for too long. It is called every second.
	Prune()
}

// A Source tells which endpoints there are.
type Source interface {
	// Watch tells what is newer than a version, nil for the whole list, until ctx
	// ends or something fails. It tells a failure as balancer.ListFailed before it
	// returns it, with the version to go on from.
	Watch(ctx context.Context, after *uint64, tell func(balancer.ListKind, List)) (*uint64, error)
	// Close lets go of what the source holds. The watch has been told to end.
	Close()
}

// Message is a request as it goes to endpoints, any number of times.
type Message struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // X-Time-Left-Ms is written for each attempt
	Body   []byte

	// Context ends once nobody waits for an answer any more: what has not been written by
	// then is not, whatever the settings say of calling attempts off. nil is always wanted.
	Context context.Context
}

// Result is what came of an attempt or a probe.
type Result struct {
	Status   balancer.Status
	Endpoint uint32        // that served the attempt, 0 if it is the one it was sent to
	Settled  bool          // the client has its answer by another way than the engine's
	Header   http.Header   // of a whole answer 200, as is Body
	Body     []byte        // at most httpmsg.BodyMost bytes
	Load     []float32     // in the order of the settings' fields; NaN where unknown
	Duration time.Duration // of a probe: from the write to the end, without the time to connect
}

// Response is the final answer to a request.
type Response struct {
	Code       int             // 200 served; 503 refused: a retry is harmless; 502 failed
	RetryAfter balancer.Micros // 0: no advice
	Header     http.Header
	Body       []byte
}

// Decider is what the engine needs of a *balancer.Balancer.
type Decider interface {
	Start(now balancer.Micros)
	UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint)
	HandleRequest(now balancer.Micros, in balancer.Request)
	AttemptCompleted(now balancer.Micros, o balancer.Outcome)
	ClientDisconnected(now balancer.Micros, id uint64)
	Expire(now balancer.Micros, id uint64)
	TimerFired(now balancer.Micros, token uint32)
	ProbeCompleted(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32)
	Configure(classes []balancer.Class, budgets []balancer.RetryBudget) error
}

// Admission decides, ahead of the balancer, whether a request is let in at all. It is
// called on the engine's goroutine.
type Admission interface {
	// Admit lets a request in, or says after which time another try is welcome.
	Admit(now balancer.Micros, in *balancer.Request) (retryAfter balancer.Micros, ok bool)
	// Release follows once the request has its final answer, or its client is gone.
	Release(in *balancer.Request)
}

// Subset decides which servers of a fleet are held. All of it is called on the engine's
// goroutine.
type Subset interface {
	Add(subset.Server)
	Remove(name string)
	// ObserveLoad and Outcome tell of requests in flight and of answers; each says whether Choose
	// would choose otherwise now.
	ObserveLoad(now time.Time, inflight float64) bool
	ObserveOutcome(name string, answered bool) bool
	// Select returns servers that are held from now on, and those that are no longer.
	Select() (added, removed []string)
	Contains(name string) bool
}

// RuntimeSettings is what may change of an engine's settings while it runs.
type RuntimeSettings struct {
	Classes []balancer.Class // numbers of before mean the same classes
	Budgets []balancer.RetryBudget
	Pools   func(site, kind string) uint64 // that a server is in, one bit for each; nil for none
}

// Options are an engine's surroundings.
type Options struct {
	Settings   balancer.Settings
	Seed       uint64
	Zones      []string // names of sites, by the numbers that the balancer uses
	Kinds      []string // names of kinds of machine, likewise
	CachedList List     // the last list held, perhaps old
	Upstream   Upstream
	Source     Source
	Log        *slog.Logger

	Admission Admission // nil lets all in
	Subset    Subset    // of the fleet that the balancer is told of; nil for all of it
	KeyLeases KeyLeases // of keyed requests; nil where each instance decides alone
	// Observe is told how each attempt and probe of a server has ended, on the engine's
	// goroutine; nil where nobody listens.
	Observe func(t *Target, s balancer.Status)
	Pools   func(site, kind string) uint64

	// Clock, where set, takes the place of the system's time and of Run: its goroutine
	// calls Start and all else, Post handles an event at once, and Tell stands in for
	// Source, which may be nil.
	Clock Clock
	// NewDecider, where set, makes what decides in place of balancer.New.
	NewDecider func(balancer.Settings, uint64, balancer.Actions) (Decider, error)
	// WrapDecider, where set, stands between the engine and its balancer.
	WrapDecider func(Decider) Decider
}

// Engine runs one balancer. Make one with New and start Run in a goroutine.
type Engine struct {
	opts   Options
	log    *slog.Logger
	clock  clock
	events chan func(now balancer.Micros)
	ctx    context.Context // ends with the engine
	listed atomic.Bool     // endpoints are known

	settings atomic.Pointer[balancer.Settings]

	inflight float64         // requests in hand, a moving mean; of the engine's goroutine
	whole    map[string]Host // the fleet as listed, where a subset of it is held; likewise

	// Below: the engine's goroutine alone.
	balancer  Decider
	soon      []func(now balancer.Micros) // to run once the balancer is not at work
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
		opts: o, log: o.Log, ctx: ctx, source: o.Source,
		requests: map[uint64]*Request{}, ids: map[string]uint32{}, fleet: map[uint32]*member{},
		addresses: map[string]uint32{},
		stopWatch: func() {},
	}
	e.settings.Store(&o.Settings)
	if e.clock.Clock = o.Clock; o.Clock == nil {
		e.clock.Clock, e.events = system{}, make(chan func(balancer.Micros), eventsMost)
	}
	e.clock.base = e.clock.Now()
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
	e.settle()
}

// Run handles events until the engine's context ends.
func (e *Engine) Run() {
	e.Start()
	prune := time.NewTicker(pruneEvery)
	defer prune.Stop()
	for {
		select {
		case event := <-e.events:
			e.handle(event)
		case <-prune.C:
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
		e.settle()
	}
}

// handle passes an event on, and then what it has put off.
func (e *Engine) handle(event func(now balancer.Micros)) {
	event(e.clock.now())
	e.settle()
}

// settle runs what the last event has put off.
func (e *Engine) settle() {
	for len(e.soon) > 0 {
		todo := e.soon
		e.soon = nil
		for _, event := range todo {
			event(e.clock.now())
		}
	}
}

// Now is the balancer's time.
func (e *Engine) Now() balancer.Micros { return e.clock.now() }

// WallTime is the system's time at an instant of the balancer's.
func (e *Engine) WallTime(at balancer.Micros) time.Time { return e.clock.time(at) }

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

// Post hands an event to the engine's goroutine, and waits for room. It must not
// be called from there.
func (e *Engine) Post(event func(now balancer.Micros)) { e.PostUntil(nil, event) }

// PostUntil is Post, given up once done is closed. It says whether the event was posted.
func (e *Engine) PostUntil(done <-chan struct{}, event func(now balancer.Micros)) bool {
	if e.opts.Clock != nil {
		e.handle(event)
		return true
	}
	select {
	case e.events <- event:
		return true
	case <-done:
	case <-e.ctx.Done():
	}
	return false
}

// Call has an event run on the engine's goroutine, and waits for its end, or the
// engine's. It must not be called from there.
func (e *Engine) Call(event func(now balancer.Micros)) {
	done := make(chan struct{})
	e.Post(func(now balancer.Micros) {
		event(now)
		close(done)
	})
	select {
	case <-done:
	case <-e.ctx.Done():
	}
}

// TryPost is Post where there is room at once, and else does nothing.
func (e *Engine) TryPost(event func(now balancer.Micros)) bool {
	if e.opts.Clock != nil {
		e.handle(event)
		return true
	}
	select {
	case e.events <- event:
		return true
	default:
		return false
	}
}

// Defer runs an event on the engine's goroutine after the present one, which is
// where it must be called. Carriers use it to tell an end from within their calls.
func (e *Engine) Defer(event func(now balancer.Micros)) { e.soon = append(e.soon, event) }

// After posts an event after a while. It may be called from anywhere.
func (e *Engine) After(delay time.Duration, event func(now balancer.Micros)) {
	e.clock.AfterFunc(delay, func() { e.Post(event) })
}

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
