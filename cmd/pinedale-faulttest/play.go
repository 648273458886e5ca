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

// player plays schedules and prints their results.
type player struct {
	out            io.Writer
	program        string // pinedale-proxy
	upgradeProgram string // for faults of kind schedule.Upgrade, "" for the same program
	dir            string // of stored runs, "" to store only those with findings, in the system's temporary directory
	parallel       int    // schedules that are played at the same time
}

// playAll plays schedules and prints a result for each, and their totals. It returns an error if a run failed or has
// findings.
func (p *player) playAll(ctx context.Context, schedules []*schedule.Schedule) error {
	var totals totals
	var mu sync.Mutex // guards out and totals
	var runs sync.WaitGroup
	slots := make(chan struct{}, max(1, p.parallel))
	for _, s := range schedules {
		runs.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			recorded, err := p.play(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				printFailure(p.out, s, err)
				totals.addFailure(s, err)
				return
			}
			result := newRunResult(recorded)
			result.print(p.out)
			totals.add(result)
		})
	}
	runs.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	totals.print(p.out, len(schedules))
	return totals.err(len(schedules))
}

// failsWithin reports whether one of several runs of a schedule has findings. It also returns true if the context is
// done, so that a search ends.
func (p *player) failsWithin(ctx context.Context, s *schedule.Schedule, attempts int) bool {
	for range attempts {
		recorded, err := p.play(ctx, s)
		if ctx.Err() != nil {
			return true
		}
		if err == nil && len(recorded.Check()) > 0 {
			return true
		}
	}
	return false
}

// play plays a schedule in a directory of its own. The directory is removed if the run has no findings and no
// directory for stored runs was given.
func (p *player) play(ctx context.Context, s *schedule.Schedule) (*history.History, error) {
	program, err := exec.LookPath(p.program)
	if err != nil {
		return nil, fmt.Errorf("%w: build ./cmd/pinedale-proxy, or name it with --program", err)
	}
	dir, err := os.MkdirTemp(p.dir, "run-")
	if err != nil {
		return nil, err
	}
	recorded, err := faulttest.Run(ctx, faulttest.Options{
		Schedule:       s,
		Program:        program,
		UpgradeProgram: p.upgradeProgram,
		Dir:            dir,
		Log:            slog.Default(),
	})
	if err != nil {
		return nil, err
	}
	if p.dir == "" && len(recorded.Check()) == 0 {
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
