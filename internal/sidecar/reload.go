package sidecar

import (
	"log/slog"
	"os"
	"time"
)

const (
	// reloadRetryInterval is short: a file that is being written when the signal arrives is complete within
	// some milliseconds, and the platform expects a reload to be in effect 4 s after the signal.
	reloadRetryInterval = 50 * time.Millisecond
	// reloadRetryTime is how long the reading of an unusable file is retried before the reload is abandoned.
	reloadRetryTime  = 10 * time.Second
	maxReloadRetries = int(reloadRetryTime / reloadRetryInterval)
)

// ReloadOnSignal reads the configuration file again at each signal and sends the result on the channel
// that it returns. While the file cannot be used, the previous configuration stays in effect, the reason
// is logged once, and the file is read again until it can be used or reloadRetryTime has passed; a further
// signal starts this anew. Once signals is closed and no reload is in progress, the goroutine ends and the
// channel is closed. after is time.After, except in tests.
func ReloadOnSignal(path string, signals <-chan os.Signal, after func(time.Duration) <-chan time.Time,
	log *slog.Logger) <-chan *Config {
	reloads := make(chan *Config)
	go func() {
		defer close(reloads)
		for range signals {
			if next := loadWithRetries(path, signals, after, log); next != nil {
				reloads <- next
			}
		}
	}()
	return reloads
}

// loadWithRetries reads the file until it can be used. It returns nil when the retries are exhausted. A
// further signal resets the number of retries.
func loadWithRetries(path string, signals <-chan os.Signal, after func(time.Duration) <-chan time.Time,
	log *slog.Logger) *Config {
	for retries := 0; ; retries++ {
		next, err := LoadConfig(path)
		if err == nil {
			return next
		}
		if retries == 0 {
			log.Error("configuration reload failed", "path", path, "err", err)
		}
		if retries >= maxReloadRetries {
			return nil
		}
		<-after(reloadRetryInterval)
		select {
		case <-signals:
			retries = -1
		default:
		}
	}
}
