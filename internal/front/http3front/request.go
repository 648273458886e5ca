package http3front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"pinedale/balancer"
	"pinedale/internal/front/exchange"
	"pinedale/internal/requestmeta"
)

// readTimeout is how long a request's body may take to arrive: a client sends it in one piece.
const readTimeout = 2 * time.Second

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
	// If this fails, the stream has ended, and reading the body fails too.
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

// detectEmptyBody finds out whether a GET of unknown length has a body: in HTTP/3 only the end of the stream shows
// that it has none.
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
	body, err := s.dispatcher.ReadBody(in)
	if errors.Is(err, exchange.ErrBusy) {
		exchange.WriteBusy(w)
		return
	} else if err != nil {
		exchange.WriteError(w, err)
		return
	}
	response, releaseResponse, err := s.dispatcher.Dispatch(in, req, body)
	defer releaseResponse()
	switch {
	case errors.Is(err, exchange.ErrBusy):
		exchange.WriteBusy(w)
	case errors.Is(err, exchange.ErrDisconnected):
		panic(http.ErrAbortHandler)
	case err != nil:
		exchange.WriteError(w, err)
	default:
		exchange.WriteResponse(w, response)
	}
}
