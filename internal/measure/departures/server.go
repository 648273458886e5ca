package departures

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server records when each request arrives.
type server struct {
	listener net.Listener
	serving  sync.WaitGroup // the listener and its connections

	mu       sync.Mutex
	arrivals map[string]time.Time // by request id
	conns    map[net.Conn]bool    // open ones
	closed   bool
}

func startServer() (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, arrivals: map[string]time.Time{}, conns: map[net.Conn]bool{}}
	s.serving.Go(s.accept)
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// close stops accepting, closes all connections and waits for them.
func (s *server) close() {
	s.listener.Close()
	s.closeConnections()
	s.serving.Wait()
}

func (s *server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}

// add records an open connection, unless the server is closed.
func (s *server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	conn.Close()
}

// accept accepts connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.add(conn) {
			s.serving.Go(func() { s.serve(conn) })
		}
	}
}

// serve answers the requests of one connection.
func (s *server) serve(conn net.Conn) {
	defer s.remove(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.record(request.Header.Get("X-Correlation-Id"))
		// If the sidecar has closed the connection, the next read fails.
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}
}

func (s *server) record(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[id] = time.Now()
}

// sentAfter returns how many requests arrived after their client had disconnected, and how many of these arrived more
// than Tolerance after it.
func (s *server) sentAfter(disconnected map[string]time.Time) (sent, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, disconnectedAt := range disconnected {
		arrivedAt, ok := s.arrivals[id]
		if !ok || !arrivedAt.After(disconnectedAt) {
			continue
		}
		sent++
		if arrivedAt.Sub(disconnectedAt) > Tolerance {
			late++
		}
	}
	return sent, late
}
