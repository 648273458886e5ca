package httpupstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
	"pinedale/internal/upstream/attempt"
)

const (
	// maxHeadBytes bounds a response's status line and header: each connection has a buffer of
	// this size.
	maxHeadBytes = 8 << 10
	// responseTimeout bounds the time from a response's first byte to its last: four round
	// trips between sites.
	responseTimeout = 100 * time.Millisecond
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 10
)

// Reasons why a response is rejected.
var (
	errAmbiguousLength = errors.New("response length missing or stated more than once")
	errInterimLimit    = errors.New("too many interim responses")
)

// receive reads one final response. reusable reports whether the response leaves the connection
// open for other requests.
func (c *conn) receive(ctx context.Context, m *engine.Message) (result *attempt.Response, reusable bool, err error) {
	c.responseLimit.N = maxHeadBytes + httpmsg.MaxBodyBytes
	defer c.setReadDeadline(time.Time{})
	for range maxInterimResponses {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, false, err
		}
		// Without a deadline, a response that has begun and then stalls would block its request
		// until the client's deadline.
		c.setReadDeadline(time.Now().Add(responseTimeout))
		head, err := c.scanHead()
		if err != nil {
			return nil, false, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: m.Method})
		if err != nil {
			return nil, false, err
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			c.setReadDeadline(time.Time{})
			continue
		}
		if err := checkLength(head, response); err != nil {
			return nil, false, err
		}
		proceed := func() { c.setReadDeadline(time.Now().Add(responseTimeout)) }
		body, err := attempt.ReadBody(ctx, m, response.Body, response.ContentLength, proceed)
		if err != nil {
			return nil, false, err
		}
		response.Body.Close() // read to its end
		reusable = !response.Close && response.StatusCode != http.StatusSwitchingProtocols
		return &attempt.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
	}
	return nil, false, errInterimLimit
}

// checkLength rejects a response that is too long, and a 200 that cannot be proven complete: it
// must either state one length or be chunked. A body that ends with the connection may be
// truncated, and if a length is stated for a chunked body, http.ReadResponse hides it.
func checkLength(head httpmsg.HeadScan, response *http.Response) error {
	ambiguous := head.ContentLengthLines > 1 || (head.ContentLengthLines == 1) == head.HasTransferEncoding
	if response.StatusCode == http.StatusOK && ambiguous {
		return errAmbiguousLength
	}
	if response.ContentLength > httpmsg.MaxBodyBytes {
		return httpmsg.ErrBodyTooLarge
	}
	return nil
}

// scanHead waits for the complete head of the next response and scans its bytes without consuming
// them.
func (c *conn) scanHead() (httpmsg.HeadScan, error) {
	var head httpmsg.HeadScan
	for head.HeaderBytes == 0 {
		if _, err := c.reader.Peek(int(head.ScannedBytes) + 1); err != nil {
			return head, err
		}
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return head, err
		}
		head.Scan(buffered[head.ScannedBytes:])
	}
	return head, nil
}
