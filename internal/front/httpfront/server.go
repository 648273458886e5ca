// Package httpfront takes the application's requests over HTTP/1.1 and gives
// their final answers.
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
	"pinedale/internal/front/desk"
	"pinedale/internal/httpmsg"
	"pinedale/internal/intake"
)

const (
	defaultAcceptTime = 600 * time.Millisecond // after SIGTERM: clients go on connecting for 0.4 s

	// The platform kills no sooner than the longest deadline, longestMost of it at most, and
	// killAfter more after SIGTERM. What is in hand has its answer killMargin before that: for
	// its way to the client.
	maxKillDelay  = 3 * time.Second
	killDelay     = 700 * time.Millisecond
	killMargin    = 250 * time.Millisecond
	exitDelay     = 100 * time.Millisecond // and the process ends that much later, whoever still holds a connection
	drainInterval = 5 * time.Millisecond

	// ReadTimeout and IdleTimeout bound silent clients.
	// A request comes in one piece from the application next door. A client that
	// takes longer is silent, slow on purpose or dead, and 3 s are the most it may stay.
	ReadTimeout = 2 * time.Second
	// IdleTimeout outlasts the 2 s for which a client may keep a connection with no request open.
	IdleTimeout  = 2100 * time.Millisecond
	writeTimeout = 2 * time.Second // for an answer: it fits into the socket's buffer unless a client reads nothing
)

// Options bound what clients may hold.
type Options struct {
	Connections int            // open at most
	Crowded     int            // asked-on connections from which an answer ends its own
	BodyBytes   int64          // of requests in hand, at most
	Parser      *intake.Parser // nil for that of the engine's settings
	AltSvc      string         // told with each answer, "" for none (RFC 7838)
	AcceptFor   time.Duration  // new connections are still accepted after the end; 0 for what the platform asks
	// EndBy is how long after the end all that was taken has its answer, by the longest time of
	// any class; nil for what the platform allows.
	EndBy func(longest time.Duration) time.Duration
	Log   *slog.Logger
}

// Server takes the application's requests.
type Server struct {
	engine     *engine.Engine
	http       http.Server
	clients    *clientListener
	parser     *intake.Parser
	dispatcher *desk.Dispatcher
	endAt      atomic.Int64 // by the engine's clock: no request is held longer; 0 before the end
	opts       Options
}

// Serve serves until ctx ends, then answers what it has taken and returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.clients.Listener = listener
	var serveErr error // once served is closed
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
	return s.drain(served)
}

// Close ends the service at once, and loses what is in hand.
func (s *Server) Close() error { return s.http.Close() }

// Connections counts the clients' open connections.
func (s *Server) Connections() int { return s.clients.count() }

// credentialed is a connection whose keys may come to their end while it stands: keep is false
// where its next answer should be its last, trusted where its client would not be let in now.
type credentialed interface {
	Stands(now time.Time) (keep, trusted bool, reason string)
}

// connKey finds the connection of a request in its context.
type connKey struct{}

// New returns a server that passes requests to the engine and has them carried
// by the upstream.
func New(e *engine.Engine, up engine.Upstream, o Options) *Server {
	if o.AcceptFor == 0 {
		o.AcceptFor = defaultAcceptTime
	}
	if o.EndBy == nil {
		o.EndBy = func(longest time.Duration) time.Duration {
			return max(o.AcceptFor, min(longest, maxKillDelay)+killDelay-killMargin)
		}
	}
	if o.Parser == nil {
		o.Parser = intake.NewParser(e.Settings())
	}
	s := &Server{engine: e, parser: o.Parser, dispatcher: desk.New(e, up, o.BodyBytes), opts: o,
		clients: &clientListener{maxConnections: o.Connections, keepAliveThreshold: o.Crowded}}
	// Not a ServeMux: it would redirect paths that endpoints are to see as they are.
	s.http = http.Server{Handler: http.HandlerFunc(s.handle),
		ReadTimeout: ReadTimeout, WriteTimeout: intake.MaxRequestTime + writeTimeout, IdleTimeout: IdleTimeout,
		MaxHeaderBytes: httpmsg.HeadMost, ErrorLog: slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	return s
}

// drain ends the service without losing a request. Connections that wait for a request are
// closed at once, while a client whose request crosses that can still connect anew; every
// answer from here on closes its connection. net/http's own Shutdown is not used: it closes
// as idle also a connection whose request has been read and not yet parsed.
func (s *Server) drain(served <-chan struct{}) error {
	var longest balancer.Micros
	for _, c := range s.engine.Settings().Classes {
		longest = max(longest, c.ClientTimeout)
	}
	began := time.Now()
	end := began.Add(s.opts.EndBy(time.Duration(longest) * time.Microsecond))
	s.endAt.Store(s.engine.Now() + time.Until(end).Microseconds())
	s.clients.closeIdleConnections()
	closing, accepting, expired := false, true, false
	for tick := time.NewTicker(drainInterval); ; <-tick.C {
		now := time.Now()
		if !closing && now.Sub(began) >= s.opts.AcceptFor {
			s.clients.stopAccepting()
			closing = true
		}
		select {
		case <-served:
			accepting = false
		default:
		}
		if !expired && !now.Before(end) {
			go s.engine.Post(s.engine.Expire)
			expired = true
		}
		if !accepting && s.clients.count() == 0 || now.Sub(end) >= exitDelay {
			tick.Stop()
			s.http.Close() // the listener is closed already, and says so
			return nil
		}
	}
}

// draining says that the service ends.
func (s *Server) draining() bool { return s.endAt.Load() != 0 }

// closeWhileDraining has an answer end its connection while the service ends.
func (s *Server) closeWhileDraining(w http.ResponseWriter) {
	if s.draining() {
		w.Header().Set("Connection", "close")
	}
}

func (s *Server) writeReadiness(w http.ResponseWriter) {
	if s.draining() || !s.engine.HasEndpoints() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reject turns a request away, with its connection: what else a client sends
// that gets this much wrong is not worth reading.
func reject(w http.ResponseWriter, in *http.Request, err error) {
	w.Header().Set("Connection", "close")
	desk.WriteError(w, err)
	discardBody(w, in)
}

// discardBody sends the answer off and then reads what a client still sends, within
// limits: a connection closed before that is reset, and the client may never read its
// answer (RFC 9112, section 9.6).
func discardBody(w http.ResponseWriter, in *http.Request) {
	if in.ContentLength == 0 || http.NewResponseController(w).Flush() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, in.Body, 2*httpmsg.BodyMost) // at the longest until ReadTimeout
}

// handle reads a request whole and answers it.
func (s *Server) handle(w http.ResponseWriter, in *http.Request) {
	arrived := s.engine.Now()
	if s.opts.AltSvc != "" {
		w.Header().Set("Alt-Svc", s.opts.AltSvc)
	}
	s.closeWhileDraining(w)
	c := in.Context().Value(connKey{}).(*clientConn)
	if c.hasAmbiguousLength() {
		// What follows the head may hide another request: the connection ends here.
		reject(w, in, intake.Bad("Content-Length beside another, or beside Transfer-Encoding"))
		return
	}
	if g, ok := c.Conn.(credentialed); ok {
		keep, trusted, reason := g.Stands(time.Now())
		if !trusted {
			reject(w, in, &intake.Error{Code: http.StatusForbidden, Reason: reason})
			return
		}
		if !keep {
			w.Header().Set("Connection", "close")
		}
	}
	ready := in.URL.Path == "/health/ready"
	var req intake.Parsed
	if !ready {
		var err error
		if req, err = s.parser.Parse(intake.Request{Method: in.Method, Host: in.Host, Path: in.URL.Path, Header: in.Header,
			Body: in.ContentLength != 0, At: arrived}); err != nil {
			reject(w, in, err)
			return
		}
	}
	body, release, err := s.dispatcher.ReadBody(w, in)
	if errors.Is(err, desk.ErrBusy) {
		w.Header().Set("Connection", "close")
		desk.WriteBusy(w)
		discardBody(w, in)
		return
	} else if err != nil {
		reject(w, in, err)
		return
	}
	defer release()
	alone, ok := c.requestStarted(in.ContentLength)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer c.requestDone()
	// The deadline for reading the request would otherwise end its context
	// while the answer is still awaited.
	_ = c.SetReadDeadline(time.Time{}) // fails where the client has left: net/http notices by itself
	if !alone {
		// Clients send one request at a time. What came behind this one is left
		// unread: only a client's own word says that it is a request.
		w.Header().Set("Connection", "close")
		ctx, cancel := context.WithCancel(in.Context())
		defer cancel()
		in = in.WithContext(ctx)
		c.watchDisconnect(cancel)
	}
	if ready {
		s.writeReadiness(w)
		return
	}
	// The request's time counts from its last byte, which has only come now.
	req.Deadline += s.engine.Now() - arrived
	s.dispatch(w, in, c, req, body)
}

// dispatch takes one request and gives its one final answer.
func (s *Server) dispatch(w http.ResponseWriter, in *http.Request, c *clientConn, req intake.Parsed, body []byte) {
	if end := s.endAt.Load(); end != 0 {
		req.Deadline = min(req.Deadline, end)
	}
	a, err := s.dispatcher.Dispatch(in, req, body)
	if errors.Is(err, desk.ErrDisconnected) {
		// A client that has only stopped sending must not read a whole answer
		// that no endpoint gave.
		panic(http.ErrAbortHandler)
	} else if err != nil {
		reject(w, in, err)
		return
	}
	s.closeWhileDraining(w)
	if s.clients.aboveKeepAliveThreshold() {
		w.Header().Set("Connection", "close")
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // likewise: the write fails
	desk.WriteResponse(w, a)
}
