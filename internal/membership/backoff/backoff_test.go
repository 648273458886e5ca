package backoff

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Each delay is drawn from half to one and a half of a value that doubles up to the
// limit, and begins anew after a reset.
func TestWaitDoublesUpToLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(50*time.Millisecond, 200*time.Millisecond)
		wait := func(nominal time.Duration) {
			t.Helper()
			began := time.Now()
			b.Wait(t.Context())
			if took := time.Since(began); took < nominal/2 || took >= nominal*3/2 {
				t.Errorf("waited %v, want half to one and a half of %v", took, nominal)
			}
		}
		for range 20 {
			for _, ms := range []time.Duration{50, 100, 200, 200} {
				wait(ms * time.Millisecond)
			}
			b.Reset()
		}
	})
}

func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		New(time.Hour, time.Hour).Wait(ctx)
		if took := time.Since(began); took != time.Second {
			t.Errorf("waited %v, want until the context ended after 1s", took)
		}
	})
}
