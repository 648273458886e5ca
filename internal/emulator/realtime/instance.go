package realtime

import (
	"context"
	"log/slog"
	"net"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/upstream/httpupstream"
)

const (
	dialTimeout = 2 * time.Second
	// upstreamIdleTimeout is shorter than the time for which servers keep idle connections. It is the
	// sidecar's setting on the platform.
	upstreamIdleTimeout = 5 * time.Second
	acceptTimeout       = time.Millisecond
	// frontMemoryBytes suffices for any number of requests.
	frontMemoryBytes = 1 << 32
)

// instance is one load balancer instance.
type instance struct {
	engine *engine.Engine
	url    string
}

// synchronize waits until the engine of an instance has handled all events that were posted before.
func (n *instance) synchronize() {
	n.engine.Call(func(balancer.Micros) {})
}

// startInstances starts all instances and waits until each has its endpoint list. stop ends the HTTP fronts, which
// first respond to their requests in flight, and then the engines. stop must be called even if startInstances returns
// an error.
func (r *runner) startInstances() (stop func(), err error) {
	engineContext, cancelEngines := context.WithCancel(context.Background())
	frontContext, cancelFronts := context.WithCancel(context.Background())
	stop = func() {
		cancelFronts()
		r.fronts.Wait()
		cancelEngines()
		r.engines.Wait()
	}
	for number := range r.scenario.Instances {
		if err := r.startInstance(engineContext, frontContext, number); err != nil {
			return stop, err
		}
	}
	for _, instance := range r.instances {
		instance.synchronize()
	}
	return stop, nil
}

// startInstance starts an instance with the list of the servers that are running.
func (r *runner) startInstance(engineContext, frontContext context.Context, number int) error {
	s, log := r.scenario, slog.New(slog.DiscardHandler)
	upstream := httpupstream.New(httpupstream.Options{
		DialTimeout: dialTimeout,
		Idle:        upstreamIdleTimeout,
		Connections: unlimitedConnections,
		Fields:      []string{"eps", "queue"},
	})
	e, err := engine.New(engineContext, engine.Options{
		Settings:   s.SettingsFor(number),
		Seed:       s.Seed<<16 | uint64(number),
		Zones:      s.Sites,
		Kinds:      s.Kinds,
		Upstream:   upstream,
		NewDecider: r.options.NewDecider,
		Log:        log,
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.engines.Go(e.Run)
	front := httpfront.New(e, upstream, httpfront.Options{
		Connections:        unlimitedConnections,
		KeepAliveThreshold: unlimitedConnections,
		Memory:             exchange.LimitsWithin(frontMemoryBytes),
		AcceptFor:          acceptTimeout,
		Log:                log,
	})
	r.fronts.Go(func() { _ = front.Serve(frontContext, listener) }) // returns when frontContext ends
	r.instances = append(r.instances, &instance{engine: e, url: "http://" + listener.Addr().String()})
	list := engine.List{Complete: true, Hosts: r.initialHosts(s.Instances[number])}
	e.Post(func(now balancer.Micros) { e.UpdateEndpoints(now, balancer.ListFull, list) })
	return nil
}

// initialHosts returns the servers of the initial fleet, with their addresses for a site.
func (r *runner) initialHosts(site int) []engine.Host {
	var hosts []engine.Host
	for server := range r.scenario.Servers {
		incarnation := r.scenario.Servers[server].Incarnations[0]
		if incarnation.From == 0 {
			hosts = append(hosts, r.hostEntry(server, incarnation, balancer.Ready, site))
		}
	}
	return hosts
}

// hostEntry returns the entry of a server's current process in the endpoint list of a site.
func (r *runner) hostEntry(server int, incarnation plan.Incarnation, state balancer.State, site int) engine.Host {
	address := r.server(server).Addresses[site]
	return r.scenario.HostEntry(server, incarnation, state, address, r.began)
}
