package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/membership/registry"
	"pinedale/internal/upstream/httpupstream"
)

const (
	reservedSockets = 32 // for discovery, logs and the runtime
	// Client connections are kept alive after a response while they use at most 1/6 of the sockets. Including
	// those with requests in flight, they use at most three times as many (see maxConnections).
	keepAliveDivisor = 6
	// Client connections may use 1/8 of the memory limit, beside what their requests use.
	connectionMemoryDivisor = 8
	// connectionBytes is about what an open client connection needs: its goroutine and its buffer.
	connectionBytes = 8 << 10
	bytesPerMB      = 1 << 20
)

// memoryBytes returns the memory limit in bytes.
func (l Limits) memoryBytes() int64 { return int64(l.MemoryMB) * bytesPerMB }

// maxConnections returns the limit of client connections, which is also the limit of connections to
// endpoints: apart from hedges, each client request has one attempt at a time.
func maxConnections(cfg *Config) int {
	bySockets := (cfg.Limits.Sockets - reservedSockets) / 2
	byMemory := cfg.Limits.memoryBytes() / connectionMemoryDivisor / connectionBytes
	return int(min(int64(bySockets), byMemory))
}

// upstreamOptions returns the configured options of connections to endpoints.
func upstreamOptions(cfg *Config) httpupstream.Options {
	return httpupstream.Options{
		DialTimeout: micros(cfg.Settings.Limits.DialTimeout),
		Idle:        cfg.idleTimeout,
		Connections: maxConnections(cfg),
		Fields:      cfg.reportFields,
	}
}

// frontOptions returns the configured options of client connections.
func frontOptions(cfg *Config, log *slog.Logger) httpfront.Options {
	return httpfront.Options{
		Connections:        maxConnections(cfg),
		KeepAliveThreshold: min(cfg.Limits.Sockets/keepAliveDivisor, maxConnections(cfg)/2),
		Memory:             exchange.LimitsWithin(cfg.Limits.memoryBytes()),
		Log:                log,
	}
}

// discoveryTiming returns the timing of discovery calls, which depends on whether lists are polled or pushed.
func (c *Config) discoveryTiming() registry.Timing {
	grace := micros(c.Settings.Contract.DrainGrace)
	if c.Settings.PollDiscovery {
		return registry.PollTiming(grace)
	}
	return registry.PushTiming(grace)
}

// engineOptions returns the engine's settings and dependencies.
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
	// Client connections are closed sooner than keep-alive probes would find them dead.
	listening := net.ListenConfig{KeepAlive: -1}
	listener, err := listening.Listen(ctx, "tcp", cfg.Listen)
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

// applyReloads switches to the discovery service of each new configuration until ctx ends. Other changes to
// the configuration have no effect until a restart.
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
