// Package combined is a source of membership made of several: it runs them, has
// package merge decide what they come to, and tells the engine.
package multisource

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/reconcile"
)

// Feeder is one of the sources.
type Feeder interface {
	// Feed tells what the source says until ctx ends.
	Feed(ctx context.Context, sink ephemeral.Sink)
}

// Input is a feeder with its place among the others.
type Input struct {
	Kind   reconcile.Kind
	Name   string // for the log
	Feeder Feeder
}

// Source merges its parts. It is an engine.Source.
type Source struct {
	cfg   reconcile.Config
	parts []Input
	log   *slog.Logger
}

// New returns a source of these parts.
func New(cfg reconcile.Config, log *slog.Logger, parts ...Input) *Source {
	return &Source{cfg: cfg, parts: parts, log: log}
}

// Close does nothing: all that a watch holds ends with it.
func (s *Source) Close() {}

// sink passes what a feeder tells to the goroutine that owns the merge.
type sink struct {
	ctx    context.Context
	n      int
	events chan<- func(*reconcile.Reconciler, time.Duration)
}

func (k sink) post(f func(*reconcile.Reconciler, time.Duration)) {
	select {
	case k.events <- f:
	case <-k.ctx.Done():
	}
}

func (k sink) Snapshot(version uint64, entries []reconcile.Entry) {
	k.post(func(m *reconcile.Reconciler, now time.Duration) { m.Snapshot(now, k.n, version, entries) })
}

func (k sink) Delta(version uint64, entries []reconcile.Entry) {
	k.post(func(m *reconcile.Reconciler, now time.Duration) { m.Delta(now, k.n, version, entries) })
}

func (k sink) SourceSilent(reason string) {
	k.post(func(m *reconcile.Reconciler, now time.Duration) { m.SourceSilent(now, k.n, reason) })
}

// Watch runs the parts until ctx ends, and tells a whole list first and changes from
// then on. It never fails: a part that does is silent.
func (s *Source) Watch(ctx context.Context, after *uint64, tell func(balancer.ListKind, engine.List)) (*uint64, error) {
	m := reconcile.New(s.cfg, func(line string) { s.log.Warn("membership: " + line) })
	events := make(chan func(*reconcile.Reconciler, time.Duration), 64)
	var feeders sync.WaitGroup
	defer feeders.Wait()
	for _, p := range s.parts {
		k := sink{ctx, m.Add(p.Kind, p.Name), events}
		feeders.Go(func() { p.Feeder.Feed(ctx, k) })
	}
	began := time.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return after, ctx.Err()
		case event := <-events:
			event(m, time.Since(began))
			for more := true; more; { // one list for all that has come
				select {
				case event = <-events:
					event(m, time.Since(began))
				default:
					more = false
				}
			}
		case <-timer.C:
		}
		if list, ok := m.List(time.Since(began)); ok {
			kind := balancer.ListDelta
			if list.Complete {
				kind = balancer.ListFull
			}
			tell(kind, list)
		}
		timer.Stop()
		if due := m.NextDeadline(); due != 0 {
			timer.Reset(max(time.Millisecond, due-time.Since(began)))
		}
	}
}

// SourceFeeder feeds what an engine.Source tells, and has it begin anew when it fails.
type SourceFeeder struct{ Source engine.Source }

const (
	againLeast = 200 * time.Millisecond
	againMost  = 5 * time.Second
)

// Feed implements Feeder.
func (o SourceFeeder) Feed(ctx context.Context, k ephemeral.Sink) {
	defer o.Source.Close()
	pause := againLeast
	for ctx.Err() == nil {
		// Only a whole list can tell what was missed: nil is the version to go on from.
		_, err := o.Source.Watch(ctx, nil, func(kind balancer.ListKind, list engine.List) {
			entries := make([]reconcile.Entry, len(list.Hosts))
			for i, h := range list.Hosts {
				entries[i].Host = h
			}
			switch kind {
			case balancer.ListFailed:
				return // told below, with its reason
			case balancer.ListFull:
				k.Snapshot(list.Version, entries)
			default:
				k.Delta(list.Version, entries)
			}
			pause = againLeast
		})
		if ctx.Err() != nil {
			return
		}
		reason := "it ended"
		if err != nil {
			reason = err.Error()
		}
		k.SourceSilent(reason)
		// Later each time, and never in step with others.
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, againMost)
	}
}
