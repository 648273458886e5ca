package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/realtime"
	"pinedale/internal/emulator/scenario"
	"pinedale/internal/emulator/simulation"
	"pinedale/internal/emulator/trace"
)

// loadScenario reads a scenario file. It returns its text, too.
func loadScenario(path string) (file *scenario.File, text string, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	file, err = scenario.Parse(content)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	return file, string(content), nil
}

// loadScenarios reads several scenario files.
func loadScenarios(paths []string) ([]*scenario.File, error) {
	var files []*scenario.File
	for _, path := range paths {
		file, _, err := loadScenario(path)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

// playOptions select how a scenario is played.
type playOptions struct {
	host     string            // trace.Virtual or trace.Sockets
	policy   string            // one of baselines.Names
	watch    func(trace.Event) // gets each event; may be nil
	progress progressFunc      // may be nil
}

// hostName returns the host that the flag -sockets selects.
func hostName(onSockets bool) string {
	if onSockets {
		return trace.Sockets
	}
	return trace.Virtual
}

// play plays a scenario.
func play(ctx context.Context, planned *plan.Scenario, options playOptions) (*plan.Result, error) {
	decide, err := baselines.Named(options.policy, planned.Weights)
	if err != nil {
		return nil, err
	}
	var progress func(time.Duration)
	if options.progress != nil {
		progress = func(done time.Duration) { options.progress(done, planned.Length) }
	}
	if options.host == trace.Sockets {
		return realtime.Run(ctx, planned, realtime.Options{
			NewDecider: decide,
			OnEvent:    options.watch,
			OnProgress: progress,
		})
	}
	return simulation.Run(planned, simulation.Options{
		NewDecider: decide,
		OnEvent:    options.watch,
		OnProgress: progress,
	})
}

// playVirtual plays a scenario on virtual time with a policy.
func playVirtual(ctx context.Context, planned *plan.Scenario, policy string) (*plan.Result, error) {
	return play(ctx, planned, playOptions{host: trace.Virtual, policy: policy})
}

// checkRules returns an error if a play broke a rule.
func checkRules(result *plan.Result) error {
	if violations := result.Violations(); violations != "" {
		return errors.New("a rule was broken: " + violations)
	}
	return nil
}

// createFile creates a file with what write writes to it.
func createFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
