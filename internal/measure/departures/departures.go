// Package departures counts the requests that a sidecar sends for clients that have disconnected. It runs a sidecar in
// this process, clients that disconnect while their requests wait, and a server that records when each request arrives,
// all on loopback. No request must be sent later than [Tolerance] after its client has disconnected.
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
	"pinedale/internal/front/exchange"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/upstream/httpupstream"
)

const (
	// Tolerance is how long after its client has disconnected a request may still be sent.
	Tolerance = 300 * time.Millisecond

	// endpointCount is the number of endpoints that the sidecar has, all of them at one address. It is large enough that
	// requests that wait bring no endpoint to its capacity, and that no request is rejected.
	endpointCount = 400

	// stallTime is how long connections take to be established, and how long the engine is blocked if requests wait in
	// its queue. It is longer than the time until the clients disconnect and Tolerance together.
	stallTime = time.Second

	batchSize = 100 // concurrent clients

	// maxConnections is a limit that is not reached: on connections of the front and the upstream, and on requests.
	maxConnections = 4 * batchSize

	frontMemoryBytes = 1 << 30
	acceptInterval   = time.Millisecond
	idleTimeout      = time.Minute
)

// timeLimit is the latency objective and timeout of the class, long enough that no request expires.
const timeLimit balancer.Micros = 60_000_000

// departure is one way to disconnect.
type departure struct {
	name         string
	canCancel    bool   // the settings permit the engine to cancel attempts
	inQueue      bool   // requests wait in the engine's queue; if false, they wait for a connection
	trailingData string // data that the client sends after the request
	halfBody     bool   // the client sends only half of the body
	disconnect   func(*net.TCPConn)
}

// departures are the ways to disconnect that are measured.
var departures = []departure{
	{
		name:       "waiting for a connection, no cancellation",
		disconnect: closeConnection,
	},
	{
		name:       "waiting in the engine's queue",
		inQueue:    true,
		disconnect: closeConnection,
	},
	{
		name:         "a byte sent after the request",
		canCancel:    true,
		trailingData: "P",
		disconnect:   closeConnection,
	},
	{
		name:         "requests pipelined after the request",
		canCancel:    true,
		trailingData: "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		disconnect:   resetConnection,
	},
	{
		name:       "half-close of the connection",
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
	_ = conn.SetLinger(0) // fails only if the connection has already ended
	conn.Close()
}

// Result is the result of one way to disconnect.
type Result struct {
	Name       string
	Departures int
	Sent       int // requests that were sent after their client had disconnected
	Late       int // of these, the ones sent more than Tolerance later
}

// Results has a result for each way to disconnect.
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
		Memory:             exchange.LimitsWithin(frontMemoryBytes),
		AcceptFor:          acceptInterval,
		Log:                slog.New(slog.DiscardHandler),
	})
	frontContext, cancelFront := context.WithCancel(context.Background())
	s.cancelFront = cancelFront
	s.serving.Go(func() { _ = front.Serve(frontContext, s.clients) }) // close ends it
	return s, nil
}

// close ends the front and then the engine.
func (s *sidecar) close() {
	s.cancelFront()
	s.serving.Wait()
	s.cancelEngine()
}

// newUpstream returns the sidecar's upstream. Its connections take stallTime to be established, unless requests wait in
// the queue.
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

// startEngine starts the sidecar's engine, with all its endpoints at one address. The engine runs until ctx ends.
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
		"way to disconnect", "departures", "sent after", "over 0.3 s")
	for _, result := range results {
		fmt.Fprintf(w, "%-44s %10d %10d %14d\n", result.Name, result.Departures, result.Sent, result.Late)
	}
}

// Violation describes the first way to disconnect after which a request was sent too late, "" if there is none.
func (results Results) Violation() string {
	for _, result := range results {
		if result.Late > 0 {
			return fmt.Sprintf("%s: %d of %d requests sent over %v after the client disconnected",
				result.Name, result.Late, result.Departures, Tolerance)
		}
	}
	return ""
}
