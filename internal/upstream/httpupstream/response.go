package httpupstream

import (
	"errors"
	"net/http"
	"time"

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
	// maxInterimResponses bounds the 1xx responses ahead of the final one.
	maxInterimResponses = 10
)

// Reasons for which a response is not accepted.
var (
	errAmbiguousLength = errors.New("response length not stated in exactly one way")
	errInterimLimit    = errors.New("too many interim responses")
)

// receive reads one final response. reusable reports whether the response leaves the connection
// open for other requests.
func (c *conn) receive(method string) (result *attempt.Response, reusable bool, err error) {
	c.responseLimit.N = maxHeadBytes + httpmsg.MaxBodyBytes
	defer c.setReadDeadline(time.Time{})
	for range maxInterimResponses {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, false, err
		}
		// A response that has begun and stalls would hold its request until the client's
		// deadline.
		c.setReadDeadline(time.Now().Add(responseTimeout))
		head, err := c.scanHead()
		if err != nil {
			return nil, false, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
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
		body, err := attempt.ReadBody(response.Body)
		if err != nil {
			return nil, false, err
		}
		response.Body.Close() // read to its end
		reusable = !response.Close && response.StatusCode != http.StatusSwitchingProtocols
		return &attempt.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
	}
	return nil, false, errInterimLimit
}

// checkLength rejects a response that is too long, and a 200 that does not prove to be complete:
// it must state one length or be in chunks. The connection's end proves nothing, and with both
// http.ReadResponse hides one of them.
func checkLength(head httpmsg.HeadScan, response *http.Response) error {
	ambiguous := head.ContentLengthLines > 1 || (head.ContentLengthLines == 1) == head.HasTransferEncoding
	if response.StatusCode == http.StatusOK && ambiguous {
		return errAmbiguousLength
	}
	if response.ContentLength > httpmsg.MaxBodyBytes {
		return attempt.ErrBodyTooLarge
	}
	return nil
}

// scanHead waits for the complete head of the next response and scans its bytes, which remain to
// be read.
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
