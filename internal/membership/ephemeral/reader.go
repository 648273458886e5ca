package ephemeral

import (
	"context"
	"errors"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/membership/zkconn"
)

const (
	// maxParallelReads is how many nodes are read at a time: a directory of 2,000 takes a
	// hundred round trips, not 2,000.
	maxParallelReads = 20

	// minListInterval is the least time between two readings of the directory, whose
	// answer has all names: a node that flaps must not have them sent with each change.
	minListInterval = 50 * time.Millisecond

	// readRetryDelay is the delay after a reading that failed while the session stands.
	readRetryDelay = 200 * time.Millisecond
)

// reader reads the client's directory over one connection.
type reader struct {
	*Client
	sink   Sink
	conn   *zkconn.Conn
	events *eventQueue

	synced   bool      // the complete directory was read over this connection
	listedAt time.Time // when the directory was last listed
}

// run reads what is new until the connection or ctx ends.
func (r *reader) run(ctx context.Context) {
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.events.wake:
		case <-retry:
		}
		retry = nil
		pending := r.events.take()
		if pending.disconnected {
			return
		}
		if !pending.hasSession {
			continue
		}
		if delay := r.read(pending); delay > 0 {
			retry = time.After(delay)
		}
	}
}

// read reads what is new. It returns after which delay it is to be called again although
// no event comes, 0 for never.
func (r *reader) read(pending pendingEvents) time.Duration {
	if !r.synced {
		return r.readAll()
	}
	return r.readChanges(pending)
}

// readAll reads the complete directory and reports it as a snapshot.
func (r *reader) readAll() time.Duration {
	if err := r.conn.Authenticate(); err != nil {
		return r.readFailed(err, nil, false)
	}
	names, version, err := r.listDirectory()
	if err != nil {
		return r.readFailed(err, nil, false)
	}
	before := r.listed
	r.listed = map[string]bool{}
	entries, err := r.readNodes(names)
	if err != nil {
		r.listed = before
		return r.readFailed(err, nil, false)
	}
	r.synced, r.version = true, version
	r.sink.Snapshot(r.version, entries)
	return 0
}

// readChanges reads what watches have reported, and reports what changed.
func (r *reader) readChanges(pending pendingEvents) time.Duration {
	var removed []reconcile.Entry
	var changed []string
	for name, event := range pending.nodes {
		if event != zk.EventNodeDeleted {
			changed = append(changed, name)
			continue
		}
		delete(r.rejected, name)
		removed = r.appendRemoved(removed, name)
	}
	r.report(removed) // before anything that takes a round trip
	if err := r.readAndReport(changed); err != nil {
		return r.readFailed(err, pending.nodes, pending.directory)
	}
	if !pending.directory {
		return 0
	}
	if delay := time.Until(r.listedAt.Add(minListInterval)); delay > 0 {
		r.events.requeue(nil, true)
		return delay
	}
	if err := r.refreshDirectory(); err != nil {
		return r.readFailed(err, nil, true)
	}
	return 0
}

// readFailed requeues what could not be read, and returns the delay until the next attempt.
// It logs the failure, unless the connection has ended, which is an event of its own.
func (r *reader) readFailed(err error, nodes map[string]zk.EventType, directory bool) time.Duration {
	if !zkconn.IsDisconnect(err) {
		r.opts.Log.Warn("ephemeral directory read failed", "path", r.opts.Path, "err", err, "retry_delay", readRetryDelay)
	}
	r.events.requeue(nodes, directory)
	return readRetryDelay
}

// listDirectory reads the names of the nodes and the directory's version, and sets the
// directory's watch. A directory that does not exist is watched for, and has none.
func (r *reader) listDirectory() (names []string, version uint64, err error) {
	r.listedAt = time.Now()
	for {
		names, stat, _, err := r.conn.ChildrenW(r.opts.Path)
		if err == nil {
			return names, uint64(stat.Pzxid), nil
		}
		if !errors.Is(err, zk.ErrNoNode) {
			return nil, 0, err
		}
		exists, _, _, err := r.conn.ExistsW(r.opts.Path)
		if err != nil {
			return nil, 0, err
		}
		if !exists {
			return nil, r.version, nil
		}
	}
}

// refreshDirectory lists the directory again and reads the nodes that are new. A node that
// is missing has ended, in case its own watch has not reported that.
func (r *reader) refreshDirectory() error {
	names, version, err := r.listDirectory()
	if err != nil {
		return err
	}
	r.version = version
	exists := make(map[string]bool, len(names))
	var added []string
	for _, name := range names {
		exists[name] = true
		if _, rejected := r.rejected[name]; !rejected && !r.listed[name] {
			added = append(added, name)
		}
	}
	var removed []reconcile.Entry
	for name := range r.listed {
		if !exists[name] {
			removed = r.appendRemoved(removed, name)
		}
	}
	for name := range r.rejected {
		if !exists[name] {
			delete(r.rejected, name)
		}
	}
	r.report(removed)
	return r.readAndReport(added)
}

// readAndReport reads nodes and reports what changed, also if some could not be read.
func (r *reader) readAndReport(names []string) error {
	entries, err := r.readNodes(names)
	r.report(entries)
	return err
}

// report reports changes, if there are any.
func (r *reader) report(entries []reconcile.Entry) {
	if len(entries) > 0 {
		r.sink.Delta(r.version, entries)
	}
}

// nodeReading is the result of reading one node.
type nodeReading struct {
	data []byte
	err  error
}

// fetchNodes reads the data of nodes and sets their watches. The result has the order of
// the names.
func (r *reader) fetchNodes(names []string) []nodeReading {
	readings := make([]nodeReading, len(names))
	indexes := make(chan int, len(names))
	for i := range names {
		indexes <- i
	}
	close(indexes)
	var workers sync.WaitGroup
	for range min(maxParallelReads, len(names)) {
		workers.Go(func() {
			for i := range indexes {
				data, _, _, err := r.conn.GetW(path.Join(r.opts.Path, names[i]))
				readings[i] = nodeReading{data, err}
			}
		})
	}
	workers.Wait()
	return readings
}

// readNodes reads nodes, sets their watches and returns what is to be reported of them.
// Invalid data is logged once for each fault, ends its own endpoint and leaves the others
// alone. The error is that of a node that could not be read.
func (r *reader) readNodes(names []string) (entries []reconcile.Entry, err error) {
	for i, reading := range r.fetchNodes(names) {
		name := names[i]
		switch {
		case errors.Is(reading.err, zk.ErrNoNode):
			delete(r.rejected, name)
			entries = r.appendRemoved(entries, name)
			continue
		case reading.err != nil:
			err = reading.err
			continue
		}
		entry, invalid := Parse(name, reading.data, r.opts.Rules)
		if invalid != nil {
			r.reject(name, invalid)
			entries = r.appendRemoved(entries, name)
			continue
		}
		delete(r.rejected, name)
		r.listed[name] = true
		entries = append(entries, entry)
	}
	return entries, err
}

// reject records that a node's data is invalid, and logs that if the reason is new.
func (r *reader) reject(name string, invalid error) {
	reason := invalid.Error()
	if r.rejected[name] == reason {
		return
	}
	r.rejected[name] = reason
	r.opts.Log.Warn("ephemeral node rejected, invalid data", "node", path.Join(r.opts.Path, name),
		"err", strings.TrimSpace(reason))
}

// appendRemoved appends the end of an endpoint, if the node was listed as one.
func (r *reader) appendRemoved(entries []reconcile.Entry, name string) []reconcile.Entry {
	if !r.listed[name] {
		return entries
	}
	delete(r.listed, name)
	return append(entries, reconcile.Entry{Host: engine.Host{Name: name, State: balancer.Removed}})
}
