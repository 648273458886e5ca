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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"peatpost/balancer"
)

const (
	answerMargin = 2 * time.Millisecond   // of a client's time, kept for writing the final answer: some have 40 ms in all
	acceptAfter  = 600 * time.Millisecond // after SIGTERM: clients go on connecting for 0.4 s
	socketSpare  = 32                     // descriptors for discovery, logs and the runtime
	busyRetry    = time.Second            // wait told to clients that find all room for bodies in use
	timeLeftMost = time.Minute            // that a request gets
	idMost       = 256                    // characters of an id: an id of the protocol has 16
	crowdPart    = 6                      // of the descriptors: clients hold twice as many for requests at most
	bodiesPart   = 8                      // of the memory, this part may hold bodies of requests

	// A request comes in one piece from the application next door. A client that
	// takes longer is silent, slow on purpose or dead, and 3 s are the most it may stay.
	readTimeout  = 2 * time.Second
	idleTimeout  = 2100 * time.Millisecond // a connection may be closed after 2 s with no request open
	writeTimeout = 2 * time.Second         // for an answer: it fits into the socket's buffer unless a client reads nothing
)

// server takes the application's requests.
type server struct {
	loop    *loop
	http    http.Server
	clients *clients
	classes map[string]uint8
	tenants map[string]uint16
	bodies  atomic.Int64 // bytes of bodies of requests in hand
	ending  atomic.Bool

	mu  sync.Mutex
	ids map[string]bool // X-Correlation-Id of the requests in hand

	acceptFor time.Duration // after SIGTERM
}

// Run serves until ctx ends, then answers what it has taken and returns. New
// configurations may come at any time.
func Run(ctx context.Context, cfg *Config, reloads <-chan *Config, log *slog.Logger) error {
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
	go func() {
		for next := range reloads {
			l.post(func(balancer.Micros) { l.reload(next) })
		}
	}()
	return newServer(l).serve(ctx, listener)
}

// connections is the most that clients may hold, and the most to endpoints:
// every client's request has one attempt at a time.
func connections(cfg *Config) int { return (cfg.Limits.Sockets - socketSpare) / 2 }

func (s *server) serve(ctx context.Context, listener net.Listener) error {
	s.clients.Listener = listener
	go s.loop.run()
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.clients) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain()
}

// connKey finds the connection of a request in its context.
type connKey struct{}

func newServer(l *loop) *server {
	s := &server{loop: l, classes: map[string]uint8{}, tenants: map[string]uint16{}, ids: map[string]bool{},
		clients: &clients{most: connections(l.cfg), mostAsked: l.cfg.Limits.Sockets / crowdPart}, acceptFor: acceptAfter}
	for i, c := range l.cfg.Settings.Classes {
		s.classes[c.Name] = uint8(i)
	}
	for i, t := range l.cfg.Settings.Tenants {
		s.tenants[t.Name] = uint16(i)
	}
	// Not a ServeMux: it would redirect paths that endpoints are to see as they are.
	s.http = http.Server{Handler: http.HandlerFunc(s.handle),
		ReadTimeout: readTimeout, WriteTimeout: timeLeftMost + writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headMost, ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
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

// reject turns a request away, with its connection: what else a client sends
// that gets this much wrong is not worth reading.
func reject(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	code := http.StatusBadRequest
	var b *badRequest
	if errors.As(err, &b) {
		code = b.code
	}
	http.Error(w, err.Error(), code)
}

// handle reads a request whole and answers it.
func (s *server) handle(w http.ResponseWriter, in *http.Request) {
	arrived := s.loop.clock.now()
	c := in.Context().Value(connKey{}).(*clientConn)
	if c.ambiguous() {
		// What follows the head may hide another request: the connection ends here.
		reject(w, bad("Content-Length beside another, or beside Transfer-Encoding"))
		return
	}
	ready := in.URL.Path == "/health/ready"
	var req balancer.Request
	if !ready {
		var err error
		if req, err = s.parse(in, arrived); err != nil {
			reject(w, err)
			return
		}
	}
	held := int64(bodyMost)
	if in.ContentLength >= 0 {
		held = in.ContentLength
	}
	if held > bodyMost {
		reject(w, &badRequest{http.StatusRequestEntityTooLarge, tooLarge})
		return
	}
	defer s.bodies.Add(-held)
	if s.bodies.Add(held) > int64(s.loop.cfg.Limits.MemoryMB)<<20/bodiesPart {
		w.Header().Set("Connection", "close")
		writeAnswer(w, answer{code: http.StatusServiceUnavailable, retryAfter: busyRetry.Microseconds()})
		return
	}
	body, err := readBody(w, in)
	if err != nil {
		reject(w, err)
		return
	}
	alone, ok := c.begin(in.ContentLength)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer c.done()
	// The deadline for reading the request would otherwise end its context
	// while the answer is still awaited.
	c.SetReadDeadline(time.Time{})
	if !alone {
		// Clients send one request at a time. What came behind this one is left
		// unread: only a client's own word says that it is a request.
		w.Header().Set("Connection", "close")
	}
	if ready {
		s.ready(w)
		return
	}
	s.request(w, in, c, req, body)
}

var tooLarge = fmt.Sprintf("the body is over %d bytes", bodyMost)

// readBody reads a request's body, within its limit.
func readBody(w http.ResponseWriter, in *http.Request) ([]byte, error) {
	if in.ContentLength >= 0 {
		body := make([]byte, in.ContentLength)
		if _, err := io.ReadFull(in.Body, body); err != nil {
			return nil, bad("the body could not be read")
		}
		return body, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, in.Body, bodyMost))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &badRequest{http.StatusRequestEntityTooLarge, tooLarge}
	} else if err != nil {
		return nil, bad("the body could not be read")
	}
	return body, nil
}

// request takes one request and gives its one final answer.
func (s *server) request(w http.ResponseWriter, in *http.Request, c *clientConn, req balancer.Request, body []byte) {
	id := in.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	open := s.ids[id]
	s.ids[id] = true
	s.mu.Unlock()
	if open {
		reject(w, &badRequest{http.StatusConflict, "a request with this X-Correlation-Id is open"})
		return
	}
	defer func() {
		s.mu.Lock()
		delete(s.ids, id)
		s.mu.Unlock()
	}()
	r := &request{answer: make(chan answer, 1),
		message: &message{method: in.Method, url: in.URL, host: in.Host, header: in.Header, body: body}}
	s.loop.post(func(now balancer.Micros) { s.loop.take(now, r, req) })
	select {
	case a := <-r.answer:
		if s.clients.crowded() {
			w.Header().Set("Connection", "close")
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
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

// single headers have one value. A second one could be the one that somebody
// else on the way goes by.
var single = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Session-Key",
	"X-Time-Left-Ms", "X-Repeat", "X-Weight-Hint", "Idempotency-Key"}

// parse reads the headers of a request.
func (s *server) parse(in *http.Request, arrived balancer.Micros) (balancer.Request, error) {
	var req balancer.Request
	h := in.Header
	for _, name := range single {
		if len(h[name]) > 1 {
			return req, bad("%s is there %d times", name, len(h[name]))
		}
	}
	if id := h.Get("X-Correlation-Id"); id == "" || len(id) > idMost {
		return req, bad("X-Correlation-Id: %d characters, must be 1 to %d", len(id), idMost)
	}
	name := h.Get("X-Service-Class")
	class, ok := s.classes[name]
	if !ok {
		return req, bad("X-Service-Class: %q is not a known class", name)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(in.URL.Path, "/"), "/"); first != name {
		return req, bad("the path is not of X-Service-Class %q", name)
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
	if method == http.MethodGet && in.ContentLength != 0 {
		return req, bad("a GET has no body")
	}
	left, err := strconv.ParseUint(h.Get("X-Time-Left-Ms"), 10, 63)
	if err != nil {
		return req, bad("X-Time-Left-Ms: %q is not a whole number of milliseconds", h.Get("X-Time-Left-Ms"))
	}
	left = min(left, uint64(timeLeftMost.Milliseconds()))
	req.Deadline = arrived + int64(left)*1000 - answerMargin.Microseconds()
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
		micros, err := strconv.ParseUint(hint, 10, 63)
		if err != nil {
			return req, bad("X-Weight-Hint: %q is not a whole number of microseconds", hint)
		}
		req.Hint, req.HasHint = int64(micros), true
	}
	switch h.Get("X-Repeat") {
	case "1":
		req.Retry = true
	case "", "0":
	default:
		return req, bad("X-Repeat: %q is neither 0 nor 1", h.Get("X-Repeat"))
	}
	return req, nil
}
