package main

import (
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/measure/extproc"
)

const fleetSize = 12 // servers

func newVerdictsCommand() *cobra.Command {
	var o extproc.Options
	command := newCommand("verdicts", "run callers with faults against an external processor, and check its decisions",
		func(*cobra.Command) (result, error) { return extproc.Run(o) })
	flags := command.Flags()
	flags.IntVar(&o.Calls, "calls", 100_000, "number of client requests")
	flags.IntVar(&o.Callers, "callers", 64, "number of concurrent callers")
	addServersFlag(flags, &o.Servers, fleetSize, "number of servers in the fleet")
	addSeedFlag(flags, &o.Seed, "seed of the faults")
	flags.IntVar(&o.ChangeEvery, "change", 500, "number of calls between two changes of the fleet, 0 for no change")
	flags.DurationVar(&o.ServiceTime, "work", time.Millisecond, "service time of a request at a server")
	return command
}

func newFrontsCommand() *cobra.Command {
	var o extproc.Options
	var sameOnAllServers bool
	command := newCommand("fronts", "compare the HTTP front with the external processor under the same load",
		func(*cobra.Command) (result, error) { return extproc.Fronts(o, sameOnAllServers) })
	flags := command.Flags()
	flags.IntVar(&o.Calls, "calls", 5000, "number of client requests")
	addServersFlag(flags, &o.Servers, fleetSize, "number of servers in the fleet")
	addSeedFlag(flags, &o.Seed, "seed of the faults")
	flags.BoolVar(&o.NoRetries, "once", false, "send no request more than once")
	flags.BoolVar(&sameOnAllServers, "everywhere", false, "fail a request in the same way at every server")
	return command
}

func newNoopCommand() *cobra.Command {
	var o extproc.CostOptions
	command := newCommand("noop", "compare the cost of a decision with a processor that decides nothing",
		func(*cobra.Command) (result, error) { return extproc.Cost(o) })
	flags := command.Flags()
	addServersFlag(flags, &o.Servers, fleetSize, "number of servers in the fleet")
	flags.IntVar(&o.Connections, "connections", 4, "number of connections of the caller")
	flags.DurationVar(&o.Span, "span", 3*time.Second, "duration of each step")
	flags.StringVar(&o.Profile, "profile", "", "`file` for a CPU profile of the decisions")
	return command
}
