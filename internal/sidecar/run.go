package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/membership/registry"
	"pinedale/internal/upstream/httpupstream"
)

const (
	socketSpare = 32 // descriptors for discovery, logs and the runtime
	crowdPart   = 6  // of the descriptors: clients hold twice as many for requests at most
	bodiesPart  = 8  // of the memory, this part may hold bodies of requests
)

// connections is the most that clients may hold, and the most to endpoints:
// every client's request has one attempt at a time.
func connections(cfg *Config) int { return (cfg.Limits.Sockets - socketSpare) / 2 }

// upstreamOptions are what the configuration says of connections to endpoints.
func upstreamOptions(cfg *Config) httpupstream.Options {
	return httpupstream.Options{
		DialTimeout: time.Duration(cfg.Settings.Limits.DialTimeout) * time.Microsecond,
		Idle:        cfg.idle, Connections: connections(cfg), Fields: cfg.fields,
	}
}

// frontOptions are what the configuration says of connections of clients.
func frontOptions(cfg *Config, log *slog.Logger) httpfront.Options {
	return httpfront.Options{Connections: connections(cfg), Crowded: cfg.Limits.Sockets / crowdPart,
		BodyBytes: int64(cfg.Limits.MemoryMB) << 20 / bodiesPart, Log: log}
}

// pace is that of the calls for lists.
func (c *Config) pace() registry.Timing {
	if c.Settings.PollDiscovery {
		return registry.PollTiming
	}
	return registry.PushTiming(time.Duration(c.Settings.Contract.DrainGrace) * time.Microsecond)
}

// engineOptions are an engine's surroundings as the configuration names them.
func engineOptions(cfg *Config, up engine.Upstream, log *slog.Logger) engine.Options {
	return engine.Options{Settings: cfg.Settings, Seed: cfg.Seed, Zones: cfg.zones, Kinds: cfg.kinds,
		CachedList: cfg.known, Upstream: up, Source: registry.New(cfg.Discovery, cfg.pace()), Log: log}
}

// Run serves until ctx ends, then answers what it has taken and returns. New
// configurations may come at any time.
func Run(ctx context.Context, cfg *Config, reloads <-chan *Config, log *slog.Logger) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	// The engine outlives ctx: requests in hand still need it.
	engineCtx, stop := context.WithCancel(context.Background())
	defer stop()
	up := httpupstream.New(upstreamOptions(cfg))
	e, err := engine.New(engineCtx, engineOptions(cfg, up, log))
	if err != nil {
		listener.Close()
		return err
	}
	go e.Run()
	go func() {
		for next := range reloads {
			// Only the address is the new file's: all else stays as it was at the start.
			e.Post(func(balancer.Micros) { e.SwitchSource(registry.New(next.Discovery, cfg.pace())) })
			log.Info("configuration reloaded", "discovery", next.Discovery)
		}
	}()
	return httpfront.New(e, up, frontOptions(cfg, log)).Serve(ctx, listener)
}
