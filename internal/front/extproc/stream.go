package extproc

import (
	"errors"
	"io"
	"strings"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"

	"pinedale/balancer"
	"pinedale/internal/intake"
	"pinedale/internal/routing"
)

// conversation is one stream: one request of a caller's.
type conversation struct {
	s      *Server
	stream extprocv3.ExternalProcessor_ProcessServer
	asker  asker
	asked  bool // the ledger knows of it
	unsent bool // a verdict was made that certainly never left
	answer bool // the proxy has an immediate answer, and need not report
	report bool // it has reported

	duplexRequest, duplexResponse bool // bodies are the processor's to pass on
	requestEnd, responseEnd       bool // no more of that side may come
}

// Process answers for one request of a caller's.
func (s *Server) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	defer s.streams.Add(-1)
	if s.streams.Add(1) > int64(s.opts.Streams) {
		return s.tooMany()
	}
	c := &conversation{s: s, stream: stream}
	err := c.run()
	if c.asked {
		s.engine.Post(func(now balancer.Micros) { s.host.left(now, &c.asker, c.unsent) })
	}
	return err
}

func misplaced(what, why string) error {
	return status.Errorf(codes.InvalidArgument, "%s: %s", what, why)
}

func (c *conversation) run() error {
	for first := true; ; first = false {
		in, err := c.stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if in.ObservabilityMode {
			return misplaced("observability_mode", "a verdict can't be given where no response is read")
		}
		if first {
			c.duplexRequest = in.ProtocolConfig.GetRequestBodyMode() == modev3.ProcessingMode_FULL_DUPLEX_STREAMED
			c.duplexResponse = in.ProtocolConfig.GetResponseBodyMode() == modev3.ProcessingMode_FULL_DUPLEX_STREAMED
		}
		out, err := c.answerTo(in, first)
		if err != nil {
			return err
		}
		if out == nil {
			continue
		}
		if err := c.stream.Send(out); err != nil {
			return err
		}
	}
}

// answerTo makes the response to one message.
func (c *conversation) answerTo(in *extprocv3.ProcessingRequest, first bool) (*extprocv3.ProcessingResponse, error) {
	switch m := in.Request.(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		if !first {
			return nil, misplaced("request_headers", "come twice on one stream")
		}
		c.requestEnd = m.RequestHeaders.GetEndOfStream()
		return c.request(m.RequestHeaders)
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		if first {
			return nil, misplaced("response_headers", "come before request_headers")
		}
		if c.report {
			return nil, misplaced("response_headers", "come twice on one stream")
		}
		c.report, c.responseEnd = true, m.ResponseHeaders.GetEndOfStream()
		return c.response(in)
	case *extprocv3.ProcessingRequest_RequestBody:
		if first || c.requestEnd {
			return nil, misplaced("request_body", "comes before request_headers or after the request's end")
		}
		c.requestEnd = m.RequestBody.GetEndOfStream()
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
			RequestBody: passBody(m.RequestBody, c.duplexRequest)}}, nil
	case *extprocv3.ProcessingRequest_ResponseBody:
		if !c.report || c.responseEnd {
			return nil, misplaced("response_body", "comes before response_headers or after the answer's end")
		}
		c.responseEnd = m.ResponseBody.GetEndOfStream()
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseBody{
			ResponseBody: passBody(m.ResponseBody, c.duplexResponse)}}, nil
	case *extprocv3.ProcessingRequest_RequestTrailers:
		if first || c.requestEnd {
			return nil, misplaced("request_trailers", "come before request_headers or after the request's end")
		}
		c.requestEnd = true
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{
			RequestTrailers: &extprocv3.TrailersResponse{}}}, nil
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		if !c.report || c.responseEnd {
			return nil, misplaced("response_trailers", "come before response_headers or after the answer's end")
		}
		c.responseEnd = true
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseTrailers{
			ResponseTrailers: &extprocv3.TrailersResponse{}}}, nil
	}
	return nil, misplaced("request", "is none of the phases of a request")
}

// passBody lets a piece of a body through: a proxy that could not be told to keep
// bodies waits for that. In full duplex mode it passes on only what comes back.
func passBody(in *extprocv3.HttpBody, duplex bool) *extprocv3.BodyResponse {
	out := &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{}}
	if duplex {
		out.Response.BodyMutation = &extprocv3.BodyMutation{Mutation: &extprocv3.BodyMutation_StreamedResponse{
			StreamedResponse: &extprocv3.StreamedBodyResponse{Body: in.GetBody(), EndOfStream: in.GetEndOfStream()}}}
	}
	return out
}

// request asks for a verdict and waits for it.
func (c *conversation) request(in *extprocv3.HttpHeaders) (*extprocv3.ProcessingResponse, error) {
	s, arrived := c.s, c.s.engine.Now()
	refuse := func(err error) (*extprocv3.ProcessingResponse, error) {
		c.answer = true
		return immediate(intake.Code(err), 0, err.Error()), nil
	}
	h, err := readHead(in, s.parser.Routed())
	if err != nil {
		return refuse(err)
	}
	path, _, _ := strings.Cut(h.path, "?")
	p, err := s.parser.Parse(intake.Request{Method: h.method, Host: h.host, Path: path, Header: h.header,
		Body: !in.GetEndOfStream() && h.length != "0", At: arrived})
	if err != nil {
		return refuse(err)
	}
	if s.backlog.Add(1) > int64(s.opts.Backlog) {
		s.backlog.Add(-1)
		c.answer = true
		return immediate(503, busyRetry, ""), nil
	}
	c.asker.name = routing.StreamID(s.lastAsk.Add(1))
	c.asker.told = make(chan routing.Response, 1)
	ctx := c.stream.Context()
	taken := s.engine.TryPost(func(now balancer.Micros) {
		s.backlog.Add(-1)
		if ctx.Err() == nil { // else the caller has given up: nothing is decided for it
			s.host.ask(now, &c.asker, query(&c.asker, &p, &h))
		}
	})
	if !taken {
		s.backlog.Add(-1)
		c.answer = true
		return immediate(503, busyRetry, ""), nil
	}
	c.asked = true
	for {
		select {
		case t := <-c.asker.told:
			if t.Kind != routing.Forward {
				c.answer = true
				return final(t), nil
			}
			a := t.Ref.(*handout)
			c.asker.sent = a
			if ctx.Err() != nil {
				c.unsent = true
				return nil, status.FromContextError(ctx.Err()).Err()
			}
			if a.target.Closed() {
				// Told draining or gone since the verdict was made: it must not go out.
				s.engine.Post(func(balancer.Micros) { s.host.ledger.ForwardDiscarded(c.asker.name) })
				continue
			}
			left := time.Duration(a.until-s.engine.Now()) * time.Microsecond
			return goTo(a.target.Address, t.Attempt, left), nil
		case <-ctx.Done():
			// Whatever verdict is made from here on is not passed on.
			c.unsent = true
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
}

// response passes a report on and says what is to become of the answer.
func (c *conversation) response(in *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	if c.answer {
		return passOn(false, 0), nil // our own answer, on its way to the client
	}
	s, r := c.s, readReport(in, c.s.opts.Fields)
	if r.outcome.Status == balancer.OK {
		// The client's answer is here: it need not wait for us to learn of it.
		s.engine.Post(func(now balancer.Micros) { s.host.report(now, &c.asker, r) })
		return passOn(false, 0), nil
	}
	s.engine.Post(func(now balancer.Micros) { c.asker.told <- s.host.report(now, &c.asker, r) })
	select {
	case t := <-c.asker.told:
		switch t.Kind {
		case routing.PassThrough:
			return passOn(false, 0), nil
		case routing.RetryAllowed:
			return passOn(true, c.promise(r)), nil
		}
		return final(t), nil
	case <-c.stream.Context().Done():
		return nil, status.FromContextError(c.stream.Context().Err()).Err()
	case <-s.ended:
		return nil, status.Error(codes.Unavailable, "the processor has ended")
	}
}

// promise returns the status that an answer needs in place of its own, 0 for none:
// 503 and 429 tell a client that a retry is harmless, which holds only where the
// request never ran.
func (c *conversation) promise(r report) int {
	never := r.outcome.Status == balancer.Full || r.outcome.Status == balancer.ConnectFailed || r.outcome.Status == balancer.NotSent
	if (r.code == 503 || r.code == 429) && !never {
		return 502
	}
	return 0
}
