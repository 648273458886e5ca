package backoff

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Each wait is between half and one and a half of a delay that doubles up to the limit, and a
// reset restores the initial delay.
func TestWaitDoublesUpToLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(50*time.Millisecond, 200*time.Millisecond)
		wait := func(nominal time.Duration) {
			t.Helper()
			start := time.Now()
			b.Wait(t.Context())
			if elapsed := time.Since(start); elapsed < nominal/2 || elapsed >= nominal*3/2 {
				t.Errorf("waited %v, want half to one and a half of %v", elapsed, nominal)
			}
		}
		for range 20 {
			for _, milliseconds := range []time.Duration{50, 100, 200, 200} {
				wait(milliseconds * time.Millisecond)
			}
			b.Reset()
		}
	})
}

func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		New(time.Hour, time.Hour).Wait(ctx)
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("waited %v, want until the context ended after 1s", elapsed)
		}
	})
}
