package attempt

import (
	"context"
	"errors"

	"pinedale/internal/engine"
)

// Reasons why the sidecar itself does not send a request.
var (
	ErrClosed = errors.New("endpoint draining or removed")
	ErrFull   = errors.New("no connection available")
	ErrLate   = errors.New("response no longer awaited, or send deadline passed")
)

// A Sender sends a request to a target once and returns the outcome. It must not resend the request.
type Sender func(context.Context, *engine.Target, *engine.Message) engine.Result

// carrier sends the attempts of one request.
type carrier struct {
	send    Sender
	message *engine.Message
}

// NewCarrier returns a carrier that sends one request through a Sender.
func NewCarrier(send Sender, m *engine.Message) engine.Carrier { return &carrier{send, m} }

// Send sends the request on a goroutine of its own.
func (c *carrier) Send(a *engine.Attempt) {
	ctx, cancel := context.WithDeadline(a.Context(), a.DeadlineTime())
	a.Abort = cancel
	go func() {
		result := c.sendWithBounds(ctx, a)
		cancel()
		a.PostResult(result)
	}()
}

// sendWithBounds sends the request with the attempt's context, to which it attaches sendBounds.
func (c *carrier) sendWithBounds(ctx context.Context, a *engine.Attempt) engine.Result {
	sendContext, cancel := context.WithDeadline(ctx, a.SendByTime())
	defer cancel()
	clientContext := c.message.Context
	if clientContext == nil {
		clientContext = ctx
	}
	stopWatchingClient := context.AfterFunc(clientContext, cancel)
	defer stopWatchingClient()
	bounds := sendBounds{send: sendContext, client: clientContext, disconnected: c.message.Disconnected}
	return c.send(context.WithValue(ctx, sendBoundsKey{}, bounds), a.Target, c.message)
}

// Cancel ends the attempt's context.
func (c *carrier) Cancel(a *engine.Attempt) { a.Abort() }
