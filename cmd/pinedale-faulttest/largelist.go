package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/faulttest/largelist"
)

// newLargeListCommand returns the command that runs sidecars with a large endpoint list and little processor time.
func newLargeListCommand(player *player) *cobra.Command {
	var options largelist.Options
	var seeds int
	command := &cobra.Command{
		Use:   "large-list",
		Short: "run sidecars of the platform between thousands of servers, short of processor time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			losses := 0
			for range seeds {
				dir, err := os.MkdirTemp(player.dir, "large-list-")
				if err != nil {
					return err
				}
				options.Dir = dir
				report, err := largelist.Run(command.Context(), options)
				if err != nil {
					return err
				}
				fmt.Fprintf(player.out, "seed %d: ", options.Seed)
				report.Print(player.out)
				if losses += len(report.Losses); len(report.Losses) == 0 && player.dir == "" {
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
	flags.StringVar(&options.Program, "sidecar", siblingProgram("pinedale"), "the platform's sidecar")
	flags.Uint64Var(&options.Seed, "seed", 1, "of the first run")
	flags.IntVar(&seeds, "seeds", 1, "runs, each of the next seed")
	flags.IntVar(&options.Servers, "servers", 3200, "listed at the start")
	flags.IntVar(&options.Sidecars, "sidecars", 4, "processes")
	flags.Float64Var(&options.Rate, "rate", 25, "requests a second at each sidecar, in the mean")
	flags.DurationVar(&options.Duration, "length", 10*time.Second, "of the load")
	flags.BoolVar(&options.Release, "release", true, "six in ten servers are replaced in steps")
	flags.DurationVar(&options.Throttle.Running, "running", 2*time.Millisecond, "in each turn, a sidecar runs")
	flags.DurationVar(&options.Throttle.Stopped, "stopped", 30*time.Millisecond,
		"in each turn, it is stopped; 0 for never")
	return command
}
