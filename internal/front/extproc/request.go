package extproc

import (
	"hash/maphash"
	"net/http"
	"strconv"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"pinedale/internal/httpmsg"
	"pinedale/internal/requestmeta"
)

// Headers of a request, besides those of package requestmeta.
const (
	headerContentLength = "content-length"
	headerAttemptCount  = "x-envoy-attempt-count" // set by Envoy's router, from 1
)

// requestHeaders are the headers of a request that are always read, by their lower-case names.
var requestHeaders = map[string]string{}

func init() {
	for _, name := range [...]string{
		requestmeta.HeaderID, requestmeta.HeaderClass, requestmeta.HeaderTenant, requestmeta.HeaderSubject,
		requestmeta.HeaderTimeLeft, requestmeta.HeaderRepeat, requestmeta.HeaderHint, requestmeta.HeaderKey,
	} {
		requestHeaders[strings.ToLower(name)] = name
	}
}

// requestHead holds the headers of a request that are used here.
type requestHead struct {
	method, path  string
	host          string
	header        http.Header
	contentLength string // as sent, "" if absent
	attempt       int    // the caller's attempt number, from 1; 0 if absent
}

// headerValue returns the value of a header, in either of the forms that proxies send it.
func headerValue(h *corev3.HeaderValue) string {
	if len(h.RawValue) > 0 {
		return string(h.RawValue)
	}
	return h.Value
}

// readHead reads a request's headers: those of requestHeaders, or all if routes may match others. Its errors are
// *requestmeta.Error.
func readHead(in *extprocv3.HttpHeaders, all bool) (requestHead, error) {
	head := requestHead{header: make(http.Header, len(requestHeaders))}
	for _, h := range in.GetHeaders().GetHeaders() {
		if h == nil {
			continue
		}
		if err := head.add(h, all); err != nil {
			return head, err
		}
	}
	if head.method == "" || head.path == "" {
		return head, requestmeta.BadRequest("missing :method or :path")
	}
	return head, head.checkContentLength()
}

// add reads one header.
func (r *requestHead) add(h *corev3.HeaderValue, all bool) error {
	switch h.Key {
	case ":method":
		return setOnce(&r.method, h)
	case ":path":
		return setOnce(&r.path, h)
	case ":authority":
		return setOnce(&r.host, h)
	case headerContentLength:
		return setOnce(&r.contentLength, h)
	case headerAttemptCount:
		n, err := strconv.Atoi(headerValue(h))
		if err != nil || n < 1 || r.attempt != 0 {
			return requestmeta.BadRequest("%s: %q is not a positive integer, or the header is repeated",
				headerAttemptCount, headerValue(h))
		}
		r.attempt = n
		return nil
	}
	name, known := requestHeaders[h.Key]
	if !known && all {
		name = http.CanonicalHeaderKey(h.Key)
	}
	if name != "" {
		r.header[name] = append(r.header[name], headerValue(h))
	}
	return nil
}

// setOnce sets a field from a header that must not be repeated.
func setOnce(field *string, h *corev3.HeaderValue) error {
	if *field != "" {
		return requestmeta.BadRequest("duplicate header %s", h.Key)
	}
	*field = headerValue(h)
	return nil
}

// checkContentLength checks that the stated length is a number within the limit.
func (r *requestHead) checkContentLength() error {
	if r.contentLength == "" {
		return nil
	}
	if n, err := strconv.ParseUint(r.contentLength, 10, 63); err == nil && n <= httpmsg.MaxBodyBytes {
		return nil
	}
	return &requestmeta.Error{
		Code: http.StatusRequestEntityTooLarge,
		Reason: "content-length: " + strconv.Quote(r.contentLength) + " is not an integer from 0 to " +
			strconv.Itoa(httpmsg.MaxBodyBytes),
	}
}

var fingerprintSeed = maphash.MakeSeed()

// fingerprint returns a hash of the fields that must be equal when a request is repeated. It does not cover bodies,
// which the proxy does not send.
func (r *requestHead) fingerprint() uint64 {
	var hash maphash.Hash
	hash.SetSeed(fingerprintSeed)
	for _, s := range [...]string{
		r.method, r.path, r.contentLength, r.header.Get(requestmeta.HeaderClass),
		r.header.Get(requestmeta.HeaderTenant), r.header.Get(requestmeta.HeaderSubject),
	} {
		_, _ = hash.WriteString(s) // never fails
		_ = hash.WriteByte(0)      // never fails
	}
	return hash.Sum64()
}
