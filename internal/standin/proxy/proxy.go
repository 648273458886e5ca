// Package proxy is a stand-in for a proxy of Envoy's family with an external
// processor: for each request it opens a stream, asks for a verdict, forwards the
// request over HTTP/1.1 to the endpoint named, reports the answer's headers, and
// gives the client what the processor makes of it. It can be told to give up, to
// ask twice, to keep silent about an outcome or to break off.
package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/structpb"
)

// Request is a client's request.
type Request struct {
	Method, Path string
	Header       map[string]string // lower case
	Body         string
}

// Behaviour is what a proxy does out of the ordinary with one ask.
type Behaviour struct {
	DisconnectBeforeDecision bool // the stream is broken as soon as it has asked
	DisconnectAtDecision     bool // broken when the verdict comes, which is not used
	NoReport                 bool // forwarded, and the stream is ended without a report
	Attempt                  int  // x-envoy-attempt-count, 0 for none
}

// Decision is what the processor answered to an ask.
type Decision struct {
	Endpoint   string // "" for an immediate answer
	Code       int    // of an immediate answer
	RetryAfter string // its Retry-After
	Body       string
	Headers    map[string]string
	Metadata   string // x-gateway-destination-endpoint under envoy.lb
}

// Answer is what the client gets.
type Result struct {
	Decisions    int // messages that answered the ask: one, if it was not left before
	Decision     Decision
	Code         int
	RetryAfter   string
	RetryAllowed bool // the processor lets the proxy ask once more
	SentAt       time.Time
	SentTo       string
	Err          error // of the stream
}

// Proxy is one proxy with its connections. Make one with Dial.
type Proxy struct {
	conns  []*grpc.ClientConn
	next   int
	mu     sync.Mutex
	idle   map[string][]*connection
	closed bool
}

type connection struct {
	net.Conn
	reader *bufio.Reader
}

// Dial returns a proxy with so many connections to its processor.
func Dial(address string, connections int) (*Proxy, error) {
	p := &Proxy{idle: map[string][]*connection{}}
	for range connections {
		c, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			p.Close()
			return nil, err
		}
		p.conns = append(p.conns, c)
	}
	return p, nil
}

// Close breaks all connections, with what is on them.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.Close()
	}
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = map[string][]*connection{}
}

// Stream opens a stream on the next connection in turn.
func (p *Proxy) OpenStream(ctx context.Context) (extprocv3.ExternalProcessor_ProcessClient, error) {
	p.mu.Lock()
	c := p.conns[p.next%len(p.conns)]
	p.next++
	p.mu.Unlock()
	return extprocv3.NewExternalProcessorClient(c).Process(ctx)
}

// Headers is a message of request headers.
func RequestHeaders(r Request, attempt int) *extprocv3.ProcessingRequest {
	h := []*corev3.HeaderValue{{Key: ":method", RawValue: []byte(r.Method)}, {Key: ":path", RawValue: []byte(r.Path)}}
	for name, value := range r.Header {
		h = append(h, &corev3.HeaderValue{Key: name, RawValue: []byte(value)})
	}
	if r.Body != "" {
		h = append(h, &corev3.HeaderValue{Key: "content-length", RawValue: []byte(strconv.Itoa(len(r.Body)))})
	}
	if attempt > 0 {
		h = append(h, &corev3.HeaderValue{Key: "x-envoy-attempt-count", RawValue: []byte(strconv.Itoa(attempt))})
	}
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{
		RequestHeaders: &extprocv3.HttpHeaders{Headers: &corev3.HeaderMap{Headers: h}, EndOfStream: r.Body == ""}}}
}

// Report is a message of response headers, with the details that Envoy gives of an
// answer of its own, and the endpoint that served.
func ResponseHeaders(code int, header http.Header, details, served string) *extprocv3.ProcessingRequest {
	h := []*corev3.HeaderValue{{Key: ":status", RawValue: []byte(strconv.Itoa(code))}}
	for _, name := range [...]string{"X-Unprocessed", "X-Backend-Load"} {
		if v := header.Get(name); v != "" {
			h = append(h, &corev3.HeaderValue{Key: lower(name), RawValue: []byte(v)})
		}
	}
	out := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{Headers: &corev3.HeaderMap{Headers: h}}}}
	if details != "" {
		out.Attributes = map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
			"response.code_details": structpb.NewStringValue(details)}}}
	}
	if served != "" {
		out.MetadataContext = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"envoy.lb": {
			Fields: map[string]*structpb.Value{"x-gateway-destination-endpoint-served": structpb.NewStringValue(served)}}}}
	}
	return out
}

func lower(name string) string { return string(bytes.ToLower([]byte(name))) }

// Read takes a message as the answer to request headers.
func ParseDecision(m *extprocv3.ProcessingResponse) (Decision, error) {
	v := Decision{Headers: map[string]string{}}
	take := func(in *extprocv3.HeaderMutation) {
		for _, h := range in.GetSetHeaders() {
			v.Headers[h.GetHeader().GetKey()] = string(h.GetHeader().GetRawValue())
		}
	}
	switch x := m.Response.(type) {
	case *extprocv3.ProcessingResponse_RequestHeaders:
		take(x.RequestHeaders.GetResponse().GetHeaderMutation())
		v.Endpoint = v.Headers["x-gateway-destination-endpoint"]
		v.Metadata = m.DynamicMetadata.GetFields()["envoy.lb"].GetStructValue().GetFields()["x-gateway-destination-endpoint"].GetStringValue()
		if v.Endpoint == "" {
			return v, errors.New("a verdict without an endpoint")
		}
	case *extprocv3.ProcessingResponse_ImmediateResponse:
		take(x.ImmediateResponse.GetHeaders())
		v.Code, v.RetryAfter = int(x.ImmediateResponse.GetStatus().GetCode()), v.Headers["retry-after"]
		v.Body = string(x.ImmediateResponse.GetBody())
	default:
		return v, fmt.Errorf("%T in answer to request headers", x)
	}
	return v, nil
}

// Do asks about a request once and carries the verdict out. It does not ask again.
func (p *Proxy) Do(ctx context.Context, r Request, b Behaviour) (out Result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.OpenStream(ctx)
	if err != nil {
		out.Err = err
		return out
	}
	if out.Err = stream.Send(RequestHeaders(r, b.Attempt)); out.Err != nil {
		return out
	}
	if b.DisconnectBeforeDecision {
		return out
	}
	m, err := stream.Recv()
	if err != nil {
		out.Err = err
		return out
	}
	out.Decisions++
	if out.Decision, out.Err = ParseDecision(m); out.Err != nil || b.DisconnectAtDecision {
		return out
	}
	if out.Decision.Endpoint == "" {
		out.Code, out.RetryAfter = out.Decision.Code, out.Decision.RetryAfter
		endStream(stream)
		return out
	}
	remaining, _ := strconv.Atoi(out.Decision.Headers["x-envoy-upstream-rq-timeout-ms"])
	out.SentAt, out.SentTo = time.Now(), out.Decision.Endpoint
	code, header, details := p.forward(out.Decision, r, time.Duration(remaining)*time.Millisecond)
	if b.NoReport {
		endStream(stream)
		out.Code = code
		return out
	}
	if out.Err = stream.Send(ResponseHeaders(code, header, details, out.Decision.Endpoint)); out.Err != nil {
		return out
	}
	if m, out.Err = stream.Recv(); out.Err != nil {
		return out
	}
	endStream(stream)
	out.Code = code
	switch x := m.Response.(type) {
	case *extprocv3.ProcessingResponse_ResponseHeaders:
		for _, h := range x.ResponseHeaders.GetResponse().GetHeaderMutation().GetSetHeaders() {
			switch h.GetHeader().GetKey() {
			case ":status":
				out.Code, _ = strconv.Atoi(string(h.GetHeader().GetRawValue()))
			case "x-pinedale-retry":
				out.RetryAllowed = true
			}
		}
	case *extprocv3.ProcessingResponse_ImmediateResponse:
		var v Decision
		v, out.Err = ParseDecision(m)
		out.Code, out.RetryAfter = v.Code, v.RetryAfter
	default:
		out.Err = fmt.Errorf("%T in answer to response headers", x)
	}
	return out
}

// Retry asks as Do does, and again for as long as the processor lets it.
func (p *Proxy) DoWithRetries(ctx context.Context, r Request, each func(Result)) Result {
	for attempt := 1; ; attempt++ {
		out := p.Do(ctx, r, Behaviour{Attempt: attempt})
		if each != nil {
			each(out)
		}
		if !out.RetryAllowed || out.Err != nil {
			return out
		}
	}
}

// endStream ends a stream from the client's side and waits for its end. Its outcome is known by then.
func endStream(stream extprocv3.ExternalProcessor_ProcessClient) {
	_ = stream.CloseSend()
	_, _ = stream.Recv()
}

// forward sends a request to an endpoint once, and answers for it as Envoy does
// where there is no answer.
func (p *Proxy) forward(v Decision, r Request, timeout time.Duration) (code int, header http.Header, details string) {
	c, err := p.connect(v.Endpoint)
	if err != nil {
		return 503, nil, "upstream_reset_before_response_started{remote_connection_failure|delayed_connect_error:_Connection_refused}"
	}
	_ = c.SetDeadline(time.Now().Add(timeout)) // a connection that is closed fails in the write
	answer, err := c.exchange(v, r)
	if err == nil {
		p.keep(v.Endpoint, c, !answer.close)
		return answer.code, answer.header, "via_upstream"
	}
	c.Close()
	var timedOut net.Error
	if errors.As(err, &timedOut) && timedOut.Timeout() {
		return 504, nil, "response_timeout"
	}
	return 503, nil, "upstream_reset_before_response_started{connection_termination}"
}

// answer is an endpoint's response without its body.
type answer struct {
	code   int
	header http.Header
	close  bool // the endpoint closes the connection
}

// exchange writes a request and reads its whole response.
func (c *connection) exchange(v Decision, r Request) (*answer, error) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: api.internal\r\nContent-Length: %d\r\n", r.Method, r.Path, len(r.Body))
	for name, value := range r.Header {
		if name != "x-time-left-ms" {
			fmt.Fprintf(&out, "%s: %s\r\n", name, value)
		}
	}
	fmt.Fprintf(&out, "x-time-left-ms: %s\r\n\r\n%s", v.Headers["x-time-left-ms"], r.Body)
	if _, err := c.Write(out.Bytes()); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, err
	}
	return &answer{response.StatusCode, response.Header, response.Close}, nil
}

func (p *Proxy) connect(address string) (*connection, error) {
	p.mu.Lock()
	if list := p.idle[address]; len(list) > 0 {
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{raw, bufio.NewReader(raw)}, nil
}

func (p *Proxy) keep(address string, c *connection, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || p.closed {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}
