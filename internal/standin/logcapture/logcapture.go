// Package logcapture captures a log that a test reads while it is written.
package logcapture

import (
	"bytes"
	"log/slog"
	"regexp"
	"strings"
	"sync"
)

// Buffer is an io.Writer that keeps what is written. The zero value is empty and ready for use.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p. It never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all that was written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Logger returns a logger that writes lines of text to the buffer.
func (b *Buffer) Logger() *slog.Logger { return slog.New(slog.NewTextHandler(b, nil)) }

// Count returns how often a text occurs.
func (b *Buffer) Count(text string) int { return strings.Count(b.String(), text) }

// Find returns the first match of a regular expression and of its groups, nil if there is none.
func (b *Buffer) Find(pattern string) []string {
	return regexp.MustCompile(pattern).FindStringSubmatch(b.String())
}
