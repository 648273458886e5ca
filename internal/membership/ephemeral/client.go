// Package ephemeral reads membership from the ephemeral nodes of a coordination
// service that speaks ZooKeeper's protocol: one directory, one node an endpoint.
package ephemeral

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/reconcile"
)

const (
	// readers read nodes side by side: a directory of 2,000 takes a hundred round
	// trips, not 2,000.
	readers = 20

	// childGap is the least time between two readings of the directory, whose answer
	// has all names: a node that flaps must not have them sent with each change.
	childGap = 50 * time.Millisecond

	// retryGap is the pause after a reading that failed while the session stands.
	retryGap = 200 * time.Millisecond

	// againLeast and againMost bound the pause before a new connection.
	againLeast = 50 * time.Millisecond
	againMost  = 2 * time.Second

	// answerMost is ZooKeeper's own limit of an answer (jute.maxbuffer).
	answerMost = 1 << 20
)

// Options say where the nodes are.
type Options struct {
	Servers []string // host:port
	Path    string   // of the directory
	Session time.Duration
	Digest  string // user:password, "" for none
	Rules   Rules
	Log     *slog.Logger
}

// Sink takes what a client reads. Its methods may block.
type Sink interface {
	Snapshot(version uint64, entries []reconcile.Entry)
	Delta(version uint64, entries []reconcile.Entry)
	SourceUnavailable(reason string)
}

// Client reads one directory. Make one with New.
type Client struct {
	opts Options

	mu      sync.Mutex
	nodes   map[string]zk.EventType // of which a watch has told, by name
	dir     bool                    // the directory's watch has told
	session bool                    // there is one
	lost    bool                    // the connection has ended
	wake    chan struct{}

	// Below: Feed's goroutine alone.
	conn    *zk.Conn
	authed  bool
	known   map[string]reconcile.Entry // listed, by name
	bad     map[string]string          // nodes whose data is bad, and why
	version uint64                     // of the directory: the zxid of its last change
	live    bool                       // all was read through this connection
	readAt  time.Time
}

// New returns a client that is not connected.
func New(o Options) *Client { return &Client{opts: o, wake: make(chan struct{}, 1)} }

// Quiet is the library's logger: its lines are of use only to who looks for its faults.
type Quiet struct{ Log *slog.Logger }

// Printf logs a line for debugging.
func (q Quiet) Printf(format string, args ...any) { q.Log.Debug(fmt.Sprintf(format, args...)) }

// Feed reads until ctx ends.
func (c *Client) Feed(ctx context.Context, sink Sink) {
	c.known, c.bad = map[string]reconcile.Entry{}, map[string]string{}
	pause := againLeast
	for ctx.Err() == nil {
		was, err := c.connection(ctx, sink)
		if err != nil {
			sink.SourceUnavailable(err.Error())
		}
		if was {
			pause = againLeast
		}
		// Later each time, and never in step with others.
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, againMost)
	}
}

// once is a dialer that connects one time. The library would connect again by itself,
// keep its session and set its watches again; but a reader owns nothing that a session
// keeps, and all is read anew in any case. A new session sees what a resumed one may
// not: a service that was restored to an older zxid turns away whoever has seen a
// newer one.
func once() zk.Dialer {
	used := false // the library dials from one goroutine
	return func(network, address string, timeout time.Duration) (net.Conn, error) {
		if used {
			return nil, errUsed
		}
		conn, err := net.DialTimeout(network, address, timeout)
		used = err == nil
		return conn, err
	}
}

var errUsed = errors.New("the connection has ended")

// connection reads through one connection until that or ctx ends, and says whether a
// list could be read.
func (c *Client) connection(ctx context.Context, sink Sink) (was bool, err error) {
	c.mu.Lock()
	c.nodes, c.dir, c.session, c.lost = map[string]zk.EventType{}, false, false, false
	c.mu.Unlock()
	c.authed = false
	conn, events, err := zk.Connect(c.opts.Servers, c.opts.Session, zk.WithLogger(Quiet{c.opts.Log}), zk.WithLogInfo(false),
		zk.WithMaxBufferSize(answerMost), zk.WithEventCallback(c.event), zk.WithDialer(once()))
	if err != nil {
		return false, err
	}
	c.conn = conn
	drained := make(chan struct{})
	go func() { // the callback has them all
		for range events {
		}
		close(drained)
	}()
	defer func() {
		if was = c.live; c.live {
			c.live = false
			if ctx.Err() == nil {
				sink.SourceUnavailable("no connection")
			}
		}
		conn.Close()
		<-drained
	}()
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-again:
		}
		again = nil
		wait, lost := c.work(sink)
		if lost {
			return
		}
		if wait > 0 {
			again = time.After(wait)
		}
	}
}

// event notes what the library tells, in its own goroutine, and wakes Feed.
func (c *Client) event(e zk.Event) {
	c.mu.Lock()
	switch {
	case e.Type == zk.EventSession:
		switch e.State {
		case zk.StateHasSession:
			c.session = true
		case zk.StateDisconnected, zk.StateExpired:
			c.lost = true
		case zk.StateAuthFailed:
			c.opts.Log.Error("ephemeral nodes: the service does not take our digest", "path", c.opts.Path)
			c.lost = true
		}
	case e.Type == zk.EventNotWatching: // with its session, which is told as such
	case e.Path == c.opts.Path:
		c.dir = true
	default:
		c.nodes[path.Base(e.Path)] = e.Type
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// work looks at all that was told since, and returns when it wants to be called
// again though nothing is (0: not), and whether the connection has ended.
func (c *Client) work(sink Sink) (wait time.Duration, lost bool) {
	c.mu.Lock()
	nodes, dir := c.nodes, c.dir
	c.nodes, c.dir = map[string]zk.EventType{}, false
	session, lost := c.session, c.lost
	c.mu.Unlock()
	if lost || !session {
		return 0, lost
	}
	if !c.live {
		return c.all(sink), false
	}
	return c.changes(sink, nodes, dir), false
}

// changes reads what watches have told of.
func (c *Client) changes(sink Sink, nodes map[string]zk.EventType, dir bool) time.Duration {
	var gone []reconcile.Entry
	var changed []string
	for name, what := range nodes {
		if _, is := c.known[name]; what == zk.EventNodeDeleted {
			delete(c.bad, name)
			if is {
				gone = append(gone, goneEntry(name))
				delete(c.known, name)
			}
		} else {
			changed = append(changed, name)
		}
	}
	if len(gone) > 0 { // before anything that takes a round trip
		sink.Delta(c.version, gone)
	}
	if len(changed) > 0 {
		if err := c.readNodes(sink, changed, false); err != nil {
			return c.failed(err, nodes, dir)
		}
	}
	if dir {
		if wait := time.Until(c.readAt.Add(childGap)); wait > 0 {
			c.mu.Lock()
			c.dir = true
			c.mu.Unlock()
			return wait
		}
		if err := c.children(sink); err != nil {
			return c.failed(err, nil, true)
		}
	}
	return 0
}

// failed has what could not be read read again. A lost connection is told by an event
// of its own.
func (c *Client) failed(err error, nodes map[string]zk.EventType, dir bool) time.Duration {
	if !errors.Is(err, zk.ErrConnectionClosed) && !errors.Is(err, zk.ErrSessionExpired) {
		c.opts.Log.Warn("ephemeral nodes: reading failed", "path", c.opts.Path, "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, what := range nodes {
		if _, newer := c.nodes[name]; !newer {
			c.nodes[name] = what
		}
	}
	c.dir = c.dir || dir
	return retryGap
}

func goneEntry(name string) reconcile.Entry {
	return reconcile.Entry{Host: engine.Host{Name: name, State: balancer.Removed}}
}

// all reads the whole directory. Watches are set with the readings, so that no change
// falls between.
func (c *Client) all(sink Sink) time.Duration {
	if c.opts.Digest != "" && !c.authed {
		if err := c.conn.AddAuth("digest", []byte(c.opts.Digest)); err != nil {
			return c.failed(err, nil, false)
		}
		c.authed = true
	}
	names, stat, err := c.list()
	if err != nil {
		return c.failed(err, nil, false)
	}
	before := c.known
	c.known = map[string]reconcile.Entry{}
	collect := &collected{}
	if err := c.readNodes(collect, names, true); err != nil {
		c.known = before
		return c.failed(err, nil, false)
	}
	c.live, c.version = true, uint64(stat.Pzxid)
	sink.Snapshot(c.version, collect.entries)
	return 0
}

// collected takes entries that are to be part of a whole list.
type collected struct{ entries []reconcile.Entry }

func (x *collected) Snapshot(uint64, []reconcile.Entry) {}
func (x *collected) SourceUnavailable(string)           {}
func (x *collected) Delta(_ uint64, entries []reconcile.Entry) {
	x.entries = append(x.entries, entries...)
}

// list reads the names, and sets the directory's watch. A directory that is not
// there is watched for, and has none.
func (c *Client) list() ([]string, *zk.Stat, error) {
	c.readAt = time.Now()
	for {
		names, stat, _, err := c.conn.ChildrenW(c.opts.Path)
		if !errors.Is(err, zk.ErrNoNode) {
			return names, stat, err
		}
		there, _, _, err := c.conn.ExistsW(c.opts.Path)
		if err != nil {
			return nil, nil, err
		}
		if !there {
			return nil, &zk.Stat{Pzxid: int64(c.version)}, nil
		}
	}
}

// children reads the names again and what is new. What is there no more is gone,
// should its own watch not have told.
func (c *Client) children(sink Sink) error {
	names, stat, err := c.list()
	if err != nil {
		return err
	}
	c.version = uint64(stat.Pzxid)
	there := make(map[string]bool, len(names))
	var fresh []string
	for _, name := range names {
		there[name] = true
		if _, is := c.known[name]; !is && c.bad[name] == "" {
			fresh = append(fresh, name)
		}
	}
	var gone []reconcile.Entry
	for name := range c.known {
		if !there[name] {
			gone = append(gone, goneEntry(name))
			delete(c.known, name)
		}
	}
	for name := range c.bad {
		if !there[name] {
			delete(c.bad, name)
		}
	}
	if len(gone) > 0 {
		sink.Delta(c.version, gone)
	}
	return c.readNodes(sink, fresh, false)
}

// readNodes reads nodes' data, sets their watches, and tells what is good of it. Bad
// data is one line, once for each fault, and leaves the others alone; what was known
// of its node ends with it. With whole, nothing is told unless all could be read.
func (c *Client) readNodes(sink Sink, names []string, whole bool) error {
	type reading struct {
		name string
		data []byte
		err  error
	}
	work, done := make(chan reading, len(names)), make(chan reading, len(names))
	for _, name := range names {
		work <- reading{name: name}
	}
	close(work)
	for range min(readers, len(names)) {
		go func() {
			for r := range work {
				r.data, _, _, r.err = c.conn.GetW(path.Join(c.opts.Path, r.name))
				done <- r
			}
		}()
	}
	var entries []reconcile.Entry
	var failed error
	for range names {
		r := <-done
		_, was := c.known[r.name]
		switch {
		case errors.Is(r.err, zk.ErrNoNode):
			delete(c.bad, r.name)
			if was {
				entries = append(entries, goneEntry(r.name))
				delete(c.known, r.name)
			}
			continue
		case r.err != nil:
			failed = r.err
			continue
		}
		e, err := Parse(r.name, r.data, c.opts.Rules)
		if err != nil {
			if why := err.Error(); c.bad[r.name] != why {
				c.bad[r.name] = why
				c.opts.Log.Warn("ephemeral nodes: bad data, the node is passed over", "node", path.Join(c.opts.Path, r.name), "error", strings.TrimSpace(why))
			}
			if was {
				entries = append(entries, goneEntry(r.name))
				delete(c.known, r.name)
			}
			continue
		}
		delete(c.bad, r.name)
		c.known[r.name] = e
		entries = append(entries, e)
	}
	if len(entries) > 0 && (failed == nil || !whole) {
		sink.Delta(c.version, entries)
	}
	return failed
}
