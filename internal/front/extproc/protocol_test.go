package extproc

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"pinedale/balancer"
	"pinedale/internal/standin/proxy"
	"pinedale/internal/standin/wait"
)

// A request with malformed headers gets the same client error as on the HTTP front, and reaches no server.
func TestMalformedHeadIsRejected(t *testing.T) {
	h := start(t, 1, nil)
	for _, c := range []struct {
		name  string
		alter func(*proxy.Request)
		code  int
		text  string // part of the body
	}{
		{"no id", func(req *proxy.Request) { delete(req.Header, "x-correlation-id") }, 400, "X-Correlation-Id"},
		{"no class", func(req *proxy.Request) { delete(req.Header, "x-service-class") }, 400, "X-Service-Class"},
		{"no key", func(req *proxy.Request) { delete(req.Header, "idempotency-key") }, 400, "Idempotency-Key"},
		{"a key that is too long", func(req *proxy.Request) { req.Header["idempotency-key"] = strings.Repeat("k", 300) },
			400, "Idempotency-Key"},
		{"no time left", func(req *proxy.Request) { delete(req.Header, "x-time-left-ms") }, 400, "X-Time-Left-Ms"},
		{"wrong method", func(req *proxy.Request) { req.Method = "PUT" }, 405, "POST"},
		{"no method", func(req *proxy.Request) { req.Method = "" }, 400, ":method"},
		{"another path", func(req *proxy.Request) { req.Path = "/read/x" }, 400, "path"},
		{"a query only", func(req *proxy.Request) { req.Path = "?pay" }, 400, "path"},
		{"an invalid length", func(req *proxy.Request) { req.Body, req.Header["content-length"] = "", "x" },
			413, "content-length"},
		{"a body too large", func(req *proxy.Request) { req.Body = strings.Repeat("x", 65537) }, 413, "65536"},
		{"an invalid attempt count", func(req *proxy.Request) { req.Header["x-envoy-attempt-count"] = "0" },
			400, "x-envoy-attempt-count"},
	} {
		req := h.request("pay")
		c.alter(&req)
		s := h.open(context.Background())
		if decision := s.request(req, 0); decision.Code != c.code || !strings.Contains(decision.Body, c.text) {
			t.Errorf("%s: decision %+v, want status %d with %q in the body", c.name, decision, c.code, c.text)
		}
		s.end()
	}
	doubled := proxy.RequestHeaders(h.request("pay"), 0)
	headers := doubled.GetRequestHeaders().Headers
	headers.Headers = append(headers.Headers, &corev3.HeaderValue{Key: "idempotency-key", Value: "other"})
	s := h.open(context.Background())
	s.send(doubled)
	if decision := s.decision(); decision.Code != 400 || !strings.Contains(decision.Body, "2 times") {
		t.Errorf("a duplicate key header: decision %+v, want status 400", decision)
	}
	s.end()
	headers.Headers[len(headers.Headers)-1] = &corev3.HeaderValue{Key: ":path", Value: "/pay/y"}
	headers.Headers = append(headers.Headers, nil)
	s = h.open(context.Background())
	s.send(doubled)
	if decision := s.decision(); decision.Code != 400 || !strings.Contains(decision.Body, ":path") {
		t.Errorf("a duplicate :path: decision %+v, want status 400", decision)
	}
	s.end()
	if n := h.openCount(); n != 0 {
		t.Errorf("%d streams and rounds are open, want 0", n)
	}
}

// A stream whose messages are out of order ends with InvalidArgument, and no other stream is affected.
func TestMessageOutOfOrderEndsItsStream(t *testing.T) {
	h := start(t, 2, nil)
	other := h.open(context.Background())
	decision := other.request(h.request("pay"), 0)
	body := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: []byte("x"), EndOfStream: true},
	}}
	answerBody := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseBody{
		ResponseBody: &extprocv3.HttpBody{},
	}}
	trailers := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestTrailers{
		RequestTrailers: &extprocv3.HttpTrailers{},
	}}
	answerTrailers := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseTrailers{
		ResponseTrailers: &extprocv3.HttpTrailers{},
	}}
	report := proxy.ResponseHeaders(200, nil, "", "")
	request := func() *extprocv3.ProcessingRequest { return proxy.RequestHeaders(h.request("pay"), 0) }
	observed := request()
	observed.ObservabilityMode = true
	for name, messages := range map[string][]*extprocv3.ProcessingRequest{
		"a report first":            {report},
		"a body first":              {body},
		"trailers first":            {trailers},
		"nothing":                   {{}},
		"nothing after the request": {request(), {}},
		"two requests":              {request(), request()},
		"two reports":               {request(), report, report},
		"a body after its end":      {request(), body, body},
		"trailers after the end":    {request(), body, trailers},
		"an answer's body too soon": {request(), answerBody},
		"its trailers too soon":     {request(), answerTrailers},
		"observability mode":        {observed},
	} {
		s := h.open(context.Background())
		for _, m := range messages {
			if err := s.Send(m); err != nil && !errors.Is(err, io.EOF) {
				t.Fatal(err)
			}
		}
		s.closeSend()
		if got := s.status(); got != codes.InvalidArgument {
			t.Errorf("%s: %v, want InvalidArgument", name, got)
		}
	}
	if m := other.report(200, "via_upstream", decision.Endpoint); m.GetResponseHeaders() == nil {
		t.Errorf("response to the report on the other stream: %v, want response headers", m)
	}
	other.end()
	h.awaitRelease()
}

// streamedBody returns the piece of a body that a response passes on in full duplex mode.
func streamedBody(out *extprocv3.BodyResponse) string {
	return string(out.GetResponse().GetBodyMutation().GetStreamedResponse().GetBody())
}

// A proxy that sends bodies and trailers gets a response to each phase. In full duplex mode each piece comes back
// unchanged.
func TestBodiesAndTrailersPassThrough(t *testing.T) {
	for _, duplex := range []bool{false, true} {
		t.Run(fmt.Sprint("duplex ", duplex), func(t *testing.T) {
			h := start(t, 1, nil)
			s := h.open(context.Background())
			m := proxy.RequestHeaders(h.request("pay"), 0)
			if duplex {
				m.ProtocolConfig = &extprocv3.ProtocolConfiguration{
					RequestBodyMode:  modev3.ProcessingMode_FULL_DUPLEX_STREAMED,
					ResponseBodyMode: modev3.ProcessingMode_FULL_DUPLEX_STREAMED,
				}
			}
			s.send(m)
			s.decision()
			phase := func(m *extprocv3.ProcessingRequest) *extprocv3.ProcessingResponse {
				s.send(m)
				out, err := s.Recv()
				if err != nil {
					t.Fatal(err)
				}
				return out
			}
			piece := &extprocv3.HttpBody{Body: []byte("piece")}
			out := phase(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{RequestBody: piece}})
			if out.GetRequestBody() == nil || (streamedBody(out.GetRequestBody()) == "piece") != duplex {
				t.Errorf("duplex %v: response to a chunk of the request body: %v", duplex, out)
			}
			out = phase(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestTrailers{}})
			if out.GetRequestTrailers() == nil {
				t.Errorf("response to the request trailers: %v, want one of the kind RequestTrailers", out)
			}
			s.report(200, "via_upstream", "")
			out = phase(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseBody{ResponseBody: piece}})
			if out.GetResponseBody() == nil || (streamedBody(out.GetResponseBody()) == "piece") != duplex {
				t.Errorf("duplex %v: response to a chunk of the answer's body: %v", duplex, out)
			}
			out = phase(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseTrailers{}})
			if out.GetResponseTrailers() == nil {
				t.Errorf("response to the answer's trailers: %v, want one of the kind ResponseTrailers", out)
			}
			s.end()
		})
	}
}

// rawConnection sends HTTP/2 frames that no proper library would send.
type rawConnection struct {
	net.Conn
	framer  *http2.Framer
	header  strings.Builder // encoded
	encoder *hpack.Encoder
}

// dialRaw opens a raw connection to the processor.
func (h *harness) dialRaw() *rawConnection {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	c := &rawConnection{Conn: conn, framer: http2.NewFramer(conn, conn)}
	c.encoder = hpack.NewEncoder(&c.header)
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		h.t.Fatal(err)
	}
	if err := c.framer.WriteSettings(); err != nil {
		h.t.Fatal(err)
	}
	return c
}

// openStream opens a stream to the processor.
func (c *rawConnection) openStream(stream uint32) error {
	c.header.Reset()
	for _, field := range [][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", extprocv3.ExternalProcessor_Process_FullMethodName},
		{":authority", "x"},
		{"content-type", "application/grpc"},
		{"te", "trailers"},
	} {
		if err := c.encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}); err != nil {
			return err
		}
	}
	return c.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      stream,
		BlockFragment: []byte(c.header.String()),
		EndHeaders:    true,
	})
}

// A truncated or malformed message ends only its own stream, whether or not the caller ends the stream after it.
func TestTruncatedMessageEndsItsStreamOnly(t *testing.T) {
	h := start(t, 1, func(o *Options, _ *balancer.Settings) { o.DrainTimeout = -streamGrace + time.Second })
	c := h.dialRaw()
	prefix := func(size uint32) []byte { return binary.BigEndian.AppendUint32([]byte{0}, size) }
	for i, send := range []struct {
		data []byte
		end  bool
	}{
		{append(prefix(1000), 1, 2, 3), true},
		{append(prefix(1000), 1, 2, 3), false},
		{append(prefix(3), 0xff, 0xff, 0xff), false},
		{prefix(1 << 30), false},
	} {
		stream := uint32(2*i + 1)
		if err := c.openStream(stream); err != nil {
			t.Fatal(err)
		}
		if err := c.framer.WriteData(stream, send.end, send.data); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(wait.Timeout)); err != nil {
		t.Fatal(err)
	}
	ended := map[uint32]bool{}
	for len(ended) < 4 {
		next, err := c.framer.ReadFrame()
		if err != nil {
			t.Fatalf("reading frames, streams %v have ended: %v", ended, err)
		}
		switch frame := next.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				if err := c.framer.WriteSettingsAck(); err != nil {
					t.Fatal(err)
				}
			}
		case *http2.HeadersFrame:
			if frame.StreamEnded() {
				ended[frame.StreamID] = true
			}
		case *http2.RSTStreamFrame:
			ended[frame.StreamID] = true
		}
	}
	s := h.open(context.Background())
	if decision := s.request(h.request("pay"), 0); decision.Endpoint == "" {
		t.Errorf("decision on another stream: %+v, want an endpoint", decision)
	}
	s.end()
}

// A caller that never reads is sent no more than its flow-control window. Other callers are served.
func TestCallerThatNeverReadsDoesNotBlockOthers(t *testing.T) {
	h := start(t, 2, nil)
	c := h.dialRaw()
	for n := range uint32(400) {
		if err := c.openStream(2*n + 1); err != nil {
			t.Fatal(err)
		}
		req := h.request("read")
		if n > 3 { // the module must not count all of them as load
			delete(req.Header, "x-time-left-ms")
		}
		m, err := marshal(proxy.RequestHeaders(req, 0))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.framer.WriteData(2*n+1, false, m); err != nil {
			t.Fatal(err)
		}
	}
	wait.Until(t, "the streams", func() bool { return h.server.streams.Load() == 400 })
	for range 100 {
		s := h.open(context.Background())
		decision := s.request(h.request("pay"), 0)
		if decision.Endpoint == "" {
			t.Fatalf("decision for another caller: %+v, want an endpoint", decision)
		}
		s.report(200, "via_upstream", decision.Endpoint)
		s.end()
	}
	c.Close()
	wait.Until(t, "its streams' end", func() bool { return h.server.streams.Load() == 0 && h.openCount() == 0 })
}

// Reading arbitrary headers gives an error or a request, and never panics.
func FuzzHead(f *testing.F) {
	for _, class := range []string{"read", "pay"} {
		m, _ := marshal(proxy.RequestHeaders(proxy.Request{Method: "GET", Path: "/" + class + "/x", Header: map[string]string{
			"x-correlation-id": "1", "x-service-class": class, "x-time-left-ms": "900", "content-length": "4"}}, 1))
		f.Add(m[5:])
	}
	const details = "upstream_reset_before_response_started{remote_connection_failure|x}"
	m, _ := marshal(proxy.ResponseHeaders(200, nil, details, "127.0.0.1:1"))
	f.Add(m[5:])
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := unmarshal(data)
		if err != nil {
			return
		}
		head, err := readHead(in.GetRequestHeaders(), true)
		if err == nil && (head.method == "" || head.path == "") {
			t.Error("a head without method or path is accepted")
		}
		head.fingerprint()
		r := readReport(in, []string{"queue"})
		if r.outcome.Status == balancer.OK && r.code != 200 {
			t.Errorf("an answer with status %d counts as OK", r.code)
		}
		if r.outcome.Status == balancer.Full && r.code != 503 && r.code != 504 {
			t.Errorf("an answer with status %d counts as Full", r.code)
		}
	})
}

// marshal writes a message as gRPC frames it.
func marshal(m *extprocv3.ProcessingRequest) ([]byte, error) {
	data, err := proto.Marshal(m)
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(data))), data...), err
}

// unmarshal reads a message without its gRPC frame.
func unmarshal(data []byte) (*extprocv3.ProcessingRequest, error) {
	m := &extprocv3.ProcessingRequest{}
	return m, proto.Unmarshal(data, m)
}
