package http3upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/cert"
	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
)

// endpoint is an HTTP/3 server, with what a test wants to know of it.
type endpoint struct {
	target *engine.Target
	http   *http3.Server
	conns  atomic.Int64
	seen   atomic.Int64
}

// fixture is an upstream, and certificates for endpoints.
type fixture struct {
	t    *testing.T
	pair *cert.Pair
	up   *Upstream
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, pair: cert.New(t)}
	var err error
	if f.up, err = New(Options{Secure: f.pair, DialTimeout: 500 * time.Millisecond, Idle: time.Minute, Connections: 3, Fields: []string{"eps", "queue"}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.up.Close()
		goleak.VerifyNone(t)
	})
	return f
}

func (f *fixture) endpoint(streams int64, handle http.HandlerFunc) *endpoint {
	f.t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	e := &endpoint{target: &engine.Target{Address: conn.LocalAddr().String()}}
	e.http = &http3.Server{TLSConfig: f.pair.Server, QUICConfig: &quic.Config{MaxIncomingStreams: streams},
		ConnContext: func(ctx context.Context, _ *quic.Conn) context.Context { e.conns.Add(1); return ctx },
		Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
			e.seen.Add(1)
			handle(out, in)
		})}
	done := make(chan struct{})
	go func() { _ = e.http.Serve(conn); close(done) }()
	f.t.Cleanup(func() { e.http.Close(); conn.Close(); <-done })
	return e
}

// raw is an endpoint that does what a test says with each request stream.
func (f *fixture) raw(respond func(c *quic.Conn, s *quic.Stream)) *engine.Target {
	f.t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(http3.ConfigureTLSConfig(f.pair.Server), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			all.Go(func() {
				if control, err := c.OpenUniStream(); err == nil {
					_, _ = control.Write([]byte{0, 4, 0}) // a control stream with no settings
				}
				for {
					s, err := c.AcceptStream(context.Background())
					if err != nil {
						return
					}
					all.Go(func() { _, _ = io.Copy(io.Discard, s); respond(c, s) })
				}
			})
		}
	})
	f.t.Cleanup(func() { transport.Close(); socket.Close(); all.Wait() })
	return &engine.Target{Address: listener.Addr().String()}
}

func (f *fixture) send(t *engine.Target, patience time.Duration) engine.Result {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return f.up.attempt(ctx, t, message())
}

func message() *engine.Message {
	return &engine.Message{Method: "POST", URL: &url.URL{Path: "/pay/x y", RawQuery: "q=1"}, Host: "till.example", Body: []byte("body"),
		Header: http.Header{"X-Correlation-Id": {"1"}, "Connection": {"close"}}}
}

// One connection carries many requests, each with its whole head and body.
func TestRequestsShareOneConnection(t *testing.T) {
	f := newFixture(t)
	e := f.endpoint(100, func(out http.ResponseWriter, in *http.Request) {
		body, _ := io.ReadAll(in.Body)
		out.Header().Set("X-Backend-Load", "eps=1,queue=2")
		fmt.Fprint(out, in.Method, in.Host, in.URL.RequestURI(), in.Header.Get("X-Correlation-Id"), in.Header.Get("Connection"), string(body), in.Header.Get("X-Time-Left-Ms") != "")
	})
	var all sync.WaitGroup
	for range 30 {
		all.Go(func() {
			r := f.send(e.target, 10*time.Second)
			if r.Status != balancer.OK || string(r.Body) != "POSTtill.example/pay/x%20y?q=11bodytrue" || len(r.Load) != 2 || r.Load[1] != 2 {
				t.Errorf("%v %q %v", r.Status, r.Body, r.Load)
			}
		})
	}
	all.Wait()
	if n := e.conns.Load(); n != 1 {
		t.Errorf("%d connections for 30 requests", n)
	}
}

// What an outcome proves.
func TestOutcomeStatesWhatIsProven(t *testing.T) {
	f := newFixture(t)
	answers := f.endpoint(100, func(out http.ResponseWriter, in *http.Request) {
		switch in.Header.Get("X-Correlation-Id") {
		case "away":
			out.Header().Set("X-Unprocessed", "1")
			out.WriteHeader(503)
		case "busy":
			out.WriteHeader(503)
		case "error":
			out.WriteHeader(500)
		case "abort":
			panic(http.ErrAbortHandler)
		case "large":
			_, _ = out.Write(make([]byte, 1<<20))
		case "stall":
			out.WriteHeader(200)
			out.(http.Flusher).Flush()
			<-in.Context().Done()
		case "silent":
			<-in.Context().Done()
		}
	})
	for id, want := range map[string]balancer.Status{"away": balancer.Full, "busy": balancer.Error, "error": balancer.Error, "abort": balancer.Reset,
		"large": balancer.Reset, "stall": balancer.Reset, "silent": balancer.Timeout} {
		m := message()
		m.Header.Set("X-Correlation-Id", id)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if r := f.up.attempt(ctx, answers.target, m); r.Status != want {
			t.Errorf("%s: %v, want %v", id, r.Status, want)
		}
		cancel()
	}
	reset := func(code http3.ErrCode) *engine.Target {
		return f.raw(func(_ *quic.Conn, s *quic.Stream) { s.CancelWrite(quic.StreamErrorCode(code)) })
	}
	if r := f.send(reset(http3.ErrCodeRequestRejected), time.Second); r.Status != balancer.Full {
		t.Errorf("rejected unseen: %v", r.Status)
	}
	if r := f.send(reset(http3.ErrCodeInternalError), time.Second); r.Status != balancer.Reset {
		t.Errorf("reset after the last byte: %v", r.Status)
	}
}

// Where nobody is, an attempt ends with the time to connect and was never sent; the next
// one dials anew.
func TestUnreachableEndpointProvesNotRun(t *testing.T) {
	f := newFixture(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0") // hears, and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	began := time.Now()
	for range 2 {
		if r := f.send(&engine.Target{Address: socket.LocalAddr().String()}, 10*time.Second); r.Status != balancer.ConnectFailed {
			t.Errorf("%v", r.Status)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("two attempts took %v", took)
	}
	closed := &engine.Target{Address: socket.LocalAddr().String()}
	closed.Close()
	if r := f.send(closed, time.Second); r.Status != balancer.NotSent {
		t.Errorf("to a closed target: %v", r.Status)
	}
}

// An endpoint that answers on UDP and takes no new streams: a request is let go within
// the time that is stated, as one that was not sent, long before its deadline.
func TestStreamLimitProvesNotRun(t *testing.T) {
	f := newFixture(t)
	end := make(chan struct{})
	e := f.endpoint(1, func(_ http.ResponseWriter, in *http.Request) { <-end })
	first := make(chan engine.Result)
	go func() { first <- f.send(e.target, time.Minute) }()
	wait.Until(t, "the first to be there", func() bool { return e.seen.Load() == 1 })
	began := time.Now()
	if r := f.send(e.target, time.Minute); r.Status != balancer.ConnectFailed || e.seen.Load() != 1 {
		t.Errorf("%v, %d seen", r.Status, e.seen.Load())
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("let go after %v", took)
	}
	close(end)
	if r := <-first; r.Status != balancer.OK {
		t.Errorf("the first: %v", r.Status)
	}
}

// GOAWAY: what is in hand is answered, nothing new is sent on the connection.
func TestGoAwayCompletesRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	answer := make(chan struct{})
	e := f.endpoint(100, func(http.ResponseWriter, *http.Request) { <-answer })
	first := make(chan engine.Result)
	go func() { first <- f.send(e.target, time.Minute) }()
	wait.Until(t, "the first to be there", func() bool { return e.seen.Load() == 1 })
	down := make(chan struct{})
	go func() { _ = e.http.Shutdown(context.Background()); close(down) }()
	wait.Until(t, "the end to be heard", func() bool { return f.send(e.target, time.Second).Status != balancer.Timeout })
	if r := f.send(e.target, time.Second); r.Status != balancer.ConnectFailed && r.Status != balancer.Full {
		t.Errorf("after GOAWAY: %v", r.Status)
	}
	if e.seen.Load() != 1 {
		t.Errorf("%d requests are seen", e.seen.Load())
	}
	close(answer)
	if r := <-first; r.Status != balancer.OK {
		t.Errorf("the one in hand: %v", r.Status)
	}
	f.up.Close() // the server waits for its clients to go
	<-down
}

// An attempt that is called off resets its stream: the endpoint learns of it.
func TestCancelledAttemptResetsItsStream(t *testing.T) {
	f := newFixture(t)
	streamReset := make(chan struct{})
	e := f.endpoint(100, func(_ http.ResponseWriter, in *http.Request) { <-in.Context().Done(); close(streamReset) })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	result := make(chan engine.Result)
	go func() { result <- f.up.attempt(ctx, e.target, message()) }()
	wait.Until(t, "it to be there", func() bool { return e.seen.Load() == 1 })
	cancel()
	if r := <-result; r.Status != balancer.Cancelled {
		t.Errorf("%v", r.Status)
	}
	<-streamReset
}

// A retired target's connection goes with its last request; connections are bounded, and
// pruned once idle.
func TestRetireAndPruneCloseConnections(t *testing.T) {
	f := newFixture(t)
	answer := make(chan struct{})
	e := f.endpoint(100, func(http.ResponseWriter, *http.Request) { <-answer })
	result := make(chan engine.Result)
	go func() { result <- f.send(e.target, time.Minute) }()
	wait.Until(t, "it to be there", func() bool { return e.seen.Load() == 1 })
	e.target.Close()
	f.up.Retire(e.target)
	close(answer)
	if r := <-result; r.Status != balancer.OK {
		t.Errorf("in hand when retired: %v", r.Status)
	}
	openConns := func() int {
		f.up.mu.Lock()
		defer f.up.mu.Unlock()
		return f.up.open
	}
	if n := openConns(); n != 0 {
		t.Errorf("%d connections are held", n)
	}
	for n := range 5 {
		quick := f.endpoint(100, func(http.ResponseWriter, *http.Request) {})
		want := balancer.OK
		if n >= 3 {
			want = balancer.NotSent
		}
		if r := f.send(quick.target, time.Minute); r.Status != want {
			t.Errorf("connection %d: %v", n, r.Status)
		}
	}
	f.up.options.Idle = 0
	f.up.Prune()
	if n := openConns(); n != 0 {
		t.Errorf("%d connections are held after the pruning", n)
	}
}

// A server that restarts knows nothing of the connection. What is sent on it meanwhile may have run for all that
// this side knows, and ends at once by the server's word, not by a time-out; the next request finds the server.
func TestServerRestartResetsRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.LocalAddr().String()
	var seen atomic.Int64
	resets := quic.StatelessResetKey{1}
	serve := func(socket net.PacketConn) (stop func()) {
		transport := &quic.Transport{Conn: socket, StatelessResetKey: &resets}
		listener, err := transport.ListenEarly(http3.ConfigureTLSConfig(f.pair.Server), nil)
		if err != nil {
			t.Fatal(err)
		}
		server := &http3.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen.Add(1) })}
		done := make(chan struct{})
		go func() { _ = server.ServeListener(listener); close(done) }()
		return func() { server.Close(); listener.Close(); transport.Close(); socket.Close(); <-done }
	}
	stop := serve(socket)
	relay, err := udprelay.Start(address, udprelay.Script{})
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	at := &engine.Target{Address: relay.Address}
	if r := f.send(at, wait.Patience); r.Status != balancer.OK {
		t.Fatalf("before: %v", r.Status)
	}
	relay.Deafen(udprelay.ToClient, true)
	stop()
	if err := relay.Rebind(); err != nil { // no farewell comes later: what is on its way is lost
		t.Fatal(err)
	}
	if socket, err = net.ListenPacket("udp", address); err != nil {
		t.Fatal(err)
	}
	defer serve(socket)()
	relay.Deafen(udprelay.ToClient, false)
	if r := f.send(at, wait.Patience); r.Status != balancer.Reset {
		t.Errorf("on the connection of before: %v, want may have run", r.Status)
	}
	// The end of the connection may still be on its way through this process: what is then not written has not
	// run, and is sent again.
	var r engine.Result
	wait.Until(t, "the next connection", func() bool { r = f.send(at, wait.Patience); return r.Status != balancer.ConnectFailed })
	if r.Status != balancer.OK || seen.Load() != 2 {
		t.Errorf("after: %v, %d requests seen", r.Status, seen.Load())
	}
}

// 5% and 20% of datagrams lost, doubled and out of order on the way to a server: each request is sent once,
// whatever the path does with its packets, and answered.
func TestPacketLossSendsNoRequestTwice(t *testing.T) {
	for _, loss := range []float64{0.05, 0.2} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			f := newFixture(t)
			ids := sync.Map{}
			var duplicates atomic.Int64
			e := f.endpoint(100, func(_ http.ResponseWriter, in *http.Request) {
				if _, was := ids.LoadOrStore(in.Header.Get("X-Correlation-Id"), true); was {
					duplicates.Add(1)
				}
			})
			relay, err := udprelay.Start(e.target.Address, udprelay.Script{Loss: loss, Double: 0.05, Swap: 0.05, Seed: 7})
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			at := &engine.Target{Address: relay.Address}
			served := 0
			for n := range 60 {
				m := message()
				m.Header.Set("X-Correlation-Id", fmt.Sprint(n))
				ctx, cancel := context.WithTimeout(context.Background(), wait.Patience)
				switch r := f.up.attempt(ctx, at, m); r.Status {
				case balancer.OK:
					served++
				case balancer.ConnectFailed, balancer.Reset: // no handshake in its time, or an answer that stalled
				default:
					t.Errorf("request %d: %v", n, r.Status)
				}
				cancel()
			}
			if served == 0 || duplicates.Load() != 0 || int(e.seen.Load()) < served {
				t.Errorf("%d served, %d seen, %d twice", served, e.seen.Load(), duplicates.Load())
			}
		})
	}
}
