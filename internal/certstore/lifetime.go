package certstore

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/certstore/validate"
)

// Lifetime determines until when a connection may carry new requests. It is safe for concurrent use.
type Lifetime struct {
	store *Store
	conn  validate.Conn

	mu                sync.Mutex
	checkedGeneration int // generation of the material when retirement was determined
	retirement        validate.Retirement
}

// lastConnID is the last connection ID that was assigned, in all stores.
var lastConnID atomic.Uint64

// Lifetime returns the lifetime of a connection whose handshake has verified the peer for a usage.
// generation is the value of Generation before the handshake.
func (s *Store) Lifetime(state tls.ConnectionState, usage x509.ExtKeyUsage, generation int) *Lifetime {
	return &Lifetime{
		store:             s,
		checkedGeneration: generation,
		conn: validate.Conn{
			ID:         lastConnID.Add(1),
			Generation: generation,
			Local:      s.LocalCert(),
			Peer:       state.PeerCertificates,
			PeerUsage:  usage,
		},
	}
}

// ConnState tells whether a connection may be used.
type ConnState struct {
	Usable  bool   // the connection may carry new requests; otherwise it must be closed once those in flight have ended
	Trusted bool   // the peer would be accepted now
	Reason  string // why the connection is not usable or will be replaced, "" if there is no reason
}

// At returns the state of the connection at the given time.
//
// The chain is verified again only if the material has changed or a certificate has expired, since nothing else changes
// the result.
func (l *Lifetime) At(now time.Time) ConnState {
	l.mu.Lock()
	defer l.mu.Unlock()
	generation := l.store.Generation()
	if !l.retirement.PeerUntrusted && (generation != l.checkedGeneration || l.expired(now)) {
		l.update(l.store.Retirement(l.conn))
		l.checkedGeneration = generation
	}
	return ConnState{
		Usable:  !l.retirement.PeerUntrusted && (l.retirement.At.IsZero() || now.Before(l.retirement.At)),
		Trusted: !l.retirement.PeerUntrusted,
		Reason:  l.retirement.Reason,
	}
}

// update sets the retirement unless an earlier one is set. A second change of the material does not postpone the
// retirement that the first one has caused.
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
