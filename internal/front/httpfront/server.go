package httpfront

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/requestmeta"
)

// Timeouts of clients' connections. The platform allows a client that sends nothing 3 s.
const (
	// ReadTimeout is how long a request may take to arrive. The application runs on the same host and sends
	// it in one piece.
	ReadTimeout = 2 * time.Second
	// IdleTimeout outlasts the 2 s for which a client may keep a connection with no request in flight.
	IdleTimeout = 2100 * time.Millisecond
	// writeTimeout is how long a response may take to be written: it fits into the socket's buffer unless
	// the client does not read.
	writeTimeout = 2 * time.Second
)

// Options are the limits of a server.
type Options struct {
	Connections int // max open client connections
	// KeepAliveThreshold is the number of open connections that have carried a request above which the first response
	// on a connection closes it.
	KeepAliveThreshold int
	Memory             exchange.MemoryLimits
	Parser             *requestmeta.Parser // if nil, one is made from the engine's settings
	AltSvc             string              // sent with each response, "" for none (RFC 7838)
	AcceptFor          time.Duration       // how long draining accepts new connections; 0 for defaultAcceptTime
	// DrainTimeout returns the time from the start of draining until each request in flight has its response, given
	// the longest deadline of any class. If nil, it follows from when the platform kills the process.
	DrainTimeout func(longest time.Duration) time.Duration
	Log          *slog.Logger
}

// Server is the front. Make one with New.
type Server struct {
	engine        *engine.Engine
	clients       *clientListener
	parser        *requestmeta.Parser
	dispatcher    *exchange.Dispatcher
	drainDeadline atomic.Int64 // latest deadline of any request, by the engine's clock; 0 before draining
	opts          Options
}

// credentialed is a connection whose certificates may expire or be revoked while it is open. keep is false if it
// should be closed after the next response; trusted is true if its client's certificate is still valid.
type credentialed interface {
	StateAt(now time.Time) (keep, trusted bool, reason string)
}

// New returns a server that passes requests to the engine, whose attempts the upstream sends.
func New(e *engine.Engine, upstream engine.Upstream, o Options) *Server {
	if o.AcceptFor == 0 {
		o.AcceptFor = defaultAcceptTime
	}
	if o.DrainTimeout == nil {
		o.DrainTimeout = func(longest time.Duration) time.Duration {
			return max(o.AcceptFor, min(longest, maxKillDelay)+killDelay-killMargin)
		}
	}
	if o.Parser == nil {
		o.Parser = requestmeta.NewParser(e.Settings())
	}
	clients := newClientListener(o.Connections, o.KeepAliveThreshold, o.Log)
	return &Server{
		engine: e,
		parser: o.Parser,
		dispatcher: exchange.New(e, upstream, o.Memory, exchange.ShortageHandlers{
			Requests:  clients.evictForRequestMemory,
			Responses: clients.evictForResponseMemory,
		}),
		opts:    o,
		clients: clients,
	}
}

// Serve serves until ctx ends, then answers the requests that it has accepted and returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.clients.listenOn(listener)
	var serveErr error // valid once served is closed
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveErr = s.accept()
	}()
	select {
	case <-served:
		return fmt.Errorf("serve: %w", serveErr)
	case <-ctx.Done():
	}
	s.drain(served)
	return nil
}

// accept serves each connection on a goroutine of its own, until the listener fails.
func (s *Server) accept() error {
	for {
		c, err := s.clients.Accept()
		if err != nil {
			return err
		}
		go s.serveConn(c)
		// Where processor time is short, the requests that have been accepted come before new connections.
		runtime.Gosched()
	}
}

// Close ends the service at once, without responses to the requests in flight.
func (s *Server) Close() error {
	var err error
	if listener := s.clients.listener(); listener != nil {
		err = listener.Close()
	}
	s.clients.closeAll()
	return err
}

// Connections returns the number of clients' open connections.
func (s *Server) Connections() int { return s.clients.count() }

// parse parses the header of a request, unless it is a readiness check. It returns an error if the request may not be
// accepted on its connection.
func (s *Server) parse(w *responseWriter, in *http.Request, c *clientConn, arrived balancer.Micros) (
	requestmeta.Parsed, error) {
	if err := checkCredentials(w, c); err != nil || in.URL.Path == exchange.ReadinessPath {
		return requestmeta.Parsed{}, err
	}
	return s.parser.Parse(requestmeta.Request{
		Method: in.Method,
		Host:   in.Host,
		Path:   in.URL.Path,
		Header: in.Header,
		Body:   in.ContentLength != 0,
		At:     arrived,
	})
}

// checkCredentials returns an error if the client of a connection is no longer trusted. If this is to be the
// connection's last request, the response closes it.
func checkCredentials(w *responseWriter, c *clientConn) error {
	conn, ok := c.Conn.(credentialed)
	if !ok {
		return nil
	}
	keep, trusted, reason := conn.StateAt(time.Now())
	if !trusted {
		return &requestmeta.Error{Code: http.StatusForbidden, Reason: reason}
	}
	w.closes = w.closes || !keep
	return nil
}

// draining reports whether shutdown has begun.
func (s *Server) draining() bool { return s.drainDeadline.Load() != 0 }
