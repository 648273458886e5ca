package attempt

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
)

// Response headers of the endpoints.
const (
	unprocessedHeader = "X-Unprocessed"  // "1": the request was rejected before it was processed
	loadReportHeader  = "X-Backend-Load" // load report, in the format of a load probe's response body
)

// An UnsentError proves that the last byte of a request was never written.
type UnsentError struct{ Cause error }

func (e *UnsentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// UnsentStatus returns the outcome of a request whose last byte was not written, so that it never
// ran. This is ConnectFailed, which counts against the endpoint, unless the sidecar itself did not
// send the request: the attempt was over, the endpoint was draining, or no connection was available.
func UnsentStatus(ctx context.Context, err error) balancer.Status {
	local := SendContext(ctx).Err() != nil ||
		errors.Is(err, ErrClosed) || errors.Is(err, ErrFull) || errors.Is(err, ErrLate)
	if local {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// InterruptedStatus returns the outcome of a request that was written, perhaps in part, and has
// no complete response: it may have run.
func InterruptedStatus(ctx context.Context) balancer.Status {
	switch deadline, ok := ctx.Deadline(); {
	// The clock is checked first: the balancer's own timer for the same instant may have cancelled
	// the attempt already. If that were reported as a cancellation, the balancer would not notice
	// that the endpoint is unresponsive.
	case ok && !time.Now().Before(deadline):
		return balancer.Timeout
	case ctx.Err() != nil:
		return balancer.Cancelled
	}
	return balancer.Reset // an aborted, truncated or malformed response
}

// Response is an endpoint's complete response, with its body read.
type Response struct {
	StatusCode int
	Header     http.Header
	Body       []byte
}

// ResponseResult returns the result of a request that has a complete response. fields are the
// load report's fields, in the order of the settings.
func ResponseResult(fields []string, response *Response, duration time.Duration) engine.Result {
	result := engine.Result{
		Status:   balancer.Error,
		Duration: duration,
		Load:     httpmsg.LoadReport(fields, response.Header.Get(loadReportHeader)),
	}
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		result.Status, result.Header, result.Body = balancer.OK, response.Header, response.Body
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		response.Header.Get(unprocessedHeader) == "1":
		result.Status = balancer.Full
	}
	return result
}
