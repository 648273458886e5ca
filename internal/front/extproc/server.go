package extproc

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
	"pinedale/internal/requestmeta"
	"pinedale/internal/routing"
)

const (
	// backlogRetryAfter is the Retry-After of a request that is rejected because too many wait for the engine.
	backlogRetryAfter routing.Micros = 1_000_000

	// maxMessageBytes bounds one message. It leaves space for a request's headers, attributes and metadata.
	maxMessageBytes = 4 * httpmsg.MaxHeaderBytes

	// A connection that answers no ping is closed, which ends its streams: requests must not stay reserved for callers
	// that no longer exist.
	pingInterval = 10 * time.Second
	pingTimeout  = 5 * time.Second

	// minCallerPingInterval is the minimum interval at which callers may send pings. Envoy's usual interval is 30 s;
	// only more than one ping a second is treated as an attack.
	minCallerPingInterval = time.Second

	// streamGrace is how long a stream may stay open beyond the longest deadline of a class. A proxy ends a stream
	// once it has its answer; one that is open for longer belongs to a proxy that has lost track of it.
	streamGrace = 5 * time.Second
)

// Options configure a Server and limit the resources that callers may use.
type Options struct {
	MaxStreams          int                 // max open streams over all connections
	MaxBacklog          int                 // max requests that wait for the engine; more are rejected at once
	CallersRetry        bool                // callers request another decision after a reported failure
	MaxEntries          int                 // max entries of the routing ledger
	LoadFields          []string            // names of the load report's fields
	Parser              *requestmeta.Parser // if nil, one is made from the engine's settings
	TLS                 *tls.Config         // nil for plain text
	MaxTLSConnectionAge time.Duration       // of TLS connections: bounds how long one outlives its certificate
	DrainTimeout        time.Duration       // longest deadline of a class: open requests finish within it at shutdown
	Log                 *slog.Logger
}

// Server is the front. Make one with New.
type Server struct {
	engine     *engine.Engine
	host       *host // used on the engine's goroutine only
	parser     *requestmeta.Parser
	opts       Options
	grpc       *grpc.Server
	health     *health.Server
	streams    atomic.Int64  // open
	backlog    atomic.Int64  // requests that wait for the engine
	lastStream atomic.Uint64 // routing.StreamID that was assigned last
	ended      chan struct{} // closed when Serve returns
}

// New returns a front that passes requests to the engine.
func New(e *engine.Engine, o Options) *Server {
	settings := e.Settings()
	if o.Parser == nil {
		o.Parser = requestmeta.NewParser(settings)
	}
	limits := routing.Limits{
		Classes:      settings.Classes,
		MaxAttempts:  settings.Limits.MaxAttempts,
		Hedging:      settings.Limits.Hedging,
		CallersRetry: o.CallersRetry,
		MaxEntries:   o.MaxEntries,
	}
	s := &Server{
		engine: e,
		host:   newHost(e, limits),
		parser: o.Parser,
		opts:   o,
		health: health.NewServer(),
		ended:  make(chan struct{}),
	}
	s.grpc = grpc.NewServer(s.grpcOptions()...)
	extprocv3.RegisterExternalProcessorServer(s.grpc, s)
	healthv1.RegisterHealthServer(s.grpc, s.health)
	s.setHealth(healthv1.HealthCheckResponse_SERVING)
	return s
}

// grpcOptions returns the limits and timeouts of the gRPC server.
func (s *Server) grpcOptions() []grpc.ServerOption {
	pings := keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}
	var options []grpc.ServerOption
	if s.opts.TLS != nil {
		pings.MaxConnectionAge = s.opts.MaxTLSConnectionAge // gRPC adds up to 10% of jitter; open streams continue
		options = append(options, grpc.Creds(credentials.NewTLS(s.opts.TLS)))
	}
	enforcement := keepalive.EnforcementPolicy{MinTime: minCallerPingInterval, PermitWithoutStream: true}
	return append(options,
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InTapHandle(s.admit),
		grpc.MaxConcurrentStreams(uint32(s.opts.MaxStreams)),
		grpc.KeepaliveParams(pings),
		grpc.KeepaliveEnforcementPolicy(enforcement))
}

// SetClasses replaces the classes. The indices of the previous classes stay valid. It must be called on the engine's
// goroutine.
func (s *Server) SetClasses(all []balancer.Class) { s.host.ledger.SetClasses(all) }

// setHealth sets the status that health checks report.
func (s *Server) setHealth(servingStatus healthv1.HealthCheckResponse_ServingStatus) {
	s.health.SetServingStatus("", servingStatus)
	s.health.SetServingStatus(extprocv3.ExternalProcessor_ServiceDesc.ServiceName, servingStatus)
}

// admit rejects a stream over the limit before resources are spent on it, and sets the deadline of the others.
func (s *Server) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	if info.FullMethodName != extprocv3.ExternalProcessor_Process_FullMethodName {
		return ctx, nil
	}
	if s.streams.Load() >= int64(s.opts.MaxStreams) {
		return nil, s.tooManyStreams()
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.DrainTimeout+streamGrace)
	_ = cancel // the end of the stream cancels the parent, which stops the timer
	return ctx, nil
}

// tooManyStreams returns the status of a stream over the limit.
func (s *Server) tooManyStreams() error {
	return status.Errorf(codes.ResourceExhausted, "limit of %d open streams reached", s.opts.MaxStreams)
}

// Process handles one stream: one request of a caller. It implements extprocv3.ExternalProcessorServer.
func (s *Server) Process(connection extprocv3.ExternalProcessor_ProcessServer) error {
	defer s.streams.Add(-1)
	if s.streams.Add(1) > int64(s.opts.MaxStreams) {
		return s.tooManyStreams()
	}
	handler := &stream{server: s, connection: connection}
	err := handler.run()
	handler.close()
	return err
}

// Serve serves until ctx ends. Then it shuts down gracefully: callers get GOAWAY, open requests finish within the
// drain time, and new ones are rejected.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer close(s.ended)
	served := make(chan error, 1)
	go func() { served <- s.grpc.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.setHealth(healthv1.HealthCheckResponse_NOT_SERVING)
	forcedStop := time.AfterFunc(s.opts.DrainTimeout+streamGrace, s.grpc.Stop)
	defer forcedStop.Stop()
	s.grpc.GracefulStop()
	return <-served
}

// Counts returns the number of streams, rounds and entries of the routing ledger. It must not be called on the engine's
// goroutine.
func (s *Server) Counts() (streams, rounds, entries int) {
	s.engine.Call(func(balancer.Micros) { streams, rounds, entries = s.host.ledger.Counts() })
	return streams, rounds, entries
}
