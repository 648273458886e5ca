package http3upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/cert"
	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
)

// After GOAWAY, requests in flight are completed, and no new ones are sent on the connection.
func TestGoAwayCompletesRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	proceed := make(chan struct{})
	e := f.endpoint(100, func(http.ResponseWriter, *http.Request) { <-proceed })
	first := make(chan engine.Result)
	go func() { first <- f.send(e.target, time.Minute) }()
	wait.Until(t, "the first request", func() bool { return e.requests.Load() == 1 })
	down := make(chan struct{})
	go func() {
		_ = e.http.Shutdown(context.Background())
		close(down)
	}()
	wait.Until(t, "GOAWAY to arrive", func() bool { return f.send(e.target, time.Second).Status != balancer.Timeout })
	if r := f.send(e.target, time.Second); r.Status != balancer.ConnectFailed && r.Status != balancer.Full {
		t.Errorf("request after GOAWAY: status %v, want ConnectFailed or Full", r.Status)
	}
	if e.requests.Load() != 1 {
		t.Errorf("%d requests arrived, want 1", e.requests.Load())
	}
	close(proceed)
	if r := <-first; r.Status != balancer.OK {
		t.Errorf("request in flight: status %v, want OK", r.Status)
	}
	f.upstream.Close() // the server waits for its clients to disconnect
	<-down
}

// A retired target's connection is closed with its last request. The number of connections is bounded,
// and idle ones are pruned.
func TestRetireAndPruneCloseConnections(t *testing.T) {
	f := newFixture(t)
	proceed := make(chan struct{})
	e := f.endpoint(100, func(http.ResponseWriter, *http.Request) { <-proceed })
	result := make(chan engine.Result)
	go func() { result <- f.send(e.target, time.Minute) }()
	wait.Until(t, "the request", func() bool { return e.requests.Load() == 1 })
	e.target.Close()
	f.upstream.Retire(e.target)
	close(proceed)
	if r := <-result; r.Status != balancer.OK {
		t.Errorf("request in flight when retired: status %v, want OK", r.Status)
	}
	openConns := func() int {
		f.upstream.mu.Lock()
		defer f.upstream.mu.Unlock()
		return f.upstream.open
	}
	if n := openConns(); n != 0 {
		t.Errorf("%d connections are open after Retire, want 0", n)
	}
	for n := range 5 {
		quick := f.endpoint(100, func(http.ResponseWriter, *http.Request) {})
		want := balancer.OK
		if n >= 3 {
			want = balancer.NotSent
		}
		if r := f.send(quick.target, time.Minute); r.Status != want {
			t.Errorf("request on connection %d: status %v, want %v", n, r.Status, want)
		}
	}
	f.upstream.options.Idle = 0
	f.upstream.Prune()
	if n := openConns(); n != 0 {
		t.Errorf("%d connections are open after Prune, want 0", n)
	}
}

// serveWithResets runs a server on a socket until stop is called. It sends stateless resets for connections to
// earlier servers at the same address.
func (f *fixture) serveWithResets(socket net.PacketConn, requests *atomic.Int64) (stop func()) {
	f.t.Helper()
	resetKey := quic.StatelessResetKey{1}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: &resetKey}
	listener, err := transport.ListenEarly(http3.ConfigureTLSConfig(f.pair.Server), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) })
	server := &http3.Server{Handler: handler}
	served := make(chan struct{})
	go func() {
		_ = server.ServeListener(listener) // until Close
		close(served)
	}()
	return func() {
		server.Close()
		listener.Close()
		transport.Close()
		socket.Close()
		<-served
	}
}

// A restarted server does not know the connection. A request sent on it may have run, and ends at
// once with the server's stateless reset, not with a timeout; the next request uses a new connection.
func TestServerRestartResetsRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.LocalAddr().String()
	var requests atomic.Int64
	stop := f.serveWithResets(socket, &requests)
	relay, err := udprelay.Start(address, udprelay.Script{})
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	target := &engine.Target{Address: relay.Address}
	if r := f.send(target, wait.Timeout); r.Status != balancer.OK {
		t.Fatalf("before the restart: status %v, want OK", r.Status)
	}
	relay.SetBlocked(udprelay.ToClient, true)
	stop()
	if err := relay.Rebind(); err != nil { // packets in transit are lost, including the server's close
		t.Fatal(err)
	}
	if socket, err = net.ListenPacket("udp", address); err != nil {
		t.Fatal(err)
	}
	defer f.serveWithResets(socket, &requests)()
	relay.SetBlocked(udprelay.ToClient, false)
	if r := f.send(target, wait.Timeout); r.Status != balancer.Reset {
		t.Errorf("on the connection to the earlier server: status %v, want Reset", r.Status)
	}
	// The end of the connection may not have been processed yet: a request that was not written
	// because of it has not run, and is sent again.
	var r engine.Result
	wait.Until(t, "the next connection", func() bool {
		r = f.send(target, wait.Timeout)
		return r.Status != balancer.ConnectFailed
	})
	if r.Status != balancer.OK || requests.Load() != 2 {
		t.Errorf("after the restart: status %v, %d requests arrived; want OK, 2", r.Status, requests.Load())
	}
}

// handshakeCounter counts handshakes that have begun and ended.
type handshakeCounter struct {
	*cert.Pair
	begun, ended atomic.Int64
}

// QUIC counts the begin and the end of a handshake.
func (h *handshakeCounter) QUIC(t *engine.Target) (
	*tls.Config, func(tls.ConnectionState, error) func(time.Time) bool, error) {
	h.begun.Add(1)
	config, end, err := h.Pair.QUIC(t)
	return config, func(state tls.ConnectionState, err error) func(time.Time) bool {
		h.ended.Add(1)
		return end(state, err)
	}, err
}

// Close ends handshakes and load probes long before their timeouts, and waits for them.
func TestCloseWaitsForHandshakesAndProbes(t *testing.T) {
	f := newFixture(t)
	handshakes := &handshakeCounter{Pair: f.pair}
	f.upstream.options.Secure = handshakes
	f.upstream.options.DialTimeout = time.Hour
	socket, err := net.ListenPacket("udp", "127.0.0.1:0") // receives, and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	unresponsive := &engine.Target{Address: socket.LocalAddr().String()}
	var completed atomic.Bool
	f.upstream.Preconnect(unresponsive)
	f.upstream.Probe(context.Background(), unresponsive, func(engine.Result) { completed.Store(true) })
	wait.Until(t, "the handshake", func() bool { return handshakes.begun.Load() == 1 })
	start := time.Now()
	f.upstream.Close()
	if elapsed := time.Since(start); elapsed > wait.Timeout {
		t.Errorf("Close took %v, want at most %v", elapsed, wait.Timeout)
	}
	if ended := handshakes.ended.Load(); ended != 1 || !completed.Load() {
		t.Errorf("after Close %d of 1 handshakes have ended; probe completed: %t", ended, completed.Load())
	}
}
