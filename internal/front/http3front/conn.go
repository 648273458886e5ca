package http3front

import (
	"crypto/x509"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"pinedale/internal/certstore"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// clientConn is a client's connection.
type clientConn struct {
	*quic.Conn
	certificates *certstore.Store
	generation   int // of the certificates at the start of the handshake
	once         sync.Once
	credentials  *certstore.Lifetime // set by once
}

// checkCredentials reports whether the certificates of a connection are still valid, and if not the reason. Before the
// handshake is complete they count as valid: the client's certificate is not known, and too little time has passed for
// a relevant change.
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

// mayBeEarlyData reports whether a request may have arrived in 0-RTT data, which anybody may replay. A complete
// handshake proves that the client itself is connected (RFC 8470, section 3).
func (c *clientConn) mayBeEarlyData() bool {
	select {
	case <-c.HandshakeComplete():
		return false
	default:
		return true
	}
}
