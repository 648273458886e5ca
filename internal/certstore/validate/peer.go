package validate

import (
	"crypto/sha256"
	"crypto/x509"
	"fmt"
	"sync"
	"time"
)

// VerifyPeer returns the first rule that a peer's chain breaks at an instant, nil if the peer is accepted.
// It is called for each full handshake, and for each resumed session with the chain that the peer presented
// when the session began: a ticket does not admit a peer that has since been revoked, has expired or is no
// longer trusted.
func (m *Material) VerifyPeer(now time.Time, presented []*x509.Certificate, requirements ChainRequirements) *Fault {
	if len(presented) == 0 {
		return &Fault{Rule: Incomplete, File: peerChain, Reason: "no certificate was shown"}
	}
	if len(m.Roots) == 0 {
		reason := "no roots are named, and a peer cannot be verified without"
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

// maxCachedChains bounds the cache: an entry has some hundred bytes, and a fleet one chain per server.
const maxCachedChains = 16 << 10

// chainKey identifies a chain together with the requirements it was verified for.
type chainKey [sha256.Size]byte

// cacheKey hashes a chain and its requirements.
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

// chainCache holds chains that were verified. The roots and revocation lists of a Material never change, so
// such a chain stays verified until one of its certificates expires and need not be verified again at each
// handshake. The zero value is ready; it is safe for concurrent use.
type chainCache struct {
	mu      sync.Mutex
	periods map[chainKey]validity
}

// valid reports whether a chain was verified and no certificate of it has expired since.
func (c *chainCache) valid(key chainKey, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	period, ok := c.periods[key]
	return ok && !now.Before(period.from) && !now.After(period.until)
}

// add stores a verified chain. A full cache is emptied first.
func (c *chainCache) add(key chainKey, period validity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.periods == nil || len(c.periods) >= maxCachedChains {
		c.periods = map[chainKey]validity{}
	}
	c.periods[key] = period
}
