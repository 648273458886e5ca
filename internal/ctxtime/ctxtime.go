// Package ctxtime provides sleeping that a context can end.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until ctx ends. It reports whether the whole duration has passed. A duration of zero
// or less passes immediately, unless ctx has ended.
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
