package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"
)

// Names of headers, in lower case as Envoy sends them.
const (
	headerMethod        = ":method"
	headerPath          = ":path"
	headerStatus        = ":status"
	headerContentLength = "content-length"
	headerRetryAfter    = "retry-after"
	headerAttempt       = "x-envoy-attempt-count"
	headerTimeout       = "x-envoy-upstream-rq-timeout-ms"
	headerEndpoint      = "x-gateway-destination-endpoint"
	headerTimeLeft      = "x-time-left-ms"
	headerRetryAllowed  = "x-pinedale-retry"
)

// Names of metadata and attributes.
const (
	metadataNamespace   = "envoy.lb"
	metadataServed      = "x-gateway-destination-endpoint-served"
	attributesNamespace = "envoy.filters.http.ext_proc"
	attributeDetails    = "response.code_details"
)

// reportedHeaders are the headers of a response that the proxy reports.
var reportedHeaders = [...]string{"X-Unprocessed", "X-Backend-Load"}

// Decision is the processor's response to request headers.
type Decision struct {
	Endpoint string // empty for an immediate response
	Metadata string // the endpoint in the dynamic metadata
	Headers  map[string]string

	// Set for an immediate response only.
	Code       int
	RetryAfter string
	Body       string
}

// RequestHeaders returns the message that requests a decision. It omits an attempt number of 0.
func RequestHeaders(request Request, attempt int) *extprocv3.ProcessingRequest {
	headers := []*corev3.HeaderValue{
		newHeader(headerMethod, request.Method),
		newHeader(headerPath, request.Path),
	}
	for name, value := range request.Header {
		headers = append(headers, newHeader(name, value))
	}
	if request.Body != "" {
		headers = append(headers, newHeader(headerContentLength, strconv.Itoa(len(request.Body))))
	}
	if attempt > 0 {
		headers = append(headers, newHeader(headerAttempt, strconv.Itoa(attempt)))
	}
	return &extprocv3.ProcessingRequest{
		Request: &extprocv3.ProcessingRequest_RequestHeaders{
			RequestHeaders: &extprocv3.HttpHeaders{
				Headers:     &corev3.HeaderMap{Headers: headers},
				EndOfStream: request.Body == "",
			},
		},
	}
}

// ResponseHeaders returns the message that reports a response. Details are Envoy's response code details, and served is
// the endpoint that has responded; either may be empty.
func ResponseHeaders(code int, header http.Header, details, served string) *extprocv3.ProcessingRequest {
	headers := []*corev3.HeaderValue{newHeader(headerStatus, strconv.Itoa(code))}
	for _, name := range reportedHeaders {
		if value := header.Get(name); value != "" {
			headers = append(headers, newHeader(strings.ToLower(name), value))
		}
	}
	message := &extprocv3.ProcessingRequest{
		Request: &extprocv3.ProcessingRequest_ResponseHeaders{
			ResponseHeaders: &extprocv3.HttpHeaders{
				Headers: &corev3.HeaderMap{Headers: headers},
			},
		},
	}
	if details != "" {
		message.Attributes = map[string]*structpb.Struct{
			attributesNamespace: newStruct(attributeDetails, details),
		}
	}
	if served != "" {
		message.MetadataContext = &corev3.Metadata{
			FilterMetadata: map[string]*structpb.Struct{
				metadataNamespace: newStruct(metadataServed, served),
			},
		}
	}
	return message
}

func newHeader(name, value string) *corev3.HeaderValue {
	return &corev3.HeaderValue{Key: name, RawValue: []byte(value)}
}

func newStruct(key, value string) *structpb.Struct {
	return &structpb.Struct{
		Fields: map[string]*structpb.Value{key: structpb.NewStringValue(value)},
	}
}

// ParseDecision returns the decision in a message that responds to request headers.
func ParseDecision(message *extprocv3.ProcessingResponse) (Decision, error) {
	switch response := message.Response.(type) {
	case *extprocv3.ProcessingResponse_RequestHeaders:
		headers := mutationHeaders(response.RequestHeaders.GetResponse().GetHeaderMutation())
		metadata := message.DynamicMetadata.GetFields()[metadataNamespace].GetStructValue()
		decision := Decision{
			Endpoint: headers[headerEndpoint],
			Metadata: metadata.GetFields()[headerEndpoint].GetStringValue(),
			Headers:  headers,
		}
		if decision.Endpoint == "" {
			return decision, errors.New("decision names no endpoint")
		}
		return decision, nil
	case *extprocv3.ProcessingResponse_ImmediateResponse:
		headers := mutationHeaders(response.ImmediateResponse.GetHeaders())
		return Decision{
			Headers:    headers,
			Code:       int(response.ImmediateResponse.GetStatus().GetCode()),
			RetryAfter: headers[headerRetryAfter],
			Body:       string(response.ImmediateResponse.GetBody()),
		}, nil
	default:
		return Decision{}, fmt.Errorf("unexpected %T in response to request headers", response)
	}
}

// mutationHeaders returns the headers that a mutation sets.
func mutationHeaders(mutation *extprocv3.HeaderMutation) map[string]string {
	headers := map[string]string{}
	for _, option := range mutation.GetSetHeaders() {
		headers[option.GetHeader().GetKey()] = string(option.GetHeader().GetRawValue())
	}
	return headers
}
