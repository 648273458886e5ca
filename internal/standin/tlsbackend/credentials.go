package tlsbackend

import (
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"

	"pinedale/internal/standin/ca"
)

// ticketKeyBytes is the length of a key that encrypts session tickets.
const ticketKeyBytes = 32

// Credentials are the certificate that servers present, the client certificates that they require, and their session
// tickets. They may be changed at any time; a handshake uses those in effect when it begins.
type Credentials struct {
	t      ca.TB
	config atomic.Pointer[tls.Config] // shared by all protocols

	mu             sync.Mutex // guards the fields that config is made from
	certificate    tls.Certificate
	clientCAs      *x509.CertPool // nil if clients need no certificate
	sessionTickets bool
	ticketKey      [ticketKeyBytes]byte
	maxVersion     uint16 // 0 for the highest

	fullHandshakes, resumedHandshakes atomic.Int64
}

// NewCredentials returns credentials with a certificate and session tickets. Clients need no certificate.
func NewCredentials(t ca.TB, pair *ca.Pair) *Credentials {
	t.Helper()
	c := &Credentials{t: t, sessionTickets: true}
	rand.Read(c.ticketKey[:])
	c.SetCertificate(pair)
	return c
}

// ServerConfig returns the configuration of servers that speak the protocol of an ALPN name.
func (c *Credentials) ServerConfig(protocol string) *tls.Config {
	return &tls.Config{
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config := c.config.Load().Clone()
			config.NextProtos = []string{protocol}
			return config, nil
		},
	}
}

// SetCertificate changes the certificate that servers present.
func (c *Credentials) SetCertificate(pair *ca.Pair) {
	c.t.Helper()
	certificate, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		c.t.Fatal(err)
	}
	c.update(func() { c.certificate = certificate })
}

// SetClientCAs makes servers require a client certificate that one of the authorities has signed. Without authorities,
// servers require no client certificate.
func (c *Credentials) SetClientCAs(authorities ...*ca.Authority) {
	var pool *x509.CertPool
	if len(authorities) > 0 {
		pool = x509.NewCertPool()
	}
	for _, authority := range authorities {
		pool.AddCert(authority.Cert)
	}
	c.update(func() { c.clientCAs = pool })
}

// SetSessionTickets sets whether servers issue and accept session tickets.
func (c *Credentials) SetSessionTickets(enabled bool) {
	c.update(func() { c.sessionTickets = enabled })
}

// RotateTicketKey invalidates all session tickets, as a restart of the server does.
func (c *Credentials) RotateTicketKey() {
	c.update(func() { rand.Read(c.ticketKey[:]) })
}

// SetMaxVersion sets the highest TLS version that servers speak.
func (c *Credentials) SetMaxVersion(version uint16) {
	c.update(func() { c.maxVersion = version })
}

// Handshakes returns the numbers of handshakes that servers have completed.
func (c *Credentials) Handshakes() (full, resumed int) {
	return int(c.fullHandshakes.Load()), int(c.resumedHandshakes.Load())
}

// update calls change under the lock and rebuilds the configuration from the fields.
func (c *Credentials) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	config := &tls.Config{
		Certificates:           []tls.Certificate{c.certificate},
		SessionTicketsDisabled: !c.sessionTickets,
		MaxVersion:             c.maxVersion,
		VerifyConnection:       c.countHandshake,
	}
	if c.clientCAs != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = c.clientCAs
	}
	config.SetSessionTicketKeys([][ticketKeyBytes]byte{c.ticketKey})
	c.config.Store(config)
}

// countHandshake counts a handshake. It serves as tls.Config.VerifyConnection and accepts every connection.
func (c *Credentials) countHandshake(state tls.ConnectionState) error {
	if state.DidResume {
		c.resumedHandshakes.Add(1)
	} else {
		c.fullHandshakes.Add(1)
	}
	return nil
}
