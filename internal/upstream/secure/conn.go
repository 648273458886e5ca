package secure

import (
	"time"

	"pinedale/internal/certstore"
)

// conn is a TLS connection to a verified server.
type conn struct {
	*certstore.Conn
	lifetime lifetime
}

// Usable reports whether the connection may carry new requests. It must not be called
// concurrently.
func (c *conn) Usable(now time.Time) bool { return c.lifetime.isUsable(now) }

// lifetime decides how long a connection may carry new requests: as long as keys and trust allow
// it, and as long as its server's certificate name is the one that was verified.
type lifetime struct {
	keys   *certstore.Lifetime
	client *Client
	server string // name in membership
	name   string // name in the certificate
	names  *Names // names against which name was last checked
}

// isUsable reports whether the connection may carry new requests. It must not be called
// concurrently.
func (l *lifetime) isUsable(now time.Time) bool {
	if names := l.client.names.Load(); names != l.names {
		name, err := names.CertificateName(l.server)
		if err != nil || name != l.name {
			return false
		}
		l.names = names
	}
	return l.keys.At(now).Usable
}
