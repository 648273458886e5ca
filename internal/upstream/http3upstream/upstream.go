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
	answerRest = 100 * time.Millisecond // from an answer's head to its last byte, as over HTTP/1.1
	// An endpoint that answers on UDP may take no new streams. A request waits so long for
	// one, and then goes elsewhere: it was not sent.
	streamWait = 100 * time.Millisecond
	// A path that carries nothing any more is given up after this; pings show sooner that
	// it lives.
	silentMost = 5 * time.Second
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

	// Told, where set, is told how the protocol fared at a target, each time that a
	// connection or a stream was wanted there. It must not call back.
	Told func(t *engine.Target, how speaks.Tried)
}

// Upstream sends requests to endpoints. Make one with New.
type Upstream struct {
	opts      Options
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
	out    int // requests on it, those that wait for it included
	last   time.Time
	over   bool // nothing new goes on it
	closed bool
}

// New returns an upstream with a socket of its own and no connection.
func New(o Options) (*Upstream, error) {
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	return &Upstream{opts: o, transport: &quic.Transport{Conn: socket}, conns: map[*engine.Target]*conn{}}, nil
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
	go func() { told(attempt.Probe(ctx, u.attempt, t, u.opts.Fields)) }()
}

// Warm opens the connection to a target, and does not wait for it. No request does: where
// turns for handshakes are few, it is put off.
func (u *Upstream) Warm(t *engine.Target) {
	go func() {
		ctx, cancel := context.WithTimeout(attempt.ForProbe(context.Background()), u.opts.DialTimeout)
		defer cancel()
		c, err := u.take(ctx, t)
		switch {
		case err == nil:
			u.release(c)
			u.tell(t, speaks.Stands)
		case errors.Is(err, attempt.ErrFull):
			u.tell(t, speaks.Put)
		case errors.Is(err, attempt.ErrClosed):
			u.tell(t, speaks.Fails) // no dial was begun that would tell
		}
	}()
}

func (u *Upstream) tell(t *engine.Target, how speaks.Tried) {
	if u.opts.Told != nil {
		u.opts.Told(t, how)
	}
}

// Retire has a target's connection end once its requests have.
func (u *Upstream) Retire(t *engine.Target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.conns[t]; c != nil {
		u.end(c)
	}
	u.opts.Secure.Retire(t)
}

// Prune ends connections that have been without requests for too long, or are broken.
func (u *Upstream) Prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		if c.out == 0 && (time.Since(c.last) >= u.opts.Idle || c.broken()) {
			u.end(c)
		}
	}
}

// broken says that a connection is there no more. One that is not ready yet is not broken.
func (c *conn) broken() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.quic.Context().Err() != nil
	default:
		return false
	}
}

// stands says that a connection's handshake is done.
func (c *conn) stands() bool {
	select {
	case <-c.ready:
		return c.err == nil
	default:
		return false
	}
}

// end lets nothing new go on a connection, and closes it once nothing is on it. It holds
// u.mu.
func (u *Upstream) end(c *conn) {
	if !c.over {
		c.over = true
		if u.conns[c.target] == c {
			delete(u.conns, c.target)
		}
	}
	if c.out == 0 && !c.closed {
		c.closed = true
		u.open--
		if c.quic != nil {
			go func(connection *quic.Conn) {
				_ = connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
			}(c.quic)
		}
	}
}

// take returns the connection to a target, counted as used: release must follow.
func (u *Upstream) take(ctx context.Context, t *engine.Target) (*conn, error) {
	u.mu.Lock()
	if t.Closed() {
		u.mu.Unlock()
		return nil, attempt.ErrClosed
	}
	c := u.conns[t]
	// Whether keys and trust still allow a connection is asked here and not in Prune, which
	// runs on the engine's goroutine: after a change of keys a chain is verified.
	if c != nil && (c.broken() || c.stands() && !c.usable(time.Now())) {
		u.end(c)
		c = nil
	}
	if c == nil {
		if u.open >= u.opts.Connections {
			u.mu.Unlock()
			return nil, attempt.ErrFull
		}
		c = &conn{target: t, ready: make(chan struct{})}
		u.conns[t] = c
		u.open++
		go u.dial(c, attempt.IsProbe(ctx))
	}
	c.out++
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
	ctx, cancel := context.WithTimeout(context.Background(), u.opts.DialTimeout)
	defer cancel()
	if probe {
		ctx = attempt.ForProbe(ctx)
	}
	defer close(c.ready)
	c.err = u.connect(ctx, c)
	switch {
	case c.err == nil:
		u.tell(c.target, speaks.Stands)
	case !errors.Is(c.err, attempt.ErrFull): // that no handshake may begin says nothing of the endpoint
		u.tell(c.target, speaks.Fails)
	}
}

// connect does the handshake.
func (u *Upstream) connect(ctx context.Context, c *conn) error {
	to, err := net.ResolveUDPAddr("udp", c.target.Address)
	if err != nil {
		return err
	}
	if err := u.opts.Secure.Turn(ctx, c.target); err != nil {
		return err
	}
	config, end, err := u.opts.Secure.QUIC(c.target)
	if err != nil {
		return err
	}
	c.quic, err = u.transport.Dial(ctx, to, http3.ConfigureTLSConfig(config), &quic.Config{HandshakeIdleTimeout: u.opts.DialTimeout,
		MaxIdleTimeout: silentMost, KeepAlivePeriod: silentMost / 3, MaxIncomingStreams: -1})
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
	c.out--
	c.last = time.Now()
	if c.over || c.broken() {
		u.end(c)
	}
}

// attempt sends a request once and tells what came of it. It claims that the request
// never ran only where no stream was there for it, or the endpoint rejected it unseen
// (RFC 9114, section 8.1: H3_REQUEST_REJECTED); in doubt it may have run: an endpoint may
// begin with a request whose end has not come.
func (u *Upstream) attempt(ctx context.Context, t *engine.Target, m *engine.Message) engine.Result {
	c, err := u.take(attempt.SendContext(ctx), t)
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
			u.end(c)
			u.mu.Unlock()
			u.tell(t, speaks.Fails)
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
	return attempt.ResponseResult(u.opts.Fields, response, took)
}

// exchange sends one request on a stream of its own and reads the whole answer. left says
// that a stream was there for it, and so that it may have left. ClientConn's RoundTrip
// uses this connection alone, once.
func exchange(ctx context.Context, client *http3.ClientConn, t *engine.Target, m *engine.Message) (answer *attempt.Response, left bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var opened atomic.Bool
	wait := time.AfterFunc(streamWait, func() {
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
	rest := time.AfterFunc(answerRest, cancel)
	defer rest.Stop()
	body, err := attempt.ReadBody(response.Body)
	if err != nil {
		return nil, true, err
	}
	return &attempt.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, true, nil
}
