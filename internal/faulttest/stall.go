package faulttest

import (
	"context"
	"time"

	"pinedale/internal/ctxtime"
	"pinedale/internal/faulttest/history"
)

// stallInterval is how often observeStalls checks whether its process has been scheduled in time.
const stallInterval = 50 * time.Millisecond

// stall is a period in which a process was not scheduled.
type stall struct {
	Start time.Time
	End   time.Time
}

// observeStalls reports each stall of this process until ctx is done.
func observeStalls(ctx context.Context, report func(stall)) {
	for last := time.Now(); ctxtime.Sleep(ctx, stallInterval); last = time.Now() {
		if now := time.Now(); now.Sub(last) > history.MinStall {
			report(stall{Start: last, End: now})
		}
	}
}

// recordStall adds a stall of this process or of the server process to the history.
func (r *testRun) recordStall(recorded stall) {
	r.recorder.record(func(h *history.History) {
		h.Stalls = append(h.Stalls, history.Stall{
			Start: recorded.Start.Sub(r.loadStart),
			End:   recorded.End.Sub(r.loadStart),
		})
	})
}
