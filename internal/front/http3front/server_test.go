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
	"pinedale/internal/standin/soko"
	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/httpupstream"
)

var classes = []balancer.Class{
	{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1},
	{Name: "pay", Idempotency: balancer.IdempotentWithKey, DedupWindow: 1_500_000, LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1},
}

// world is a front with two servers behind it, and a relay before it.
type world struct {
	t      *testing.T
	fleet  *soko.Fleet
	engine *engine.Engine
	server *Server
	direct string // its own address
	relay  *udprelay.Relay
	pair   *cert.Pair
	end    context.CancelFunc
	served chan error

	mu   sync.Mutex
	ids  int
	up   engine.Upstream
	opts Options
}

func start(t *testing.T, work time.Duration, alter func(*Options)) *world {
	t.Helper()
	w := &world{t: t, fleet: &soko.Fleet{Classes: classes, Work: work}, pair: cert.New(t), served: make(chan error, 1)}
	list := engine.List{Complete: true}
	var servers []*soko.Server
	for n := range 2 {
		s, err := w.fleet.Start(fmt.Sprint("s-", n), n)
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, s)
		list.Hosts = append(list.Hosts, engine.Host{Name: s.Name, Address: s.Address, Site: "a", Weight: 1})
	}
	engineCtx, stop := context.WithCancel(context.Background())
	up := httpupstream.New(httpupstream.Options{DialTimeout: time.Second, Idle: time.Second, Connections: 500})
	var err error
	w.engine, err = engine.New(engineCtx, engine.Options{Seed: 1, Zones: []string{"a"}, Upstream: up, Log: slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{Balancers: 1, Zones: 1, Classes: classes, Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5},
			Limits: balancer.Limits{Cancel: true, RetryAfter: true, MaxAttempts: 3, MaxOpen: 1000, MaxRetryAfter: 1_000_000}}})
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Room: w.pair.Room(t), Connections: 100, Streams: 50, BodyBytes: 1 << 20, Log: slog.New(slog.DiscardHandler)}
	if alter != nil {
		alter(&o)
	}
	w.up, w.opts = up, o
	w.server = New(w.engine, up, o)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.direct = conn.LocalAddr().String()
	ctx, end := context.WithCancel(context.Background())
	w.end = end
	go w.engine.Run()
	w.engine.Call(func(now balancer.Micros) { w.engine.UpdateEndpoints(now, balancer.ListFull, list) })
	go func() { w.served <- w.server.Serve(ctx, conn) }()
	if w.relay, err = udprelay.Start(conn.LocalAddr().String(), udprelay.Script{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.end()
		if err := <-w.served; err != nil {
			t.Errorf("the front ended with %v", err)
		}
		stop()
		w.relay.Close()
		for _, s := range servers {
			s.Close()
		}
		goleak.VerifyNone(t)
	})
	return w
}

// client is one that has its own connection, through the relay. It pings, as phones do:
// a server learns of a new address from what comes from there.
func (w *world) client() *http3.Transport {
	c := &http3.Transport{TLSClientConfig: w.pair.Client, QUICConfig: &quic.Config{MaxIdleTimeout: 10 * time.Second, KeepAlivePeriod: 100 * time.Millisecond}}
	w.t.Cleanup(func() { c.Close() })
	return c
}

func (w *world) request(method, class, body string) *http.Request {
	w.mu.Lock()
	w.ids++
	id := w.ids
	w.mu.Unlock()
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "https://"+w.relay.Address+"/"+class+"/x", in)
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprint("r-", id))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", "3000")
	if class == "pay" {
		r.Header.Set("Idempotency-Key", fmt.Sprint("k-", id))
	}
	return r
}

func (w *world) ask(c *http3.Transport, r *http.Request) (int, string) {
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

// What is asked of a request, and what it is answered, is as on the other fronts.
func TestRequests(t *testing.T) {
	w := start(t, 0, nil)
	c := w.client()
	for _, x := range []struct {
		name  string
		r     *http.Request
		alter func(*http.Request)
		code  int
		says  string
	}{
		{"safe", w.request("GET", "read", ""), nil, 200, "done"},
		{"keyed", w.request("POST", "pay", "body"), nil, 200, "done"},
		{"of unknown length", w.request("POST", "pay", "body"), func(r *http.Request) { r.ContentLength = -1 }, 200, "done"},
		{"no id", w.request("GET", "read", ""), func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, 400, "X-Correlation-Id"},
		{"no key", w.request("POST", "pay", "body"), func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400, "Idempotency-Key"},
		{"a GET with a body", w.request("GET", "read", "body"), nil, 400, "no body"},
		{"a wrong method", w.request("PUT", "pay", "body"), nil, 405, "POST"},
		{"a huge body", w.request("POST", "pay", strings.Repeat("x", httpmsg.BodyMost+1)), nil, 413, "65536"},
		{"a huge body of unknown length", w.request("POST", "pay", strings.Repeat("x", httpmsg.BodyMost+1)), func(r *http.Request) { r.ContentLength = -1 }, 413, "65536"},
		{"no class", w.request("GET", "gift", ""), nil, 400, "gift"},
	} {
		if x.alter != nil {
			x.alter(x.r)
		}
		if code, text := w.ask(c, x.r); code != x.code || !strings.Contains(text, x.says) {
			t.Errorf("%s: %d %q, want %d with %q", x.name, code, text, x.code, x.says)
		}
	}
	r := w.request("GET", "read", "")
	r.URL.Path = "/health/ready"
	if code, _ := w.ask(c, r); code != 200 {
		t.Errorf("ready: %d", code)
	}
	if n := w.server.Connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A client's address changes in the middle of a payment: one answer, one effect, and no
// second connection.
func TestMigrationDuringAPayment(t *testing.T) {
	w := start(t, 300*time.Millisecond, nil)
	c := w.client()
	if code, text := w.ask(c, w.request("GET", "read", "")); code != 200 {
		t.Fatal(code, text)
	}
	before := w.fleet.Counts().Run
	answer := make(chan string)
	go func() {
		code, text := w.ask(c, w.request("POST", "pay", "body"))
		answer <- fmt.Sprint(code, text)
	}()
	wait.Until(t, "the payment at its server", func() bool { return w.fleet.Counts().Run == before+1 })
	if err := w.relay.Rebind(); err != nil {
		t.Fatal(err)
	}
	if got := <-answer; got != "200done" {
		t.Errorf("answer %s", got)
	}
	if code, text := w.ask(c, w.request("GET", "read", "")); code != 200 {
		t.Errorf("afterwards: %d %s", code, text)
	}
	if n, ran := w.server.Connections(), w.fleet.Counts().Run-before; n != 1 || ran != 2 || w.relay.Addresses() != 2 || len(w.fleet.Twice()) > 0 {
		t.Errorf("%d connections, %d requests ran, %d addresses, done twice %v", n, ran, w.relay.Addresses(), w.fleet.Twice())
	}
}

// On a path that loses, doubles and swaps datagrams all is served, each effect once.
func TestLossyPath(t *testing.T) {
	for _, loss := range []float64{0.05, 0.2} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			w := start(t, 0, nil)
			w.relay.Set(udprelay.Script{Loss: loss, Double: 0.1, Swap: 0.1, Seed: 1})
			c := w.client()
			var all sync.WaitGroup
			for range 30 {
				all.Go(func() {
					key := w.request("POST", "pay", "").Header.Get("Idempotency-Key")
					code, text := 503, ""
					for tries := 0; code == 503 && tries < 50; tries++ { // a fleet that nobody has asked takes little at first
						r := w.request("POST", "pay", "body")
						r.Header.Set("X-Time-Left-Ms", "30000")
						r.Header.Set("Idempotency-Key", key)
						if code, text = w.ask(c, r); code == 503 {
							time.Sleep(20 * time.Millisecond)
						}
					}
					if code != 200 {
						t.Errorf("%d %s", code, text)
					}
				})
			}
			all.Wait()
			if n := w.fleet.Counts(); n.Run != 30 || len(w.fleet.Twice()) > 0 {
				t.Errorf("%+v, done twice %v", n, w.fleet.Twice())
			}
		})
	}
}

// At its end the front answers what it has taken and takes nothing more: GOAWAY, and
// H3_REQUEST_REJECTED for what comes all the same.
func TestDrain(t *testing.T) {
	w := start(t, 300*time.Millisecond, nil)
	c := w.client()
	answer := make(chan int)
	go func() { code, _ := w.ask(c, w.request("POST", "pay", "body")); answer <- code }()
	wait.Until(t, "the payment at its server", func() bool { return w.fleet.Counts().Run == 1 })
	w.end()
	wait.Until(t, "the end", w.server.ending.Load)
	if code := <-answer; code != 200 {
		t.Errorf("the request in hand: %d", code)
	}
	soon, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if code, _ := w.ask(w.client(), w.request("GET", "read", "").WithContext(soon)); code != 0 {
		t.Errorf("a request after the end: %d", code)
	}
	if err := <-w.served; err != nil {
		t.Errorf("ended with %v", err)
	}
	w.served <- nil // for the cleanup
}

// early opens a connection with what an earlier one left, and sends a request before the
// handshake is done.
func (w *world) early(r *http.Request) (*http3.RequestStream, func()) {
	w.t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	to, err := net.ResolveUDPAddr("udp", w.relay.Address)
	if err != nil {
		w.t.Fatal(err)
	}
	conn, err := transport.DialEarly(context.Background(), to, http3.ConfigureTLSConfig(w.pair.Client), &quic.Config{MaxIdleTimeout: 10 * time.Second})
	if err != nil {
		w.t.Fatal(err)
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
		w.t.Fatal(err)
	}
	return stream, func() {
		_ = conn.CloseWithError(0, "")
		transport.Close()
		socket.Close()
	}
}

// Early data may be a replay: only what is safe to repeat is taken from it, all else is
// told to come again (RFC 8470), and nothing of it runs.
func TestEarlyData(t *testing.T) {
	w := start(t, 0, func(o *Options) { o.Early = true })
	first := w.client()
	if code, text := w.ask(first, w.request("GET", "read", "")); code != 200 {
		t.Fatal(code, text)
	}
	first.Close()
	ran := w.fleet.Counts().Run
	for _, x := range []struct {
		method, class string
		want          int
	}{{"POST", "pay", http.StatusTooEarly}, {"GET", "read", http.StatusOK}} {
		// The server hears the client, and is not heard: its handshake is not done.
		w.relay.Deafen(udprelay.ToClient, true)
		stream, end := w.early(w.request(x.method, x.class, ""))
		if x.want == 200 {
			wait.Until(t, "the safe one to run early", func() bool { return w.fleet.Counts().Run == ran+1 })
		}
		_, sent := w.relay.Passed()
		wait.Until(t, "the server to answer into the void", func() bool { _, n := w.relay.Passed(); return n >= sent+2 })
		w.relay.Deafen(udprelay.ToClient, false)
		out, err := stream.ReadResponse()
		if err != nil || out.StatusCode != x.want {
			t.Errorf("%s: %v, %v, want %d", x.class, out, err, x.want)
		}
		if err == nil {
			out.Body.Close()
		}
		end()
	}
	if n := w.fleet.Counts().Run; n != ran+1 {
		t.Errorf("%d ran early, want the safe one", n-ran)
	}
}

// Connections are bounded before their handshake, and a flood of new ones has to show
// that their addresses are theirs.
func TestConnectionsAndAddresses(t *testing.T) {
	w := start(t, 0, func(o *Options) { o.Connections = 3 })
	for n := range 5 {
		r := w.request("GET", "read", "")
		r.URL.Host = w.direct // the relay serves one client at a time
		code, text := w.ask(w.client(), r)
		if want := map[bool]int{true: 200, false: 0}[n < 3]; code != want {
			t.Errorf("connection %d: %d %s", n, code, text)
		}
	}
	if n := w.server.Connections(); n != 3 {
		t.Errorf("%d connections are open", n)
	}
	if w.server.Verified() > 0 {
		t.Error("a few connections have to show their addresses")
	}
	// One that nobody connects to: a client that was turned away may have a datagram under way.
	flooded := New(w.engine, w.up, w.opts)
	for second, came := range []int{verifyFrom + 50, verifyFrom, verifyFrom + 1} {
		asked := 0
		for range came {
			if flooded.flooded(int64(second + 1)) {
				asked++
			}
		}
		if asked != came-verifyFrom {
			t.Errorf("of %d new connections in a second %d have to", came, asked)
		}
	}
	if n := flooded.Verified(); n != 51 {
		t.Errorf("%d are counted, want 51", n)
	}
}

// A client that opens streams and resets them at once holds nothing, and others are
// served meanwhile.
func TestResetFlood(t *testing.T) {
	w := start(t, 50*time.Millisecond, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, w.direct, http3.ConfigureTLSConfig(w.pair.Client), nil)
	if err != nil {
		t.Fatal(err)
	}
	h3 := (&http3.Transport{}).NewClientConn(conn)
	c := w.client()
	for n := range 500 {
		stream, err := h3.OpenRequestStream(ctx)
		if err != nil {
			t.Fatal(n, err)
		}
		if err := stream.SendRequestHeader(w.request("GET", "read", "")); err != nil {
			t.Fatal(n, err)
		}
		stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		if n%100 == 0 {
			if code, text := w.ask(c, w.request("GET", "read", "")); code != 200 {
				t.Errorf("another client: %d %s", code, text)
			}
		}
	}
	wait.Until(t, "nothing to be held", func() bool {
		n := 0
		w.engine.Call(func(balancer.Micros) { n, _ = w.engine.Counts() })
		return n == 0
	})
	if err := conn.CloseWithError(0, ""); err != nil {
		t.Fatal(err)
	}
	if err := conn.Context().Err(); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// A front that is killed and comes back tells clients of before that their connections are no more, at once and
// by a key that is the same: they need not wait for an idle time-out. Another instance's key ends none of them.
func TestStatelessReset(t *testing.T) {
	w := start(t, 0, func(o *Options) { o.Name = "till-1" })
	to, err := net.ResolveUDPAddr("udp", w.relay.Address)
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
	conn, err := transport.Dial(context.Background(), to, http3.ConfigureTLSConfig(w.pair.Client), &quic.Config{MaxIdleTimeout: time.Minute, KeepAlivePeriod: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	client := (&http3.Transport{}).NewClientConn(conn)
	out, err := client.RoundTrip(w.request("GET", "read", ""))
	if err != nil || out.StatusCode != 200 {
		t.Fatalf("%v, %v", out, err)
	}
	out.Body.Close()
	restart := func(name string) {
		w.relay.Deafen(udprelay.ToClient, true) // it is killed: nobody hears a farewell
		w.end()
		if err := <-w.served; err != nil {
			t.Fatal(err)
		}
		if err := w.relay.Rebind(); err != nil { // nor later: what is on its way is lost
			t.Fatal(err)
		}
		again, err := net.ListenPacket("udp", w.direct)
		if err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(context.Background())
		w.end = end
		o := w.opts
		o.Name = name
		next := New(w.engine, w.up, o)
		go func() { w.served <- next.Serve(ctx, again) }()
		w.relay.Deafen(udprelay.ToClient, false)
	}
	restart("till-2")
	// A reset answers what is larger than itself (RFC 9000, section 10.3.3): a request, and no ping.
	var asked sync.WaitGroup
	ask := func() {
		r := w.request("GET", "read", "")
		asked.Go(func() {
			if out, err := client.RoundTrip(r); err == nil {
				out.Body.Close()
				t.Error("a connection that nobody knows has carried a request")
			}
		})
	}
	_, before := w.relay.Passed()
	ask()
	wait.Until(t, "another instance's resets", func() bool { _, n := w.relay.Passed(); return n > before+1 })
	if conn.Context().Err() != nil {
		t.Fatalf("another instance has ended a connection: %v", context.Cause(conn.Context()))
	}
	restart("till-1")
	ask()
	wait.Until(t, "the connection's end", func() bool { return conn.Context().Err() != nil })
	if reset := (*quic.StatelessResetError)(nil); !errors.As(context.Cause(conn.Context()), &reset) {
		t.Errorf("ended by %v", context.Cause(conn.Context()))
	}
	asked.Wait()
}
