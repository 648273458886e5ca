package http3front

import (
	"context"
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

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/front/fronttest"
	"pinedale/internal/standin/cert"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/udprelay"
)

var classes = []balancer.Class{
	{Name: "read", Idempotency: balancer.Idempotent,
		LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1},
	{Name: "pay", Idempotency: balancer.IdempotentWithKey, DedupWindow: 1_500_000,
		LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1},
}

// harness is a front with two servers behind it and a UDP relay in front of it.
type harness struct {
	t             *testing.T
	fleet         *fakebackend.Fleet
	engine        *engine.Engine
	upstream      engine.Upstream
	options       Options
	server        *Server
	directAddress string // the front's address, without the relay
	relay         *udprelay.Relay
	keyPair       *cert.Pair
	stop          context.CancelFunc
	served        chan error

	mu     sync.Mutex
	lastID int // of a request
}

// start runs a front whose options alter may change, until the test ends.
func start(t *testing.T, serviceTime time.Duration, alter func(*Options)) *harness {
	t.Helper()
	h := &harness{
		t:       t,
		fleet:   &fakebackend.Fleet{Classes: classes, ServiceTime: serviceTime},
		keyPair: cert.New(t),
		served:  make(chan error, 1),
	}
	backend := fronttest.Start(t, fronttest.Options{
		Fleet:          h.fleet,
		Servers:        2,
		ServersPerCell: 1,
		Seed:           1,
		MaxConnections: 500,
		Settings: balancer.Settings{
			Balancers: 1,
			Zones:     1,
			Classes:   classes,
			Contract:  balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5},
			Limits: balancer.Limits{
				Cancel:        true,
				RetryAfter:    true,
				MaxAttempts:   3,
				MaxOpen:       1000,
				MaxRetryAfter: 1_000_000,
			},
		},
	})
	h.engine, h.upstream = backend.Engine, backend.Upstream
	h.options = Options{
		KeyStore:    h.keyPair.CertificateStore(t),
		Connections: 100,
		Streams:     50,
		Memory:      exchange.LimitsWithin(64 << 20),
		Log:         slog.New(slog.DiscardHandler),
	}
	if alter != nil {
		alter(&h.options)
	}
	h.server = New(h.engine, h.upstream, h.options)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.directAddress = socket.LocalAddr().String()
	h.serve(h.server, socket)
	t.Cleanup(func() {
		h.stop()
		if err := <-h.served; err != nil {
			t.Errorf("Serve returned %v", err)
		}
	})
	if h.relay, err = udprelay.Start(h.directAddress, udprelay.Script{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.relay.Close() })
	return h
}

// serve runs a server on a socket until h.stop is called. Its result is sent to h.served.
func (h *harness) serve(server *Server, socket net.PacketConn) {
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	go func() { h.served <- server.Serve(ctx, socket) }()
}

// newClient returns a client with a connection of its own, through the relay. It sends keep-alives, as phones
// do: a server learns a client's new address from packets that arrive from there.
func (h *harness) newClient() *http3.Transport {
	c := &http3.Transport{
		TLSClientConfig: h.keyPair.Client,
		QUICConfig:      &quic.Config{MaxIdleTimeout: 10 * time.Second, KeepAlivePeriod: 100 * time.Millisecond},
	}
	h.t.Cleanup(func() { c.Close() })
	return c
}

// newRequest returns a request through the relay, with an id and a key of its own.
func (h *harness) newRequest(method, class, body string) *http.Request {
	h.mu.Lock()
	h.lastID++
	id := h.lastID
	h.mu.Unlock()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "https://"+h.relay.Address+"/"+class+"/x", content)
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
