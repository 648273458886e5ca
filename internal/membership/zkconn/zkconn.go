// Package zkconn opens sessions with a coordination service that uses the ZooKeeper protocol. It
// wraps the public client library and adds what its users have in common: authentication once
// for each connection, a reader of the library's event channel, and log lines at debug level.
package zkconn

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/go-zookeeper/zk"
)

// Options are the service's addresses and the library's settings.
type Options struct {
	Servers          []string // host:port
	SessionTimeout   time.Duration
	Digest           string         // user:password, "" for none
	OnEvent          func(zk.Event) // called on a goroutine of the library
	Dialer           zk.Dialer      // nil for the library's own
	MaxResponseBytes int            // 0 for the library's default
	Log              *slog.Logger
}

// Conn is a connection of the library. The caller of Open must call Close.
type Conn struct {
	*zk.Conn
	digest        string
	authenticated bool
	eventsEnded   chan struct{} // closed after the library has closed its event channel
}

// Open begins to connect and returns without waiting for the connection. Until Close, the library
// connects and reconnects on its own goroutines.
func Open(options Options) (*Conn, error) {
	noOption := func(*zk.Conn) {}
	withDialer := noOption
	if options.Dialer != nil {
		withDialer = zk.WithDialer(options.Dialer)
	}
	withMaxResponse := noOption
	if options.MaxResponseBytes > 0 {
		withMaxResponse = zk.WithMaxBufferSize(options.MaxResponseBytes)
	}
	conn, events, err := zk.Connect(
		options.Servers,
		options.SessionTimeout,
		zk.WithLogger(debugLogger{options.Log}),
		zk.WithLogInfo(false),
		zk.WithEventCallback(options.OnEvent),
		withDialer,
		withMaxResponse,
	)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		Conn:        conn,
		digest:      options.Digest,
		eventsEnded: make(chan struct{}),
	}
	go c.discardEvents(events)
	return c, nil
}

// discardEvents receives from the event channel until the library closes it. The callback has
// already handled each event, but the library requires that the channel is read.
func (c *Conn) discardEvents(events <-chan zk.Event) {
	defer close(c.eventsEnded)
	for range events {
	}
}

// Close ends the session and waits for the goroutine that Open started.
func (c *Conn) Close() {
	c.Conn.Close()
	<-c.eventsEnded
}

// Authenticate sends the digest, if there is one that the service has not accepted yet. It is
// not safe for concurrent use.
func (c *Conn) Authenticate() error {
	if c.digest == "" || c.authenticated {
		return nil
	}
	if err := c.AddAuth("digest", []byte(c.digest)); err != nil {
		return err
	}
	c.authenticated = true
	return nil
}

// IsDisconnect reports whether err is due to the end of a connection or session, which the
// library also reports by an event.
func IsDisconnect(err error) bool {
	return errors.Is(err, zk.ErrConnectionClosed) || errors.Is(err, zk.ErrSessionExpired)
}

// debugLogger logs the library's lines at debug level: they only help to find faults of the
// library itself.
type debugLogger struct{ log *slog.Logger }

// Printf implements zk.Logger.
func (l debugLogger) Printf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }
