package main

import (
	"cmp"
	"context"
	"fmt"
	"math"

	"github.com/spf13/cobra"

	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/scenario"
)

// compareOptions are the flags of the compare command.
type compareOptions struct {
	seeds   int
	policy  string
	against string // the second policy; "" for the first
}

// compareCommand returns the command that compares two scenarios or two policies.
func (c *commandLine) compareCommand() *cobra.Command {
	var options compareOptions
	compare := &cobra.Command{
		Use:   "compare SCENARIO [SCENARIO]",
		Short: "run two scenarios, or one with two policies, with the same seeds, and print how they differ",
		Long: `Run two scenarios, or one with two policies, with the same seeds. Print how their results differ, and
whether the differences are more than noise.`,
		Args: withUsageError(cobra.RangeArgs(1, 2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if options.seeds < 2 || options.seeds > maxSeeds {
				return usageError()
			}
			return c.compare(cmd.Context(), args, options)
		},
	}
	addSeedsFlag(compare, &options.seeds)
	addPolicyFlag(compare, &options.policy, "policy", baselines.Module, "`name` of the load balancing policy")
	addPolicyFlag(compare, &options.against, "against", "",
		"`name` of the second run's policy (default: that of the first)")
	return compare
}

// scenarioVariant is one of the two sides of a comparison: a scenario with a policy.
type scenarioVariant struct {
	file   *scenario.File
	policy string
}

// scenarioRun is a scenario and its result.
type scenarioRun struct {
	planned *plan.Scenario
	result  *plan.Result
}

// runPair holds the runs of both variants with the same seed.
type runPair [2]scenarioRun

// scoreMetric is a value of a run that is compared.
type scoreMetric struct {
	name  string
	value func(scenarioRun) float64
}

// metrics lists the metrics that compare prints, one row each.
var metrics = []scoreMetric{
	{"G", func(run scenarioRun) float64 {
		return run.planned.Score(run.result)
	}},
	{"in time", func(run scenarioRun) float64 {
		return run.result.InTime()
	}},
	{"in the worst 10 s", func(run scenarioRun) float64 {
		return run.planned.WorstWindow(run.result)
	}},
	{"of the worst class", func(run scenarioRun) float64 {
		return run.planned.WorstClass(run.result)
	}},
}

// compare runs two variants with the same seeds and prints how they differ.
func (c *commandLine) compare(ctx context.Context, paths []string, options compareOptions) error {
	variants, err := loadVariants(paths, options)
	if err != nil {
		return err
	}
	pairs, err := c.simulatePairs(ctx, variants, options.seeds)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "first: %s, %s\n", variants[0].file.Name, variants[0].policy)
	fmt.Fprintf(c.out, "second: %s, %s\n", variants[1].file.Name, variants[1].policy)
	title := fmt.Sprint(options.seeds, " seeds, in %")
	fmt.Fprintf(c.out, "%-20s %9s %9s %9s\n", title, "first", "second", "change")
	for _, metric := range metrics {
		fmt.Fprintln(c.out, compareMetric(metric, pairs))
	}
	first, second := countViolating(pairs)
	fmt.Fprintf(c.out, "runs with violations: %d and %d\n", first, second)
	return nil
}

// loadVariants loads the two scenarios, or the one scenario that runs with both policies.
func loadVariants(paths []string, options compareOptions) (variants [2]scenarioVariant, err error) {
	files, err := loadScenarios(paths)
	if err != nil {
		return variants, err
	}
	variants[0] = scenarioVariant{file: files[0], policy: options.policy}
	variants[1] = scenarioVariant{file: files[len(files)-1], policy: cmp.Or(options.against, options.policy)}
	return variants, nil
}

// simulatePairs runs both variants with each seed.
func (c *commandLine) simulatePairs(ctx context.Context, variants [2]scenarioVariant, seeds int) ([]runPair, error) {
	var pairs []runPair
	for seed := range seeds {
		var pair runPair
		for i, variant := range variants {
			planned := variant.file.Plan(uint64(seed + 1))
			result, err := simulateVirtual(ctx, planned, variant.policy)
			if err != nil {
				return nil, err
			}
			pair[i] = scenarioRun{planned: planned, result: result}
		}
		pairs = append(pairs, pair)
		c.countProgress(seed+1, seeds)
	}
	return pairs, nil
}

// countViolating returns how many runs of each variant have violations.
func countViolating(pairs []runPair) (first, second int) {
	for _, pair := range pairs {
		if pair[0].result.Violations() != "" {
			first++
		}
		if pair[1].result.Violations() != "" {
			second++
		}
	}
	return first, second
}

// compareMetric returns the row of a metric: its mean for each variant, and the mean of the differences with its
// standard error. A mean difference of less than twice its standard error may be due to chance.
func compareMetric(metric scoreMetric, pairs []runPair) string {
	var firstSum, secondSum, differenceSum, squareSum float64
	for _, pair := range pairs {
		first := metric.value(pair[0])
		second := metric.value(pair[1])
		difference := second - first
		firstSum += first
		secondSum += second
		differenceSum += difference
		squareSum += difference * difference
	}
	count := float64(len(pairs))
	mean := differenceSum / count
	variance := max(0, squareSum/count-mean*mean)
	standardError := math.Sqrt(variance / (count - 1))
	conclusion := "within the noise"
	if math.Abs(mean) > 2*standardError && mean != 0 {
		conclusion = "a difference"
	}
	return fmt.Sprintf("%-20s %9.2f %9.2f %+9.2f +- %.2f  %s",
		metric.name, 100*firstSum/count, 100*secondSum/count, 100*mean, 100*standardError, conclusion)
}
