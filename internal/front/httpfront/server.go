package httpfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/httpmsg"
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
	// KeepAliveThreshold is the number of open connections that have carried a request above which each response
	// closes its connection.
	KeepAliveThreshold int
	BodyBytes          int64               // max total body bytes of the requests in flight
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
	http          http.Server
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

// connKey is the context key of a request's connection.
type connKey struct{}

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
	s := &Server{
		engine:     e,
		parser:     o.Parser,
		dispatcher: exchange.New(e, upstream, o.BodyBytes),
		opts:       o,
		clients: &clientListener{
			maxConnections:     o.Connections,
			keepAliveThreshold: o.KeepAliveThreshold,
			closes:             closeLog{log: o.Log},
		},
	}
	s.http = http.Server{
		// Not a ServeMux: it would redirect paths that endpoints are to receive unchanged.
		Handler:        http.HandlerFunc(s.handle),
		ReadTimeout:    ReadTimeout,
		WriteTimeout:   requestmeta.MaxRequestTime + writeTimeout,
		IdleTimeout:    IdleTimeout,
		MaxHeaderBytes: httpmsg.MaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			ctx = exchange.WithDisconnectCheck(ctx, c.(*clientConn).disconnected)
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s
}

// Serve serves until ctx ends, then answers the requests that it has accepted and returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.clients.Listener = listener
	var serveErr error // valid once served is closed
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveErr = s.http.Serve(s.clients)
	}()
	select {
	case <-served:
		return fmt.Errorf("serve: %w", serveErr)
	case <-ctx.Done():
	}
	s.drain(served)
	return nil
}

// Close ends the service at once, without responses to the requests in flight.
func (s *Server) Close() error { return s.http.Close() }

// Connections returns the number of clients' open connections.
func (s *Server) Connections() int { return s.clients.count() }

// handle answers one request. It rejects an invalid one before its body is read.
func (s *Server) handle(w http.ResponseWriter, in *http.Request) {
	arrived := s.engine.Now()
	if s.opts.AltSvc != "" {
		w.Header().Set("Alt-Svc", s.opts.AltSvc)
	}
	s.closeWhileDraining(w)
	c := in.Context().Value(connKey{}).(*clientConn)
	if err := checkConnection(w, c); err != nil {
		reject(w, in, err)
		return
	}
	readiness := in.URL.Path == exchange.ReadinessPath
	var req requestmeta.Parsed
	if !readiness {
		var err error
		if req, err = s.parse(in, arrived); err != nil {
			reject(w, in, err)
			return
		}
	}
	body, release, err := s.dispatcher.ReadBody(w, in)
	if errors.Is(err, exchange.ErrBusy) {
		closeAfterResponse(w)
		exchange.WriteBusy(w)
		discardBody(w, in)
		return
	} else if err != nil {
		reject(w, in, err)
		return
	}
	defer release()
	alone, ok := c.requestStarted(in.ContentLength)
	if !ok {
		s.clients.closes.add(closedEvicted, req.CorrelationID)
		panic(http.ErrAbortHandler)
	}
	defer c.requestDone()
	// The deadline for reading the request would otherwise cancel its context while the response is awaited.
	_ = c.SetReadDeadline(time.Time{}) // fails if the client has disconnected: net/http notices by itself
	if !alone {
		// Clients send one request at a time. Bytes that follow this request are not parsed: only the client's own
		// framing says that they are another request.
		closeAfterResponse(w)
		ctx, cancel := context.WithCancel(in.Context())
		defer cancel()
		in = in.WithContext(ctx)
		c.watchDisconnect(cancel)
	}
	if readiness {
		s.dispatcher.WriteReadiness(w, s.draining())
		return
	}
	// The time to the deadline counts from the request's last byte, which has only now been received.
	req.Deadline += s.engine.Now() - arrived
	s.dispatch(w, in, c, req, body)
}

// checkConnection returns an error if no request may be accepted on a connection. If this is to be the connection's
// last request, the response closes it.
func checkConnection(w http.ResponseWriter, c *clientConn) error {
	if c.hasAmbiguousLength() {
		// The bytes after the header may hide another request: the connection is closed.
		return requestmeta.BadRequest("duplicate Content-Length, or Content-Length with Transfer-Encoding")
	}
	conn, ok := c.Conn.(credentialed)
	if !ok {
		return nil
	}
	keep, trusted, reason := conn.StateAt(time.Now())
	if !trusted {
		return &requestmeta.Error{Code: http.StatusForbidden, Reason: reason}
	}
	if !keep {
		closeAfterResponse(w)
	}
	return nil
}

// parse parses the header of a request.
func (s *Server) parse(in *http.Request, arrived balancer.Micros) (requestmeta.Parsed, error) {
	return s.parser.Parse(requestmeta.Request{
		Method: in.Method,
		Host:   in.Host,
		Path:   in.URL.Path,
		Header: in.Header,
		Body:   in.ContentLength != 0,
		At:     arrived,
	})
}

// dispatch passes a request to the engine and writes its response.
func (s *Server) dispatch(w http.ResponseWriter, in *http.Request, c *clientConn, req requestmeta.Parsed, body []byte) {
	if end := s.drainDeadline.Load(); end != 0 {
		req.Deadline = min(req.Deadline, end)
	}
	response, err := s.dispatcher.Dispatch(in, req, body)
	if errors.Is(err, exchange.ErrDisconnected) {
		// A client that has closed only its sending side must not receive a complete response that no endpoint
		// made.
		s.clients.closes.add(closedDisconnected, req.CorrelationID)
		panic(http.ErrAbortHandler)
	} else if err != nil {
		reject(w, in, err)
		return
	}
	s.closeWhileDraining(w)
	if s.clients.aboveKeepAliveThreshold() {
		closeAfterResponse(w)
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails if the connection has ended; the write then fails too
	exchange.WriteResponse(w, response)
}

// closeAfterResponse makes a response close its connection.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// closeWhileDraining makes a response close its connection if the service is draining.
func (s *Server) closeWhileDraining(w http.ResponseWriter) {
	if s.draining() {
		closeAfterResponse(w)
	}
}

// reject rejects a request and closes its connection.
func reject(w http.ResponseWriter, in *http.Request, err error) {
	closeAfterResponse(w)
	exchange.WriteError(w, err)
	discardBody(w, in)
}

// discardBody flushes the response and then reads what the client still sends, within limits: a connection that is
// closed earlier is reset, and the client may never read its response (RFC 9112, section 9.6).
func discardBody(w http.ResponseWriter, in *http.Request) {
	if in.ContentLength == 0 || http.NewResponseController(w).Flush() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, in.Body, 2*httpmsg.MaxBodyBytes) // ends at the latest with ReadTimeout
}
