package httpmsg

import "bytes"

// HeadScan scans the bytes of a message for what net/http hides: if a header has both Content-Length and
// Transfer-Encoding, net/http silently drops the former. Two readers that disagree on the length may then
// take the same bytes for a body and for another request (request smuggling).
type HeadScan struct {
	ContentLengthLines  int   // number of Content-Length lines
	HasTransferEncoding bool  // there is a Transfer-Encoding line
	ScannedBytes        int64 // bytes scanned
	HeaderBytes         int64 // bytes up to the end of the header; 0 while it is incomplete

	line    []byte // start of the current line, at most as long as the longest prefix that is matched
	started bool   // a non-empty line has been scanned
}

var (
	contentLengthPrefix    = []byte("content-length:")
	transferEncodingPrefix = []byte("transfer-encoding:")
)

// Scan scans the next bytes of the message.
func (h *HeadScan) Scan(p []byte) {
	start := h.ScannedBytes
	h.ScannedBytes += int64(len(p))
	for rest := p; h.HeaderBytes == 0 && len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		if missing := len(transferEncodingPrefix) - len(h.line); missing > 0 {
			h.line = append(h.line, line[:min(missing, len(line))]...)
		}
		rest = after
		if !ended {
			return
		}
		lower := bytes.ToLower(bytes.TrimSuffix(h.line, []byte("\r")))
		if bytes.HasPrefix(lower, contentLengthPrefix) {
			h.ContentLengthLines++
		}
		h.HasTransferEncoding = h.HasTransferEncoding || bytes.HasPrefix(lower, transferEncodingPrefix)
		// net/http skips empty lines ahead of a request.
		if len(lower) > 0 {
			h.started = true
		} else if h.started {
			h.HeaderBytes = start + int64(len(p)-len(rest))
		}
		h.line = h.line[:0]
	}
}
