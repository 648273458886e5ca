// Package logcapture is a log for tests that can be read while it is written.
package logcapture

import (
	"log/slog"
	"regexp"
	"strings"
	"sync"
)

// Record keeps what is logged. The zero value is empty.
type Buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write takes a line.
func (r *Buffer) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// String is all that was logged.
func (r *Buffer) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// Logger writes to the record.
func (r *Buffer) Logger() *slog.Logger { return slog.New(slog.NewTextHandler(r, nil)) }

// Count is how often something was said.
func (r *Buffer) Count(what string) int { return strings.Count(r.String(), what) }

// Find returns the first match of a pattern and its groups, nil for none.
func (r *Buffer) Find(pattern string) []string {
	return regexp.MustCompile(pattern).FindStringSubmatch(r.String())
}
