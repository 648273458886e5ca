package http3upstream

import (
	"net/http"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/standin/wait"
)

// A request that has no stream yet because this process was not scheduled is not cancelled while the
// endpoint accepts streams. The endpoint sees no request from the check, and the check does not use
// up its streams.
func TestStreamWaitEndsOnlyWhereEndpointAcceptsNoStream(t *testing.T) {
	const streams = 100
	f := newFixture(t)
	e := f.endpoint(streams, func(http.ResponseWriter, *http.Request) {})
	if r := f.send(e.target, wait.Timeout); r.Status != balancer.OK {
		t.Fatalf("first request: status %v, want OK", r.Status)
	}
	f.upstream.mu.Lock()
	c := f.upstream.conns[e.target]
	f.upstream.mu.Unlock()
	cancelled := make(chan struct{})
	streamWait := newStreamWait(c.quic, func() { close(cancelled) })
	select {
	case <-cancelled:
		t.Error("cancelled though the endpoint accepts streams")
	case <-time.After(5 * streamTimeout):
	}
	streamWait.stop()
	for range 3 * streams {
		wait.Until(t, "a further stream", func() bool { return acceptsStream(c.quic) })
	}
	if r := f.send(e.target, wait.Timeout); r.Status != balancer.OK {
		t.Errorf("second request: status %v, want OK", r.Status)
	}
	if requests, conns := e.requests.Load(), e.conns.Load(); requests != 2 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", requests, conns)
	}
}
