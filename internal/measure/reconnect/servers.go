package reconnect

import (
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/standin/ca"
)

const serverName = "soko.example.org"

// servers accept handshakes and record when each began.
type servers struct {
	targets   []*engine.Target
	config    *tls.Config
	timeout   time.Duration // of a handshake
	listeners []net.Listener
	serving   sync.WaitGroup // the listeners and the handshakes

	mu         sync.Mutex
	handshakes [][]time.Time // by server, those that succeeded
}

// startServers starts the servers and writes the root of their certificate into files.
func startServers(o Options, files *ca.Folder) (*servers, error) {
	root := ca.New(ca.PanicOnFatal{}, "root")
	files.WriteFile(files.Roots, root.PEM())
	pair := root.IssueFor(24*time.Hour, serverName)
	certificate, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, err
	}
	s := &servers{
		config: &tls.Config{
			Certificates:           []tls.Certificate{certificate},
			SessionTicketsDisabled: true, // after an outage all handshakes are full ones
		},
		timeout:    o.Timeout,
		handshakes: make([][]time.Time, o.Servers),
	}
	var startedMS int64
	if o.Warming {
		startedMS = time.Now().UnixMilli()
	}
	for n := range o.Servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		s.listeners = append(s.listeners, listener)
		s.targets = append(s.targets, &engine.Target{
			Name:      "soko",
			Address:   listener.Addr().String(),
			StartedMS: startedMS,
		})
		s.serving.Go(func() { s.accept(n, listener) })
	}
	return s, nil
}

// accept accepts connections of a server until its listener is closed.
func (s *servers) accept(server int, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() { s.handshake(server, conn) })
	}
}

// handshake does a server's side of a handshake, and records it if it succeeds.
func (s *servers) handshake(server int, conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(s.timeout)) // if the connection has ended, the handshake fails
	start := time.Now()
	if tls.Server(conn, s.config).Handshake() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes[server] = append(s.handshakes[server], start)
}

// close stops accepting, and waits for the handshakes that have begun. It is called after the clients have ended.
func (s *servers) close() {
	for _, listener := range s.listeners {
		listener.Close()
	}
	s.serving.Wait()
}

// peak returns the handshakes in the busiest second of a server, the highest of all servers.
func (s *servers) peak() (highest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, starts := range s.handshakes {
		highest = max(highest, maxPerSecond(starts))
	}
	return highest
}

// maxPerSecond returns the largest number of times within a second. It sorts the times.
func maxPerSecond(times []time.Time) (highest int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0 // index of the first time in the second that ends with times[last]
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}
