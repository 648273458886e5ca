// Package departures counts what is sent for clients that have left: a sidecar in this
// process, clients that leave while their requests wait, and a server that notes when each
// request comes, all on loopback. The request of a client that has been gone for 0.3 s is not
// to be sent any more.
package departures

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/upstream/httpupstream"
)

const (
	// Tolerance is how long after its client's departure a request may still be sent.
	Tolerance = 300 * time.Millisecond
	// names is as many servers as the sidecar knows, all of them at one address: so many that
	// it sees none crowded by those that wait, and refuses nothing.
	names = 400
	// hold is how long connections take to come up, and how long the engine's turn takes where
	// it is held: longer than the departure and Tolerance together.
	hold  = time.Second
	batch = 100 // clients at once
)

// Case is one way to leave.
type Case struct {
	Name       string
	cancel     bool // the settings allow to call attempts off
	queue      bool // requests wait in the engine's queue, else for a connection
	behind     string
	part       bool // of the body only is sent
	disconnect func(*net.TCPConn)
}

// Cases are all ways to leave that are measured.
var Cases = []Case{
	{Name: "waits for a connection, no leave to cancel", disconnect: closed},
	{Name: "waits in the engine's queue", queue: true, disconnect: closed},
	{Name: "a byte behind the request", cancel: true, behind: "P", disconnect: closed},
	{Name: "requests behind the request", cancel: true, behind: "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n", disconnect: reset},
	{Name: "one direction is shut down", disconnect: func(c *net.TCPConn) { _ = c.CloseWrite() }},
	{Name: "in the middle of the body", part: true, disconnect: closed},
}

func closed(c *net.TCPConn) { c.Close() }

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // a connection that has ended needs no reset
	c.Close()
}

// Result is what came of a case.
type Result struct {
	Case
	Departures int
	Sent       int // of their requests, after the departure
	Late       int // and more than Tolerance after it
}

// server notes when each request comes.
type server struct {
	net.Listener
	mu       sync.Mutex
	arrivals map[string]time.Time // by id
}

// serve accepts connections until the listener is closed.
func (s *server) serve() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		go s.connection(conn)
	}
}

// connection answers the requests of one connection.
func (s *server) connection(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.arrivals[r.Header.Get("X-Correlation-Id")] = time.Now()
		s.mu.Unlock()
		// A sidecar that has gone shows in the next read.
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}
}

// sent returns of how many clients' requests came after their client had left, and of how many they came
// more than Tolerance after it.
func (s *server) sent(disconnected map[string]time.Time) (sent, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range disconnected {
		arrived, ok := s.arrivals[id]
		if !ok || !arrived.After(at) {
			continue
		}
		sent++
		if arrived.Sub(at) > Tolerance {
			late++
		}
	}
	return sent, late
}

// Run measures one case with at least so many departures.
func Run(c Case, departures int) (*Result, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{Listener: listener, arrivals: map[string]time.Time{}}
	defer s.Close()
	go s.serve()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	up := newUpstream(c)
	e, err := startEngine(ctx, c, up, listener.Addr().String())
	if err != nil {
		return nil, err
	}
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	front := httpfront.New(e, up, httpfront.Options{Connections: 4 * batch, KeepAliveThreshold: 4 * batch, BodyBytes: 64 << 20, AcceptFor: time.Millisecond, Log: slog.New(slog.DiscardHandler)})
	fronts, end := context.WithCancel(context.Background())
	defer end()
	go func() { _ = front.Serve(fronts, clients) }() // it ends with fronts

	out, disconnected := &Result{Case: c}, map[string]time.Time{}
	for out.Departures < departures {
		if err := depart(c, e, clients.Addr().String(), out.Departures, disconnected); err != nil {
			return nil, err
		}
		out.Departures += batch
	}
	out.Sent, out.Late = s.sent(disconnected)
	return out, nil
}

// newUpstream makes the sidecar's connections, which take hold to come up unless requests wait in the queue.
func newUpstream(c Case) *httpupstream.Upstream {
	return httpupstream.New(httpupstream.Options{DialTimeout: 4 * hold, Idle: time.Minute, Connections: 4 * batch,
		Dialer: net.Dialer{Control: func(string, string, syscall.RawConn) error {
			if !c.queue {
				time.Sleep(hold)
			}
			return nil
		}}})
}

// startEngine starts the sidecar's engine, with all its servers at one address.
func startEngine(ctx context.Context, c Case, up *httpupstream.Upstream, address string) (*engine.Engine, error) {
	e, err := engine.New(ctx, engine.Options{Upstream: up, Log: slog.New(slog.DiscardHandler), Seed: 1, Settings: balancer.Settings{Balancers: 1,
		Classes:  []balancer.Class{{Name: "order", Idempotency: balancer.NotIdempotent, LatencyObjective: 60_000_000, ClientTimeout: 60_000_000, PriorityWeight: 1}},
		Limits:   balancer.Limits{Cancel: c.cancel, MaxAttempts: 1, MaxOpen: 4 * batch},
		Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5}}})
	if err != nil {
		return nil, err
	}
	go e.Run()
	e.Call(func(now balancer.Micros) {
		list := engine.List{Complete: true}
		for n := range names {
			list.Hosts = append(list.Hosts, engine.Host{Name: fmt.Sprint("s-", n), Address: address, Weight: 1})
		}
		e.UpdateEndpoints(now, balancer.ListFull, list)
	})
	return e, nil
}

// depart has a batch of clients ask and leave while their requests wait, and notes when each has left.
func depart(c Case, e *engine.Engine, front string, first int, disconnected map[string]time.Time) error {
	begun := time.Now()
	if c.queue {
		go e.Post(func(balancer.Micros) { time.Sleep(hold) })
	}
	conns := map[string]*net.TCPConn{}
	for n := range batch {
		id := fmt.Sprint(first + n)
		conn, err := net.Dial("tcp", front)
		if err != nil {
			return err
		}
		body := "body"
		if c.part {
			body = "bo"
		}
		fmt.Fprintf(conn, "POST /order HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: order\r\nX-Time-Left-Ms: 50000\r\nContent-Length: 4\r\n\r\n%s", id, body)
		conns[id] = conn.(*net.TCPConn)
	}
	time.Sleep(hold / 10) // they are in hand
	for _, conn := range conns {
		_, _ = io.WriteString(conn, c.behind) // a request that is not in hand is not sent either
	}
	time.Sleep(hold / 10)
	for id, conn := range conns {
		disconnected[id] = time.Now()
		c.disconnect(conn)
	}
	time.Sleep(time.Until(begun.Add(2 * hold)))
	for _, conn := range conns {
		conn.Close()
	}
	return nil
}

// Results are those of all cases.
type Results []*Result

// Print writes a table.
func (all Results) Print(w io.Writer) {
	fmt.Fprintf(w, "%-44s %10s %10s %14s\n", "the client leaves while its request ...", "departures", "sent after", "over 0.3 s on")
	for _, r := range all {
		fmt.Fprintf(w, "%-44s %10d %10d %14d\n", r.Name, r.Departures, r.Sent, r.Late)
	}
}

// Broken names the first case in which something was sent too late.
func (all Results) Broken() string {
	for _, r := range all {
		if r.Late > 0 {
			return fmt.Sprintf("%s: %d of %d requests were sent over %v after their client left", r.Name, r.Late, r.Departures, Tolerance)
		}
	}
	return ""
}
