// Package multisource runs several membership sources concurrently and merges their reports into
// a single endpoint list for the engine. Package reconcile decides how they are merged.
//
// Each source has a feeder, which runs on its own goroutine. The feeders pass their reports to
// the goroutine that called [Source.Watch], which owns the reconciler and waits for the feeders
// before it returns.
package multisource

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/reconcile"
)

const (
	// reportBacklog is how many reports may be queued before feeders block.
	reportBacklog = 64

	// minTimerDelay is the minimum delay of the timer, even if the deadline has passed.
	minTimerDelay = time.Millisecond

	// initialTimerDelay is arbitrary: the first report sets the timer.
	initialTimerDelay = time.Hour
)

// Feeder reads one source.
type Feeder interface {
	// Feed passes the reports of the source to sink until ctx ends.
	Feed(ctx context.Context, sink ephemeral.Sink)
}

// Input is a feeder with the type and name of its source.
type Input struct {
	Kind   reconcile.Kind
	Name   string // for the log
	Feeder Feeder
}

// Source merges its inputs. It implements engine.Source.
type Source struct {
	cfg    reconcile.Config
	inputs []Input
	log    *slog.Logger
}

// New returns a source that merges these inputs.
func New(cfg reconcile.Config, log *slog.Logger, inputs ...Input) *Source {
	return &Source{cfg: cfg, inputs: inputs, log: log}
}

// Close does nothing: Watch releases its resources before it returns.
func (s *Source) Close() {}

// Watch runs the feeders until ctx ends. It passes a complete list to notify first, and changes
// after that. It returns only when ctx ends: an input that fails counts as unavailable.
func (s *Source) Watch(
	ctx context.Context, after *uint64, notify func(balancer.ListKind, engine.List),
) (*uint64, error) {
	w := &watch{
		reconciler: reconcile.New(s.cfg, s.log),
		reports:    make(chan report, reportBacklog),
		start:      time.Now(),
		notify:     notify,
	}
	var feeders sync.WaitGroup
	defer feeders.Wait()
	for _, input := range s.inputs {
		sink := reportSink{
			done:    ctx.Done(),
			index:   w.reconciler.AddSource(input.Kind, input.Name),
			reports: w.reports,
		}
		feeders.Go(func() { input.Feeder.Feed(ctx, sink) })
	}
	w.run(ctx)
	return after, ctx.Err()
}

// watch is the state of one call of Watch. The goroutine of that call owns it; the feeders only
// send to the channel.
type watch struct {
	reconciler *reconcile.Reconciler
	reports    chan report
	start      time.Time // the origin of the reconciler's clock
	notify     func(balancer.ListKind, engine.List)
}

// run applies reports and publishes lists until ctx ends.
func (w *watch) run(ctx context.Context) {
	timer := time.NewTimer(initialTimerDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case apply := <-w.reports:
			apply(w.reconciler, w.now())
			w.applyBacklog()
		case <-timer.C:
		}
		w.publish()
		timer.Stop()
		if deadline := w.reconciler.NextDeadline(); deadline != 0 {
			timer.Reset(max(minTimerDelay, deadline-w.now()))
		}
	}
}

// now returns the time on the reconciler's clock.
func (w *watch) now() time.Duration { return time.Since(w.start) }

// applyBacklog applies all queued reports, so that a single list covers them.
func (w *watch) applyBacklog() {
	for {
		select {
		case apply := <-w.reports:
			apply(w.reconciler, w.now())
		default:
			return
		}
	}
}

// publish passes the changes of the list to notify, if there are any.
func (w *watch) publish() {
	list, ok := w.reconciler.List(w.now())
	if !ok {
		return
	}
	kind := balancer.ListDelta
	if list.Complete {
		kind = balancer.ListFull
	}
	w.notify(kind, list)
}
