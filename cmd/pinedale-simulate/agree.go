package main

import (
	"context"
	"fmt"
	"math"
	"sync"

	"github.com/spf13/cobra"

	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/scenario"
	"pinedale/internal/emulator/trace"
)

// maxScoreDifference is by how much the score G of a scenario may differ between virtual time and sockets.
const maxScoreDifference = 0.03

// agreeCommand returns the command that compares virtual time and sockets.
func (c *commandLine) agreeCommand() *cobra.Command {
	var seed uint64
	agree := &cobra.Command{
		Use:   "agree SCENARIO...",
		Short: "run scenarios on virtual time and on sockets, and print how much their scores differ",
		Args:  withUsageError(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.agree(cmd.Context(), args, seed)
		},
	}
	addSeedFlag(agree, &seed)
	return agree
}

// hostComparison is a scenario and its results on virtual time and on sockets.
type hostComparison struct {
	name       string
	planned    *plan.Scenario
	virtual    *plan.Result
	sockets    *plan.Result
	socketsErr error
}

// agree runs each scenario on virtual time and on sockets and prints the scores. It returns an error if the scores of
// a scenario differ by more than maxScoreDifference.
func (c *commandLine) agree(ctx context.Context, paths []string, seed uint64) error {
	files, err := loadScenarios(paths)
	if err != nil {
		return err
	}
	comparisons, err := simulateOnBothHosts(ctx, files, seed)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%-18s %9s %9s %9s %12s %12s  %s\n",
		"", "virtual", "sockets", "apart", "tries", "connections", "violations on sockets")
	disagreeing := 0
	for _, comparison := range comparisons {
		if comparison.socketsErr != nil {
			return fmt.Errorf("%s: %w", comparison.name, comparison.socketsErr)
		}
		difference := c.printHostComparison(comparison)
		if math.Abs(difference) > maxScoreDifference {
			disagreeing++
		}
	}
	if disagreeing > 0 {
		return fmt.Errorf("scores of %d of %d scenarios differ by more than %v between virtual time and sockets",
			disagreeing, len(comparisons), maxScoreDifference)
	}
	return nil
}

// simulateOnBothHosts runs the scenarios one after the other on virtual time, then all concurrently on sockets.
func simulateOnBothHosts(ctx context.Context, files []*scenario.File, seed uint64) ([]*hostComparison, error) {
	var comparisons []*hostComparison
	for _, file := range files {
		planned := file.Plan(seed)
		virtual, err := simulateVirtual(ctx, planned, baselines.Module)
		if err != nil {
			return nil, err
		}
		comparisons = append(comparisons, &hostComparison{name: file.Name, planned: planned, virtual: virtual})
	}
	var runs sync.WaitGroup
	for _, comparison := range comparisons {
		runs.Go(func() {
			options := simulateOptions{host: trace.Sockets, policy: baselines.Module}
			comparison.sockets, comparison.socketsErr = simulate(ctx, comparison.planned, options)
		})
	}
	runs.Wait()
	return comparisons, nil
}

// printHostComparison prints the row of a scenario and returns the score on sockets minus that on virtual time.
func (c *commandLine) printHostComparison(comparison *hostComparison) (difference float64) {
	virtual := comparison.virtual
	sockets := comparison.sockets
	virtualScore := comparison.planned.Score(virtual)
	socketsScore := comparison.planned.Score(sockets)
	difference = socketsScore - virtualScore
	fmt.Fprintf(c.out, "%-18s %9.3f %9.3f %+9.3f %5d, %5d %5d, %5d  %s\n",
		comparison.name, virtualScore, socketsScore, difference,
		virtual.ClientAttempts, sockets.ClientAttempts,
		virtual.Connections, sockets.Connections, sockets.Violations())
	return difference
}
