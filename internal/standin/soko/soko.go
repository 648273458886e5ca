// Package soko is a stand-in for the co-operative's servers: they answer over
// HTTP/1.1, report their load, drop repeats of a key as their class says, fail as
// they are scripted to, and record every effect, so that a test can tell whether
// one was done twice.
package soko

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/balancer"
)

// Faults are the shares of requests that a fleet fails, each 0 to 1, drawn by the
// request's id: the same seed and id fail in the same way wherever they go.
type Faults struct {
	TurnAway float64 // 503 with X-Unprocessed: 1, never run
	Error    float64 // 500 after it has run
	Reset    float64 // the connection is closed after it has run
	Silent   float64 // no answer, though it has run

	// Everywhere has a request fare the same at every server: nothing depends on
	// which is chosen.
	Everywhere bool
}

// Fleet is a set of servers with one memory of what has run.
type Fleet struct {
	Classes []balancer.Class
	Seed    uint64
	Work    time.Duration // of a request
	Faults  Faults

	mu      sync.Mutex
	effects map[string]*Effect
	count   Counts
}

// Effect is what has run under one key, or one id where the class has no keys.
type Effect struct {
	Class   string
	Done    int                  // times that it was done
	Dropped int                  // repeats dropped
	memory  map[string]time.Time // by group, when it last ran there
}

// Counts is what came to a fleet.
type Counts struct{ Requests, Run, TurnedAway, Dropped int }

// Server is one server of a fleet.
type Server struct {
	Name    string
	Address string // host:port
	Cell    int

	fleet    *Fleet
	http     http.Server
	inflight atomic.Int64
	last     atomic.Int64 // start of the last request that came, Unix nanoseconds
}

// Start listens on loopback.
func (f *Fleet) Start(name string, cell int) (*Server, error) {
	return f.StartAt("127.0.0.1:0", name, cell)
}

// StartAt listens at host:port.
func (f *Fleet) StartAt(address, name string, cell int) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Address: listener.Addr().String(), Cell: cell, fleet: f}
	s.http.Handler = s
	go s.http.Serve(listener)
	return s, nil
}

// Close ends the server and its connections.
func (s *Server) Close() { s.http.Close() }

// LastRequest is when the last request came; the zero time before the first.
func (s *Server) LastRequest() time.Time {
	if at := s.last.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

func (s *Server) load() string {
	return fmt.Sprintf("eps=0,queue=%d", max(0, s.inflight.Load()-2))
}

// draw is a number in [0,1) that follows from the seed, an id and a purpose.
func (f *Fleet) draw(id, purpose string) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s/%s", f.Seed, id, purpose)
	x := h.Sum64()
	x ^= x >> 33 // FNV's low bits are poor
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// ServeHTTP answers probes and requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stats":
		io.WriteString(w, s.load())
		return
	case "/health/live":
		return
	}
	io.Copy(io.Discard, r.Body)
	s.last.Store(time.Now().UnixNano())
	s.inflight.Add(1)
	defer s.inflight.Add(-1)
	f, id := s.fleet, r.Header.Get("X-Correlation-Id")
	class := r.Header.Get("X-Service-Class")
	w.Header().Set("X-Backend-Load", s.load())
	// A fault is drawn once for an id at a server: a repeat there fares the same.
	where := s.Name
	if f.Faults.Everywhere {
		where = ""
	}
	if f.draw(id, where+" away") < f.Faults.TurnAway {
		f.mu.Lock()
		f.count.Requests++
		f.count.TurnedAway++
		f.mu.Unlock()
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.Header.Get("Idempotency-Key")
	if name == "" {
		name = "id " + id
	}
	f.run(name, class, s.Cell)
	time.Sleep(f.Work)
	switch at := f.draw(id, where+" after"); {
	case at < f.Faults.Error:
		w.WriteHeader(http.StatusInternalServerError)
	case at < f.Faults.Error+f.Faults.Reset:
		panic(http.ErrAbortHandler)
	case at < f.Faults.Error+f.Faults.Reset+f.Faults.Silent:
		<-r.Context().Done()
	default:
		io.WriteString(w, "done")
	}
}

// run records an effect, or drops a repeat that its group remembers.
func (f *Fleet) run(name, class string, cell int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.count.Requests++
	if f.effects == nil {
		f.effects = map[string]*Effect{}
	}
	e := f.effects[name]
	if e == nil {
		e = &Effect{Class: class, memory: map[string]time.Time{}}
		f.effects[name] = e
	}
	for _, c := range f.Classes {
		if c.Name != class || c.Repeat != balancer.Keyed {
			continue
		}
		group := "all"
		if c.Group != balancer.GroupAll {
			group = fmt.Sprint(cell)
		}
		if at, ok := e.memory[group]; ok && now.Sub(at) < time.Duration(c.Window)*time.Microsecond {
			e.Dropped++
			f.count.Dropped++
			return
		}
		e.memory[group] = now
	}
	e.Done++
	f.count.Run++
}

// Twice names the effects of keyed and unsafe classes that were done more than
// once.
func (f *Fleet) Twice() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, e := range f.effects {
		for _, c := range f.Classes {
			if c.Name == e.Class && c.Repeat != balancer.Safe && e.Done > 1 {
				names = append(names, fmt.Sprintf("%s of %s: %d times", name, e.Class, e.Done))
			}
		}
	}
	return names
}

// Counts returns what came so far.
func (f *Fleet) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}
