package main

import (
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/measure/extproc"
)

const fleetSize = 12 // servers

func newVerdictsCommand() *cobra.Command {
	var o extproc.Options
	command := newCommand("verdicts", "seeded callers with faults against a complete external processor",
		func(*cobra.Command) (result, error) { return extproc.Run(o) })
	flags := command.Flags()
	flags.IntVar(&o.Calls, "calls", 100_000, "requests of clients")
	flags.IntVar(&o.Callers, "callers", 64, "concurrent callers")
	addServersFlag(flags, &o.Servers, fleetSize, "of the fleet")
	addSeedFlag(flags, &o.Seed, "of the faults")
	flags.IntVar(&o.ChangeEvery, "change", 500, "calls between two changes of the fleet")
	flags.DurationVar(&o.ServiceTime, "work", time.Millisecond, "of a request at a server")
	return command
}

func newFrontsCommand() *cobra.Command {
	var o extproc.Options
	var sameOnAllServers bool
	command := newCommand("fronts", "one load through the HTTP front and through the processor",
		func(*cobra.Command) (result, error) { return extproc.Fronts(o, sameOnAllServers) })
	flags := command.Flags()
	flags.IntVar(&o.Calls, "calls", 5000, "requests of clients")
	addServersFlag(flags, &o.Servers, fleetSize, "of the fleet")
	addSeedFlag(flags, &o.Seed, "of the faults")
	flags.BoolVar(&o.NoRetries, "once", false, "no request is sent twice")
	flags.BoolVar(&sameOnAllServers, "everywhere", false, "a request fails in the same way at every server")
	return command
}

func newNoopCommand() *cobra.Command {
	var o extproc.CostOptions
	command := newCommand("noop", "what a decision costs beside a processor that decides nothing",
		func(*cobra.Command) (result, error) { return extproc.Cost(o) })
	flags := command.Flags()
	addServersFlag(flags, &o.Servers, fleetSize, "of the fleet")
	flags.IntVar(&o.Connections, "connections", 4, "of the caller")
	flags.DurationVar(&o.Span, "span", 3*time.Second, "of each step")
	flags.StringVar(&o.Profile, "profile", "", "file for a CPU profile of the decisions")
	return command
}
