// Package zkconn opens sessions with a coordination service that speaks ZooKeeper's
// protocol, by means of the public client library. It adds to the library what both of
// its users need: authentication once a session, an owner for the library's event
// channel, and log lines at debug level.
package zkconn

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/go-zookeeper/zk"
)

// Options are the service's address and the library's settings.
type Options struct {
	Servers        []string // host:port
	SessionTimeout time.Duration
	Digest         string         // user:password, "" for none
	OnEvent        func(zk.Event) // is called on a goroutine of the library
	Dialer         zk.Dialer      // nil for the library's own
	MaxAnswerBytes int            // 0 for the library's default
	Log            *slog.Logger
}

// Conn is the library's connection. Make one with Open, and close it.
type Conn struct {
	*zk.Conn
	digest        string
	authenticated bool
	eventsEnded   chan struct{} // closed once the library's event channel is
}

// Open begins to connect, and returns at once. The library connects, and connects again,
// on goroutines of its own until Close.
func Open(o Options) (*Conn, error) {
	noOption := func(*zk.Conn) {}
	dialer, maxAnswer := noOption, noOption
	if o.Dialer != nil {
		dialer = zk.WithDialer(o.Dialer)
	}
	if o.MaxAnswerBytes > 0 {
		maxAnswer = zk.WithMaxBufferSize(o.MaxAnswerBytes)
	}
	conn, events, err := zk.Connect(o.Servers, o.SessionTimeout,
		zk.WithLogger(debugLogger{o.Log}), zk.WithLogInfo(false), zk.WithEventCallback(o.OnEvent), dialer, maxAnswer)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn, digest: o.Digest, eventsEnded: make(chan struct{})}
	go c.discardEvents(events)
	return c, nil
}

// discardEvents empties the event channel, which the library wants read: the callback has
// had each event.
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

// Authenticate presents the digest, if there is one and the service has not taken it yet.
// It is for one goroutine.
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

// IsDisconnect reports whether a call failed because its connection or session ended. The
// library reports that by an event, too.
func IsDisconnect(err error) bool {
	return errors.Is(err, zk.ErrConnectionClosed) || errors.Is(err, zk.ErrSessionExpired)
}

// debugLogger takes the library's log lines, which matter only when its own faults are
// looked for.
type debugLogger struct{ log *slog.Logger }

// Printf implements zk.Logger.
func (l debugLogger) Printf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }
