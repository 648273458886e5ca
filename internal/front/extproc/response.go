package extproc

import (
	"net/http"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"pinedale/internal/routing"
)

// Headers that a decision sets on a request.
const (
	// Endpoint picker protocol of the Kubernetes Gateway API inference extension. The address is sent both in this
	// header and as dynamic metadata.
	headerDestination = "x-gateway-destination-endpoint"
	metadataNamespace = "envoy.lb"

	// Read by Envoy's router.
	headerTimeout    = "x-envoy-upstream-rq-timeout-ms" // whole milliseconds
	headerMaxRetries = "x-envoy-max-retries"

	// Read by the endpoint.
	headerTimeRemaining = "x-time-left-ms"
	headerAttempt       = "x-pinedale-attempt" // the attempt's number, from 1
)

// headerRetryAllowed is set to "1" on an answer if the proxy may request another decision for the same request.
const headerRetryAllowed = "x-pinedale-retry"

const (
	headerRetryAfter = "retry-after" // in seconds, with three decimals
	microsPerSecond  = 1e6
)

// setHeader is the mutation that sets or replaces a header.
func setHeader(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{
		Header:       &corev3.HeaderValue{Key: name, RawValue: []byte(value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	}
}

// skipBodies tells the proxy to send, after the request's headers, only the headers of the answer.
var skipBodies = &modev3.ProcessingMode{
	RequestHeaderMode:   modev3.ProcessingMode_SEND,
	ResponseHeaderMode:  modev3.ProcessingMode_SEND,
	RequestBodyMode:     modev3.ProcessingMode_NONE,
	ResponseBodyMode:    modev3.ProcessingMode_NONE,
	RequestTrailerMode:  modev3.ProcessingMode_SKIP,
	ResponseTrailerMode: modev3.ProcessingMode_SKIP,
}

// forwardResponse tells the proxy to send the request to an endpoint. attempt counts from 0.
func forwardResponse(address string, attempt int, remaining time.Duration) *extprocv3.ProcessingResponse {
	milliseconds := strconv.FormatInt(max(1, remaining.Milliseconds()), 10)
	mutation := &extprocv3.HeaderMutation{SetHeaders: []*corev3.HeaderValueOption{
		setHeader(headerDestination, address),
		setHeader(headerTimeout, milliseconds),
		setHeader(headerTimeRemaining, milliseconds),
		setHeader(headerMaxRetries, "0"),
		setHeader(headerAttempt, strconv.Itoa(attempt+1)),
	}}
	destination := &structpb.Struct{Fields: map[string]*structpb.Value{
		headerDestination: structpb.NewStringValue(address),
	}}
	return &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{
			Response: &extprocv3.CommonResponse{HeaderMutation: mutation},
		}},
		DynamicMetadata: &structpb.Struct{Fields: map[string]*structpb.Value{
			metadataNamespace: structpb.NewStructValue(destination),
		}},
		ModeOverride: skipBodies,
	}
}

// immediateResponse tells the proxy to answer the client at once.
func immediateResponse(code int, retryAfter routing.Micros, reason string) *extprocv3.ProcessingResponse {
	immediate := &extprocv3.ImmediateResponse{
		Status:  &typev3.HttpStatus{Code: typev3.StatusCode(code)},
		Body:    []byte(reason),
		Details: "pinedale_" + strconv.Itoa(code),
	}
	if retryAfter > 0 {
		seconds := strconv.FormatFloat(float64(retryAfter)/microsPerSecond, 'f', 3, 64)
		immediate.Headers = &extprocv3.HeaderMutation{
			SetHeaders: []*corev3.HeaderValueOption{setHeader(headerRetryAfter, seconds)},
		}
	}
	return &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_ImmediateResponse{ImmediateResponse: immediate},
	}
}

// finalResponse is the immediate response for a decision other than Forward, PassThrough and RetryAllowed.
func finalResponse(decision routing.Response) *extprocv3.ProcessingResponse {
	switch decision.Kind {
	case routing.Reject, routing.AtCapacity:
		return immediateResponse(http.StatusServiceUnavailable, decision.RetryAfter, "")
	case routing.Conflict:
		return immediateResponse(http.StatusConflict, 0, decision.Reason)
	case routing.KeyReused:
		return immediateResponse(http.StatusUnprocessableEntity, 0, decision.Reason)
	}
	return immediateResponse(http.StatusBadGateway, 0, "")
}

// passThroughResponse lets the endpoint's answer through. statusCode replaces the answer's own unless it is 0.
func passThroughResponse(retryAllowed bool, statusCode int) *extprocv3.ProcessingResponse {
	common := &extprocv3.CommonResponse{}
	var headers []*corev3.HeaderValueOption
	if retryAllowed {
		headers = append(headers, setHeader(headerRetryAllowed, "1"))
	}
	if statusCode != 0 {
		headers = append(headers, setHeader(":status", strconv.Itoa(statusCode)))
	}
	if len(headers) > 0 {
		common.HeaderMutation = &extprocv3.HeaderMutation{SetHeaders: headers}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
		ResponseHeaders: &extprocv3.HeadersResponse{Response: common},
	}}
}

// bodyResponse passes a chunk of a body through unchanged. A proxy that sends bodies in spite of skipBodies waits for
// this response. In full duplex mode the proxy forwards only the chunks that it receives back.
func bodyResponse(in *extprocv3.HttpBody, duplex bool) *extprocv3.BodyResponse {
	out := &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{}}
	if duplex {
		out.Response.BodyMutation = &extprocv3.BodyMutation{Mutation: &extprocv3.BodyMutation_StreamedResponse{
			StreamedResponse: &extprocv3.StreamedBodyResponse{Body: in.GetBody(), EndOfStream: in.GetEndOfStream()},
		}}
	}
	return out
}

// requestBodyResponse passes a chunk of a request's body through.
func requestBodyResponse(in *extprocv3.HttpBody, duplex bool) *extprocv3.ProcessingResponse {
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
		RequestBody: bodyResponse(in, duplex),
	}}
}

// responseBodyResponse passes a chunk of an answer's body through.
func responseBodyResponse(in *extprocv3.HttpBody, duplex bool) *extprocv3.ProcessingResponse {
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseBody{
		ResponseBody: bodyResponse(in, duplex),
	}}
}

// requestTrailersResponse lets the trailers of a request through.
func requestTrailersResponse() *extprocv3.ProcessingResponse {
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{
		RequestTrailers: &extprocv3.TrailersResponse{},
	}}
}

// responseTrailersResponse lets the trailers of an answer through.
func responseTrailersResponse() *extprocv3.ProcessingResponse {
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseTrailers{
		ResponseTrailers: &extprocv3.TrailersResponse{},
	}}
}
