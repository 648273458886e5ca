package certstore

import (
	"context"
	"log/slog"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	// pollInterval is the interval of reads without a notification. Network file systems send no notifications.
	pollInterval = 30 * time.Second
	// debounceDelay is the delay from a notification to the read, in which a script can write several files.
	debounceDelay = 50 * time.Millisecond
)

// Run reads the files when their folders change, and at intervals, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	var events <-chan fsnotify.Event
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		s.options.Log.Warn("file watch unavailable", "poll_interval", pollInterval, "err", err)
	} else {
		defer watcher.Close()
		events = watcher.Events
		s.watchFolders(watcher)
	}
	// The first read is due at once, because changes before the folders were watched caused no event.
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
			s.Reload()
			s.logExpiry()
			timer.Reset(s.nextPoll())
		}
	}
}

// watchFolders watches the folders of all files. The files themselves are not watched, because a file that replaces
// another by a rename also removes its watch.
func (s *Store) watchFolders(watcher *fsnotify.Watcher) {
	for _, path := range s.options.Paths.all() {
		if path == "" {
			continue
		}
		folder := filepath.Dir(path)
		if err := watcher.Add(folder); err != nil {
			s.options.Log.Warn("folder watch failed", "folder", folder, "poll_interval", pollInterval, "err", err)
		}
	}
}

// nextPoll returns the delay before the next read.
func (s *Store) nextPoll() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recheckAt.IsZero() {
		return pollInterval
	}
	return min(pollInterval, max(debounceDelay, s.recheckAt.Sub(s.options.Now())))
}

// logExpiry logs that the certificate in use expires soon, once for each threshold.
func (s *Store) logExpiry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	warning, due := s.rotation.ExpiryWarning(s.options.Now())
	if !due {
		return
	}
	level := slog.LevelWarn
	if warning.Urgent {
		level = slog.LevelError
	}
	s.options.Log.Log(
		context.Background(), level,
		"certificate expires soon",
		"cert", s.options.Paths.Cert,
		"remaining", warning.Remaining.Round(time.Minute),
	)
}
