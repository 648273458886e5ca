package attempt

import (
	"context"
	"time"
)

// sendBounds are the contexts that end when a request must no longer be written. The end of
// client cancels send, and a disconnect ends client, but both happen on other goroutines, which
// may run late: CheckBeforeWrite therefore checks each of them.
type sendBounds struct {
	send         context.Context // ends with the attempt, with client, and at the send deadline
	client       context.Context // ends when the client no longer awaits a response
	disconnected func() bool     // reports whether the client has disconnected; nil where unknown
}

// sendBoundsKey is the context key of an attempt's sendBounds.
type sendBoundsKey struct{}

// SendContext returns the context that bounds the writing of an attempt's request. It ends with
// the attempt, when the client has disconnected, when another attempt has delivered the
// response, and when a request with an idempotency key would arrive after the endpoint has
// dropped the key.
func SendContext(ctx context.Context) context.Context { return sendBoundsFrom(ctx).send }

// sendBoundsFrom returns an attempt's bounds. A health check has none: it is bounded by its own
// context.
func sendBoundsFrom(ctx context.Context) sendBounds {
	if bounds, ok := ctx.Value(sendBoundsKey{}).(sendBounds); ok {
		return bounds
	}
	return sendBounds{send: ctx, client: ctx}
}

// CheckBeforeWrite is the last check before a request is written. It returns ErrLate if the
// request must not be written. It also compares the send deadline with the clock, since a
// context may end late on a busy machine.
func CheckBeforeWrite(ctx context.Context) error {
	bounds := sendBoundsFrom(ctx)
	deadline, bounded := bounds.send.Deadline()
	if bounds.client.Err() != nil || bounds.send.Err() != nil || bounded && !time.Now().Before(deadline) {
		return ErrLate
	}
	if bounds.disconnected != nil && bounds.disconnected() {
		return ErrLate
	}
	return nil
}
