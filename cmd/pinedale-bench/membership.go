package main

import (
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/measure/endpointremoval"
	"pinedale/internal/measure/zookeeper"
)

func newRemovalCommand() *cobra.Command {
	var o endpointremoval.Options
	command := newCommand("removal", "measure how soon removals take effect, under faults of a coordination service",
		func(*cobra.Command) (result, error) { return endpointremoval.Run(o) })
	flags := command.Flags()
	flags.IntVar(&o.Scripts, "scripts", 200, "number of scripts to run")
	flags.IntVar(&o.Parallel, "parallel", 32, "number of scripts that run concurrently")
	addServersFlag(flags, &o.Servers, 5, "number of servers at the start of each script")
	flags.IntVar(&o.Steps, "steps", 4, "number of steps of a script")
	addSeedFlag(flags, &o.Seed, "seed of the scripts")
	flags.BoolVar(&o.Discovery, "discovery", false, "run only removals, by a discovery service that is 0.6 to 5 s late")
	return command
}

func newNodesCommand() *cobra.Command {
	var span time.Duration
	command := &cobra.Command{
		Use:   "nodes",
		Short: "measure the cost of reading ephemeral nodes, at rest and with changes",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return zookeeper.Run(cmd.OutOrStdout(), span)
		},
	}
	command.Flags().DurationVar(&span, "span", 5*time.Second, "duration of each step")
	return command
}
