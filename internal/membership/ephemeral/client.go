// Package ephemeral reads membership from the ephemeral nodes of a coordination service
// that speaks ZooKeeper's protocol: one directory, with one node for each endpoint.
//
// [Client.Feed] opens a session, reads the directory and all nodes, and then what its
// watches report. Watches are set by the readings themselves, so that no change falls
// between. Each connection is a session of its own and reads everything anew; nothing is
// kept over a restart. The goroutine that called Feed owns all state but the event queue,
// which the client library fills from its own goroutine.
package ephemeral

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/go-zookeeper/zk"

	"pinedale/internal/membership/backoff"
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/membership/zkconn"
)

const (
	// The delay before a new connection.
	initialReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay     = 2 * time.Second

	// maxAnswerBytes is ZooKeeper's own limit of an answer (jute.maxbuffer).
	maxAnswerBytes = 1 << 20
)

// Options are where the nodes are, and what their data must keep to.
type Options struct {
	Servers        []string      // host:port, of the coordination service
	Path           string        // of the directory
	SessionTimeout time.Duration // the session timeout
	Digest         string        // user:password, "" for none
	Rules          Rules
	Log            *slog.Logger
}

// Sink takes what a source reports. Its methods may block.
type Sink interface {
	// Snapshot takes the complete list.
	Snapshot(version uint64, entries []reconcile.Entry)
	// Delta takes the entries that changed; those that ended have State Removed.
	Delta(version uint64, entries []reconcile.Entry)
	// SourceUnavailable takes that nothing is reported until the next Snapshot.
	SourceUnavailable(reason string)
}

// Client reads one directory. Make one with New.
type Client struct {
	opts Options

	// The fields below outlive a connection and belong to Feed's goroutine.

	listed   map[string]bool   // the nodes that were reported as endpoints
	rejected map[string]string // the nodes whose data is invalid, and why
	version  uint64            // of the directory: the zxid of its last change
}

// New returns a client that is not connected.
func New(o Options) *Client { return &Client{opts: o} }

// Feed reads the directory and reports to sink until ctx ends.
func (c *Client) Feed(ctx context.Context, sink Sink) {
	c.listed, c.rejected = map[string]bool{}, map[string]string{}
	reconnect := backoff.New(initialReconnectDelay, maxReconnectDelay)
	for ctx.Err() == nil {
		synced, err := c.readConnection(ctx, sink)
		if err != nil {
			sink.SourceUnavailable(err.Error())
		}
		if synced {
			reconnect.Reset()
		}
		reconnect.Wait(ctx)
	}
}

// readConnection reads over one connection until that or ctx ends. synced is whether
// it could read the complete directory.
func (c *Client) readConnection(ctx context.Context, sink Sink) (synced bool, err error) {
	events := newEventQueue(c.opts.Path, c.opts.Log)
	conn, err := zkconn.Open(zkconn.Options{
		Servers:        c.opts.Servers,
		SessionTimeout: c.opts.SessionTimeout,
		Digest:         c.opts.Digest,
		OnEvent:        events.push,
		Dialer:         dialOnce(),
		MaxAnswerBytes: maxAnswerBytes,
		Log:            c.opts.Log,
	})
	if err != nil {
		return false, err
	}
	defer conn.Close()
	r := &reader{Client: c, sink: sink, conn: conn, events: events}
	r.run(ctx)
	if r.synced && ctx.Err() == nil {
		sink.SourceUnavailable("no connection")
	}
	return r.synced, nil
}

// errConnectionUsed keeps the library from connecting a second time.
var errConnectionUsed = errors.New("the connection has ended")

// dialOnce returns a dialer that connects one time. The library would reconnect by itself,
// resume its session and set its watches again. But a reader owns nothing that a session
// keeps, and reads everything anew in any case. A new session also sees what a resumed one
// may not: a service that was restored to an older zxid rejects clients that have seen a
// newer one.
func dialOnce() zk.Dialer {
	used := false // the library dials from one goroutine
	return func(network, address string, timeout time.Duration) (net.Conn, error) {
		if used {
			return nil, errConnectionUsed
		}
		conn, err := net.DialTimeout(network, address, timeout)
		used = err == nil
		return conn, err
	}
}
