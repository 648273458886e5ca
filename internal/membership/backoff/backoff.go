// Package backoff spaces out attempts to reach a membership service: exponentially, and
// with jitter, so that instances that lost the service together do not return in step.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is the delay before the next attempt. It is for one goroutine. Make one with
// New.
type Backoff struct {
	initial time.Duration
	limit   time.Duration
	delay   time.Duration
}

// New returns a backoff that begins with an initial delay, and doubles it up to a limit.
func New(initial, limit time.Duration) *Backoff {
	return &Backoff{initial: initial, limit: limit, delay: initial}
}

// Reset begins anew with the initial delay, after an attempt that succeeded.
func (b *Backoff) Reset() { b.delay = b.initial }

// Wait waits for half to one and a half of the delay, or until ctx ends, and doubles the
// delay.
func (b *Backoff) Wait(ctx context.Context) {
	Sleep(ctx, b.delay/2+rand.N(b.delay))
	b.delay = min(2*b.delay, b.limit)
}

// Sleep waits for a fixed time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
