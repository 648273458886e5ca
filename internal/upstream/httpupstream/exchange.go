package httpupstream

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/idle"
)

// exchange sends one request on a connection, reads the complete response and releases the
// connection. The error is errStale or an attempt.UnsentError if the last byte of the request was
// not written; after any other error the request may have run.
func (u *Upstream) exchange(ctx context.Context, c *conn, m *engine.Message) (response *attempt.Response, err error) {
	reusable := false
	written := false // at least one byte of the request
	stopInterrupt := context.AfterFunc(ctx, c.interrupt)
	defer func() {
		reusable = stopInterrupt() && reusable
		if written && err != nil {
			// Bytes that the kernel has not delivered yet must not arrive later, possibly
			// minutes after the attempt has ended.
			c.setResetOnClose()
		}
		u.release(c, reusable, written)
	}()

	parts := encode(ctx, m)
	// The endpoint may have begun to drain while the connection was dialled.
	if c.target.Closed() {
		return nil, &attempt.UnsentError{Cause: attempt.ErrClosed}
	}
	// Checked before isAlive, which reports this connection, and every other idle one that is
	// tried, as dead once the attempt's context has ended.
	if err := attempt.CheckBeforeWrite(ctx); err != nil {
		reusable = true
		return nil, &attempt.UnsentError{Cause: err}
	}
	// Checked last before the write: bytes that have arrived by now belong to no request and
	// must not be taken for the response to this one.
	if c.used && !c.isAlive() {
		return nil, errStale
	}
	written = true
	response, reusable, err = u.roundTrip(ctx, c, m, parts)
	return response, err
}

// roundTrip writes an encoded request and reads its response. reusable reports whether the
// connection may carry another request.
func (u *Upstream) roundTrip(ctx context.Context, c *conn, m *engine.Message, parts [][]byte) (
	response *attempt.Response, reusable bool, err error) {
	start := time.Now()
	stopDeadline := context.AfterFunc(attempt.SendContext(ctx), func() { _ = c.SetWriteDeadline(pastDeadline) })
	err = c.writeParts(parts)
	writable := stopDeadline() // if false, the write deadline stays in the past
	if err != nil {
		u.observeIdle(ctx, c, start, err)
		return nil, false, &attempt.UnsentError{Cause: err}
	}
	response, reusable, err = c.receive(ctx, m)
	u.observeIdle(ctx, c, start, err)
	if err != nil {
		return nil, false, err
	}
	u.observeRoundTrip(c.target, time.Since(start))
	// A connection with bytes beyond the response is not reused: endpoints may send a response
	// twice, or garbage.
	return response, writable && reusable && c.reader.Buffered() == 0, nil
}

// observeIdle records whether a connection that had been idle until start was reset. It ignores
// cancelled attempts and connections that break later: they show nothing about the idle time.
func (u *Upstream) observeIdle(ctx context.Context, c *conn, start time.Time, err error) {
	if !c.used {
		return
	}
	if err != nil && (attempt.SendContext(ctx).Err() != nil || time.Since(start) > idle.MaxStaleResetDelay) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idleEstimator.Observe(time.Now(), start.Sub(c.idleSince), err != nil)
}

const (
	// encodedHeadBytes is about the length of a request's header.
	encodedHeadBytes = 512
	// maxJoinedBodyBytes is the length up to which a body is written together with its header. A longer one is not
	// copied.
	maxJoinedBodyBytes = 16 << 10
)

// encode returns the bytes of a request, including the time that this attempt has left, in the parts in which they are
// written.
func encode(ctx context.Context, m *engine.Message) (parts [][]byte) {
	header := attempt.RequestHeader(ctx, m)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		header.Set("Content-Length", strconv.Itoa(len(m.Body)))
	}
	var first bytes.Buffer
	first.Grow(encodedHeadBytes)
	fmt.Fprintf(&first, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.URL.RequestURI(), m.Host)
	_ = header.Write(&first) // a buffer takes everything
	first.WriteString("\r\n")
	if len(m.Body) > maxJoinedBodyBytes {
		return [][]byte{first.Bytes(), m.Body}
	}
	first.Write(m.Body)
	return [][]byte{first.Bytes()}
}

// writeParts writes the parts of a request. It returns an error unless the last byte was written.
func (c *conn) writeParts(parts [][]byte) error {
	for _, part := range parts {
		if n, err := c.Write(part); n < len(part) {
			return err
		}
	}
	return nil
}
