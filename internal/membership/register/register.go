// Package register keeps a server's own ephemeral node in a coordination service, so that
// readers of package ephemeral list the server. When the server drains it marks the node
// first and then removes it.
//
// The goroutine that called [Registrar.Run] owns the session and resumes it after a lost
// connection. The node itself is the only state; it ends with the session, and a restarted
// server replaces its predecessor's.
package register

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"

	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/zkconn"
)

const (
	// retryDelay is the delay after an attempt that failed while the session stands.
	retryDelay = 200 * time.Millisecond

	// The node is checked for removal by others every maxCheckInterval, or each
	// 1/checksPerSession of the session timeout if that is shorter. A watch would report
	// it sooner, but the library sets watches again in a resumed session unsafely beside
	// its readings.
	maxCheckInterval = 2 * time.Second
	checksPerSession = 3
)

// errNotConnected is returned by Drain if there is no session to remove the node with.
var errNotConnected = errors.New("no connection: the node goes when the session ends")

// Options are what to register, and where.
type Options struct {
	Servers        []string // host:port, of the coordination service
	Path           string   // of the directory; it is created if it does not exist
	Name           string   // of the node: the same for as long as the server exists, restarts included
	Data           ephemeral.Data
	SessionTimeout time.Duration // the session timeout, after which the node ends if the server is unreachable
	Digest         string        // user:password that alone may change the node, "" for none
	Log            *slog.Logger
}

// validate checks each option, and the data by the rules that readers apply.
func (o *Options) validate() error {
	data, err := json.Marshal(o.Data)
	if err != nil {
		return err
	}
	rules := ephemeral.Rules{Sites: []string{o.Data.Site}, Kinds: []string{o.Data.Kind}}
	if _, err := ephemeral.Parse(o.Name, data, rules); err != nil {
		return err
	}
	switch {
	case strings.Contains(o.Name, "/"):
		return fmt.Errorf("name: %q has a slash", o.Name)
	case len(o.Servers) == 0:
		return errors.New("servers: none is named")
	case !strings.HasPrefix(o.Path, "/") || path.Clean(o.Path) != o.Path || o.Path == "/":
		return fmt.Errorf("path: %q is not a directory's", o.Path)
	case o.SessionTimeout <= 0:
		return fmt.Errorf("session: %v is not positive", o.SessionTimeout)
	}
	return nil
}

// Registrar keeps one node. Make one with New.
type Registrar struct {
	opts     Options
	nodePath string
	wake     chan struct{} // has an element if the session changed since it was read

	mu         sync.Mutex // held while the node is written
	conn       *zkconn.Conn
	draining   bool
	registered bool // the node exists, and is of our session
}

// New checks the options and returns a registrar that is not connected.
func New(o Options) (*Registrar, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Registrar{opts: o, nodePath: path.Join(o.Path, o.Name), wake: make(chan struct{}, 1)}, nil
}

// Run keeps the node until ctx ends; then it closes the session, and the node ends with
// it.
func (r *Registrar) Run(ctx context.Context) error {
	conn, err := zkconn.Open(zkconn.Options{
		Servers:        r.opts.Servers,
		SessionTimeout: r.opts.SessionTimeout,
		Digest:         r.opts.Digest,
		OnEvent:        r.onEvent,
		Log:            r.opts.Log,
	})
	if err != nil {
		return err
	}
	defer conn.Close()
	r.mu.Lock()
	r.conn = conn
	r.mu.Unlock()
	var next <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-next:
		}
		next = nil
		if conn.State() != zk.StateHasSession {
			continue // an event follows
		}
		next = time.After(r.check(conn))
	}
}

// onEvent wakes Run: a session has begun, or is resumed.
func (r *Registrar) onEvent(zk.Event) {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// check makes sure that the node exists, and returns the delay until the next check.
func (r *Registrar) check(conn *zkconn.Conn) time.Duration {
	if err := conn.Authenticate(); err != nil {
		return retryDelay
	}
	if err := r.ensureNode(); err != nil {
		if !zkconn.IsDisconnect(err) {
			r.opts.Log.Warn("registration failed", "node", r.nodePath, "err", err, "retry_delay", retryDelay)
		}
		return retryDelay
	}
	return min(maxCheckInterval, r.opts.SessionTimeout/checksPerSession)
}

// Registered reports whether the node existed, and was ours, at the last check.
func (r *Registrar) Registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered && !r.draining
}

// Drain marks the node as draining, so that readers know that its end is intended, and
// removes it. The server should go on serving for 2 s, until all readers have noticed.
// Without a session nothing can be removed: the node ends with the session.
func (r *Registrar) Drain() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.conn == nil || r.conn.State() != zk.StateHasSession {
		return errNotConnected
	}
	marked := r.opts.Data
	marked.Draining = true
	data, err := json.Marshal(marked)
	if err != nil {
		return err
	}
	_, err = r.conn.Set(r.nodePath, data, anyVersion)
	if errors.Is(err, zk.ErrNoNode) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := r.conn.Delete(r.nodePath, anyVersion); err != nil && !errors.Is(err, zk.ErrNoNode) {
		return err
	}
	r.opts.Log.Info("node removed", "node", r.nodePath)
	return nil
}
