package sockets

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/emulator/model"
)

// Headers of requests and responses.
const (
	headerClass          = "X-Service-Class"
	headerID             = "X-Correlation-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerAffinityKey    = "X-Session-Key"
	headerLoadReport     = "X-Backend-Load"
	headerUnprocessed    = "X-Unprocessed" // "1" if the request was rejected and did not run
)

// Paths of load probes and health checks. Both cost the server the work of a probe.
const (
	pathLoadProbe   = "/stats"
	pathHealthCheck = "/health/live"
)

// maxBodyBytes is how much of a request's body the server reads.
const maxBodyBytes = 64 << 10

// handler passes the requests of one listener to a server, with emulated latency.
type handler struct {
	server  *Server
	latency time.Duration // one way

	mu       sync.Mutex
	accepted map[net.Conn]bool // connections that count as open at the server
}

func newHandler(s *Server, latency time.Duration) *handler {
	return &handler{server: s, latency: latency, accepted: map[net.Conn]bool{}}
}

// usedKey is the context key of an *atomic.Bool that is true once the connection has carried a request.
type usedKey struct{}

// connectionContext returns the context of a new connection.
func connectionContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, usedKey{}, new(atomic.Bool))
}

// trackConnection counts connections at the server and closes those that it does not accept. It is an
// http.Server.ConnState.
func (h *handler) trackConnection(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if !h.server.OpenConnection() {
			conn.Close()
			return
		}
		h.mu.Lock()
		h.accepted[conn] = true
		h.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		h.mu.Lock()
		accepted := h.accepted[conn]
		delete(h.accepted, conn)
		h.mu.Unlock()
		if accepted {
			h.server.CloseConnection()
		}
	}
}

// ServeHTTP answers load probes, health checks and requests.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	latency := h.latency
	if used := r.Context().Value(usedKey{}).(*atomic.Bool); !used.Swap(true) {
		latency += 2 * h.latency // the round trip of the handshake, which takes no time on loopback
	}
	switch r.URL.Path {
	case pathLoadProbe, pathHealthCheck:
		h.serveProbe(w, r, latency)
	default:
		h.serveRequest(w, r, latency)
	}
}

// serveProbe answers a load probe or a health check that arrives after a latency.
func (h *handler) serveProbe(w http.ResponseWriter, r *http.Request, latency time.Duration) {
	ctx := r.Context()
	wait(ctx, latency)
	report, ok := h.server.Probe()
	if !ok {
		<-ctx.Done() // the server does not answer
		return
	}
	wait(ctx, h.latency)
	if r.URL.Path == pathLoadProbe {
		_, _ = io.WriteString(w, report) // the client may have disconnected
	}
}

// serveRequest passes a request to the server after the latency and writes the response. A client that disconnects
// meanwhile does not stop the request from reaching the server.
func (h *handler) serveRequest(w http.ResponseWriter, r *http.Request, latency time.Duration) {
	ctx := r.Context()
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)) // the body has no effect
	wait(ctx, latency)
	response, err := h.server.Submit(ctx, Request{
		Class:       r.Header.Get(headerClass),
		ID:          r.Header.Get(headerID),
		Key:         r.Header.Get(headerIdempotencyKey),
		AffinityKey: r.Header.Get(headerAffinityKey),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait(ctx, h.latency)
	w.Header().Set(headerLoadReport, response.Load)
	switch response.Outcome {
	case model.Served, model.Deduplicated:
		_, _ = io.WriteString(w, "done") // the client may have disconnected
	case model.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case model.Rejected:
		w.Header().Set(headerUnprocessed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case model.Unanswered:
		<-ctx.Done()
	case model.ConnectionFailed:
		panic(http.ErrAbortHandler)
	}
}

// wait waits for a latency, or until the client disconnects.
func wait(ctx context.Context, latency time.Duration) {
	if latency <= 0 {
		return
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
