package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
)

// recordOptions are the flags of the command record.
type recordOptions struct {
	seed      uint64 // 0 for the scenario's
	policy    string
	onSockets bool
	traceFile string
}

// recordCommand returns the command that runs a scenario and writes its trace.
func (c *commandLine) recordCommand() *cobra.Command {
	var options recordOptions
	record := &cobra.Command{
		Use:   "record SCENARIO",
		Short: "run a scenario and write its requests, decisions and responses as a trace",
		Args:  withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if options.traceFile == "" {
				return usageError()
			}
			return c.record(cmd.Context(), args[0], options)
		},
	}
	addSeedFlag(record, &options.seed)
	addPolicyFlag(record, &options.policy, "policy", baselines.Module, "`name` of the load balancing policy")
	addSocketsFlag(record, &options.onSockets)
	record.Flags().StringVar(&options.traceFile, "out", "", "write the trace to this `file`")
	return record
}

// record runs a scenario and writes its trace. It returns an error if the run has violations.
func (c *commandLine) record(ctx context.Context, path string, options recordOptions) error {
	file, text, err := loadScenario(path)
	if err != nil {
		return err
	}
	planned := file.Plan(options.seed)
	header := trace.Header{
		Host:     hostName(options.onSockets),
		Policy:   options.policy,
		Seed:     planned.Seed,
		Scenario: text,
	}
	var result *plan.Result
	events := 0
	err = createFile(options.traceFile, func(out io.Writer) (err error) {
		result, events, err = c.recordTrace(ctx, planned, header, out)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s, seed %d, %s: %d events, G %.3f\n",
		file.Name, planned.Seed, options.policy, events, planned.Score(result))
	return checkViolations(result)
}

// recordTrace runs a scenario with the host and policy of the header and writes its trace. It returns the result and
// the number of events.
func (c *commandLine) recordTrace(
	ctx context.Context, planned *plan.Scenario, header trace.Header, out io.Writer,
) (result *plan.Result, events int, err error) {
	writer := trace.NewWriter(out, header)
	result, err = simulate(ctx, planned, simulateOptions{
		host:   header.Host,
		policy: header.Policy,
		onEvent: func(event trace.Event) {
			events++
			writer.Write(event)
		},
		progress: c.progress,
	})
	if err != nil {
		return nil, events, err
	}
	return result, events, writer.Close()
}
