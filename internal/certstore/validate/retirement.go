package validate

import (
	"crypto/x509"
	"time"
)

// Conn describes an established connection.
type Conn struct {
	ID         uint64              // distinguishes connections, so that their ends are spread
	Generation int                 // of the material that served when it was established
	Local      *x509.Certificate   // presented to the peer, nil for none
	Peer       []*x509.Certificate // presented by the peer, leaf first; empty for none
	PeerUsage  x509.ExtKeyUsage    // that the peer's chain was verified for
}

// Retirement is until when a connection may carry new requests. Requests in flight may end after that.
type Retirement struct {
	At            time.Time // zero if the connection need not be replaced
	Reason        string
	PeerUntrusted bool // the peer would be rejected now: nothing more may be exchanged with it
}

// PeerRequirements returns what is required of a peer of any name.
func (r *Rotation) PeerRequirements(usage x509.ExtKeyUsage) ChainRequirements {
	return ChainRequirements{
		Usage:       usage,
		MinRSABits:  r.want.MinRSABits,
		ExpiryGrace: r.want.PeerExpiryGrace,
	}
}

// Retirement returns until when a connection may carry new requests:
//
//	the peer's chain would be rejected now  until now
//	its own certificate has expired         until now
//	its generation no longer serves         until a time that is spread over the period after the change
//
// A resumed session proves only that the peer had a ticket; for such a connection conn.Peer is the chain that
// was verified when the ticket was issued.
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
	if conn.Local != nil && now.After(conn.Local.NotAfter) && !r.want.AllowExpired {
		return Retirement{At: now, Reason: "its own certificate is over"}
	}
	if conn.Generation != r.generation {
		delay := time.Duration(SpreadPosition(conn.ID) * float64(r.spread))
		return Retirement{At: r.since.Add(delay), Reason: "keys have changed since"}
	}
	return Retirement{}
}

// goldenRatio is 2^64 divided by the golden ratio, the factor of Knuth's multiplicative hash.
const goldenRatio = 0x9e3779b97f4a7c15

// SpreadPosition returns the position, from 0 to 1, of a connection's end in the period after a change. It is a
// multiplicative hash: connections with consecutive IDs end far apart.
func SpreadPosition(id uint64) float64 {
	const mantissaBits = 53 // of a float64
	return float64(id*goldenRatio>>(64-mantissaBits)) / (1 << mantissaBits)
}
