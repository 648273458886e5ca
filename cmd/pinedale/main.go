// Command pinedale is the sidecar: it accepts requests from the application beside it and forwards them to
// endpoints from discovery. It reads its configuration from the file at $BALANCER_CONFIG, and again on SIGHUP.
// On SIGTERM it answers the requests that it has accepted and exits.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"pinedale/internal/sidecar"
)

const (
	bytesPerMB = 1 << 20
	// The platform kills the process at its memory limit. The runtime's soft limit leaves room for what the runtime does
	// not count: the pages of the program, and a part of the limit for other libraries and threads.
	programBytes   = 8 * bytesPerMB
	runtimePercent = 80
)

// runtimeMemoryLimit returns the runtime's soft memory limit in a process that may use this many bytes.
func runtimeMemoryLimit(bytes int64) int64 {
	share := bytes / 100 * runtimePercent
	return min(share, max(bytes-programBytes, bytes/2))
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale:", err)
		os.Exit(1)
	}
}

func run() error {
	// The handler is registered first, because without one SIGHUP ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return fmt.Errorf("environment: BALANCER_CONFIG is not set")
	}
	cfg, err := sidecar.LoadConfig(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	debug.SetMemoryLimit(runtimeMemoryLimit(int64(cfg.Limits.MemoryMB) * bytesPerMB))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("sidecar", cfg.Name)
	return sidecar.Run(ctx, cfg, sidecar.ReloadOnSignal(path, hangup, time.After, log), log)
}
