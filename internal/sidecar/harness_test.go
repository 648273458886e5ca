package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/httpupstream"
)

// testTimeout is how long a test waits for an event that must happen.
const testTimeout = 20 * time.Second

// settingsText are the settings of the platform's file.
const settingsText = `{"areas":["a","b"],"skus":["m1"],"stages":["s"],"tenants":[],"discovery":"subscribe",
 "classes":[
 {"name":"read","repeat":"pure","target":600000,"give-up":3000000,"credit":1},
 {"name":"pay","repeat":"token","group":"all","window":5000000,"target":600000,"give-up":3000000,"credit":1},
 {"name":"close","repeat":"token","group":"cell","window":5000000,"target":600000,"give-up":3000000,"credit":1},
 {"name":"order","repeat":"side_effect","target":600000,"give-up":3000000,"credit":1}],
 "contract":{"answer-slack":20000,"ask-within":1000000,"cold-from":0.3,"drain-grace":1000000,"fall-multiple":2.5,
 "overload-for":1000000,"ramp-time":0},
 "limits":{"cancel":true,"dial-timeout":2000000,"keepalive":5000000,"max-retry-after":1500000,
 "most-held":1000,"most-tries":3,"multiplex":1,"probes":false,"retry-after":true,"second-copies":true},
 "reporting":{"how":"probe","fields":["failed_ps","pending"]},"peers-total":1,"position":0,"zone":0}`

// clientDisconnected is spy's name of that event.
const clientDisconnected = "client disconnected"

// spy passes all events on to the balancer and records them.
type spy struct {
	engine.Decider
	mu       sync.Mutex
	outcomes []balancer.Outcome
	events   []string
	lists    []balancer.ListKind
	probes   []balancer.Status
	loads    [][]float32
	requests int
}

func (s *spy) HandleRequest(now balancer.Micros, in balancer.Request) {
	s.record(func() { s.requests++ })
	s.Decider.HandleRequest(now, in)
}

func (s *spy) AttemptCompleted(now balancer.Micros, o balancer.Outcome) {
	s.record(func() {
		s.outcomes = append(s.outcomes, o)
		s.events = append(s.events, "outcome")
	})
	s.Decider.AttemptCompleted(now, o)
}

func (s *spy) TimerFired(now balancer.Micros, token uint32) {
	if token >= 1<<20 { // the token is a request's
		s.record(func() { s.events = append(s.events, "timer") })
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

func (s *spy) ProbeCompleted(now balancer.Micros, id uint32, status balancer.Status, latency balancer.Micros,
	load []float32) {
	s.record(func() {
		s.probes = append(s.probes, status)
		s.loads = append(s.loads, load)
	})
	s.Decider.ProbeCompleted(now, id, status, latency, load)
}

// record runs f under the lock.
func (s *spy) record(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// hasEvent reports whether the balancer was notified of an event of this name.
func (s *spy) hasEvent(event string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.events, event)
}

// statuses returns the status of each attempt that has ended so far.
func (s *spy) statuses() (all []balancer.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		all = append(all, o.Status)
	}
	return all
}

// harness is a running sidecar with a discovery service.
type harness struct {
	t              *testing.T
	url            string
	cfg            *Config
	engine         *engine.Engine
	server         *httpfront.Server
	maxConnections int                                                    // connections of clients
	dialControl    func(network, address string, c syscall.RawConn) error // of dials to endpoints
	adjustFront    func(*httpfront.Options)
	spy            *spy
	dir            *fakediscovery.Directory
	stop           context.CancelFunc // as SIGTERM does
	ended          chan error
}

// configure returns a configuration whose cached list has the given hosts.
func configure(t *testing.T, discovery string, alter func(settings map[string]any), hosts ...fakediscovery.Host) *Config {
	t.Helper()
	var settings map[string]any
	if err := json.Unmarshal([]byte(settingsText), &settings); err != nil {
		t.Fatal(err)
	}
	if alter != nil {
		alter(settings)
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"known":  fakediscovery.Document{Complete: true, Hosts: hosts}, "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// start runs a sidecar whose cached list has these hosts, and waits until it is ready.
func start(t *testing.T, alter func(settings map[string]any), hosts ...fakediscovery.Host) *harness {
	t.Helper()
	return startWith(t, alter, nil, hosts...)
}

// startWith is start with other options for the front.
func startWith(t *testing.T, alter func(settings map[string]any), options func(*httpfront.Options),
	hosts ...fakediscovery.Host) *harness {
	t.Helper()
	return (&harness{t: t, adjustFront: options, dir: fakediscovery.New(t, hosts...)}).startReady(alter, hosts...)
}

// startReady launches the sidecar and waits until it is ready.
func (h *harness) startReady(alter func(settings map[string]any), hosts ...fakediscovery.Host) *harness {
	t := h.t
	t.Helper()
	h.launch(configure(t, h.dir.Address, alter, hosts...))
	h.waitFor("ready", func() bool {
		response, err := http.Get(h.url + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return h
}

// launch runs a sidecar until the test ends.
func (h *harness) launch(cfg *Config) {
	h.t.Helper()
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		h.t.Fatal(err)
	}
	h.ended = make(chan error, 1)
	h.url = "http://" + listener.Addr().String()
	engineCtx, stopEngine := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	upOptions := upstreamOptions(cfg)
	upOptions.Dialer.Control = h.dialControl
	// 1 ns: the number of connections must not depend on how busy the machine is.
	upOptions.Settle = 1
	up := httpupstream.New(upOptions)
	options := engineOptions(cfg, up, log)
	options.WrapDecider = func(d engine.Decider) engine.Decider {
		h.spy = &spy{Decider: d}
		return h.spy
	}
	h.cfg = cfg
	h.engine, err = engine.New(engineCtx, options)
	if err != nil {
		h.t.Fatal(err)
	}
	front := frontOptions(cfg, log)
	if h.adjustFront != nil {
		h.adjustFront(&front)
	}
	h.maxConnections = front.Connections
	h.server = httpfront.New(h.engine, up, front)
	go h.engine.Run()
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() {
		h.ended <- h.server.Serve(ctx, listener)
		stopEngine()
	}()
	h.t.Cleanup(func() {
		stop()
		h.server.Close()
	})
}

// waitFor waits until condition is true.
func (h *harness) waitFor(what string, condition func() bool) {
	h.t.Helper()
	wait.Until(h.t, what, condition)
}

// waitForEnd waits until the sidecar has ended by itself.
func (h *harness) waitForEnd() {
	h.t.Helper()
	select {
	case err := <-h.ended:
		if err != nil {
			h.t.Errorf("the sidecar ended with %v", err)
		}
	case <-time.After(testTimeout):
		h.t.Error("the sidecar does not end")
	}
}

// inEngine runs f in the engine's goroutine and waits for it.
func (h *harness) inEngine(f func()) {
	h.t.Helper()
	done := make(chan struct{})
	h.engine.Post(func(balancer.Micros) {
		f()
		close(done)
	})
	<-done
}

var lastID atomic.Uint32 // of the requests made by newRequest

// newRequest returns a client's request of a class.
func (h *harness) newRequest(class, body string, remaining time.Duration) *http.Request {
	h.t.Helper()
	method := http.MethodPost
	if class == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, h.url+"/"+class+"/x%2Fy?q=1", strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("9b1f03aa%08x", lastID.Add(1)))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", fmt.Sprint(remaining.Milliseconds()))
	if class == "pay" || class == "close" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
	}
	return r
}

// reply is a response as a client receives it.
type reply struct {
	code   int
	header http.Header
	body   string
	err    error
}

// send sends a request on a connection of its own.
func (h *harness) send(r *http.Request) reply {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport, Timeout: testTimeout}).Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err}
}
