// Package http3front is the HTTP/3 front (RFC 9114 on QUIC, RFC 9000): it accepts clients' connections, passes
// each request to the engine through an exchange.Dispatcher and writes the response. Headers, the limits of bodies
// and responses are those of all fronts (packages requestmeta and exchange).
//
// A Server's state is counters; its calls run in goroutines of quic-go and net/http. Nothing outlives the
// process, but the key of stateless resets is derived from the certificate's, so that a restarted process can
// end connections of the one before.
package http3front

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/balancer"
	"pinedale/internal/certstore"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/httpmsg"
	"pinedale/internal/requestmeta"
)

const (
	// readTimeout is how long a request's body may take to arrive: a client sends it in one piece.
	readTimeout = 2 * time.Second
	// idleTimeout ends connections on which nothing is received. A phone that changes networks is silent
	// for some seconds, and its connection must outlive that.
	idleTimeout = 30 * time.Second
	// Bodies of requests and responses have httpmsg.MaxBodyBytes at most: flow control needs no more.
	streamWindow     = httpmsg.MaxBodyBytes
	connectionWindow = 16 * streamWindow
	// maxUnverifiedPerSecond is how many new connections per second are accepted from addresses that are
	// not verified. Each one beyond has to prove that it receives at its address (RFC 9000, section 8.1.2).
	maxUnverifiedPerSecond = 100
)

// Options are the limits of a server.
type Options struct {
	KeyStore    *certstore.Store // certificates of the server, and the roots that clients are verified by
	Name        string           // of the instance: it makes the key of stateless resets its own
	Connections int              // open at most
	Streams     int              // requests in flight on one connection, at most
	BodyBytes   int64            // of the requests in flight together, at most
	Early       bool             // accept 0-RTT data, for idempotent classes (RFC 8470)
	Parser      *requestmeta.Parser
	Log         *slog.Logger
}

// Server is the front. Make one with New.
type Server struct {
	engine     *engine.Engine
	dispatcher *exchange.Dispatcher
	opts       Options
	http       http3.Server
	draining   atomic.Bool

	open        atomic.Int64 // connections
	second      atomic.Int64 // Unix time that newInSecond is counted in
	newInSecond atomic.Int64 // connections
	verified    atomic.Int64 // connections whose address had to be verified
}

// connKey finds the connection of a request in its context.
type connKey struct{}

// clientConn is a client's connection.
type clientConn struct {
	*quic.Conn
	certificates *certstore.Store
	material     int // number of the certificates at the start of the handshake
	once         sync.Once
	credentials  *certstore.Lifetime // set by once
}

// checkCredentials reports whether the certificates of a connection are still valid, and if not the reason.
// Before the handshake is complete they are not known, and cannot have changed much since.
func (c *clientConn) checkCredentials() (trusted bool, reason string) {
	if c.mayBeEarlyData() {
		return true, ""
	}
	c.once.Do(func() {
		c.credentials = c.certificates.Lifetime(c.ConnectionState().TLS, x509.ExtKeyUsageClientAuth, c.material)
	})
	_, trusted, reason = c.credentials.At(time.Now())
	return trusted, reason
}

// mayBeEarlyData reports whether a request may have arrived in 0-RTT data, which anybody may replay. Once the
// handshake is complete its client is known to be there (RFC 8470, section 3).
func (c *clientConn) mayBeEarlyData() bool {
	select {
	case <-c.HandshakeComplete():
		return false
	default:
		return true
	}
}

// New returns a server that passes requests to the engine, whose attempts the upstream sends.
func New(e *engine.Engine, upstream engine.Upstream, o Options) *Server {
	if o.Parser == nil {
		o.Parser = requestmeta.NewParser(e.Settings())
	}
	s := &Server{engine: e, dispatcher: exchange.New(e, upstream, o.BodyBytes), opts: o}
	s.http = http3.Server{
		Handler:        http.HandlerFunc(s.handle),
		MaxHeaderBytes: httpmsg.MaxHeaderBytes,
		Logger:         o.Log,
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			conn := &clientConn{Conn: c, certificates: o.KeyStore, material: o.KeyStore.Generation()}
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return s
}

// errTooManyConnections rejects a connection before its handshake.
var errTooManyConnections = errors.New("the limit of open connections is reached")

// Serve serves until ctx ends, then sends GOAWAY, answers the requests that it has accepted and returns. It
// closes conn.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	defer conn.Close()
	transport, err := s.newTransport(conn)
	if err != nil {
		return err
	}
	defer transport.Close()
	listener, err := s.listen(transport)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var serveErr error // once served is closed
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveErr = s.http.ServeListener(listener)
	}()
	select {
	case <-served:
		return fmt.Errorf("serve: %w", serveErr)
	case <-ctx.Done():
	}
	s.draining.Store(true)
	end, cancel := context.WithTimeout(context.Background(), s.dispatcher.LongestDeadline())
	defer cancel()
	err = s.http.Shutdown(end)
	listener.Close()
	<-served
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// newTransport returns the QUIC transport over conn, which bounds the connections and the addresses that are
// not verified, and resets connections of a process before this one.
func (s *Server) newTransport(conn net.PacketConn) (*quic.Transport, error) {
	// A restarted process does not know its clients' connections, and without a reset each would wait for
	// its idle timeout (RFC 9000, section 10.3). The key must survive the restart, and differ between
	// instances: one that reset another's connections could be used to end them (section 21.11).
	secret, err := s.opts.KeyStore.Secret("QUIC stateless reset, " + s.opts.Name)
	if err != nil {
		return nil, fmt.Errorf("stateless reset: %w", err)
	}
	resetKey := quic.StatelessResetKey(secret)
	return &quic.Transport{
		Conn:                conn,
		StatelessResetKey:   &resetKey,
		VerifySourceAddress: s.requiresVerification,
		ConnContext:         s.admit,
	}, nil
}

// admit counts a new connection until its context ends, and rejects it at the limit.
func (s *Server) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if s.open.Add(1) > int64(s.opts.Connections) {
		s.open.Add(-1)
		return nil, errTooManyConnections
	}
	context.AfterFunc(ctx, func() { s.open.Add(-1) })
	return ctx, nil
}

// listen starts to accept connections.
func (s *Server) listen(transport *quic.Transport) (*quic.EarlyListener, error) {
	config := s.opts.KeyStore.Server()
	config.MinVersion = tls.VersionTLS13
	return transport.ListenEarly(http3.ConfigureTLSConfig(config), &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             int64(s.opts.Streams),
		Allow0RTT:                      s.opts.Early,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
	})
}

// requiresVerification reports whether a new connection's address must be verified first: under a flood of
// connections, whose source addresses may be forged.
func (s *Server) requiresVerification(net.Addr) bool { return s.aboveUnverifiedRate(time.Now().Unix()) }

// aboveUnverifiedRate counts a new connection in a second, and reports whether there are too many in it.
func (s *Server) aboveUnverifiedRate(second int64) bool {
	if s.second.Swap(second) != second {
		s.newInSecond.Store(0)
	}
	if s.newInSecond.Add(1) <= maxUnverifiedPerSecond {
		return false
	}
	s.verified.Add(1)
	return true
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.open.Load()) }

// Verified returns the number of connections whose address had to be verified first.
func (s *Server) Verified() int { return int(s.verified.Load()) }

// handle answers one request. It rejects an invalid one before its body is read.
func (s *Server) handle(w http.ResponseWriter, in *http.Request) {
	arrived := s.engine.Now()
	if in.URL.Path == exchange.ReadinessPath {
		s.dispatcher.WriteReadiness(w, s.draining.Load())
		return
	}
	c := in.Context().Value(connKey{}).(*clientConn)
	if trusted, reason := c.checkCredentials(); !trusted {
		exchange.WriteError(w, &requestmeta.Error{Code: http.StatusForbidden, Reason: reason})
		return
	}
	// Fails if the stream has ended: so does reading.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	detectEmptyBody(in)
	req, err := s.opts.Parser.Parse(requestmeta.Request{
		Method: in.Method,
		Host:   in.Host,
		Path:   in.URL.Path,
		Header: in.Header,
		Body:   in.ContentLength != 0,
		At:     arrived,
	})
	if err != nil {
		exchange.WriteError(w, err)
		return
	}
	if c.mayBeEarlyData() && s.engine.Settings().Classes[req.Class].Idempotency != balancer.Idempotent {
		w.WriteHeader(http.StatusTooEarly)
		return
	}
	s.dispatch(w, in, req)
}

// detectEmptyBody finds out whether a GET of unknown length has a body: in HTTP/3 the header does not say so, the
// end of the stream does.
func detectEmptyBody(in *http.Request) {
	if in.ContentLength >= 0 || in.Method != http.MethodGet {
		return
	}
	if n, err := in.Body.Read(make([]byte, 1)); n == 0 && errors.Is(err, io.EOF) {
		in.ContentLength, in.Body = 0, http.NoBody
	}
}

// dispatch reads a request's body, passes the request to the engine and writes its response.
func (s *Server) dispatch(w http.ResponseWriter, in *http.Request, req requestmeta.Parsed) {
	body, release, err := s.dispatcher.ReadBody(w, in)
	if errors.Is(err, exchange.ErrBusy) {
		exchange.WriteBusy(w)
		return
	} else if err != nil {
		exchange.WriteError(w, err)
		return
	}
	defer release()
	response, err := s.dispatcher.Dispatch(in, req, body)
	switch {
	case errors.Is(err, exchange.ErrDisconnected):
		panic(http.ErrAbortHandler)
	case err != nil:
		exchange.WriteError(w, err)
	default:
		exchange.WriteResponse(w, response)
	}
}
