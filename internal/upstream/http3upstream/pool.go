package http3upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/protocol"
)

// idleTimeout is how long a connection may receive no packets before it is closed as broken.
// Keep-alive packets, sent at a third of this interval, show that the network path works.
const idleTimeout = 5 * time.Second

// conn is a connection, which may still be being dialled.
type conn struct {
	target *engine.Target

	// ready is closed once the dial has ended. The next four fields are set before that and not
	// modified afterwards.
	ready  chan struct{}
	quic   *quic.Conn
	client *http3.ClientConn
	usable func(now time.Time) bool // keys and trust allow new requests; called under Upstream.mu
	err    error                    // of the dial

	// Guarded by Upstream.mu.
	inFlight int // requests on the connection, including those that wait for it
	lastUsed time.Time
	draining bool // accepts no new requests
	closed   bool
}

// isBroken reports whether a connection could not be established, or has ended. One that is still
// being dialled is not broken.
func (c *conn) isBroken() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.quic.Context().Err() != nil
	default:
		return false
	}
}

// isReady reports whether a connection's handshake has succeeded.
func (c *conn) isReady() bool {
	select {
	case <-c.ready:
		return c.err == nil
	default:
		return false
	}
}

// Retire drains a target's connection: it is closed once its requests have completed.
func (u *Upstream) Retire(t *engine.Target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.conns[t]; c != nil {
		u.drainLocked(c)
	}
	u.options.Secure.Retire(t)
}

// Prune closes connections that have had no requests for too long, or are broken.
func (u *Upstream) Prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		if c.inFlight == 0 && (time.Since(c.lastUsed) >= u.options.Idle || c.isBroken()) {
			u.drainLocked(c)
		}
	}
}

// drainLocked stops new requests on a connection, and closes it once it has none in flight. The
// caller holds u.mu.
func (u *Upstream) drainLocked(c *conn) {
	if !c.draining {
		c.draining = true
		if u.conns[c.target] == c {
			delete(u.conns, c.target)
		}
	}
	if c.inFlight > 0 || c.closed {
		return
	}
	c.closed = true
	u.open--
	if c.quic == nil || !u.trackGoroutineLocked() {
		return // no connection was established, or it ends with the transport
	}
	go func() {
		defer u.running.Done()
		_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}()
}

// abandon drains a connection that could not open a stream, and reports the failure.
func (u *Upstream) abandon(c *conn) {
	u.mu.Lock()
	u.drainLocked(c)
	u.mu.Unlock()
	u.reportResult(c.target, protocol.Failed)
}

// acquire returns the connection to a target with one more request in flight: release must be
// called afterwards. It waits until the connection is established, but not beyond ctx.
func (u *Upstream) acquire(ctx context.Context, t *engine.Target) (*conn, error) {
	c, err := u.reserve(t, attempt.IsProbe(ctx))
	if err != nil {
		return nil, err
	}
	select {
	case <-c.ready:
	case <-ctx.Done():
		u.release(c)
		return nil, ctx.Err()
	}
	if c.err != nil {
		u.release(c)
		return nil, c.err
	}
	return c, nil
}

// reserve returns the connection to a target with one more request in flight. It starts a dial if
// there is no connection.
func (u *Upstream) reserve(t *engine.Target, probe bool) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.Closed() {
		return nil, attempt.ErrClosed
	}
	c := u.conns[t]
	// usable is called here and not in Prune: after a change of keys it verifies a certificate
	// chain, which takes too long on the engine's goroutine, where Prune runs.
	if c != nil && (c.isBroken() || c.isReady() && !c.usable(time.Now())) {
		u.drainLocked(c)
		c = nil
	}
	if c == nil {
		if u.open >= u.options.Connections {
			return nil, attempt.ErrFull
		}
		c = &conn{target: t, ready: make(chan struct{})}
		u.conns[t] = c
		u.open++
		go u.dial(c, probe)
	}
	c.inFlight++
	return c, nil
}

// release ends one request's use of a connection.
func (u *Upstream) release(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.inFlight--
	c.lastUsed = time.Now()
	if c.draining || c.isBroken() {
		u.drainLocked(c)
	}
}

// dial establishes a connection and reports the result. All requests that wait for the connection
// share the dial, so it does not end with the context of one of them.
func (u *Upstream) dial(c *conn, probe bool) {
	ctx, cancel := context.WithTimeout(u.ctx, u.options.DialTimeout)
	defer cancel()
	if probe {
		ctx = attempt.ForProbe(ctx)
	}
	// Resolving a name may take long, so Close does not wait for that, only for the handshake.
	address, err := net.ResolveUDPAddr("udp", c.target.Address)
	if u.trackGoroutine() {
		defer u.running.Done()
	} else if err == nil {
		err = net.ErrClosed
	}
	if err == nil {
		err = u.connect(ctx, c, address)
	}
	defer close(c.ready)
	c.err = err
	switch {
	case c.err == nil:
		u.reportResult(c.target, protocol.Established)
	case !errors.Is(c.err, attempt.ErrFull): // the rate limit says nothing about the endpoint
		u.reportResult(c.target, protocol.Failed)
	}
}

// connect performs the handshake with a connection's target at a resolved address.
func (u *Upstream) connect(ctx context.Context, c *conn, address *net.UDPAddr) error {
	if err := u.options.Secure.AwaitTurn(ctx, c.target); err != nil {
		return err
	}
	config, end, err := u.options.Secure.QUIC(c.target)
	if err != nil {
		return err
	}
	c.quic, err = u.transport.Dial(ctx, address, http3.ConfigureTLSConfig(config), &quic.Config{
		HandshakeIdleTimeout: u.options.DialTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      idleTimeout / 3,
		MaxIncomingStreams:   -1, // none allowed
	})
	if err != nil {
		end(tls.ConnectionState{}, err)
		return err
	}
	c.usable = end(c.quic.ConnectionState().TLS, nil)
	c.client = (&http3.Transport{DisableCompression: true}).NewClientConn(c.quic)
	return nil
}
