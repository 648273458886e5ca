package tlscost

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/certstore"
	"pinedale/internal/engine"
	"pinedale/internal/measure/harness"
	"pinedale/internal/measure/process"
	"pinedale/internal/standin/ca"
	"pinedale/internal/upstream/handshake"
	"pinedale/internal/upstream/secure"
)

const (
	// warmupHandshakes are not counted. They establish the session that later handshakes resume.
	warmupHandshakes = 20

	// ticketWait is how long to wait for the session ticket after a handshake over QUIC.
	ticketWait = 20 * time.Millisecond

	handshakeTimeout = 10 * time.Second
	cachedSessions   = 16
	unlimited        = 1e6 // handshakes per second: a budget that is never used up
)

// handshakeKind is whether handshakes are full ones or resume a session.
type handshakeKind string

const (
	fullHandshake    handshakeKind = "full"
	resumedHandshake handshakeKind = "resumed"
)

// handshakeKinds are the kinds in the order of the columns.
var handshakeKinds = [...]handshakeKind{fullHandshake, resumedHandshake}

// clientReport is what a client's process measured.
type clientReport struct {
	median, p99 time.Duration
	cpu         time.Duration // of each handshake
}

func (r *clientReport) String() string {
	return fmt.Sprintln(r.median.Nanoseconds(), r.p99.Nanoseconds(), r.cpu.Nanoseconds())
}

func parseClientReport(line string) (*clientReport, error) {
	r := &clientReport{}
	if _, err := fmt.Sscan(line, &r.median, &r.p99, &r.cpu); err != nil {
		return nil, fmt.Errorf("invalid client report %q: %w", line, err)
	}
	return r, nil
}

// serveClient does handshakes one after the other and reports how long they took. Its arguments are the folder with its
// files, the server's address, the protocol, the kind of the handshakes and their number.
func serveClient(args []string) (line string, stop func(), err error) {
	dir, address, protocol, kind := args[0], args[1], args[2], handshakeKind(args[3])
	count, err := strconv.Atoi(args[4])
	if err != nil {
		return "", nil, err
	}
	client, err := newClient(ca.FolderAt(ca.PanicOnFatal{}, dir))
	if err != nil {
		return "", nil, err
	}
	target := &engine.Target{Name: "s-0", Address: address}
	var dialer handshaker = &tcpHandshaker{client: client, target: target}
	if protocol == protocolHTTP3 {
		quicDialer, err := newQUICHandshaker(client, target)
		if err != nil {
			return "", nil, err
		}
		defer quicDialer.close()
		dialer = quicDialer
	}
	for range warmupHandshakes {
		if kind == fullHandshake {
			client.Retire(target)
		}
		if _, err := dialer.handshake(true); err != nil {
			return "", nil, err
		}
	}
	report, err := measureHandshakes(dialer, kind, count, func() { client.Retire(target) })
	if err != nil {
		return "", nil, err
	}
	return report.String(), func() {}, nil
}

// measureHandshakes does count handshakes of a kind. dropSessions removes the sessions with the server from the cache.
func measureHandshakes(dialer handshaker, kind handshakeKind, count int, dropSessions func()) (*clientReport, error) {
	before, err := process.CPUTime()
	if err != nil {
		return nil, err
	}
	latencies := make([]time.Duration, 0, count)
	for n := range count {
		if kind == fullHandshake {
			dropSessions()
		}
		result, err := dialer.handshake(false)
		if err != nil {
			return nil, err
		}
		if result.resumed != (kind == resumedHandshake) {
			return nil, fmt.Errorf("handshake %d, which must be %s: resumed is %t", n, kind, result.resumed)
		}
		latencies = append(latencies, result.took)
	}
	after, err := process.CPUTime()
	if err != nil {
		return nil, err
	}
	return &clientReport{
		median: harness.Median(latencies),
		p99:    harness.Percentile(latencies, 99),
		cpu:    (after - before) / time.Duration(count),
	}, nil
}

// newClient returns the client side of the proxy's TLS, with a budget that is never used up.
func newClient(files *ca.Folder) (*secure.Client, error) {
	certificates, err := certstore.Open(certstore.Options{
		Paths: certstore.Paths{Cert: files.Cert, Key: files.Key, Roots: files.Roots},
		Log:   slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	return secure.New(secure.Options{
		KeyStore: certificates,
		Names:    &secure.Names{Pattern: serverName},
		Budget: handshake.Config{
			PerServer:          unlimited,
			All:                unlimited,
			InitialWarmupRatio: 1,
			Burst:              unlimited,
		},
		Sessions: cachedSessions,
		Timeout:  handshakeTimeout,
		Log:      slog.New(slog.NewTextHandler(os.Stderr, nil)),
	})
}

// handshakeResult is the result of one handshake.
type handshakeResult struct {
	took    time.Duration
	resumed bool
}

// handshaker does handshakes with one server. With awaitTicket it waits until a session ticket has arrived.
type handshaker interface {
	handshake(awaitTicket bool) (handshakeResult, error)
}

// tcpHandshaker does handshakes over TCP.
type tcpHandshaker struct {
	client *secure.Client
	target *engine.Target
}

func (h *tcpHandshaker) handshake(awaitTicket bool) (result handshakeResult, err error) {
	raw, err := net.Dial("tcp", h.target.Address)
	if err != nil {
		return result, err
	}
	start := time.Now()
	conn, err := h.client.Secure(context.Background(), h.target, raw)
	if err != nil {
		return result, err
	}
	result.took = time.Since(start)
	defer conn.Close()
	if awaitTicket {
		if err := readResponse(conn); err != nil {
			return result, err
		}
	}
	secured, ok := conn.(interface{ ConnectionState() tls.ConnectionState })
	if !ok {
		return result, errors.New("the connection has no TLS state")
	}
	result.resumed = secured.ConnectionState().DidResume
	return result, nil
}

// readResponse sends a request and reads until the server closes the connection. Tickets arrive before the response.
func readResponse(conn net.Conn) error {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	return err
}

// quicHandshaker does handshakes over QUIC, all from one socket.
type quicHandshaker struct {
	client    *secure.Client
	target    *engine.Target
	address   *net.UDPAddr // of the target
	transport *quic.Transport
}

func newQUICHandshaker(client *secure.Client, target *engine.Target) (*quicHandshaker, error) {
	address, err := net.ResolveUDPAddr("udp", target.Address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &quicHandshaker{
		client:    client,
		target:    target,
		address:   address,
		transport: &quic.Transport{Conn: socket},
	}, nil
}

func (h *quicHandshaker) close() { h.transport.Close() }

func (h *quicHandshaker) handshake(awaitTicket bool) (result handshakeResult, err error) {
	config, end, err := h.client.QUIC(h.target)
	if err != nil {
		return result, err
	}
	start := time.Now()
	conn, err := h.transport.Dial(context.Background(), h.address, http3.ConfigureTLSConfig(config), nil)
	if err != nil {
		end(tls.ConnectionState{}, err)
		return result, err
	}
	result.took = time.Since(start)
	state := conn.ConnectionState().TLS
	end(state, nil)
	if awaitTicket {
		time.Sleep(ticketWait)
	}
	_ = conn.CloseWithError(0, "") // the connection is not needed any more
	result.resumed = state.DidResume
	return result, nil
}
