package validate

import (
	"crypto/sha256"
	"crypto/x509"
	"fmt"
	"sync"
	"time"
)

// VerifyPeer returns the first rule that a peer's chain violates at the given time, nil if the peer is accepted. It is
// called for each full handshake. For each resumed session it is called with the chain that the peer presented in the
// full handshake, so that a peer whose certificate has since been revoked, has expired or is no longer trusted is
// rejected although it has a ticket.
func (m *Material) VerifyPeer(now time.Time, presented []*x509.Certificate, requirements ChainRequirements) *Fault {
	if len(presented) == 0 {
		return &Fault{Rule: Incomplete, File: peerChain, Reason: errNoCertificate.Error()}
	}
	if len(m.Roots) == 0 {
		reason := "no trusted roots are configured for the verification of peers"
		return &Fault{Rule: Untrusted, File: peerChain, Reason: reason}
	}
	key := cacheKey(presented, requirements)
	if m.verified.valid(key, now) {
		return nil
	}
	verified, fault := m.checkChain(now, peerChain, presented, requirements)
	if fault == nil {
		m.verified.add(key, commonValidity(append(verified, presented...)))
	}
	return fault
}

// maxCachedChains bounds the cache. An entry takes a few hundred bytes, and a fleet has one chain per server.
const maxCachedChains = 16 << 10

// chainKey is a hash of a chain and the requirements for which it was verified.
type chainKey [sha256.Size]byte

// cacheKey returns the key of a chain and its requirements.
func cacheKey(presented []*x509.Certificate, requirements ChainRequirements) (key chainKey) {
	hasher := sha256.New()
	fmt.Fprintf(hasher, "%q %d %d\n", requirements.Names, requirements.Usage, requirements.MinRSABits)
	for _, cert := range presented {
		fmt.Fprintf(hasher, "%d\n", len(cert.Raw))
		hasher.Write(cert.Raw)
	}
	hasher.Sum(key[:0])
	return key
}

// validity is the period in which a chain is valid.
type validity struct{ from, until time.Time }

// commonValidity returns the period in which all certificates are valid.
func commonValidity(certs []*x509.Certificate) (period validity) {
	for i, cert := range certs {
		if i == 0 || cert.NotBefore.After(period.from) {
			period.from = cert.NotBefore
		}
		if i == 0 || cert.NotAfter.Before(period.until) {
			period.until = cert.NotAfter
		}
	}
	return period
}

// chainCache holds chains that were verified. The roots and revocation lists of a Material never change, so that a
// verified chain remains valid until one of its certificates expires. The zero value is an empty cache. It is safe for
// concurrent use.
type chainCache struct {
	mu      sync.Mutex
	periods map[chainKey]validity
}

// valid reports whether a chain was verified and all its certificates are valid now.
func (c *chainCache) valid(key chainKey, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	period, ok := c.periods[key]
	return ok && !now.Before(period.from) && !now.After(period.until)
}

// add stores a verified chain. If the cache is full, it is cleared first.
func (c *chainCache) add(key chainKey, period validity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.periods == nil || len(c.periods) >= maxCachedChains {
		c.periods = map[chainKey]validity{}
	}
	c.periods[key] = period
}
