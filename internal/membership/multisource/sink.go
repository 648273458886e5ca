package multisource

import (
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/membership/reconcile"
)

// report applies one call of a sink method to the reconciler. It is called on the goroutine that
// owns the reconciler.
type report func(reconciler *reconcile.Reconciler, now time.Duration)

// reportSink passes one feeder's reports to the goroutine that owns the reconciler. It
// implements ephemeral.Sink.
type reportSink struct {
	done    <-chan struct{} // closed when the watch ends
	index   int             // of the source in the reconciler
	reports chan<- report
}

// send queues a report. It returns without queueing if the watch ends first.
func (s reportSink) send(r report) {
	select {
	case s.reports <- r:
	case <-s.done:
	}
}

// Snapshot implements ephemeral.Sink.
func (s reportSink) Snapshot(version uint64, hosts []engine.Host) {
	s.send(func(reconciler *reconcile.Reconciler, now time.Duration) {
		reconciler.Snapshot(now, s.index, version, hosts)
	})
}

// Delta implements ephemeral.Sink.
func (s reportSink) Delta(version uint64, hosts []engine.Host) {
	s.send(func(reconciler *reconcile.Reconciler, now time.Duration) {
		reconciler.Delta(now, s.index, version, hosts)
	})
}

// SourceUnavailable implements ephemeral.Sink.
func (s reportSink) SourceUnavailable(reason string) {
	s.send(func(reconciler *reconcile.Reconciler, now time.Duration) {
		reconciler.SourceUnavailable(now, s.index, reason)
	})
}
