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

// maxScoreDifference is by how much G may differ between the hosts.
const maxScoreDifference = 0.03

// agreeCommand returns the command that compares the hosts.
func (c *commandLine) agreeCommand() *cobra.Command {
	var seed uint64
	agree := &cobra.Command{
		Use:   "agree SCENARIO...",
		Short: "play scenarios on both hosts, and say by how much they differ",
		Args:  countArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.agree(cmd.Context(), args, seed)
		},
	}
	addSeedFlag(agree, &seed)
	return agree
}

// hostComparison is a scenario and its results on both hosts.
type hostComparison struct {
	name       string
	planned    *plan.Scenario
	virtual    *plan.Result
	sockets    *plan.Result
	socketsErr error
}

// agree plays each scenario on both hosts and prints the scores. It returns an error if they differ too much.
func (c *commandLine) agree(ctx context.Context, paths []string, seed uint64) error {
	files, err := loadScenarios(paths)
	if err != nil {
		return err
	}
	comparisons, err := playOnBothHosts(ctx, files, seed)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%-18s %9s %9s %9s %12s %12s  %s\n",
		"", "virtual", "sockets", "apart", "tries", "connections", "broken on sockets")
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
		return fmt.Errorf("%d of %d scenarios are more than %v apart",
			disagreeing, len(comparisons), maxScoreDifference)
	}
	return nil
}

// playOnBothHosts plays scenarios one by one on virtual time, and then all at once on sockets.
func playOnBothHosts(ctx context.Context, files []*scenario.File, seed uint64) ([]*hostComparison, error) {
	var comparisons []*hostComparison
	for _, file := range files {
		planned := file.Plan(seed)
		virtual, err := playVirtual(ctx, planned, baselines.Module)
		if err != nil {
			return nil, err
		}
		comparisons = append(comparisons, &hostComparison{name: file.Name, planned: planned, virtual: virtual})
	}
	var plays sync.WaitGroup
	for _, comparison := range comparisons {
		plays.Go(func() {
			options := playOptions{host: trace.Sockets, policy: baselines.Module}
			comparison.sockets, comparison.socketsErr = play(ctx, comparison.planned, options)
		})
	}
	plays.Wait()
	return comparisons, nil
}

// printHostComparison prints the row of a scenario and returns by how much the score on sockets is higher.
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
