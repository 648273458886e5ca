package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/faulttest/largelist"
)

// newLargeListCommand returns the command that runs sidecars with a large endpoint list and little processor time.
func newLargeListCommand(runner *runner) *cobra.Command {
	var options largelist.Options
	var seeds int
	command := &cobra.Command{
		Use:   "large-list",
		Short: "run sidecars of the platform with thousands of servers and little processor time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			losses := 0
			for range seeds {
				dir, err := os.MkdirTemp(runner.dir, "large-list-")
				if err != nil {
					return err
				}
				options.Dir = dir
				report, err := largelist.Run(command.Context(), options)
				if err != nil {
					return err
				}
				fmt.Fprintf(runner.out, "seed %d: ", options.Seed)
				report.Print(runner.out)
				if losses += len(report.Losses); len(report.Losses) == 0 && runner.dir == "" {
					os.RemoveAll(dir)
				}
				options.Seed++
			}
			if losses > 0 {
				return fmt.Errorf("%d requests lost", losses)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Program, "sidecar", siblingProgram("pinedale"), "path of the platform's sidecar")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the first run")
	flags.IntVar(&seeds, "seeds", 1, "number of runs, with consecutive seeds")
	flags.IntVar(&options.Servers, "servers", 3200, "servers in the list at the start")
	flags.IntVar(&options.Sidecars, "sidecars", 4, "processes")
	flags.Float64Var(&options.Rate, "rate", 25, "mean of requests per second at each sidecar")
	flags.DurationVar(&options.Duration, "length", 10*time.Second, "duration of the load")
	flags.BoolVar(&options.Release, "release", true, "replace six in ten servers in steps during the load")
	flags.DurationVar(&options.Throttle.Running, "running", 2*time.Millisecond,
		"how long a sidecar runs before it is stopped again")
	flags.DurationVar(&options.Throttle.Stopped, "stopped", 30*time.Millisecond,
		"how long a sidecar is stopped before it is continued; if 0, it is never stopped")
	return command
}
