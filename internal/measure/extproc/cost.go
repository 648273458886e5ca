package extproc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/measure/process"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/proxy"
)

// CostOptions are the size of a comparison.
type CostOptions struct {
	Servers     int
	Connections int
	Span        time.Duration
	Profile     string
}

// CostReport compares verdicts with a processor that decides nothing.
type CostReport struct {
	Noop, Ours ProcessorCost
	Common     float64 // the rate asked for: 70% of the no-op's peak
}

// ProcessorCost is what one processor's verdicts cost.
type ProcessorCost struct {
	Peak        float64       // streams a second with as many callers as it takes
	CPU         time.Duration // of the processor's process, per stream, at the common rate
	P50, P99    time.Duration // of the verdict alone, at the common rate
	Rate        float64       // that was reached
	StreamBytes int64         // of heap and stacks, per open stream that has its verdict
	Rejected    float64       // share of verdicts at the common rate
}

// Print writes the report for a reader.
func (r *CostReport) Print(out io.Writer) {
	fmt.Fprintf(out, "%-28s %12s %12s %8s\n", "", "no-op", "pinedale", "ratio")
	row := func(name, unit string, a, b float64) {
		fmt.Fprintf(out, "%-28s %9.1f %-2s %9.1f %-2s %8.2f\n", name, a, unit, b, unit, b/a)
	}
	row("peak, streams a second", "", r.Noop.Peak, r.Ours.Peak)
	fmt.Fprintf(out, "at %.0f streams a second, 70%% of the no-op's peak (reached: %.0f and %.0f)\n", r.Common, r.Noop.Rate, r.Ours.Rate)
	row("CPU a stream", "us", micros(r.Noop.CPU), micros(r.Ours.CPU))
	row("verdict, median", "us", micros(r.Noop.P50), micros(r.Ours.P50))
	row("verdict, 99th percentile", "us", micros(r.Noop.P99), micros(r.Ours.P99))
	fmt.Fprintf(out, "refused: %.4f of pinedale's verdicts\n", r.Ours.Rejected)
	row("memory an open stream", "KB", float64(r.Noop.StreamBytes)/1024, float64(r.Ours.StreamBytes)/1024)
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// noop answers every phase with nothing to change.
type noop struct{}

func (noop) Process(s extprocv3.ExternalProcessor_ProcessServer) error {
	for {
		in, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		out := &extprocv3.ProcessingResponse{}
		common := &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{}}
		switch in.Request.(type) {
		case *extprocv3.ProcessingRequest_RequestHeaders:
			// It names an endpoint, always the same: the least that a picker says.
			common.Response.HeaderMutation = &extprocv3.HeaderMutation{SetHeaders: []*corev3.HeaderValueOption{{
				Header: &corev3.HeaderValue{Key: "x-gateway-destination-endpoint", RawValue: []byte("127.0.0.1:1")}}}}
			out.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: common}
		default:
			out.Response = &extprocv3.ProcessingResponse_ResponseHeaders{ResponseHeaders: common}
		}
		if err := s.Send(out); err != nil {
			return err
		}
	}
}

// Kinds are what this package's measurements start as processes of their own.
var Kinds = map[string]process.Serve{"noop": serveNoop, "processor": serveProcessor}

func serveNoop([]string) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := grpc.NewServer()
	extprocv3.RegisterExternalProcessorServer(server, noop{})
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server.Stop, nil
}

// serveProcessor serves pinedale's, for the discovery at the address given.
func serveProcessor(args []string) (string, func(), error) {
	f, err := config.Parse([]byte(File(args[0], false, 3)))
	if err != nil {
		return "", nil, err
	}
	f.ExtProc.Streams = 50_000
	f.Limits.MemoryMB = 2048 // at the peak keys are remembered by tens of thousands
	app.UseMemory(f)
	i, err := app.Start(f, slog.New(slog.DiscardHandler))
	if err != nil {
		return "", nil, err
	}
	if err := i.WaitReady(); err != nil {
		return "", nil, err
	}
	return i.ExtProc.String(), func() {}, nil
}

// caller drives streams over a few connections.
type caller struct {
	p        *proxy.Proxy
	id       atomic.Int64
	rejected atomic.Int64
}

// stream asks, takes the verdict, reports 200 and ends. It returns how long the
// verdict took.
func (c *caller) stream(ctx context.Context) (time.Duration, error) {
	n := c.id.Add(1)
	id := strconv.FormatInt(n, 16)
	q := proxy.Request{Method: "POST", Path: "/stall-pay/x", Body: "body", Header: map[string]string{
		"x-correlation-id": id, "x-service-class": "stall-pay", "x-time-left-ms": "2000", "idempotency-key": "key-" + id}}
	if n%2 == 0 {
		q.Method, q.Path, q.Body = "GET", "/price-check/x", ""
		q.Header["x-service-class"] = "price-check"
	}
	began := time.Now()
	s, err := c.p.OpenStream(ctx)
	if err != nil {
		return 0, err
	}
	if err := s.Send(proxy.RequestHeaders(q, 0)); err != nil {
		return 0, err
	}
	m, err := s.Recv()
	if err != nil {
		return 0, err
	}
	took := time.Since(began)
	v, err := proxy.ParseDecision(m)
	if err != nil {
		return 0, err
	}
	if v.Endpoint == "" {
		if v.Code != 503 {
			return 0, fmt.Errorf("answered %d %s", v.Code, v.Body)
		}
		// A refusal is a verdict, too: before it has learned how fast the servers
		// are, the module takes a crowd for a queue.
		c.rejected.Add(1)
		_ = s.CloseSend()
		_, _ = s.Recv() // the stream's end
		return took, nil
	}
	if err := s.Send(proxy.ResponseHeaders(200, nil, "via_upstream", v.Endpoint)); err != nil {
		return 0, err
	}
	if _, err := s.Recv(); err != nil {
		return 0, err
	}
	if err := s.CloseSend(); err != nil {
		return 0, err
	}
	if _, err := s.Recv(); !errors.Is(err, io.EOF) {
		return 0, err
	}
	return took, nil
}

// peak is the rate that so many callers reach without a pause.
func (c *caller) peak(callers int, span time.Duration) (float64, error) {
	var done atomic.Int64
	var failed atomic.Value
	var all sync.WaitGroup
	end := time.Now().Add(span)
	for range callers {
		all.Go(func() {
			for time.Now().Before(end) {
				if _, err := c.stream(context.Background()); err != nil {
					failed.Store(err)
					return
				}
				done.Add(1)
			}
		})
	}
	all.Wait()
	if err, ok := failed.Load().(error); ok {
		return 0, err
	}
	return float64(done.Load()) / span.Seconds(), nil
}

// paced sends at a rate, whether answers come or not, and returns the verdicts'
// latencies, counted from when each was due.
func (c *caller) paced(rate float64, span time.Duration) ([]time.Duration, error) {
	const workers = 256
	due := make(chan time.Time, int(rate*span.Seconds())+1)
	began := time.Now()
	for n := 0; n < int(rate*span.Seconds()); n++ {
		due <- began.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	}
	close(due)
	var mu sync.Mutex
	var took []time.Duration
	var first error
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			var mine []time.Duration
			var err error
			for at := range due {
				time.Sleep(time.Until(at))
				late := time.Since(at) // the wait for a worker counts where all are busy
				var d time.Duration
				if d, err = c.stream(context.Background()); err != nil {
					break
				}
				if late > time.Millisecond {
					d += late
				}
				mine = append(mine, d)
			}
			mu.Lock()
			took = append(took, mine...)
			if first == nil {
				first = err
			}
			mu.Unlock()
		})
	}
	all.Wait()
	return took, first
}

// The parts of a comparison.
const (
	peakCallers = 64  // that ask without a pause
	commonShare = 0.7 // of the no-op's peak, at which both are compared
	turns       = 3   // of each processor; of each figure the middle one counts
)

// side is one of the processors that are compared.
type side struct {
	options       CostOptions
	kind, arg     string
	profile       string // file for a CPU profile of the last turn
	out           *ProcessorCost
	cpu, p50, p99 []time.Duration // by turn
}

// Cost compares verdicts with a no-op processor on the same library. Both serve in
// processes of their own, one after the other, in turns.
func Cost(o CostOptions) (*CostReport, error) {
	dir, err := fakediscovery.Start()
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	if err := startFleet(dir, o.Servers); err != nil {
		return nil, err
	}
	r := &CostReport{}
	sides := []*side{
		{options: o, kind: "noop", out: &r.Noop},
		{options: o, kind: "processor", arg: dir.Address, profile: o.Profile, out: &r.Ours},
	}
	for _, s := range sides {
		if err := s.with("", s.peak); err != nil {
			return nil, err
		}
	}
	r.Common = commonShare * r.Noop.Peak
	for turn := range turns {
		for _, s := range sides {
			profile := ""
			if turn == turns-1 {
				profile = s.profile
			}
			if err := s.with(profile, func(p *process.Process, c *caller) error { return s.turn(p, c, turn, r.Common) }); err != nil {
				return nil, err
			}
		}
	}
	for _, s := range sides {
		s.out.CPU, s.out.P50, s.out.P99 = median(s.cpu), median(s.p50), median(s.p99)
	}
	return r, nil
}

// startFleet starts servers and lists them in the discovery.
func startFleet(dir *fakediscovery.Directory, servers int) (err error) {
	fleet := &fakebackend.Fleet{Seed: 1}
	dir.Change(func() {
		for n := range servers {
			s, startErr := fleet.Start(fmt.Sprintf("soko-%d", n), n/2)
			if startErr != nil {
				err = startErr
				return
			}
			h := fakediscovery.Ready(s.Name, s.Address)
			h.Site, h.Class = "arusha", "box"
			dir.List.Hosts = append(dir.List.Hosts, h)
		}
		dir.List.Seq = 1
	})
	return err
}

// with starts the processor, has a measurement done with a caller of it, and stops it.
func (s *side) with(profile string, measure func(*process.Process, *caller) error) error {
	p, err := process.Start(s.kind, profile, s.arg)
	if err != nil {
		return fmt.Errorf("%s: %w", s.kind, err)
	}
	defer p.Stop()
	c := &caller{}
	if c.p, err = proxy.Dial(p.Line, s.options.Connections); err != nil {
		return fmt.Errorf("%s: %w", s.kind, err)
	}
	defer c.p.Close()
	if err := measure(p, c); err != nil {
		return fmt.Errorf("%s: %w", s.kind, err)
	}
	return nil
}

// peak measures the peak, after a warm-up.
func (s *side) peak(_ *process.Process, c *caller) (err error) {
	if _, err := c.peak(peakCallers, s.options.Span/3); err != nil {
		return err
	}
	s.out.Peak, err = c.peak(peakCallers, s.options.Span)
	return err
}

// turn measures at the common rate, after a warm-up. The first turn measures open streams, too.
func (s *side) turn(p *process.Process, c *caller, turn int, rate float64) error {
	if _, err := c.paced(rate, s.options.Span/3); err != nil {
		return err
	}
	c.rejected.Store(0)
	before, _, err := p.Figures()
	if err != nil {
		return err
	}
	began := time.Now()
	took, err := c.paced(rate, s.options.Span)
	if err != nil {
		return err
	}
	after, idle, err := p.Figures()
	if err != nil {
		return err
	}
	s.out.Rate = float64(len(took)) / time.Since(began).Seconds()
	s.out.Rejected = float64(c.rejected.Load()) / float64(len(took))
	slices.Sort(took)
	s.cpu = append(s.cpu, (after-before)/time.Duration(len(took)))
	s.p50 = append(s.p50, took[len(took)/2])
	s.p99 = append(s.p99, took[len(took)*99/100])
	if turn > 0 {
		return nil
	}
	s.out.StreamBytes, err = c.openStreams(p, idle)
	return err
}

// median returns the middle one. It sorts what it is given.
func median(of []time.Duration) time.Duration {
	slices.Sort(of)
	return of[len(of)/2]
}

// openStreams opens streams that have their verdict and stay, and returns what each
// takes of the process's memory.
func (c *caller) openStreams(p *process.Process, idle int64) (int64, error) {
	const streams = 5000
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range streams {
		s, err := c.p.OpenStream(ctx)
		if err != nil {
			return 0, err
		}
		id := "open-" + strconv.Itoa(n)
		if err := s.Send(proxy.RequestHeaders(proxy.Request{Method: "GET", Path: "/price-check/x", Header: map[string]string{
			"x-correlation-id": id, "x-service-class": "price-check", "x-time-left-ms": "60000"}}, 0)); err != nil {
			return 0, err
		}
		if _, err := s.Recv(); err != nil {
			return 0, err
		}
	}
	_, open, err := p.Figures()
	return (open - idle) / streams, err
}
