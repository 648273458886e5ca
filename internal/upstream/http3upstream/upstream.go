// Package http3upstream sends requests to endpoints over HTTP/3 (RFC 9114): one QUIC
// connection for each life of an endpoint, many streams on one. It keeps connections
// itself: quic-go's Transport may send a request again on another one.
package http3upstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/speaks"
)

const (
	responseTimeout = 100 * time.Millisecond // from an answer's head to its last byte, as over HTTP/1.1
	// An endpoint that answers on UDP may take no new streams. A request waits so long for
	// one, and then goes elsewhere: it was not sent.
	streamTimeout = 100 * time.Millisecond
	// A path that carries nothing any more is given up after this; pings show sooner that
	// it lives.
	idleTimeout = 5 * time.Second
)

// A Securer says how endpoints are verified, and when a handshake may begin.
type Securer interface {
	// Turn waits until a handshake with a target may begin. Its error is attempt.ErrFull
	// where none may in time.
	Turn(ctx context.Context, t *engine.Target) error
	// QUIC returns the configuration of one handshake, and what must be called with its end:
	// that returns until when the connection may carry new requests. usable is never called
	// by two at once, and not used after an error.
	QUIC(t *engine.Target) (config *tls.Config, end func(tls.ConnectionState, error) (usable func(now time.Time) bool), err error)
	// Retire follows the end of a target's life.
	Retire(t *engine.Target)
}

// Options say how many connections may be held, and for how long.
type Options struct {
	Secure      Securer
	DialTimeout time.Duration
	Idle        time.Duration // after which a connection without requests is closed
	Connections int           // at most
	Fields      []string      // of load reports, in the order of the settings

	// OnProtocolResult, where set, is told how the protocol fared at a target, each time that a
	// connection or a stream was wanted there. It must not call back.
	OnProtocolResult func(t *engine.Target, how speaks.Result)
}

// Upstream sends requests to endpoints. Make one with New.
type Upstream struct {
	options   Options
	transport *quic.Transport

	mu    sync.Mutex
	conns map[*engine.Target]*conn
	open  int
}

// conn is one connection, perhaps not there yet. The fields below ready are set before
// it is closed.
type conn struct {
	target *engine.Target
	ready  chan struct{}
	quic   *quic.Conn
	client *http3.ClientConn
	usable func(now time.Time) bool // keys and trust allow new requests; called under Upstream.mu
	err    error

	// Under Upstream.mu.
	inFlight int // requests on it, those that wait for it included
	lastUsed time.Time
	draining bool // nothing new goes on it
	closed   bool
}

// New returns an upstream with a socket of its own and no connection.
func New(o Options) (*Upstream, error) {
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	return &Upstream{options: o, transport: &quic.Transport{Conn: socket}, conns: map[*engine.Target]*conn{}}, nil
}

// Close ends all connections and the socket.
func (u *Upstream) Close() error {
	return errors.Join(u.transport.Close(), u.transport.Conn.Close())
}

// NewCarrier returns a carrier for one request.
func (u *Upstream) NewCarrier(m *engine.Message) engine.Carrier {
	return attempt.NewCarrier(u.attempt, m)
}

// Probe asks an endpoint in a goroutine of its own.
func (u *Upstream) Probe(ctx context.Context, t *engine.Target, told func(engine.Result)) {
	go func() { told(attempt.Probe(ctx, u.attempt, t, u.options.Fields)) }()
}

// Warm opens the connection to a target, and does not wait for it. No request does: where
// turns for handshakes are few, it is put off.
func (u *Upstream) Warm(t *engine.Target) {
	go func() {
		ctx, cancel := context.WithTimeout(attempt.ForProbe(context.Background()), u.options.DialTimeout)
		defer cancel()
		c, err := u.acquire(ctx, t)
		switch {
		case err == nil:
			u.release(c)
			u.reportResult(t, speaks.Established)
		case errors.Is(err, attempt.ErrFull):
			u.reportResult(t, speaks.Deferred)
		case errors.Is(err, attempt.ErrClosed):
			u.reportResult(t, speaks.Failed) // no dial was begun that would tell
		}
	}()
}

func (u *Upstream) reportResult(t *engine.Target, how speaks.Result) {
	if u.options.OnProtocolResult != nil {
		u.options.OnProtocolResult(t, how)
	}
}

// Retire has a target's connection end once its requests have.
func (u *Upstream) Retire(t *engine.Target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.conns[t]; c != nil {
		u.drainLocked(c)
	}
	u.options.Secure.Retire(t)
}

// Prune ends connections that have been without requests for too long, or are broken.
func (u *Upstream) Prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		if c.inFlight == 0 && (time.Since(c.lastUsed) >= u.options.Idle || c.isBroken()) {
			u.drainLocked(c)
		}
	}
}

// isBroken says that a connection is there no more. One that is not ready yet is not broken.
func (c *conn) isBroken() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.quic.Context().Err() != nil
	default:
		return false
	}
}

// isReady says that a connection's handshake is done.
func (c *conn) isReady() bool {
	select {
	case <-c.ready:
		return c.err == nil
	default:
		return false
	}
}

// drainLocked lets nothing new go on a connection, and closes it once nothing is on it. It holds
// u.mu.
func (u *Upstream) drainLocked(c *conn) {
	if !c.draining {
		c.draining = true
		if u.conns[c.target] == c {
			delete(u.conns, c.target)
		}
	}
	if c.inFlight == 0 && !c.closed {
		c.closed = true
		u.open--
		if c.quic != nil {
			go func(connection *quic.Conn) {
				_ = connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
			}(c.quic)
		}
	}
}

// acquire returns the connection to a target, counted as used: release must follow.
func (u *Upstream) acquire(ctx context.Context, t *engine.Target) (*conn, error) {
	u.mu.Lock()
	if t.Closed() {
		u.mu.Unlock()
		return nil, attempt.ErrClosed
	}
	c := u.conns[t]
	// Whether keys and trust still allow a connection is asked here and not in Prune, which
	// runs on the engine's goroutine: after a change of keys a chain is verified.
	if c != nil && (c.isBroken() || c.isReady() && !c.usable(time.Now())) {
		u.drainLocked(c)
		c = nil
	}
	if c == nil {
		if u.open >= u.options.Connections {
			u.mu.Unlock()
			return nil, attempt.ErrFull
		}
		c = &conn{target: t, ready: make(chan struct{})}
		u.conns[t] = c
		u.open++
		go u.dial(c, attempt.IsProbe(ctx))
	}
	c.inFlight++
	u.mu.Unlock()
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

// dial opens a connection: for all requests that wait for it, so by none's context.
func (u *Upstream) dial(c *conn, probe bool) {
	ctx, cancel := context.WithTimeout(context.Background(), u.options.DialTimeout)
	defer cancel()
	if probe {
		ctx = attempt.ForProbe(ctx)
	}
	defer close(c.ready)
	c.err = u.connect(ctx, c)
	switch {
	case c.err == nil:
		u.reportResult(c.target, speaks.Established)
	case !errors.Is(c.err, attempt.ErrFull): // that no handshake may begin says nothing of the endpoint
		u.reportResult(c.target, speaks.Failed)
	}
}

// connect does the handshake.
func (u *Upstream) connect(ctx context.Context, c *conn) error {
	to, err := net.ResolveUDPAddr("udp", c.target.Address)
	if err != nil {
		return err
	}
	if err := u.options.Secure.Turn(ctx, c.target); err != nil {
		return err
	}
	config, end, err := u.options.Secure.QUIC(c.target)
	if err != nil {
		return err
	}
	c.quic, err = u.transport.Dial(ctx, to, http3.ConfigureTLSConfig(config), &quic.Config{HandshakeIdleTimeout: u.options.DialTimeout,
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: idleTimeout / 3, MaxIncomingStreams: -1})
	if err != nil {
		end(tls.ConnectionState{}, err)
		return err
	}
	c.usable = end(c.quic.ConnectionState().TLS, nil)
	c.client = (&http3.Transport{DisableCompression: true}).NewClientConn(c.quic)
	return nil
}

func (u *Upstream) release(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.inFlight--
	c.lastUsed = time.Now()
	if c.draining || c.isBroken() {
		u.drainLocked(c)
	}
}

// attempt sends a request once and tells what came of it. It claims that the request
// never ran only where no stream was there for it, or the endpoint rejected it unseen
// (RFC 9114, section 8.1: H3_REQUEST_REJECTED); in doubt it may have run: an endpoint may
// begin with a request whose end has not come.
func (u *Upstream) attempt(ctx context.Context, t *engine.Target, m *engine.Message) engine.Result {
	c, err := u.acquire(attempt.SendContext(ctx), t)
	if err != nil {
		return engine.Result{Status: attempt.UnsentStatus(ctx, err)}
	}
	defer u.release(c)
	if t.Closed() || attempt.CheckBeforeWrite(ctx) != nil { // told draining meanwhile, or nobody waits: nothing new may go there
		return engine.Result{Status: balancer.NotSent}
	}
	start := time.Now()
	response, left, err := exchange(ctx, c.client, t, m)
	if err != nil && !left {
		if ctx.Err() == nil { // no stream, or the endpoint is going: the next request dials anew
			u.mu.Lock()
			u.drainLocked(c)
			u.mu.Unlock()
			u.reportResult(t, speaks.Failed)
		}
		return engine.Result{Status: attempt.UnsentStatus(ctx, err)}
	}
	took := time.Since(start)
	var refused *http3.Error
	if errors.As(err, &refused) && refused.Remote && refused.ErrorCode == http3.ErrCodeRequestRejected {
		return engine.Result{Status: balancer.Full, Duration: took}
	} else if err != nil {
		return engine.Result{Status: attempt.InterruptedStatus(ctx), Duration: took}
	}
	return attempt.ResponseResult(u.options.Fields, response, took)
}

// exchange sends one request on a stream of its own and reads the whole answer. left says
// that a stream was there for it, and so that it may have left. ClientConn's RoundTrip
// uses this connection alone, once.
func exchange(ctx context.Context, client *http3.ClientConn, t *engine.Target, m *engine.Message) (answer *attempt.Response, left bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var opened atomic.Bool
	wait := time.AfterFunc(streamTimeout, func() {
		if !opened.Load() {
			cancel()
		}
	})
	defer wait.Stop()
	open := func() { opened.Store(true) }
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { open() }, WroteHeaders: open,
		WroteRequest: func(httptrace.WroteRequestInfo) { open() }})
	request := (&http.Request{Method: m.Method, Host: m.Host, Header: attempt.RequestHeader(ctx, m), ContentLength: int64(len(m.Body)),
		URL: &url.URL{Scheme: "https", Host: t.Address, Path: m.URL.Path, RawPath: m.URL.RawPath, RawQuery: m.URL.RawQuery}}).WithContext(ctx)
	if len(m.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		return nil, opened.Load(), err
	}
	defer response.Body.Close()
	// An answer that has begun and stalls would hold its request until the client's time
	// is up.
	rest := time.AfterFunc(responseTimeout, cancel)
	defer rest.Stop()
	body, err := attempt.ReadBody(response.Body)
	if err != nil {
		return nil, true, err
	}
	return &attempt.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, true, nil
}
