package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"pinedale/internal/engine"
)

// response is the result of a call.
type response struct {
	list engine.List
	err  error
}

// fetchHedged makes a watch call. If there is no response some time after its wait, it makes a second
// call that does not wait, and returns the response that arrives first. The watch call stays open
// meanwhile: a service that is slow may be about to answer it, and changes that a stalled call has
// missed may already count as reported. The other call is ended.
func (c *Client) fetchHedged(ctx context.Context, after *uint64) (engine.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedgeDelay := c.hedgeDelay()
	watch := c.startCall(ctx, after, c.timing.WatchWait, c.timing.WatchWait+hedgeDelay+c.timing.ListTimeout)
	if r, ok := awaitResponse(watch, c.timing.WatchWait+hedgeDelay); ok {
		return r.list, r.err
	}
	hedgedAt := time.Now()
	hedge := c.startCall(ctx, after, 0, c.timing.ListTimeout)
	select {
	case r := <-watch:
		if r.err != nil {
			r = <-hedge
		}
		return r.list, r.err
	case r := <-hedge:
		if r.err == nil {
			return r.list, nil
		}
		remaining := c.timing.WatchGrace - hedgeDelay - time.Since(hedgedAt)
		if late, ok := awaitResponse(watch, remaining); ok && late.err == nil {
			return late.list, nil
		}
		return engine.List{}, r.err
	}
}

// hedgeDelay returns the time from the end of a watch's wait to the second call. It is random, so
// that instances whose watches stalled at the same time do not call at the same time.
func (c *Client) hedgeDelay() time.Duration {
	if c.timing.HedgeJitter == 0 {
		return c.timing.HedgeDelay
	}
	return c.timing.HedgeDelay - rand.N(c.timing.HedgeJitter)
}

// startCall makes a call on a goroutine of its own, which ends with ctx or with the call.
func (c *Client) startCall(ctx context.Context, after *uint64, wait, timeout time.Duration) <-chan response {
	result := make(chan response, 1)
	go func() {
		list, err := c.call(ctx, after, wait, timeout)
		result <- response{list, err}
	}()
	return result
}

// awaitResponse waits for the result of a call, up to timeout. It reports whether there is one.
func awaitResponse(call <-chan response, timeout time.Duration) (r response, ok bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r = <-call:
		return r, true
	case <-timer.C:
		return r, false
	}
}
