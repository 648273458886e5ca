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

// compareOptions are the flags of the command compare.
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
		Short: "play two scenarios, or one with two policies, on the same seeds, and say how they differ",
		Long: `Play two scenarios, or one with two policies, on the same seeds, and say how they differ and how
much is noise.`,
		Args: countArgs(cobra.RangeArgs(1, 2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if options.seeds < 2 || options.seeds > maxSeeds {
				return usageError()
			}
			return c.compare(cmd.Context(), args, options)
		},
	}
	addSeedsFlag(compare, &options.seeds)
	addPolicyFlag(compare, &options.policy, "policy", baselines.Module, "`name` of the policy that decides")
	addPolicyFlag(compare, &options.against, "against", "",
		"`name` of the second play's policy (default: that of the first)")
	return compare
}

// playVariant is one of the two things to compare: a scenario with a policy.
type playVariant struct {
	file   *scenario.File
	policy string
}

// playedScenario is a scenario and its result.
type playedScenario struct {
	planned *plan.Scenario
	result  *plan.Result
}

// playedPair are the plays of both variants with the same seed.
type playedPair [2]playedScenario

// scoreMetric is a value of a play that is compared.
type scoreMetric struct {
	name  string
	value func(playedScenario) float64
}

// metrics are the rows that compare prints.
var metrics = []scoreMetric{
	{"G", func(played playedScenario) float64 {
		return played.planned.Score(played.result)
	}},
	{"in time", func(played playedScenario) float64 {
		return played.result.InTime()
	}},
	{"in the worst 10 s", func(played playedScenario) float64 {
		return played.planned.WorstWindow(played.result)
	}},
	{"of the worst class", func(played playedScenario) float64 {
		return played.planned.WorstClass(played.result)
	}},
}

// compare plays two variants on the same seeds and prints how they differ.
func (c *commandLine) compare(ctx context.Context, paths []string, options compareOptions) error {
	variants, err := loadVariants(paths, options)
	if err != nil {
		return err
	}
	pairs, err := c.playPairs(ctx, variants, options.seeds)
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
	fmt.Fprintf(c.out, "plays with a broken rule: %d and %d\n", first, second)
	return nil
}

// loadVariants loads the scenarios: two, or one for both policies.
func loadVariants(paths []string, options compareOptions) (variants [2]playVariant, err error) {
	files, err := loadScenarios(paths)
	if err != nil {
		return variants, err
	}
	variants[0] = playVariant{file: files[0], policy: options.policy}
	variants[1] = playVariant{file: files[len(files)-1], policy: cmp.Or(options.against, options.policy)}
	return variants, nil
}

// playPairs plays both variants with each seed.
func (c *commandLine) playPairs(ctx context.Context, variants [2]playVariant, seeds int) ([]playedPair, error) {
	var pairs []playedPair
	for seed := range seeds {
		var pair playedPair
		for i, variant := range variants {
			planned := variant.file.Plan(uint64(seed + 1))
			result, err := playVirtual(ctx, planned, variant.policy)
			if err != nil {
				return nil, err
			}
			pair[i] = playedScenario{planned: planned, result: result}
		}
		pairs = append(pairs, pair)
		c.countProgress(seed+1, seeds)
	}
	return pairs, nil
}

// countViolating returns how many plays of each variant broke a rule.
func countViolating(pairs []playedPair) (first, second int) {
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

// compareMetric returns the row of a metric: its mean of each variant, and the mean of the differences with their
// standard error. A mean below twice its standard error may be chance.
func compareMetric(metric scoreMetric, pairs []playedPair) string {
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
