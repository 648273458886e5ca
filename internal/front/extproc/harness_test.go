package extproc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/proxy"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/httpupstream"
)

// patience is how long a test waits for an event that must come.
const patience = 20 * time.Second

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
func (s *source) Close() {}

// harness is a processor with backend servers and a proxy.
type harness struct {
	t       *testing.T
	engine  *engine.Engine
	server  *Server
	address string
	fleet   *fakebackend.Fleet
	servers []*fakebackend.Server
	source  *source
	proxy   *proxy.Proxy
	stop    context.CancelFunc
	served  chan error
	ids     int
	mu      sync.Mutex
}

// start runs a processor with n servers until the test ends. Then no goroutine of it may remain.
func start(t *testing.T, n int, alter func(*Options, *balancer.Settings)) *harness {
	t.Helper()
	h := &harness{
		t:      t,
		fleet:  &fakebackend.Fleet{Classes: classes, Seed: 1},
		source: &source{make(chan engine.List)},
		served: make(chan error, 1),
	}
	for i := range n {
		s, err := h.fleet.Start(fmt.Sprintf("s-%d", i), i/2)
		if err != nil {
			t.Fatal(err)
		}
		h.servers = append(h.servers, s)
	}
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
		Drain:        time.Second,
		Log:          slog.New(slog.DiscardHandler),
	}
	if alter != nil {
		alter(&options, &settings)
	}
	engineCtx, stopEngine := context.WithCancel(context.Background())
	up := httpupstream.New(httpupstream.Options{DialTimeout: time.Second, Idle: time.Second, Connections: 100})
	var err error
	h.engine, err = engine.New(engineCtx, engine.Options{
		Settings:   settings,
		Seed:       7,
		Zones:      []string{"a"},
		CachedList: h.list(h.servers...),
		Upstream:   up,
		Source:     h.source,
		Log:        slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	h.server = New(h.engine, options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go h.engine.Run()
	go func() { h.served <- h.server.Serve(ctx, listener) }()
	if h.proxy, err = proxy.Dial(h.address, 2); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.proxy.Close()
		stop()
		if err := <-h.served; err != nil {
			t.Errorf("the processor ended with %v", err)
		}
		stopEngine()
		for _, s := range h.servers {
			s.Close()
		}
		goleak.VerifyNone(t)
	})
	wait.Until(t, "the servers to be known", h.engine.HasEndpoints)
	return h
}

func (h *harness) list(servers ...*fakebackend.Server) engine.List {
	list := engine.List{Version: 1, Complete: true}
	for _, s := range servers {
		list.Hosts = append(list.Hosts, engine.Host{
			Name:    s.Name,
			Address: s.Address,
			Site:    "a",
			Cell:    uint16(s.Cell),
			Weight:  1,
		})
	}
	return list
}

// request returns a client's request of a class, with an ID and a key of its own.
func (h *harness) request(class string) proxy.Request {
	h.mu.Lock()
	h.ids++
	id := strconv.Itoa(h.ids)
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

func (s testStream) end() {
	s.t.Helper()
	s.closeSend()
	if m, err := s.Recv(); !errors.Is(err, io.EOF) {
		s.t.Errorf("at the stream's end: %v, %v", m, err)
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

// awaitRemoval waits until the engine no longer knows a server.
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

// openCount returns the number of open streams and rounds. Entries may remain.
func (h *harness) openCount() int {
	streams, rounds, _ := h.server.Counts()
	return streams + rounds
}

func retryAllowed(m *extprocv3.ProcessingResponse) bool {
	for _, header := range m.GetResponseHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
		if header.Header.Key == headerRetryAllowed {
			return true
		}
	}
	return false
}
