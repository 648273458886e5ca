package faulttest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"pinedale/internal/cluster"
	"pinedale/internal/ctxtime"
	"pinedale/internal/faulttest/history"
)

const (
	viewInterval = 500 * time.Millisecond
	viewTimeout  = 100 * time.Millisecond // of one instance's status

	convergenceTimeout  = 60 * time.Second // for replicas to become equal after the last fault
	convergenceInterval = 100 * time.Millisecond
)

// recorder guards the history of a run that is in progress.
type recorder struct {
	mu      sync.Mutex
	history history.History
}

// record applies a change to the history.
func (c *recorder) record(change func(*history.History)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.history)
}

// observeViews records each instance's view of the cluster every viewInterval, until ctx is done.
func (r *testRun) observeViews(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		for _, instance := range r.instances {
			r.observeView(ctx, instance)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// observeView records an instance's view of the cluster, unless the instance does not respond.
func (r *testRun) observeView(ctx context.Context, i *instance) {
	status, err := r.fetchStatus(ctx, i, viewTimeout)
	if err != nil {
		return
	}
	r.recorder.record(func(h *history.History) {
		h.Views = append(h.Views, history.View{
			At:       r.sinceLoadStart(),
			Instance: i.name,
			Alive:    len(status.Alive),
		})
	})
}

// waitConverged waits until the replicas of all instances are equal. It records how long that took, and the
// differences that remain if the replicas are not equal after convergenceTimeout.
func (r *testRun) waitConverged(ctx context.Context) error {
	start := r.sinceLoadStart()
	var differences []string
	for deadline := time.Now().Add(convergenceTimeout); time.Now().Before(deadline); {
		differences = r.replicaDifferences(ctx)
		if len(differences) == 0 || !ctxtime.Sleep(ctx, convergenceInterval) {
			break
		}
	}
	r.recorder.record(func(h *history.History) {
		h.ConvergenceTime = r.sinceLoadStart() - start
		h.ReplicaDifferences = differences
	})
	return ctx.Err()
}

// replicaDifferences returns how the instances' replicas differ from that of the first instance.
func (r *testRun) replicaDifferences(ctx context.Context) []string {
	var differences []string
	var first *cluster.Status
	for _, instance := range r.instances {
		status, err := r.fetchStatus(ctx, instance, statusTimeout)
		if err != nil {
			differences = append(differences, fmt.Sprintf("%s: %v", instance.name, err))
			continue
		}
		status.Records = slices.DeleteFunc(status.Records, describesOrigin)
		if len(status.Alive) != len(r.instances) {
			differences = append(differences, fmt.Sprintf("%s considers %v alive, want all %d instances",
				instance.name, status.Alive, len(r.instances)))
		}
		if first == nil {
			first = &status
			continue
		}
		differences = append(differences, cluster.Diff(first, &status)...)
	}
	return differences
}

// describesOrigin reports whether a record was published by an instance about itself. Such records keep changing.
func describesOrigin(record cluster.Record) bool { return record.Subject == "self" }
