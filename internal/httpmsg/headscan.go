package httpmsg

import "bytes"

// HeadScan scans the bytes of a message for what net/http hides: if a header has both Content-Length and
// Transfer-Encoding, net/http silently drops the former. Two readers that disagree on the length may then
// take the same bytes for a body and for another request (request smuggling).
type HeadScan struct {
	Lines               int   // number of complete lines, with the start line and the empty line at the end
	HostLines           int   // number of Host lines
	ContentLengthLines  int   // number of Content-Length lines
	HasTransferEncoding bool  // there is a Transfer-Encoding line
	ScannedBytes        int64 // bytes scanned
	HeaderBytes         int64 // bytes up to the end of the header; 0 while it is incomplete

	line    []byte // start of the current line, at most as long as the longest prefix that is matched
	started bool   // a non-empty line has been scanned
}

var (
	hostPrefix             = []byte("host:")
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
		h.endLine(start + int64(len(p)-len(rest)))
	}
}

// endLine counts the current line, which ends after a number of bytes of the message.
func (h *HeadScan) endLine(end int64) {
	line := bytes.TrimSuffix(h.line, []byte("\r"))
	h.line = h.line[:0]
	h.Lines++
	if len(line) == 0 {
		// Empty lines ahead of a message are skipped.
		if h.started {
			h.HeaderBytes = end
		}
		return
	}
	h.started = true
	switch line[0] | lowerCaseBit {
	case 'h':
		h.HostLines += count(hasPrefixFold(line, hostPrefix))
	case 'c':
		h.ContentLengthLines += count(hasPrefixFold(line, contentLengthPrefix))
	case 't':
		h.HasTransferEncoding = h.HasTransferEncoding || hasPrefixFold(line, transferEncodingPrefix)
	}
}

// lowerCaseBit distinguishes the lower-case letters of ASCII from the upper-case ones.
const lowerCaseBit = 0x20

// hasPrefixFold reports whether a line begins with a lower-case prefix, in letters of either case.
func hasPrefixFold(line, prefix []byte) bool {
	return len(line) >= len(prefix) && bytes.EqualFold(line[:len(prefix)], prefix)
}

// count returns 1 for true.
func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
