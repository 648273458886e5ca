package http3front

import (
	"crypto/x509"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"pinedale/internal/certstore"
)

// connKey finds the connection of a request in its context.
type connKey struct{}

// clientConn is a client's connection.
type clientConn struct {
	*quic.Conn
	certificates *certstore.Store
	generation   int // of the certificates at the start of the handshake
	once         sync.Once
	credentials  *certstore.Lifetime // set by once
}

// checkCredentials reports whether the certificates of a connection are still valid, and if not the reason.
// Before the handshake is complete they are not known, and cannot have changed much since.
func (c *clientConn) checkCredentials() (trusted bool, reason string) {
	if c.mayBeEarlyData() {
		return true, ""
	}
	c.once.Do(func() {
		c.credentials = c.certificates.Lifetime(c.ConnectionState().TLS, x509.ExtKeyUsageClientAuth, c.generation)
	})
	state := c.credentials.At(time.Now())
	return state.Trusted, state.Reason
}

// mayBeEarlyData reports whether a request may have arrived in 0-RTT data, which anybody may replay. Once the
// handshake is complete its client is known to be there (RFC 8470, section 3).
func (c *clientConn) mayBeEarlyData() bool {
	select {
	case <-c.HandshakeComplete():
		return false
	default:
		return true
	}
}
