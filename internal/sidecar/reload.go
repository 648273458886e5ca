package sidecar

import (
	"log/slog"
	"os"
	"time"
)

const (
	// A file that is being written when the signal arrives is complete some milliseconds later. The
	// platform expects a reload to be in effect 4 s after the signal.
	reloadRetryInterval = 50 * time.Millisecond
	// reloadRetryTime is for how long a file that cannot be used is read again.
	reloadRetryTime  = 10 * time.Second
	maxReloadRetries = int(reloadRetryTime / reloadRetryInterval)
)

// ReloadOnSignal reads the configuration file again at each signal and sends the result on the channel
// that it returns. While the file cannot be used, the previous configuration stays in effect, one log
// line has the reason, and the file is read again until it can be used, reloadRetryTime has passed or
// the next signal arrives. The goroutine ends, and the channel is closed, when signals is closed. after
// is time.After.
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

// loadWithRetries reads the file until it can be used. It returns nil if the retries are used up. A
// signal in the meantime starts them anew.
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
