// Package faulttest runs fault tests on real processes: instances of pinedale-proxy, one process with all servers, and
// clients whose requests are drawn from a seed. All traffic between them passes relays, which inject the faults of a
// schedule. What clients, servers and relays observe is recorded as a history, which is then checked against the rules
// that hold for the whole cluster.
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

// Options configure a run.
type Options struct {
	Schedule       *schedule.Schedule
	Program        string // path of pinedale-proxy
	UpgradeProgram string // path of another build of pinedale-proxy, for faults of kind Upgrade; Program if empty
	Dir            string // existing directory for configuration files and logs
	Log            *slog.Logger

	// afterLoad, if set, is called by tests after load and faults have ended and before replicas are compared.
	afterLoad func(context.Context, *testRun) error
}

// testRun is one run of a fault test: its processes, the network between them, and the history. The fields that are
// set in start do not change afterwards.
type testRun struct {
	options   Options
	loadStart time.Time // all times of the history are relative to it

	servers *serverProcess
	keyFile string // holds the key that the instances share

	instances []*instance
	byName    map[string]*instance

	network  *network
	drains   drainLog
	faults   faultState
	recorder recorder
}

// newTestRun returns a run that has not started any process.
func newTestRun(options Options) *testRun {
	return &testRun{
		options: options,
		byName:  map[string]*instance{},
		network: newNetwork(options.Schedule.Seed),
		faults: faultState{
			activePathFaults: map[int]schedule.Fault{},
			suspended:        map[int]*process{},
		},
		recorder: recorder{history: history.History{Schedule: options.Schedule}},
	}
}

// Run runs a schedule and returns what was observed. It returns an error only if the run itself failed: violations of
// the rules are reported by History.Check.
func Run(ctx context.Context, options Options) (*history.History, error) {
	if err := options.Schedule.Validate(); err != nil {
		return nil, err
	}
	r := newTestRun(options)
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.waitReady(ctx); err != nil {
		return nil, err
	}
	r.loadStart = time.Now()
	r.runUnderLoad(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if options.afterLoad != nil {
		if err := options.afterLoad(ctx, r); err != nil {
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

// runUnderLoad injects the faults while clients send requests, and returns once both have ended.
func (r *testRun) runUnderLoad(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var observers, faults sync.WaitGroup
	observers.Go(func() { r.observeViews(ctx) })
	observers.Go(func() { observeStalls(ctx, r.recordStall) })
	faults.Go(func() { r.injectFaults(ctx) })
	r.generateLoad(ctx)
	faults.Wait()
	cancel()
	observers.Wait()
}

// collect adds to the history what instances, servers and discovery have recorded during the run.
func (r *testRun) collect(ctx context.Context) error {
	recorded := &r.recorder.history
	for _, instance := range r.instances {
		status, err := r.fetchStatus(ctx, instance, statusTimeout)
		if err != nil {
			continue
		}
		recorded.LeaseCounts = append(recorded.LeaseCounts, fmt.Sprintf("%s: %+v", instance.name, status.Counts))
	}
	report, err := r.servers.report()
	if err != nil {
		return err
	}
	recorded.Executions = report.Executions
	recorded.DuplicateEffects = report.DuplicateEffects
	for _, stall := range report.Stalls {
		r.recordStall(stall)
	}
	recorded.Drains = r.observedDrains()
	for _, instance := range r.instances {
		recorded.UnexpectedExits = append(recorded.UnexpectedExits, instance.unexpectedExits()...)
	}
	return nil
}

// sinceLoadStart returns the current time as a time of the history.
func (r *testRun) sinceLoadStart() time.Duration { return time.Since(r.loadStart) }

// untilTime returns the time that is left until a time of the history.
func (r *testRun) untilTime(at time.Duration) time.Duration { return time.Until(r.loadStart.Add(at)) }
