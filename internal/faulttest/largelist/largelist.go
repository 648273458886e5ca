// Package largelist runs processes of pinedale, the platform's sidecar, between thousands of servers and clients with
// thin traffic, while discovery replaces servers in steps. Processor time is taken from the sidecars by stopping and
// continuing their processes in short alternation. What clients and servers have recorded is checked against the
// rules on final answers.
//
// Servers and clients run in the process of the caller, so that all records have one clock.
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
	Rate     float64       // requests a second at each sidecar, in the mean
	Duration time.Duration // of the load
	Release  bool          // servers are replaced during the load
	Throttle Throttle
}

// Throttle is the alternation in which a process runs. It always runs if Stopped is 0.
type Throttle struct {
	Running time.Duration
	Stopped time.Duration
}

// startTimeout is how long the sidecars may take to be ready.
const startTimeout = 30 * time.Second

// rig is one run.
type rig struct {
	options   Options
	random    *rand.Rand // of the main goroutine
	servers   *serverGroup
	discovery *fakediscovery.Directory
	sidecars  []*sidecar
	recorder  recorder
}

// Run plays one run and returns what came of it. It returns an error if the run itself failed; broken rules are
// findings of the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &rig{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	r.recorder.requests = map[string]*request{}
	r.servers = newServerGroup(&r.recorder)
	defer r.servers.close()
	defer r.stopSidecars()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.discovery.Close()
	r.play(ctx)
	r.stopSidecars()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.report(), nil
}

// start starts servers, discovery and sidecars, and waits until these are ready.
func (r *rig) start(ctx context.Context) error {
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

// play plays load and release with the sidecars throttled, and returns once the last request has ended.
func (r *rig) play(ctx context.Context) {
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
		background.Go(func() { r.playRelease(ctx) })
	}
	r.generateLoad(ctx)
}

// stopSidecars kills the sidecars and waits for their ends.
func (r *rig) stopSidecars() {
	for _, s := range r.sidecars {
		s.kill()
	}
}
