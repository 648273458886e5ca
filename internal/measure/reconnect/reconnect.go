// Package reconnect measures how a whole fleet is connected to again after an outage, with
// the budget of handshakes and without: how many a server gets in its busiest second, and
// how long it takes until every instance has all its connections. Handshakes are real ones,
// over TLS on loopback.
package reconnect

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/engine"
	"pinedale/internal/standin/ca"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/handshake"
	"pinedale/internal/upstream/secure"
)

// Options are of one reconnection.
type Options struct {
	Servers, Instances int
	Each               int  // connections that an instance wants with each server
	Budget             bool // is kept
	Limit              float64
	All                float64
	Warming            bool // servers have just started
	Timeout            time.Duration
}

// Result is what came of one.
type Result struct {
	Options
	Peak      int           // handshakes that a server got in its busiest second, the worst of all servers
	Bound     float64       // that the budgets of all instances permit in a second, at most; 0 without
	Total     int           // handshakes
	Completed time.Duration // until all stood; under 0 if they did not within Timeout
	Rejected  int           // turns that were refused, and asked for again
	TimedOut  int           // handshakes that did not end in their time, and were done again
}

// These are the defaults of the operator's file.
const (
	slowStartRatio = 0.31
	warmWithin     = 8600 * time.Millisecond
	burst          = 20 // of all instances together with one server
	timeout        = 500 * time.Millisecond
	// retry is after how long an instance that got no turn comes again: a client does.
	retry = 100 * time.Millisecond
)

// Run measures one.
func Run(o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "reconnect")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	files := ca.FolderAt(ca.PanicOnFatal{}, dir)
	servers, err := startServers(o, files)
	if err != nil {
		return nil, err
	}
	defer servers.close()
	r := &Result{Options: o, Completed: -1}
	budget := handshake.Config{PerServer: 1e6, All: 1e6, InitialWarmupRatio: 1, Burst: 1e6}
	if o.Budget {
		budget = handshake.Config{PerServer: o.Limit, All: o.All, Burst: burst, InitialWarmupRatio: slowStartRatio, WarmWithin: warmWithin}.Share(o.Instances, 1)
		r.Bound = float64(o.Instances) * (budget.PerServer + budget.Burst)
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	var all sync.WaitGroup
	var outcomes tally
	began := time.Now()
	for range o.Instances {
		c, err := newClient(files, budget)
		if err != nil {
			return nil, err
		}
		for _, t := range servers.targets {
			for range o.Each {
				all.Go(func() { outcomes.connect(ctx, c, t) })
			}
		}
	}
	all.Wait()
	r.Rejected, r.TimedOut, r.Total = outcomes.rejected, outcomes.timedOut, outcomes.succeeded
	if r.Total == o.Instances*o.Servers*o.Each {
		r.Completed = time.Since(began)
	}
	r.Peak = servers.peak()
	return r, nil
}

// servers accept handshakes and note when each began.
type servers struct {
	targets   []*engine.Target
	config    *tls.Config
	timeout   time.Duration // of a handshake
	listeners []net.Listener
	serving   sync.WaitGroup // of the listeners' goroutines

	mu     sync.Mutex
	shakes [][]time.Time // by server
}

// startServers starts the servers, and writes the root that their certificate is by into files.
func startServers(o Options, files *ca.Folder) (*servers, error) {
	root := ca.New(ca.PanicOnFatal{}, "root")
	files.WriteFile(files.Roots, root.PEM())
	p := root.Issue(ca.Spec{Names: []string{"soko.example.org"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour)})
	pair, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return nil, err
	}
	s := &servers{
		config:  &tls.Config{Certificates: []tls.Certificate{pair}, SessionTicketsDisabled: true}, // after an outage all are full
		timeout: o.Timeout,
		shakes:  make([][]time.Time, o.Servers),
	}
	started := int64(0)
	if o.Warming {
		started = time.Now().UnixMilli()
	}
	for n := range o.Servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		s.listeners = append(s.listeners, l)
		s.targets = append(s.targets, &engine.Target{Name: "soko", Address: l.Addr().String(), StartedMS: started})
		s.serving.Go(func() { s.serve(n, l) })
	}
	return s, nil
}

// serve accepts connections until the listener is closed.
func (s *servers) serve(n int, l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		go s.handshake(n, raw)
	}
}

// handshake does a server's side of a handshake, and notes it if it succeeds.
func (s *servers) handshake(n int, raw net.Conn) {
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(s.timeout)) // a connection that has ended fails in the handshake
	began := time.Now()
	if tls.Server(raw, s.config).Handshake() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shakes[n] = append(s.shakes[n], began)
}

// close stops accepting.
func (s *servers) close() {
	for _, l := range s.listeners {
		l.Close()
	}
	s.serving.Wait()
}

// peak returns the handshakes that a server got in its busiest second, the worst of all servers.
func (s *servers) peak() (highest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.shakes {
		highest = max(highest, busiest(at))
	}
	return highest
}

// newClient makes an instance's security.
func newClient(files *ca.Folder, budget handshake.Config) (*secure.Client, error) {
	log := slog.New(slog.DiscardHandler)
	certificates, err := certstore.Open(certstore.Options{Paths: certstore.Paths{Roots: files.Roots}, Log: log})
	if err != nil {
		return nil, err
	}
	return secure.New(secure.Options{KeyStore: certificates, Names: &secure.Names{Pattern: "soko.example.org"}, Budget: budget, Sessions: 4096, Timeout: timeout, Log: log})
}

// tally counts how connections came up.
type tally struct {
	mu                            sync.Mutex
	succeeded, rejected, timedOut int
}

// connect tries until a connection has stood, or ctx ends.
func (a *tally) connect(ctx context.Context, c *secure.Client, t *engine.Target) {
	for {
		conn, err := connect(ctx, c, t)
		if err == nil {
			conn.Close() // descriptors are few; it has stood
		}
		a.count(ctx, err)
		if err == nil {
			return
		}
		select {
		case <-time.After(retry):
		case <-ctx.Done():
			return
		}
	}
}

// count counts what a try came to.
func (a *tally) count(ctx context.Context, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.succeeded++
	case errors.Is(err, attempt.ErrFull):
		a.rejected++
	case ctx.Err() == nil:
		a.timedOut++
	}
}

// connect takes a turn and does a handshake.
func connect(ctx context.Context, c *secure.Client, t *engine.Target) (net.Conn, error) {
	if err := c.Turn(ctx, t); err != nil {
		return nil, err
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	return c.Secure(ctx, t, raw)
}

// busiest is how many fell into the busiest second.
func busiest(at []time.Time) (highest int) {
	slices.SortFunc(at, time.Time.Compare)
	from := 0
	for to := range at {
		for at[to].Sub(at[from]) >= time.Second {
			from++
		}
		highest = max(highest, to-from+1)
	}
	return highest
}

// Print writes results for a reader.
func Print(out io.Writer, all []*Result) {
	fmt.Fprintf(out, "%8s %10s %6s %6s %8s %12s %8s %14s %14s %10s\n", "servers", "instances", "each", "cold", "budget", "handshakes", "lost", "busiest second", "bound", "whole")
	for _, r := range all {
		completed, bound := r.Completed.Round(10*time.Millisecond).String(), fmt.Sprintf("%.0f", r.Bound)
		if r.Completed < 0 {
			completed = fmt.Sprintf("over %v", r.Timeout)
		}
		if r.Bound == 0 {
			bound = "-"
		}
		fmt.Fprintf(out, "%8d %10d %6d %6t %8t %12d %8d %14d %14s %10s\n", r.Servers, r.Instances, r.Each, r.Warming, r.Budget, r.Total, r.TimedOut, r.Peak, bound, completed)
	}
}
