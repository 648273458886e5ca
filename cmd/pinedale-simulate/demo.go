package main

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
)

// demoConfig is the configuration file of the demo's sidecar, with a verb for the address of discovery.
const demoConfig = `version = 1
name = "demo"
site = "arusha"
[http]
listen = "127.0.0.1:0"
[fleet]
sites = ["arusha", "dar"]
kinds = ["box"]
reports = ["eps", "queue"]
[discovery]
address = %q
[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = "3s"
worth = 2
[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = "1.5s"
aim = "600ms"
deadline = "2.5s"
worth = 10
`

const (
	demoRate    = 60 // requests a second: about 60% of the servers' capacity
	demoServers = 5  // at the beginning

	defaultDemoLength = 12 * time.Second
	minDemoLength     = time.Second
	maxDemoLength     = time.Hour
)

// demoCommand returns the command that runs a demo.
func (c *commandLine) demoCommand() *cobra.Command {
	var length time.Duration
	command := &cobra.Command{
		Use:   "demo",
		Short: "run a small fleet, discovery, pinedale-proxy and clients on loopback sockets",
		Args:  withUsageError(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			if length < minDemoLength || length > maxDemoLength {
				return usageError()
			}
			return runDemo(c.out, length)
		},
	}
	command.Flags().DurationVar(&length, "length", defaultDemoLength, "length of the demo")
	return command
}

// runDemo runs a small fleet, discovery, pinedale-proxy and clients on loopback, and prints what happens each second.
// One server fails fast for a while, another joins in slow start.
func runDemo(out io.Writer, length time.Duration) error {
	fleet, err := startDemoFleet()
	if err != nil {
		return err
	}
	defer fleet.close()
	failing := model.Fault{From: length * 3 / 10, Until: length * 6 / 10, FailFastRatio: 0.9}
	if err := fleet.startInitialServers(failing); err != nil {
		return err
	}
	instance, err := startDemoInstance(fleet.directory.Address)
	if err != nil {
		return err
	}
	defer func() {
		instance.Shutdown()
		_ = instance.Wait() // failed requests are counted by the clients
	}()
	if err := instance.WaitReady(); err != nil {
		return err
	}
	clients := newDemoClients("http://" + instance.HTTP.String())
	defer clients.close()
	fmt.Fprintf(out, "five servers, discovery and pinedale-proxy on %s; %d requests a second\n", instance.HTTP, demoRate)
	d := &demo{out: out, fleet: fleet, clients: clients, length: length, failing: failing}
	if err := d.run(); err != nil {
		return err
	}
	d.printSummary()
	return nil
}

// startDemoInstance starts an instance of pinedale-proxy that gets its servers from discovery.
func startDemoInstance(discoveryAddress string) (*app.Instance, error) {
	file, err := config.Parse(fmt.Appendf(nil, demoConfig, discoveryAddress))
	if err != nil {
		return nil, err
	}
	return app.Start(file, slog.New(slog.DiscardHandler))
}

// demo is a running demo.
type demo struct {
	out     io.Writer
	fleet   *demoFleet
	clients *demoClients
	length  time.Duration
	failing model.Fault // the fault of the first server

	joined  bool          // the last server has been started
	printed time.Duration // end of the last second whose counts were printed
}

// run sends requests at random times until the demo's end and returns when all have ended.
func (d *demo) run() error {
	fmt.Fprintf(d.out, "%4s %6s %8s %6s %8s %7s %9s %9s  %s\n",
		"s", "asked", "in time", "late", "refused", "failed", "median", "99th", "in flight by server")
	var requests sync.WaitGroup
	defer requests.Wait()
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Now()
	var sendTime time.Duration
	for number := 0; time.Since(start) < d.length; number++ {
		sendTime += time.Duration(random.ExpFloat64() / demoRate * float64(time.Second))
		time.Sleep(time.Until(start.Add(sendTime)))
		class := drawClass(random)
		requests.Go(func() { d.clients.request(number, class) })
		if err := d.advance(sendTime); err != nil {
			return err
		}
	}
	return nil
}

// advance starts the last server at half the demo's length, and prints each second that has passed.
func (d *demo) advance(elapsed time.Duration) error {
	if !d.joined && elapsed >= d.length/2 {
		d.joined = true
		if err := d.fleet.startServer(true); err != nil {
			return err
		}
		fmt.Fprintln(d.out, "     a sixth server has started, in slow start")
	}
	if elapsed < d.printed+time.Second {
		return nil
	}
	d.printed += time.Second
	d.printSecond()
	if d.printed >= d.failing.From && d.printed < d.failing.From+time.Second {
		fmt.Fprintln(d.out, "     soko-1 now fails 90% of its requests immediately; it recovers later")
	}
	return nil
}

// printSecond prints the responses since the last call and the number of requests in flight at each server.
func (d *demo) printSecond() {
	second := d.clients.takeSecond()
	tally := second.Total()
	fmt.Fprintf(d.out, "%4d %6d %8d %6d %8d %7d %9v %9v  %s\n",
		int(d.printed/time.Second), tally.Requested, tally.InTime, tally.Late, tally.Rejected, tally.Failed,
		roundedQuantile(&second, 0.5), roundedQuantile(&second, 0.99), strings.Join(d.fleet.serverStates(), ", "))
}

// roundedQuantile returns a quantile of the response times in whole milliseconds.
func roundedQuantile(second *plan.Second, quantile float64) time.Duration {
	return second.Quantile(quantile).Round(time.Millisecond)
}

// printSummary prints the responses of the whole demo.
func (d *demo) printSummary() {
	tally := d.clients.totalTally()
	fmt.Fprintf(d.out, "total: asked %d, in time %d, late %d, refused %d, failed %d; duplicate effects %d\n",
		tally.Requested, tally.InTime, tally.Late, tally.Rejected, tally.Failed, d.fleet.duplicateEffects())
}
