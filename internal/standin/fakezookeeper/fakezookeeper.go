// Package fakezookeeper is a stand-in for a coordination service: it speaks ZooKeeper's
// wire protocol (sessions, ephemeral nodes, watches) to any client, and fails as a
// test scripts it: drops nodes, expires sessions, falls silent, refuses, delays,
// restarts with another zxid, and has its members see different lists.
package fakezookeeper

import (
	"net"
	"sync"
	"time"
)

// Service is a tree of nodes behind one or more members. Make one with Start. Its lock guards the state of
// its members, sessions and connections, too.
type Service struct {
	mu          sync.Mutex
	nodes       map[string]*node // by path
	sessions    map[int64]*session
	members     []*Member
	zxid        int64 // of the last change
	lastSession int64 // number of the session opened last
	stop        chan struct{}
	stopped     sync.WaitGroup // of all goroutines
}

// Member is one address of a service.
type Member struct {
	Address string // host:port

	service      *Service
	listener     net.Listener
	conns        map[*conn]bool
	unresponsive bool             // it reads and answers nothing
	rejecting    bool             // it closes new connections
	delay        time.Duration    // of each answer
	view         map[string]*node // what it shows in place of the tree, if it is split off
	Requests     map[int32]int    // by operation; guarded by the service
}

// Start starts a service with so many members on loopback.
func Start(members int) (*Service, error) {
	s := &Service{nodes: map[string]*node{"/": {children: map[string]bool{}}}, sessions: map[int64]*session{}, stop: make(chan struct{})}
	for range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		m := &Member{Address: l.Addr().String(), service: s, listener: l, conns: map[*conn]bool{}, Requests: map[int32]int{}}
		s.members = append(s.members, m)
		s.stopped.Go(m.accept)
	}
	s.stopped.Go(s.expire)
	return s, nil
}

// Addresses are the members'.
func (s *Service) Addresses() (all []string) {
	for _, m := range s.members {
		all = append(all, m.Address)
	}
	return all
}

// Member returns the nth member.
func (s *Service) Member(n int) *Member { return s.members[n] }

// Close ends the service and waits for its goroutines.
func (s *Service) Close() {
	s.mu.Lock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	for _, m := range s.members {
		m.listener.Close()
		for c := range m.conns {
			c.Close()
		}
	}
	s.mu.Unlock()
	s.stopped.Wait()
}

// Count is how many requests of an operation all members had.
func (s *Service) RequestCount(op int32) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		n += m.Requests[op]
	}
	return n
}
