package plan

import (
	"net/http"
	"time"

	"pinedale/balancer"
)

// CodeDisconnected is used in place of an HTTP status if the client disconnected before the response.
const CodeDisconnected = 0

// AttemptTimeout returns the timeout of a client attempt, which the client passes to its instance.
func (s *Scenario) AttemptTimeout(request *Request) time.Duration {
	timeout := float64(s.Classes[request.Class].ClientTimeout) * s.Clients.TimeoutRatio
	return time.Duration(timeout) * time.Microsecond
}

// Retry returns whether a client retries after a response, and how long it waits before the retry. It does not retry
// after a success, after its last permitted retry, or if the retry would start after the class's timeout. It retries a
// request that may have run only if a second run is harmless.
func (s *Scenario) Retry(
	request *Request, code int, retryAfter time.Duration, now Time,
) (wait time.Duration, retry bool) {
	if code == http.StatusOK || request.ClientAttempts > s.Clients.Retries {
		return 0, false
	}
	class := &s.Classes[request.Class]
	wait = max(s.Clients.RetryDelay, retryAfter)
	elapsed := now + wait - request.At
	if elapsed >= time.Duration(class.ClientTimeout)*time.Microsecond {
		return 0, false
	}
	didNotRun := code == http.StatusServiceUnavailable
	return wait, didNotRun || class.retrySafe(elapsed)
}

// retrySafe reports whether a request that may have run this long ago may run again without a second effect.
func (c *Class) retrySafe(elapsed time.Duration) bool {
	switch c.Idempotency {
	case balancer.Idempotent:
		return true
	case balancer.IdempotentWithKey:
		window := time.Duration(c.DedupWindow) * time.Microsecond
		return c.Group == balancer.GroupAll && elapsed < window
	default:
		return false
	}
}
