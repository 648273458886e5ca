package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/measure/coldstart"
	"pinedale/internal/measure/departures"
	"pinedale/internal/measure/tenants"
	"pinedale/internal/standin/fakebackend"
)

// serversOptions are the flags of the command servers.
type serversOptions struct {
	addresses   string
	serviceTime time.Duration
	duration    time.Duration
}

func newServersCommand() *cobra.Command {
	var o serversOptions
	command := &cobra.Command{
		Use:   "servers",
		Short: "run stand-in servers to try pinedale-proxy with, until interrupted",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return runServers(ctx, cmd.OutOrStdout(), o)
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.addresses, "listen", "127.0.0.1:9101,127.0.0.1:9102",
		"`addresses` (host:port) of the servers, separated by commas")
	flags.DurationVar(&o.serviceTime, "work", 20*time.Millisecond, "service time of a request")
	flags.DurationVar(&o.duration, "for", time.Hour, "end after this time")
	return command
}

// runServers runs stand-in servers until ctx ends or the time is over.
func runServers(ctx context.Context, w io.Writer, o serversOptions) error {
	fleet := &fakebackend.Fleet{ServiceTime: o.serviceTime}
	for n, address := range strings.Split(o.addresses, ",") {
		server, err := fleet.StartAt(address, fmt.Sprintf("soko-%d", n+1), n)
		if err != nil {
			return err
		}
		defer server.Close()
		fmt.Fprintln(w, "a stand-in server listens on", address)
	}
	select {
	case <-ctx.Done():
	case <-time.After(o.duration):
	}
	return nil
}

func newTenantsCommand() *cobra.Command {
	var o tenants.Options
	command := newCommand("tenants", "measure how a tenant at ten times its quota affects the others",
		func(*cobra.Command) (result, error) { return tenants.Run(o) })
	flags := command.Flags()
	flags.DurationVar(&o.For, "for", 10*time.Second, "duration of each of the four runs")
	flags.Float64Var(&o.Rate, "rate", 300, "requests per second that are admitted")
	addSeedFlag(flags, &o.Seed, "seed of the arrivals")
	return command
}

func newNewcomerCommand() *cobra.Command {
	var o coldstart.Options
	command := newCommand("newcomer", "measure the load that thousands of instances put on servers that have just started",
		func(*cobra.Command) (result, error) { return coldstart.Run(o) })
	flags := command.Flags()
	flags.IntVar(&o.Instances, "instances", 5000, "number of instances of pinedale")
	addServersFlag(flags, &o.Servers, 100, "number of servers in the fleet")
	flags.IntVar(&o.Fresh, "fresh", 5, "number of servers of the fleet that start in the middle of a simulation")
	flags.Float64Var(&o.Rate, "rate", 1500, "requests per second of all instances")
	flags.IntVar(&o.SubsetSize, "floor", 8, "smallest number of servers that an instance uses")
	flags.IntVar(&o.Seeds, "seeds", 50, "number of seeds to simulate")
	flags.BoolVar(&o.WithoutSubsets, "whole", false, "measure without subsets, too")
	return command
}

func newDeparturesCommand() *cobra.Command {
	var count int
	command := newCommand("departures", "count requests that are sent although their clients have disconnected",
		func(*cobra.Command) (result, error) { return departures.RunAll(count) })
	command.Flags().IntVar(&count, "departures", 1000, "number of clients that disconnect in each case")
	return command
}
