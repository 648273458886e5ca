// Package ctxtime waits for time to pass until a context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until ctx ends. It reports whether the whole duration has passed. A duration that is
// not positive passes at once, unless ctx has ended.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
