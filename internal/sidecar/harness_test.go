package sidecar

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/httpupstream"
)

// testSettings returns the settings of the platform's file, with classes of each kind of idempotency.
func testSettings() testfleet.SidecarSettings {
	settings := testfleet.FullSettings(3*time.Second, 5*time.Second)
	settings.Stages = []string{"s"}
	settings.Limits.Hedging = true
	settings.Reporting = &testfleet.Reporting{
		Mode:   testfleet.ReportingByProbe,
		Fields: []string{"failed_ps", "pending"},
	}
	return settings
}

// decisionEvent is an event that the balancer receives.
type decisionEvent string

const (
	attemptCompleted   decisionEvent = "attempt completed"
	requestTimerFired  decisionEvent = "request timer fired"
	clientDisconnected decisionEvent = "client disconnected"
)

// spy records all events and passes them on to the balancer.
type spy struct {
	engine.Decider

	mu       sync.Mutex
	outcomes []balancer.Outcome
	events   []decisionEvent
	lists    []balancer.ListKind
	requests int // received
}

// firstRequestToken is the lowest token of a timer that belongs to a request.
const firstRequestToken = 1 << 20

func (s *spy) HandleRequest(now balancer.Micros, in balancer.Request) {
	s.record(func() { s.requests++ })
	s.Decider.HandleRequest(now, in)
}

func (s *spy) AttemptCompleted(now balancer.Micros, o balancer.Outcome) {
	s.record(func() {
		s.outcomes = append(s.outcomes, o)
		s.events = append(s.events, attemptCompleted)
	})
	s.Decider.AttemptCompleted(now, o)
}

func (s *spy) TimerFired(now balancer.Micros, token uint32) {
	if token >= firstRequestToken {
		s.record(func() { s.events = append(s.events, requestTimerFired) })
	}
	s.Decider.TimerFired(now, token)
}

func (s *spy) ClientDisconnected(now balancer.Micros, id uint64) {
	s.record(func() { s.events = append(s.events, clientDisconnected) })
	s.Decider.ClientDisconnected(now, id)
}

func (s *spy) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	s.Decider.UpdateEndpoints(now, kind, entries)
	s.record(func() { s.lists = append(s.lists, kind) })
}

// record runs f while it holds the lock.
func (s *spy) record(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// hasEvent reports whether the balancer has received an event.
func (s *spy) hasEvent(event decisionEvent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.events, event)
}

// statuses returns the status of each attempt that has ended so far.
func (s *spy) statuses() []balancer.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var statuses []balancer.Status
	for _, o := range s.outcomes {
		statuses = append(statuses, o.Status)
	}
	return statuses
}

// listCount returns the number of lists of a kind that the balancer has received.
func (s *spy) listCount(kind balancer.ListKind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, k := range s.lists {
		if k == kind {
			count++
		}
	}
	return count
}

// alterSettings changes the settings of a test. A nil function leaves them unchanged.
type alterSettings func(*testfleet.SidecarSettings)

// dialControl is called with each dial to an endpoint, as net.Dialer.Control.
type dialControl func(network, address string, conn syscall.RawConn) error

// harness is a running sidecar with a discovery service.
type harness struct {
	t       *testing.T
	address string // on which the sidecar listens
	cfg     *Config
	engine  *engine.Engine
	server  *httpfront.Server
	spy     *spy
	dir     *fakediscovery.Directory
	stop    context.CancelFunc // as SIGTERM does
	ended   chan error         // receives the error of Serve

	maxConnections int // of clients
	dialControl    dialControl
	adjustFront    func(*httpfront.Options)
}

// blockDials returns a control that reports each dial to an endpoint on dialling, and blocks it until established is
// closed.
func blockDials() (control dialControl, dialling <-chan struct{}, established chan<- struct{}) {
	began, proceed := make(chan struct{}, 9), make(chan struct{})
	control = func(string, string, syscall.RawConn) error {
		began <- struct{}{}
		<-proceed
		return nil
	}
	return control, began, proceed
}

// configure returns a configuration whose cached list contains the given hosts.
func configure(t *testing.T, discovery string, alter alterSettings, hosts ...fakediscovery.Host) *Config {
	t.Helper()
	settings := testSettings()
	if alter != nil {
		alter(&settings)
	}
	text := testfleet.SidecarConfig{
		Listen:    "127.0.0.1:0",
		Discovery: discovery,
		Hosts:     hosts,
		Seed:      "8c1f30d27a5be964",
		Sockets:   256,
		Settings:  settings,
	}.JSON(t)
	cfg, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// start runs a sidecar whose cached list contains these hosts, and waits until it is ready.
func start(t *testing.T, alter alterSettings, hosts ...fakediscovery.Host) *harness {
	t.Helper()
	return startWith(t, alter, nil, hosts...)
}

// startWith is like start, with adjusted options of the front.
func startWith(
	t *testing.T, alter alterSettings, adjustFront func(*httpfront.Options), hosts ...fakediscovery.Host,
) *harness {
	t.Helper()
	h := &harness{t: t, adjustFront: adjustFront, dir: fakediscovery.New(t, hosts...)}
	return h.startReady(alter, hosts...)
}

// startWithEndpoint runs a sidecar with one endpoint, s-1, whose connections are served by handler.
func startWithEndpoint(t *testing.T, handler scriptedconn.Handler) (*harness, *scriptedconn.Endpoint) {
	t.Helper()
	endpoint := scriptedconn.New(t, handler)
	return start(t, nil, fakediscovery.Ready("s-1", endpoint.Address)), endpoint
}

// startServing runs a sidecar with one endpoint, s-1, which serves every request.
func startServing(t *testing.T) (*harness, *scriptedconn.Endpoint) {
	t.Helper()
	return startWithEndpoint(t, scriptedconn.Always(scriptedconn.Served))
}

// newServingEndpoint starts an endpoint that serves every request.
func newServingEndpoint(t *testing.T) *scriptedconn.Endpoint {
	t.Helper()
	return scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
}

// isPay reports whether a request is of the class "pay".
func isPay(r *http.Request) bool { return strings.HasPrefix(r.RequestURI, "/pay") }

// startReady runs the sidecar and waits until it is ready.
func (h *harness) startReady(alter alterSettings, hosts ...fakediscovery.Host) *harness {
	h.t.Helper()
	h.launch(configure(h.t, h.dir.Address, alter, hosts...))
	h.waitFor("ready", func() bool { return testfleet.IsReady(h.address) })
	return h
}

// launch runs a sidecar until the test ends.
func (h *harness) launch(cfg *Config) {
	h.t.Helper()
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		h.t.Fatal(err)
	}
	h.cfg = cfg
	h.address = listener.Addr().String()
	log := slog.New(slog.DiscardHandler)
	upstream := httpupstream.New(h.upstreamOptions())
	options := engineOptions(cfg, upstream, log)
	options.WrapDecider = func(d engine.Decider) engine.Decider {
		h.spy = &spy{Decider: d}
		return h.spy
	}
	engineCtx, stopEngine := context.WithCancel(context.Background())
	h.engine, err = engine.New(engineCtx, options)
	if err != nil {
		stopEngine()
		h.t.Fatal(err)
	}
	front := frontOptions(cfg, log)
	if h.adjustFront != nil {
		h.adjustFront(&front)
	}
	h.maxConnections = front.Connections
	h.server = httpfront.New(h.engine, upstream, front)
	h.run(listener, stopEngine)
}

// upstreamOptions returns the sidecar's options, with the harness in control of dials.
func (h *harness) upstreamOptions() httpupstream.Options {
	options := upstreamOptions(h.cfg)
	options.Dialer.Control = h.dialControl
	options.Settle = 1 // ns: the number of connections must not depend on how busy the machine is
	return options
}

// run serves until stop is called or the test ends, and then stops the engine.
func (h *harness) run(listener net.Listener, stopEngine context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.ended = make(chan error, 1)
	var running sync.WaitGroup
	running.Go(h.engine.Run)
	running.Go(func() {
		h.ended <- h.server.Serve(ctx, listener)
		stopEngine()
	})
	h.t.Cleanup(func() {
		stop()
		h.server.Close()
		running.Wait()
	})
}

// waitFor waits until condition is true.
func (h *harness) waitFor(what string, condition func() bool) {
	h.t.Helper()
	wait.Until(h.t, what, condition)
}

// waitForEnd waits until the sidecar has ended, without closing it.
func (h *harness) waitForEnd() {
	h.t.Helper()
	select {
	case err := <-h.ended:
		if err != nil {
			h.t.Errorf("the sidecar ended with %v", err)
		}
	case <-time.After(wait.Timeout):
		h.t.Errorf("the sidecar has not ended after %v", wait.Timeout)
	}
}

// inEngine runs f in the engine's goroutine and waits until f returns.
func (h *harness) inEngine(f func()) {
	h.t.Helper()
	done := make(chan struct{})
	h.engine.Post(func(balancer.Micros) {
		f()
		close(done)
	})
	<-done
}

// settledStatuses returns the status of each attempt that has ended, including all attempts of answered requests. The
// engine answers a client before it notifies the balancer of the outcome, but within the same event.
func (h *harness) settledStatuses() []balancer.Status {
	h.t.Helper()
	h.inEngine(func() {}) // waits until the event of the latest answer has been processed
	return h.spy.statuses()
}

// testKey is the idempotency key of all requests whose class requires one.
const testKey = "5c0f6e1a2b3d4c59"

// newRequest returns a client's request of a class.
func (h *harness) newRequest(class, body string, remaining time.Duration) *http.Request {
	h.t.Helper()
	request := testfleet.Request{
		ID:       testfleet.NewRequestID(),
		Class:    class,
		Path:     "x%2Fy?q=1",
		Body:     body,
		TimeLeft: remaining,
	}
	if class == "pay" || class == "close" {
		request.IdempotencyKey = testKey
	}
	return request.HTTP(h.t, h.address)
}

// requestText returns a request with one minute left, as text to write to a connection.
func (h *harness) requestText(class, body string) string {
	h.t.Helper()
	return testfleet.RequestText(h.t, h.newRequest(class, body, time.Minute))
}

// dial opens a client's connection, which is closed when the test ends.
func (h *harness) dial() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(wait.Timeout)); err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// mustWrite writes bytes to a connection.
func (h *harness) mustWrite(conn net.Conn, text string) {
	h.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		h.t.Fatal(err)
	}
}

// reply is the response that a client receives.
type reply struct {
	code   int
	header http.Header
	body   string
	err    error
}

// send sends a request on a new connection.
func (h *harness) send(r *http.Request) reply {
	client := http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   wait.Timeout,
	}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err}
}

// sendAsync sends a request like send and returns the channel of its reply.
func (h *harness) sendAsync(r *http.Request) <-chan reply {
	received := make(chan reply, 1)
	go func() { received <- h.send(r) }()
	return received
}
