package sockets

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/sockets/dualprotocol"
)

// HTTP1 is the transport of HTTP/1.1, without TLS.
type HTTP1 struct{}

// maxBodyBytes is what is read of a body.
const maxBodyBytes = 64 << 10

// handler passes what comes on one listener to a server.
type handler struct {
	server  *Server
	latency time.Duration

	mu      sync.Mutex
	counted map[net.Conn]bool // connections that the server has taken
}

// freshKey finds in a request's context whether its connection has carried one.
type freshKey struct{}

// Listen listens at host:port.
func (HTTP1) Listen(s *Server, at string, latency time.Duration) (string, func(), error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return "", nil, err
	}
	h := &handler{server: s, latency: latency, counted: map[net.Conn]bool{}}
	server := &http.Server{Handler: h, ConnState: h.connection, ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return fresh(ctx) }}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { server.Close() }, nil
}

// TLS is the transport of HTTP/1.1 with TLS and of HTTP/3, on one port number. Connections
// over UDP are not counted against a server's most: they hold no descriptor there.
type TLS struct {
	Config func(protocol string) *tls.Config // see package dualprotocol
}

// Listen listens at host:port.
func (t TLS) Listen(s *Server, at string, latency time.Duration) (string, func(), error) {
	h := &handler{server: s, latency: latency, counted: map[net.Conn]bool{}}
	return dualprotocol.Listen(at, dualprotocol.Options{Handler: h, Config: t.Config, State: h.connection, Context: fresh})
}

// fresh is the context of a connection that has carried nothing.
func fresh(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, new(atomic.Bool))
}

// connection counts connections; one that the server does not take is closed.
func (h *handler) connection(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if !h.server.OpenConnection() {
			c.Close()
			return
		}
		h.mu.Lock()
		h.counted[c] = true
		h.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		h.mu.Lock()
		was := h.counted[c]
		delete(h.counted, c)
		h.mu.Unlock()
		if was {
			h.server.CloseConnection()
		}
	}
}

// travel waits for as long as something takes between client and server, unless the client goes
// away meanwhile.
func travel(ctx context.Context, latency time.Duration) {
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

// ServeHTTP answers probes and requests. A client that has gone by then gets nothing.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, latency := r.Context(), h.latency
	if used := ctx.Value(freshKey{}).(*atomic.Bool); !used.Swap(true) {
		latency += 2 * h.latency // the connection's opening: loopback's own takes no time
	}
	if r.URL.Path == "/stats" || r.URL.Path == "/health/live" {
		travel(ctx, latency)
		report, ok := h.server.Probe()
		if !ok {
			<-ctx.Done() // nobody is there to say so
			return
		}
		travel(ctx, h.latency)
		if r.URL.Path == "/stats" {
			_, _ = io.WriteString(w, report)
		}
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	travel(ctx, latency) // what a client has sent comes, though it may have gone
	o, report, err := h.server.Submit(ctx, Request{Class: r.Header.Get("X-Service-Class"), ID: r.Header.Get("X-Correlation-Id"), Key: r.Header.Get("Idempotency-Key"), AffinityKey: r.Header.Get("X-Session-Key")})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	travel(ctx, h.latency)
	w.Header().Set("X-Backend-Load", report)
	switch o {
	case model.Served, model.Deduplicated:
		_, _ = io.WriteString(w, "done")
	case model.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case model.Rejected:
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case model.Unanswered:
		<-ctx.Done()
	default: // it is down
		panic(http.ErrAbortHandler)
	}
}
