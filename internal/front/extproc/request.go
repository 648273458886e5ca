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
	headerAttemptCount  = "x-envoy-attempt-count" // by Envoy's router, from 1
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

// requestHead is what is read of a request's headers.
type requestHead struct {
	method, path  string
	host          string
	header        http.Header
	contentLength string // as stated, "" if it is not
	attempt       int    // the caller's count, from 1; 0 if it does not count
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
		return head, requestmeta.BadRequest(":method or :path is missing")
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
			return requestmeta.BadRequest("%s: %q is not one whole number from 1", headerAttemptCount, headerValue(h))
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
		return requestmeta.BadRequest("%s is there twice", h.Key)
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
		Reason: "content-length: " + strconv.Quote(r.contentLength) + " is not a whole number up to " +
			strconv.Itoa(httpmsg.MaxBodyBytes),
	}
}

var fingerprintSeed = maphash.MakeSeed()

// fingerprint is a hash of all in the head that must be equal if the same effect is requested again. Bodies are not
// seen.
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
