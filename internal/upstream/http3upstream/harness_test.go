package http3upstream

import (
	"context"
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

	"pinedale/internal/engine"
	"pinedale/internal/standin/cert"
)

// endpoint is an HTTP/3 server that counts connections and requests.
type endpoint struct {
	target   *engine.Target
	http     *http3.Server
	conns    atomic.Int64
	requests atomic.Int64
}

// fixture is an upstream with the certificates of its endpoints.
type fixture struct {
	t        *testing.T
	pair     *cert.Pair
	upstream *Upstream
}

// newFixture returns a fixture whose upstream opens at most three connections.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, pair: cert.New(t)}
	var err error
	f.upstream, err = New(Options{
		Secure:      f.pair,
		DialTimeout: 500 * time.Millisecond,
		Idle:        time.Minute,
		Connections: 3,
		Fields:      []string{"eps", "queue"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.upstream.Close()
		goleak.VerifyNone(t)
	})
	return f
}

// endpoint starts an endpoint that accepts at most the given number of concurrent streams.
func (f *fixture) endpoint(streams int64, handle http.HandlerFunc) *endpoint {
	f.t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	e := &endpoint{target: &engine.Target{Address: conn.LocalAddr().String()}}
	e.http = &http3.Server{
		TLSConfig:  f.pair.Server,
		QUICConfig: &quic.Config{MaxIncomingStreams: streams},
		ConnContext: func(ctx context.Context, _ *quic.Conn) context.Context {
			e.conns.Add(1)
			return ctx
		},
		Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
			e.requests.Add(1)
			handle(out, in)
		}),
	}
	done := make(chan struct{})
	go func() {
		_ = e.http.Serve(conn) // until Close
		close(done)
	}()
	f.t.Cleanup(func() {
		e.http.Close()
		conn.Close()
		<-done
	})
	return e
}

// rawEndpoint starts an endpoint that calls respond on each request stream.
func (f *fixture) rawEndpoint(respond func(*quic.Stream)) *engine.Target {
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
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			goroutines.Go(func() { serveRawConn(conn, &goroutines, respond) })
		}
	})
	f.t.Cleanup(func() {
		transport.Close()
		socket.Close()
		goroutines.Wait()
	})
	return &engine.Target{Address: listener.Addr().String()}
}

// serveRawConn reads the request on each stream of a connection and calls respond on the stream.
func serveRawConn(conn *quic.Conn, goroutines *sync.WaitGroup, respond func(*quic.Stream)) {
	if control, err := conn.OpenUniStream(); err == nil {
		_, _ = control.Write([]byte{0, 4, 0}) // a control stream with no settings
	}
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		goroutines.Go(func() {
			_, _ = io.Copy(io.Discard, stream)
			respond(stream)
		})
	}
}

// send sends a request with a deadline.
func (f *fixture) send(t *engine.Target, timeout time.Duration) engine.Result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return f.upstream.attempt(ctx, t, newMessage())
}

// newMessage returns a request with a body.
func newMessage() *engine.Message {
	return &engine.Message{
		Method: http.MethodPost,
		URL:    &url.URL{Path: "/pay/x y", RawQuery: "q=1"},
		Host:   "till.example",
		Body:   []byte("body"),
		Header: http.Header{"X-Correlation-Id": {"1"}, "Connection": {"close"}},
	}
}
