package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"pinedale/internal/faulttest"
	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/schedule"
)

// runner runs schedules and prints their results.
type runner struct {
	out            io.Writer
	program        string // path of pinedale-proxy
	upgradeProgram string // path of the program for faults of kind schedule.Upgrade; program if empty
	dir            string // directory of stored runs; if empty, runs with findings are kept in the temporary directory
	parallel       int    // schedules that run at the same time
}

// runAll runs schedules and prints the result of each, and the totals. It returns an error if a run failed or has
// findings.
func (r *runner) runAll(ctx context.Context, schedules []*schedule.Schedule) error {
	var totals totals
	var mu sync.Mutex // guards out and totals
	var runs sync.WaitGroup
	slots := make(chan struct{}, max(1, r.parallel))
	for _, s := range schedules {
		runs.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			recorded, err := r.run(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				printFailure(r.out, s, err)
				totals.addFailure(s, err)
				return
			}
			result := newRunResult(recorded)
			result.print(r.out)
			totals.add(result)
		})
	}
	runs.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	totals.print(r.out, len(schedules))
	return totals.err(len(schedules))
}

// failsWithin reports whether one of several runs of a schedule has findings. It also returns true once ctx is done, so
// that Shrink ends early.
func (r *runner) failsWithin(ctx context.Context, s *schedule.Schedule, attempts int) bool {
	for range attempts {
		recorded, err := r.run(ctx, s)
		if ctx.Err() != nil {
			return true
		}
		if err == nil && len(recorded.Check()) > 0 {
			return true
		}
	}
	return false
}

// run runs a schedule in a directory of its own. The directory is removed if the run has no findings and no directory
// for stored runs was given.
func (r *runner) run(ctx context.Context, s *schedule.Schedule) (*history.History, error) {
	program, err := exec.LookPath(r.program)
	if err != nil {
		return nil, fmt.Errorf("%w: build ./cmd/pinedale-proxy, or set its path with --program", err)
	}
	dir, err := os.MkdirTemp(r.dir, "run-")
	if err != nil {
		return nil, err
	}
	recorded, err := faulttest.Run(ctx, faulttest.Options{
		Schedule:       s,
		Program:        program,
		UpgradeProgram: r.upgradeProgram,
		Dir:            dir,
		Log:            slog.Default(),
	})
	if err != nil {
		return nil, err
	}
	if r.dir == "" && len(recorded.Check()) == 0 {
		os.RemoveAll(dir)
		return recorded, nil
	}
	return recorded, storeRun(dir, recorded)
}

// storeRun writes a history and its schedule to a directory.
func storeRun(dir string, recorded *history.History) error {
	if err := faulttest.WriteHistory(filepath.Join(dir, "run.json"), recorded); err != nil {
		return err
	}
	text, err := toml.Marshal(recorded.Schedule)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "schedule.toml"), text, 0o644)
}
