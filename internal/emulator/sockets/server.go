package sockets

import (
	"time"

	"pinedale/internal/emulator/model"
)

// defaultListen selects an unused port of the loopback interface.
const defaultListen = "127.0.0.1:0"

// ServerSpec configures one server of a fleet.
type ServerSpec struct {
	Name      string
	Group     string // the group of servers that share keys of the scope model.Group
	Config    model.Config
	Seed      uint64
	Warming   bool // the server begins in slow start
	Faults    []model.Fault
	Latencies []time.Duration // one-way latency to each group of clients; empty for one group without latency
	Listen    string          // host:port of the only address; empty for unused ports of the loopback interface
}

// Server is an emulated server that listens on sockets.
type Server struct {
	Name      string
	Addresses []string // host:port, one for each of the spec's latencies

	fleet   *Fleet
	machine *model.Server
	pending map[uint64]chan model.Outcome
	timer   *time.Timer // fires at the next event of the model
	stops   []func()    // close the listeners
	served  int
	closed  bool
}

func newServer(f *Fleet, spec ServerSpec) *Server {
	return &Server{
		Name:    spec.Name,
		fleet:   f,
		pending: map[uint64]chan model.Outcome{},
		machine: model.New(model.Options{
			Config:  spec.Config,
			Seed:    spec.Seed,
			Start:   f.Now(),
			Warming: spec.Warming,
			Dedup:   f.dedup,
			Group:   spec.Group,
			Faults:  spec.Faults,
		}),
	}
}

// listen opens a listener for each of the spec's latencies.
func (s *Server) listen(spec ServerSpec) error {
	latencies := spec.Latencies
	if len(latencies) == 0 {
		latencies = []time.Duration{0}
	}
	address := spec.Listen
	if address == "" {
		address = defaultListen
	}
	for _, latency := range latencies {
		bound, stop, err := s.fleet.options.Transport.Listen(s, address, latency)
		if err != nil {
			return err
		}
		s.Addresses = append(s.Addresses, bound)
		s.stops = append(s.stops, stop)
	}
	return nil
}

// Close ends the server: its requests are lost, and it refuses connections.
func (s *Server) Close() {
	s.fleet.mu.Lock()
	s.deliver(s.machine.Stop(s.fleet.Now()))
	s.markClosed()
	s.fleet.mu.Unlock()
	for _, stop := range s.stops {
		stop()
	}
}

// Stats returns the number of requests in flight, the number of requests served, the ratio of its full capacity that
// the server has reached in slow start, and whether it is down.
func (s *Server) Stats() (inFlight, served int, warmth float64, down bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	working, waiting := s.machine.InFlight()
	return working + waiting, s.served, s.machine.Warmth(s.fleet.Now()), s.machine.Down()
}

// Collapsed reports whether the server has collapsed.
func (s *Server) Collapsed() bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.machine.CollapsedAt() != model.Never
}

// OpenConnection counts a new connection, which costs the server work. It returns false if the server does not accept
// the connection. CloseConnection must be called once for each accepted connection.
func (s *Server) OpenConnection() bool {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	defer s.scheduleAdvance()
	if !s.machine.Connect(f.Now()) {
		return false
	}
	f.openConnections++
	f.maxConnections = max(f.maxConnections, f.openConnections)
	return true
}

// CloseConnection counts the end of a connection.
func (s *Server) CloseConnection() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.machine.Disconnect()
	s.fleet.openConnections--
	s.scheduleAdvance()
}

// markClosed marks a server as closed and stops its timer. The caller holds the fleet's lock.
func (s *Server) markClosed() {
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// deliver passes completions to the callers of Submit that still wait. The caller holds the fleet's lock.
func (s *Server) deliver(completions []model.Completion) {
	for _, c := range completions {
		if c.Outcome == model.Served {
			s.served++
		}
		if outcome := s.pending[c.Number]; outcome != nil {
			outcome <- c.Outcome // does not block: the channel is buffered and gets one outcome
			delete(s.pending, c.Number)
		}
	}
}

// scheduleAdvance schedules the next advance of the model. A server that has collapsed closes its sockets. The caller
// holds the fleet's lock.
func (s *Server) scheduleAdvance() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.machine.Down() && !s.closed {
		s.deliver(s.machine.Advance(s.fleet.Now()))
		s.markClosed()
		for _, stop := range s.stops {
			s.fleet.stopping.Go(stop)
		}
	}
	next := s.machine.NextEvent()
	if next == model.Never || s.closed {
		return
	}
	s.timer = time.AfterFunc(next-s.fleet.Now(), s.advance)
}

// advance runs when the model's next event is due.
func (s *Server) advance() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if !s.closed {
		s.deliver(s.machine.Advance(s.fleet.Now()))
		s.scheduleAdvance()
	}
}
