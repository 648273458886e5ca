// Package fakebackend is a stand-in for the co-operative's servers in the tests of other
// packages: emulated servers on HTTP/1.1 that have room for all that comes. They report
// their load, drop repeats of a key as their class says, fail as they are scripted to,
// and record every effect, so that a test can tell whether one was done twice.
package fakebackend

import (
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/sockets"
)

// Faults are the shares of requests that a fleet fails, each 0 to 1, drawn by the
// request's id: the same seed and id fail in the same way at the same server.
type Faults struct {
	Reject       float64 // 503 with X-Unprocessed: 1, never run
	Error        float64 // 500 after it has run
	Reset        float64 // the connection is closed after it has run
	Unresponsive float64 // no answer, though it has run

	// Everywhere has a request fare the same at every server: nothing depends on
	// which is chosen.
	SameOnAllServers bool
}

// Fleet is a set of servers with one memory of what has run. Set its fields before the
// first server starts.
type Fleet struct {
	Classes     []balancer.Class // all others are safe to repeat
	Seed        uint64
	ServiceTime time.Duration // of a request
	Faults      Faults
	// TLS, where set, has servers speak HTTP/1.1 over TLS and HTTP/3 with the configuration
	// for each protocol's ALPN name, and nothing in plain text.
	TLS func(protocol string) *tls.Config

	once     sync.Once
	emulated *sockets.Fleet
	started  atomic.Uint64
	requests atomic.Int64
	servers  sync.Map // *Server by its emulated one
}

// Counts is what came to a fleet.
type Counts struct{ Requests, Executed, Rejected, Deduplicated int }

// Server is one server of a fleet.
type Server struct {
	Name    string
	Address string // host:port
	Cell    int

	emulated *sockets.Server
	last     atomic.Int64 // start of the last request that came, Unix nanoseconds
}

// room is for more requests at once than any test has.
const room = 1 << 20

// Start listens on loopback.
func (f *Fleet) Start(name string, cell int) (*Server, error) {
	return f.StartAt("", name, cell)
}

// StartAt listens at host:port.
func (f *Fleet) StartAt(address, name string, cell int) (*Server, error) {
	f.once.Do(func() {
		classes := []sockets.Class{{Work: f.ServiceTime}}
		for _, c := range f.Classes {
			known := plan.Class{Class: c}
			classes = append(classes, sockets.Class{Name: c.Name, Class: known.DedupClass(), Work: f.ServiceTime})
		}
		o := sockets.Options{Classes: classes, OnArrival: f.arrived}
		if f.TLS != nil {
			o.Transport = sockets.TLS{Config: f.TLS}
		}
		f.emulated = sockets.New(o)
	})
	seed := f.Seed
	if n := f.started.Add(1); !f.Faults.SameOnAllServers {
		seed ^= n * 0x9e3779b97f4a7c15
	}
	fault := model.Fault{Until: model.Never, RejectRatio: f.Faults.Reject, FailLateRatio: f.Faults.Error, ResetRatio: f.Faults.Reset, UnansweredRatio: f.Faults.Unresponsive}
	made, err := f.emulated.Start(sockets.ServerSpec{Name: name, Group: fmt.Sprint(cell), Seed: seed, Listen: address, Faults: []model.Fault{fault},
		Config: model.Config{Cores: room, Speed: 1, SlotsPerCore: 1}})
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Address: made.Addresses[0], Cell: cell, emulated: made}
	f.servers.Store(made, s)
	return s, nil
}

func (f *Fleet) arrived(at *sockets.Server, _ string, _ model.Time) {
	f.requests.Add(1)
	if s, ok := f.servers.Load(at); ok {
		s.(*Server).last.Store(time.Now().UnixNano())
	}
}

// Close ends the server and its connections.
func (s *Server) Close() { s.emulated.Close() }

// LastRequest is when the last request came; the zero time before the first.
func (s *Server) LastRequest() time.Time {
	if at := s.last.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Twice names the effects of keyed and unsafe classes that were done more than
// once.
func (f *Fleet) DuplicateEffects() []string { return f.emulated.DuplicateEffects() }

// Done says how often each effect was done, by its key.
func (f *Fleet) EffectCounts() map[string]int { return f.emulated.EffectCounts() }

// Counts returns what came so far.
func (f *Fleet) Counts() Counts {
	c := Counts{Requests: int(f.requests.Load())}
	c.Executed, c.Deduplicated = f.emulated.Counts()
	c.Rejected = c.Requests - c.Executed - c.Deduplicated
	return c
}
