package extproc

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"go.uber.org/goleak"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/intake"
	"pinedale/internal/standin/proxy"
	"pinedale/internal/standin/soko"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/httpupstream"
)

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

var classes = []balancer.Class{
	{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 600_000, ClientTimeout: 1_000_000, PriorityWeight: 1},
	{Name: "pay", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupAll, DedupWindow: 1_500_000, LatencyObjective: 600_000, ClientTimeout: 1_000_000, PriorityWeight: 1},
	{Name: "close", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupCell, DedupWindow: 2_000_000, LatencyObjective: 600_000, ClientTimeout: 1_000_000, PriorityWeight: 1},
	{Name: "order", Idempotency: balancer.NotIdempotent, LatencyObjective: 600_000, ClientTimeout: 1_000_000, PriorityWeight: 1},
}

// source is a list that the test changes.
type source struct {
	news chan engine.List
}

func (s *source) Watch(ctx context.Context, after *uint64, tell func(balancer.ListKind, engine.List)) (*uint64, error) {
	for {
		select {
		case l := <-s.news:
			tell(balancer.ListFull, l)
		case <-ctx.Done():
			return after, ctx.Err()
		}
	}
}
func (s *source) Close() {}

// world is a processor with a fleet and a proxy.
type world struct {
	t       *testing.T
	engine  *engine.Engine
	server  *Server
	address string
	fleet   *soko.Fleet
	servers []*soko.Server
	source  *source
	proxy   *proxy.Proxy
	end     context.CancelFunc
	served  chan error
	ids     int
	mu      sync.Mutex
}

// start runs a processor with n servers, until the test ends: then nothing may be
// left of it.
func start(t *testing.T, n int, alter func(*Options, *balancer.Settings)) *world {
	t.Helper()
	w := &world{t: t, fleet: &soko.Fleet{Classes: classes, Seed: 1}, source: &source{make(chan engine.List)}, served: make(chan error, 1)}
	for i := range n {
		s, err := w.fleet.Start(fmt.Sprintf("s-%d", i), i/2)
		if err != nil {
			t.Fatal(err)
		}
		w.servers = append(w.servers, s)
	}
	settings := balancer.Settings{Balancers: 1, Zones: 1, Classes: classes,
		Limits: balancer.Limits{Cancel: true, RetryAfter: true, Hedging: true, MaxAttempts: 3, MaxOpen: 10_000,
			MaxRetryAfter: 1_000_000, DialTimeout: 250_000},
		Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5}}
	options := Options{Streams: 20_000, Backlog: 500, Retries: true, Entries: 10_000, Fields: nil,
		Drain: time.Second, Log: slog.New(slog.DiscardHandler)}
	if alter != nil {
		alter(&options, &settings)
	}
	engineCtx, stop := context.WithCancel(context.Background())
	up := httpupstream.New(httpupstream.Options{DialTimeout: time.Second, Idle: time.Second, Connections: 100})
	var err error
	w.engine, err = engine.New(engineCtx, engine.Options{Settings: settings, Seed: 7, Zones: []string{"a"},
		CachedList: w.list(w.servers...), Upstream: up, Source: w.source, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	w.server = New(w.engine, options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.address = listener.Addr().String()
	ctx, end := context.WithCancel(context.Background())
	w.end = end
	go w.engine.Run()
	go func() { w.served <- w.server.Serve(ctx, listener) }()
	if w.proxy, err = proxy.Dial(w.address, 2); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.proxy.Close()
		end()
		if err := <-w.served; err != nil {
			t.Errorf("the processor ended with %v", err)
		}
		stop()
		for _, s := range w.servers {
			s.Close()
		}
		goleak.VerifyNone(t)
	})
	wait.Until(t, "the servers to be known", w.engine.HasEndpoints)
	return w
}

func (w *world) list(servers ...*soko.Server) engine.List {
	l := engine.List{Version: 1, Complete: true}
	for _, s := range servers {
		l.Hosts = append(l.Hosts, engine.Host{Name: s.Name, Address: s.Address, Site: "a", Cell: uint16(s.Cell), Weight: 1})
	}
	return l
}

// request is a client's request of a class, with an id and a key of its own.
func (w *world) request(class string) proxy.Request {
	w.mu.Lock()
	w.ids++
	id := strconv.Itoa(w.ids)
	w.mu.Unlock()
	q := proxy.Request{Method: "POST", Path: "/" + class + "/x", Body: "body", Header: map[string]string{
		"x-correlation-id": id, "x-service-class": class, "x-time-left-ms": "900"}}
	switch class {
	case "read":
		q.Method, q.Body = "GET", ""
	case "pay", "close":
		q.Header["idempotency-key"] = "key-" + id
	}
	return q
}

// stream is one stream that a test speaks on by hand.
type stream struct {
	extprocv3.ExternalProcessor_ProcessClient
	t *testing.T
}

func (w *world) open(ctx context.Context) stream {
	w.t.Helper()
	s, err := w.proxy.Stream(ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	return stream{s, w.t}
}

func (s stream) ask(q proxy.Request, attempt int) proxy.Verdict {
	s.t.Helper()
	if err := s.Send(proxy.Headers(q, attempt)); err != nil {
		s.t.Fatal(err)
	}
	return s.verdict()
}

func (s stream) verdict() proxy.Verdict {
	s.t.Helper()
	m, err := s.Recv()
	if err != nil {
		s.t.Fatal(err)
	}
	v, err := proxy.Read(m)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

// report reports an answer and returns the response to it.
func (s stream) report(code int, details string, served string) *extprocv3.ProcessingResponse {
	s.t.Helper()
	if err := s.Send(proxy.Report(code, nil, details, served)); err != nil {
		s.t.Fatal(err)
	}
	m, err := s.Recv()
	if err != nil {
		s.t.Fatal(err)
	}
	return m
}

func (s stream) end() {
	s.CloseSend()
	if m, err := s.Recv(); err != io.EOF {
		s.t.Errorf("at the stream's end: %v, %v", m, err)
	}
}

// ends waits for the stream's end and returns its status.
func (s stream) ends() codes.Code {
	s.t.Helper()
	for {
		if _, err := s.Recv(); err == io.EOF {
			return codes.OK
		} else if err != nil {
			return status.Code(err)
		}
	}
}

// held is what is held of asks, rounds and requests; keys may be remembered.
func (w *world) held() int {
	asks, rounds, _ := w.server.Held()
	return asks + rounds
}

func again(m *extprocv3.ProcessingResponse) bool {
	for _, h := range m.GetResponseHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
		if h.Header.Key == headerAgain {
			return true
		}
	}
	return false
}

// A verdict names its endpoint as header and as metadata, with the time-out and
// the attempt, and asks for no bodies.
func TestVerdict(t *testing.T) {
	w := start(t, 2, nil)
	s := w.open(context.Background())
	if err := s.Send(proxy.Headers(w.request("pay"), 1)); err != nil {
		t.Fatal(err)
	}
	m, err := s.Recv()
	if err != nil {
		t.Fatal(err)
	}
	v, err := proxy.Read(m)
	if err != nil {
		t.Fatal(err)
	}
	if v.Endpoint != w.servers[0].Address && v.Endpoint != w.servers[1].Address || v.Metadata != v.Endpoint {
		t.Errorf("endpoint %q, metadata %q", v.Endpoint, v.Metadata)
	}
	left, _ := strconv.Atoi(v.Headers[headerTimeout])
	if left <= 0 || left > 900 || v.Headers[headerTimeLeft] != v.Headers[headerTimeout] || v.Headers[headerRetries] != "0" || v.Headers[headerAttempt] != "1" {
		t.Errorf("headers %v", v.Headers)
	}
	if o := m.ModeOverride; o.GetRequestBodyMode() != modev3.ProcessingMode_NONE || o.GetResponseBodyMode() != modev3.ProcessingMode_NONE ||
		o.GetResponseHeaderMode() != modev3.ProcessingMode_SEND {
		t.Errorf("mode %v", o)
	}
	if m := s.report(200, "via_upstream", v.Endpoint); m.GetResponseHeaders() == nil || again(m) {
		t.Errorf("to the report: %v", m)
	}
	s.end()
	wait.Until(t, "nothing to be held", func() bool { return w.held() == 0 })
}

// byTier routes by one header, with bounds of the route's own.
type byTier struct{ intake.Router }

func (byTier) Routed() bool { return true }
func (byTier) Route(in *intake.Request) (*intake.Bounds, bool) {
	if in.Host != "till.example" || in.Header.Get("X-Tier") != "gold" {
		return nil, false
	}
	return &intake.Bounds{Class: 1, ClassName: classes[1].Name, Repeat: classes[1].Idempotency, Methods: true, TryFor: 200_000, Attempts: 1}, true
}
func (byTier) Tenants() int { return 0 }

// Routes may go by any header that the proxy passes on; a route's bounds hold for its
// verdicts: the time for an attempt, and how many there are.
func TestRoutedVerdicts(t *testing.T) {
	var parser *intake.Parser
	w := start(t, 2, func(o *Options, s *balancer.Settings) {
		parser = intake.NewParser(s)
		parser.Use(byTier{})
		o.Parser = parser
	})
	ask := func(alter func(map[string]string)) (*extprocv3.ProcessingResponse, stream) {
		q := w.request(classes[1].Name)
		q.Header["x-tier"], q.Header[":authority"] = "gold", "till.example"
		alter(q.Header)
		s := w.open(context.Background())
		if err := s.Send(proxy.Headers(q, 1)); err != nil {
			t.Fatal(err)
		}
		m, err := s.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return m, s
	}
	m, s := ask(func(map[string]string) {})
	v, err := proxy.Read(m)
	if err != nil {
		t.Fatal(err)
	}
	if left, _ := strconv.Atoi(v.Headers[headerTimeout]); left <= 0 || left > 200 {
		t.Errorf("headers %v, want 200 ms at most", v.Headers)
	}
	if m := s.report(500, "via_upstream", v.Endpoint); again(m) {
		t.Error("a route of one attempt is asked for again")
	}
	s.end()
	for _, alter := range []func(map[string]string){
		func(h map[string]string) { h["x-tier"] = "tin" }, func(h map[string]string) { delete(h, "x-tier") }, func(h map[string]string) { h[":authority"] = "x" }} {
		m, s := ask(alter)
		if r := m.GetImmediateResponse(); r == nil || r.Status.Code != 404 {
			t.Errorf("of no route: %v", m)
		}
		s.end()
	}
	wait.Until(t, "nothing to be held", func() bool { return w.held() == 0 })
}

// What can't be a request gets the client's error at once, as through the HTTP
// front; no server hears of it.
func TestMalformedHeads(t *testing.T) {
	w := start(t, 1, nil)
	for _, c := range []struct {
		name  string
		alter func(*proxy.Request)
		code  int
		says  string
	}{
		{"no id", func(q *proxy.Request) { delete(q.Header, "x-correlation-id") }, 400, "X-Correlation-Id"},
		{"no class", func(q *proxy.Request) { delete(q.Header, "x-service-class") }, 400, "X-Service-Class"},
		{"no key", func(q *proxy.Request) { delete(q.Header, "idempotency-key") }, 400, "Idempotency-Key"},
		{"an endless key", func(q *proxy.Request) { q.Header["idempotency-key"] = strings.Repeat("k", 300) }, 400, "Idempotency-Key"},
		{"no time left", func(q *proxy.Request) { delete(q.Header, "x-time-left-ms") }, 400, "X-Time-Left-Ms"},
		{"wrong method", func(q *proxy.Request) { q.Method = "PUT" }, 405, "POST"},
		{"no method", func(q *proxy.Request) { q.Method = "" }, 400, ":method"},
		{"another path", func(q *proxy.Request) { q.Path = "/read/x" }, 400, "path"},
		{"a query only", func(q *proxy.Request) { q.Path = "?pay" }, 400, "path"},
		{"a length that is none", func(q *proxy.Request) { q.Body, q.Header["content-length"] = "", "x" }, 413, "content-length"},
		{"a body too large", func(q *proxy.Request) { q.Body = strings.Repeat("x", 65537) }, 413, "65536"},
		{"an attempt that is none", func(q *proxy.Request) { q.Header["x-envoy-attempt-count"] = "0" }, 400, "x-envoy-attempt-count"},
	} {
		q := w.request("pay")
		c.alter(&q)
		s := w.open(context.Background())
		if v := s.ask(q, 0); v.Code != c.code || !strings.Contains(v.Body, c.says) {
			t.Errorf("%s: %+v, want %d with %q", c.name, v, c.code, c.says)
		}
		s.end()
	}
	doubled := proxy.Headers(w.request("pay"), 0)
	h := doubled.GetRequestHeaders().Headers
	h.Headers = append(h.Headers, &corev3.HeaderValue{Key: "idempotency-key", Value: "other"})
	s := w.open(context.Background())
	s.Send(doubled)
	if v := s.verdict(); v.Code != 400 || !strings.Contains(v.Body, "2 times") {
		t.Errorf("a doubled header: %+v", v)
	}
	s.end()
	h.Headers = append(h.Headers[:len(h.Headers)-1], &corev3.HeaderValue{Key: ":path", Value: "/pay/y"}, nil)
	s = w.open(context.Background())
	s.Send(doubled)
	if v := s.verdict(); v.Code != 400 || !strings.Contains(v.Body, ":path") {
		t.Errorf("a doubled path: %+v", v)
	}
	s.end()
	if n := w.held(); n != 0 {
		t.Errorf("%d asks and rounds are held", n)
	}
}

// A stream in an impossible order ends with a clear status, and no other stream
// notices.
func TestImpossibleOrder(t *testing.T) {
	w := start(t, 2, nil)
	other := w.open(context.Background())
	kept := other.ask(w.request("pay"), 0)
	body := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{RequestBody: &extprocv3.HttpBody{Body: []byte("x"), EndOfStream: true}}}
	answerBody := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseBody{ResponseBody: &extprocv3.HttpBody{}}}
	trailers := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestTrailers{RequestTrailers: &extprocv3.HttpTrailers{}}}
	answerTrailers := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseTrailers{ResponseTrailers: &extprocv3.HttpTrailers{}}}
	report := proxy.Report(200, nil, "", "")
	ask := func() *extprocv3.ProcessingRequest { return proxy.Headers(w.request("pay"), 0) }
	observed := ask()
	observed.ObservabilityMode = true
	for name, messages := range map[string][]*extprocv3.ProcessingRequest{
		"a report first":            {report},
		"a body first":              {body},
		"trailers first":            {trailers},
		"nothing":                   {{}},
		"nothing after the ask":     {ask(), {}},
		"two asks":                  {ask(), ask()},
		"two reports":               {ask(), report, report},
		"a body after its end":      {ask(), body, body},
		"trailers after the end":    {ask(), body, trailers},
		"an answer's body too soon": {ask(), answerBody},
		"its trailers too soon":     {ask(), answerTrailers},
		"observability mode":        {observed},
	} {
		s := w.open(context.Background())
		for _, m := range messages {
			if err := s.Send(m); err != nil && err != io.EOF {
				t.Fatal(err)
			}
		}
		s.CloseSend()
		if got := s.ends(); got != codes.InvalidArgument {
			t.Errorf("%s: %v, want InvalidArgument", name, got)
		}
	}
	if m := other.report(200, "via_upstream", kept.Endpoint); m.GetResponseHeaders() == nil {
		t.Errorf("the other stream: %v", m)
	}
	other.end()
	wait.Until(t, "nothing to be held", func() bool { return w.held() == 0 })
}

// A proxy that could not be told to keep bodies gets an answer to each phase; in
// full duplex mode each piece comes back as it is.
func TestBodyPhases(t *testing.T) {
	for _, duplex := range []bool{false, true} {
		t.Run(fmt.Sprint("duplex ", duplex), func(t *testing.T) {
			w := start(t, 1, nil)
			s := w.open(context.Background())
			m := proxy.Headers(w.request("pay"), 0)
			if duplex {
				m.ProtocolConfig = &extprocv3.ProtocolConfiguration{RequestBodyMode: modev3.ProcessingMode_FULL_DUPLEX_STREAMED,
					ResponseBodyMode: modev3.ProcessingMode_FULL_DUPLEX_STREAMED}
			}
			s.Send(m)
			s.verdict()
			phase := func(m *extprocv3.ProcessingRequest) *extprocv3.ProcessingResponse {
				s.Send(m)
				out, err := s.Recv()
				if err != nil {
					t.Fatal(err)
				}
				return out
			}
			piece := &extprocv3.HttpBody{Body: []byte("piece")}
			out := phase(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{RequestBody: piece}})
			if got := string(out.GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse().GetBody()); out.GetRequestBody() == nil || (got == "piece") != duplex {
				t.Errorf("duplex %v: to a piece of the body: %v", duplex, out)
			}
			if out := phase(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestTrailers{}}); out.GetRequestTrailers() == nil {
				t.Errorf("to the trailers: %v", out)
			}
			s.report(200, "via_upstream", "")
			out = phase(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseBody{ResponseBody: piece}})
			if got := string(out.GetResponseBody().GetResponse().GetBodyMutation().GetStreamedResponse().GetBody()); out.GetResponseBody() == nil || (got == "piece") != duplex {
				t.Errorf("duplex %v: to a piece of the answer: %v", duplex, out)
			}
			if out := phase(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseTrailers{}}); out.GetResponseTrailers() == nil {
				t.Errorf("to the answer's trailers: %v", out)
			}
			s.end()
		})
	}
}

// The caller gives up before the verdict: nothing counts as sent. The module holds
// no verdict back here, so the engine is kept busy until the caller is gone.
func TestCallerGivesUpBeforeTheVerdict(t *testing.T) {
	w := start(t, 1, nil)
	for range 20 {
		busy, free := make(chan struct{}), make(chan struct{})
		w.engine.Post(func(balancer.Micros) { close(busy); <-free })
		<-busy
		ctx, cancel := context.WithCancel(context.Background())
		s := w.open(ctx)
		s.Send(proxy.Headers(w.request("order"), 0))
		wait.Until(t, "the ask", func() bool { return w.server.backlog.Load() == 1 })
		cancel()
		s.ends()
		wait.Until(t, "the stream's end", func() bool { return w.server.streams.Load() == 0 })
		close(free)
		wait.Until(t, "nothing to be held", func() bool { return w.held() == 0 })
	}
	if _, _, entries := w.server.Held(); entries != 0 {
		t.Errorf("%d requests are remembered that were never sent", entries)
	}
}

// At the same moment as the verdict the request may have run: an unsafe one is not
// handed out again, and nothing stays in flight.
func TestCallerGivesUpAtTheVerdict(t *testing.T) {
	w := start(t, 2, nil)
	ctx, cancel := context.WithCancel(context.Background())
	s, q := w.open(ctx), w.request("order")
	if v := s.ask(q, 0); v.Endpoint == "" {
		t.Fatalf("verdict %+v", v)
	}
	cancel()
	wait.Until(t, "nothing to be held", func() bool { return w.held() == 0 })
	next := w.open(context.Background())
	if v := next.ask(q, 2); v.Code != 409 {
		t.Errorf("asked again: %+v, want a conflict", v)
	}
	next.end()
}

// A caller that never reports and keeps its stream is released at the deadline,
// and told the final answer when it reports after all.
func TestNoReportUntilTheDeadline(t *testing.T) {
	w := start(t, 1, nil)
	s, q := w.open(context.Background()), w.request("close")
	q.Header["x-time-left-ms"] = "100"
	s.ask(q, 0)
	requests := func() (n int) {
		done := make(chan struct{})
		w.engine.Post(func(balancer.Micros) { n, _ = w.engine.Counts(); close(done) })
		<-done
		return
	}
	wait.Until(t, "the request's release", func() bool { return requests() == 0 })
	if m := s.report(504, "response_timeout", ""); m.GetImmediateResponse().GetStatus().GetCode() != 502 {
		t.Errorf("to the late report: %v, want a failure", m)
	}
	s.end()
}

// Two asks about one keyed request, over two connections, get one verdict; another
// request under the key, and one in use under another id, are told apart.
func TestOneVerdictOverTwoConnections(t *testing.T) {
	w := start(t, 4, nil)
	for range 50 {
		q := w.request("pay")
		other := proxy.Request{Method: q.Method, Path: q.Path, Body: q.Body, Header: map[string]string{}}
		for k, v := range q.Header {
			other.Header[k] = v
		}
		other.Header["x-correlation-id"] += "b" // a client's retry
		a, b := w.open(context.Background()), w.open(context.Background())
		a.Send(proxy.Headers(q, 0))
		b.Send(proxy.Headers(other, 0))
		x, y := a.verdict(), b.verdict()
		if x.Endpoint == "" || x.Endpoint != y.Endpoint {
			t.Fatalf("told %q and %q", x.Endpoint, y.Endpoint)
		}
		a.report(200, "via_upstream", x.Endpoint)
		a.end()
		c := w.open(context.Background())
		if z := c.ask(q, 0); z.Endpoint != x.Endpoint {
			t.Fatalf("after the outcome: %+v, want %q", z, x.Endpoint)
		}
		c.end()
		b.end()
		q.Path += "y"
		d := w.open(context.Background())
		if z := d.ask(q, 0); z.Code != 422 {
			t.Fatalf("another request under the key: %+v, want 422", z)
		}
		d.end()
	}
}

// A failure that proves that the request never ran lets any class be asked about
// again; one that proves nothing does so as the class permits. What is not asked
// again is answered with what it promises.
func TestReportsAndRetries(t *testing.T) {
	w := start(t, 4, nil)
	const refused, reset = "upstream_reset_before_response_started{remote_connection_failure|delayed_connect_error}",
		"upstream_reset_before_response_started{connection_termination}"
	for _, c := range []struct {
		class, details string
		code           int
		again          bool
		status         int // that the client gets if the proxy does not ask again; 0: as it is
	}{
		{"order", refused, 503, true, 0},
		{"order", reset, 503, false, 502},
		{"order", "via_upstream", 500, false, 502},
		{"order", "upstream_reset_before_response_started{overflow}", 503, true, 0},
		{"order", "some_filter_denied", 403, false, 502},
		{"close", reset, 503, true, 502},
		{"pay", "via_upstream", 500, true, 0},
		{"read", reset, 503, true, 502},
	} {
		q := w.request(c.class)
		s := w.open(context.Background())
		first := s.ask(q, 1)
		m := s.report(c.code, c.details, first.Endpoint)
		if again(m) != c.again {
			t.Fatalf("%s after %q: %v, want another attempt: %v", c.class, c.details, m, c.again)
		}
		got := 0
		for _, h := range m.GetResponseHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
			if h.Header.Key == ":status" {
				got, _ = strconv.Atoi(string(h.Header.RawValue))
			}
		}
		if m.GetImmediateResponse() != nil {
			got = int(m.GetImmediateResponse().Status.Code)
		}
		if got != c.status {
			t.Errorf("%s after %q: status %d, want %d", c.class, c.details, got, c.status)
		}
		s.end()
		if !c.again {
			continue
		}
		next := w.open(context.Background())
		v := next.ask(q, 2)
		if v.Endpoint == "" || v.Endpoint == first.Endpoint || v.Headers[headerAttempt] != "2" {
			t.Errorf("%s: the second verdict %+v after %s", c.class, v, first.Endpoint)
		}
		next.report(200, "via_upstream", v.Endpoint)
		next.end()
	}
	wait.Until(t, "nothing to be held", func() bool { return w.held() == 0 })
}

// The endpoint that a caller says served the request is believed over our choice:
// the failure counts against it, and a keyed repeat stays in its cell.
func TestServedEndpointIsBelieved(t *testing.T) {
	w := start(t, 4, nil)
	cell := func(address string) int {
		for _, s := range w.servers {
			if s.Address == address {
				return s.Cell
			}
		}
		return -1
	}
	for range 10 {
		q := w.request("close")
		s := w.open(context.Background())
		first := s.ask(q, 1)
		var served string
		for _, o := range w.servers {
			if o.Cell != cell(first.Endpoint) {
				served = o.Address
			}
		}
		if m := s.report(500, "via_upstream", served); !again(m) {
			t.Fatalf("to the report: %v", m)
		}
		s.end()
		next := w.open(context.Background())
		if v := next.ask(q, 2); cell(v.Endpoint) != cell(served) {
			t.Fatalf("the second verdict is of cell %d, the first was served in %d", cell(v.Endpoint), cell(served))
		}
		next.end()
	}
}

// A server that drains or vanishes between a verdict and its use is not handed out
// any more: neither to another ask about the request, nor as a further attempt.
func TestServerGoesBetweenVerdictAndUse(t *testing.T) {
	w := start(t, 3, nil)
	q := w.request("pay")
	s := w.open(context.Background())
	first := s.ask(q, 1)
	var rest []*soko.Server
	for _, o := range w.servers {
		if o.Address != first.Endpoint {
			rest = append(rest, o)
		}
	}
	w.source.news <- w.list(rest...)
	// The list is read in order with what is asked.
	second := w.open(context.Background())
	wait.Until(t, "the list", func() bool {
		found := uint32(1)
		done := make(chan struct{})
		w.engine.Post(func(balancer.Micros) { found = w.engine.EndpointAt(first.Endpoint); close(done) })
		<-done
		return found == 0
	})
	if v := second.ask(q, 1); v.Endpoint == first.Endpoint || v.Code != 409 {
		t.Errorf("a replay of a verdict whose server is gone: %+v", v)
	}
	second.end()
	// The first copy failed: the further attempt goes elsewhere.
	if m := s.report(500, "via_upstream", first.Endpoint); !again(m) {
		t.Fatalf("to the report: %v", m)
	}
	s.end()
	w.source.news <- w.list(rest[0])
	next := w.open(context.Background())
	wait.Until(t, "the list", func() bool {
		found := uint32(1)
		done := make(chan struct{})
		w.engine.Post(func(balancer.Micros) { found = w.engine.EndpointAt(rest[1].Address); close(done) })
		<-done
		return found == 0
	})
	if v := next.ask(q, 2); v.Endpoint != rest[0].Address && v.Endpoint != "" {
		t.Errorf("the further attempt goes to %q, want what is left: %q", v.Endpoint, rest[0].Address)
	}
	next.end()
}

// Where the processor is saturated, asks beyond the backlog are refused at once.
func TestSaturated(t *testing.T) {
	w := start(t, 1, func(o *Options, _ *balancer.Settings) { o.Backlog = 3 })
	busy, free := make(chan struct{}), make(chan struct{})
	w.engine.Post(func(balancer.Micros) { close(busy); <-free })
	<-busy
	var waiting []stream
	for range 3 {
		s := w.open(context.Background())
		s.Send(proxy.Headers(w.request("pay"), 0))
		waiting = append(waiting, s)
	}
	wait.Until(t, "the backlog", func() bool { return w.server.backlog.Load() == 3 })
	s := w.open(context.Background())
	if v := s.ask(w.request("pay"), 0); v.Code != 503 || v.After == "" {
		t.Errorf("beyond the backlog: %+v, want a refusal with Retry-After", v)
	}
	s.end()
	close(free)
	for _, s := range waiting {
		if v := s.verdict(); v.Endpoint == "" {
			t.Errorf("within the backlog: %+v", v)
		}
		s.end()
	}
}

// Streams beyond the limit end with a clear status; those that say nothing hold
// little, and end when any caller that lives would have ended them.
func TestIdleStreams(t *testing.T) {
	const most, each = 10_000, 32 << 10 // bytes that one may hold, both its ends counted
	w := start(t, 1, func(o *Options, _ *balancer.Settings) { o.Streams, o.Drain = most, -streamGrace+6*time.Second })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	held := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := held()
	var idle []stream
	for range most {
		idle = append(idle, w.open(ctx))
	}
	wait.Until(t, "all streams", func() bool { return w.server.streams.Load() == most })
	if n := (held() - before) / most; n > each {
		t.Errorf("an idle stream holds %d bytes, want at most %d", n, each)
	}
	s, err := w.proxy.Stream(context.Background())
	if err == nil {
		_, err = s.Recv()
	}
	if status.Code(err) != codes.ResourceExhausted {
		t.Errorf("one stream too many: %v, want ResourceExhausted", err)
	}
	for _, s := range idle {
		if got := s.ends(); got != codes.DeadlineExceeded {
			t.Fatalf("an idle stream ends with %v, want DeadlineExceeded", got)
		}
	}
	wait.Until(t, "the streams' end", func() bool { return w.server.streams.Load() == 0 })
	after := w.open(context.Background())
	if v := after.ask(w.request("pay"), 0); v.Endpoint == "" {
		t.Errorf("after the idle ones: %+v", v)
	}
	after.end()
}

// rawConnection speaks HTTP/2 by hand: what no proper library would send.
type rawConnection struct {
	net.Conn
	framer *http2.Framer
	heads  strings.Builder
	coder  *hpack.Encoder
}

func (w *world) raw() *rawConnection {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	c := &rawConnection{Conn: conn, framer: http2.NewFramer(conn, conn)}
	c.coder = hpack.NewEncoder(&c.heads)
	io.WriteString(conn, http2.ClientPreface)
	c.framer.WriteSettings()
	return c
}

// head opens a stream to the processor.
func (c *rawConnection) head(stream uint32) error {
	c.heads.Reset()
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", extprocv3.ExternalProcessor_Process_FullMethodName},
		{":authority", "x"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		c.coder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: []byte(c.heads.String()), EndHeaders: true})
}

// Half a message ends its stream alone, whether the caller ends there or just
// stops; rubbish in place of one, too.
func TestHalfAMessage(t *testing.T) {
	w := start(t, 1, func(o *Options, _ *balancer.Settings) { o.Drain = -streamGrace + time.Second })
	c := w.raw()
	head := func(size uint32) []byte { return binary.BigEndian.AppendUint32([]byte{0}, size) }
	for i, send := range []struct {
		data []byte
		end  bool
	}{{append(head(1000), 1, 2, 3), true}, {append(head(1000), 1, 2, 3), false}, {append(head(3), 0xff, 0xff, 0xff), false},
		{head(1 << 30), false}} {
		stream := uint32(2*i + 1)
		if err := c.head(stream); err != nil {
			t.Fatal(err)
		}
		if err := c.framer.WriteData(stream, send.end, send.data); err != nil {
			t.Fatal(err)
		}
	}
	c.SetReadDeadline(time.Now().Add(patience))
	ended := map[uint32]bool{}
	for len(ended) < 4 {
		f, err := c.framer.ReadFrame()
		if err != nil {
			t.Fatalf("after the end of %v: %v", ended, err)
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				c.framer.WriteSettingsAck()
			}
		case *http2.HeadersFrame:
			if f.StreamEnded() {
				ended[f.StreamID] = true
			}
		case *http2.RSTStreamFrame:
			ended[f.StreamID] = true
		}
	}
	s := w.open(context.Background())
	if v := s.ask(w.request("pay"), 0); v.Endpoint == "" {
		t.Errorf("another stream: %+v", v)
	}
	s.end()
}

// A caller that never reads gets no more than its window; others are served.
func TestCallerThatNeverReads(t *testing.T) {
	w := start(t, 2, nil)
	c := w.raw()
	for n := range uint32(400) {
		if err := c.head(2*n + 1); err != nil {
			t.Fatal(err)
		}
		q := w.request("read")
		if n > 3 { // the module is not to take all of them for load
			delete(q.Header, "x-time-left-ms")
		}
		m, err := marshal(proxy.Headers(q, 0))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.framer.WriteData(2*n+1, false, m); err != nil {
			t.Fatal(err)
		}
	}
	wait.Until(t, "the asks", func() bool { return w.server.streams.Load() == 400 })
	for range 100 {
		s := w.open(context.Background())
		v := s.ask(w.request("pay"), 0)
		if v.Endpoint == "" {
			t.Fatalf("beside it: %+v", v)
		}
		s.report(200, "via_upstream", v.Endpoint)
		s.end()
	}
	c.Close()
	wait.Until(t, "its streams' end", func() bool { return w.server.streams.Load() == 0 && w.held() == 0 })
}

// SIGTERM's way: health says so, open verdicts finish, callers are told to go, and
// nothing new is taken.
func TestDrain(t *testing.T) {
	w := start(t, 2, nil)
	conn, err := grpc.NewClient(w.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	health, err := healthv1.NewHealthClient(conn).Watch(context.Background(), &healthv1.HealthCheckRequest{
		Service: extprocv3.ExternalProcessor_ServiceDesc.ServiceName})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := health.Recv(); err != nil || m.Status != healthv1.HealthCheckResponse_SERVING {
		t.Fatalf("health %v, %v", m, err)
	}
	s := w.open(context.Background())
	v := s.ask(w.request("pay"), 0)
	w.end()
	if m, err := health.Recv(); err != nil || m.Status != healthv1.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health at the end: %v, %v", m, err)
	}
	conn.Close()
	wait.Until(t, "the end of accepting", func() bool {
		c, err := net.Dial("tcp", w.address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	fresh, err := proxy.Dial(w.address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer fresh.Close()
	if a := fresh.Do(context.Background(), w.request("pay"), proxy.Behaviour{}); a.Err == nil {
		t.Errorf("a new ask: %+v", a)
	}
	if m := s.report(200, "via_upstream", v.Endpoint); m.GetResponseHeaders() == nil {
		t.Errorf("the open one: %v", m)
	}
	s.end()
	err = <-w.served
	w.served <- err
	if err != nil {
		t.Errorf("the processor ended with %v", err)
	}
}

// A head that a caller made up is an error or a request, and never a panic.
func FuzzHead(f *testing.F) {
	for _, class := range []string{"read", "pay"} {
		m, _ := marshal(proxy.Headers(proxy.Request{Method: "GET", Path: "/" + class + "/x", Header: map[string]string{
			"x-correlation-id": "1", "x-service-class": class, "x-time-left-ms": "900", "content-length": "4"}}, 1))
		f.Add(m[5:])
	}
	m, _ := marshal(proxy.Report(200, nil, "upstream_reset_before_response_started{remote_connection_failure|x}", "127.0.0.1:1"))
	f.Add(m[5:])
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := unmarshal(data)
		if err != nil {
			return
		}
		h, err := readHead(in.GetRequestHeaders(), true)
		if err == nil && (h.method == "" || h.path == "") {
			t.Error("a head without method or path")
		}
		h.print()
		r := readReport(in, []string{"queue"})
		if r.outcome.Status == balancer.OK && r.code != 200 {
			t.Errorf("served with %d", r.code)
		}
		if r.outcome.Status == balancer.Full && r.code != 503 && r.code != 504 {
			t.Errorf("turned away with %d", r.code)
		}
	})
}
