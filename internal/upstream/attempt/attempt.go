// Package attempt is what upstreams share, whatever protocol they speak: how an attempt
// is started and called off, what a failure before and after sending proves, what an
// answer says, and how a server is asked for its load.
package attempt

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
)

// Reasons for which the sidecar itself sends nothing.
var (
	ErrClosed = errors.New("the endpoint is draining or gone")
	ErrFull   = errors.New("no connection is left")
	ErrLate   = errors.New("nobody waits for an answer any more, or it is too late to send")
)

// Sender sends a request to a target once, and tells what came of it.
type Sender func(context.Context, *engine.Target, *engine.Message) engine.Result

// carriage carries out the attempts of one request.
type carriage struct {
	send    Sender
	message *engine.Message
}

// Carry returns a carrier for one request.
func Carry(send Sender, m *engine.Message) engine.Carrier { return &carriage{send, m} }

// Send sends the request in a goroutine of its own.
func (c *carriage) Send(a *engine.Attempt) {
	ctx, cancel := context.WithDeadline(a.Context(), a.DeadlineTime())
	a.Stop = cancel
	go func() {
		res := c.start(ctx, a)
		cancel()
		a.PostResult(res)
	}()
}

// start sends the request under a second, shorter context beside the attempt's own: one
// that ends when the request must not be written any more.
func (c *carriage) start(ctx context.Context, a *engine.Attempt) engine.Result {
	unsent, cancel := context.WithDeadline(ctx, a.SendByTime())
	defer cancel()
	wanted := c.message.Context
	if wanted == nil {
		wanted = ctx
	}
	defer context.AfterFunc(wanted, cancel)()
	return c.send(context.WithValue(ctx, unsentKey{}, bounds{unsent, wanted}), a.Target, c.message)
}

// bounds end when a request must not be written any more. unsent follows wanted, but by a
// goroutine of its own, which may come late: the last look asks both.
type bounds struct{ unsent, wanted context.Context }

// unsentKey finds an attempt's bounds in its context.
type unsentKey struct{}

// Unwritten is the context of an attempt for as long as its request is not written: it ends
// with the attempt, and when the client has left, has its answer from another attempt, or a
// keyed request would come after its key is forgotten.
func Unwritten(ctx context.Context) context.Context { return boundsOf(ctx).unsent }

// boundsOf returns an attempt's bounds; those of a probe are its own context's.
func boundsOf(ctx context.Context) bounds {
	if b, ok := ctx.Value(unsentKey{}).(bounds); ok {
		return b
	}
	return bounds{ctx, ctx}
}

// MayWrite is the last look before a request is written: ErrLate where it must not be.
// It goes by the clock, too: on a busy machine a context ends late.
func MayWrite(ctx context.Context) error {
	b := boundsOf(ctx)
	by, bound := b.unsent.Deadline()
	if b.wanted.Err() != nil || b.unsent.Err() != nil || bound && !time.Now().Before(by) {
		return ErrLate
	}
	return nil
}

// Cancel ends the attempt's context.
func (c *carriage) Cancel(a *engine.Attempt) { a.Stop() }

// probeTimeout is how long a probe's answer is waited for.
const probeTimeout = 400 * time.Millisecond

// Probe asks a target for its load report, or for its health where the deployment has no
// reports: fields are the reports'.
func Probe(ctx context.Context, send Sender, t *engine.Target, fields []string) engine.Result {
	ctx, cancel := context.WithTimeout(ForProbe(ctx), probeTimeout)
	defer cancel()
	m := &engine.Message{Method: http.MethodGet, URL: &url.URL{Path: "/health/live"}, Host: t.Address}
	if len(fields) > 0 {
		m.URL.Path = "/stats"
	}
	r := send(ctx, t, m)
	if r.Status == balancer.OK {
		r.Load = httpmsg.LoadReport(fields, string(r.Body))
	}
	return r
}

// probeKey finds in a context that it is a probe's.
type probeKey struct{}

// ForProbe marks a context as a probe's.
func ForProbe(ctx context.Context) context.Context {
	return context.WithValue(ctx, probeKey{}, true)
}

// IsProbe says whether what a connection is wanted for is a probe: no request waits for it.
func IsProbe(ctx context.Context) bool { return ctx.Value(probeKey{}) != nil }

// Unsent is the outcome of a request that was not written: the endpoint's fault, unless
// the sidecar no longer wanted to send it.
func Unsent(ctx context.Context, err error) balancer.Status {
	if Unwritten(ctx).Err() != nil || errors.Is(err, ErrClosed) || errors.Is(err, ErrFull) || errors.Is(err, ErrLate) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// Broken is the outcome of a request that was written, perhaps in part, and has no whole
// answer.
func Broken(ctx context.Context) balancer.Status {
	switch until, ok := ctx.Deadline(); {
	// By the clock: the balancer's own timer for that instant may have called the attempt
	// off already, but to be told of a cancellation in place of a time-out would hide the
	// endpoint's silence from it.
	case ok && !time.Now().Before(until):
		return balancer.Timeout
	case ctx.Err() != nil:
		return balancer.Cancelled
	}
	return balancer.Reset // a broken, cut or malformed answer
}

// Response is an endpoint's complete response, its body read.
type Response struct {
	StatusCode int
	Header     http.Header
	Body       []byte
}

// Answered is the result of a request that has a complete response.
func Answered(fields []string, response *Response, took time.Duration) engine.Result {
	r := engine.Result{Status: balancer.Error, Duration: took, Load: httpmsg.LoadReport(fields, response.Header.Get("X-Backend-Load"))}
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		r.Status, r.Header, r.Body = balancer.OK, response.Header, response.Body
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		response.Header.Get("X-Unprocessed") == "1":
		r.Status = balancer.Full
	}
	return r
}
