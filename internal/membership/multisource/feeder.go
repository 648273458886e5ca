package multisource

import (
	"context"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/backoff"
	"pinedale/internal/membership/ephemeral"
)

// Bounds of the delay, without jitter, before a failed watch is opened again.
const (
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

// SourceFeeder is a Feeder of an engine.Source whose Watch returns after a failure. It opens the
// source's watch again.
type SourceFeeder struct{ Source engine.Source }

// Feed implements Feeder.
func (f SourceFeeder) Feed(ctx context.Context, sink ephemeral.Sink) {
	defer f.Source.Close()
	retry := backoff.New(initialRetryDelay, maxRetryDelay)
	for ctx.Err() == nil {
		// A nil version requests a complete list, which includes changes that were missed.
		_, err := f.Source.Watch(ctx, nil, func(kind balancer.ListKind, list engine.List) {
			if kind == balancer.ListFailed {
				return // SourceUnavailable is called below, with the reason
			}
			forward(sink, kind, list)
			retry.Reset()
		})
		if ctx.Err() != nil {
			return
		}
		reason := "watch ended"
		if err != nil {
			reason = err.Error()
		}
		sink.SourceUnavailable(reason)
		retry.Wait(ctx)
	}
}

// forward passes a complete list or changes to sink.
func forward(sink ephemeral.Sink, kind balancer.ListKind, list engine.List) {
	hosts := slices.Clone(list.Hosts) // the sink may keep them
	if kind == balancer.ListFull {
		sink.Snapshot(list.Version, hosts)
	} else {
		sink.Delta(list.Version, hosts)
	}
}
