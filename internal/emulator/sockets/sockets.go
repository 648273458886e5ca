// Package sockets puts emulated servers on loopback sockets: the model of package
// model on the system's clock. How requests come in is a Transport; HTTP1 is one.
package sockets

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
)

// Class is one class of requests as the servers know it.
type Class struct {
	Name string // "" stands for all that are not named
	model.Class
	Work time.Duration // mean, on a core of speed 1
	CV   float64       // of the work, lognormal
}

// A Transport puts a server on sockets of its own kind.
type Transport interface {
	// Listen opens a listener at host:port for clients that are this far away, one way,
	// and passes what comes there to the server. stop ends the listener and all its
	// connections, and returns without waiting for requests in hand.
	Listen(s *Server, at string, latency time.Duration) (address string, stop func(), err error)
}

// Options are a fleet's.
type Options struct {
	Classes   []Class
	Seed      uint64
	Now       func() model.Time // nil for the time since New
	Transport Transport         // nil for HTTP1
	// Work, where set, says how much work a request is, in place of a draw by its id.
	Work func(class int, id string) time.Duration
	// OnArrival, where set, is told of each request that comes to a server, and must not
	// block.
	OnArrival func(s *Server, id string, at model.Time)
}

// Fleet is a set of servers with one memory and one clock. Make one with New.
type Fleet struct {
	o     Options
	index map[string]int

	mu      sync.Mutex // held around every call of a model: they share the memory
	memory  *model.DedupStore
	number  uint64
	servers []*Server
	open    int // connections
	highest int
}

// ServerSpec is one server.
type ServerSpec struct {
	Name      string
	Group     string // whose repeats it drops, beside all
	Config    model.Config
	Seed      uint64
	Warming   bool
	Faults    []model.Fault
	Latencies []time.Duration // one way to each group of clients; none: one group, next door
	Listen    string          // host:port of its one address; "" for ports of the system's choice on loopback
}

// Server is one server on sockets.
type Server struct {
	Name      string
	Addresses []string // host:port, one for each of its ways

	fleet   *Fleet
	machine *model.Server
	waiting map[uint64]chan model.Outcome
	timer   *time.Timer
	stops   []func()
	served  int
	closed  bool
}

// New returns a fleet without servers.
func New(o Options) *Fleet {
	f := &Fleet{o: o, index: map[string]int{}}
	if f.o.Now == nil {
		began := time.Now()
		f.o.Now = func() model.Time { return time.Since(began) }
	}
	if f.o.Transport == nil {
		f.o.Transport = HTTP1{}
	}
	kinds := make([]model.Class, len(o.Classes))
	for i, c := range o.Classes {
		kinds[i] = c.Class
		f.index[c.Name] = i
	}
	f.memory = model.NewDedupStore(kinds)
	return f
}

// Now is the fleet's time.
func (f *Fleet) Now() model.Time { return f.o.Now() }

// Start starts a server.
func (f *Fleet) Start(spec ServerSpec) (*Server, error) {
	s := &Server{Name: spec.Name, fleet: f, waiting: map[uint64]chan model.Outcome{}}
	s.machine = model.New(model.Options{
		Config: spec.Config, Seed: spec.Seed, Start: f.Now(), Warming: spec.Warming, Dedup: f.memory, Group: spec.Group, Faults: spec.Faults})
	if len(spec.Latencies) == 0 {
		spec.Latencies = []time.Duration{0}
	}
	if spec.Listen == "" {
		spec.Listen = "127.0.0.1:0"
	}
	for _, latency := range spec.Latencies {
		address, stop, err := f.o.Transport.Listen(s, spec.Listen, latency)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.Addresses, s.stops = append(s.Addresses, address), append(s.stops, stop)
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
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

// Counts returns how many requests ran, and how many repeats were dropped.
func (f *Fleet) Counts() (ran, dropped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memory.Counts()
}

// DuplicateEffects names the keys of effects that were done twice and must not be.
func (f *Fleet) DuplicateEffects() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memory.DuplicateEffects()
}

// EffectCounts says how often each effect was done, by its key.
func (f *Fleet) EffectCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memory.EffectCounts()
}

// Connections counts the open ones, now and at most so far.
func (f *Fleet) Connections() (open, highest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open, f.highest
}

// Close ends a server: what it holds is lost, and connections are refused.
func (s *Server) Close() {
	s.fleet.mu.Lock()
	s.deliver(s.machine.Stop(s.fleet.Now()))
	s.markClosed()
	s.fleet.mu.Unlock()
	for _, stop := range s.stops {
		stop()
	}
}

// markClosed has nothing more happen at a server whose process is over. It holds the fleet's
// lock.
func (s *Server) markClosed() {
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Figures are what a server holds, has served, how warm it is, and whether it is down.
func (s *Server) Figures() (inFlight, served int, warmth float64, down bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	working, waiting := s.machine.InFlight()
	return working + waiting, s.served, s.machine.Warmth(s.fleet.Now()), s.machine.Down()
}

// Collapsed says that the server fell over.
func (s *Server) Collapsed() bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.machine.CollapsedAt() != model.Never
}

// OpenConnection counts a new connection in, which costs the server work; false where it takes
// none. What was counted in is counted out with Shut.
func (s *Server) OpenConnection() bool {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	defer s.scheduleAdvance()
	if !s.machine.Connect(f.Now()) {
		return false
	}
	f.open++
	f.highest = max(f.highest, f.open)
	return true
}

// CloseConnection counts a connection out.
func (s *Server) CloseConnection() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.machine.Disconnect()
	s.fleet.open--
	s.scheduleAdvance()
}

// deliver hands out what ended, to those that still wait. It holds the fleet's lock.
func (s *Server) deliver(ended []model.Completion) {
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

// scheduleAdvance has the model looked at when it next has something to say. A server that has
// fallen over takes its sockets with it. It holds the fleet's lock.
func (s *Server) scheduleAdvance() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.machine.Down() && !s.closed {
		s.deliver(s.machine.Advance(s.fleet.Now()))
		s.markClosed()
		for _, stop := range s.stops {
			go stop()
		}
	}
	at := s.machine.NextEvent()
	if at == model.Never || s.closed {
		return
	}
	s.timer = time.AfterFunc(at-s.fleet.Now(), func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if !s.closed {
			s.deliver(s.machine.Advance(s.fleet.Now()))
			s.scheduleAdvance()
		}
	})
}

// work is a request's, drawn by its id: the same wherever it goes.
func (f *Fleet) work(class int, id string) time.Duration {
	if f.o.Work != nil {
		return f.o.Work(class, id)
	}
	c := f.o.Classes[class]
	if c.CV <= 0 {
		return c.Work
	}
	return time.Duration(plan.Lognormal(rand.New(rand.NewPCG(f.o.Seed, hash(id))), float64(c.Work), c.CV))
}

// hash is a number that follows from a request's id.
func hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	return h.Sum64()
}

// Request is one request as a transport reads it.
type Request struct {
	Class       string
	ID          string
	Key         string // "" if it has none
	AffinityKey string // its subject, "" if it has none
}

// Submit has a request worked at, and waits for its end; model.Lost if ctx ends before.
// The work goes on then. report is what the answer tells of the load.
func (s *Server) Submit(ctx context.Context, r Request) (o model.Outcome, report string, err error) {
	f := s.fleet
	class, ok := f.index[r.Class]
	if !ok {
		if class, ok = f.index[""]; !ok {
			return 0, "", fmt.Errorf("%q is not a known class", r.Class)
		}
	}
	q := model.Request{Class: class, Work: f.work(class, r.ID), Key: r.Key, FaultSeed: hash(r.ID)}
	if r.AffinityKey != "" {
		q.AffinityKey = hash(r.AffinityKey)
	}
	if q.Key == "" {
		q.Key = "id " + r.ID
	}
	ended := make(chan model.Outcome, 1)
	f.mu.Lock()
	if f.o.OnArrival != nil {
		f.o.OnArrival(s, r.ID, f.Now())
	}
	f.number++
	q.Number = f.number
	s.waiting[q.Number] = ended
	s.deliver(s.machine.Arrive(f.Now(), q))
	s.deliver(s.machine.Advance(f.Now())) // what is no work ends here
	s.scheduleAdvance()
	f.mu.Unlock()
	select {
	case o = <-ended:
	case <-ctx.Done():
		return model.Unanswered, "", nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return o, figures(s.machine.Report(f.Now())), nil
}

func figures(r model.LoadReport) string {
	return fmt.Sprintf("eps=%.2f,queue=%.2f", r.ErrorsPerSecond, r.Queue)
}

// Probe is what the server tells of its load, false if it does not answer.
func (s *Server) Probe() (report string, ok bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	defer s.scheduleAdvance()
	load, ok := s.machine.Probe(s.fleet.Now())
	return figures(load), ok
}
