package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/scenario"
)

// rankCommand returns the command that compares all policies.
func (c *commandLine) rankCommand() *cobra.Command {
	var seeds int
	rank := &cobra.Command{
		Use:   "rank SCENARIO...",
		Short: "run scenarios with each policy, and print a table of their mean scores G",
		Args:  withUsageError(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if seeds < 1 || seeds > maxSeeds {
				return usageError()
			}
			return c.rank(cmd.Context(), args, seeds)
		},
	}
	addSeedsFlag(rank, &seeds)
	return rank
}

// rank prints for each scenario and policy the mean of G over the seeds, and the number of runs with violations.
func (c *commandLine) rank(ctx context.Context, paths []string, seeds int) error {
	fmt.Fprintf(c.out, "%-18s", fmt.Sprintf("G over %d seeds", seeds))
	for _, policy := range baselines.Names() {
		fmt.Fprintf(c.out, " %20s", policy)
	}
	fmt.Fprintln(c.out)
	for i, path := range paths {
		file, _, err := loadScenario(path)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.out, "%-18s", file.Name)
		for _, policy := range baselines.Names() {
			score, violating, err := meanScore(ctx, file, policy, seeds)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.out, " %8.3f, %3d broken", score, violating)
		}
		fmt.Fprintln(c.out)
		c.countProgress(i+1, len(paths))
	}
	return nil
}

// meanScore returns the mean of G of a scenario over the seeds, and the number of runs with violations.
func meanScore(
	ctx context.Context, file *scenario.File, policy string, seeds int,
) (mean float64, violating int, err error) {
	sum := 0.0
	for seed := range seeds {
		planned := file.Plan(uint64(seed + 1))
		result, err := simulateVirtual(ctx, planned, policy)
		if err != nil {
			return 0, 0, err
		}
		sum += planned.Score(result)
		if result.Violations() != "" {
			violating++
		}
	}
	return sum / float64(seeds), violating, nil
}
