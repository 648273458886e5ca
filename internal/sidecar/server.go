package sidecar

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"peatpost/balancer"
)

const (
	answerMargin = 10 * time.Millisecond  // of a client's time, kept for writing the final answer
	acceptAfter  = 600 * time.Millisecond // after SIGTERM: clients go on connecting for 0.4 s
	socketSpare  = 32                     // descriptors for discovery, logs and the runtime
	busyRetry    = time.Second            // wait told to clients that find all connections in use
	timeLeftMost = time.Minute            // that a request gets
	ioTimeout    = 2 * time.Minute        // for a request from its first byte to its answer's last
)

// server takes the application's requests.
type server struct {
	loop    *loop
	http    http.Server
	classes map[string]uint8
	tenants map[string]uint16
	most    int64 // connections
	open    atomic.Int64
	ending  atomic.Bool

	acceptFor time.Duration // after SIGTERM
}

// Run serves until ctx ends, then answers what it has taken and returns.
func Run(ctx context.Context, cfg *Config, log *slog.Logger) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	// The loop outlives ctx: requests in hand still need it.
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := newLoop(loopCtx, cfg, log)
	if err != nil {
		listener.Close()
		return err
	}
	return newServer(l).serve(ctx, listener)
}

// connections is the most that clients may hold, and the most to endpoints:
// every client's request has one attempt at a time.
func connections(cfg *Config) int { return (cfg.Limits.Sockets - socketSpare) / 2 }

func (s *server) serve(ctx context.Context, listener net.Listener) error {
	go s.loop.run()
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain()
}

func newServer(l *loop) *server {
	s := &server{loop: l, classes: map[string]uint8{}, tenants: map[string]uint16{}, most: int64(connections(l.cfg)),
		acceptFor: acceptAfter}
	for i, c := range l.cfg.Settings.Classes {
		s.classes[c.Name] = uint8(i)
	}
	for i, t := range l.cfg.Settings.Tenants {
		s.tenants[t.Name] = uint16(i)
	}
	// Not a ServeMux: it would redirect paths that endpoints are to see as they are.
	handler := func(w http.ResponseWriter, in *http.Request) {
		if in.URL.Path == "/health/ready" {
			s.ready(w)
		} else {
			s.request(w, in)
		}
	}
	s.http = http.Server{Handler: http.HandlerFunc(handler), ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: ioTimeout,
		MaxHeaderBytes: headMost, ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelWarn),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.open.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.open.Add(-1)
			}
		}}
	return s
}

// drain ends the service without losing a request. Idle connections are closed
// at once, while a client whose request crosses that can still connect anew;
// every answer from here on closes its connection.
func (s *server) drain() error {
	s.ending.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	time.Sleep(s.acceptFor)
	var longest balancer.Micros
	for _, c := range s.loop.cfg.Settings.Classes {
		longest = max(longest, c.GiveUp)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(longest)*time.Microsecond)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

func (s *server) ready(w http.ResponseWriter) {
	if s.ending.Load() || !s.loop.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// badRequest is what a client did wrong.
type badRequest struct {
	code   int
	reason string
}

func (e *badRequest) Error() string { return e.reason }

func bad(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// request takes one request and gives its one final answer.
func (s *server) request(w http.ResponseWriter, in *http.Request) {
	arrived := s.loop.clock.now()
	if s.open.Load() > s.most {
		// Beyond this the process runs out of descriptors, and then it can
		// neither accept nor send.
		w.Header().Set("Connection", "close")
		writeAnswer(w, answer{code: http.StatusServiceUnavailable, retryAfter: busyRetry.Microseconds()})
		return
	}
	req, err := s.parse(in, arrived)
	if err != nil {
		var b *badRequest
		if !errors.As(err, &b) {
			b = &badRequest{http.StatusBadRequest, err.Error()}
		}
		http.Error(w, b.reason, b.code)
		return
	}
	in.Body = http.MaxBytesReader(w, in.Body, bodyMost)
	body, err := io.ReadAll(in.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		http.Error(w, fmt.Sprintf("the body is over %d bytes", bodyMost), http.StatusRequestEntityTooLarge)
		return
	} else if err != nil {
		http.Error(w, "the body could not be read", http.StatusBadRequest)
		return
	}
	r := &request{answer: make(chan answer, 1),
		message: &message{method: in.Method, url: in.URL, host: in.Host, header: in.Header, body: body}}
	s.loop.post(func(now balancer.Micros) { s.loop.take(now, r, req) })
	select {
	case a := <-r.answer:
		writeAnswer(w, a)
	case <-in.Context().Done():
		s.loop.post(func(now balancer.Micros) { s.loop.gone(now, r) })
		// A client that has only stopped sending must not read a whole answer
		// that no endpoint gave.
		panic(http.ErrAbortHandler)
	}
}

func writeAnswer(w http.ResponseWriter, a answer) {
	endToEnd(w.Header(), a.header)
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.retryAfter)/1e6, 'f', 3, 64))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.code)
	w.Write(a.body) // a client that is gone by now needs no answer
}

// parse reads the headers of a request.
func (s *server) parse(in *http.Request, arrived balancer.Micros) (balancer.Request, error) {
	var req balancer.Request
	h := in.Header
	if h.Get("X-Correlation-Id") == "" {
		return req, bad("X-Correlation-Id is missing")
	}
	class, ok := s.classes[h.Get("X-Service-Class")]
	if !ok {
		return req, bad("X-Service-Class: %q is not a known class", h.Get("X-Service-Class"))
	}
	req.Class = class
	method, keyed := http.MethodPost, h.Get("Idempotency-Key") != ""
	switch s.loop.cfg.Settings.Classes[class].Repeat {
	case balancer.Safe:
		method = http.MethodGet
	case balancer.Keyed:
		if !keyed {
			return req, bad("Idempotency-Key is missing")
		}
	}
	if in.Method != method {
		return req, &badRequest{http.StatusMethodNotAllowed, fmt.Sprintf("requests of this class are %s", method)}
	}
	left, err := strconv.ParseInt(h.Get("X-Time-Left-Ms"), 10, 64)
	if err != nil || left < 0 {
		return req, bad("X-Time-Left-Ms: %q is not a whole number of milliseconds", h.Get("X-Time-Left-Ms"))
	}
	left = min(left, timeLeftMost.Milliseconds())
	req.Deadline = arrived + left*1000 - answerMargin.Microseconds()
	if len(s.tenants) > 0 {
		if req.Tenant, ok = s.tenants[h.Get("X-Account")]; !ok {
			return req, bad("X-Account: %q is not a known tenant", h.Get("X-Account"))
		}
	}
	if key := h.Get("X-Session-Key"); key != "" {
		hash := fnv.New64a()
		hash.Write([]byte(key))
		req.Key = hash.Sum64()
	}
	if hint := h.Get("X-Weight-Hint"); hint != "" {
		if req.Hint, err = strconv.ParseInt(hint, 10, 64); err != nil || req.Hint < 0 {
			return req, bad("X-Weight-Hint: %q is not a whole number of microseconds", hint)
		}
		req.HasHint = true
	}
	req.Retry = h.Get("X-Repeat") == "1"
	return req, nil
}
