package certstore

import (
	"context"
	"log/slog"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	// pollInterval is how often files are read without a notification: network file systems send none.
	pollInterval = 30 * time.Second
	// debounceDelay is how long to wait after a notification: a script writes several files in a row.
	debounceDelay = 50 * time.Millisecond
)

// Run reads the files whenever their folders change and at intervals, until ctx is cancelled.
func (r *Store) Run(ctx context.Context) {
	var events <-chan fsnotify.Event
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		r.options.Log.Warn("file watch unavailable", "poll_interval", pollInterval, "err", err)
	} else {
		defer watcher.Close()
		events = watcher.Events
		r.watchFolders(watcher)
	}
	// The first read is due at once: changes made before the folders were watched caused no event.
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-events:
			if !ok {
				events = nil
				continue
			}
			timer.Reset(debounceDelay)
		case <-timer.C:
			r.Reload()
			r.logExpiry()
			timer.Reset(r.nextPoll())
		}
	}
}

// watchFolders watches the folders of all files. It does not watch the files themselves: one that is renamed
// into place is a different file.
func (r *Store) watchFolders(watcher *fsnotify.Watcher) {
	for _, path := range r.options.Paths.all() {
		if path == "" {
			continue
		}
		folder := filepath.Dir(path)
		if err := watcher.Add(folder); err != nil {
			r.options.Log.Warn("folder watch failed", "folder", folder, "poll_interval", pollInterval, "err", err)
		}
	}
}

// nextPoll returns the delay before the next read.
func (r *Store) nextPoll() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recheckAt.IsZero() {
		return pollInterval
	}
	return min(pollInterval, max(debounceDelay, r.recheckAt.Sub(r.options.Now())))
}

// logExpiry logs that the certificate in use expires soon, once for each threshold.
func (r *Store) logExpiry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	warning, due := r.rotation.ExpiryWarning(r.options.Now())
	if !due {
		return
	}
	level := slog.LevelWarn
	if warning.Urgent {
		level = slog.LevelError
	}
	r.options.Log.Log(context.Background(), level, "certificate expires soon",
		"cert", r.options.Paths.Cert, "remaining", warning.Remaining.Round(time.Minute))
}
