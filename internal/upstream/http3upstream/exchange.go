package http3upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
)

// responseTimeout bounds the time from a response's header to its last byte, as over HTTP/1.1.
const responseTimeout = 100 * time.Millisecond

// exchange sends one request on a stream of its own and reads the complete response. The error is
// an attempt.UnsentError if no stream was opened; after any other error the request may have run.
// ClientConn.RoundTrip uses only this connection and does not retry.
func exchange(ctx context.Context, c *conn, t *engine.Target, m *engine.Message) (*attempt.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := newStreamWait(c.quic, cancel)
	defer wait.stop()
	request := newRequest(wait.traceContext(ctx), t, m)
	response, err := c.client.RoundTrip(request)
	if err != nil && !wait.opened.Load() {
		return nil, &attempt.UnsentError{Cause: err}
	}
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	// Without a timeout, a response that has begun and then stalls would block its request until the
	// client's deadline.
	responseTimer := time.AfterFunc(responseTimeout, cancel)
	defer responseTimer.Stop()
	proceed := func() { responseTimer.Reset(responseTimeout) }
	body, err := attempt.ReadBody(ctx, m, response.Body, response.ContentLength, proceed)
	if err != nil {
		return nil, err
	}
	return &attempt.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, nil
}

// newRequest converts a message to a request to a target.
func newRequest(ctx context.Context, t *engine.Target, m *engine.Message) *http.Request {
	request := &http.Request{
		Method:        m.Method,
		Host:          m.Host,
		Header:        attempt.RequestHeader(ctx, m),
		ContentLength: int64(len(m.Body)),
		URL: &url.URL{
			Scheme:   "https",
			Host:     t.Address,
			Path:     m.URL.Path,
			RawPath:  m.URL.RawPath,
			RawQuery: m.URL.RawQuery,
		},
	}
	if len(m.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	return request.WithContext(ctx)
}
