// Package httpmsg defines what fronts and upstreams share about HTTP messages: their size limits, which headers
// are end-to-end, the format of load reports, and a scanner for the details of an HTTP/1.1 header that
// net/http hides. It has no state.
package httpmsg

import (
	"net/http"
	"slices"
)

// Size limits of messages.
const (
	MaxBodyBytes   = 64 << 10 // body of a request or a response
	MaxHeaderBytes = 32 << 10 // header of a request
	MaxHeaderLines = 256      // lines of a request's header, with the request line and the empty line at its end
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// CopyEndToEnd copies the end-to-end headers, which are forwarded: all but the hop-by-hop ones.
func CopyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}
