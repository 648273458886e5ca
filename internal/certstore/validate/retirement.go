package validate

import (
	"crypto/x509"
	"time"
)

// Conn describes an established connection.
type Conn struct {
	ID         uint64              // unique among connections; determines when the connection retires after a change
	Generation int                 // of the material in use when the connection was established
	Local      *x509.Certificate   // presented to the peer, nil for none
	Peer       []*x509.Certificate // presented by the peer, leaf first; empty for none
	PeerUsage  x509.ExtKeyUsage    // for which the peer's chain was verified
}

// Retirement is the time after which a connection must carry no new requests. Requests in flight may end later.
type Retirement struct {
	At            time.Time // zero if the connection need not be replaced
	Reason        string
	PeerUntrusted bool // the peer would be rejected now, and no more data may be exchanged with it
}

// PeerRequirements returns the requirements on a peer, without those on its names.
func (r *Rotation) PeerRequirements(usage x509.ExtKeyUsage) ChainRequirements {
	return ChainRequirements{
		Usage:       usage,
		MinRSABits:  r.requirements.MinRSABits,
		ExpiryGrace: r.requirements.PeerExpiryGrace,
	}
}

// Retirement returns when a connection retires:
//
//	the peer's chain would be rejected now  now
//	the local certificate has expired       now, unless AllowExpired is set
//	the connection's material was replaced  at a time that depends on its ID, in the period after the replacement
//
// For a resumed session, conn.Peer is the chain that was verified when the ticket was issued, since the peer has proved
// only that it has the ticket.
func (r *Rotation) Retirement(now time.Time, conn Conn) Retirement {
	if r.serving == nil {
		return Retirement{}
	}
	if len(conn.Peer) > 0 && len(r.serving.Roots) > 0 {
		if fault := r.serving.VerifyPeer(now, conn.Peer, r.PeerRequirements(conn.PeerUsage)); fault != nil {
			reason := "the peer is no longer trusted: " + fault.Error()
			return Retirement{At: now, Reason: reason, PeerUntrusted: true}
		}
	}
	if conn.Local != nil && now.After(conn.Local.NotAfter) && !r.requirements.AllowExpired {
		return Retirement{At: now, Reason: "the local certificate has expired"}
	}
	if conn.Generation != r.generation {
		delay := time.Duration(SpreadPosition(conn.ID) * float64(r.replacementTime))
		return Retirement{At: r.since.Add(delay), Reason: "the certificate files have changed"}
	}
	return Retirement{}
}

// goldenRatio64 is 2^64 divided by the golden ratio, the factor of Knuth's multiplicative hash.
const goldenRatio64 = 0x9e3779b97f4a7c15

// SpreadPosition returns the position, from 0 to 1, of a connection's retirement in the period after a change. It is a
// multiplicative hash, so that connections with consecutive IDs retire far apart.
func SpreadPosition(id uint64) float64 {
	const mantissaBits = 53 // of a float64
	return float64(id*goldenRatio64>>(64-mantissaBits)) / (1 << mantissaBits)
}
