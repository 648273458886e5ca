package main

import (
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/measure/reconnect"
	"pinedale/internal/measure/rotations"
	"pinedale/internal/measure/tlscost"
)

func newRotationsCommand() *cobra.Command {
	var o rotations.Options
	command := newCommand("rotations", "check whether requests fail while keys are replaced repeatedly on either side",
		func(*cobra.Command) (result, error) {
			return withTempDir(func(dir string) (result, error) {
				o.Dir = dir
				return rotations.Run(o)
			})
		})
	flags := command.Flags()
	flags.IntVar(&o.Rotations, "rotations", 500, "number of changes of keys, on either side in turn")
	flags.BoolVar(&o.HTTP3, "http3", false, "use HTTP/3 with the servers, too")
	flags.IntVar(&o.Clients, "clients", 16, "number of concurrent clients")
	addServersFlag(flags, &o.Servers, 6, "number of servers in the fleet")
	flags.DurationVar(&o.Settle, "settle", 50*time.Millisecond, "time between two changes")
	return command
}

func newHandshakesCommand() *cobra.Command {
	var rounds, count int
	command := newCommand("handshakes", "compare resumed with full TLS handshakes",
		func(*cobra.Command) (result, error) {
			return withTempDir(func(dir string) (result, error) { return tlscost.Handshakes(dir, rounds, count) })
		})
	flags := command.Flags()
	flags.IntVar(&rounds, "rounds", 5, "number of rounds of each kind of handshake")
	flags.IntVar(&count, "n", 1000, "number of handshakes in each round")
	return command
}

func newTLSCommand() *cobra.Command {
	var rounds, clients int
	var span time.Duration
	command := newCommand("tls", "compare pinedale-proxy with a reverse proxy, both with TLS towards their servers",
		func(*cobra.Command) (result, error) {
			return withTempDir(func(dir string) (result, error) { return tlscost.Proxies(dir, rounds, clients, span) })
		})
	flags := command.Flags()
	flags.IntVar(&rounds, "rounds", 5, "number of rounds of each proxy, in turn")
	flags.IntVar(&clients, "clients", 8, "number of concurrent clients")
	flags.DurationVar(&span, "span", 2*time.Second, "duration of each round")
	return command
}

func newReconnectCommand() *cobra.Command {
	var o reconnect.Options
	command := newCommand("reconnect", "measure reconnecting to a complete fleet, with a handshake budget and without",
		func(*cobra.Command) (result, error) { return reconnect.RunAll(o) })
	flags := command.Flags()
	flags.IntVar(&o.Instances, "instances", 5, "number of instances that reconnect at once")
	flags.Float64Var(&o.Limit, "limit", 200, "handshakes per second that a server may have with all instances")
	flags.Float64Var(&o.All, "all", 500, "handshakes per second that one instance may have with all servers")
	flags.DurationVar(&o.Timeout, "most", 30*time.Second, "timeout of each reconnection")
	return command
}
