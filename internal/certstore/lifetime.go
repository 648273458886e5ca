package certstore

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/certstore/validate"
)

// Lifetime tells until when one connection may carry new requests. It is safe for concurrent use.
type Lifetime struct {
	store *Store
	conn  validate.Conn

	mu                sync.Mutex
	checkedGeneration int // that retirement was determined under
	retirement        validate.Retirement
}

// lastConnID is the last connection ID that was assigned, over all rooms.
var lastConnID atomic.Uint64

// Lifetime returns the lifetime of a connection after its handshake. The peer was verified for a usage; generation
// is that of the material from before the handshake.
func (r *Store) Lifetime(state tls.ConnectionState, usage x509.ExtKeyUsage, generation int) *Lifetime {
	return &Lifetime{
		store:             r,
		checkedGeneration: generation,
		conn: validate.Conn{
			ID:         lastConnID.Add(1),
			Generation: generation,
			Local:      r.LocalCert(),
			Peer:       state.PeerCertificates,
			PeerUsage:  usage,
		},
	}
}

// At returns the state of the connection at an instant. usable is false if it should carry no new requests and be
// closed once those in flight have ended; trusted is false if the peer would be rejected now, for reason.
//
// The chain is verified again only if the material has changed or a certificate has expired: nothing else can
// change the result.
func (l *Lifetime) At(now time.Time) (usable, trusted bool, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	generation := l.store.Generation()
	if !l.retirement.PeerUntrusted && (generation != l.checkedGeneration || l.expired(now)) {
		l.update(l.store.Retirement(l.conn))
		l.checkedGeneration = generation
	}
	if l.retirement.PeerUntrusted {
		return false, false, l.retirement.Reason
	}
	usable = l.retirement.At.IsZero() || now.Before(l.retirement.At)
	return usable, true, l.retirement.Reason
}

// update adopts a retirement unless an earlier one is set: a second change of the material does not postpone the
// retirement that the first has caused.
func (l *Lifetime) update(next validate.Retirement) {
	if next.At.IsZero() {
		return
	}
	if l.retirement.At.IsZero() || next.PeerUntrusted || next.At.Before(l.retirement.At) {
		l.retirement = next
	}
}

// expired reports whether a certificate of the connection has expired.
func (l *Lifetime) expired(now time.Time) bool {
	for _, cert := range l.conn.Peer {
		if now.After(cert.NotAfter) {
			return true
		}
	}
	return l.conn.Local != nil && now.After(l.conn.Local.NotAfter)
}
