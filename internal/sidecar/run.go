package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/membership/registry"
	"pinedale/internal/upstream/httpupstream"
)

const (
	reservedSockets   = 32 // for discovery, logs and the runtime
	keepAliveDivisor  = 6  // of the sockets: clients hold twice as many for requests at most
	bodyMemoryDivisor = 8  // of the memory: this part may hold bodies of requests
	bytesPerMB        = 1 << 20
)

// maxConnections is how many connections clients may hold, and how many may be open to endpoints:
// every client's request has one attempt at a time.
func maxConnections(cfg *Config) int { return (cfg.Limits.Sockets - reservedSockets) / 2 }

// upstreamOptions are what the configuration says of connections to endpoints.
func upstreamOptions(cfg *Config) httpupstream.Options {
	return httpupstream.Options{
		DialTimeout: micros(cfg.Settings.Limits.DialTimeout),
		Idle:        cfg.idleTimeout,
		Connections: maxConnections(cfg),
		Fields:      cfg.reportFields,
	}
}

// frontOptions are what the configuration says of connections of clients.
func frontOptions(cfg *Config, log *slog.Logger) httpfront.Options {
	return httpfront.Options{
		Connections:        maxConnections(cfg),
		KeepAliveThreshold: cfg.Limits.Sockets / keepAliveDivisor,
		BodyBytes:          int64(cfg.Limits.MemoryMB) * bytesPerMB / bodyMemoryDivisor,
		Log:                log,
	}
}

// discoveryTiming is that of the calls for lists.
func (c *Config) discoveryTiming() registry.Timing {
	if c.Settings.PollDiscovery {
		return registry.PollTiming
	}
	return registry.PushTiming(micros(c.Settings.Contract.DrainGrace))
}

// engineOptions are the engine's surroundings as the configuration names them.
func engineOptions(cfg *Config, upstream engine.Upstream, log *slog.Logger) engine.Options {
	return engine.Options{
		Settings:   cfg.Settings,
		Seed:       cfg.Seed,
		Zones:      cfg.zones,
		Kinds:      cfg.kinds,
		CachedList: cfg.cachedList,
		Upstream:   upstream,
		Source:     registry.New(cfg.Discovery, cfg.discoveryTiming()),
		Log:        log,
	}
}

// Run serves until ctx ends, then answers the requests that it has accepted and returns. It applies
// each configuration that reloads delivers, also while it shuts down.
func Run(ctx context.Context, cfg *Config, reloads <-chan *Config, log *slog.Logger) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var background sync.WaitGroup
	defer background.Wait()
	// The engine outlives ctx: requests in flight still need it.
	engineCtx, stopEngine := context.WithCancel(context.Background())
	defer stopEngine()
	upstream := httpupstream.New(upstreamOptions(cfg))
	eng, err := engine.New(engineCtx, engineOptions(cfg, upstream, log))
	if err != nil {
		listener.Close()
		return err
	}
	background.Go(eng.Run)
	background.Go(func() { applyReloads(engineCtx, eng, cfg, reloads, log) })
	return httpfront.New(eng, upstream, frontOptions(cfg, log)).Serve(ctx, listener)
}

// applyReloads switches to the discovery service of each new configuration, until ctx ends. All else
// stays as it was at the start.
func applyReloads(ctx context.Context, eng *engine.Engine, cfg *Config, reloads <-chan *Config, log *slog.Logger) {
	for {
		select {
		case next, open := <-reloads:
			if !open {
				return
			}
			eng.Post(func(balancer.Micros) {
				eng.SwitchSource(registry.New(next.Discovery, cfg.discoveryTiming()))
			})
			log.Info("configuration reloaded", "discovery", next.Discovery)
		case <-ctx.Done():
			return
		}
	}
}
