// Package sockets runs emulated servers on loopback sockets: the server model of package model on the system's clock.
// A Transport accepts their connections and requests: HTTP1 without TLS, TLS with it.
package sockets

import (
	"sync"
	"time"

	"pinedale/internal/emulator/model"
)

// Class is one class of requests as the servers know it.
type Class struct {
	Name string // empty for the class of all names that no other class has
	model.Class
	Work time.Duration // mean, on a core of speed 1
	CV   float64       // coefficient of variation of the work, which has a lognormal distribution
}

// Options configure a fleet.
type Options struct {
	Classes   []Class
	Seed      uint64
	Now       func() model.Time // nil for the time since New
	Transport Transport         // nil for HTTP1

	// Work returns the work of a request. If it is nil, the work is drawn from the class, seeded by the request's ID.
	Work func(class int, id string) time.Duration

	// OnArrival is called with each request that arrives at a server. It must not block or call the fleet. It may be
	// nil.
	OnArrival func(s *Server, id string, at model.Time)
}

// Fleet is a set of servers that share a clock and a record of idempotency keys. Create one with New and close it.
type Fleet struct {
	options  Options
	index    map[string]int // class index by name
	stopping sync.WaitGroup // listeners of collapsed servers that are being closed

	mu              sync.Mutex // held for every call of a model, since the models share the dedup store
	dedup           *model.DedupStore
	requests        uint64 // number of requests received
	servers         []*Server
	openConnections int
	maxConnections  int // the highest number open at once
}

// New returns a fleet without servers.
func New(o Options) *Fleet {
	if o.Now == nil {
		began := time.Now()
		o.Now = func() model.Time { return time.Since(began) }
	}
	if o.Transport == nil {
		o.Transport = HTTP1{}
	}
	f := &Fleet{options: o, index: map[string]int{}}
	classes := make([]model.Class, len(o.Classes))
	for i, class := range o.Classes {
		classes[i] = class.Class
		f.index[class.Name] = i
	}
	f.dedup = model.NewDedupStore(classes)
	return f
}

// Now returns the fleet's time.
func (f *Fleet) Now() model.Time { return f.options.Now() }

// Start starts a server.
func (f *Fleet) Start(spec ServerSpec) (*Server, error) {
	s := newServer(f, spec)
	if err := s.listen(spec); err != nil {
		s.Close()
		return nil, err
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, nil
}

// Close closes all servers and waits until their listeners have ended.
func (f *Fleet) Close() {
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	f.stopping.Wait()
}

// Counts returns how many requests ran, and how many duplicates were dropped.
func (f *Fleet) Counts() (ran, dropped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dedup.Counts()
}

// DuplicateEffects returns the keys of the effects that happened more than once though their class is not idempotent.
func (f *Fleet) DuplicateEffects() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dedup.DuplicateEffects()
}

// EffectCounts returns how often each effect happened, by its key.
func (f *Fleet) EffectCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dedup.EffectCounts()
}

// Connections returns the number of open connections and the highest number that were open at once.
func (f *Fleet) Connections() (open, highest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openConnections, f.maxConnections
}
