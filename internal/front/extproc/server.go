// Package extproc is the front for other proxies: the gRPC service
// envoy.service.ext_proc.v3.ExternalProcessor. A proxy asks on each request and is
// told the endpoint, or the refusal or failure to answer with; it carries the
// attempt out and reports the answer. The decision module decides as for the other
// fronts; package verdict remembers who asked what.
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
	"pinedale/internal/intake"
	"pinedale/internal/routing"
)

const (
	busyRetry routing.Micros = 1_000_000 // wait told to clients while too many asks wait

	// A message holds a head, its attributes and metadata.
	messageMost = 4 * httpmsg.HeadMost

	// A connection that answers no ping is dead, and so are its streams: their
	// requests must not be held for callers that cannot hear.
	pingAfter   = 10 * time.Second
	pingTimeout = 5 * time.Second

	// streamGrace is how long a stream may stand beyond the longest deadline of a
	// class: a proxy that has its answer ends the stream, and one that never asked
	// has forgotten it.
	streamGrace = 5 * time.Second
)

// Options bound what callers may hold.
type Options struct {
	Streams int  // open at once, over all connections
	Backlog int  // asks that wait for the engine; more are refused at once
	Retries bool // callers ask again after a reported failure
	Entries int  // requests remembered
	Fields  []string
	Parser  *intake.Parser // nil for that of the engine's settings
	TLS     *tls.Config    // nil for plain text
	Renew   time.Duration  // age at which a secure connection is told to come anew, so that none outlives its keys by more
	Drain   time.Duration  // longest deadline of a class: open verdicts finish within it
	Log     *slog.Logger
}

// Server is the front. Make one with New.
type Server struct {
	engine  *engine.Engine
	host    *host // on the engine's goroutine
	parser  *intake.Parser
	opts    Options
	grpc    *grpc.Server
	health  *health.Server
	streams atomic.Int64
	backlog atomic.Int64
	lastAsk atomic.Uint64
	ended   chan struct{}
}

// New returns a front of the engine.
func New(e *engine.Engine, o Options) *Server {
	set := e.Settings()
	if o.Parser == nil {
		o.Parser = intake.NewParser(set)
	}
	s := &Server{engine: e, parser: o.Parser, opts: o, health: health.NewServer(), ended: make(chan struct{}),
		host: newHost(e, routing.Limits{Classes: set.Classes, MaxAttempts: set.Limits.MaxAttempts,
			Hedging: set.Limits.Hedging, CallersRetry: o.Retries, MaxEntries: o.Entries})}
	alive := keepalive.ServerParameters{Time: pingAfter, Timeout: pingTimeout}
	var secured []grpc.ServerOption
	if o.TLS != nil {
		alive.MaxConnectionAge = o.Renew // gRPC spreads it by a tenth; streams that are open go on
		secured = append(secured, grpc.Creds(credentials.NewTLS(o.TLS)))
	}
	s.grpc = grpc.NewServer(append(secured, grpc.MaxRecvMsgSize(messageMost), grpc.InTapHandle(s.admit),
		grpc.MaxConcurrentStreams(uint32(o.Streams)),
		grpc.KeepaliveParams(alive),
		// Proxies ping, too: Envoy's usual interval is 30 s, and 1 s is no attack.
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))...)
	extprocv3.RegisterExternalProcessorServer(s.grpc, s)
	healthv1.RegisterHealthServer(s.grpc, s.health)
	s.setHealth(healthv1.HealthCheckResponse_SERVING)
	return s
}

// Classes tells of classes that have come; those of before keep their numbers. It must
// be called on the engine's goroutine.
func (s *Server) Classes(all []balancer.Class) { s.host.ledger.SetClasses(all) }

func (s *Server) setHealth(is healthv1.HealthCheckResponse_ServingStatus) {
	s.health.SetServingStatus("", is)
	s.health.SetServingStatus(extprocv3.ExternalProcessor_ServiceDesc.ServiceName, is)
}

// admit turns a stream away before anything is spent on it, and sets its end: the
// time by which any caller that lives has ended it.
func (s *Server) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	if info.FullMethodName != extprocv3.ExternalProcessor_Process_FullMethodName {
		return ctx, nil
	}
	if s.streams.Load() >= int64(s.opts.Streams) {
		return nil, s.tooMany()
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Drain+streamGrace)
	_ = cancel // the stream's own end stops the timer
	return ctx, nil
}

func (s *Server) tooMany() error {
	return status.Errorf(codes.ResourceExhausted, "%d streams are open, and no more may be", s.opts.Streams)
}

// Serve serves until ctx ends. Then callers are told to go elsewhere (GOAWAY),
// open verdicts finish, and nothing new is taken.
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
	hard := time.AfterFunc(s.opts.Drain+streamGrace, s.grpc.Stop)
	defer hard.Stop()
	s.grpc.GracefulStop()
	return <-served
}

// Held counts what the front holds of asks, rounds and entries. It must not be
// called on the engine's goroutine.
func (s *Server) Held() (asks, rounds, entries int) {
	s.engine.Call(func(balancer.Micros) { asks, rounds, entries = s.host.ledger.Counts() })
	return
}
