package http3upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
)

const (
	// responseTimeout bounds the time from a response's header to its last byte, as over
	// HTTP/1.1.
	responseTimeout = 100 * time.Millisecond
	// streamTimeout bounds the wait for a stream: an endpoint that responds on UDP may accept no
	// new ones. The request then goes elsewhere, since it was not sent.
	streamTimeout = 100 * time.Millisecond
)

// exchange sends one request on a stream of its own and reads the complete response. Its error is
// an attempt.UnsentError where no stream was opened; after any other error the request may have run.
// ClientConn.RoundTrip uses this connection alone, once.
func exchange(ctx context.Context, client *http3.ClientConn, t *engine.Target, m *engine.Message) (
	*attempt.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var opened atomic.Bool
	streamTimer := time.AfterFunc(streamTimeout, func() {
		if !opened.Load() {
			cancel()
		}
	})
	defer streamTimer.Stop()
	request := newRequest(withStreamTrace(ctx, &opened), t, m)
	response, err := client.RoundTrip(request)
	if err != nil && !opened.Load() {
		return nil, &attempt.UnsentError{Cause: err}
	}
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	// A response that has begun and stalls would hold its request until the client's deadline.
	responseTimer := time.AfterFunc(responseTimeout, cancel)
	defer responseTimer.Stop()
	body, err := attempt.ReadBody(response.Body)
	if err != nil {
		return nil, err
	}
	return &attempt.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, nil
}

// withStreamTrace returns a context that has opened set once a stream was opened, which its first
// written byte shows.
func withStreamTrace(ctx context.Context, opened *atomic.Bool) context.Context {
	setOpened := func() { opened.Store(true) }
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { setOpened() },
		WroteHeaders:     setOpened,
		WroteRequest:     func(httptrace.WroteRequestInfo) { setOpened() },
	})
}

// newRequest returns a message as a request to a target.
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
