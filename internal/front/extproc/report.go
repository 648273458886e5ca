package extproc

import (
	"net/http"
	"strconv"
	"strings"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"pinedale/balancer"
	"pinedale/internal/httpmsg"
	"pinedale/internal/routing"
)

// Headers of an endpoint's answer.
const (
	headerServedBy    = "x-gateway-destination-endpoint-served" // counterpart of headerDestination; also in metadata
	headerLoad        = "x-backend-load"
	headerUnprocessed = "x-unprocessed" // "1": the endpoint never ran the request
)

// attributeNamespace is the namespace in which the filter sends the attributes that it is configured to send.
// attributeDetails is the attribute that states why the proxy itself generated an answer (RESPONSE_CODE_DETAILS).
const (
	attributeNamespace = "envoy.filters.http.ext_proc"
	attributeDetails   = "response.code_details"
)

// Values of attributeDetails.
const (
	detailsUpstream       = "via_upstream" // the answer is the endpoint's own
	detailsTimeout        = "response_timeout"
	detailsAttemptTimeout = "upstream_per_try_timeout"
	detailsResetPrefix    = "upstream_reset_before_response_started{"
)

// report is a caller's report of an endpoint's answer.
type report struct {
	outcome  routing.Outcome
	code     int    // HTTP status
	servedBy string // address of the endpoint that served the request, "" if it is not reported
}

// readReport reads an answer's headers. The request counts as never run only where that is proven: by the endpoint
// itself, or by response code details which state that the proxy never sent the request.
func readReport(in *extprocv3.ProcessingRequest, loadFields []string) report {
	r := report{outcome: routing.Outcome{Status: balancer.Error}}
	unprocessed := false
	for _, h := range in.GetResponseHeaders().GetHeaders().GetHeaders() {
		if h == nil {
			continue
		}
		switch h.Key {
		case ":status":
			r.code, _ = strconv.Atoi(headerValue(h)) // an invalid status gives 0, which counts as an error
		case headerUnprocessed:
			unprocessed = headerValue(h) == "1"
		case headerLoad:
			r.outcome.Load = httpmsg.LoadReport(loadFields, headerValue(h))
		case headerServedBy:
			r.servedBy = headerValue(h)
		}
	}
	if metadata := in.GetMetadataContext().GetFilterMetadata()[metadataNamespace]; metadata != nil {
		if address := metadata.Fields[headerServedBy].GetStringValue(); address != "" {
			r.servedBy = address
		}
	}
	details := in.GetAttributes()[attributeNamespace].GetFields()[attributeDetails].GetStringValue()
	if status, local := localReplyStatus(details); local {
		r.outcome.Status, r.outcome.Load = status, nil
		return r
	}
	switch r.code {
	case http.StatusOK:
		r.outcome.Status = balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if unprocessed {
			r.outcome.Status = balancer.Full
		}
	}
	return r
}

// localReplyStatus interprets Envoy's response code details. local reports whether the proxy generated the answer
// itself. A reset reason that names a connection failure proves that no byte of the request was written: the connection
// pool reports it before a stream exists.
func localReplyStatus(details string) (status balancer.Status, local bool) {
	switch details {
	case "", detailsUpstream:
		return 0, false
	case detailsTimeout, detailsAttemptTimeout:
		return balancer.Timeout, true
	}
	reason, isReset := strings.CutPrefix(details, detailsResetPrefix)
	if !isReset {
		return balancer.Reset, true
	}
	if end := strings.IndexAny(reason, "|,}"); end >= 0 {
		reason = reason[:end]
	}
	switch reason {
	case "connection_failure", "remote_connection_failure", "local_connection_failure", "connection_timeout":
		return balancer.ConnectFailed, true
	case "overflow":
		return balancer.NotSent, true // the proxy's own pool is full: no fault of the endpoint
	}
	return balancer.Reset, true
}

// replacementStatus returns the HTTP status that replaces an answer's own, 0 for none: 503 and 429 signal to a client
// that a retry is safe, which is true only if the request never ran.
func (r *report) replacementStatus() int {
	switch r.outcome.Status {
	case balancer.Full, balancer.ConnectFailed, balancer.NotSent:
		return 0
	}
	if r.code == http.StatusServiceUnavailable || r.code == http.StatusTooManyRequests {
		return http.StatusBadGateway
	}
	return 0
}
