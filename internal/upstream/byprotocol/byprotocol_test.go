package byprotocol

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/cert"
	"pinedale/internal/standin/testengine"
	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/http3upstream"
	"pinedale/internal/upstream/httpupstream"
)

// countRequests returns a handler that counts requests and responds 200.
func countRequests(requests *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) })
}

// serveHTTP1 serves HTTP/1.1 until the test ends.
func serveHTTP1(t *testing.T, listener net.Listener, handler http.Handler) {
	t.Helper()
	server := &http.Server{Handler: handler}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the HTTP/1.1 server ended with error %v", err)
		}
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
	})
}

// serveHTTP3 serves HTTP/3 until stop is called or the test ends.
func serveHTTP3(t *testing.T, pair *cert.Pair, conn net.PacketConn, handler http.Handler) (stop func()) {
	t.Helper()
	server := &http3.Server{TLSConfig: pair.Server, Handler: handler}
	served := make(chan struct{})
	go func() {
		_ = server.Serve(conn) // until Close
		close(served)
	}()
	stop = func() {
		server.Close()
		conn.Close()
		<-served
	}
	t.Cleanup(stop)
	return stop
}

// newTestUpstream returns an upstream over both protocols that is closed at the end of the test.
func newTestUpstream(t *testing.T, pair *cert.Pair, http3DialTimeout time.Duration) *Upstream {
	t.Helper()
	u, err := New(
		httpupstream.Options{DialTimeout: time.Second, Idle: time.Second, Connections: 10},
		http3upstream.Options{Secure: pair, DialTimeout: http3DialTimeout, Idle: time.Minute, Connections: 10})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.Close() })
	return u
}

// startEngine runs an engine with one endpoint until the test ends.
func startEngine(t *testing.T, u *Upstream, address string) *engine.Engine {
	t.Helper()
	e := testengine.Run(t, engine.Options{
		Seed:     1,
		Zones:    []string{"a"},
		Upstream: u,
		Log:      slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{
			Balancers: 1,
			Zones:     1,
			Contract:  balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5},
			Classes: []balancer.Class{{
				Name:             "pay",
				Idempotency:      balancer.NotIdempotent,
				LatencyObjective: 600_000,
				ClientTimeout:    5_000_000,
				PriorityWeight:   1,
			}},
			Limits: balancer.Limits{MaxAttempts: 3, MaxOpen: 100},
		},
	})
	hosts := []engine.Host{{Name: "s", Address: address, Site: "a", Weight: 1}}
	e.Call(func(now balancer.Micros) {
		e.UpdateEndpoints(now, balancer.ListFull, engine.List{Complete: true, Hosts: hosts})
	})
	return e
}

// send sends a request through the engine and returns the response's status code.
func send(e *engine.Engine, u *Upstream) int {
	responses := make(chan engine.Response, 1)
	message := &engine.Message{
		Method: http.MethodPost,
		URL:    &url.URL{Path: "/pay/x"},
		Host:   "x",
		Header: http.Header{},
		Body:   []byte("b"),
	}
	request := &engine.Request{
		Respond: func(response engine.Response) { responses <- response },
		Carrier: u.NewCarrier(message),
	}
	e.Post(func(now balancer.Micros) { e.Submit(now, request, balancer.Request{Deadline: now + 5_000_000}) })
	return (<-responses).Code
}

// An endpoint that supports both protocols gets requests over HTTP/1.1 at first, over HTTP/3 once a
// connection is established, and over HTTP/1.1 again when that connection is lost. Every request gets
// a response, and no change of protocol sends a request twice.
func TestProtocolFollowsReachabilityOfHTTP3(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	pair := cert.New(t)
	var http1Requests, http3Requests atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	datagrams, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		listener.Close()
		t.Skipf("the TCP port is in use on UDP: %v", err)
	}
	serveHTTP1(t, listener, countRequests(&http1Requests))
	stopHTTP3 := serveHTTP3(t, pair, datagrams, countRequests(&http3Requests))
	u := newTestUpstream(t, pair, time.Second)
	e := startEngine(t, u, listener.Addr().String())
	sent := int64(0)
	send := func() int {
		sent++
		return send(e, u)
	}
	if code := send(); code != http.StatusOK || http1Requests.Load() != 1 {
		t.Errorf("first request: status code %d, %d requests over HTTP/1.1, want 1", code, http1Requests.Load())
	}
	wait.Until(t, "a request over HTTP/3", func() bool { return send() == http.StatusOK && http3Requests.Load() > 0 })
	if code, before := send(), http1Requests.Load(); code != http.StatusOK || http1Requests.Load() != before {
		t.Errorf("once HTTP/3 is established: status code %d, %d requests over HTTP/1.1, want %d",
			code, http1Requests.Load(), before)
	}
	if http1Requests.Load()+http3Requests.Load() != sent {
		t.Errorf("%d requests over HTTP/1.1 and %d over HTTP/3, want %d in total",
			http1Requests.Load(), http3Requests.Load(), sent)
	}
	stopHTTP3()
	// The connection has ended and no other can be established: a request is not sent over HTTP/3
	// from now on, and later ones use HTTP/1.1.
	before := http1Requests.Load()
	wait.Until(t, "a request over HTTP/1.1 again", func() bool {
		send()
		return http1Requests.Load() > before
	})
	if code := send(); code != http.StatusOK {
		t.Errorf("a request after HTTP/3 was lost: status code %d, want 200", code)
	}
}

// While UDP is blocked in one direction no request waits for HTTP/3, and HTTP/1.1 serves all.
func TestHTTP1ServesWhileUDPIsBlockedInOneDirection(t *testing.T) {
	for name, direction := range map[string]udprelay.Direction{
		"towards the server": udprelay.ToServer,
		"towards the client": udprelay.ToClient,
	} {
		t.Run(name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			pair := cert.New(t)
			var http1Requests, http3Requests atomic.Int64
			datagrams, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			serveHTTP3(t, pair, datagrams, countRequests(&http3Requests))
			relay, err := udprelay.Start(datagrams.LocalAddr().String(), udprelay.Script{})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { relay.Close() })
			relay.SetBlocked(direction, true)
			listener, err := net.Listen("tcp", relay.Address)
			if err != nil {
				t.Skipf("the UDP port is in use on TCP: %v", err)
			}
			serveHTTP1(t, listener, countRequests(&http1Requests))
			u := newTestUpstream(t, pair, 100*time.Millisecond)
			target := &engine.Target{Name: "s", Address: relay.Address}
			probe := func() engine.Result {
				results := make(chan engine.Result, 1)
				u.Probe(context.Background(), target, func(r engine.Result) { results <- r })
				return <-results
			}
			// attempted reports whether HTTP/3 was attempted: after that no other attempt is due yet.
			attempted := func() bool {
				u.mu.Lock()
				defer u.mu.Unlock()
				_, attempt := u.tracker.Choose(time.Now(), target.Address)
				return !attempt
			}
			for n := range 20 {
				if r := probe(); r.Status != balancer.OK {
					t.Fatalf("probe %d: status %v, want OK", n, r.Status)
				}
			}
			if !attempted() || http1Requests.Load() != 20 || http3Requests.Load() != 0 {
				t.Errorf("%d over HTTP/1.1, %d over HTTP/3, attempted %t; want 20, 0, true",
					http1Requests.Load(), http3Requests.Load(), attempted())
			}
		})
	}
}
