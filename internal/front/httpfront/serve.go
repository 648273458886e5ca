package httpfront

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/membudget"
	"pinedale/internal/requestmeta"
)

// connServer serves the requests of one connection, one after the other. One goroutine owns it.
type connServer struct {
	server  *Server
	conn    *clientConn
	memory  *membudget.Reservation // of requests that are received
	reader  *requestReader
	first   bool            // the request in flight is the first one
	behind  bool            // bytes were received behind the request in flight, or may have been
	context context.Context // of the connection's requests, before they are in flight
}

// serveConn serves a connection until it ends.
func (s *Server) serveConn(c *clientConn) {
	defer c.Close()
	defer s.logPanic()
	memory := s.dispatcher.RequestMemory()
	defer memory.Free()
	connection := &connServer{
		server:  s,
		conn:    c,
		memory:  memory,
		reader:  newRequestReader(c, memory),
		context: exchange.WithDisconnectCheck(context.Background(), c.disconnected),
	}
	defer connection.reader.release()
	for connection.serveNext() {
	}
}

// logPanic logs a panic of the calling goroutine and ends it, so that one connection cannot end the process.
func (s *Server) logPanic() {
	if cause := recover(); cause != nil {
		s.opts.Log.Error("panic while serving a connection", "cause", cause, "stack", string(debug.Stack()))
	}
}

// serveNext receives and answers one request. It reports whether another one may follow.
func (s *connServer) serveNext() bool {
	if s.reader.started() {
		s.conn.receivedBytes.Store(0)
		s.conn.received(len(s.reader.buffer))
	} else {
		s.conn.awaitRequest()
	}
	in, err := s.reader.next()
	arrived := s.server.engine.Now()
	if err != nil {
		s.rejectHeader(err)
		return false
	}
	w := newResponseWriter()
	if s.server.opts.AltSvc != "" {
		w.header.Set("Alt-Svc", s.server.opts.AltSvc)
	}
	return s.answer(w, in.WithContext(s.context), arrived)
}

// rejectHeader answers a request whose header was not received completely, or is not valid.
func (s *connServer) rejectHeader(err error) {
	w := newResponseWriter()
	var malformed *requestmeta.Error
	switch {
	case errors.Is(err, exchange.ErrBusy):
		s.server.clients.closes.add(closedBusy, "")
		exchange.WriteBusy(w)
	case errors.As(err, &malformed):
		s.server.clients.closes.add(headerCloseReason(malformed), "")
		exchange.WriteError(w, malformed)
	case isTimeout(err) && s.reader.started():
		if !s.conn.wasEvicted() {
			s.server.clients.closes.add(closedTimeout, "")
		}
		exchange.WriteError(w, errRequestTimeout)
	default:
		return // nothing was received, or the client has disconnected
	}
	s.reject(w, http.MethodGet)
}

// errRequestTimeout rejects a request that has not arrived in time.
var errRequestTimeout = &requestmeta.Error{
	Code:   http.StatusRequestTimeout,
	Reason: "the request did not arrive in time",
}

// headerCloseReason returns the reason to log for a header that is rejected.
func headerCloseReason(err *requestmeta.Error) closeReason {
	if err.Code == http.StatusRequestHeaderFieldsTooLarge {
		return closedHeaderLimit
	}
	return closedMalformed
}

// reject writes a response and ends the connection, on which bytes of the request may still arrive.
func (s *connServer) reject(w *responseWriter, method string) {
	s.reader.discard()
	w.closes = true
	if w.flush(s.conn, method) == nil {
		s.conn.linger(s.reader.array)
	}
}

// answer answers a request whose header is valid HTTP. It reports whether another request may follow.
func (s *connServer) answer(w *responseWriter, in *http.Request, arrived balancer.Micros) bool {
	req, err := s.server.parse(w, in, s.conn, arrived)
	var body exchange.Body
	if err == nil {
		body, err = s.readBody(in)
	}
	if errors.Is(err, exchange.ErrBusy) {
		s.server.clients.closes.add(closedBusy, req.CorrelationID)
		exchange.WriteBusy(w)
	} else if err != nil {
		exchange.WriteError(w, err)
	}
	if err != nil {
		s.reject(w, in.Method)
		return false
	}
	s.reader.finish()
	if s.behind = in.ContentLength < 0 || s.reader.started(); s.behind {
		// Clients send one request at a time. Bytes that follow this request are not parsed: only the client's own
		// framing says that they are another request.
		w.closes = true
		s.reader.discard()
	}
	s.first = !s.conn.used
	if s.first {
		in = in.WithContext(exchange.WithFirstRequest(in.Context()))
	}
	w.closes = w.closes || !s.conn.requestStarted() || in.Close || !in.ProtoAtLeast(1, 1) || s.server.draining()
	// The time to the deadline counts from the request's last byte, which has only now been received.
	req.Deadline += s.server.engine.Now() - arrived
	return s.exchange(w, in, req, body)
}

// readBody reads a request's body.
func (s *connServer) readBody(in *http.Request) (exchange.Body, error) {
	awaitsContinue := in.ContentLength != 0 && strings.EqualFold(in.Header.Get("Expect"), "100-continue")
	if awaitsContinue && in.ProtoAtLeast(1, 1) && len(s.reader.buffer) == 0 {
		// This fails if the connection has ended; the write then fails, too.
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(s.conn.Conn, continueResponse); err != nil {
			return exchange.Body{}, requestmeta.BadRequest("cannot write the interim response")
		}
	}
	return s.server.dispatcher.ReadBody(in)
}

// exchange passes a request to the engine while it watches the connection, and writes the response. It reports whether
// another request may follow.
func (s *connServer) exchange(w *responseWriter, in *http.Request, req requestmeta.Parsed, body exchange.Body) bool {
	ctx, cancel := context.WithCancel(in.Context())
	defer cancel()
	ahead := startReadAhead(s.conn, s.memory, cancel)
	release, err := s.server.respond(w, in.WithContext(ctx), req, body)
	defer release()
	ahead.stop()
	switch {
	case ahead.exceeded:
		s.server.clients.closes.add(closedReadAhead, req.CorrelationID)
		w = newResponseWriter()
		exchange.WriteError(w, errReadAheadLimit)
		w.closes = true
	case ahead.disconnected || errors.Is(err, exchange.ErrDisconnected):
		// A client that has closed only its sending side must not receive a complete response that no endpoint made.
		s.server.clients.closes.add(closedDisconnected, req.CorrelationID)
		return false
	case errors.Is(err, exchange.ErrBusy):
		s.server.clients.closes.add(closedBusy, req.CorrelationID)
		exchange.WriteBusy(w)
	case err != nil:
		exchange.WriteError(w, err)
		w.closes = true
	}
	w.closes = w.closes || s.server.draining() || s.first && s.server.clients.aboveKeepAliveThreshold()
	if w.flush(s.conn, in.Method) != nil {
		return false
	}
	if !w.closes {
		s.reader.push(ahead.received)
		return true
	}
	if s.behind || ahead.exceeded || len(ahead.received) > 0 {
		s.conn.linger(s.reader.array)
	}
	return false
}

// errReadAheadLimit fails a request whose client does not wait for responses.
var errReadAheadLimit = requestmeta.BadRequest("too many bytes received behind a request in flight")

// respond passes a request to the engine and prepares its response. The caller calls release once that is written.
func (s *Server) respond(w http.ResponseWriter, in *http.Request, req requestmeta.Parsed, body exchange.Body) (
	release func(), err error) {
	if in.URL.Path == exchange.ReadinessPath {
		body.Release()
		s.dispatcher.WriteReadiness(w, s.draining())
		return func() {}, nil
	}
	if end := s.drainDeadline.Load(); end != 0 {
		req.Deadline = min(req.Deadline, end)
	}
	var response engine.Response
	response, release, err = s.dispatcher.Dispatch(in, req, body)
	if err == nil {
		exchange.WriteResponse(w, response)
	}
	return release, err
}
