// Package reconnect measures how instances reconnect to a complete fleet after an outage, with a handshake budget and
// without: how many handshakes a server gets in its busiest second, and how long it takes until every instance has all
// its connections. The handshakes are real, over TLS on loopback.
//
//	reconnect.go  Options, Run, RunAll and the results
//	client.go     the instances that connect
//	servers.go    the servers that accept
package reconnect

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/standin/ca"
	"pinedale/internal/upstream/handshake"
)

// Options configure one reconnection.
type Options struct {
	Servers     int
	Instances   int
	Connections int           // of each instance with each server
	Budget      bool          // enforce Limit and All
	Limit       float64       // handshakes per second that a server may have with all instances
	All         float64       // handshakes per second that one instance may have with all servers
	Warming     bool          // the servers have just started
	Timeout     time.Duration // of the reconnection
}

// Result is the result of one reconnection.
type Result struct {
	Options
	Peak       int           // handshakes in the busiest second of a server, the highest of all servers
	Bound      float64       // upper bound of Peak by the budgets of all instances; 0 without a budget
	Handshakes int           // that succeeded
	Completed  time.Duration // until all connections were established; negative if they were not within Timeout
	Rejected   int           // attempts that the handshake budget rejected and that were repeated
	TimedOut   int           // handshakes that did not end in time and were made again
}

// Results are the rows of a table.
type Results []*Result

// Defaults of the operator's file.
const (
	slowStartRatio   = 0.31
	warmWithin       = 8600 * time.Millisecond
	burst            = 20 // handshakes of all instances together with one server
	handshakeTimeout = 500 * time.Millisecond
)

// unlimited is a number of handshakes that is never reached.
const unlimited = 1e6

// fleets are the sizes that RunAll measures. Each has the same number of connections.
var fleets = []struct{ servers, connections int }{
	{servers: 10, connections: 200},
	{servers: 200, connections: 10},
	{servers: 2000, connections: 1},
}

// RunAll measures fleets of several sizes, with servers that have just started and with others, without a budget and
// with it. It sets Servers, Connections, Warming and Budget itself.
func RunAll(o Options) (Results, error) {
	var results Results
	for _, fleet := range fleets {
		for _, warming := range []bool{false, true} {
			for _, budget := range []bool{false, true} {
				o.Servers, o.Connections = fleet.servers, fleet.connections
				o.Warming, o.Budget = warming, budget
				result, err := Run(o)
				if err != nil {
					return nil, err
				}
				results = append(results, result)
			}
		}
	}
	return results, nil
}

// Run measures one reconnection.
func Run(o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "reconnect")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	files := ca.FolderAt(ca.PanicOnFatal{}, dir)
	servers, err := startServers(o, files)
	if err != nil {
		return nil, err
	}
	defer servers.close()
	result := &Result{Options: o, Completed: -1}
	budget := o.budget()
	if o.Budget {
		result.Bound = float64(o.Instances) * (budget.PerServer + budget.Burst)
	}
	counts := &outcomes{}
	start := time.Now()
	if err := connectAll(o, files, budget, servers.targets, counts); err != nil {
		return nil, err
	}
	if counts.succeeded == o.Instances*o.Servers*o.Connections {
		result.Completed = time.Since(start)
	}
	result.Handshakes = counts.succeeded
	result.Rejected = counts.rejected
	result.TimedOut = counts.timedOut
	result.Peak = servers.peak()
	return result, nil
}

// connectAll has all instances connect to all servers, until all connections were established or o.Timeout has passed.
func connectAll(
	o Options, files *ca.Folder, budget handshake.Config, targets []*engine.Target, counts *outcomes,
) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	var connecting sync.WaitGroup
	defer func() {
		cancel()
		connecting.Wait()
	}()
	for range o.Instances {
		instance, err := newInstance(files, budget, counts)
		if err != nil {
			return err
		}
		for _, target := range targets {
			for range o.Connections {
				connecting.Go(func() { instance.connectUntilDone(ctx, target) })
			}
		}
	}
	connecting.Wait()
	return nil
}

// budget returns the handshake budget of one instance.
func (o *Options) budget() handshake.Config {
	if !o.Budget {
		return handshake.Config{
			PerServer:          unlimited,
			All:                unlimited,
			Burst:              unlimited,
			InitialWarmupRatio: 1,
		}
	}
	ofAllInstances := handshake.Config{
		PerServer:          o.Limit,
		All:                o.All,
		Burst:              burst,
		InitialWarmupRatio: slowStartRatio,
		WarmWithin:         warmWithin,
	}
	return ofAllInstances.Share(o.Instances, 1)
}

// Print writes the results as a table.
func (results Results) Print(w io.Writer) {
	fmt.Fprintf(w, "%8s %10s %6s %6s %8s %12s %8s %14s %14s %10s\n",
		"servers", "instances", "each", "cold", "budget", "handshakes", "lost", "busiest second", "bound", "whole")
	for _, r := range results {
		completed := r.Completed.Round(10 * time.Millisecond).String()
		if r.Completed < 0 {
			completed = fmt.Sprintf("over %v", r.Timeout)
		}
		bound := fmt.Sprintf("%.0f", r.Bound)
		if r.Bound == 0 {
			bound = "-"
		}
		fmt.Fprintf(w, "%8d %10d %6d %6t %8t %12d %8d %14d %14s %10s\n",
			r.Servers, r.Instances, r.Connections, r.Warming, r.Budget,
			r.Handshakes, r.TimedOut, r.Peak, bound, completed)
	}
}
