package faulttest

import (
	"context"
	"fmt"
	"time"

	"pinedale/internal/cluster"
	"pinedale/internal/ctxtime"
)

const (
	readyTimeout       = 60 * time.Second // for all processes to start; long, since the machine may be busy
	readyInterval      = 50 * time.Millisecond
	readyStatusTimeout = time.Second
	statusTimeout      = 2 * time.Second
)

// notRecovering is the value of RecoveringFor in the status of an instance whose lease acceptor grants leases.
const notRecovering = "0s"

// fetchStatus fetches an instance's status directly, not through a relay.
func (r *testRun) fetchStatus(ctx context.Context, i *instance, timeout time.Duration) (cluster.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return cluster.Fetch(ctx, i.currentStatusAddress())
}

// waitReady waits until all instances see each other and grant leases.
func (r *testRun) waitReady(ctx context.Context) error {
	reason := ""
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		reason = r.notReadyReason(ctx)
		if reason == "" {
			return ctx.Err()
		}
		if !ctxtime.Sleep(ctx, readyInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("instances are not ready after %v: %s (logs in %s)", readyTimeout, reason, r.options.Dir)
}

// notReadyReason returns why an instance is not ready, or "" if all instances are ready.
func (r *testRun) notReadyReason(ctx context.Context) string {
	reason := ""
	for _, instance := range r.instances {
		status, err := r.fetchStatus(ctx, instance, readyStatusTimeout)
		switch {
		case err != nil:
			reason = fmt.Sprintf("%s: %v", instance.name, err)
		case len(status.Alive) != len(r.instances) || status.RecoveringFor != notRecovering:
			reason = fmt.Sprintf("%s considers %v alive, and its lease acceptor recovers for another %s",
				instance.name, status.Alive, status.RecoveringFor)
		}
	}
	return reason
}
