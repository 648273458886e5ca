// Package departures counts what is sent for clients that have disconnected: a sidecar in this process, clients that
// disconnect while their requests wait, and a server that records when each request arrives, all on loopback. A request
// whose client disconnected more than [Tolerance] ago must not be sent any more.
//
//	departures.go  the cases, RunAll and its results
//	client.go      a batch of clients that disconnect
//	server.go      the server that records arrivals
package departures

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/upstream/httpupstream"
)

const (
	// Tolerance is how long after its client has disconnected a request may still be sent.
	Tolerance = 300 * time.Millisecond

	// endpointCount is how many endpoints the sidecar knows, all of them at one address: so many that none is at
	// capacity because of requests that wait, and none is rejected.
	endpointCount = 400

	// stallTime is how long connections take to be established, and how long the engine stands still where requests
	// wait in its queue: longer than the departure and Tolerance together.
	stallTime = time.Second

	batchSize = 100 // clients at once

	// maxConnections is a limit that is not reached: on connections of the front and the upstream, and on requests.
	maxConnections = 4 * batchSize

	maxBodyBytes   = 64 << 20
	acceptInterval = time.Millisecond
	idleTimeout    = time.Minute
)

// timeLimit is the latency objective and timeout of the class: so long that no request expires.
const timeLimit balancer.Micros = 60_000_000

// departure is one way to disconnect.
type departure struct {
	name       string
	canCancel  bool   // the settings permit the engine to cancel attempts
	inQueue    bool   // requests wait in the engine's queue, otherwise for a connection
	sentBehind string // that the client sends after the request
	halfBody   bool   // the client sends half of the body only
	disconnect func(*net.TCPConn)
}

// departures are the ways to disconnect that are measured.
var departures = []departure{
	{
		name:       "waits for a connection, no leave to cancel",
		disconnect: closeConnection,
	},
	{
		name:       "waits in the engine's queue",
		inQueue:    true,
		disconnect: closeConnection,
	},
	{
		name:       "a byte behind the request",
		canCancel:  true,
		sentBehind: "P",
		disconnect: closeConnection,
	},
	{
		name:       "requests behind the request",
		canCancel:  true,
		sentBehind: "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		disconnect: resetConnection,
	},
	{
		name:       "one direction is shut down",
		disconnect: func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	},
	{
		name:       "in the middle of the body",
		halfBody:   true,
		disconnect: closeConnection,
	},
}

func closeConnection(conn *net.TCPConn) { conn.Close() }

func resetConnection(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a connection that has ended needs no reset
	conn.Close()
}

// Result is the result of one way to disconnect.
type Result struct {
	Name       string
	Departures int
	Sent       int // of their requests, after the client disconnected
	Late       int // of these, more than Tolerance after it
}

// Results are those of all ways to disconnect.
type Results []*Result

// RunAll measures each way to disconnect, with at least count departures.
func RunAll(count int) (Results, error) {
	var results Results
	for i := range departures {
		result, err := departures[i].measure(count)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// measure measures one way to disconnect, with at least count departures.
func (d *departure) measure(count int) (*Result, error) {
	server, err := startServer()
	if err != nil {
		return nil, err
	}
	defer server.close()
	sidecar, err := startSidecar(d, server.address())
	if err != nil {
		return nil, err
	}
	defer sidecar.close()
	result := &Result{Name: d.name}
	disconnected := map[string]time.Time{}
	for result.Departures < count {
		b := &batch{departure: d, sidecar: sidecar, firstID: result.Departures, disconnected: disconnected}
		if err := b.run(); err != nil {
			return nil, err
		}
		result.Departures += batchSize
	}
	result.Sent, result.Late = server.sentAfter(disconnected)
	return result, nil
}

// sidecar is an engine with an HTTP front.
type sidecar struct {
	engine       *engine.Engine
	clients      net.Listener
	cancelEngine context.CancelFunc
	cancelFront  context.CancelFunc
	serving      sync.WaitGroup // the front
}

// startSidecar starts a sidecar all of whose endpoints are at one address.
func startSidecar(d *departure, address string) (s *sidecar, err error) {
	engineContext, cancelEngine := context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			cancelEngine()
		}
	}()
	upstream := newUpstream(d)
	s = &sidecar{cancelEngine: cancelEngine}
	if s.engine, err = startEngine(engineContext, d, upstream, address); err != nil {
		return nil, err
	}
	if s.clients, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	front := httpfront.New(s.engine, upstream, httpfront.Options{
		Connections:        maxConnections,
		KeepAliveThreshold: maxConnections,
		BodyBytes:          maxBodyBytes,
		AcceptFor:          acceptInterval,
		Log:                slog.New(slog.DiscardHandler),
	})
	frontContext, cancelFront := context.WithCancel(context.Background())
	s.cancelFront = cancelFront
	s.serving.Go(func() { _ = front.Serve(frontContext, s.clients) }) // it ends with close
	return s, nil
}

// close ends the front and then the engine.
func (s *sidecar) close() {
	s.cancelFront()
	s.serving.Wait()
	s.cancelEngine()
}

// newUpstream returns the sidecar's connections, which take stallTime to be established unless requests wait in the
// queue.
func newUpstream(d *departure) *httpupstream.Upstream {
	return httpupstream.New(httpupstream.Options{
		DialTimeout: 4 * stallTime,
		Idle:        idleTimeout,
		Connections: maxConnections,
		Dialer: net.Dialer{Control: func(string, string, syscall.RawConn) error {
			if !d.inQueue {
				time.Sleep(stallTime)
			}
			return nil
		}},
	})
}

// startEngine starts the sidecar's engine, with all its endpoints at one address. It ends with ctx.
func startEngine(
	ctx context.Context, d *departure, upstream *httpupstream.Upstream, address string,
) (*engine.Engine, error) {
	sidecarEngine, err := engine.New(ctx, engine.Options{
		Upstream: upstream,
		Log:      slog.New(slog.DiscardHandler),
		Seed:     1,
		Settings: balancer.Settings{
			Balancers: 1,
			Classes: []balancer.Class{{
				Name:             "order",
				Idempotency:      balancer.NotIdempotent,
				LatencyObjective: timeLimit,
				ClientTimeout:    timeLimit,
				PriorityWeight:   1,
			}},
			Limits: balancer.Limits{
				Cancel:      d.canCancel,
				MaxAttempts: 1,
				MaxOpen:     maxConnections,
			},
			Contract: balancer.Contract{
				SlowStartRatio:   0.3,
				OverloadMultiple: 2.5,
			},
		},
	})
	if err != nil {
		return nil, err
	}
	go sidecarEngine.Run()
	sidecarEngine.Call(func(now balancer.Micros) {
		list := engine.List{Complete: true}
		for n := range endpointCount {
			host := engine.Host{Name: fmt.Sprint("s-", n), Address: address, Weight: 1}
			list.Hosts = append(list.Hosts, host)
		}
		sidecarEngine.UpdateEndpoints(now, balancer.ListFull, list)
	})
	return sidecarEngine, nil
}

// Print writes the results as a table.
func (results Results) Print(w io.Writer) {
	fmt.Fprintf(w, "%-44s %10s %10s %14s\n",
		"the client leaves while its request ...", "departures", "sent after", "over 0.3 s on")
	for _, result := range results {
		fmt.Fprintf(w, "%-44s %10d %10d %14d\n", result.Name, result.Departures, result.Sent, result.Late)
	}
}

// Violation names the first way to disconnect in which a request was sent too late, "" if there is none.
func (results Results) Violation() string {
	for _, result := range results {
		if result.Late > 0 {
			return fmt.Sprintf("%s: %d of %d requests were sent over %v after their client left",
				result.Name, result.Late, result.Departures, Tolerance)
		}
	}
	return ""
}
