package faulttest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"pinedale/internal/cluster"
	"pinedale/internal/faulttest/history"
)

const (
	viewInterval     = 500 * time.Millisecond
	viewTimeout      = viewInterval / 5
	stallInterval    = 50 * time.Millisecond // at which a process looks whether it has stood still
	convergeTimeout  = 60 * time.Second      // for copies to converge after the last fault
	convergeInterval = 100 * time.Millisecond
)

// recorder keeps the run's history.
type recorder struct {
	mu      sync.Mutex
	history history.History
}

// record changes the history.
func (c *recorder) record(change func(*history.History)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.history)
}

// observeViews records what each instance takes to be there, until ctx ends.
func (r *rig) observeViews(ctx context.Context) {
	tick := time.NewTicker(viewInterval)
	defer tick.Stop()
	for {
		for _, i := range r.instances {
			s, err := r.status(ctx, i, viewTimeout)
			if err != nil {
				continue
			}
			r.recorder.record(func(h *history.History) {
				h.Views = append(h.Views, history.View{At: r.sinceStart(), Instance: i.name, Alive: len(s.Alive)})
			})
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// stall is a time in which a process stood still.
type stall struct{ From, Until time.Time }

// observeStalls reports each stall of this process until ctx ends.
func observeStalls(ctx context.Context, report func(stall)) {
	for last := time.Now(); sleep(ctx, stallInterval); last = time.Now() {
		if now := time.Now(); now.Sub(last) > history.MinStall {
			report(stall{last, now})
		}
	}
}

// recordStall records a stall of the rig or of its servers.
func (r *rig) recordStall(s stall) {
	r.recorder.record(func(h *history.History) {
		h.Stalls = append(h.Stalls, history.Stall{Start: s.From.Sub(r.began), End: s.Until.Sub(r.began)})
	})
}

// waitConverged waits until all copies are the same: what each says of servers, by whom. It records how
// long that took, and what still differed if it did not come to that.
func (r *rig) waitConverged(ctx context.Context) error {
	from := r.sinceStart()
	var differ []string
	for end := time.Now().Add(convergeTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(convergeInterval) {
		if differ = r.differences(ctx); len(differ) == 0 {
			break
		}
	}
	r.recorder.record(func(h *history.History) { h.ConvergenceTime, h.ReplicaDifferences = r.sinceStart()-from, differ })
	return ctx.Err()
}

// differences returns in what the instances' copies differ from the first one's.
func (r *rig) differences(ctx context.Context) (differ []string) {
	var first *cluster.Status
	for _, i := range r.instances {
		s, err := r.status(ctx, i, statusTimeout)
		if err != nil {
			differ = append(differ, fmt.Sprintf("%s: %v", i.name, err))
			continue
		}
		// What each says of itself goes on changing.
		s.Records = slices.DeleteFunc(s.Records, func(t cluster.Record) bool { return t.Subject == "self" })
		if len(s.Alive) != len(r.instances) {
			differ = append(differ, fmt.Sprintf("%s knows %v", i.name, s.Alive))
		}
		if first == nil {
			first = &s
		} else {
			differ = append(differ, cluster.Diff(first, &s)...)
		}
	}
	return differ
}
