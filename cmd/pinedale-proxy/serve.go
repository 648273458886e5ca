package main

import (
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"

	"pinedale/internal/app"
	"pinedale/internal/config"
)

// serve runs an instance until it has ended. SIGHUP reloads the file; any other signal begins the graceful shutdown.
func serve(path string, file *config.File, signals <-chan os.Signal) error {
	app.SetMemoryLimit(file)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("instance", file.Name)
	instance, err := app.Start(file, log)
	if err != nil {
		return err
	}
	log.Info("serving",
		"http", fmt.Sprint(instance.HTTP),
		"http3", fmt.Sprint(instance.HTTP3),
		"ext_proc", fmt.Sprint(instance.ExtProc))
	ended := make(chan struct{})
	var handler sync.WaitGroup
	handler.Go(func() { handleSignals(signals, ended, instance, path, log) })
	err = instance.Wait()
	close(ended)
	handler.Wait()
	return err
}

// handleSignals reloads or shuts down an instance when a signal arrives, until ended is closed.
func handleSignals(
	signals <-chan os.Signal, ended <-chan struct{}, instance *app.Instance, path string, log *slog.Logger,
) {
	for {
		select {
		case received := <-signals:
			handleSignal(received, instance, path, log)
		case <-ended:
			return
		}
	}
}

// handleSignal reloads an instance after SIGHUP, and shuts it down after any other signal.
func handleSignal(received os.Signal, instance *app.Instance, path string, log *slog.Logger) {
	if received != syscall.SIGHUP {
		log.Info("shutting down", "signal", received.String())
		instance.Shutdown()
		return
	}
	if err := reload(instance, path); err != nil {
		log.Error("configuration reload failed", "path", path, "err", err, "table", instance.Table().Version)
	}
}

// reload loads the file again and applies it to the instance. After an error nothing has changed.
func reload(instance *app.Instance, path string) error {
	next, err := instance.LoadNext(path)
	if err != nil {
		return describeError(path, err)
	}
	return instance.Reload(next)
}
