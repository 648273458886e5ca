package either

import (
	"context"
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
	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/http3upstream"
	"pinedale/internal/upstream/httpupstream"
)

// An endpoint that speaks both is asked over HTTP/1.1 at first, over HTTP/3 once a
// connection stands, and over HTTP/1.1 again when that goes. Every request is answered,
// and none of the changes sends one twice.
func TestProtocolIsFoundOutAndLost(t *testing.T) {
	defer goleak.VerifyNone(t)
	pair := cert.New(t)
	var one, three atomic.Int64
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	datagrams, err := net.ListenPacket("udp", plain.Addr().String())
	if err != nil {
		t.Skipf("the port is taken on UDP: %v", err)
	}
	h1 := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { one.Add(1) })}
	h3 := &http3.Server{TLSConfig: pair.Server, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { three.Add(1) })}
	go func() { _ = h1.Serve(plain) }() // until Close
	served := make(chan struct{})
	go func() { _ = h3.Serve(datagrams); close(served) }()
	defer h1.Close()

	up, err := New(httpupstream.Options{DialTimeout: time.Second, Idle: time.Second, Connections: 10},
		http3upstream.Options{Secure: pair, DialTimeout: time.Second, Idle: time.Minute, Connections: 10})
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	e, err := engine.New(ctx, engine.Options{Seed: 1, Zones: []string{"a"}, Upstream: up, Log: slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{Balancers: 1, Zones: 1, Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5},
			Classes: []balancer.Class{{Name: "pay", Idempotency: balancer.NotIdempotent, LatencyObjective: 600_000, ClientTimeout: 5_000_000, PriorityWeight: 1}},
			Limits:  balancer.Limits{MaxAttempts: 3, MaxOpen: 100}}})
	if err != nil {
		t.Fatal(err)
	}
	go e.Run()
	e.Call(func(now balancer.Micros) {
		e.UpdateEndpoints(now, balancer.ListFull, engine.List{Complete: true, Hosts: []engine.Host{{Name: "s", Address: plain.Addr().String(), Site: "a", Weight: 1}}})
	})
	asked := int64(0)
	ask := func() int {
		asked++
		answer := make(chan engine.Response, 1)
		r := &engine.Request{Respond: func(a engine.Response) { answer <- a },
			Carrier: up.NewCarrier(&engine.Message{Method: "POST", URL: &url.URL{Path: "/pay/x"}, Host: "x", Header: http.Header{}, Body: []byte("b")})}
		e.Post(func(now balancer.Micros) { e.Submit(now, r, balancer.Request{Deadline: now + 5_000_000}) })
		return (<-answer).Code
	}
	if code := ask(); code != 200 || one.Load() != 1 {
		t.Errorf("the first: %d, %d over HTTP/1.1", code, one.Load())
	}
	wait.Until(t, "HTTP/3", func() bool { return ask() == 200 && three.Load() > 0 })
	if code, before := ask(), one.Load(); code != 200 || one.Load() != before {
		t.Errorf("once it is known: %d", code)
	}
	if one.Load()+three.Load() != asked {
		t.Errorf("%d and %d requests seen of %d", one.Load(), three.Load(), asked)
	}
	h3.Close()
	datagrams.Close()
	<-served
	// The connection's end is heard, and nothing can be dialled: what is asked now was
	// never sent there, and HTTP/1.1 serves what follows.
	before := one.Load()
	wait.Until(t, "HTTP/1.1 again", func() bool { ask(); return one.Load() > before })
	if code := ask(); code != 200 {
		t.Errorf("after HTTP/3 has gone: %d", code)
	}
	stop()
	e.Call(func(balancer.Micros) {})
}

// UDP that is blocked in one direction, either one: nothing waits for it, HTTP/1.1 serves every request.
func TestBlockedOneWay(t *testing.T) {
	for name, direction := range map[string]int{"towards the server": udprelay.ToServer, "towards this side": udprelay.ToClient} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			pair := cert.New(t)
			var one, three atomic.Int64
			datagrams, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			h3 := &http3.Server{TLSConfig: pair.Server, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { three.Add(1) })}
			served := make(chan struct{})
			go func() { _ = h3.Serve(datagrams); close(served) }()
			defer func() { h3.Close(); datagrams.Close(); <-served }()
			relay, err := udprelay.Start(datagrams.LocalAddr().String(), udprelay.Script{})
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			relay.Deafen(direction, true)
			plain, err := net.Listen("tcp", relay.Address)
			if err != nil {
				t.Skipf("the port is taken on TCP: %v", err)
			}
			h1 := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { one.Add(1) })}
			go func() { _ = h1.Serve(plain) }()
			defer h1.Close()
			up, err := New(httpupstream.Options{DialTimeout: time.Second, Idle: time.Second, Connections: 10},
				http3upstream.Options{Secure: pair, DialTimeout: 100 * time.Millisecond, Idle: time.Minute, Connections: 10})
			if err != nil {
				t.Fatal(err)
			}
			defer up.Close()
			target := &engine.Target{Name: "s", Address: relay.Address}
			probe := func() engine.Result {
				told := make(chan engine.Result, 1)
				up.Probe(context.Background(), target, func(r engine.Result) { told <- r })
				return <-told
			}
			tried := func() bool { // that the try has begun, and its end
				up.mu.Lock()
				defer up.mu.Unlock()
				_, try := up.memory.Use(time.Now(), target.Address)
				return !try
			}
			for n := range 20 {
				if r := probe(); r.Status != balancer.OK {
					t.Fatalf("request %d: %v", n, r.Status)
				}
			}
			if !tried() || one.Load() != 20 || three.Load() != 0 {
				t.Errorf("%d over HTTP/1.1, %d over HTTP/3, tried %t", one.Load(), three.Load(), tried())
			}
		})
	}
}
