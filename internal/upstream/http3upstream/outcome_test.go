package http3upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
)

// One connection carries many requests, each with its complete header and body.
func TestRequestsShareOneConnection(t *testing.T) {
	const timeout = 10 * time.Second
	f := newFixture(t)
	f.upstream.options.DialTimeout = timeout // the fixture's is short, for endpoints that never respond
	e := f.endpoint(100, func(out http.ResponseWriter, in *http.Request) {
		body, _ := io.ReadAll(in.Body)
		out.Header().Set("X-Backend-Load", "eps=1,queue=2")
		fmt.Fprint(out, in.Method, in.Host, in.URL.RequestURI(), in.Header.Get("X-Correlation-Id"),
			in.Header.Get("Connection"), string(body), in.Header.Get("X-Time-Left-Ms") != "")
	})
	var requests sync.WaitGroup
	for range 30 {
		requests.Go(func() {
			r := f.send(e.target, timeout)
			const want = "POSTtill.example/pay/x%20y?q=11bodytrue"
			if r.Status != balancer.OK || string(r.Body) != want || len(r.Load) != 2 || r.Load[1] != 2 {
				t.Errorf("status %v, body %q, load %v; want OK, %q, 2 values", r.Status, r.Body, r.Load, want)
			}
		})
	}
	requests.Wait()
	if n := e.conns.Load(); n != 1 {
		t.Errorf("%d connections for 30 requests, want 1", n)
	}
}

// Outcomes after which a request may have run, and the outcome that proves that it has not.
func TestOutcomeStatesWhatIsProven(t *testing.T) {
	f := newFixture(t)
	e := f.endpoint(100, func(out http.ResponseWriter, in *http.Request) {
		switch in.Header.Get("X-Correlation-Id") {
		case "rejected":
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
		case "unresponsive":
			<-in.Context().Done()
		}
	})
	for id, want := range map[string]balancer.Status{
		"rejected":     balancer.Full,
		"busy":         balancer.Error,
		"error":        balancer.Error,
		"abort":        balancer.Reset,
		"large":        balancer.Reset,
		"stall":        balancer.Reset,
		"unresponsive": balancer.Timeout,
	} {
		message := newMessage()
		message.Header.Set("X-Correlation-Id", id)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if r := f.upstream.attempt(ctx, e.target, message); r.Status != want {
			t.Errorf("%s: status %v, want %v", id, r.Status, want)
		}
		cancel()
	}
	reset := func(code http3.ErrCode) *engine.Target {
		return f.rawEndpoint(func(stream *quic.Stream) { stream.CancelWrite(quic.StreamErrorCode(code)) })
	}
	if r := f.send(reset(http3.ErrCodeRequestRejected), time.Second); r.Status != balancer.Full {
		t.Errorf("request rejected unprocessed: status %v, want Full", r.Status)
	}
	if r := f.send(reset(http3.ErrCodeInternalError), time.Second); r.Status != balancer.Reset {
		t.Errorf("stream reset after the last byte: status %v, want Reset", r.Status)
	}
}

// If no endpoint responds, an attempt ends at the dial timeout as not run, and the next one dials
// again.
func TestUnreachableEndpointProvesNotRun(t *testing.T) {
	f := newFixture(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0") // receives, and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	start := time.Now()
	for range 2 {
		target := &engine.Target{Address: socket.LocalAddr().String()}
		if r := f.send(target, 10*time.Second); r.Status != balancer.ConnectFailed {
			t.Errorf("%v", r.Status)
		}
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("two attempts took %v, want at most 5 s", elapsed)
	}
	closed := &engine.Target{Address: socket.LocalAddr().String()}
	closed.Close()
	if r := f.send(closed, time.Second); r.Status != balancer.NotSent {
		t.Errorf("closed target: status %v, want NotSent", r.Status)
	}
}

// If an endpoint accepts no new streams, a request ends at the stream timeout as not run, long before
// its deadline.
func TestStreamLimitProvesNotRun(t *testing.T) {
	f := newFixture(t)
	proceed := make(chan struct{})
	e := f.endpoint(1, func(http.ResponseWriter, *http.Request) { <-proceed })
	first := make(chan engine.Result)
	go func() { first <- f.send(e.target, time.Minute) }()
	wait.Until(t, "the first request", func() bool { return e.requests.Load() == 1 })
	start := time.Now()
	if r := f.send(e.target, time.Minute); r.Status != balancer.ConnectFailed || e.requests.Load() != 1 {
		t.Errorf("request beyond the stream limit: status %v, want ConnectFailed; %d requests arrived, want 1",
			r.Status, e.requests.Load())
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("request beyond the stream limit ended after %v, want at most 5 s", elapsed)
	}
	close(proceed)
	if r := <-first; r.Status != balancer.OK {
		t.Errorf("first request: status %v, want OK", r.Status)
	}
}

// A cancelled attempt resets its stream, so that the endpoint is notified.
func TestCancelledAttemptResetsItsStream(t *testing.T) {
	f := newFixture(t)
	streamReset := make(chan struct{})
	e := f.endpoint(100, func(_ http.ResponseWriter, in *http.Request) {
		<-in.Context().Done()
		close(streamReset)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	result := make(chan engine.Result)
	go func() { result <- f.upstream.attempt(ctx, e.target, newMessage()) }()
	wait.Until(t, "the request", func() bool { return e.requests.Load() == 1 })
	cancel()
	if r := <-result; r.Status != balancer.Cancelled {
		t.Errorf("%v", r.Status)
	}
	<-streamReset
}

// With 5 % or 20 % of datagrams lost, and others duplicated and reordered, no request is sent twice,
// and at least one is served.
func TestPacketLossSendsNoRequestTwice(t *testing.T) {
	for _, loss := range []float64{0.05, 0.2} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			f := newFixture(t)
			ids := sync.Map{}
			var duplicates atomic.Int64
			e := f.endpoint(100, func(_ http.ResponseWriter, in *http.Request) {
				if _, seen := ids.LoadOrStore(in.Header.Get("X-Correlation-Id"), true); seen {
					duplicates.Add(1)
				}
			})
			relay, err := udprelay.Start(e.target.Address, udprelay.Script{Loss: loss, Duplicate: 0.05, Reorder: 0.05, Seed: 7})
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			target := &engine.Target{Address: relay.Address}
			served := 0
			for n := range 60 {
				message := newMessage()
				message.Header.Set("X-Correlation-Id", fmt.Sprint(n))
				ctx, cancel := context.WithTimeout(context.Background(), wait.Timeout)
				switch r := f.upstream.attempt(ctx, target, message); r.Status {
				case balancer.OK:
					served++
				case balancer.ConnectFailed, balancer.Reset: // the handshake timed out, or the response stalled
				default:
					t.Errorf("request %d: status %v, want OK, ConnectFailed or Reset", n, r.Status)
				}
				cancel()
			}
			if served == 0 || duplicates.Load() != 0 || int(e.requests.Load()) < served {
				t.Errorf("%d requests served, %d arrived, %d arrived twice", served, e.requests.Load(), duplicates.Load())
			}
		})
	}
}
