package extproc

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"pinedale/balancer"
	"pinedale/internal/standin/proxy"
	"pinedale/internal/standin/wait"
)

// If the caller disconnects before the decision, nothing counts as sent. The module does not delay decisions here, so
// the engine is blocked until the caller is gone.
func TestDisconnectBeforeDecisionLeavesNothing(t *testing.T) {
	h := start(t, 1, nil)
	for range 20 {
		release := h.blockEngine()
		ctx, cancel := context.WithCancel(context.Background())
		s := h.open(ctx)
		s.send(proxy.RequestHeaders(h.request("order"), 0))
		wait.Until(t, "the request", func() bool { return h.server.backlog.Load() == 1 })
		cancel()
		s.status()
		wait.Until(t, "the stream's end", func() bool { return h.server.streams.Load() == 0 })
		release()
		h.awaitRelease()
	}
	if _, _, entries := h.server.Counts(); entries != 0 {
		t.Errorf("the ledger has %d entries of requests that were never sent, want 0", entries)
	}
}

// If the caller disconnects at the decision, the request may have run: one that is not idempotent is not forwarded
// again, and nothing stays in flight.
func TestDisconnectAtDecisionCountsAsMayHaveRun(t *testing.T) {
	h := start(t, 2, nil)
	ctx, cancel := context.WithCancel(context.Background())
	s, req := h.open(ctx), h.request("order")
	if decision := s.request(req, 0); decision.Endpoint == "" {
		t.Fatalf("decision %+v, want an endpoint", decision)
	}
	cancel()
	h.awaitRelease()
	next := h.open(context.Background())
	if decision := next.request(req, 2); decision.Code != 409 {
		t.Errorf("decision for the repeated request: %+v, want 409", decision)
	}
	next.end()
}

// The request of a caller that keeps its stream and never reports is released at the deadline. A late report gets the
// final answer.
func TestMissingReportIsReleasedAtDeadline(t *testing.T) {
	h := start(t, 1, nil)
	s, req := h.open(context.Background()), h.request("close")
	req.Header["x-time-left-ms"] = "100"
	s.request(req, 0)
	requests := func() int {
		count := 0
		h.engine.Call(func(balancer.Micros) { count, _ = h.engine.Counts() })
		return count
	}
	wait.Until(t, "the request's release", func() bool { return requests() == 0 })
	if m := s.report(504, "response_timeout", ""); m.GetImmediateResponse().GetStatus().GetCode() != 502 {
		t.Errorf("response to the late report: %v, want 502", m)
	}
	s.end()
}

// Requests beyond the backlog are rejected at once.
func TestFullBacklogRejectsAtOnce(t *testing.T) {
	h := start(t, 1, func(o *Options, _ *balancer.Settings) { o.MaxBacklog = 3 })
	release := h.blockEngine()
	var waiting []testStream
	for range 3 {
		s := h.open(context.Background())
		s.send(proxy.RequestHeaders(h.request("pay"), 0))
		waiting = append(waiting, s)
	}
	wait.Until(t, "the backlog", func() bool { return h.server.backlog.Load() == 3 })
	s := h.open(context.Background())
	if decision := s.request(h.request("pay"), 0); decision.Code != 503 || decision.RetryAfter == "" {
		t.Errorf("decision beyond the backlog: %+v, want 503 with Retry-After", decision)
	}
	s.end()
	release()
	for _, s := range waiting {
		if decision := s.decision(); decision.Endpoint == "" {
			t.Errorf("decision within the backlog: %+v, want an endpoint", decision)
		}
		s.end()
	}
}

// Streams beyond the limit end with ResourceExhausted. Idle streams take little memory, and end at their deadline.
func TestIdleStreamsAreBoundedAndExpire(t *testing.T) {
	const (
		maxStreams     = 10_000
		maxStreamBytes = 32 << 10 // on the client and the server together
	)
	h := start(t, 1, func(o *Options, _ *balancer.Settings) {
		o.MaxStreams = maxStreams
		o.DrainTimeout = 6*time.Second - streamGrace
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := memory()
	var idle []testStream
	for range maxStreams {
		idle = append(idle, h.open(ctx))
	}
	wait.Until(t, "all streams", func() bool { return h.server.streams.Load() == maxStreams })
	if n := (memory() - before) / maxStreams; n > maxStreamBytes {
		t.Errorf("an idle stream takes %d bytes, want at most %d", n, maxStreamBytes)
	}
	s, err := h.proxy.OpenStream(context.Background())
	if err == nil {
		_, err = s.Recv()
	}
	if status.Code(err) != codes.ResourceExhausted {
		t.Errorf("a stream beyond the limit: %v, want ResourceExhausted", err)
	}
	for _, s := range idle {
		if got := s.status(); got != codes.DeadlineExceeded {
			t.Fatalf("an idle stream ended with %v, want DeadlineExceeded", got)
		}
	}
	wait.Until(t, "the streams' end", func() bool { return h.server.streams.Load() == 0 })
	after := h.open(context.Background())
	if decision := after.request(h.request("pay"), 0); decision.Endpoint == "" {
		t.Errorf("decision after the idle streams have ended: %+v, want an endpoint", decision)
	}
	after.end()
}

// At shutdown the health check fails, open requests finish, callers get GOAWAY, and new requests are rejected.
func TestGracefulShutdownFinishesOpenRequests(t *testing.T) {
	h := start(t, 2, nil)
	conn, err := grpc.NewClient(h.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	health, err := healthv1.NewHealthClient(conn).Watch(context.Background(), &healthv1.HealthCheckRequest{
		Service: extprocv3.ExternalProcessor_ServiceDesc.ServiceName})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := health.Recv(); err != nil || m.Status != healthv1.HealthCheckResponse_SERVING {
		t.Fatalf("health check: %v, %v, want SERVING", m, err)
	}
	s := h.open(context.Background())
	decision := s.request(h.request("pay"), 0)
	h.stop()
	if m, err := health.Recv(); err != nil || m.Status != healthv1.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health check at shutdown: %v, %v, want NOT_SERVING", m, err)
	}
	conn.Close()
	wait.Until(t, "the end of accepting", func() bool {
		c, err := net.Dial("tcp", h.address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	laterProxy, err := proxy.Dial(h.address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer laterProxy.Close()
	if answer := laterProxy.Do(context.Background(), h.request("pay"), proxy.Behaviour{}); answer.Err == nil {
		t.Errorf("a new request at shutdown: %+v, want an error", answer)
	}
	if m := s.report(200, "via_upstream", decision.Endpoint); m.GetResponseHeaders() == nil {
		t.Errorf("response to the report of the open request: %v, want response headers", m)
	}
	s.end()
	err = <-h.served
	h.served <- err
	if err != nil {
		t.Errorf("Serve returned %v", err)
	}
}
