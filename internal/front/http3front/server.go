package http3front

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/certstore"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/httpmsg"
	"pinedale/internal/requestmeta"
)

const (
	// idleTimeout ends connections on which nothing is received. A phone that changes networks is silent
	// for some seconds, and its connection must outlive that.
	idleTimeout = 30 * time.Second
	// Bodies of requests and responses have at most httpmsg.MaxBodyBytes, so larger windows are not needed.
	streamWindow     = httpmsg.MaxBodyBytes
	connectionWindow = 16 * streamWindow
)

// Options configure a Server.
type Options struct {
	KeyStore        *certstore.Store // certificates of the server, and the roots that clients are verified by
	Name            string           // of the instance: gives it a stateless reset key of its own
	Connections     int              // max open connections
	Streams         int              // max requests in flight on one connection
	Memory          exchange.MemoryLimits
	AcceptEarlyData bool // accept 0-RTT data, for idempotent classes (RFC 8470)
	Parser          *requestmeta.Parser
	Log             *slog.Logger
}

// Server is the front. Make one with New.
type Server struct {
	engine     *engine.Engine
	dispatcher *exchange.Dispatcher
	opts       Options
	http       http3.Server
	draining   atomic.Bool

	openConnections atomic.Int64
	countedSecond   atomic.Int64 // Unix time of the second that newInSecond counts
	newInSecond     atomic.Int64 // new connections in that second
	verified        atomic.Int64 // connections whose address had to be verified
}

// New returns a server that passes requests to the engine, whose attempts the upstream sends.
func New(e *engine.Engine, upstream engine.Upstream, o Options) *Server {
	if o.Parser == nil {
		o.Parser = requestmeta.NewParser(e.Settings())
	}
	dispatcher := exchange.New(e, upstream, o.Memory, exchange.ShortageHandlers{})
	s := &Server{engine: e, dispatcher: dispatcher, opts: o}
	s.http = http3.Server{
		Handler:        http.HandlerFunc(s.handle),
		MaxHeaderBytes: httpmsg.MaxHeaderBytes,
		Logger:         o.Log,
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			conn := &clientConn{Conn: c, certificates: o.KeyStore, generation: o.KeyStore.Generation()}
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return s
}

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
	var serveErr error // valid once served is closed
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

// newTransport returns the QUIC transport over conn. It limits the open connections, verifies client addresses when
// many new connections arrive, and resets connections of an earlier process.
func (s *Server) newTransport(conn net.PacketConn) (*quic.Transport, error) {
	// A restarted process does not know its clients' connections, and without a reset each would wait for
	// its idle timeout (RFC 9000, section 10.3). The key must survive the restart, and differ between
	// instances: an instance that resets another's connections could be abused to end them (section 21.11).
	secret, err := s.opts.KeyStore.Secret("QUIC stateless reset, " + s.opts.Name)
	if err != nil {
		return nil, fmt.Errorf("derive the stateless reset key: %w", err)
	}
	resetKey := quic.StatelessResetKey(secret)
	return &quic.Transport{
		Conn:                conn,
		StatelessResetKey:   &resetKey,
		VerifySourceAddress: s.requiresVerification,
		ConnContext:         s.admit,
	}, nil
}

// listen starts to accept connections.
func (s *Server) listen(transport *quic.Transport) (*quic.EarlyListener, error) {
	config := s.opts.KeyStore.Server()
	config.MinVersion = tls.VersionTLS13
	return transport.ListenEarly(http3.ConfigureTLSConfig(config), &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             int64(s.opts.Streams),
		Allow0RTT:                      s.opts.AcceptEarlyData,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
	})
}
