// Package http3front takes the application's requests over HTTP/3 (RFC 9114) on QUIC
// (RFC 9000) and gives their final answers. What a request must say, how its body is
// bounded and what its answer is are those of all fronts (packages intake and desk).
package http3front

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/desk"
	"pinedale/internal/httpmsg"
	"pinedale/internal/intake"
	"pinedale/internal/keyroom"
)

const (
	// A request comes in one piece from a client; one that takes longer to send its body
	// is silent, slow on purpose or dead.
	readTimeout = 2 * time.Second
	// A phone that changes networks is silent for some seconds, and its connection must
	// outlive that; one that has gone for good is forgotten after it.
	idleTimeout = 30 * time.Second
	// Answers are of at most httpmsg.BodyMost, and so are requests: windows need no more.
	streamWindow     = httpmsg.BodyMost
	connectionWindow = 16 * streamWindow
	// New connections from addresses that are not verified, in a second, from which on
	// each has to show that it hears what is sent there (RFC 9000, section 8.1.2).
	verifyFrom = 100
)

// Options bound what clients may hold.
type Options struct {
	Room        *keyroom.Room // whose keys it shows, and whom it lets in
	Name        string        // of the instance: no other's packets are answered as its own
	Connections int           // open at most
	Streams     int           // requests open at once on one connection
	BodyBytes   int64         // of requests in hand, at most
	Early       bool          // 0-RTT is accepted, for classes that are safe to repeat (RFC 8470)
	Parser      *intake.Parser
	Log         *slog.Logger
}

// Server takes the application's requests.
type Server struct {
	engine     *engine.Engine
	dispatcher *desk.Dispatcher
	opts       Options
	http       http3.Server
	ending     atomic.Bool

	open   atomic.Int64 // connections
	second atomic.Int64 // that new connections are counted in
	fresh  atomic.Int64 // new connections in it
	asked  atomic.Int64 // addresses that had to be verified
}

// connKey finds the connection of a request in its context.
type connKey struct{}

// client is a connection of a client's.
type client struct {
	*quic.Conn
	room     *keyroom.Room
	material int
	once     sync.Once
	life     *keyroom.Life
}

// stands says how the connection's keys stand. Nothing is known before its handshake is done,
// and then nothing can have changed much.
func (c *client) stands() (trusted bool, reason string) {
	if c.early() {
		return true, ""
	}
	c.once.Do(func() {
		c.life = c.room.Life(c.ConnectionState().TLS, x509.ExtKeyUsageClientAuth, c.material)
	})
	_, trusted, reason = c.life.At(time.Now())
	return trusted, reason
}

// New returns a server that passes requests to the engine and has them carried by the
// upstream.
func New(e *engine.Engine, up engine.Upstream, o Options) *Server {
	if o.Parser == nil {
		o.Parser = intake.NewParser(e.Settings())
	}
	s := &Server{engine: e, dispatcher: desk.New(e, up, o.BodyBytes), opts: o}
	s.http = http3.Server{Handler: http.HandlerFunc(s.handle), MaxHeaderBytes: httpmsg.HeadMost, Logger: o.Log,
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &client{Conn: c, room: o.Room, material: o.Room.Number()})
		}}
	return s
}

// errCrowded turns a connection away before its handshake.
var errCrowded = errors.New("as many connections are open as may be")

// Serve serves until ctx ends, then sends GOAWAY, answers what it has taken and returns.
// It closes conn.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	// After a restart clients' connections are known no more, and without a word to them each
	// would wait for its idle time-out (RFC 9000, section 10.3). The key must be the same then,
	// and another for each instance: one that reset another's connections could be used to
	// end them (section 21.11).
	secret, err := s.opts.Room.Secret("QUIC stateless reset, " + s.opts.Name)
	if err != nil {
		conn.Close()
		return fmt.Errorf("stateless reset: %w", err)
	}
	resets := quic.StatelessResetKey(secret)
	transport := &quic.Transport{Conn: conn, StatelessResetKey: &resets, VerifySourceAddress: s.verify,
		ConnContext: func(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
			if s.open.Add(1) > int64(s.opts.Connections) {
				s.open.Add(-1)
				return nil, errCrowded
			}
			context.AfterFunc(ctx, func() { s.open.Add(-1) })
			return ctx, nil
		}}
	defer conn.Close()
	defer transport.Close()
	set := s.opts.Room.Server()
	set.MinVersion = tls.VersionTLS13
	listener, err := transport.ListenEarly(http3.ConfigureTLSConfig(set), &quic.Config{MaxIdleTimeout: idleTimeout,
		MaxIncomingStreams: int64(s.opts.Streams), Allow0RTT: s.opts.Early,
		InitialStreamReceiveWindow: streamWindow, MaxStreamReceiveWindow: streamWindow,
		InitialConnectionReceiveWindow: connectionWindow, MaxConnectionReceiveWindow: connectionWindow})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var serveErr error // once served is closed
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveErr = s.http.ServeListener(listener)
	}()
	select {
	case <-served:
		return fmt.Errorf("serve: %w", serveErr)
	case <-ctx.Done():
	}
	s.ending.Store(true)
	var longest balancer.Micros
	for _, c := range s.engine.Settings().Classes {
		longest = max(longest, c.ClientTimeout)
	}
	end, cancel := context.WithTimeout(context.Background(), time.Duration(longest)*time.Microsecond)
	defer cancel()
	err = s.http.Shutdown(end)
	listener.Close()
	<-served
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// verify says whether a new connection's address must be verified first: under a flood
// of connections, which may all come from addresses that are not the sender's.
func (s *Server) verify(net.Addr) bool { return s.flooded(time.Now().Unix()) }

// flooded counts a new connection in a second, and says whether there are too many in it.
func (s *Server) flooded(second int64) bool {
	if s.second.Swap(second) != second {
		s.fresh.Store(0)
	}
	if s.fresh.Add(1) <= verifyFrom {
		return false
	}
	s.asked.Add(1)
	return true
}

// Connections counts the open ones.
func (s *Server) Connections() int { return int(s.open.Load()) }

// Verified counts the connections whose address had to be verified first.
func (s *Server) Verified() int { return int(s.asked.Load()) }

// early says that a request may have come in 0-RTT data, which anybody may replay. Once
// the handshake is done its client is known to be there (RFC 8470, section 3).
func (c *client) early() bool {
	select {
	case <-c.HandshakeComplete():
		return false
	default:
		return true
	}
}

// handle reads a request whole and answers it.
func (s *Server) handle(w http.ResponseWriter, in *http.Request) {
	arrived := s.engine.Now()
	if in.URL.Path == "/health/ready" {
		if s.ending.Load() || !s.engine.HasEndpoints() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	c := in.Context().Value(connKey{}).(*client)
	if trusted, reason := c.stands(); !trusted {
		desk.WriteError(w, &intake.Error{Code: http.StatusForbidden, Reason: reason})
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout)) // fails where the stream is over: reading tells that, too
	if in.ContentLength < 0 && in.Method == http.MethodGet {
		// A head does not say whether a body follows: its stream's end does.
		if n, err := in.Body.Read(make([]byte, 1)); n == 0 && errors.Is(err, io.EOF) {
			in.ContentLength, in.Body = 0, http.NoBody
		}
	}
	req, err := s.opts.Parser.Parse(intake.Request{Method: in.Method, Host: in.Host, Path: in.URL.Path, Header: in.Header,
		Body: in.ContentLength != 0, At: arrived})
	if err != nil {
		desk.WriteError(w, err)
		return
	}
	if c.early() && s.engine.Settings().Classes[req.Class].Idempotency != balancer.Idempotent {
		w.WriteHeader(http.StatusTooEarly)
		return
	}
	body, release, err := s.dispatcher.ReadBody(w, in)
	if errors.Is(err, desk.ErrBusy) {
		desk.WriteBusy(w)
		return
	} else if err != nil {
		desk.WriteError(w, err)
		return
	}
	defer release()
	a, err := s.dispatcher.Dispatch(in, req, body)
	switch {
	case errors.Is(err, desk.ErrDisconnected):
		panic(http.ErrAbortHandler)
	case err != nil:
		desk.WriteError(w, err)
	default:
		desk.WriteResponse(w, a)
	}
}
