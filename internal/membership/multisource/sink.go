package multisource

import (
	"time"

	"pinedale/internal/membership/reconcile"
)

// report is one call of a feeder's sink, to be applied by the reconciler's goroutine.
type report func(reconciler *reconcile.Reconciler, now time.Duration)

// reportSink passes one feeder's reports to the goroutine that owns the reconciler. It is
// an ephemeral.Sink.
type reportSink struct {
	done    <-chan struct{} // closed when the watch ends
	index   int             // of the source in the reconciler
	reports chan<- report
}

// send passes a report on, unless the watch ends first.
func (s reportSink) send(r report) {
	select {
	case s.reports <- r:
	case <-s.done:
	}
}

// Snapshot implements ephemeral.Sink.
func (s reportSink) Snapshot(version uint64, entries []reconcile.Entry) {
	s.send(func(r *reconcile.Reconciler, now time.Duration) { r.Snapshot(now, s.index, version, entries) })
}

// Delta implements ephemeral.Sink.
func (s reportSink) Delta(version uint64, entries []reconcile.Entry) {
	s.send(func(r *reconcile.Reconciler, now time.Duration) { r.Delta(now, s.index, version, entries) })
}

// SourceUnavailable implements ephemeral.Sink.
func (s reportSink) SourceUnavailable(reason string) {
	s.send(func(r *reconcile.Reconciler, now time.Duration) { r.SourceUnavailable(now, s.index, reason) })
}
