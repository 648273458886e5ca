package http3front

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// maxUnverifiedPerSecond is how many new connections per second are accepted from addresses that are not verified.
// Clients of further connections must prove that they receive packets at their address (RFC 9000, section 8.1.2).
const maxUnverifiedPerSecond = 100

// errTooManyConnections rejects a connection before its handshake.
var errTooManyConnections = errors.New("limit of open connections reached")

// admit counts a new connection until its context ends, and rejects it at the limit.
func (s *Server) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if s.openConnections.Add(1) > int64(s.opts.Connections) {
		s.openConnections.Add(-1)
		return nil, errTooManyConnections
	}
	context.AfterFunc(ctx, func() { s.openConnections.Add(-1) })
	return ctx, nil
}

// requiresVerification reports whether a new connection's address must be verified first, as it must be under a
// flood of connections, whose source addresses may be forged.
func (s *Server) requiresVerification(net.Addr) bool { return s.aboveUnverifiedRate(time.Now().Unix()) }

// aboveUnverifiedRate counts a new connection in the given second, and reports whether there are too many in it.
func (s *Server) aboveUnverifiedRate(second int64) bool {
	if s.countedSecond.Swap(second) != second {
		s.newInSecond.Store(0)
	}
	if s.newInSecond.Add(1) <= maxUnverifiedPerSecond {
		return false
	}
	s.verified.Add(1)
	return true
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.openConnections.Load()) }

// Verified returns the number of connections whose address had to be verified first.
func (s *Server) Verified() int { return int(s.verified.Load()) }
