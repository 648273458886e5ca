package http3upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/protocol"
)

// A Securer verifies endpoints and decides when a handshake may begin.
type Securer interface {
	// AwaitTurn waits until a handshake with a target may begin. It fails with attempt.ErrFull if
	// the rate limit allows none in time.
	AwaitTurn(ctx context.Context, t *engine.Target) error
	// QUIC returns the TLS configuration of one handshake, and a function that must be called
	// with the handshake's result. After a success that function returns another one, which
	// reports whether the connection may carry new requests at an instant and is not called
	// concurrently.
	QUIC(t *engine.Target) (
		config *tls.Config, end func(tls.ConnectionState, error) (usable func(now time.Time) bool), err error)
	// Retire drops what is cached for a target that was removed.
	Retire(t *engine.Target)
}

// Options configure an Upstream.
type Options struct {
	Secure      Securer
	DialTimeout time.Duration
	Idle        time.Duration // time after which a connection without requests is closed
	Connections int           // limit of open connections, including those being dialled
	Fields      []string      // fields of load reports, in the order of the settings

	// OnProtocolResult, if set, is called with the results of dials and of Preconnect, and with
	// protocol.Failed if a request got no stream. It must not call back into the Upstream.
	OnProtocolResult func(t *engine.Target, result protocol.Result)
}

// Upstream sends requests to endpoints. Create one with New. It is safe for concurrent use.
type Upstream struct {
	options   Options
	transport *quic.Transport
	ctx       context.Context // of handshakes and background work; ends with Close
	cancel    context.CancelFunc
	running   sync.WaitGroup // goroutines that Close waits for

	mu     sync.Mutex
	closed bool                     // Close was called: running must no longer grow
	conns  map[*engine.Target]*conn // connections that accept new requests
	open   int                      // number of connections, including draining ones and those being dialled
}

// New returns an upstream with a socket of its own and no connections.
func New(o Options) (*Upstream, error) {
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Upstream{
		options:   o,
		transport: &quic.Transport{Conn: socket},
		ctx:       ctx,
		cancel:    cancel,
		conns:     map[*engine.Target]*conn{},
	}, nil
}

// Close closes all connections and the socket. It waits for handshakes, load probes and background
// work, which end with the connections, but not for the resolution of a name.
func (u *Upstream) Close() error {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	err := u.transport.Close()
	u.cancel()
	u.running.Wait()
	return errors.Join(err, u.transport.Conn.Close())
}

// trackGoroutine makes Close wait for the calling goroutine, or for one that the caller starts,
// until u.running.Done is called. It returns false if Close was called.
func (u *Upstream) trackGoroutine() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.trackGoroutineLocked()
}

// trackGoroutineLocked is trackGoroutine for a caller that holds u.mu.
func (u *Upstream) trackGoroutineLocked() bool {
	if u.closed {
		return false
	}
	u.running.Add(1)
	return true
}

// NewCarrier returns a carrier for one request.
func (u *Upstream) NewCarrier(m *engine.Message) engine.Carrier {
	return attempt.NewCarrier(u.attempt, m)
}

// Probe sends a health check to an endpoint on a goroutine of its own.
func (u *Upstream) Probe(ctx context.Context, t *engine.Target, completed func(engine.Result)) {
	awaited := u.trackGoroutine()
	go func() {
		if awaited {
			defer u.running.Done()
		}
		completed(attempt.Probe(ctx, u.attempt, t, u.options.Fields))
	}()
}

// Preconnect opens the connection to a target in the background. The handshake rate limit treats it
// as background work, since no request waits for it.
func (u *Upstream) Preconnect(t *engine.Target) {
	if !u.trackGoroutine() {
		return
	}
	go func() {
		defer u.running.Done()
		u.preconnect(t)
	}()
}

// preconnect opens the connection to a target and reports the result, unless dial reports it.
func (u *Upstream) preconnect(t *engine.Target) {
	ctx, cancel := context.WithTimeout(attempt.ForProbe(u.ctx), u.options.DialTimeout)
	defer cancel()
	c, err := u.acquire(ctx, t)
	switch {
	case err == nil:
		u.release(c)
		u.reportResult(t, protocol.Established)
	case errors.Is(err, attempt.ErrFull):
		u.reportResult(t, protocol.Deferred)
	case errors.Is(err, attempt.ErrClosed):
		u.reportResult(t, protocol.Failed) // nothing was dialled
	}
}

// reportResult reports the result of an attempt to use HTTP/3.
func (u *Upstream) reportResult(t *engine.Target, result protocol.Result) {
	if u.options.OnProtocolResult != nil {
		u.options.OnProtocolResult(t, result)
	}
}

// attempt sends a request once.
func (u *Upstream) attempt(ctx context.Context, t *engine.Target, m *engine.Message) engine.Result {
	c, err := u.acquire(attempt.SendContext(ctx), t)
	if err != nil {
		return engine.Result{Status: attempt.UnsentStatus(ctx, err)}
	}
	defer u.release(c)
	// The endpoint may have begun to drain while the connection was dialled.
	if t.Closed() || attempt.CheckBeforeWrite(ctx) != nil {
		return engine.Result{Status: balancer.NotSent}
	}
	start := time.Now()
	response, err := exchange(ctx, c, t, m)
	var unsent *attempt.UnsentError
	if errors.As(err, &unsent) {
		if ctx.Err() == nil {
			u.abandon(c) // no stream available, or GOAWAY: the next request dials again
		}
		return engine.Result{Status: attempt.UnsentStatus(ctx, unsent.Cause)}
	}
	duration := time.Since(start)
	switch {
	case isRejected(err):
		return engine.Result{Status: balancer.Full, Duration: duration}
	case err != nil:
		return engine.Result{Status: attempt.InterruptedStatus(ctx), Duration: duration}
	}
	return attempt.ResponseResult(u.options.Fields, response, duration)
}

// isRejected reports whether the endpoint has rejected a request without processing it.
func isRejected(err error) bool {
	var streamErr *http3.Error
	return errors.As(err, &streamErr) && streamErr.Remote && streamErr.ErrorCode == http3.ErrCodeRequestRejected
}
