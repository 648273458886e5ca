package extproc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"pinedale/balancer"
	"pinedale/internal/requestmeta"
	"pinedale/internal/routing"
)

// stream handles one stream of a caller: the headers of one request and of its answer, and any bodies and trailers that
// the proxy sends. It is owned by the goroutine that runs it.
type stream struct {
	server     *Server
	connection extprocv3.ExternalProcessor_ProcessServer
	pending    pendingStream

	started             bool // the request's headers were received
	submitted           bool // the request was passed to the host
	undelivered         bool // a decision was or will be made that never reaches the caller
	answeredImmediately bool // the proxy answers the client without an endpoint: its response headers are no report
	reported            bool // the answer's headers were received

	// State of the bodies. In full duplex mode the proxy forwards only the body chunks that it receives back.
	duplexRequest, duplexResponse bool
	requestEnded, responseEnded   bool // no further part of that message may follow
}

// run answers the stream's messages until it ends.
func (s *stream) run() error {
	for first := true; ; first = false {
		in, err := s.connection.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if in.ObservabilityMode {
			return invalidMessage("observability_mode", "not supported, since the proxy reads no decisions in this mode")
		}
		if first {
			config := in.GetProtocolConfig()
			s.duplexRequest = config.GetRequestBodyMode() == modev3.ProcessingMode_FULL_DUPLEX_STREAMED
			s.duplexResponse = config.GetResponseBodyMode() == modev3.ProcessingMode_FULL_DUPLEX_STREAMED
		}
		out, err := s.handleMessage(in)
		if err != nil {
			return err
		}
		if err := s.connection.Send(out); err != nil {
			return err
		}
	}
}

// close notifies the host that the stream has ended.
func (s *stream) close() {
	if s.submitted {
		s.server.engine.Post(func(now balancer.Micros) {
			s.server.host.streamClosed(now, &s.pending, s.undelivered)
		})
	}
}

// invalidMessage returns the status that ends a stream whose caller violates the protocol.
func invalidMessage(field, reason string) error {
	return status.Errorf(codes.InvalidArgument, "%s: %s", field, reason)
}

// handleMessage returns the response to one message. Its errors end the stream.
func (s *stream) handleMessage(in *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	switch m := in.Request.(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		if s.started {
			return nil, invalidMessage("request_headers", "received twice on one stream")
		}
		s.started, s.requestEnded = true, m.RequestHeaders.GetEndOfStream()
		return s.handleRequestHeaders(m.RequestHeaders)
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		if !s.started {
			return nil, invalidMessage("response_headers", "received before request_headers")
		}
		if s.reported {
			return nil, invalidMessage("response_headers", "received twice on one stream")
		}
		s.reported, s.responseEnded = true, m.ResponseHeaders.GetEndOfStream()
		return s.handleResponseHeaders(in)
	case *extprocv3.ProcessingRequest_RequestBody:
		if !s.started || s.requestEnded {
			return nil, invalidMessage("request_body", "received before request_headers or after the end of the request")
		}
		s.requestEnded = m.RequestBody.GetEndOfStream()
		return requestBodyResponse(m.RequestBody, s.duplexRequest), nil
	case *extprocv3.ProcessingRequest_ResponseBody:
		if !s.reported || s.responseEnded {
			return nil, invalidMessage("response_body", "received before response_headers or after the end of the response")
		}
		s.responseEnded = m.ResponseBody.GetEndOfStream()
		return responseBodyResponse(m.ResponseBody, s.duplexResponse), nil
	case *extprocv3.ProcessingRequest_RequestTrailers:
		if !s.started || s.requestEnded {
			return nil, invalidMessage("request_trailers", "received before request_headers or after the end of the request")
		}
		s.requestEnded = true
		return requestTrailersResponse(), nil
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		if !s.reported || s.responseEnded {
			return nil, invalidMessage("response_trailers",
				"received before response_headers or after the end of the response")
		}
		s.responseEnded = true
		return responseTrailersResponse(), nil
	}
	return nil, invalidMessage("request", "unknown message type, want headers, body or trailers")
}

// handleRequestHeaders requests a decision and waits for it.
func (s *stream) handleRequestHeaders(in *extprocv3.HttpHeaders) (*extprocv3.ProcessingResponse, error) {
	req, err := s.parseRequest(in)
	if err != nil {
		return s.answerImmediately(immediateResponse(requestmeta.StatusCode(err), 0, err.Error())), nil
	}
	if !s.submit(req) {
		return s.answerImmediately(immediateResponse(http.StatusServiceUnavailable, backlogRetryAfter, "")), nil
	}
	return s.awaitDecision()
}

// parseRequest reads a request's headers. Its errors are *requestmeta.Error.
func (s *stream) parseRequest(in *extprocv3.HttpHeaders) (routing.Request, error) {
	arrived := s.server.engine.Now()
	h, err := readHead(in, s.server.parser.HasRoutes())
	if err != nil {
		return routing.Request{}, err
	}
	path, _, _ := strings.Cut(h.path, "?")
	parsed, err := s.server.parser.Parse(requestmeta.Request{
		Method: h.method,
		Host:   h.host,
		Path:   path,
		Header: h.header,
		Body:   !in.GetEndOfStream() && h.contentLength != "0",
		At:     arrived,
	})
	if err != nil {
		return routing.Request{}, err
	}
	return routing.Request{
		ID:            parsed.CorrelationID,
		Key:           parsed.IdempotencyKey,
		Fingerprint:   h.fingerprint(),
		ModuleRequest: parsed.Request,
		Tenant:        h.header.Get(requestmeta.HeaderTenant),
	}, nil
}

// submit passes a request to the host. It returns false if too many requests wait for the engine.
func (s *stream) submit(req routing.Request) bool {
	server := s.server
	if server.backlog.Add(1) > int64(server.opts.MaxBacklog) {
		server.backlog.Add(-1)
		return false
	}
	s.pending.id = routing.StreamID(server.lastStream.Add(1))
	s.pending.responses = make(chan routing.Response, 1)
	req.Stream = s.pending.id
	ctx := s.connection.Context()
	s.submitted = server.engine.TryPost(func(now balancer.Micros) {
		server.backlog.Add(-1)
		if ctx.Err() == nil { // otherwise the caller has disconnected and needs no decision
			server.host.handleRequest(now, &s.pending, req)
		}
	})
	if !s.submitted {
		server.backlog.Add(-1)
	}
	return s.submitted
}

// awaitDecision waits for the routing decision and returns the response for it.
func (s *stream) awaitDecision() (*extprocv3.ProcessingResponse, error) {
	ctx := s.connection.Context()
	for {
		select {
		case decision := <-s.pending.responses:
			if decision.Kind != routing.Forward {
				return s.answerImmediately(finalResponse(decision)), nil
			}
			target := decision.Ref.(*forwardTarget)
			s.pending.forwarded = target
			if ctx.Err() != nil {
				s.undelivered = true
				return nil, contextError(ctx)
			}
			if !target.endpoint.Closed() {
				return s.forward(target, decision.Attempt), nil
			}
			// The endpoint was removed or began to drain after the decision: the ledger makes another decision.
			s.server.engine.Post(func(balancer.Micros) { s.server.host.ledger.ForwardDiscarded(s.pending.id) })
		case <-ctx.Done():
			s.undelivered = true
			return nil, contextError(ctx)
		}
	}
}

// forward returns the response that tells the proxy to send the request to an endpoint.
func (s *stream) forward(target *forwardTarget, attempt int) *extprocv3.ProcessingResponse {
	remaining := time.Duration(target.deadline-s.server.engine.Now()) * time.Microsecond
	return forwardResponse(target.endpoint.Address, attempt, remaining)
}

// answerImmediately records that the proxy answers the client without an endpoint.
func (s *stream) answerImmediately(out *extprocv3.ProcessingResponse) *extprocv3.ProcessingResponse {
	s.answeredImmediately = true
	return out
}

// handleResponseHeaders passes the report to the host and returns the response that lets the endpoint's answer through
// or replaces it.
func (s *stream) handleResponseHeaders(in *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	if s.answeredImmediately {
		return passThroughResponse(false, 0), nil // the immediate response itself, on its way to the client
	}
	server := s.server
	r := readReport(in, server.opts.LoadFields)
	if r.outcome.Status == balancer.OK {
		// The client's answer is not delayed until the engine has handled the report.
		server.engine.Post(func(balancer.Micros) { server.host.handleReport(&s.pending, r) })
		return passThroughResponse(false, 0), nil
	}
	server.engine.Post(func(balancer.Micros) { s.pending.responses <- server.host.handleReport(&s.pending, r) })
	ctx := s.connection.Context()
	select {
	case reply := <-s.pending.responses:
		switch reply.Kind {
		case routing.PassThrough:
			return passThroughResponse(false, 0), nil
		case routing.RetryAllowed:
			return passThroughResponse(true, r.replacementStatus()), nil
		}
		return finalResponse(reply), nil
	case <-ctx.Done():
		return nil, contextError(ctx)
	case <-server.ended:
		return nil, status.Error(codes.Unavailable, "external processor has shut down")
	}
}

// contextError returns the gRPC status of a context that has ended.
func contextError(ctx context.Context) error { return status.FromContextError(ctx.Err()).Err() }
