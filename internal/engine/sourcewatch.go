package engine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
)

// maxReplacedWatches bounds the watches of replaced sources that may still report a list, and so the
// calls that any number of reloads leaves open.
const maxReplacedWatches = 2

// watchedSource is a source with its watches.
type watchedSource struct {
	Source
	watches sync.WaitGroup // that have not returned yet
}

// sourceWatch is one watch of a source. It runs on a goroutine of its own until its context ends or,
// if lists are polled, until the source's Watch has returned.
type sourceWatch struct {
	number   uint64 // counts the watches of an engine; a later one has a higher number
	ctx      context.Context
	cancel   context.CancelFunc
	replaced atomic.Bool   // the source has been replaced: the next report is the last
	returned chan struct{} // closed once the goroutine has ended
	ended    bool          // further reports are ignored; owned by the engine's goroutine
}

// isRunning reports whether the watch may still report lists. A nil watch is not running.
func (w *sourceWatch) isRunning() bool {
	if w == nil || w.ended {
		return false
	}
	select {
	case <-w.returned:
		return false
	default:
		return true
	}
}

// end ends the watch. It must be called on the engine's goroutine.
func (w *sourceWatch) end() {
	w.ended = true
	w.cancel()
}

// discovery is the state of the source and its watches. It is owned by the engine's goroutine.
//
// A watch is not ended before another one has reported a list: a call that discovery is about to
// answer may be the first to report that an endpoint drains. When the source is replaced, the call
// that is under way is therefore left to finish.
type discovery struct {
	source   *watchedSource // nil if Options.Clock is set and the owner supplies the lists
	version  *uint64        // of the last list of this source, nil before the first
	current  *sourceWatch   // of this source; nil if none has been started or the last one failed
	replaced []*sourceWatch // of earlier sources, oldest first
	started  uint64         // number of watches so far
	applied  uint64         // highest number of a watch that has reported a list
	latest   uint64         // version of the last list of any source
	running  sync.WaitGroup // goroutines of watches and of sources that are being closed
}

// newDiscovery returns the state for a source, which may be nil.
func newDiscovery(source Source) discovery {
	if source == nil {
		return discovery{}
	}
	return discovery{source: &watchedSource{Source: source}}
}

// newWatch makes a watch the current one.
func (d *discovery) newWatch(parent context.Context) *sourceWatch {
	ctx, cancel := context.WithCancel(parent)
	d.started++
	d.current = &sourceWatch{
		number:   d.started,
		ctx:      ctx,
		cancel:   cancel,
		returned: make(chan struct{}),
	}
	return d.current
}

// endCurrent ends the current watch, if there is one.
func (d *discovery) endCurrent() {
	if d.current != nil {
		d.current.end()
		d.current = nil
	}
}

// replace makes next the source. The current watch may report once more. If there are too many
// such watches it is ended instead, since the earlier ones are closer to their answers.
func (d *discovery) replace(next Source) {
	previous, watch := d.source, d.current
	d.source, d.version, d.current = &watchedSource{Source: next}, nil, nil
	d.replaced = slices.DeleteFunc(d.replaced, func(w *sourceWatch) bool { return !w.isRunning() })
	if watch.isRunning() {
		if len(d.replaced) < maxReplacedWatches {
			watch.replaced.Store(true)
			d.replaced = append(d.replaced, watch)
		} else {
			watch.end()
		}
	}
	if previous != nil {
		d.running.Go(func() {
			previous.watches.Wait()
			previous.Close()
		})
	}
}

// accepts reports whether a report of a watch counts: neither has the watch ended, nor has a later
// one reported a list.
func (d *discovery) accepts(w *sourceWatch) bool { return !w.ended && w.number >= d.applied }

// supersede records that a watch has reported a list, and ends the watches before it.
func (d *discovery) supersede(w *sourceWatch) {
	d.applied = max(d.applied, w.number)
	d.replaced = slices.DeleteFunc(d.replaced, func(earlier *sourceWatch) bool {
		if earlier.number >= w.number {
			return false
		}
		earlier.end()
		return true
	})
}
