// Package register keeps a server's own ephemeral node alive in a coordination
// service, and takes it away first when the server drains.
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
)

const (
	// retryGap is the pause after an attempt that failed while the session stands.
	retryGap = 200 * time.Millisecond

	// lookMost is how often the node is looked at, for hands that take it away: a
	// third of a session's time, and every 2 s. A watch would tell sooner, but the
	// library sets watches again in a resumed session unsafely beside its readings.
	lookMost = 2 * time.Second
)

// Options say what to register, and where.
type Options struct {
	Servers []string // host:port, of the coordination service
	Path    string   // of the directory; it is made if it is not there
	Name    string   // of the node: the same for as long as the server exists, restarts included
	Data    ephemeral.Data
	Session time.Duration // after which the node goes if nothing is heard of us
	Digest  string        // user:password that alone may change the node, "" for none
	Log     *slog.Logger
}

// Registrar keeps one node. Make one with New.
type Registrar struct {
	opts Options
	conn *zk.Conn
	wake chan struct{}

	mu       sync.Mutex // held while the node is written
	draining bool
	node     bool // it is there, and ours
}

// New checks the options and returns a registrar that is not connected.
func New(o Options) (*Registrar, error) {
	rules := ephemeral.Rules{Sites: []string{o.Data.Site}, Kinds: []string{o.Data.Kind}}
	data, err := json.Marshal(o.Data)
	if err == nil {
		_, err = ephemeral.Parse(o.Name, data, rules)
	}
	switch {
	case err != nil:
		return nil, err
	case strings.Contains(o.Name, "/"):
		return nil, fmt.Errorf("name: %q has a slash", o.Name)
	case len(o.Servers) == 0:
		return nil, errors.New("servers: none is named")
	case !strings.HasPrefix(o.Path, "/") || path.Clean(o.Path) != o.Path || o.Path == "/":
		return nil, fmt.Errorf("path: %q is not a directory's", o.Path)
	case o.Session <= 0:
		return nil, fmt.Errorf("session: %v is not positive", o.Session)
	}
	return &Registrar{opts: o, wake: make(chan struct{}, 1)}, nil
}

// Run keeps the node until ctx ends; then the session is closed, and the node goes
// with it.
func (r *Registrar) Run(ctx context.Context) error {
	conn, events, err := zk.Connect(r.opts.Servers, r.opts.Session, zk.WithLogger(ephemeral.Quiet{Log: r.opts.Log}), zk.WithLogInfo(false),
		zk.WithEventCallback(r.event))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.conn = conn
	r.mu.Unlock()
	drained := make(chan struct{})
	go func() { // the callback has them all
		for range events {
		}
		close(drained)
	}()
	defer func() {
		conn.Close()
		<-drained
	}()
	authed := false
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-again:
		}
		again = nil
		if conn.State() != zk.StateHasSession {
			continue // the next event tells of it
		}
		if r.opts.Digest != "" && !authed {
			if err := conn.AddAuth("digest", []byte(r.opts.Digest)); err != nil {
				again = time.After(retryGap)
				continue
			}
			authed = true
		}
		if err := r.ensure(); err != nil {
			if !errors.Is(err, zk.ErrConnectionClosed) && !errors.Is(err, zk.ErrSessionExpired) {
				r.opts.Log.Warn("registration", "node", r.path(), "error", err)
			}
			again = time.After(retryGap)
			continue
		}
		again = time.After(min(lookMost, r.opts.Session/3))
	}
}

// event wakes Run: a session has begun, or is resumed.
func (r *Registrar) event(zk.Event) {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Registrar) path() string { return path.Join(r.opts.Path, r.opts.Name) }

func (r *Registrar) acl() []zk.ACL {
	if r.opts.Digest == "" {
		return zk.WorldACL(zk.PermAll)
	}
	return append(zk.AuthACL(zk.PermAll), zk.WorldACL(zk.PermRead)...)
}

// ensure has our node be there, in our session. One of an earlier session of ours is
// replaced, without waiting for that to expire.
func (r *Registrar) ensure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return nil
	}
	data, err := json.Marshal(r.opts.Data)
	if err != nil {
		return err
	}
	for {
		there, stat, err := r.conn.Exists(r.path())
		switch {
		case err != nil:
			return err
		case there && stat.EphemeralOwner == r.conn.SessionID():
			if !r.node {
				r.opts.Log.Info("registration: the node is there", "node", r.path())
			}
			r.node = true
			return nil
		case there:
			old, stat, err := r.conn.Get(r.path())
			if errors.Is(err, zk.ErrNoNode) {
				continue
			} else if err != nil {
				return err
			}
			var d ephemeral.Data
			if json.Unmarshal(old, &d) != nil || d.Address != r.opts.Data.Address {
				return fmt.Errorf("the name is another server's, at %q", d.Address)
			}
			if err := r.conn.Delete(r.path(), stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
				return err
			}
		default:
			r.node = false
			_, err := r.conn.Create(r.path(), data, zk.FlagEphemeral, r.acl())
			if errors.Is(err, zk.ErrNoNode) {
				err = r.directory()
			}
			if err != nil && !errors.Is(err, zk.ErrNodeExists) {
				return err
			}
		}
	}
}

// directory makes the directory, and those above it.
func (r *Registrar) directory() error {
	at := ""
	for name := range strings.SplitSeq(strings.TrimPrefix(r.opts.Path, "/"), "/") {
		at += "/" + name
		if _, err := r.conn.Create(at, nil, 0, zk.WorldACL(zk.PermAll)); err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	return nil
}

// Drain marks the node as draining, so that readers know that its end is meant, and
// takes it away. The server should go on serving what still comes for the rule's 2 s.
// Without a connection there is nothing to be taken away: the node goes with the
// session.
func (r *Registrar) Drain() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.conn == nil || r.conn.State() != zk.StateHasSession {
		return errors.New("no connection: the node goes when the session ends")
	}
	d := r.opts.Data
	d.Draining = true
	data, err := json.Marshal(d)
	if err != nil {
		return err
	}
	if _, err := r.conn.Set(r.path(), data, -1); errors.Is(err, zk.ErrNoNode) {
		return nil
	} else if err != nil {
		return err
	}
	if err := r.conn.Delete(r.path(), -1); err != nil && !errors.Is(err, zk.ErrNoNode) {
		return err
	}
	r.opts.Log.Info("registration: the node is taken away", "node", r.path())
	return nil
}

// Registered says whether the node was there and ours when last looked at.
func (r *Registrar) Registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node && !r.draining
}
