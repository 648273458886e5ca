// Package multisource runs several membership sources side by side and merges them into
// one: package reconcile decides what their reports come to, and the engine gets a single
// endpoint list.
//
// One goroutine for each source runs its feeder. All pass their reports to the goroutine
// that called [Source.Watch], which owns the reconciler and waits for the feeders before
// it returns.
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

// reportBacklog is how many reports may wait for the reconciler before feeders block.
const reportBacklog = 64

// Feeder reads one of the sources.
type Feeder interface {
	// Feed passes what the source reports to sink until ctx ends.
	Feed(ctx context.Context, sink ephemeral.Sink)
}

// Input is a feeder with the type and name of its source.
type Input struct {
	Kind   reconcile.Kind
	Name   string // for the log
	Feeder Feeder
}

// Source merges its inputs. It is an engine.Source.
type Source struct {
	cfg    reconcile.Config
	inputs []Input
	log    *slog.Logger
}

// New returns a source that merges these inputs.
func New(cfg reconcile.Config, log *slog.Logger, inputs ...Input) *Source {
	return &Source{cfg: cfg, inputs: inputs, log: log}
}

// Close does nothing: all that a watch uses ends with it.
func (s *Source) Close() {}

// Watch runs the feeders until ctx ends, and passes a complete list to notify first and
// changes from then on. It fails only when ctx ends: an input that fails is unavailable.
func (s *Source) Watch(
	ctx context.Context, after *uint64, notify func(balancer.ListKind, engine.List),
) (*uint64, error) {
	w := &watch{
		reconciler: reconcile.New(s.cfg, s.log),
		reports:    make(chan report, reportBacklog),
		began:      time.Now(),
		notify:     notify,
	}
	var feeders sync.WaitGroup
	defer feeders.Wait()
	for _, input := range s.inputs {
		sink := reportSink{done: ctx.Done(), index: w.reconciler.AddSource(input.Kind, input.Name), reports: w.reports}
		feeders.Go(func() { input.Feeder.Feed(ctx, sink) })
	}
	w.run(ctx)
	return after, ctx.Err()
}

// watch is the state of one call of Watch. All of it belongs to that goroutine; the
// feeders have only the channel.
type watch struct {
	reconciler *reconcile.Reconciler
	reports    chan report
	began      time.Time // the origin of the reconciler's clock
	notify     func(balancer.ListKind, engine.List)
}

// run applies reports and publishes lists until ctx ends.
func (w *watch) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.reports:
			first(w.reconciler, w.now())
			w.applyBacklog()
		case <-timer.C:
		}
		w.publish()
		timer.Stop()
		if deadline := w.reconciler.NextDeadline(); deadline != 0 {
			timer.Reset(max(time.Millisecond, deadline-w.now()))
		}
	}
}

// now returns the reconciler's time.
func (w *watch) now() time.Duration { return time.Since(w.began) }

// applyBacklog applies the reports that wait, so that one list covers them all.
func (w *watch) applyBacklog() {
	for {
		select {
		case next := <-w.reports:
			next(w.reconciler, w.now())
		default:
			return
		}
	}
}

// publish passes on what has changed.
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
