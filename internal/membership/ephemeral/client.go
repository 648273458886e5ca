// Package ephemeral reads membership from the ephemeral nodes of a coordination service that
// uses the ZooKeeper protocol. One directory has one node for each endpoint.
//
// [Client.Feed] opens a session, reads the directory and all nodes, and then reads again what its
// watches report as changed. The calls that read also set the watches, so that no change is missed in
// between. Each connection has its own session and reads everything again. No state survives a
// restart. The goroutine that called Feed owns all state except for the event queue, which the
// client library fills from its own goroutine.
package ephemeral

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/go-zookeeper/zk"

	"pinedale/internal/engine"
	"pinedale/internal/membership/backoff"
	"pinedale/internal/membership/zkconn"
)

const (
	// Bounds of the delay, without jitter, before a new connection.
	initialReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay     = 2 * time.Second

	// maxResponseBytes is ZooKeeper's own limit for a response (jute.maxbuffer).
	maxResponseBytes = 1 << 20
)

// Options are the settings of a client.
type Options struct {
	Servers        []string // host:port, of the coordination service
	Path           string   // of the directory
	SessionTimeout time.Duration
	Digest         string // user:password, "" for none
	Rules          Rules
	Log            *slog.Logger
}

// Sink receives the reports of a source. Its methods may block.
type Sink interface {
	// Snapshot receives the complete list.
	Snapshot(version uint64, hosts []engine.Host)
	// Delta receives the endpoints that changed. Those that were removed have State Removed.
	Delta(version uint64, hosts []engine.Host)
	// SourceUnavailable is called when the source stops reporting. Its next report is a Snapshot.
	SourceUnavailable(reason string)
}

// Client reads one directory.
type Client struct {
	options Options

	// The fields below are kept from one connection to the next. Feed's goroutine owns them.

	listed   map[string]bool   // nodes that were reported as endpoints, by name
	rejected map[string]string // reasons why the data of nodes is invalid, by name
	version  uint64            // of the directory: the zxid (ZooKeeper transaction ID) of its last change
}

// New returns a client that is not connected.
func New(options Options) *Client { return &Client{options: options} }

// Feed reads the directory and reports to sink until ctx ends.
func (c *Client) Feed(ctx context.Context, sink Sink) {
	c.listed = map[string]bool{}
	c.rejected = map[string]string{}
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

// readConnection reads over one connection until the connection or ctx ends. synced reports
// whether it has read the complete directory.
func (c *Client) readConnection(ctx context.Context, sink Sink) (synced bool, err error) {
	events := newEventQueue(c.options.Path, c.options.Log)
	conn, err := zkconn.Open(zkconn.Options{
		Servers:          c.options.Servers,
		SessionTimeout:   c.options.SessionTimeout,
		Digest:           c.options.Digest,
		OnEvent:          events.push,
		Dialer:           dialOnce(),
		MaxResponseBytes: maxResponseBytes,
		Log:              c.options.Log,
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

// errConnectionEnded is returned to the library when it dials again after its first connection.
var errConnectionEnded = errors.New("connection ended: each session uses a single connection")

// dialOnce returns a dialer that connects only once. Otherwise the library would reconnect by
// itself, resume its session and restore its watches. A reader does not need that: it has no
// ephemeral nodes, and it reads everything again in any case. A new session also succeeds where
// resuming one would not: a service that was restored to an older zxid rejects clients that have
// seen a newer one.
func dialOnce() zk.Dialer {
	connected := false // the library dials from one goroutine
	return func(network, address string, timeout time.Duration) (net.Conn, error) {
		if connected {
			return nil, errConnectionEnded
		}
		conn, err := net.DialTimeout(network, address, timeout)
		connected = err == nil
		return conn, err
	}
}
