// Package sockets puts emulated servers on loopback sockets: the model of package
// model on the system's clock, behind HTTP/1.1.
package sockets

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"pinedale/internal/emulator/model"
)

// Class is one class of requests as the servers know it.
type Class struct {
	Name string
	model.Class
	Work time.Duration // mean, on a core of speed 1
	CV   float64       // of the work, lognormal
}

// Fleet is a set of servers with one memory and one clock. Make one with New.
type Fleet struct {
	classes []Class
	index   map[string]int
	seed    uint64
	began   time.Time

	mu      sync.Mutex // held around every call of a model: they share the memory
	memory  *model.Memory
	number  uint64
	servers []*Server
}

// Server is one server on a socket.
type Server struct {
	Name    string
	Address string // host:port

	fleet   *Fleet
	machine *model.Server
	waiting map[uint64]chan model.Outcome
	timer   *time.Timer
	http    http.Server
	served  int
	closed  bool
}

// New returns a fleet without servers.
func New(classes []Class, seed uint64) *Fleet {
	f := &Fleet{classes: classes, index: map[string]int{}, seed: seed, began: time.Now()}
	kinds := make([]model.Class, len(classes))
	for i, c := range classes {
		kinds[i] = c.Class
		f.index[c.Name] = i
	}
	f.memory = model.NewMemory(kinds)
	return f
}

func (f *Fleet) now() model.Time { return time.Since(f.began) }

// Start starts a server on loopback, cold if told so.
func (f *Fleet) Start(name, group string, cfg model.Config, cold bool, faults ...model.Fault) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &Server{Name: name, Address: listener.Addr().String(), fleet: f, waiting: map[uint64]chan model.Outcome{}}
	s.machine = model.New(cfg, f.seed^uint64(len(f.servers)+1)*0x9e3779b97f4a7c15, f.now(), cold, f.memory, group, faults)
	s.http = http.Server{Handler: s, ConnState: s.connection}
	f.servers = append(f.servers, s)
	go s.http.Serve(listener)
	return s, nil
}

// Close ends all servers.
func (f *Fleet) Close() {
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// Twice counts effects done twice.
func (f *Fleet) Twice() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memory.Twice()
}

// Close ends a server: what it holds is lost, and connections are refused.
func (s *Server) Close() {
	s.fleet.mu.Lock()
	s.give(s.machine.Stop(s.fleet.now()))
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.fleet.mu.Unlock()
	s.http.Close()
}

// Figures are what a server holds, has served, how warm it is, and whether it is down.
func (s *Server) Figures() (held, served int, warmth float64, down bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	working, waiting := s.machine.Held()
	return working + waiting, s.served, s.machine.Warmth(s.fleet.now()), s.machine.Down()
}

// connection counts connections: a new one costs the server work.
func (s *Server) connection(c net.Conn, state http.ConnState) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	switch state {
	case http.StateNew:
		if !s.machine.Connect(s.fleet.now()) {
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.machine.Disconnect()
	}
	s.arm()
}

// give hands out what ended, to those that still wait. It holds the fleet's lock.
func (s *Server) give(ended []model.Ended) {
	for _, e := range ended {
		if e.Outcome == model.Served {
			s.served++
		}
		if ch := s.waiting[e.Number]; ch != nil {
			ch <- e.Outcome // it has room for the one
			delete(s.waiting, e.Number)
		}
	}
}

// arm has the model looked at when it next has something to say. It holds the
// fleet's lock.
func (s *Server) arm() {
	if s.timer != nil {
		s.timer.Stop()
	}
	at := s.machine.Next()
	if at == model.Never || s.closed {
		return
	}
	s.timer = time.AfterFunc(at-s.fleet.now(), func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if !s.closed {
			s.give(s.machine.Advance(s.fleet.now()))
			s.arm()
		}
	})
}

// work is a request's, drawn by its id: the same wherever it goes.
func (f *Fleet) work(class int, id string) time.Duration {
	c := f.classes[class]
	h := fnv.New64a()
	io.WriteString(h, id)
	rng := rand.New(rand.NewPCG(f.seed, h.Sum64()))
	w := float64(c.Work)
	if c.CV > 0 {
		v := math.Log(1 + c.CV*c.CV)
		w *= math.Exp(rng.NormFloat64()*math.Sqrt(v) - v/2)
	}
	return time.Duration(w)
}

// bodyMost is what is read of a body.
const bodyMost = 64 << 10

// ServeHTTP answers probes and requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.fleet
	switch r.URL.Path {
	case "/stats", "/health/live":
		f.mu.Lock()
		eps, queue, ok := s.machine.Load(f.now())
		s.arm()
		f.mu.Unlock()
		if !ok {
			<-r.Context().Done() // nobody is there to say so
			return
		}
		if r.URL.Path == "/stats" {
			fmt.Fprintf(w, "eps=%.2f,queue=%.2f", eps, queue)
		}
		return
	}
	io.Copy(io.Discard, io.LimitReader(r.Body, bodyMost))
	class, ok := f.index[r.Header.Get("X-Service-Class")]
	if !ok {
		http.Error(w, "not a known class", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Correlation-Id")
	q := model.Request{Class: class, Work: f.work(class, id), Key: r.Header.Get("Idempotency-Key")}
	if q.Key == "" && f.classes[class].Repeat == model.Unsafe {
		q.Key = "id " + id
	}
	ended := make(chan model.Outcome, 1)
	f.mu.Lock()
	f.number++
	q.Number = f.number
	s.waiting[q.Number] = ended
	s.give(s.machine.Arrive(f.now(), q))
	s.arm()
	f.mu.Unlock()
	select {
	case o := <-ended:
		s.answer(w, r, o)
	case <-r.Context().Done(): // the work goes on
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, o model.Outcome) {
	switch o {
	case model.Served, model.Repeated:
		io.WriteString(w, "done")
	case model.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case model.Away:
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case model.Lost:
		<-r.Context().Done()
	default: // it is down
		panic(http.ErrAbortHandler)
	}
}
