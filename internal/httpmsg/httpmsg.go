// Package httpmsg holds what fronts and upstreams share about HTTP/1.1 messages:
// the protocol's limits, which headers concern one connection only, and a look at
// a head's bytes for what net/http hides.
package httpmsg

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// The most that a message may hold, in bytes.
const (
	BodyMost = 64 << 10 // of a request's or an answer's body
	HeadMost = 32 << 10 // of a request's head
)

// hopByHop headers concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// EndToEnd copies the headers that are to be passed on.
func EndToEnd(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}

// figureMost is the largest figure of a load report that is believed.
const figureMost = 1e6

// LoadReport reads name=value pairs into the order of fields. A figure
// that is missing, repeated, malformed or beyond all sense is not a number,
// which the balancer skips: it keeps what it knew. Without text or fields it returns nil.
func LoadReport(fields []string, text string) []float32 {
	if text == "" || len(fields) == 0 {
		return nil
	}
	load, seen := make([]float32, len(fields)), make([]bool, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(fields, name)
		if i < 0 {
			continue
		}
		v, err := strconv.ParseFloat(value, 32)
		if seen[i] || err != nil || !(v >= 0 && v <= figureMost) {
			v = math.NaN()
		}
		load[i], seen[i] = float32(v), true
	}
	return load
}

// HeadScan looks at the bytes of a message for what net/http hides: where a head
// has both Content-Length and Transfer-Encoding, the former is dropped without a
// word, and what one reader takes for the body another takes for a request.
type HeadScan struct {
	Lengths int   // Content-Length was there so often
	Coding  bool  // Transfer-Encoding was there
	Size    int64 // of all that came
	End     int64 // size at the end of the head; 0 before

	line    []byte // start of the current line
	started bool   // a line with something on it has come
}

var (
	lengthName = []byte("content-length:")
	codingName = []byte("transfer-encoding:")
)

// Scan takes the next bytes of the message.
func (h *HeadScan) Scan(p []byte) {
	start := h.Size
	h.Size += int64(len(p))
	for rest := p; h.End == 0 && len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		// A name's length is enough of a line.
		if room := len(codingName) - len(h.line); room > 0 {
			h.line = append(h.line, line[:min(room, len(line))]...)
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
