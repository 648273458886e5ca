// Package realtime runs a scenario on loopback sockets and the system's clock: emulated servers, real instances (front,
// engine and upstream) and clients, all in one process. It runs the plan that package simulation runs on virtual time,
// and counts results in the same way. Faults, the delay of notifications and the latency between sites are emulated;
// requests, connections and timeouts are real.
package realtime

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"pinedale/internal/ctxtime"
	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/sockets"
	"pinedale/internal/emulator/trace"
)

// ErrKillsUnsupported is the error of a scenario that kills instances, which is supported on virtual time only.
var ErrKillsUnsupported = errors.New("scenarios that kill instances run on virtual time only, not on sockets")

// Options configure one run.
type Options struct {
	NewDecider baselines.NewDecider // creates the deciders of the engines; nil for the decision module
	OnEvent    func(trace.Event)    // called with every event of the trace, one call at a time; may be nil
	OnProgress func(plan.Time)      // called each second; may be nil
}

// clientIdleTimeout is shorter than the 2.1 s after which instances close idle client connections. A client could
// otherwise send a request on a connection that its instance is closing.
const clientIdleTimeout = time.Second

// A run begins setupTime after the call of Run, and setupTimePerListener later for each listener, so that all servers
// and instances have started by then.
const (
	setupTime            = 50 * time.Millisecond
	setupTimePerListener = 500 * time.Microsecond
)

// unlimitedConnections is a connection limit that no run reaches.
const unlimitedConnections = 1 << 14

// runner holds the state of one run.
type runner struct {
	scenario  *plan.Scenario
	options   Options
	began     time.Time
	fleet     *sockets.Fleet
	instances []*instance
	client    *http.Client
	tasks     sync.WaitGroup // client requests and scheduled actions
	fronts    sync.WaitGroup
	engines   sync.WaitGroup

	mu            sync.Mutex
	result        *plan.Result
	requests      map[string]*plan.Request // by the ID of the client attempt
	serverNumbers map[*sockets.Server]int
	servers       []*sockets.Server // the current process of each server
	drainingSince map[notificationKey]plan.Time
	collapsed     map[int]bool // by server
	closed        bool         // the result is complete; no more events are emitted
}

// notificationKey identifies the notifications that one instance receives about one server.
type notificationKey struct{ server, instance int }

// Run runs a scenario in real time and returns when all its requests have ended. If ctx ends before, Run returns early
// with the error of ctx.
func Run(ctx context.Context, s *plan.Scenario, o Options) (*plan.Result, error) {
	if len(s.Kills) > 0 {
		return nil, ErrKillsUnsupported
	}
	return newRunner(s, o).run(ctx)
}

func newRunner(s *plan.Scenario, o Options) *runner {
	listeners := len(s.Servers)*len(s.Sites) + len(s.Instances)
	r := &runner{
		scenario: s,
		options:  o,
		began:    time.Now().Add(setupTime + setupTimePerListener*time.Duration(listeners)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: unlimitedConnections,
			IdleConnTimeout:     clientIdleTimeout,
		}},
		result:        s.NewResult(),
		requests:      map[string]*plan.Request{},
		serverNumbers: map[*sockets.Server]int{},
		servers:       make([]*sockets.Server, len(s.Servers)),
		drainingSince: map[notificationKey]plan.Time{},
		collapsed:     map[int]bool{},
	}
	var classes []sockets.Class
	for i := range s.Classes {
		classes = append(classes, sockets.Class{Name: s.Classes[i].Name, Class: s.Classes[i].DedupClass()})
	}
	r.fleet = sockets.New(sockets.Options{
		Classes:   classes,
		Now:       r.now,
		OnArrival: r.recordArrival,
		Work:      r.workOf,
	})
	return r
}

func (r *runner) run(ctx context.Context) (*plan.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer r.client.CloseIdleConnections()
	defer r.fleet.Close()
	if err := r.startInitialServers(); err != nil {
		return nil, err
	}
	stopInstances, err := r.startInstances()
	defer stopInstances()
	if err != nil {
		return nil, err
	}
	ctxtime.Sleep(ctx, -r.now())
	r.scheduleIncarnations(ctx, cancel)
	r.runClients(ctx)
	r.tasks.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	r.completeResult()
	return r.result, nil
}

// now returns the time since the start of the run.
func (r *runner) now() plan.Time { return time.Since(r.began) }

// at schedules an action for an instant of the run. The action does not run if ctx ends before.
func (r *runner) at(ctx context.Context, instant plan.Time, action func()) {
	r.tasks.Go(func() {
		if ctxtime.Sleep(ctx, instant-r.now()) {
			action()
		}
	})
}

// emit passes an event of the trace to the caller of Run. The caller holds mu.
func (r *runner) emit(event trace.Event) {
	if r.options.OnEvent != nil && !r.closed {
		event.At = r.now().Microseconds()
		r.options.OnEvent(event)
	}
}

// workOf returns the work of a client attempt, or 0 for an unknown ID.
func (r *runner) workOf(_ int, id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request := r.requests[id]; request != nil {
		return request.Work
	}
	return 0
}

// recordArrival counts an attempt that arrives at its server. The caller holds the fleet's lock.
func (r *runner) recordArrival(server *sockets.Server, id string, _ model.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requests[id]
	number, known := r.serverNumbers[server]
	if request == nil || !known {
		return
	}
	now := r.now()
	r.result.RecordAttempt(number, now)
	since, draining := r.drainingSince[notificationKey{server: number, instance: request.Instance}]
	if draining && now > since+r.drainGrace(number, request.Instance) {
		r.result.SentAfterDrain++
	}
	r.emit(trace.Event{
		Kind:     trace.KindAttempt,
		Number:   request.Number,
		Try:      request.ClientAttempts,
		Instance: request.Instance + 1,
		Server:   number + 1,
	})
}

// drainGrace returns how long after the notification of a drain an attempt may still arrive.
func (r *runner) drainGrace(server, instance int) time.Duration {
	s := r.scenario
	grace := time.Duration(s.Settings.Contract.DrainGrace) * time.Microsecond
	return grace + s.Latency(s.Instances[instance], s.Servers[server].Site)
}

// completeResult adds the values that are known only at the end of the run.
func (r *runner) completeResult() {
	for server := range r.scenario.Servers {
		r.recordCollapse(server)
	}
	duplicates := len(r.fleet.DuplicateEffects())
	_, highest := r.fleet.Connections()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.result.DuplicateEffects = duplicates
	r.result.Connections = highest
	for server := range r.scenario.Servers {
		if r.collapsed[server] {
			r.result.Collapsed = append(r.result.Collapsed, server)
		}
	}
}
