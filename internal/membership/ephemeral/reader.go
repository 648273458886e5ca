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
	"pinedale/internal/membership/zkconn"
)

const (
	// maxParallelReads is how many nodes are read concurrently: a directory of 2,000 nodes
	// takes 100 round trips instead of 2,000.
	maxParallelReads = 20

	// minListInterval is the minimum time between two reads of the directory. The response
	// contains all names, so a node that flaps must not cause a read with each change.
	minListInterval = 50 * time.Millisecond

	// readRetryDelay is the delay after a read that failed although the session exists.
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

// run reads the directory and its changes until the connection or ctx ends.
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

// read reads the complete directory if that has not been done yet, and otherwise the pending
// changes. It returns the delay after which it must be called again even without an event, 0 for
// none.
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
	previous := r.listed
	r.listed = map[string]bool{}
	hosts, err := r.readNodes(names)
	if err != nil {
		r.listed = previous
		return r.readFailed(err, nil, false)
	}
	r.synced = true
	r.version = version
	r.sink.Snapshot(r.version, hosts)
	return 0
}

// readChanges reads the nodes and the directory whose watches fired, and reports the changes.
func (r *reader) readChanges(pending pendingEvents) time.Duration {
	var removed []engine.Host
	var changed []string
	for name, event := range pending.nodes {
		if event != zk.EventNodeDeleted {
			changed = append(changed, name)
			continue
		}
		delete(r.rejected, name)
		removed = r.appendRemoved(removed, name)
	}
	r.report(removed) // without waiting for the reads below
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

// readFailed requeues the events of nodes, and that of the directory if directory is set, and returns
// the delay until the next attempt. It logs the error unless the connection has ended, which is
// reported by an event.
func (r *reader) readFailed(err error, nodes map[string]zk.EventType, directory bool) time.Duration {
	if !zkconn.IsDisconnect(err) {
		r.options.Log.Warn(
			"ephemeral directory read failed",
			"path", r.options.Path,
			"err", err,
			"retry_delay", readRetryDelay,
		)
	}
	r.events.requeue(nodes, directory)
	return readRetryDelay
}

// listDirectory reads the names of the nodes and the directory's version, and sets a watch on
// the directory. If the directory does not exist, it watches for its creation and returns no names.
func (r *reader) listDirectory() (names []string, version uint64, err error) {
	r.listedAt = time.Now()
	for {
		names, stat, _, err := r.conn.ChildrenW(r.options.Path)
		if err == nil {
			return names, uint64(stat.Pzxid), nil
		}
		if !errors.Is(err, zk.ErrNoNode) {
			return nil, 0, err
		}
		exists, _, _, err := r.conn.ExistsW(r.options.Path)
		if err != nil {
			return nil, 0, err
		}
		if !exists {
			return nil, r.version, nil
		}
	}
}

// refreshDirectory lists the directory again and reads its new nodes. It reports nodes that are
// missing as removed, in case their own watches have not reported the removal.
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
	var removed []engine.Host
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

// readAndReport reads nodes and reports their endpoints, even if the read of some nodes failed.
func (r *reader) readAndReport(names []string) error {
	hosts, err := r.readNodes(names)
	r.report(hosts)
	return err
}

// report reports changes, if there are any.
func (r *reader) report(hosts []engine.Host) {
	if len(hosts) > 0 {
		r.sink.Delta(r.version, hosts)
	}
}

// readResult is the result of reading one node.
type readResult struct {
	data []byte
	err  error
}

// fetchNodes reads the data of nodes and sets their watches. The results are in the order of
// names.
func (r *reader) fetchNodes(names []string) []readResult {
	results := make([]readResult, len(names))
	indexes := make(chan int, len(names))
	for i := range names {
		indexes <- i
	}
	close(indexes)
	var workers sync.WaitGroup
	for range min(maxParallelReads, len(names)) {
		workers.Go(func() {
			for i := range indexes {
				data, _, _, err := r.conn.GetW(path.Join(r.options.Path, names[i]))
				results[i] = readResult{data: data, err: err}
			}
		})
	}
	workers.Wait()
	return results
}

// readNodes reads nodes, sets their watches and returns the endpoints to report. A node with
// invalid data is logged once for each reason and its endpoint is reported as removed; other
// nodes are not affected. The error is that of the last node whose read failed.
func (r *reader) readNodes(names []string) (hosts []engine.Host, err error) {
	for i, result := range r.fetchNodes(names) {
		name := names[i]
		switch {
		case errors.Is(result.err, zk.ErrNoNode):
			delete(r.rejected, name)
			hosts = r.appendRemoved(hosts, name)
		case result.err != nil:
			err = result.err
		default:
			hosts = r.appendParsed(hosts, name, result.data)
		}
	}
	return hosts, err
}

// appendParsed appends the endpoint that a node's data describes, or the removal of its endpoint if
// the data is invalid.
func (r *reader) appendParsed(hosts []engine.Host, name string, data []byte) []engine.Host {
	host, err := Parse(name, data, r.options.Rules)
	if err != nil {
		r.reject(name, err)
		return r.appendRemoved(hosts, name)
	}
	delete(r.rejected, name)
	r.listed[name] = true
	return append(hosts, host)
}

// reject records that a node's data is invalid, and logs the reason if it is new.
func (r *reader) reject(name string, invalid error) {
	reason := invalid.Error()
	if r.rejected[name] == reason {
		return
	}
	r.rejected[name] = reason
	r.options.Log.Warn(
		"ephemeral node rejected, invalid data",
		"node", path.Join(r.options.Path, name),
		"err", strings.TrimSpace(reason),
	)
}

// appendRemoved appends the removal of a node's endpoint if the endpoint was reported.
func (r *reader) appendRemoved(hosts []engine.Host, name string) []engine.Host {
	if !r.listed[name] {
		return hosts
	}
	delete(r.listed, name)
	return append(hosts, engine.Host{Name: name, State: balancer.Removed})
}
