// Package tlsbackend is a stand-in for servers that speak TLS: over HTTP/1.1 and HTTP/3 on the
// same port number, with certificates that are rotated on command, and listeners that do in
// place of a handshake what no server should.
package tlsbackend

import (
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"pinedale/internal/emulator/sockets/dualprotocol"
	"pinedale/internal/standin/ca"
)

// Keys are what servers show and ask for: a configuration of which each handshake gets what
// holds at its instant. Make them with NewKeys.
type Credentials struct {
	t       ca.TB
	mu      sync.Mutex
	shown   tls.Certificate
	trusted *x509.CertPool
	tickets bool
	ticket  [32]byte
	most    uint16
	config  atomic.Pointer[tls.Config]

	full, resumed atomic.Int64
}

// NewKeys shows a certificate.
func NewCredentials(t ca.TB, p *ca.Pair) *Credentials {
	t.Helper()
	s := &Credentials{t: t, tickets: true}
	rand.Read(s.ticket[:])
	s.SetCertificate(p)
	return s
}

// Follow is a configuration for a protocol, by its ALPN name.
func (s *Credentials) ServerConfig(protocol string) *tls.Config {
	return &tls.Config{NextProtos: []string{protocol}, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := s.config.Load().Clone()
		c.NextProtos = []string{protocol}
		return c, nil
	}}
}

// change remakes the configuration.
func (s *Credentials) change(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	c := &tls.Config{Certificates: []tls.Certificate{s.shown}, SessionTicketsDisabled: !s.tickets, MaxVersion: s.most,
		VerifyConnection: func(state tls.ConnectionState) error {
			if state.DidResume {
				s.resumed.Add(1)
			} else {
				s.full.Add(1)
			}
			return nil
		}}
	if s.trusted != nil {
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, s.trusted
	}
	c.SetSessionTicketKeys([][32]byte{s.ticket})
	s.config.Store(c)
}

// Show has a certificate shown from now on.
func (s *Credentials) SetCertificate(p *ca.Pair) {
	both, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		s.t.Fatal(err)
	}
	s.change(func() { s.shown = both })
}

// Trust has clients show a certificate by one of these; none for whoever comes.
func (s *Credentials) SetClientCAs(roots ...*ca.Authority) {
	s.change(func() {
		s.trusted = nil
		for _, a := range roots {
			if s.trusted == nil {
				s.trusted = x509.NewCertPool()
			}
			s.trusted.AddCert(a.Cert)
		}
	})
}

// Tickets has sessions be given out and resumed, or not.
func (s *Credentials) SetSessionTickets(on bool) { s.change(func() { s.tickets = on }) }

// NewTicketKey makes tickets of before worth nothing, as a restart does.
func (s *Credentials) RotateTicketKey() { s.change(func() { rand.Read(s.ticket[:]) }) }

// MaxTLSVersion is the highest TLS version that is spoken.
func (s *Credentials) SetMaxVersion(version uint16) { s.change(func() { s.most = version }) }

// Handshakes counts those that came to their end at the server.
func (s *Credentials) Handshakes() (full, resumed int) {
	return int(s.full.Load()), int(s.resumed.Load())
}

// Server is one server with keys of its own. Make one with Start.
type Server struct {
	*Credentials
	Address string // host:port, TCP and UDP

	requests atomic.Int64
}

// Start listens on loopback, shows a certificate and answers "done", until the test ends.
func Start(t testing.TB, p *ca.Pair) *Server {
	t.Helper()
	s := &Server{Credentials: NewCredentials(t, p)}
	handle := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "done")
	})
	address, stop, err := dualprotocol.Listen("127.0.0.1:0", dualprotocol.Options{Handler: handle, Config: s.ServerConfig})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	s.Address = address
	return s
}

// Requests counts those that came.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Bad is what a listener does in place of a handshake.
type HandshakeFault func(net.Conn)

// What may be done.
var (
	Unresponsive HandshakeFault = func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	Disconnect   HandshakeFault = func(c net.Conn) { _, _ = c.Read(make([]byte, 16)) }
	Garbage      HandshakeFault = func(c net.Conn) {
		_, _ = c.Write(make([]byte, 4096))
		_, _ = io.Copy(io.Discard, c)
	}
	PlainHTTP HandshakeFault = func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	}
)

// Listen is a listener that does so, on TCP, until the test ends.
func ListenFaulty(t testing.TB, do HandshakeFault) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[c] = true
			mu.Unlock()
			all.Go(func() { defer c.Close(); do(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for c := range open {
			c.Close()
		}
		mu.Unlock()
		all.Wait()
	})
	return l.Addr().String()
}
