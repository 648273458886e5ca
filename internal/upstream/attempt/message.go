package attempt

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
)

// remainingTimeHeader states the milliseconds that an attempt has left when it is sent.
const remainingTimeHeader = "X-Time-Left-Ms"

// errNoMemory is the error for a response for whose body no memory became available in time.
var errNoMemory = errors.New("no memory for the response body")

// RequestHeader returns the header that a request is sent with: the client's end-to-end headers
// and the time that this attempt has left.
func RequestHeader(ctx context.Context, m *engine.Message) http.Header {
	header := http.Header{}
	httpmsg.CopyEndToEnd(header, m.Header)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(0, time.Until(deadline).Milliseconds())
		header.Set(remainingTimeHeader, strconv.FormatInt(remaining, 10))
	}
	return header
}

// unreservedBodyBytes is the length up to which a response's body counts as part of its request in flight.
const unreservedBodyBytes = 4 << 10

// ReadBody reads a response's body to its end. length is its length, or negative if it is unknown. Before it reads a
// long body it waits for the memory that the body may need, until ctx ends, and then calls proceed. It fails with
// httpmsg.ErrBodyTooLarge beyond the size limit.
func ReadBody(ctx context.Context, m *engine.Message, body io.Reader, length int64, proceed func()) ([]byte, error) {
	return httpmsg.ReadBody(body, length, unreservedBodyBytes, func(_, limit int) (int, error) {
		if m.ResponseMemory != nil && !m.ResponseMemory.Grow(ctx, int64(limit)) {
			return 0, errNoMemory
		}
		proceed()
		return limit, nil
	})
}
