// Package largelist runs processes of pinedale, the platform's sidecar, between thousands of servers and clients that
// send few requests, while discovery replaces servers in steps. The sidecars get little processor time, because their
// processes are stopped and continued in short alternation. What clients and servers recorded is checked: each request
// must have one final answer.
//
// Servers and clients run in the process of the caller, so that all records are on the same clock.
package largelist

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pinedale/internal/standin/fakediscovery"
)

// Options configure a run.
type Options struct {
	Program  string // path of pinedale
	Dir      string // existing directory for configuration files and logs
	Seed     uint64
	Servers  int
	Sidecars int
	Rate     float64       // mean of requests per second at each sidecar
	Duration time.Duration // of the load
	Release  bool          // whether servers are replaced during the load
	Throttle Throttle
}

// Throttle describes how a process is stopped and continued in turn. The process always runs if Stopped is 0.
type Throttle struct {
	Running time.Duration
	Stopped time.Duration
}

// startTimeout is how long the sidecars may take to become ready.
const startTimeout = 30 * time.Second

// testRun is one run: its servers, discovery service and sidecars, and what was recorded.
type testRun struct {
	options   Options
	random    *rand.Rand // of the main goroutine
	servers   *serverGroup
	discovery *fakediscovery.Directory
	sidecars  []*sidecar
	recorder  recorder
}

// Run does one run and returns its report. It returns an error only if the run itself failed: violations of the
// rules are in Report.Losses.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &testRun{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	r.recorder.requests = map[string]*request{}
	r.servers = newServerGroup(&r.recorder)
	defer r.servers.close()
	defer r.stopSidecars()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.discovery.Close()
	r.runLoad(ctx)
	r.stopSidecars()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.report(), nil
}

// start starts servers, discovery and sidecars, and waits until the sidecars are ready.
func (r *testRun) start(ctx context.Context) error {
	hosts, err := r.servers.start(r.options.Servers, time.Time{})
	if err != nil {
		return err
	}
	if r.discovery, err = fakediscovery.Start(hosts...); err != nil {
		return err
	}
	for i := range r.options.Sidecars {
		s, err := startSidecar(r.options, i, r.discovery)
		if err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, s)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, s := range r.sidecars {
		if err := s.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runLoad generates the load, with a release if there is one, while the sidecars are throttled and observed. It returns
// once the last request has ended.
func (r *testRun) runLoad(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for _, s := range r.sidecars {
		background.Go(func() { s.throttle(ctx, r.options.Throttle) })
		background.Go(func() { s.observe(ctx) })
	}
	if r.options.Release {
		background.Go(func() { r.runRelease(ctx) })
	}
	r.generateLoad(ctx)
}

// stopSidecars kills the sidecars and waits until they have exited.
func (r *testRun) stopSidecars() {
	for _, s := range r.sidecars {
		s.kill()
	}
}
