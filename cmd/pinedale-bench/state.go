package main

import (
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/measure/gossip"
	"pinedale/internal/measure/properties"
)

// largeFleet is the number of instances in a fleet whose simulation takes some minutes.
const largeFleet = 3000

func newGossipCommand() *cobra.Command {
	o := gossip.Options{Sizes: []int{3, 30, 300}}
	var large bool
	command := newCommand("gossip", "measure the cost of replicated state by the size of the fleet",
		func(*cobra.Command) (result, error) {
			if large {
				o.Sizes = append(o.Sizes, largeFleet)
			}
			return gossip.Run(o)
		})
	flags := command.Flags()
	addServersFlag(flags, &o.Servers, 200, "number of servers that instances advertise")
	flags.DurationVar(&o.Span, "span", 30*time.Second, "duration in virtual time")
	flags.Float64Var(&o.Loss, "loss", 0.01, "ratio of the messages that are lost")
	addSeedFlag(flags, &o.Seed, "seed of the entries and of the peers that receive them")
	flags.BoolVar(&large, "large", false, "simulate 3,000 instances, too, which takes some minutes")
	return command
}

func newPropertiesCommand() *cobra.Command {
	var o properties.Options
	command := newCommand("properties", "run the property tests with fresh seeds for a given time, from the module's root",
		func(cmd *cobra.Command) (result, error) {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return properties.Run(ctx, ".", o)
		})
	flags := command.Flags()
	flags.DurationVar(&o.For, "for", 10*time.Minute, "end after this time")
	flags.IntVar(&o.MaxSeeds, "seeds", 0, "end after this number of seeds, 0 for no limit")
	flags.BoolVar(&o.Race, "race", false, "use the race detector")
	flags.IntVar(&o.Checks, "checks", 1000, "number of checks of each property with each seed")
	flags.IntVar(&o.Workers, "workers", runtime.NumCPU(), "number of seeds that are checked concurrently")
	flags.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()), "seed from which the others are drawn")
	return command
}
