// Package fakebackend provides a fleet of backends for the tests of other packages: emulated servers that have capacity
// for every request. They report their load, deduplicate requests by their idempotency keys, fail at the ratios that a
// test sets, and record every effect, so that a test can find those that happened twice.
package fakebackend

import (
	"crypto/tls"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/sockets"
)

// unlimitedCores is more than the number of requests that any test has in flight.
const unlimitedCores = 1 << 20

// seedIncrement makes the seeds of servers differ: 2^64 divided by the golden ratio, as in SplitMix64.
const seedIncrement = 0x9e3779b97f4a7c15

// Faults are the ratios, from 0 to 1, of requests that a fleet fails. The seed and the request's id determine whether a
// request fails, so that it fails in the same way whenever it is sent to the same server.
type Faults struct {
	Reject       float64 // 503 with X-Unprocessed: 1, never executed
	Error        float64 // 500 after execution
	Reset        float64 // the connection is closed after execution
	Unresponsive float64 // no response after execution

	// SameOnAllServers makes a request fail in the same way at every server, so that nothing depends on the choice.
	SameOnAllServers bool
}

// Fleet is a set of servers with a common record of effects. Its fields are set before the first server starts.
type Fleet struct {
	Classes     []balancer.Class // all others are idempotent
	Seed        uint64
	ServiceTime time.Duration // of a request
	Faults      Faults

	// TLS, if set, returns the configuration for the ALPN name of a protocol. Servers then speak HTTP/1.1 over TLS and
	// HTTP/3, and nothing in plain text.
	TLS func(protocol string) *tls.Config

	once     sync.Once
	emulated *sockets.Fleet
	started  atomic.Uint64 // number of servers so far
	requests atomic.Int64
	servers  sync.Map // *Server by its *sockets.Server
}

// Counts are numbers of requests.
type Counts struct {
	Requests     int // received
	Executed     int
	Rejected     int
	Deduplicated int // dropped, as their key had been seen
}

// Server is one server of a [Fleet].
type Server struct {
	Name    string
	Address string // host:port
	Cell    int

	emulated      *sockets.Server
	lastRequestNS atomic.Int64 // in Unix time, 0 before the first
}

// Start starts a server on loopback.
func (f *Fleet) Start(name string, cell int) (*Server, error) {
	return f.StartAt("", name, cell)
}

// MustStart is like [Fleet.Start] but ends the test on an error. The server is closed when the test ends.
func (f *Fleet) MustStart(t testing.TB, name string, cell int) *Server {
	t.Helper()
	s, err := f.Start(name, cell)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// StartAt starts a server that listens at host:port.
func (f *Fleet) StartAt(address, name string, cell int) (*Server, error) {
	f.once.Do(f.newEmulatedFleet)
	emulated, err := f.emulated.Start(sockets.ServerSpec{
		Name:   name,
		Group:  strconv.Itoa(cell),
		Seed:   f.nextSeed(),
		Listen: address,
		Faults: []model.Fault{f.Faults.model()},
		Config: model.Config{Cores: unlimitedCores, Speed: 1, SlotsPerCore: 1},
	})
	if err != nil {
		return nil, err
	}
	s := &Server{
		Name:     name,
		Address:  emulated.Addresses[0],
		Cell:     cell,
		emulated: emulated,
	}
	f.servers.Store(emulated, s)
	return s, nil
}

// newEmulatedFleet creates the emulated fleet from the exported fields.
func (f *Fleet) newEmulatedFleet() {
	classes := []sockets.Class{{Work: f.ServiceTime}}
	for _, class := range f.Classes {
		planned := plan.Class{Class: class}
		classes = append(classes, sockets.Class{
			Name:  class.Name,
			Class: planned.DedupClass(),
			Work:  f.ServiceTime,
		})
	}
	options := sockets.Options{Classes: classes, OnArrival: f.recordArrival}
	if f.TLS != nil {
		options.Transport = sockets.TLS{Config: f.TLS}
	}
	f.emulated = sockets.New(options)
}

// nextSeed returns the seed of the next server.
func (f *Fleet) nextSeed() uint64 {
	number := f.started.Add(1)
	if f.Faults.SameOnAllServers {
		return f.Seed
	}
	return f.Seed ^ number*seedIncrement
}

// model returns the emulator's form of the faults.
func (f Faults) model() model.Fault {
	return model.Fault{
		Until:           model.Never,
		RejectRatio:     f.Reject,
		FailLateRatio:   f.Error,
		ResetRatio:      f.Reset,
		UnansweredRatio: f.Unresponsive,
	}
}

// recordArrival records that a server has received a request.
func (f *Fleet) recordArrival(server *sockets.Server, _ string, _ model.Time) {
	f.requests.Add(1)
	if s, ok := f.servers.Load(server); ok {
		s.(*Server).lastRequestNS.Store(time.Now().UnixNano())
	}
}

// Close ends the server and its connections.
func (s *Server) Close() { s.emulated.Close() }

// LastRequest returns when the last request was received, the zero time before the first.
func (s *Server) LastRequest() time.Time {
	if ns := s.lastRequestNS.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// DuplicateEffects returns the keys of effects that happened more than once, of classes that are not idempotent by
// themselves.
func (f *Fleet) DuplicateEffects() []string { return f.emulated.DuplicateEffects() }

// EffectCounts returns how often each effect happened, by its key.
func (f *Fleet) EffectCounts() map[string]int { return f.emulated.EffectCounts() }

// Counts returns the numbers of requests so far.
func (f *Fleet) Counts() Counts {
	requests := int(f.requests.Load())
	executed, deduplicated := f.emulated.Counts()
	return Counts{
		Requests:     requests,
		Executed:     executed,
		Rejected:     requests - executed - deduplicated,
		Deduplicated: deduplicated,
	}
}
