// Package fakezookeeper provides a ZooKeeper service for tests. It speaks the wire protocol (sessions, ephemeral
// nodes, watches) to any client, and fails on command: it deletes nodes, expires sessions, stops responding, rejects
// connections, delays responses, restarts with another zxid, and lets members serve stale lists.
package fakezookeeper

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Service is a tree of nodes behind one or more members. Make one with [New] or [Start].
type Service struct {
	mu          sync.Mutex       // also guards the state of members, sessions and connections
	nodes       map[string]*node // by path
	sessions    map[int64]*session
	members     []*Member
	zxid        int64 // of the last change
	lastSession int64 // number of the session opened last
	stop        chan struct{}
	stopped     sync.WaitGroup // of all goroutines
}

// Member is one address of a [Service].
type Member struct {
	Address string // host:port

	service  *Service
	listener net.Listener

	// Guarded by the service's mu.
	conns        map[*conn]bool
	requests     map[int32]int    // number by operation
	unresponsive bool             // reads requests and does not respond
	rejecting    bool             // closes new connections
	delay        time.Duration    // before each response
	staleView    map[string]*node // served in place of the tree, if not nil
}

// New starts a service with this number of members on loopback. It is closed when the test ends.
func New(t testing.TB, members int) *Service {
	t.Helper()
	s, err := Start(members)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Start starts a service with this number of members on loopback.
func Start(members int) (*Service, error) {
	s := &Service{
		nodes:    map[string]*node{"/": {children: map[string]bool{}}},
		sessions: map[int64]*session{},
		stop:     make(chan struct{}),
	}
	for range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		m := &Member{
			Address:  listener.Addr().String(),
			service:  s,
			listener: listener,
			conns:    map[*conn]bool{},
			requests: map[int32]int{},
		}
		s.members = append(s.members, m)
		s.stopped.Go(m.accept)
	}
	s.stopped.Go(s.expireUntilStop)
	return s, nil
}

// Addresses returns the addresses of all members.
func (s *Service) Addresses() []string {
	var addresses []string
	for _, m := range s.members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// Member returns the n-th member, counted from 0.
func (s *Service) Member(n int) *Member { return s.members[n] }

// RequestCount returns the number of requests of an operation that members have received.
func (s *Service) RequestCount(op int32) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, m := range s.members {
		count += m.requests[op]
	}
	return count
}

// Close ends the service and waits for its goroutines. It may be called more than once.
func (s *Service) Close() {
	s.closeListeners()
	s.stopped.Wait()
}

// closeListeners closes all listeners and connections, and signals the service's goroutines to end.
func (s *Service) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	for _, m := range s.members {
		m.listener.Close()
		m.closeConns()
	}
}
