package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/emulator/baselines"
)

// runOptions are the flags of the run command.
type runOptions struct {
	seed      uint64 // 0 for the scenario's
	policy    string
	onSockets bool
	html      string // path of the report, or ""
}

// runCommand returns the command that runs a scenario and prints its result.
func (c *commandLine) runCommand() *cobra.Command {
	var options runOptions
	run := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "run a scenario on virtual time or sockets, and print its result",
		Args:  withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd.Context(), args[0], options)
		},
	}
	addSeedFlag(run, &options.seed)
	addPolicyFlag(run, &options.policy, "policy", baselines.Module, "`name` of the load balancing policy")
	addSocketsFlag(run, &options.onSockets)
	run.Flags().StringVar(&options.html, "html", "", "write an HTML report to this `file`")
	return run
}

// run runs a scenario and prints its result. It returns an error if the run has violations.
func (c *commandLine) run(ctx context.Context, path string, options runOptions) error {
	file, _, err := loadScenario(path)
	if err != nil {
		return err
	}
	planned := file.Plan(options.seed)
	host := hostName(options.onSockets)
	start := time.Now()
	result, err := simulate(ctx, planned, simulateOptions{host: host, policy: options.policy, progress: c.progress})
	if err != nil {
		return err
	}
	elapsed := time.Since(start).Round(time.Millisecond)
	fmt.Fprintf(c.out, "%s, seed %d, %s, %s: simulated %v in %v\n",
		file.Name, planned.Seed, options.policy, host, planned.Length, elapsed)
	file.WriteText(c.out, planned, result)
	if options.html != "" {
		err := createFile(options.html, func(page io.Writer) error { return file.WriteHTML(page, planned, result) })
		if err != nil {
			return err
		}
	}
	return checkViolations(result)
}
