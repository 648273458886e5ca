package http3front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
	"pinedale/internal/standin/cert"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/httpupstream"
)

var classes = []balancer.Class{
	{Name: "read", Idempotency: balancer.Idempotent,
		LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1},
	{Name: "pay", Idempotency: balancer.IdempotentWithKey, DedupWindow: 1_500_000,
		LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1},
}

// harness is a front with two servers behind it and a UDP relay in front of it.
type harness struct {
	t      *testing.T
	fleet  *fakebackend.Fleet
	engine *engine.Engine
	server *Server
	direct string // the front's address, without the relay
	relay  *udprelay.Relay
	pair   *cert.Pair
	stop   context.CancelFunc
	served chan error

	mu   sync.Mutex
	ids  int
	up   engine.Upstream
	opts Options
}

// start runs a front whose options alter may change, until the test ends.
func start(t *testing.T, work time.Duration, alter func(*Options)) *harness {
	t.Helper()
	h := &harness{t: t, fleet: &fakebackend.Fleet{Classes: classes, ServiceTime: work}, pair: cert.New(t), served: make(chan error, 1)}
	list := engine.List{Complete: true}
	var servers []*fakebackend.Server
	for n := range 2 {
		s, err := h.fleet.Start(fmt.Sprint("s-", n), n)
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, s)
		list.Hosts = append(list.Hosts, engine.Host{Name: s.Name, Address: s.Address, Site: "a", Weight: 1})
	}
	engineCtx, stop := context.WithCancel(context.Background())
	up := httpupstream.New(httpupstream.Options{DialTimeout: time.Second, Idle: time.Second, Connections: 500})
	var err error
	h.engine, err = engine.New(engineCtx, engine.Options{
		Seed:     1,
		Zones:    []string{"a"},
		Upstream: up,
		Log:      slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{
			Balancers: 1,
			Zones:     1,
			Classes:   classes,
			Contract:  balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5},
			Limits: balancer.Limits{
				Cancel: true, RetryAfter: true, MaxAttempts: 3, MaxOpen: 1000, MaxRetryAfter: 1_000_000},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	o := Options{
		KeyStore:    h.pair.CertificateStore(t),
		Connections: 100,
		Streams:     50,
		BodyBytes:   1 << 20,
		Log:         slog.New(slog.DiscardHandler),
	}
	if alter != nil {
		alter(&o)
	}
	h.up, h.opts = up, o
	h.server = New(h.engine, up, o)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.direct = conn.LocalAddr().String()
	ctx, end := context.WithCancel(context.Background())
	h.stop = end
	go h.engine.Run()
	h.engine.Call(func(now balancer.Micros) { h.engine.UpdateEndpoints(now, balancer.ListFull, list) })
	go func() { h.served <- h.server.Serve(ctx, conn) }()
	if h.relay, err = udprelay.Start(conn.LocalAddr().String(), udprelay.Script{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.stop()
		if err := <-h.served; err != nil {
			t.Errorf("the front ended with %v", err)
		}
		stop()
		h.relay.Close()
		for _, s := range servers {
			s.Close()
		}
		goleak.VerifyNone(t)
	})
	return h
}

// newClient returns a client with a connection of its own, through the relay. It sends keep-alives, as phones
// do: a server learns a client's new address from packets that arrive from there.
func (h *harness) newClient() *http3.Transport {
	c := &http3.Transport{
		TLSClientConfig: h.pair.Client,
		QUICConfig:      &quic.Config{MaxIdleTimeout: 10 * time.Second, KeepAlivePeriod: 100 * time.Millisecond},
	}
	h.t.Cleanup(func() { c.Close() })
	return c
}

// newRequest returns a request through the relay, with an id and a key of its own.
func (h *harness) newRequest(method, class, body string) *http.Request {
	h.mu.Lock()
	h.ids++
	id := h.ids
	h.mu.Unlock()
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "https://"+h.relay.Address+"/"+class+"/x", in)
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprint("r-", id))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", "3000")
	if class == "pay" {
		r.Header.Set("Idempotency-Key", fmt.Sprint("k-", id))
	}
	return r
}

// roundTrip sends a request and returns the status and the body, or 0 and the error.
func (h *harness) roundTrip(c *http3.Transport, r *http.Request) (int, string) {
	out, err := c.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer out.Body.Close()
	text, err := io.ReadAll(out.Body)
	if err != nil {
		return 0, err.Error()
	}
	return out.StatusCode, string(text)
}

// Requests are checked and answered as on the other fronts.
func TestRequestsAreCheckedAsOnOtherFronts(t *testing.T) {
	h := start(t, 0, nil)
	c := h.newClient()
	hugeBody := strings.Repeat("x", httpmsg.MaxBodyBytes+1)
	unknownLength := func(r *http.Request) { r.ContentLength = -1 }
	without := func(header string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Del(header) }
	}
	for _, x := range []struct {
		name  string
		r     *http.Request
		alter func(*http.Request)
		code  int
		says  string
	}{
		{"idempotent", h.newRequest("GET", "read", ""), nil, 200, "done"},
		{"with a key", h.newRequest("POST", "pay", "body"), nil, 200, "done"},
		{"of unknown length", h.newRequest("POST", "pay", "body"), unknownLength, 200, "done"},
		{"no id", h.newRequest("GET", "read", ""), without("X-Correlation-Id"), 400, "X-Correlation-Id"},
		{"no key", h.newRequest("POST", "pay", "body"), without("Idempotency-Key"), 400, "Idempotency-Key"},
		{"a GET with a body", h.newRequest("GET", "read", "body"), nil, 400, "no body"},
		{"a wrong method", h.newRequest("PUT", "pay", "body"), nil, 405, "POST"},
		{"a huge body", h.newRequest("POST", "pay", hugeBody), nil, 413, "65536"},
		{"a huge body of unknown length", h.newRequest("POST", "pay", hugeBody), unknownLength, 413, "65536"},
		{"no class", h.newRequest("GET", "gift", ""), nil, 400, "gift"},
	} {
		if x.alter != nil {
			x.alter(x.r)
		}
		if code, text := h.roundTrip(c, x.r); code != x.code || !strings.Contains(text, x.says) {
			t.Errorf("%s: %d %q, want %d with %q", x.name, code, text, x.code, x.says)
		}
	}
	r := h.newRequest("GET", "read", "")
	r.URL.Path = "/health/ready"
	if code, _ := h.roundTrip(c, r); code != 200 {
		t.Errorf("ready: %d", code)
	}
	if n := h.server.Connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A client whose address changes during a request gets its response on the same connection, and the request
// runs once.
func TestClientMigrationKeepsRequestAndConnection(t *testing.T) {
	h := start(t, 300*time.Millisecond, nil)
	c := h.newClient()
	if code, text := h.roundTrip(c, h.newRequest("GET", "read", "")); code != 200 {
		t.Fatal(code, text)
	}
	before := h.fleet.Counts().Executed
	response := make(chan string)
	go func() {
		code, text := h.roundTrip(c, h.newRequest("POST", "pay", "body"))
		response <- fmt.Sprint(code, text)
	}()
	wait.Until(t, "the request at its server", func() bool { return h.fleet.Counts().Executed == before+1 })
	if err := h.relay.Rebind(); err != nil {
		t.Fatal(err)
	}
	if got := <-response; got != "200done" {
		t.Errorf("response %s", got)
	}
	if code, text := h.roundTrip(c, h.newRequest("GET", "read", "")); code != 200 {
		t.Errorf("afterwards: %d %s", code, text)
	}
	n, ran := h.server.Connections(), h.fleet.Counts().Executed-before
	if n != 1 || ran != 2 || h.relay.ClientAddressCount() != 2 || len(h.fleet.DuplicateEffects()) > 0 {
		t.Errorf("%d connections, %d requests ran, %d addresses, done twice %v", n, ran, h.relay.ClientAddressCount(), h.fleet.DuplicateEffects())
	}
}

// On a path that loses, duplicates and reorders datagrams every request is served, and runs once.
func TestLossyPathServesEachRequestOnce(t *testing.T) {
	for _, loss := range []float64{0.05, 0.2} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			h := start(t, 0, nil)
			h.relay.SetScript(udprelay.Script{Loss: loss, Duplicate: 0.1, Reorder: 0.1, Seed: 1})
			c := h.newClient()
			var all sync.WaitGroup
			for range 30 {
				all.Go(func() {
					key := h.newRequest("POST", "pay", "").Header.Get("Idempotency-Key")
					code, text := 503, ""
					// Endpoints without traffic before accept few requests at first.
					for retries := 0; code == 503 && retries < 50; retries++ {
						r := h.newRequest("POST", "pay", "body")
						r.Header.Set("X-Time-Left-Ms", "30000")
						r.Header.Set("Idempotency-Key", key)
						if code, text = h.roundTrip(c, r); code == 503 {
							time.Sleep(20 * time.Millisecond)
						}
					}
					if code != 200 {
						t.Errorf("%d %s", code, text)
					}
				})
			}
			all.Wait()
			if n := h.fleet.Counts(); n.Executed != 30 || len(h.fleet.DuplicateEffects()) > 0 {
				t.Errorf("%+v, done twice %v", n, h.fleet.DuplicateEffects())
			}
		})
	}
}

// A draining front answers the requests that it has accepted and accepts no more: it sends GOAWAY, and
// H3_REQUEST_REJECTED for later requests.
func TestDrainAnswersAcceptedRequestsOnly(t *testing.T) {
	h := start(t, 300*time.Millisecond, nil)
	c := h.newClient()
	response := make(chan int)
	go func() {
		code, _ := h.roundTrip(c, h.newRequest("POST", "pay", "body"))
		response <- code
	}()
	wait.Until(t, "the request at its server", func() bool { return h.fleet.Counts().Executed == 1 })
	h.stop()
	wait.Until(t, "draining", h.server.draining.Load)
	if code := <-response; code != 200 {
		t.Errorf("the request in flight: %d", code)
	}
	soon, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if code, _ := h.roundTrip(h.newClient(), h.newRequest("GET", "read", "").WithContext(soon)); code != 0 {
		t.Errorf("a request while draining: %d", code)
	}
	if err := <-h.served; err != nil {
		t.Errorf("ended with %v", err)
	}
	h.served <- nil // for the cleanup
}

// early opens a connection with the session ticket of an earlier one, and sends a request before the handshake
// is complete.
func (h *harness) early(r *http.Request) (*http3.RequestStream, func()) {
	h.t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	to, err := net.ResolveUDPAddr("udp", h.relay.Address)
	if err != nil {
		h.t.Fatal(err)
	}
	conn, err := transport.DialEarly(context.Background(), to, http3.ConfigureTLSConfig(h.pair.Client),
		&quic.Config{MaxIdleTimeout: 10 * time.Second})
	if err != nil {
		h.t.Fatal(err)
	}
	h3 := &http3.Transport{}
	stream, err := h3.NewClientConn(conn).OpenRequestStream(context.Background())
	if err == nil {
		err = stream.SendRequestHeader(r)
	}
	if err == nil {
		err = stream.Close()
	}
	if err != nil {
		h.t.Fatal(err)
	}
	return stream, func() {
		_ = conn.CloseWithError(0, "")
		transport.Close()
		socket.Close()
	}
}

// Early data may be a replay: idempotent requests in it are served, all others are rejected with 425 (RFC 8470)
// and do not run.
func TestEarlyDataServesIdempotentRequestsOnly(t *testing.T) {
	h := start(t, 0, func(o *Options) { o.Early = true })
	first := h.newClient()
	if code, text := h.roundTrip(first, h.newRequest("GET", "read", "")); code != 200 {
		t.Fatal(code, text)
	}
	first.Close()
	ran := h.fleet.Counts().Executed
	for _, x := range []struct {
		method, class string
		want          int
	}{{"POST", "pay", http.StatusTooEarly}, {"GET", "read", http.StatusOK}} {
		// The client receives nothing from the server: its handshake is not complete.
		h.relay.SetBlocked(udprelay.ToClient, true)
		stream, end := h.early(h.newRequest(x.method, x.class, ""))
		if x.want == 200 {
			wait.Until(t, "the idempotent request to run early", func() bool { return h.fleet.Counts().Executed == ran+1 })
		}
		_, sent := h.relay.DatagramCounts()
		wait.Until(t, "the server to send datagrams that are lost", func() bool {
			_, n := h.relay.DatagramCounts()
			return n >= sent+2
		})
		h.relay.SetBlocked(udprelay.ToClient, false)
		out, err := stream.ReadResponse()
		if err != nil || out.StatusCode != x.want {
			t.Errorf("%s: %v, %v, want %d", x.class, out, err, x.want)
		}
		if err == nil {
			out.Body.Close()
		}
		end()
	}
	if n := h.fleet.Counts().Executed; n != ran+1 {
		t.Errorf("%d ran early, want the idempotent request", n-ran)
	}
}

// Connections beyond the limit are rejected before their handshake, and in a flood of new ones addresses must be
// verified.
func TestConnectionLimitAndAddressVerification(t *testing.T) {
	h := start(t, 0, func(o *Options) { o.Connections = 3 })
	for n := range 5 {
		r := h.newRequest("GET", "read", "")
		r.URL.Host = h.direct // the relay serves one client at a time
		code, text := h.roundTrip(h.newClient(), r)
		if want := map[bool]int{true: 200, false: 0}[n < 3]; code != want {
			t.Errorf("connection %d: %d %s", n, code, text)
		}
	}
	if n := h.server.Connections(); n != 3 {
		t.Errorf("%d connections are open", n)
	}
	if h.server.Verified() > 0 {
		t.Error("a few connections had their addresses verified")
	}
	// A server that nobody connects to: datagrams of a rejected client may still arrive at the other one.
	flooded := New(h.engine, h.up, h.opts)
	const limit = maxUnverifiedPerSecond
	for second, connections := range []int{limit + 50, limit, limit + 1} {
		verified := 0
		for range connections {
			if flooded.aboveUnverifiedRate(int64(second + 1)) {
				verified++
			}
		}
		if verified != connections-limit {
			t.Errorf("of %d new connections in a second %d are verified", connections, verified)
		}
	}
	if n := flooded.Verified(); n != 51 {
		t.Errorf("%d are counted, want 51", n)
	}
}

// A client that opens streams and resets them at once leaves nothing behind, and others are served meanwhile.
func TestResetFloodLeavesNothingBehind(t *testing.T) {
	h := start(t, 50*time.Millisecond, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, h.direct, http3.ConfigureTLSConfig(h.pair.Client), nil)
	if err != nil {
		t.Fatal(err)
	}
	h3 := (&http3.Transport{}).NewClientConn(conn)
	c := h.newClient()
	for n := range 500 {
		stream, err := h3.OpenRequestStream(ctx)
		if err != nil {
			t.Fatal(n, err)
		}
		if err := stream.SendRequestHeader(h.newRequest("GET", "read", "")); err != nil {
			t.Fatal(n, err)
		}
		stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		if n%100 == 0 {
			if code, text := h.roundTrip(c, h.newRequest("GET", "read", "")); code != 200 {
				t.Errorf("another client: %d %s", code, text)
			}
		}
	}
	wait.Until(t, "no request in flight", func() bool {
		n := 0
		h.engine.Call(func(balancer.Micros) { n, _ = h.engine.Counts() })
		return n == 0
	})
	if err := conn.CloseWithError(0, ""); err != nil {
		t.Fatal(err)
	}
	if err := conn.Context().Err(); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// A front that is killed and restarted resets the connections of the process before, by a key that survives the
// restart: clients need not wait for their idle timeout. Another instance's key ends none of them.
func TestRestartedInstanceResetsItsConnections(t *testing.T) {
	h := start(t, 0, func(o *Options) { o.Name = "till-1" })
	to, err := net.ResolveUDPAddr("udp", h.relay.Address)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	defer socket.Close()
	defer transport.Close()
	conn, err := transport.Dial(context.Background(), to, http3.ConfigureTLSConfig(h.pair.Client),
		&quic.Config{MaxIdleTimeout: time.Minute, KeepAlivePeriod: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	client := (&http3.Transport{}).NewClientConn(conn)
	out, err := client.RoundTrip(h.newRequest("GET", "read", ""))
	if err != nil || out.StatusCode != 200 {
		t.Fatalf("%v, %v", out, err)
	}
	out.Body.Close()
	restart := func(name string) {
		h.relay.SetBlocked(udprelay.ToClient, true) // killed: no CONNECTION_CLOSE arrives
		h.stop()
		if err := <-h.served; err != nil {
			t.Fatal(err)
		}
		if err := h.relay.Rebind(); err != nil { // datagrams on their way are lost
			t.Fatal(err)
		}
		sameSocket, err := net.ListenPacket("udp", h.direct)
		if err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(context.Background())
		h.stop = end
		o := h.opts
		o.Name = name
		next := New(h.engine, h.up, o)
		go func() { h.served <- next.Serve(ctx, sameSocket) }()
		h.relay.SetBlocked(udprelay.ToClient, false)
	}
	restart("till-2")
	// A reset responds to larger packets only (RFC 9000, section 10.3.3): to a request, not to a keep-alive.
	var pending sync.WaitGroup
	sendRequest := func() {
		r := h.newRequest("GET", "read", "")
		pending.Go(func() {
			if out, err := client.RoundTrip(r); err == nil {
				out.Body.Close()
				t.Error("an unknown connection has carried a request")
			}
		})
	}
	_, before := h.relay.DatagramCounts()
	sendRequest()
	wait.Until(t, "another instance's resets", func() bool { _, n := h.relay.DatagramCounts(); return n > before+1 })
	if conn.Context().Err() != nil {
		t.Fatalf("another instance has ended a connection: %v", context.Cause(conn.Context()))
	}
	restart("till-1")
	sendRequest()
	wait.Until(t, "the connection's end", func() bool { return conn.Context().Err() != nil })
	if reset := (*quic.StatelessResetError)(nil); !errors.As(context.Cause(conn.Context()), &reset) {
		t.Errorf("ended by %v", context.Cause(conn.Context()))
	}
	pending.Wait()
}
