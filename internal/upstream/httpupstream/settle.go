package httpupstream

import (
	"context"
	"time"

	"pinedale/internal/ctxtime"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
)

// An endpoint may send a second response some milliseconds after the first. A request that is
// written before it has arrived is answered with it, because HTTP/1.1 responses do not name their
// request, and from then on the connection stays one response behind. A connection is therefore
// not reused until it has settled: until a second response that the endpoint has sent in that time
// must have arrived, and is found as unread bytes by conn.isAlive.
//
// The network path may delay the second response longer than the first. How much longer is taken
// to be at most the round-trip time of the path: a path whose one-way delay varies by up to half
// of its mean stays within that. The round trip is measured as the shortest exchange of a request
// or health check and its response, which is never too short. The time to connect would be, where
// a relay accepts connections on the way.

const (
	// defaultSettleTime is the time within which an endpoint sends a second response: some
	// milliseconds, and 20 ms where its timers are late.
	defaultSettleTime = 30 * time.Millisecond
	// defaultMaxSettleWait and a round trip are the longest wait for a connection to settle. Where
	// it would take longer, a new connection is opened.
	defaultMaxSettleWait = 10 * time.Millisecond
)

// roundTripWindow is the time after which the shortest exchange of a path is measured anew, so
// that a path that has become longer is noticed.
const roundTripWindow = 10 * time.Second

// roundTrip is the shortest exchange on the path to an endpoint, within one to two windows.
type roundTrip struct {
	current, previous time.Duration // shortest in this window and in the one before it; 0 for none
	windowStart       time.Time
}

// observe records the duration of an exchange.
func (r *roundTrip) observe(now time.Time, duration time.Duration) {
	if age := now.Sub(r.windowStart); age >= roundTripWindow {
		r.previous = 0
		if age < 2*roundTripWindow {
			r.previous = r.current
		}
		r.current = 0
		r.windowStart = now
	}
	if r.current == 0 || duration < r.current {
		r.current = duration
	}
}

// shortest returns the shortest exchange, or 0 if there was none.
func (r *roundTrip) shortest() time.Duration {
	if r.previous == 0 {
		return r.current
	}
	return min(r.current, r.previous)
}

// observeRoundTrip records the duration of an exchange with a target. Nothing is recorded for a
// closed target, whose record Retire may have deleted already.
func (u *Upstream) observeRoundTrip(t *engine.Target, duration time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.Closed() {
		return
	}
	path := u.roundTrips[t]
	path.observe(time.Now(), duration)
	u.roundTrips[t] = path
}

// settleTimeLocked returns how long connections to a target take to settle after a response. The
// caller holds u.mu.
func (u *Upstream) settleTimeLocked(t *engine.Target) time.Duration {
	path := u.roundTrips[t]
	return u.settleTime + path.shortest()
}

// awaitSettled waits until a connection has settled or the request must no longer be sent. The
// last check before the write detects the latter.
func awaitSettled(ctx context.Context, c *conn) {
	if remaining := time.Until(c.settledAt); remaining > 0 {
		ctxtime.Sleep(attempt.SendContext(ctx), remaining)
	}
}
