package extproc

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/fronttest"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/proxy"
	"pinedale/internal/standin/wait"
)

var classes = []balancer.Class{
	{
		Name:             "read",
		Idempotency:      balancer.Idempotent,
		LatencyObjective: 600_000,
		ClientTimeout:    1_000_000,
		PriorityWeight:   1,
	},
	{
		Name:             "pay",
		Idempotency:      balancer.IdempotentWithKey,
		Group:            balancer.GroupAll,
		DedupWindow:      1_500_000,
		LatencyObjective: 600_000,
		ClientTimeout:    1_000_000,
		PriorityWeight:   1,
	},
	{
		Name:             "close",
		Idempotency:      balancer.IdempotentWithKey,
		Group:            balancer.GroupCell,
		DedupWindow:      2_000_000,
		LatencyObjective: 600_000,
		ClientTimeout:    1_000_000,
		PriorityWeight:   1,
	},
	{
		Name:             "order",
		Idempotency:      balancer.NotIdempotent,
		LatencyObjective: 600_000,
		ClientTimeout:    1_000_000,
		PriorityWeight:   1,
	},
}

// source is an endpoint source whose list the test replaces.
type source struct {
	lists chan engine.List
}

// Watch delivers the lists that the test sends.
func (s *source) Watch(
	ctx context.Context, after *uint64, update func(balancer.ListKind, engine.List),
) (*uint64, error) {
	for {
		select {
		case list := <-s.lists:
			update(balancer.ListFull, list)
		case <-ctx.Done():
			return after, ctx.Err()
		}
	}
}

// Close does nothing: Watch ends with its context.
func (s *source) Close() {}

// harness is a processor with backend servers and a proxy.
type harness struct {
	t       *testing.T
	engine  *engine.Engine
	server  *Server
	address string
	servers []*fakebackend.Server
	source  *source
	proxy   *proxy.Proxy
	stop    context.CancelFunc
	served  chan error
	mu      sync.Mutex
	lastID  int // of a request
}

// start runs a processor with n servers until the test ends. The test fails if a goroutine of it remains.
func start(t *testing.T, n int, alter func(*Options, *balancer.Settings)) *harness {
	t.Helper()
	settings := balancer.Settings{
		Balancers: 1,
		Zones:     1,
		Classes:   classes,
		Limits: balancer.Limits{
			Cancel:        true,
			RetryAfter:    true,
			Hedging:       true,
			MaxAttempts:   3,
			MaxOpen:       10_000,
			MaxRetryAfter: 1_000_000,
			DialTimeout:   250_000,
		},
		Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5},
	}
	options := Options{
		MaxStreams:   20_000,
		MaxBacklog:   500,
		CallersRetry: true,
		MaxEntries:   10_000,
		DrainTimeout: time.Second,
		Log:          slog.New(slog.DiscardHandler),
	}
	if alter != nil {
		alter(&options, &settings)
	}
	h := &harness{t: t, source: &source{make(chan engine.List)}, served: make(chan error, 1)}
	backend := fronttest.Start(t, fronttest.Options{
		Fleet:          &fakebackend.Fleet{Classes: classes, Seed: 1},
		Servers:        n,
		ServersPerCell: 2,
		Settings:       settings,
		Seed:           7,
		MaxConnections: 100,
		Source:         h.source,
	})
	h.engine, h.servers = backend.Engine, backend.Servers
	h.server = New(h.engine, options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = listener.Addr().String()
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	go func() { h.served <- h.server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		h.stop()
		if err := <-h.served; err != nil {
			t.Errorf("Serve returned %v", err)
		}
	})
	if h.proxy, err = proxy.Dial(h.address, 2); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.proxy.Close() })
	wait.Until(t, "the servers to be known", h.engine.HasEndpoints)
	return h
}

// request returns a client's request of a class, with an ID and a key of its own.
func (h *harness) request(class string) proxy.Request {
	h.mu.Lock()
	h.lastID++
	id := strconv.Itoa(h.lastID)
	h.mu.Unlock()
	req := proxy.Request{Method: "POST", Path: "/" + class + "/x", Body: "body", Header: map[string]string{
		"x-correlation-id": id, "x-service-class": class, "x-time-left-ms": "900"}}
	switch class {
	case "read":
		req.Method, req.Body = "GET", ""
	case "pay", "close":
		req.Header["idempotency-key"] = "key-" + id
	}
	return req
}

// testStream is a stream on which a test sends messages itself.
type testStream struct {
	extprocv3.ExternalProcessor_ProcessClient
	t *testing.T
}

// open opens a stream.
func (h *harness) open(ctx context.Context) testStream {
	h.t.Helper()
	s, err := h.proxy.OpenStream(ctx)
	if err != nil {
		h.t.Fatal(err)
	}
	return testStream{s, h.t}
}

// send sends a message, which must succeed.
func (s testStream) send(m *extprocv3.ProcessingRequest) {
	s.t.Helper()
	if err := s.Send(m); err != nil {
		s.t.Fatal(err)
	}
}

// closeSend ends the caller's side of the stream.
func (s testStream) closeSend() {
	s.t.Helper()
	if err := s.CloseSend(); err != nil {
		s.t.Fatal(err)
	}
}

// request requests a decision and returns it.
func (s testStream) request(req proxy.Request, attempt int) proxy.Decision {
	s.t.Helper()
	s.send(proxy.RequestHeaders(req, attempt))
	return s.decision()
}

// decision receives a decision.
func (s testStream) decision() proxy.Decision {
	s.t.Helper()
	m, err := s.Recv()
	if err != nil {
		s.t.Fatal(err)
	}
	decision, err := proxy.ParseDecision(m)
	if err != nil {
		s.t.Fatal(err)
	}
	return decision
}

// report reports an answer and returns the response to it.
func (s testStream) report(code int, details string, served string) *extprocv3.ProcessingResponse {
	s.t.Helper()
	if err := s.Send(proxy.ResponseHeaders(code, nil, details, served)); err != nil {
		s.t.Fatal(err)
	}
	m, err := s.Recv()
	if err != nil {
		s.t.Fatal(err)
	}
	return m
}

// end ends the stream, which must succeed.
func (s testStream) end() {
	s.t.Helper()
	s.closeSend()
	if m, err := s.Recv(); !errors.Is(err, io.EOF) {
		s.t.Errorf("at the end of the stream: message %v, error %v, want io.EOF", m, err)
	}
}

// status waits for the end of the stream and returns its code.
func (s testStream) status() codes.Code {
	s.t.Helper()
	for {
		if _, err := s.Recv(); errors.Is(err, io.EOF) {
			return codes.OK
		} else if err != nil {
			return status.Code(err)
		}
	}
}

// awaitRemoval waits until the engine has removed a server.
func (h *harness) awaitRemoval(address string) {
	h.t.Helper()
	wait.Until(h.t, "the removal of "+address, func() bool {
		found := uint32(1)
		h.engine.Call(func(balancer.Micros) { found = h.engine.EndpointAt(address) })
		return found == 0
	})
}

// awaitRelease waits until the ledger holds no stream and no round.
func (h *harness) awaitRelease() {
	h.t.Helper()
	wait.Until(h.t, "the release of all streams", func() bool { return h.openCount() == 0 })
}

// blockEngine blocks the engine's goroutine until release is called.
func (h *harness) blockEngine() (release func()) {
	blocked, released := make(chan struct{}), make(chan struct{})
	h.engine.Post(func(balancer.Micros) {
		close(blocked)
		<-released
	})
	<-blocked
	return func() { close(released) }
}

// openCount returns the number of open streams and rounds. Entries are not counted, since they outlive their rounds.
func (h *harness) openCount() int {
	streams, rounds, _ := h.server.Counts()
	return streams + rounds
}

// retryAllowed reports whether a response allows the proxy to request another decision.
func retryAllowed(m *extprocv3.ProcessingResponse) bool {
	for _, header := range m.GetResponseHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
		if header.Header.Key == headerRetryAllowed {
			return true
		}
	}
	return false
}
