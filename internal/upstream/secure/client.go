package secure

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/ctxtime"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/handshake"
)

// Options configure a Client.
type Options struct {
	KeyStore *certstore.Store // own certificate and trusted roots
	Names    *Names           // initial names; see Client.SetNames
	Budget   handshake.Config // rates of handshakes
	Sessions int              // maximum number of cached sessions, over all servers
	Timeout  time.Duration    // of a handshake
	Log      *slog.Logger
	Now      func() time.Time // nil for time.Now
}

// Client performs handshakes with servers. Create one with New. It is safe for concurrent use.
type Client struct {
	options  Options
	sessions *sessionStore
	names    atomic.Pointer[Names]

	mu       sync.Mutex
	budget   *handshake.Budget
	loggedAt map[string]time.Time // time of the last log event of a failure, by address and reason
	counters Counters
}

// Counters count events since the start.
type Counters struct {
	Full, Resumed int              // handshakes that succeeded
	Failed        map[string]int   // handshakes that failed, by the result of failureReason
	Turns         handshake.Counts // results of the rate limit
	Sessions      int              // sessions cached now
}

// New returns a client, or an error if an option is invalid.
func New(o Options) (*Client, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sessions < 1 {
		return nil, fmt.Errorf("secure: session cache capacity must be at least 1, got %d", o.Sessions)
	}
	budget, err := handshake.New(o.Budget)
	if err != nil {
		return nil, err
	}
	c := &Client{
		options:  o,
		sessions: newSessionStore(o.Sessions),
		budget:   budget,
		loggedAt: map[string]time.Time{},
		counters: Counters{Failed: map[string]int{}},
	}
	c.names.Store(o.Names)
	return c, nil
}

// SetNames replaces the names by which servers are verified. An open connection carries no new
// requests once its server's name has changed. n must not be modified afterwards.
func (c *Client) SetNames(n *Names) { c.names.Store(n) }

// AwaitTurn waits until a handshake with a target may begin. It fails at once with attempt.ErrFull
// if the rate limit allows none in time, and with ctx's error if ctx ends first.
func (c *Client) AwaitTurn(ctx context.Context, t *engine.Target) error {
	// Half of the time is reserved for the handshake itself.
	maxWait := c.options.Timeout / 2
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Until(deadline)/2)
	}
	kind := handshake.Request
	if attempt.IsProbe(ctx) {
		kind = handshake.Background
	}
	now := c.options.Now()
	c.mu.Lock()
	begin, ok := c.budget.RequestTurn(now, t.Address, t.Started(), kind, maxWait)
	c.mu.Unlock()
	if !ok {
		return fmt.Errorf("%w: handshake rate limit of %s exceeded", attempt.ErrFull, t.Address)
	}
	if delay := begin.Sub(now); delay > 0 && !ctxtime.Sleep(ctx, delay) {
		return ctx.Err()
	}
	return nil
}

// Retire drops the sessions of a target that was removed.
func (c *Client) Retire(t *engine.Target) { c.sessions.invalidate(t) }

// Counters returns a copy of the counters.
func (c *Client) Counters() Counters {
	sessions := c.sessions.count()
	c.mu.Lock()
	defer c.mu.Unlock()
	counters := c.counters
	counters.Failed = maps.Clone(counters.Failed)
	counters.Turns = c.budget.Counts()
	counters.Sessions = sessions
	return counters
}
