// Package httpmsg is what fronts and upstreams share about HTTP messages: their size limits, which headers
// are end-to-end, the format of load reports, and a scanner for the details of an HTTP/1.1 header that
// net/http hides. It has no state.
package httpmsg

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Limits of messages, in bytes.
const (
	MaxBodyBytes   = 64 << 10 // of the body of a request or a response
	MaxHeaderBytes = 32 << 10 // of the header of a request
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// EndToEnd copies the headers that are forwarded: all but those that concern one connection only.
func EndToEnd(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}

// maxLoadValue is the largest valid figure of a load report.
const maxLoadValue = 1e6

// LoadReport parses comma-separated name=value pairs into the order of fields. A figure that is missing,
// repeated, malformed or out of range is NaN, which the balancer skips: its last figure stays in use.
// Without text or fields it returns nil.
func LoadReport(fields []string, text string) []float32 {
	if text == "" || len(fields) == 0 {
		return nil
	}
	load := make([]float32, len(fields))
	seen := make([]bool, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(fields, name)
		if i < 0 {
			continue
		}
		figure, err := strconv.ParseFloat(value, 32)
		valid := err == nil && figure >= 0 && figure <= maxLoadValue
		if seen[i] || !valid {
			figure = math.NaN()
		}
		load[i] = float32(figure)
		seen[i] = true
	}
	return load
}

// HeadScan scans the bytes of a message for what net/http hides: where a header has both Content-Length and
// Transfer-Encoding, net/http silently drops the former, and what one reader takes for the body another
// takes for a request (request smuggling).
type HeadScan struct {
	Lengths int   // number of Content-Length lines
	Coding  bool  // there is a Transfer-Encoding line
	Size    int64 // bytes scanned
	End     int64 // bytes up to the end of the header; 0 while it is incomplete

	line    []byte // the current line, up to the length of the longest name
	started bool   // a line that is not empty has been scanned
}

var (
	lengthName = []byte("content-length:")
	codingName = []byte("transfer-encoding:")
)

// Scan scans the next bytes of the message.
func (h *HeadScan) Scan(p []byte) {
	start := h.Size
	h.Size += int64(len(p))
	for rest := p; h.End == 0 && len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		if missing := len(codingName) - len(h.line); missing > 0 {
			h.line = append(h.line, line[:min(missing, len(line))]...)
		}
		if rest = after; !ended {
			return
		}
		lower := bytes.ToLower(bytes.TrimSuffix(h.line, []byte("\r")))
		if bytes.HasPrefix(lower, lengthName) {
			h.Lengths++
		}
		h.Coding = h.Coding || bytes.HasPrefix(lower, codingName)
		// net/http skips empty lines ahead of a request.
		if len(lower) > 0 {
			h.started = true
		} else if h.started {
			h.End = start + int64(len(p)-len(rest))
		}
		h.line = h.line[:0]
	}
}
