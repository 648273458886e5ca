package attempt

import (
	"context"
	"net"
	"time"

	"pinedale/internal/engine"
)

// A Securer performs the TLS handshakes of new connections. An upstream without one sends
// everything in plain text; an upstream with one sends nothing in plain text.
type Securer interface {
	// AwaitTurn waits until a handshake with a target may begin. It fails with ErrFull if the
	// rate limit does not allow one in time.
	AwaitTurn(ctx context.Context, t *engine.Target) error
	// Secure performs a handshake over raw and verifies the target. It closes raw if the
	// handshake fails.
	Secure(ctx context.Context, t *engine.Target, raw net.Conn) (Session, error)
	// Retire drops what is cached for a target that was removed.
	Retire(t *engine.Target)
}

// A Session is a TLS connection to a verified target.
type Session interface {
	net.Conn
	// Usable reports whether the connection may carry new requests. It must not be called
	// concurrently.
	Usable(now time.Time) bool
	// HasNoUnreadData reports whether all received data has been read. It must not be called
	// concurrently with Read.
	HasNoUnreadData() bool
}
