// Command pinedale-bench runs the measurements that are too long for the tests.
// All of them stay on loopback and end by themselves.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"pinedale/internal/measure/coldstart"
	"pinedale/internal/measure/departures"
	"pinedale/internal/measure/endpointremoval"
	"pinedale/internal/measure/extproc"
	"pinedale/internal/measure/gossip"
	"pinedale/internal/measure/process"
	"pinedale/internal/measure/properties"
	"pinedale/internal/measure/reconnect"
	"pinedale/internal/measure/rotations"
	"pinedale/internal/measure/tenants"
	"pinedale/internal/measure/tlscost"
	"pinedale/internal/measure/zookeeper"
	"pinedale/internal/standin/fakebackend"
)

const usage = `usage: pinedale-bench MEASUREMENT [FLAGS]

  verdicts   seeded callers with faults against a whole external processor
  fronts     one load through the HTTP front and through the processor
  servers    stand-in servers to try pinedale-proxy with, until interrupted
  removal    scripts of a coordination service's troubles, and how soon removals count
  nodes      what reading ephemeral nodes costs, at rest and with changes
  tenants    what a tenant at ten times its share costs the others
  rotations  whether requests fail while keys change on either side, over and over
  handshakes a resumed session beside a full handshake
  tls        pinedale-proxy with TLS towards its servers beside a reverse proxy
  reconnect  a whole fleet connected to again, with a budget of handshakes and without
  newcomer   what thousands of quiet instances do together to servers that have just started
  departures what is sent for clients that have left while their requests waited
  gossip     what it costs to hold copies of what all instances tell, by the fleet's size
  properties the property tests over fresh seeds, for a stated time; run from the root
  noop       what a verdict costs beside a processor that decides nothing
`

// measurements set their flags and return what to run once these are parsed.
var measurements = map[string]func(*flag.FlagSet) func(io.Writer) error{
	"verdicts": extprocRun, "fronts": fronts, "servers": servers, "removal": removalRun, "nodes": nodesRun, "noop": noop, "tenants": tenantsRun,
	"rotations": rotationsRun, "handshakes": handshakesRun, "tls": tlsRun, "reconnect": reconnectRun, "newcomer": coldStartRun,
	"properties": propertiesRun, "gossip": gossipRun, "departures": departuresRun,
}

func main() {
	kinds := maps.Clone(extproc.Kinds)
	maps.Copy(kinds, zookeeper.Kinds)
	maps.Copy(kinds, tlscost.Kinds)
	did, err := process.Main(kinds)
	if !did {
		err = run(os.Args[1:], os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-bench:", err)
		os.Exit(1)
	}
}

// usageError says that no measurement is named that there is.
type usageError struct{}

func (usageError) Error() string { return "which measurement?\n" + usage }

func run(args []string, out io.Writer) error {
	if len(args) == 0 || measurements[args[0]] == nil {
		return usageError{}
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	measure := measurements[args[0]](flags)
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	return measure(out)
}

// report prints what came of a measurement, and makes what must not be an error.
func report(out io.Writer, r interface {
	Print(io.Writer)
	Broken() string
}) error {
	r.Print(out)
	if reason := r.Broken(); reason != "" {
		return errors.New("broken: " + reason)
	}
	return nil
}

func departuresRun(flags *flag.FlagSet) func(io.Writer) error {
	each := flags.Int("departures", 1000, "in each case")
	return func(out io.Writer) error {
		var all departures.Results
		for _, c := range departures.Cases {
			r, err := departures.Run(c, *each)
			if err != nil {
				return err
			}
			all = append(all, r)
		}
		return report(out, all)
	}
}

func extprocRun(flags *flag.FlagSet) func(io.Writer) error {
	o := extproc.Options{}
	flags.IntVar(&o.Calls, "calls", 100_000, "clients' requests")
	flags.IntVar(&o.Callers, "callers", 64, "at work at once")
	flags.IntVar(&o.Servers, "servers", 12, "of the fleet")
	flags.Uint64Var(&o.Seed, "seed", 1, "of the faults")
	flags.IntVar(&o.Change, "change", 500, "calls between two changes of the fleet")
	flags.DurationVar(&o.Work, "work", time.Millisecond, "of a request at a server")
	return func(out io.Writer) error {
		r, err := extproc.Run(o)
		if err != nil {
			return err
		}
		return report(out, r)
	}
}

func fronts(flags *flag.FlagSet) func(io.Writer) error {
	o := extproc.Options{}
	flags.IntVar(&o.Calls, "calls", 5000, "clients' requests")
	flags.IntVar(&o.Servers, "servers", 12, "of the fleet")
	flags.Uint64Var(&o.Seed, "seed", 1, "of the faults")
	flags.BoolVar(&o.Once, "once", false, "no request is sent twice")
	everywhere := flags.Bool("everywhere", false, "a request fares the same at every server")
	return func(out io.Writer) error {
		a, b, err := extproc.Fronts(o, *everywhere)
		if err == nil {
			extproc.PrintFronts(out, a, b)
		}
		return err
	}
}

func servers(flags *flag.FlagSet) func(io.Writer) error {
	addresses := flags.String("listen", "127.0.0.1:9101,127.0.0.1:9102", "host:port of each")
	work := flags.Duration("work", 20*time.Millisecond, "of a request")
	timeout := flags.Duration("for", time.Hour, "end by itself after this long")
	return func(out io.Writer) error {
		fleet := &fakebackend.Fleet{ServiceTime: *work}
		for n, address := range strings.Split(*addresses, ",") {
			if _, err := fleet.StartAt(address, fmt.Sprintf("soko-%d", n+1), n); err != nil {
				return err
			}
			fmt.Fprintln(out, "a stand-in server listens on", address)
		}
		end := make(chan os.Signal, 1)
		signal.Notify(end, os.Interrupt, syscall.SIGTERM)
		select {
		case <-end:
		case <-time.After(*timeout):
		}
		return nil
	}
}

func tenantsRun(flags *flag.FlagSet) func(io.Writer) error {
	o := tenants.Options{}
	flags.DurationVar(&o.For, "for", 10*time.Second, "each of its four runs")
	flags.Float64Var(&o.Rate, "rate", 300, "requests a second that are let in")
	flags.Uint64Var(&o.Seed, "seed", 1, "of the arrivals")
	return func(out io.Writer) error {
		rows, err := tenants.Run(o)
		if err == nil {
			tenants.Print(out, rows)
		}
		return err
	}
}

func removalRun(flags *flag.FlagSet) func(io.Writer) error {
	o := endpointremoval.Options{}
	flags.IntVar(&o.Scripts, "scripts", 200, "to play")
	flags.IntVar(&o.Parallel, "parallel", 32, "at once")
	flags.IntVar(&o.Servers, "servers", 5, "of each script's fleet at the start")
	flags.IntVar(&o.Steps, "steps", 4, "of a script")
	flags.Uint64Var(&o.Seed, "seed", 1, "of the scripts")
	flags.BoolVar(&o.Discovery, "discovery", false, "removals alone, told by a discovery that is 0.6 to 5 s late")
	return func(out io.Writer) error {
		r, err := endpointremoval.Run(o)
		if err != nil {
			return err
		}
		return report(out, r)
	}
}

func nodesRun(flags *flag.FlagSet) func(io.Writer) error {
	span := flags.Duration("span", 5*time.Second, "of each step")
	return func(out io.Writer) error { return zookeeper.Run(out, *span) }
}

func noop(flags *flag.FlagSet) func(io.Writer) error {
	o := extproc.CostOptions{}
	flags.IntVar(&o.Servers, "servers", 12, "of the fleet")
	flags.IntVar(&o.Connections, "connections", 4, "of the caller")
	flags.DurationVar(&o.Span, "span", 3*time.Second, "of each step")
	flags.StringVar(&o.Profile, "profile", "", "file for a CPU profile of the verdicts")
	return func(out io.Writer) error {
		r, err := extproc.Cost(o)
		if err == nil {
			r.Print(out)
		}
		return err
	}
}

func rotationsRun(flags *flag.FlagSet) func(io.Writer) error {
	o := rotations.Options{}
	flags.IntVar(&o.Rotations, "rotations", 500, "changes of keys, on either side in turn")
	flags.BoolVar(&o.HTTP3, "http3", false, "servers are asked over HTTP/3 too")
	flags.IntVar(&o.Clients, "clients", 16, "at work at once")
	flags.IntVar(&o.Servers, "servers", 6, "of the fleet")
	flags.DurationVar(&o.Settle, "settle", 50*time.Millisecond, "between two changes")
	return inFolder(func(dir string, out io.Writer) error {
		o.Dir = dir
		r, err := rotations.Run(o)
		if err != nil {
			return err
		}
		return report(out, r)
	})
}

// inFolder runs a measurement with a folder that is gone afterwards.
func inFolder(measure func(dir string, out io.Writer) error) func(io.Writer) error {
	return func(out io.Writer) error {
		dir, err := os.MkdirTemp("", "pinedale-bench")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		return measure(dir, out)
	}
}

func handshakesRun(flags *flag.FlagSet) func(io.Writer) error {
	rounds := flags.Int("rounds", 5, "of each kind")
	n := flags.Int("n", 1000, "handshakes in each")
	return inFolder(func(dir string, out io.Writer) error {
		rows, err := tlscost.Handshakes(dir, *rounds, *n)
		if err == nil {
			tlscost.PrintHandshakes(out, rows)
		}
		return err
	})
}

func tlsRun(flags *flag.FlagSet) func(io.Writer) error {
	rounds := flags.Int("rounds", 5, "of each proxy, in turn")
	clients := flags.Int("clients", 8, "at work at once")
	span := flags.Duration("span", 2*time.Second, "of each round")
	return inFolder(func(dir string, out io.Writer) error {
		rows, err := tlscost.Proxies(dir, *rounds, *clients, *span)
		if err == nil {
			tlscost.PrintProxies(out, rows)
		}
		return err
	})
}

func reconnectRun(flags *flag.FlagSet) func(io.Writer) error {
	instances := flags.Int("instances", 5, "that reconnect at once")
	limit := flags.Float64("limit", 200, "handshakes a second that a server may have of all of them")
	all := flags.Float64("all", 500, "and one instance with all servers")
	timeout := flags.Duration("most", 30*time.Second, "for each")
	return func(out io.Writer) error {
		var results []*reconnect.Result
		for _, x := range []struct{ servers, each int }{{10, 200}, {200, 10}, {2000, 1}} { // as many connections each time
			for _, cold := range []bool{false, true} {
				for _, budget := range []bool{false, true} {
					r, err := reconnect.Run(reconnect.Options{Servers: x.servers, Instances: *instances, Each: x.each, Budget: budget, Limit: *limit, All: *all, Warming: cold, Timeout: *timeout})
					if err != nil {
						return err
					}
					results = append(results, r)
				}
			}
		}
		reconnect.Print(out, results)
		return nil
	}
}

func coldStartRun(flags *flag.FlagSet) func(io.Writer) error {
	o := coldstart.Options{}
	flags.IntVar(&o.Instances, "instances", 5000, "of pinedale")
	flags.IntVar(&o.Servers, "servers", 100, "of the fleet")
	flags.IntVar(&o.Fresh, "fresh", 5, "of them, that start in the middle")
	flags.Float64Var(&o.Rate, "rate", 1500, "requests a second, of all instances")
	flags.IntVar(&o.Floor, "floor", 8, "servers that an instance holds")
	flags.IntVar(&o.Seeds, "seeds", 50, "to play")
	flags.BoolVar(&o.Unsubset, "whole", false, "without subsets, too")
	return func(out io.Writer) error {
		began := time.Now()
		rows, err := coldstart.Run(o)
		if err != nil {
			return err
		}
		coldstart.Print(out, rows, time.Since(began))
		if reason := coldstart.Broken(rows); reason != "" {
			return errors.New("broken: " + reason)
		}
		return nil
	}
}

func propertiesRun(flags *flag.FlagSet) func(io.Writer) error {
	c := properties.Config{}
	flags.DurationVar(&c.For, "for", 10*time.Minute, "end after this long")
	flags.IntVar(&c.Seeds, "seeds", 0, "end after so many, 0 for no such end")
	flags.BoolVar(&c.Race, "race", false, "with the race detector")
	flags.IntVar(&c.Checks, "checks", 1000, "of each property with each seed")
	flags.IntVar(&c.Workers, "workers", runtime.NumCPU(), "seeds played at once")
	flags.Uint64Var(&c.Seed, "seed", uint64(time.Now().UnixNano()), "from which the seeds are drawn")
	return func(out io.Writer) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		r, err := properties.Run(ctx, ".", c)
		if err != nil {
			return err
		}
		return report(out, r)
	}
}

func gossipRun(flags *flag.FlagSet) func(io.Writer) error {
	o := gossip.Options{Sizes: []int{3, 30, 300}}
	flags.IntVar(&o.Servers, "servers", 200, "that instances tell of")
	flags.DurationVar(&o.Span, "span", 30*time.Second, "of virtual time")
	flags.Float64Var(&o.Loss, "loss", 0.01, "share of the messages that are lost")
	flags.Uint64Var(&o.Seed, "seed", 1, "of what is told to whom")
	large := flags.Bool("large", false, "3,000 instances, too: they take some minutes")
	return func(out io.Writer) error {
		if *large {
			o.Sizes = append(o.Sizes, 3000)
		}
		rows, err := gossip.Run(o)
		if err == nil {
			gossip.Print(out, rows)
		}
		return err
	}
}
