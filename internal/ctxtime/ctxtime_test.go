package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepLastsItsDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if !Sleep(t.Context(), time.Minute) {
			t.Error("Sleep reported an early end, but its context had not ended")
		}
		if elapsed := time.Since(start); elapsed != time.Minute {
			t.Errorf("Sleep took %v, want 1m", elapsed)
		}
	})
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		if Sleep(ctx, time.Minute) {
			t.Error("Sleep reported that the minute had passed")
		}
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("Sleep took %v, want 1s", elapsed)
		}
	})
}
