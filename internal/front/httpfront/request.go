package httpfront

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"pinedale/internal/front/exchange"
	"pinedale/internal/httpmsg"
	"pinedale/internal/membudget"
	"pinedale/internal/requestmeta"
)

const (
	// receiveBufferBytes is the size of a connection's buffer. A longer header needs memory of the budget for requests.
	receiveBufferBytes = 1 << 10
	// parseBufferBytes is the size of the buffer in which a request is parsed.
	parseBufferBytes = 1 << 10
)

// errHeaderTooLarge rejects a header that is too long or has too many lines.
var errHeaderTooLarge = &requestmeta.Error{
	Code: http.StatusRequestHeaderFieldsTooLarge,
	Reason: fmt.Sprintf("request header exceeds %d bytes or %d lines", httpmsg.MaxHeaderBytes,
		httpmsg.MaxHeaderLines),
}

// parseBuffers holds buffers of parseBufferBytes. They are used only while a request is parsed and its body received.
var parseBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, parseBufferBytes) }}

// requestReader reads the requests of a connection, one after the other. Only complete headers are parsed, so that what
// an incomplete one holds is no more than its bytes.
type requestReader struct {
	conn   io.Reader
	memory *membudget.Reservation // of the buffer beyond receiveBufferBytes
	array  []byte                 // that buffer is a part of
	buffer []byte                 // received and not consumed yet
	scan   httpmsg.HeadScan       // of the header at the start of the buffer

	parse *bufio.Reader // of the request that is being received, or nil
	// headRemaining is the number of bytes of the header that parse has not read yet.
	headRemaining int
	inBody        bool // parse may read beyond the header
}

// newRequestReader returns a reader of the requests that arrive on a connection.
func newRequestReader(conn io.Reader, memory *membudget.Reservation) *requestReader {
	r := &requestReader{conn: conn, memory: memory}
	r.replaceArray(receiveBufferBytes)
	return r
}

// replaceArray moves the buffer to a new array.
func (r *requestReader) replaceArray(size int) {
	r.array = make([]byte, size)
	r.buffer = r.array[:copy(r.array, r.buffer)]
}

// started reports whether a part of the next request has been received.
func (r *requestReader) started() bool { return len(r.buffer) > 0 }

// next receives the next header and parses it. The request's body is read from the connection. If the header is not
// valid or needs too much memory the error is exchange.ErrBusy or a *requestmeta.Error, and nothing more can be read;
// other errors are those of the connection.
func (r *requestReader) next() (*http.Request, error) {
	if err := r.receiveHeader(); err != nil {
		return nil, err
	}
	r.parse = parseBuffers.Get().(*bufio.Reader)
	r.parse.Reset(requestSource{r})
	r.headRemaining = int(r.scan.HeaderBytes)
	r.inBody = false
	request, err := http.ReadRequest(r.parse)
	if err != nil {
		return nil, requestmeta.BadRequest("malformed request: %v", err)
	}
	if r.headRemaining > 0 || r.parse.Buffered() > 0 {
		// The scan and the parser disagree on where the header ends.
		return nil, requestmeta.BadRequest("malformed request header")
	}
	if err := r.check(request); err != nil {
		return nil, err
	}
	r.inBody = true
	return request, nil
}

// receiveHeader receives bytes until the buffer has a complete header.
func (r *requestReader) receiveHeader() error {
	r.scan = httpmsg.HeadScan{}
	scanned, skipped := 0, 0
	for {
		if scanned == 0 { // empty lines ahead of a request are skipped
			rest := bytes.TrimLeft(r.buffer, "\r\n")
			skipped += len(r.buffer) - len(rest)
			r.buffer = r.array[:copy(r.array, rest)]
		}
		r.scan.Scan(r.buffer[scanned:])
		scanned = len(r.buffer)
		head := int(r.scan.HeaderBytes)
		if head == 0 {
			head = scanned
		}
		if head+skipped > httpmsg.MaxHeaderBytes || r.scan.Lines > httpmsg.MaxHeaderLines {
			return errHeaderTooLarge
		}
		if r.scan.HeaderBytes > 0 {
			return nil
		}
		if err := r.fill(); err != nil {
			return err
		}
	}
}

// fill receives bytes at the end of the buffer, which grows if it is full.
func (r *requestReader) fill() error {
	if len(r.buffer) == cap(r.buffer) {
		size := 2 * len(r.array)
		if !exchange.GrowRequest(r.memory, int64(size-receiveBufferBytes)) {
			return exchange.ErrBusy
		}
		r.replaceArray(size)
	}
	n, err := r.conn.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n > 0 {
		return nil // an error received with these bytes is returned by the next Read
	}
	return err
}

// check returns an error for a request that http.ReadRequest accepts and a server must reject (RFC 9112).
func (r *requestReader) check(in *http.Request) error {
	switch {
	case r.scan.ContentLengthLines > 1 || r.scan.ContentLengthLines > 0 && r.scan.HasTransferEncoding:
		// The bytes after the header may hide another request.
		return requestmeta.BadRequest("duplicate Content-Length, or Content-Length with Transfer-Encoding")
	case in.ProtoMajor != 1:
		return &requestmeta.Error{Code: http.StatusHTTPVersionNotSupported, Reason: "unsupported protocol version"}
	case r.scan.HostLines > 1:
		return requestmeta.BadRequest("too many Host headers")
	case r.scan.HostLines == 0 && in.ProtoAtLeast(1, 1):
		return requestmeta.BadRequest("missing required Host header")
	case strings.ContainsFunc(in.Host, isInvalidInHost):
		return requestmeta.BadRequest("malformed Host header")
	case !hasValidFields(in.Header):
		return requestmeta.BadRequest("invalid header field")
	case !slices.Contains([]string{"", "100-continue"}, strings.ToLower(in.Header.Get("Expect"))):
		return &requestmeta.Error{Code: http.StatusExpectationFailed, Reason: "unsupported expectation"}
	}
	return nil
}

// hasValidFields reports whether all names and values of a header are valid (RFC 9110, section 5): another server might
// take a name with a space behind it for the name alone.
func hasValidFields(header http.Header) bool {
	for name, values := range header {
		if strings.ContainsFunc(name, isInvalidInName) {
			return false
		}
		for _, value := range values {
			if strings.ContainsFunc(value, isControl) {
				return false
			}
		}
	}
	return true
}

// isLetterOrDigit reports whether a character is a letter or a digit of ASCII.
func isLetterOrDigit(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// isInvalidInName reports whether a character cannot be part of a header field's name.
func isInvalidInName(c rune) bool {
	return !isLetterOrDigit(c) && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// isControl reports whether a character cannot be part of a header field's value.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// isInvalidInHost reports whether a character cannot be part of a Host header (RFC 3986, section 3.2).
func isInvalidInHost(c rune) bool {
	return !isLetterOrDigit(c) && !strings.ContainsRune("-._~%!$&'()*+,;=:[]", c)
}

// finish ends the request whose body has been read. What was received behind it stays in the buffer.
func (r *requestReader) finish() {
	behind, _ := r.parse.Peek(r.parse.Buffered()) // never reads
	r.buffer = append(slices.Clone(behind), r.buffer...)
	r.release()
	r.shrink()
}

// shrink moves the buffer to as small an array as possible, and gives the rest of the memory back.
func (r *requestReader) shrink() {
	size := max(receiveBufferBytes, len(r.buffer))
	if len(r.array) == size {
		r.buffer = r.array[:copy(r.array, r.buffer)]
	} else {
		r.replaceArray(size)
	}
	r.memory.Reset()
	_ = r.memory.TryGrow(int64(size - receiveBufferBytes)) // no more than was reserved until now
}

// discard drops what has been received.
func (r *requestReader) discard() {
	r.buffer = nil
	r.release()
	r.shrink()
}

// release ends the parsing of a request.
func (r *requestReader) release() {
	if r.parse != nil {
		r.parse.Reset(nil)
		parseBuffers.Put(r.parse)
		r.parse = nil
	}
}

// push appends bytes that were received while a request was in flight. Their memory has been reserved.
func (r *requestReader) push(received []byte) {
	if len(received) == 0 {
		return
	}
	r.buffer = append(r.buffer, received...)
	r.replaceArray(max(receiveBufferBytes, len(r.buffer)))
}

// requestSource is what a requestReader parses: the header, and then, once it has been checked, what follows it.
type requestSource struct{ reader *requestReader }

// Read returns bytes of the header alone, or of what follows it.
func (s requestSource) Read(p []byte) (int, error) {
	r := s.reader
	available := len(r.buffer)
	switch {
	case r.headRemaining > 0:
		available = r.headRemaining
	case !r.inBody:
		return 0, errors.New("header incomplete")
	case available == 0:
		return r.conn.Read(p)
	}
	n := copy(p, r.buffer[:available])
	r.buffer = r.buffer[n:]
	r.headRemaining = max(0, r.headRemaining-n)
	return n, nil
}
