package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc"

	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/scriptedconn"
)

// processor is an external processor that gives the same responses to all requests.
type processor struct {
	extprocv3.UnimplementedExternalProcessorServer

	decision *extprocv3.ProcessingResponse // in response to request headers
	reply    *extprocv3.ProcessingResponse // in response to response headers

	requests chan *extprocv3.ProcessingRequest // received
	ended    chan struct{}                     // receives a value at the end of each stream
}

// Process responds to the messages of one stream.
func (p *processor) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	defer func() { p.ended <- struct{}{} }()
	for {
		request, err := stream.Recv()
		if err != nil {
			return nil // the proxy has ended the stream
		}
		p.requests <- request
		response := p.reply
		if request.GetRequestHeaders() != nil {
			response = p.decision
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

// dialProcessor returns a proxy of a processor that serves until the test ends.
func dialProcessor(t *testing.T, decision, reply *extprocv3.ProcessingResponse) (*Proxy, *processor) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &processor{
		decision: decision,
		reply:    reply,
		requests: make(chan *extprocv3.ProcessingRequest, 100),
		ended:    make(chan struct{}, 100),
	}
	server := grpc.NewServer()
	extprocv3.RegisterExternalProcessorServer(server, p)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	proxy, err := Dial(listener.Addr().String(), 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy, p
}

// newHeaderMutation returns a mutation that sets headers, given as alternating names and values.
func newHeaderMutation(namesAndValues ...string) *extprocv3.HeaderMutation {
	mutation := &extprocv3.HeaderMutation{}
	for pair := range slices.Chunk(namesAndValues, 2) {
		mutation.SetHeaders = append(mutation.SetHeaders, &corev3.HeaderValueOption{Header: newHeader(pair[0], pair[1])})
	}
	return mutation
}

// forwardTo returns the decision to forward a request to an endpoint.
func forwardTo(address string, timeout time.Duration) *extprocv3.ProcessingResponse {
	timeoutMS := strconv.FormatInt(timeout.Milliseconds(), 10)
	return &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_RequestHeaders{
			RequestHeaders: &extprocv3.HeadersResponse{
				Response: &extprocv3.CommonResponse{
					HeaderMutation: newHeaderMutation(
						headerEndpoint, address, headerTimeout, timeoutMS, headerTimeLeft, timeoutMS),
				},
			},
		},
	}
}

// immediateResponse returns the decision to respond to the client without forwarding its request.
func immediateResponse(code int, retryAfter string) *extprocv3.ProcessingResponse {
	return &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_ImmediateResponse{
			ImmediateResponse: &extprocv3.ImmediateResponse{
				Status:  &typev3.HttpStatus{Code: typev3.StatusCode(code)},
				Headers: newHeaderMutation(headerRetryAfter, retryAfter),
			},
		},
	}
}

// reportResponse returns the response to a report, which sets headers.
func reportResponse(namesAndValues ...string) *extprocv3.ProcessingResponse {
	return &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_ResponseHeaders{
			ResponseHeaders: &extprocv3.HeadersResponse{
				Response: &extprocv3.CommonResponse{HeaderMutation: newHeaderMutation(namesAndValues...)},
			},
		},
	}
}

var testRequest = Request{
	Method: http.MethodPost,
	Path:   "/pay/x",
	Header: map[string]string{"x-time-left-ms": "60000", "x-service-class": "pay"},
	Body:   "body",
}

const longTimeout = 20 * time.Second

func TestRequestIsForwardedAndReported(t *testing.T) {
	endpoint := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Full))
	p, processor := dialProcessor(t, forwardTo(endpoint.Address, longTimeout), reportResponse())
	for range 2 {
		result := p.Do(t.Context(), testRequest, Behaviour{Attempt: 3})
		if result.Err != nil || result.Code != 503 || result.Decisions != 1 || result.SentTo != endpoint.Address {
			t.Errorf("result %+v, want status 503 of the endpoint after one decision", result)
		}
	}
	if requests, conns := endpoint.RequestCount(), endpoint.ConnCount(); requests != 2 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", requests, conns)
	}
	forwarded := endpoint.Request(0)
	body, err := io.ReadAll(forwarded.Body)
	if err != nil || string(body) != "body" || forwarded.URL.Path != "/pay/x" ||
		forwarded.Header.Get("X-Time-Left-Ms") != "20000" || forwarded.Header.Get("X-Service-Class") != "pay" {
		t.Errorf("forwarded %s with body %q, headers %v, error %v, want /pay/x with the request's body and class",
			forwarded.URL, body, forwarded.Header, err)
	}
	requested := headersOf((<-processor.requests).GetRequestHeaders())
	if requested[headerMethod] != "POST" || requested[headerPath] != "/pay/x" || requested[headerAttempt] != "3" {
		t.Errorf("decision requested with headers %v, want POST /pay/x and attempt 3", requested)
	}
	report := <-processor.requests
	reported := headersOf(report.GetResponseHeaders())
	if reported[headerStatus] != "503" || reported["x-unprocessed"] != "1" {
		t.Errorf("reported headers %v, want status 503 and x-unprocessed 1", reported)
	}
	details := report.Attributes[attributesNamespace].GetFields()[attributeDetails].GetStringValue()
	served := report.MetadataContext.FilterMetadata[metadataNamespace].GetFields()[metadataServed].GetStringValue()
	if details != detailsForwarded || served != endpoint.Address {
		t.Errorf("reported details %q, endpoint %q, want %q and %q",
			details, served, detailsForwarded, endpoint.Address)
	}
}

// headersOf returns the headers of a message.
func headersOf(message *extprocv3.HttpHeaders) map[string]string {
	headers := map[string]string{}
	for _, header := range message.GetHeaders().GetHeaders() {
		headers[header.Key] = string(header.RawValue)
	}
	return headers
}

func TestImmediateResponseIsNotForwarded(t *testing.T) {
	p, processor := dialProcessor(t, immediateResponse(503, "1.5"), nil)
	result := p.Do(t.Context(), testRequest, Behaviour{})
	if result.Err != nil || result.Code != 503 || result.RetryAfter != "1.5" || result.SentTo != "" {
		t.Errorf("result %+v, want status 503 with Retry-After 1.5, not forwarded", result)
	}
	<-processor.ended
	if n := len(processor.requests); n != 1 {
		t.Errorf("processor received %d messages, want 1", n)
	}
}

func TestProcessorReplacesResponse(t *testing.T) {
	endpoint := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	for name, test := range map[string]struct {
		reply          *extprocv3.ProcessingResponse
		wantCode       int
		wantRetryAfter string
		wantRetry      bool
	}{
		"unchanged":          {reportResponse(), 200, "", false},
		"another status":     {reportResponse(headerStatus, "502"), 502, "", false},
		"retry allowed":      {reportResponse(headerRetryAllowed, "1"), 200, "", true},
		"immediate response": {immediateResponse(503, "2"), 503, "2", false},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := dialProcessor(t, forwardTo(endpoint.Address, longTimeout), test.reply)
			result := p.Do(t.Context(), testRequest, Behaviour{})
			if result.Err != nil || result.Code != test.wantCode || result.RetryAfter != test.wantRetryAfter ||
				result.RetryAllowed != test.wantRetry {
				t.Errorf("result %+v, want status code %d, Retry-After %q, retry allowed %v",
					result, test.wantCode, test.wantRetryAfter, test.wantRetry)
			}
		})
	}
}

// If an endpoint does not respond, the proxy reports the status code and details that Envoy reports.
func TestMissingResponseIsReportedAsByEnvoy(t *testing.T) {
	unresponsive := scriptedconn.New(t, scriptedconn.Unresponsive)
	closing := scriptedconn.New(t, func(e *scriptedconn.Endpoint, _ net.Conn, in *bufio.Reader) { e.Next(in) })
	for name, test := range map[string]struct {
		address     string
		timeout     time.Duration
		wantCode    int
		wantDetails string
	}{
		"refused": {ports.MustFree(t), longTimeout, 503, detailsConnectFailed},
		"timeout": {unresponsive.Address, 50 * time.Millisecond, 504, detailsTimeout},
		"closed":  {closing.Address, longTimeout, 503, detailsReset},
	} {
		t.Run(name, func(t *testing.T) {
			p, processor := dialProcessor(t, forwardTo(test.address, test.timeout), reportResponse())
			result := p.Do(t.Context(), testRequest, Behaviour{})
			if result.Err != nil || result.Code != test.wantCode {
				t.Errorf("result %+v, want status code %d", result, test.wantCode)
			}
			<-processor.requests
			report := <-processor.requests
			details := report.Attributes[attributesNamespace].GetFields()[attributeDetails].GetStringValue()
			if details != test.wantDetails {
				t.Errorf("details %q, want %q", details, test.wantDetails)
			}
		})
	}
}

func TestBehaviourBreaksOffAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		behaviour     Behaviour
		wantDecisions int
		wantForwarded int
		wantCode      int
	}{
		"before the decision": {Behaviour{DisconnectBeforeDecision: true}, 0, 0, 0},
		"at the decision":     {Behaviour{DisconnectAtDecision: true}, 1, 0, 0},
		"no report":           {Behaviour{NoReport: true}, 1, 1, 200},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
			p, processor := dialProcessor(t, forwardTo(endpoint.Address, longTimeout), reportResponse())
			result := p.Do(t.Context(), testRequest, test.behaviour)
			if result.Err != nil || result.Decisions != test.wantDecisions || result.Code != test.wantCode {
				t.Errorf("result %+v, want %d decisions and status code %d", result, test.wantDecisions, test.wantCode)
			}
			if n := endpoint.RequestCount(); n != test.wantForwarded {
				t.Errorf("%d requests were forwarded, want %d", n, test.wantForwarded)
			}
			if test.wantDecisions > 0 { // otherwise the stream may never have reached the processor
				<-processor.ended
				if n := len(processor.requests); n != 1 {
					t.Errorf("processor received %d messages, want only the request for a decision", n)
				}
			}
		})
	}
}

func TestPermittedRetriesContinueUntilError(t *testing.T) {
	endpoint := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Failing))
	p, processor := dialProcessor(t, forwardTo(endpoint.Address, longTimeout), reportResponse(headerRetryAllowed, "1"))
	var attempts []string
	result := p.DoWithRetries(t.Context(), testRequest, func(result Result) {
		if result.Err != nil {
			return
		}
		requested := headersOf((<-processor.requests).GetRequestHeaders())
		<-processor.requests // the report
		attempts = append(attempts, requested[headerAttempt])
		if len(attempts) == 3 {
			p.Close() // the next attempt has no connection to the processor
		}
	})
	if result.Err == nil {
		t.Errorf("result %+v, want an error", result)
	}
	if want := []string{"1", "2", "3"}; !slices.Equal(attempts, want) {
		t.Errorf("attempts %q, want %q", attempts, want)
	}
}

func TestRetriesEndWithoutPermission(t *testing.T) {
	endpoint := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Failing))
	p, _ := dialProcessor(t, forwardTo(endpoint.Address, longTimeout), reportResponse())
	result := p.DoWithRetries(t.Context(), testRequest, nil)
	if result.Err != nil || result.Code != http.StatusInternalServerError {
		t.Errorf("result %+v, want status code 500", result)
	}
	if n := endpoint.RequestCount(); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}
