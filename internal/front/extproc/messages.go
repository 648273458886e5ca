package extproc

import (
	"hash/maphash"
	"net/http"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"pinedale/balancer"
	"pinedale/internal/httpmsg"
	"pinedale/internal/intake"
	"pinedale/internal/routing"
)

// Headers that a verdict sets on a request, and that callers report. The first two
// are the endpoint-picker convention of the Kubernetes Gateway API inference
// extension; x-envoy-* are read by Envoy's router.
const (
	headerDestination = "x-gateway-destination-endpoint"
	headerServed      = "x-gateway-destination-endpoint-served"
	metadataSpace     = "envoy.lb"

	headerTimeout  = "x-envoy-upstream-rq-timeout-ms" // whole milliseconds
	headerRetries  = "x-envoy-max-retries"
	headerAttempts = "x-envoy-attempt-count"
	headerAttempt  = "x-pinedale-attempt" // the attempt's number, from 1
	headerAgain    = "x-pinedale-retry"   // "1": the proxy may ask again for this request

	headerTimeLeft    = "x-time-left-ms"
	headerLoad        = "x-backend-load"
	headerUnprocessed = "x-unprocessed"
	headerLength      = "content-length"
)

// attributeSpace is where the filter puts the attributes that it was set to send,
// and attributeDetails the one that tells why the proxy itself made an answer.
const (
	attributeSpace   = "envoy.filters.http.ext_proc"
	attributeDetails = "response.code_details"
)

// asked are the headers of a request that are read, by their names on the wire.
var asked = map[string]string{}

func init() {
	for _, name := range [...]string{intake.HeaderID, intake.HeaderClass, intake.HeaderTenant, intake.HeaderSubject,
		intake.HeaderTimeLeft, intake.HeaderRepeat, intake.HeaderHint, intake.HeaderKey} {
		asked[strings.ToLower(name)] = name
	}
}

// head is what is read of a request's headers.
type head struct {
	method, path string
	host         string
	header       http.Header
	length       string // of the body, as stated
	attempt      int    // the caller's count, from 1; 0 where it does not count
}

func value(h *corev3.HeaderValue) string {
	if len(h.RawValue) > 0 {
		return string(h.RawValue)
	}
	return h.Value
}

// readHead reads a request's headers: those that every request is asked for, or all
// where routes may go by others. Its errors are *intake.Error.
func readHead(in *extprocv3.HttpHeaders, all bool) (head, error) {
	out := head{header: make(http.Header, len(asked))}
	for _, h := range in.GetHeaders().GetHeaders() {
		if h == nil {
			continue
		}
		var field *string // that must be there once
		switch h.Key {
		case ":method":
			field = &out.method
		case ":path":
			field = &out.path
		case ":authority":
			field = &out.host
		case headerLength:
			field = &out.length
		case headerAttempts:
			n, err := strconv.Atoi(value(h))
			if err != nil || n < 1 || out.attempt != 0 {
				return out, intake.Bad("%s: %q is not one whole number from 1", headerAttempts, value(h))
			}
			out.attempt = n
			continue
		default:
			name, ok := asked[h.Key]
			if !ok && all {
				name = http.CanonicalHeaderKey(h.Key)
			}
			if name != "" {
				out.header[name] = append(out.header[name], value(h))
			}
			continue
		}
		if *field != "" {
			return out, intake.Bad("%s is there twice", h.Key)
		}
		*field = value(h)
	}
	if out.method == "" || out.path == "" {
		return out, intake.Bad(":method or :path is missing")
	}
	if out.length != "" {
		if n, err := strconv.ParseUint(out.length, 10, 63); err != nil || n > httpmsg.BodyMost {
			return out, &intake.Error{Code: http.StatusRequestEntityTooLarge,
				Reason: "content-length: " + strconv.Quote(out.length) + " is not a whole number up to " + strconv.Itoa(httpmsg.BodyMost)}
		}
	}
	return out, nil
}

var printSeed = maphash.MakeSeed()

// print tells requests under one key apart: by all that is in their heads and must
// be the same when the same effect is asked for again. Bodies are not seen.
func (h *head) print() uint64 {
	var sum maphash.Hash
	sum.SetSeed(printSeed)
	for _, s := range [...]string{h.method, h.path, h.length, h.header.Get(intake.HeaderClass),
		h.header.Get(intake.HeaderTenant), h.header.Get(intake.HeaderSubject)} {
		sum.WriteString(s)
		sum.WriteByte(0)
	}
	return sum.Sum64()
}

// report is what a caller tells of an answer.
type report struct {
	outcome routing.Outcome
	code    int
	served  string // address of the endpoint that served it, where it is told
	local   bool   // the proxy itself made the answer
}

// readReport reads an answer's headers. What a caller tells counts as proof that a
// request never ran only where it is: the endpoint's own word, or a connection
// that never came up.
func readReport(in *extprocv3.ProcessingRequest, fields []string) report {
	out := report{outcome: routing.Outcome{Status: balancer.Error}}
	unprocessed := false
	for _, h := range in.GetResponseHeaders().GetHeaders().GetHeaders() {
		if h == nil {
			continue
		}
		switch h.Key {
		case ":status":
			out.code, _ = strconv.Atoi(value(h))
		case headerUnprocessed:
			unprocessed = value(h) == "1"
		case headerLoad:
			out.outcome.Load = httpmsg.LoadReport(fields, value(h))
		case headerServed:
			out.served = value(h)
		}
	}
	if lb := in.GetMetadataContext().GetFilterMetadata()[metadataSpace]; lb != nil {
		if v := lb.Fields[headerServed].GetStringValue(); v != "" {
			out.served = v
		}
	}
	details := in.GetAttributes()[attributeSpace].GetFields()[attributeDetails].GetStringValue()
	if status, local := localAnswer(details); local {
		out.local, out.outcome.Status, out.outcome.Load = true, status, nil
		return out
	}
	switch {
	case out.code == http.StatusOK:
		out.outcome.Status = balancer.OK
	case (out.code == http.StatusServiceUnavailable || out.code == http.StatusGatewayTimeout) && unprocessed:
		out.outcome.Status = balancer.Full
	}
	return out
}

// localAnswer reads Envoy's details of an answer (RESPONSE_CODE_DETAILS). What the
// endpoint answered has the details "via_upstream". Of the others those that name
// the connection's failure prove that no byte of the request was written: the pool
// gives them before a stream exists.
func localAnswer(details string) (status balancer.Status, local bool) {
	const reset = "upstream_reset_before_response_started{"
	switch {
	case details == "" || details == "via_upstream":
		return 0, false
	case details == "response_timeout" || details == "upstream_per_try_timeout":
		return balancer.Timeout, true
	case strings.HasPrefix(details, reset):
		reason := strings.TrimPrefix(details, reset)
		if i := strings.IndexAny(reason, "|,}"); i >= 0 {
			reason = reason[:i]
		}
		switch reason {
		case "connection_failure", "remote_connection_failure", "local_connection_failure", "connection_timeout":
			return balancer.ConnectFailed, true
		case "overflow":
			return balancer.NotSent, true // the proxy's own pool is full: no fault of the endpoint's
		}
		return balancer.Reset, true
	}
	return balancer.Reset, true
}

func set(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{
		Header:       &corev3.HeaderValue{Key: name, RawValue: []byte(value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	}
}

// skipBodies asks for nothing but the answer's headers from here on.
var skipBodies = &modev3.ProcessingMode{
	RequestHeaderMode:   modev3.ProcessingMode_SEND,
	ResponseHeaderMode:  modev3.ProcessingMode_SEND,
	RequestBodyMode:     modev3.ProcessingMode_NONE,
	ResponseBodyMode:    modev3.ProcessingMode_NONE,
	RequestTrailerMode:  modev3.ProcessingMode_SKIP,
	ResponseTrailerMode: modev3.ProcessingMode_SKIP,
}

// goTo is the verdict that names an endpoint.
func goTo(address string, attempt int, left time.Duration) *extprocv3.ProcessingResponse {
	ms := strconv.FormatInt(max(1, left.Milliseconds()), 10)
	return &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{
			Response: &extprocv3.CommonResponse{HeaderMutation: &extprocv3.HeaderMutation{
				SetHeaders: []*corev3.HeaderValueOption{set(headerDestination, address), set(headerTimeout, ms),
					set(headerTimeLeft, ms), set(headerRetries, "0"), set(headerAttempt, strconv.Itoa(attempt+1))}}}}},
		DynamicMetadata: &structpb.Struct{Fields: map[string]*structpb.Value{
			metadataSpace: structpb.NewStructValue(&structpb.Struct{Fields: map[string]*structpb.Value{
				headerDestination: structpb.NewStringValue(address)}})}},
		ModeOverride: skipBodies,
	}
}

// immediate is an answer that the proxy is to give at once.
func immediate(code int, after routing.Micros, reason string) *extprocv3.ProcessingResponse {
	out := &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: typev3.StatusCode(code)},
		Body: []byte(reason), Details: "pinedale_" + strconv.Itoa(code)}
	if after > 0 {
		out.Headers = &extprocv3.HeaderMutation{SetHeaders: []*corev3.HeaderValueOption{
			set("retry-after", strconv.FormatFloat(float64(after)/1e6, 'f', 3, 64))}}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{ImmediateResponse: out}}
}

// final is the immediate answer for a verdict other than Go, Pass and Again.
func final(t routing.Response) *extprocv3.ProcessingResponse {
	switch t.Kind {
	case routing.Reject, routing.AtCapacity:
		return immediate(http.StatusServiceUnavailable, t.RetryAfter, "")
	case routing.Conflict:
		return immediate(http.StatusConflict, 0, t.Reason)
	case routing.KeyReused:
		return immediate(http.StatusUnprocessableEntity, 0, t.Reason)
	}
	return immediate(http.StatusBadGateway, 0, "")
}

// passOn lets an answer through. again tells the proxy that it may ask once more;
// code, where it is not 0, replaces a status that would promise too much.
func passOn(again bool, code int) *extprocv3.ProcessingResponse {
	common := &extprocv3.CommonResponse{}
	if again || code != 0 {
		common.HeaderMutation = &extprocv3.HeaderMutation{}
		add := func(name, value string) {
			common.HeaderMutation.SetHeaders = append(common.HeaderMutation.SetHeaders, set(name, value))
		}
		if again {
			add(headerAgain, "1")
		}
		if code != 0 {
			add(":status", strconv.Itoa(code))
		}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
		ResponseHeaders: &extprocv3.HeadersResponse{Response: common}}}
}
