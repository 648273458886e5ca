package extproc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"pinedale/internal/measure/harness"
	"pinedale/internal/measure/process"
	"pinedale/internal/standin/proxy"
)

const (
	pacedWorkers = 256 // that send at a fixed rate
	maxLateness  = time.Millisecond

	openStreamCount = 5000
)

// streamCaller makes calls over a few connections to one processor.
type streamCaller struct {
	proxy    *proxy.Proxy
	lastID   atomic.Int64
	rejected atomic.Int64
}

// nextRequest returns the next request: of stall-pay and price-check in turn.
func (c *streamCaller) nextRequest() proxy.Request {
	number := c.lastID.Add(1)
	id := strconv.FormatInt(number, 16)
	request := proxy.Request{
		Method: http.MethodPost,
		Path:   "/stall-pay/x",
		Body:   "body",
		Header: map[string]string{
			"x-correlation-id": id,
			"x-service-class":  classStallPay,
			"x-time-left-ms":   "2000",
			"idempotency-key":  "key-" + id,
		},
	}
	if number%2 == 0 {
		request.Method = http.MethodGet
		request.Path = "/price-check/x"
		request.Body = ""
		request.Header["x-service-class"] = classPriceCheck
	}
	return request
}

// call opens a stream, receives the decision, reports 200 and ends the stream. It returns the latency of the decision.
func (c *streamCaller) call(ctx context.Context) (time.Duration, error) {
	request := c.nextRequest()
	start := time.Now()
	stream, message, err := c.open(ctx, request)
	if err != nil {
		return 0, err
	}
	latency := time.Since(start)
	decision, err := proxy.ParseDecision(message)
	if err != nil {
		return 0, err
	}
	if decision.Endpoint != "" {
		return latency, report(stream, decision.Endpoint)
	}
	if decision.Code != http.StatusServiceUnavailable {
		return 0, fmt.Errorf("unexpected immediate response %d %s", decision.Code, decision.Body)
	}
	// A rejection is a decision, too. Until the balancer has measured how fast the servers are, it takes many concurrent
	// requests for a queue and rejects some.
	c.rejected.Add(1)
	_ = stream.CloseSend()
	_, _ = stream.Recv() // the end of the stream
	return latency, nil
}

// open opens a stream for a request and receives the message with the decision.
func (c *streamCaller) open(ctx context.Context, request proxy.Request) (
	stream extprocv3.ExternalProcessor_ProcessClient, message *extprocv3.ProcessingResponse, err error,
) {
	if stream, err = c.proxy.OpenStream(ctx); err != nil {
		return nil, nil, err
	}
	if err = stream.Send(proxy.RequestHeaders(request, 0)); err != nil {
		return nil, nil, err
	}
	message, err = stream.Recv()
	return stream, message, err
}

// report reports that an endpoint has served the request of a stream, and ends the stream.
func report(stream extprocv3.ExternalProcessor_ProcessClient, endpoint string) error {
	if err := stream.Send(proxy.ResponseHeaders(http.StatusOK, nil, "via_upstream", endpoint)); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// callClosedLoop returns the rate of calls per second that closed-loop callers reach.
func (c *streamCaller) callClosedLoop(callers int, span time.Duration) (rate float64, err error) {
	var (
		done  atomic.Int64
		once  sync.Once
		first error
	)
	harness.RunClients(callers, span, func(ctx context.Context, _ int) {
		for ctx.Err() == nil {
			if _, err := c.call(context.Background()); err != nil {
				once.Do(func() { first = err })
				return
			}
			done.Add(1)
		}
	})
	if first != nil {
		return 0, first
	}
	return float64(done.Load()) / span.Seconds(), nil
}

// callOpenLoop makes calls at a rate, whether earlier decisions have arrived or not, and returns the latencies of the
// decisions, each measured from the time at which the call was due.
func (c *streamCaller) callOpenLoop(rate float64, span time.Duration) ([]time.Duration, error) {
	count := int(rate * span.Seconds())
	due := make(chan time.Time, count+1)
	start := time.Now()
	for n := range count {
		due <- start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	}
	close(due)
	var (
		mu        sync.Mutex
		latencies []time.Duration
	)
	err := harness.ForEach(pacedWorkers, pacedWorkers, func(int) error {
		ofClient, err := c.callWhenDue(due)
		mu.Lock()
		defer mu.Unlock()
		latencies = append(latencies, ofClient...)
		return err
	})
	return latencies, err
}

// callWhenDue makes a call at each time that it receives, until the channel is closed or a call fails.
func (c *streamCaller) callWhenDue(due <-chan time.Time) (latencies []time.Duration, err error) {
	for dueAt := range due {
		time.Sleep(time.Until(dueAt))
		lateness := time.Since(dueAt)
		latency, err := c.call(context.Background())
		if err != nil {
			return latencies, err
		}
		if lateness > maxLateness { // all workers were busy
			latency += lateness
		}
		latencies = append(latencies, latency)
	}
	return latencies, nil
}

// measureOpenStreams opens streams that stay open after their decision, and returns the processor's memory for each of
// them. idleMemory is the processor's memory without them.
func (c *streamCaller) measureOpenStreams(processor *process.Process, idleMemory int64) (bytes int64, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range openStreamCount {
		request := proxy.Request{
			Method: http.MethodGet,
			Path:   "/price-check/x",
			Header: map[string]string{
				"x-correlation-id": "open-" + strconv.Itoa(n),
				"x-service-class":  classPriceCheck,
				"x-time-left-ms":   "60000",
			},
		}
		if _, _, err := c.open(ctx, request); err != nil {
			return 0, err
		}
	}
	usage, err := processor.Usage()
	return (usage.Memory - idleMemory) / openStreamCount, err
}
