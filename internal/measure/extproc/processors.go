package extproc

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/measure/harness"
	"pinedale/internal/measure/process"
)

// The kinds of processes that this package's measurements start.
const (
	noopKind      = "noop"
	processorKind = "processor"
)

// Kinds are the processes that this package's measurements start.
var Kinds = process.Kinds{noopKind: serveNoop, processorKind: serveProcessor}

const (
	maxStreams    = 50_000
	memoryLimitMB = 2048 // at the peak rate the instance stores tens of thousands of idempotency keys
	costAttempts  = 3
)

// noop is a processor that decides nothing.
type noop struct{}

// Process responds to each message at once. Its response to request headers names an endpoint, always the same one: the
// least that a processor that selects endpoints does.
func (noop) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		response := &extprocv3.ProcessingResponse{}
		headers := &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{}}
		switch request.Request.(type) {
		case *extprocv3.ProcessingRequest_RequestHeaders:
			headers.Response.HeaderMutation = noopMutation()
			response.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: headers}
		default:
			response.Response = &extprocv3.ProcessingResponse_ResponseHeaders{ResponseHeaders: headers}
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

func noopMutation() *extprocv3.HeaderMutation {
	endpoint := &corev3.HeaderValue{Key: "x-gateway-destination-endpoint", RawValue: []byte("127.0.0.1:1")}
	return &extprocv3.HeaderMutation{SetHeaders: []*corev3.HeaderValueOption{{Header: endpoint}}}
}

// serveNoop serves the processor that decides nothing. It takes no arguments.
func serveNoop([]string) (line string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := grpc.NewServer()
	extprocv3.RegisterExternalProcessorServer(server, noop{})
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) }) // stop ends it
	return listener.Addr().String(), func() {
		server.Stop()
		serving.Wait()
	}, nil
}

// serveProcessor serves the external processor of pinedale-proxy. Its argument is the address of discovery.
func serveProcessor(args []string) (line string, stop func(), err error) {
	file, err := config.Parse([]byte(configText(args[0], false, costAttempts)))
	if err != nil {
		return "", nil, err
	}
	file.ExtProc.Streams = maxStreams
	file.Limits.MemoryMB = memoryLimitMB
	app.SetMemoryLimit(file)
	instance, err := harness.StartInstance(file, slog.New(slog.DiscardHandler))
	if err != nil {
		return "", nil, err
	}
	return instance.ExtProc.String(), func() {}, nil // open streams would delay a graceful shutdown
}
