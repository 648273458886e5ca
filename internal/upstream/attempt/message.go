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

// ErrBodyTooLarge is the error for a response whose body exceeds httpmsg.MaxBodyBytes.
var ErrBodyTooLarge = errors.New("response body too large")

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

// ReadBody reads a response's body to its end. It fails with ErrBodyTooLarge beyond the size limit.
func ReadBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, httpmsg.MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > httpmsg.MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	return data, nil
}
