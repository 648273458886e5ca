// Package faulttest is a rig of real processes: instances of pinedale-proxy, servers in a process
// of their own, and seeded clients, with a relay on each path between them, through which a
// schedule of faults is played. What was asked, answered and done is kept as a history and
// checked against the rules over all processes together.
package faulttest

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/schedule"
)

// Options say what a run is made of.
type Options struct {
	Schedule *schedule.Schedule
	Program  string // path of pinedale-proxy
	Next     string // path of another build of it, for faults that ask for one
	Dir      string // for files of the run
	Log      *slog.Logger

	// afterLoad, if set, is called once load and faults are over and before replicas are compared.
	afterLoad func(context.Context, *rig) error
}

// rig is one run: its processes, the network between them, and what is recorded. The maps and slices
// are filled by start and only read afterwards.
type rig struct {
	options Options
	began   time.Time // of the load; all instants of the history count from it

	serverSpec serverSpec
	servers    *servers
	serverMu   sync.Mutex // over one request to the servers' process and its answer

	keyFile   string // of the key that the instances share
	instances []*instance
	byName    map[string]*instance

	network  *network
	drains   drains
	faults   faults
	recorder recorder
}

// Run plays a schedule. Its error is of the rig; what the program did wrong is in the
// history's findings.
func Run(ctx context.Context, o Options) (*history.History, error) {
	if err := o.Schedule.Validate(); err != nil {
		return nil, err
	}
	r := &rig{
		options: o,
		byName:  map[string]*instance{},
		network: newNetwork(o.Schedule.Seed),
		faults:  faults{active: map[int]schedule.Fault{}, suspended: map[int]*process{}},
	}
	r.recorder.history.Schedule = o.Schedule
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.waitReady(ctx); err != nil {
		return nil, err
	}
	r.began = time.Now()
	r.playUnderLoad(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if o.afterLoad != nil {
		if err := o.afterLoad(ctx, r); err != nil {
			return nil, err
		}
	}
	if err := r.waitConverged(ctx); err != nil {
		return nil, err
	}
	if err := r.collect(ctx); err != nil {
		return nil, err
	}
	return &r.recorder.history, nil
}

// playUnderLoad plays the faults while clients ask, and returns once both are over.
func (r *rig) playUnderLoad(ctx context.Context) {
	var observers, players sync.WaitGroup
	play, stop := context.WithCancel(ctx)
	defer stop()
	observers.Go(func() { r.observeViews(play) })
	observers.Go(func() { observeStalls(play, r.recordStall) })
	players.Go(func() { r.playFaults(play) })
	r.load(ctx)
	players.Wait()
	stop()
	observers.Wait()
}

// collect adds to the history what instances, servers and discovery know at the end of the run.
func (r *rig) collect(ctx context.Context) error {
	h := &r.recorder.history
	for _, i := range r.instances {
		if s, err := r.status(ctx, i, statusTimeout); err == nil {
			h.LeaseCounts = append(h.LeaseCounts, fmt.Sprintf("%s: %+v", i.name, s.Counts))
		}
	}
	var report serverReport
	if err := r.servers.request("report", &report); err != nil {
		return err
	}
	h.Executions, h.DuplicateEffects = report.Done, report.Twice
	for _, s := range report.Stalls {
		r.recordStall(s)
	}
	h.Drains = r.observedDrains()
	for _, i := range r.instances {
		i.mu.Lock()
		h.UnexpectedExits = append(h.UnexpectedExits, i.crashes...)
		i.mu.Unlock()
	}
	return nil
}

// sinceStart is the time on the history's clock.
func (r *rig) sinceStart() time.Duration { return time.Since(r.began) }

// sleep waits, and says whether the time is over rather than ctx.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
