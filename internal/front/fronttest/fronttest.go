// Package fronttest provides the backend for tests of a front: emulated servers, and an engine that sends requests to
// them over HTTP/1.1.
package fronttest

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/testengine"
	"pinedale/internal/upstream/httpupstream"
)

// zone is the only zone of the servers.
const zone = "a"

// Options configure a Backend.
type Options struct {
	Fleet          *fakebackend.Fleet // starts the servers
	Servers        int
	ServersPerCell int
	Settings       balancer.Settings
	Seed           uint64        // of the engine
	MaxConnections int           // of the upstream
	Source         engine.Source // nil if the list of servers does not change
}

// Backend is an engine with its servers.
type Backend struct {
	Engine   *engine.Engine
	Upstream engine.Upstream
	Servers  []*fakebackend.Server
}

// Start runs servers, and an engine that has them as endpoints, until the test ends. A front whose cleanup is
// registered after Start ends before them. The test fails if a goroutine remains after that.
func Start(t testing.TB, o Options) *Backend {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	b := &Backend{}
	for i := range o.Servers {
		b.Servers = append(b.Servers, o.Fleet.MustStart(t, fmt.Sprint("s-", i), i/o.ServersPerCell))
	}
	upstream := httpupstream.New(httpupstream.Options{
		DialTimeout: time.Second,
		Idle:        time.Second,
		Connections: o.MaxConnections,
	})
	options := engine.Options{
		Settings: o.Settings,
		Seed:     o.Seed,
		Zones:    []string{zone},
		Upstream: upstream,
		Source:   o.Source,
		Log:      slog.New(slog.DiscardHandler),
	}
	list := List(b.Servers...)
	if o.Source != nil {
		options.CachedList = list
	}
	e := testengine.Run(t, options)
	if o.Source == nil {
		e.Call(func(now balancer.Micros) { e.UpdateEndpoints(now, balancer.ListFull, list) })
	}
	b.Engine, b.Upstream = e, upstream
	return b
}

// List returns the complete endpoint list of servers.
func List(servers ...*fakebackend.Server) engine.List {
	list := engine.List{Version: 1, Complete: true}
	for _, server := range servers {
		list.Hosts = append(list.Hosts, engine.Host{
			Name:    server.Name,
			Address: server.Address,
			Site:    zone,
			Cell:    uint16(server.Cell),
			Weight:  1,
		})
	}
	return list
}
