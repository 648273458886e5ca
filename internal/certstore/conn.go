package certstore

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a TLS connection with a Lifetime, which ends because the peer is no longer trusted, the local certificate has
// expired, or the material of the Store was replaced (see validate.Rotation.Retirement).
type Conn struct {
	*tls.Conn
	socket     *socket
	store      *Store
	peerUsage  x509.ExtKeyUsage
	generation int // of the material in use before the handshake

	lifetimeOnce sync.Once
	lifetime     *Lifetime
}

// Dial returns a client connection over raw. The caller performs the handshake. generation is the value of
// Store.Generation before the configuration was created.
func (s *Store) Dial(raw net.Conn, config *tls.Config, generation int) *Conn {
	socket := &socket{Conn: raw}
	return &Conn{
		Conn:       tls.Client(socket, config),
		socket:     socket,
		store:      s,
		peerUsage:  x509.ExtKeyUsageServerAuth,
		generation: generation,
	}
}

// Listen returns a listener for TLS connections. The handshake is performed by the first read or write, within
// its deadline.
func (s *Store) Listen(inner net.Listener, protocols ...string) net.Listener {
	return &listener{Listener: inner, store: s, config: s.Server(protocols...)}
}

// listener accepts server connections.
type listener struct {
	net.Listener
	store  *Store
	config *tls.Config
}

// Accept returns the next connection, a *Conn.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket := &socket{Conn: raw}
	return &Conn{
		Conn:       tls.Server(socket, l.config),
		socket:     socket,
		store:      l.store,
		peerUsage:  x509.ExtKeyUsageClientAuth,
		generation: l.store.Generation(),
	}, nil
}

// Lifetime returns the connection's lifetime. The handshake must be complete.
func (c *Conn) Lifetime() *Lifetime {
	c.lifetimeOnce.Do(func() {
		c.lifetime = c.store.Lifetime(c.ConnectionState(), c.peerUsage, c.generation)
	})
	return c.lifetime
}

// StateAt returns the fields of the connection's ConnState at a time, for callers that do not import this package. The
// handshake must be complete.
func (c *Conn) StateAt(now time.Time) (usable, trusted bool, reason string) {
	state := c.Lifetime().At(now)
	return state.Usable, state.Trusted, state.Reason
}

// HasNoUnreadData reports whether the TLS layer holds no unread data, such as an alert or an unexpected response. It
// does not read from the socket, and must not be called concurrently with Read.
func (c *Conn) HasNoUnreadData() bool {
	// With a deadline in the past, Read returns data of the TLS layer but does not read from the socket. The errors of
	// SetReadDeadline are ignored because Read returns an error as well if the socket is closed.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var buffer [1]byte
	n, err := c.Read(buffer[:])
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

// Close sends the close_notify alert (RFC 8446, section 6.1) if that does not block, and closes the connection.
func (c *Conn) Close() error {
	c.socket.closing.Store(true)
	return c.Conn.Close()
}

// socket is the connection below TLS. It bounds the time that a close may take.
type socket struct {
	net.Conn
	closing atomic.Bool
}

// closeTimeout bounds the write of the close_notify alert. The caller of Close may hold a lock, and crypto/tls would
// wait 5 s for a peer that does not read.
const closeTimeout = time.Millisecond

// SetWriteDeadline replaces the deadline of crypto/tls with closeTimeout during Close.
func (s *socket) SetWriteDeadline(deadline time.Time) error {
	if s.closing.Load() {
		deadline = time.Now().Add(closeTimeout)
	}
	return s.Conn.SetWriteDeadline(deadline)
}
