package httpfront

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxJoinedBodyBytes is the length up to which a body is written together with its header.
	maxJoinedBodyBytes = 4 << 10
	// headerBytesHint is about the length of a response's header.
	headerBytesHint = 512
)

// continueResponse asks a client for the body that it holds back (RFC 9110, section 10.1.1).
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// responseWriter collects a response, which flush writes to the connection. It implements http.ResponseWriter.
type responseWriter struct {
	header http.Header
	code   int
	body   []byte
	closes bool // the connection is closed after the response
}

// newResponseWriter returns an empty response with status 200.
func newResponseWriter() *responseWriter {
	return &responseWriter{header: http.Header{}, code: http.StatusOK}
}

// Header returns the header, which may be changed before flush.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status code.
func (w *responseWriter) WriteHeader(code int) { w.code = code }

// Write appends to the body. A body that is written at once is not copied, and must not be changed afterwards.
func (w *responseWriter) Write(p []byte) (int, error) {
	if w.body == nil {
		w.body = p
	} else {
		w.body = append(w.body[:len(w.body):len(w.body)], p...)
	}
	return len(p), nil
}

// flush writes the response to a request with this method.
func (w *responseWriter) flush(c *clientConn, method string) error {
	var out bytes.Buffer
	out.Grow(headerBytesHint + min(len(w.body), maxJoinedBodyBytes))
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", w.code, http.StatusText(w.code))
	w.header.Set("Content-Length", strconv.Itoa(len(w.body)))
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if w.closes {
		w.header.Set("Connection", "close")
	}
	_ = w.header.Write(&out) // a buffer takes everything
	out.WriteString("\r\n")
	body := w.body
	if method == http.MethodHead {
		body = nil
	}
	if len(body) <= maxJoinedBodyBytes {
		out.Write(body)
		body = nil
	}
	c.beginWriting(time.Now().Add(writeTimeout))
	if _, err := c.Write(out.Bytes()); err != nil || len(body) == 0 {
		return err
	}
	_, err := c.Write(body)
	return err
}
