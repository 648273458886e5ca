// Package tlsbackend provides servers that speak HTTP/1.1 over TLS and HTTP/3 on one port number, whose certificates
// are rotated on command, and listeners that break the TLS handshake.
package tlsbackend

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"pinedale/internal/emulator/sockets/dualprotocol"
	"pinedale/internal/standin/ca"
)

// Server is a server with credentials of its own.
type Server struct {
	*Credentials
	Address string // host:port, of TCP and UDP

	requests atomic.Int64
}

// Start starts a server on loopback that presents a certificate and responds "done". It is closed when the test ends.
func Start(t testing.TB, pair *ca.Pair) *Server {
	t.Helper()
	s := &Server{Credentials: NewCredentials(t, pair)}
	address, stop, err := dualprotocol.Listen("127.0.0.1:0", dualprotocol.Options{
		Handler: s,
		Config:  s.ServerConfig,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	s.Address = address
	return s
}

// ServeHTTP counts a request and responds "done".
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "done")
}

// Requests returns the number of requests so far.
func (s *Server) Requests() int { return int(s.requests.Load()) }
