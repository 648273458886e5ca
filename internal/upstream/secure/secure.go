// Package secure encrypts connections to servers and verifies who is there, for upstreams
// over HTTP/1.1 and HTTP/3. Keys and trust are a keyroom.Room's; when a handshake may begin
// is decided by package handshake. There is no way from here to a connection in plain text:
// what cannot be verified fails before a byte of a request is sent.
package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/keyroom"
	"pinedale/internal/keyroom/judge"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/handshake"
)

const (
	// tellEvery is how often the same fault of the same server is logged: a whole fleet with
	// an expired certificate must not fill a disk with lines.
	tellEvery = time.Minute
	// toldMost bounds what is remembered for that.
	toldMost = 1024
)

// Options are a client's surroundings.
type Options struct {
	Room     *keyroom.Room
	Names    *Names // see Client.Rename
	Budget   handshake.Config
	Sessions int           // that may be resumed, over all servers
	Timeout  time.Duration // of a handshake
	Log      *slog.Logger
	Now      func() time.Time // time.Now unless set
}

// Client secures connections. Make one with New. It is safe for concurrent use.
type Client struct {
	o        Options
	sessions *sessions
	names    atomic.Pointer[Names]

	mu       sync.Mutex
	budget   *handshake.Budget
	told     map[string]time.Time // by server and reason
	counters Counters
}

// Counters are what happened since the start.
type Counters struct {
	Full, Resumed int
	Failed        map[string]int   // by reason: a rule of the judge, or one of reason's words
	Turns         handshake.Counts // of the budget
	Sessions      int              // held
}

// New returns a client, or an error that names what makes no sense.
func New(o Options) (*Client, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sessions < 1 {
		return nil, fmt.Errorf("secure: room for %d sessions", o.Sessions)
	}
	budget, err := handshake.New(o.Budget)
	if err != nil {
		return nil, err
	}
	c := &Client{o: o, sessions: newSessions(o.Sessions), budget: budget, told: map[string]time.Time{}, counters: Counters{Failed: map[string]int{}}}
	c.names.Store(o.Names)
	return c, nil
}

// Rename has servers verified by other names from now on. A connection to a server that goes
// by another name now takes no new requests. Names must not be changed any more.
func (c *Client) Rename(n *Names) { c.names.Store(n) }

// Turn waits until a handshake with a target may begin. It returns an attempt.ErrFull at once
// where none may in time, and ctx's error where ctx ends first.
func (c *Client) Turn(ctx context.Context, t *engine.Target) error {
	// Half of the time is the handshake's own.
	patience, kind := c.o.Timeout/2, handshake.Request
	if until, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Until(until)/2)
	}
	if attempt.IsProbe(ctx) {
		kind = handshake.Background
	}
	now := c.o.Now()
	c.mu.Lock()
	begin, ok := c.budget.Ask(now, t.Address, t.Started(), kind, patience)
	c.mu.Unlock()
	if !ok {
		return fmt.Errorf("%w: no handshake with %s may begin in time", attempt.ErrFull, t.Address)
	}
	wait := begin.Sub(now)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hand is one handshake under way.
type hand struct {
	client   *Client
	target   *engine.Target
	names    *Names
	name     string // that the target must be verified by
	material int
	config   *tls.Config
	shown    []*x509.Certificate // by the target
}

// begin prepares a handshake with a target for some protocol (ALPN, RFC 7301).
func (c *Client) begin(t *engine.Target, protocol string) (*hand, error) {
	h := &hand{client: c, target: t, material: c.o.Room.Number(), names: c.names.Load()}
	var err error
	if h.name, err = h.names.Of(t.Name); err != nil {
		return nil, h.failed(err)
	}
	if h.config, err = c.o.Room.Client(h.name); err != nil {
		return nil, h.failed(err)
	}
	h.config.NextProtos = []string{protocol}
	h.config.ClientSessionCache = c.sessions.of(t, protocol, h.material)
	verify := h.config.VerifyConnection
	h.config.VerifyConnection = func(state tls.ConnectionState) error {
		h.shown = state.PeerCertificates
		return verify(state)
	}
	return h, nil
}

// failed counts and logs a handshake that has failed, and returns its error. The session that
// it may have resumed is void: the next handshake is a full one.
func (h *hand) failed(err error) error {
	c := h.client
	c.sessions.void(h.target)
	why := reason(err)
	now := c.o.Now()
	key := h.target.Address + " " + why
	c.mu.Lock()
	c.counters.Failed[why]++
	last, known := c.told[key]
	tell := !known || now.Sub(last) >= tellEvery || now.Before(last)
	if tell {
		if len(c.told) >= toldMost {
			clear(c.told)
		}
		c.told[key] = now
	}
	c.mu.Unlock()
	if tell {
		args := []any{"server", h.target.Name, "address", h.target.Address, "expected", h.name, "reason", why, "error", err}
		if len(h.shown) > 0 {
			args = append(args, "presented", judge.Shown(h.shown[0]), "issuer", h.shown[0].Issuer.String())
		}
		c.o.Log.Error("no secure connection to a server, nothing was sent there", args...)
	}
	return err
}

// stood counts a handshake that is done, and returns the life of its connection.
func (h *hand) stood(state tls.ConnectionState, keys *keyroom.Life) life {
	c := h.client
	c.mu.Lock()
	if state.DidResume {
		c.counters.Resumed++
	} else {
		c.counters.Full++
	}
	c.mu.Unlock()
	return life{keys, c, h.target.Name, h.name, h.names}
}

// Secure does a handshake over raw. raw is closed where it fails: nothing of a request has
// been sent then.
func (c *Client) Secure(ctx context.Context, t *engine.Target, raw net.Conn) (attempt.Session, error) {
	h, err := c.begin(t, overTCP)
	if err != nil {
		raw.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	encrypted := c.o.Room.Dial(raw, h.config, h.material)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, h.failed(err)
	}
	return &conn{encrypted, h.stood(encrypted.ConnectionState(), encrypted.Life())}, nil
}

// QUIC returns the configuration of one handshake over QUIC, and what must be called with its
// end: it returns how long the connection may carry new requests.
func (c *Client) QUIC(t *engine.Target) (config *tls.Config, end func(tls.ConnectionState, error) (usable func(now time.Time) bool), err error) {
	h, err := c.begin(t, overQUIC)
	if err != nil {
		return nil, nil, err
	}
	return h.config, func(state tls.ConnectionState, err error) func(time.Time) bool {
		if err != nil {
			_ = h.failed(err) // the caller has it
			return nil
		}
		l := h.stood(state, c.o.Room.Life(state, x509.ExtKeyUsageServerAuth, h.material))
		return l.usable
	}, nil
}

// Retire lets go of what is known of a target, whose life is over.
func (c *Client) Retire(t *engine.Target) { c.sessions.void(t) }

// Counters returns them.
func (c *Client) Counters() Counters {
	held := c.sessions.held()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counters
	out.Failed = maps.Clone(out.Failed)
	out.Turns, out.Sessions = c.budget.Counts(), held
	return out
}

// conn is a connection to a server that was verified.
type conn struct {
	*keyroom.Conn
	life life
}

// Usable says whether new requests may go on the connection. It must not be called by two at once.
func (c *conn) Usable(now time.Time) bool { return c.life.usable(now) }

// life is for how long a connection may carry new requests: its keys' life, and as long as
// its server goes by the name that it was verified by.
type life struct {
	*keyroom.Life
	client *Client
	server string
	name   string
	names  *Names // that name was last found under
}

func (l *life) usable(now time.Time) bool {
	if names := l.client.names.Load(); names != l.names {
		if name, err := names.Of(l.server); err != nil || name != l.name {
			return false
		}
		l.names = names
	}
	keep, _, _ := l.At(now)
	return keep
}

// reason names why a handshake has failed, for counters.
//
//	a rule of the judge  the server's certificate will not do
//	silent               no end within its time
//	called off           nobody waits for it any more
//	refused              the server has sent an alert: it may want a certificate
//	not TLS              what answers speaks something else
//	broken               the connection ended
//	other                anything else: a version or protocol that is not shared
func reason(err error) string {
	var fault *judge.Fault
	var remote *net.OpError
	var record tls.RecordHeaderError
	var silent interface{ Timeout() bool }
	switch {
	case errors.As(err, &fault):
		return fault.Rule.String()
	case errors.Is(err, context.Canceled):
		return "called off"
	case errors.As(err, &silent) && silent.Timeout():
		return "silent"
	case errors.As(err, &record):
		return "not TLS"
	case errors.As(err, &remote) && remote.Op == "remote error":
		return "refused"
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &remote):
		return "broken"
	}
	return "other"
}
