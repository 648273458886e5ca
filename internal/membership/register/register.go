// Package register maintains the ephemeral node of a server in a coordination service, so that
// readers of package ephemeral list the server. When the server drains, it first marks the node
// and then removes it.
//
// The goroutine that called [Registrar.Run] owns the session, which the client library resumes
// after a lost connection. The only persistent state is the node itself. It ends with the session,
// and a restarted server replaces the node of the previous process.
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
	// retryDelay is the delay after an attempt that failed although the session exists.
	retryDelay = 200 * time.Millisecond

	// The registrar checks every maxCheckInterval whether others have removed the node, or
	// checksPerSession times in a session timeout if that is more often. A watch would report
	// a removal sooner, but in a resumed session the library's restoring of watches races with
	// the library's own reads.
	maxCheckInterval = 2 * time.Second
	checksPerSession = 3
)

// ErrNotConnected is returned by Drain if there is no session in which to remove the node.
var ErrNotConnected = errors.New("not connected to the coordination service: the node is removed when its session ends")

// OptionError reports an option that is invalid.
type OptionError struct {
	Option string
	Reason string
}

// Error names the option and the reason.
func (e *OptionError) Error() string { return e.Option + ": " + e.Reason }

// Options are the settings of a registrar.
type Options struct {
	Servers        []string // host:port, of the coordination service
	Path           string   // of the directory; it is created if it does not exist
	Name           string   // of the node: the same in all processes of the server
	Data           ephemeral.Data
	SessionTimeout time.Duration // how long the node of an unreachable server remains
	Digest         string        // user:password required to change the node, "" for none
	Log            *slog.Logger
}

// validate returns an error for the first invalid option. It checks the data as readers do, except
// that any site and any kind are valid.
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
		return &OptionError{"name", fmt.Sprintf("%q contains a slash", o.Name)}
	case len(o.Servers) == 0:
		return &OptionError{"servers", "at least one server is required"}
	case !strings.HasPrefix(o.Path, "/") || path.Clean(o.Path) != o.Path || o.Path == "/":
		return &OptionError{"path", fmt.Sprintf("%q is not the absolute path of a directory", o.Path)}
	case o.SessionTimeout <= 0:
		return &OptionError{"session", fmt.Sprintf("%v is not positive", o.SessionTimeout)}
	}
	return nil
}

// Registrar maintains one node. Its methods are safe for concurrent use, except that Run must be
// called only once.
type Registrar struct {
	options  Options
	nodePath string
	wake     chan struct{} // has an element if the session has changed since the last receive

	mu         sync.Mutex // held while the node is written
	conn       *zkconn.Conn
	draining   bool
	registered bool // the node exists in the current session
}

// New validates the options and returns a registrar that is not connected.
func New(options Options) (*Registrar, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	return &Registrar{
		options:  options,
		nodePath: path.Join(options.Path, options.Name),
		wake:     make(chan struct{}, 1),
	}, nil
}

// Run maintains the node until ctx ends. Then it closes the session, which removes the node.
func (r *Registrar) Run(ctx context.Context) error {
	conn, err := zkconn.Open(zkconn.Options{
		Servers:        r.options.Servers,
		SessionTimeout: r.options.SessionTimeout,
		Digest:         r.options.Digest,
		OnEvent:        r.onEvent,
		Log:            r.options.Log,
	})
	if err != nil {
		return err
	}
	defer conn.Close()
	r.mu.Lock()
	r.conn = conn
	r.mu.Unlock()
	var nextCheck <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-nextCheck:
		}
		nextCheck = nil
		if conn.State() != zk.StateHasSession {
			continue // onEvent wakes Run when there is a session
		}
		nextCheck = time.After(r.check(conn))
	}
}

// onEvent wakes Run after a change of the session.
func (r *Registrar) onEvent(zk.Event) {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// check ensures that the node exists, and returns the delay until the next check.
func (r *Registrar) check(conn *zkconn.Conn) time.Duration {
	if err := conn.Authenticate(); err != nil {
		return retryDelay
	}
	if err := r.ensureNode(); err != nil {
		if !zkconn.IsDisconnect(err) {
			r.options.Log.Warn("registration failed", "node", r.nodePath, "err", err, "retry_delay", retryDelay)
		}
		return retryDelay
	}
	return min(maxCheckInterval, r.options.SessionTimeout/checksPerSession)
}

// Registered reports whether the node existed in this registrar's session at the last check.
func (r *Registrar) Registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered && !r.draining
}

// Drain marks the node as draining, so that readers know that its removal is intended, and
// removes it. The server should continue to serve for 2 s, until all readers have noticed.
// Without a session it returns ErrNotConnected.
func (r *Registrar) Drain() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.conn == nil || r.conn.State() != zk.StateHasSession {
		return ErrNotConnected
	}
	marked := r.options.Data
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
	r.options.Log.Info("node removed", "node", r.nodePath)
	return nil
}
