// Package proxy emulates an Envoy proxy with an external processor. For each request it opens a stream, requests a
// routing decision, forwards the request over HTTP/1.1 to the endpoint of the decision, reports the headers of the
// response, and gives the client the response that the processor makes of it. A [Behaviour] makes it disconnect early,
// state the number of the attempt, or not report the outcome.
package proxy

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Request is a client's request.
type Request struct {
	Method, Path string
	Header       map[string]string // names in lower case
	Body         string
}

// Behaviour says how one attempt deviates from normal operation. The zero value is a normal attempt.
type Behaviour struct {
	DisconnectBeforeDecision bool // the stream is canceled once the decision has been requested
	DisconnectAtDecision     bool // the stream is canceled once the decision has arrived; the decision is not used
	NoReport                 bool // the request is forwarded, and the stream ends without a report
	Attempt                  int  // x-envoy-attempt-count, 0 for none
}

// Result is the outcome of an attempt.
type Result struct {
	Decisions    int // messages that responded to the request headers: 1, or 0 if the stream ended before
	Decision     Decision
	Code         int    // status code that the client gets
	RetryAfter   string // of an immediate response, as the client gets it
	RetryAllowed bool   // the processor permits another attempt
	SentAt       time.Time
	SentTo       string // endpoint
	Err          error  // the error of the stream
}

// Proxy is one proxy with its connections. Make one with [Dial].
type Proxy struct {
	processors []*grpc.ClientConn

	mu            sync.Mutex
	nextProcessor int                    // index in processors
	idle          map[string][]*endpoint // connections by address
	closed        bool
}

// Dial returns a proxy with a number of connections to its processor.
func Dial(address string, connections int) (*Proxy, error) {
	p := &Proxy{idle: map[string][]*endpoint{}}
	for range connections {
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			p.Close()
			return nil, err
		}
		p.processors = append(p.processors, conn)
	}
	return p, nil
}

// Close closes all connections. The streams and requests on them fail.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.processors {
		conn.Close()
	}
	for _, endpoints := range p.idle {
		for _, e := range endpoints {
			e.Close()
		}
	}
	p.idle = map[string][]*endpoint{}
}

// OpenStream opens a stream on one of the connections, which are used in rotation.
func (p *Proxy) OpenStream(ctx context.Context) (extprocv3.ExternalProcessor_ProcessClient, error) {
	p.mu.Lock()
	conn := p.processors[p.nextProcessor%len(p.processors)]
	p.nextProcessor++
	p.mu.Unlock()
	return extprocv3.NewExternalProcessorClient(conn).Process(ctx)
}

// Do makes one attempt at a request: it requests a decision and carries it out. It does not retry.
func (p *Proxy) Do(ctx context.Context, request Request, behaviour Behaviour) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.OpenStream(ctx)
	if err != nil {
		return Result{Err: err}
	}
	if err := stream.Send(RequestHeaders(request, behaviour.Attempt)); err != nil {
		return Result{Err: err}
	}
	if behaviour.DisconnectBeforeDecision {
		return Result{}
	}
	message, err := stream.Recv()
	if err != nil {
		return Result{Err: err}
	}
	result := Result{Decisions: 1}
	result.Decision, result.Err = ParseDecision(message)
	switch {
	case result.Err != nil, behaviour.DisconnectAtDecision:
	case result.Decision.Endpoint == "":
		result.Code = result.Decision.Code
		result.RetryAfter = result.Decision.RetryAfter
		endStream(stream)
	default:
		p.forwardAndReport(stream, request, behaviour, &result)
	}
	return result
}

// forwardAndReport forwards a request by the decision in result, reports the response to the processor, and sets the
// remaining fields of result.
func (p *Proxy) forwardAndReport(
	stream extprocv3.ExternalProcessor_ProcessClient, request Request, behaviour Behaviour, result *Result,
) {
	decision := result.Decision
	timeoutMS, _ := strconv.Atoi(decision.Headers[headerTimeout]) // 0 if absent: the attempt times out at once
	result.SentAt = time.Now()
	result.SentTo = decision.Endpoint
	upstream := p.forward(decision, request, time.Duration(timeoutMS)*time.Millisecond)
	if behaviour.NoReport {
		endStream(stream)
		result.Code = upstream.code
		return
	}
	report := ResponseHeaders(upstream.code, upstream.header, upstream.details, decision.Endpoint)
	if result.Err = stream.Send(report); result.Err != nil {
		return
	}
	message, err := stream.Recv()
	if err != nil {
		result.Err = err
		return
	}
	endStream(stream)
	result.Code = upstream.code
	result.Err = result.applyResponse(message)
}

// applyResponse sets what the client gets from the processor's response to the report.
func (r *Result) applyResponse(message *extprocv3.ProcessingResponse) error {
	switch response := message.Response.(type) {
	case *extprocv3.ProcessingResponse_ResponseHeaders:
		headers := mutationHeaders(response.ResponseHeaders.GetResponse().GetHeaderMutation())
		if status, ok := headers[headerStatus]; ok {
			r.Code, _ = strconv.Atoi(status)
		}
		_, r.RetryAllowed = headers[headerRetryAllowed]
		return nil
	case *extprocv3.ProcessingResponse_ImmediateResponse:
		decision, err := ParseDecision(message)
		r.Code = decision.Code
		r.RetryAfter = decision.RetryAfter
		return err
	default:
		return fmt.Errorf("unexpected %T in response to response headers", response)
	}
}

// DoWithRetries repeats attempts at a request while the processor permits another one. It calls each, unless that is
// nil, with the result of every attempt, and returns the last result.
func (p *Proxy) DoWithRetries(ctx context.Context, request Request, each func(Result)) Result {
	for attempt := 1; ; attempt++ {
		result := p.Do(ctx, request, Behaviour{Attempt: attempt})
		if each != nil {
			each(result)
		}
		if !result.RetryAllowed || result.Err != nil {
			return result
		}
	}
}

// endStream closes the proxy's side of a stream whose outcome is known, and waits for the processor to end it.
func endStream(stream extprocv3.ExternalProcessor_ProcessClient) {
	_ = stream.CloseSend()
	_, _ = stream.Recv()
}
