package main

import (
	"fmt"
	"log/slog"
	"os"
	"syscall"

	"pinedale/internal/app"
	"pinedale/internal/config"
)

// serve runs an instance until it has ended: SIGHUP reloads the file, any other signal begins the graceful shutdown.
func serve(path string, f *config.File, signals <-chan os.Signal) error {
	app.UseMemory(f)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("instance", f.Name)
	instance, err := app.Start(f, log)
	if err != nil {
		return err
	}
	log.Info("serving",
		"http", fmt.Sprint(instance.HTTP),
		"http3", fmt.Sprint(instance.HTTP3),
		"ext_proc", fmt.Sprint(instance.ExtProc))
	go handleSignals(signals, instance, path, log) // ends with the process
	return instance.Wait()
}

// handleSignals reloads or shuts down an instance when a signal arrives.
func handleSignals(signals <-chan os.Signal, instance *app.Instance, path string, log *slog.Logger) {
	for received := range signals {
		if received != syscall.SIGHUP {
			log.Info("shutting down", "signal", received.String())
			instance.Shutdown()
			continue
		}
		if err := reload(instance, path); err != nil {
			log.Error("configuration reload failed", "path", path, "err", err, "table", instance.Table().Version)
		}
	}
}

// reload loads the file again and lets the instance use it. After an error nothing has changed.
func reload(instance *app.Instance, path string) error {
	next, err := instance.Next(path)
	if err != nil {
		return describeError(path, err)
	}
	return instance.Reload(next)
}
