// Package backoff implements exponential backoff with jitter between attempts to reach a
// membership service. The jitter keeps instances that lost the service at the same time from
// retrying at the same time.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"

	"pinedale/internal/ctxtime"
)

// Backoff holds the delay before the next attempt. It is not safe for concurrent use.
type Backoff struct {
	initial time.Duration
	limit   time.Duration
	delay   time.Duration
}

// New returns a backoff whose delay begins with initial and doubles with each Wait up to limit.
func New(initial, limit time.Duration) *Backoff {
	return &Backoff{initial: initial, limit: limit, delay: initial}
}

// Reset restores the initial delay. It is called after a successful attempt.
func (b *Backoff) Reset() { b.delay = b.initial }

// Wait waits for a random duration between half and one and a half of the delay, or until ctx
// ends, and doubles the delay.
func (b *Backoff) Wait(ctx context.Context) {
	ctxtime.Sleep(ctx, b.delay/2+rand.N(b.delay))
	b.delay = min(2*b.delay, b.limit)
}
