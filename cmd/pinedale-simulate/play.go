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

// loadScenario reads a scenario file and returns its parsed form and its text.
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

// simulateOptions select how a scenario is run.
type simulateOptions struct {
	host     string            // trace.Virtual or trace.Sockets
	policy   string            // one of baselines.Names
	onEvent  func(trace.Event) // called with each event of the trace; may be nil
	progress progressFunc      // may be nil
}

// hostName returns the trace.Header.Host of a run: loopback sockets with the flag -sockets, virtual time without it.
func hostName(onSockets bool) string {
	if onSockets {
		return trace.Sockets
	}
	return trace.Virtual
}

// simulate runs a scenario.
func simulate(ctx context.Context, planned *plan.Scenario, options simulateOptions) (*plan.Result, error) {
	newDecider, err := baselines.Named(options.policy, planned.Weights)
	if err != nil {
		return nil, err
	}
	var progress func(time.Duration)
	if options.progress != nil {
		progress = func(done time.Duration) { options.progress(done, planned.Length) }
	}
	if options.host == trace.Sockets {
		return realtime.Run(ctx, planned, realtime.Options{
			NewDecider: newDecider,
			OnEvent:    options.onEvent,
			OnProgress: progress,
		})
	}
	return simulation.Run(planned, simulation.Options{
		NewDecider: newDecider,
		OnEvent:    options.onEvent,
		OnProgress: progress,
	})
}

// simulateVirtual runs a scenario on virtual time with a policy.
func simulateVirtual(ctx context.Context, planned *plan.Scenario, policy string) (*plan.Result, error) {
	return simulate(ctx, planned, simulateOptions{host: trace.Virtual, policy: policy})
}

// checkViolations returns an error that lists the violations of a run, if it has any.
func checkViolations(result *plan.Result) error {
	if violations := result.Violations(); violations != "" {
		return errors.New("the run has violations: " + violations)
	}
	return nil
}

// createFile creates a file with the content that write writes.
func createFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
