package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/httpupstream"
)

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

const settingsText = `{"areas":["a","b"],"skus":["m1"],"stages":["s"],"tenants":[],"discovery":"subscribe",
 "classes":[
 {"name":"read","repeat":"pure","target":600000,"give-up":3000000,"credit":1},
 {"name":"pay","repeat":"token","group":"all","window":5000000,"target":600000,"give-up":3000000,"credit":1},
 {"name":"close","repeat":"token","group":"cell","window":5000000,"target":600000,"give-up":3000000,"credit":1},
 {"name":"order","repeat":"side_effect","target":600000,"give-up":3000000,"credit":1}],
 "contract":{"answer-slack":20000,"ask-within":1000000,"cold-from":0.3,"drain-grace":1000000,"fall-multiple":2.5,"overload-for":1000000,"ramp-time":0},
 "limits":{"cancel":true,"dial-timeout":2000000,"keepalive":5000000,"max-retry-after":1500000,"most-held":1000,"most-tries":3,"multiplex":1,"probes":false,"retry-after":true,"second-copies":true},
 "reporting":{"how":"probe","fields":["failed_ps","pending"]},"peers-total":1,"position":0,"zone":0}`

// spy passes everything on to the balancer and keeps what it was told.
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
	s.note(func() { s.requests++ })
	s.Decider.HandleRequest(now, in)
}

func (s *spy) AttemptCompleted(now balancer.Micros, o balancer.Outcome) {
	s.note(func() {
		s.outcomes = append(s.outcomes, o)
		s.events = append(s.events, "outcome")
	})
	s.Decider.AttemptCompleted(now, o)
}

func (s *spy) TimerFired(now balancer.Micros, token uint32) {
	if token >= 1<<20 { // names a request
		s.note(func() { s.events = append(s.events, "timer") })
	}
	s.Decider.TimerFired(now, token)
}

func (s *spy) ClientDisconnected(now balancer.Micros, id uint64) {
	s.note(func() { s.events = append(s.events, "gone") })
	s.Decider.ClientDisconnected(now, id)
}

func (s *spy) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	s.Decider.UpdateEndpoints(now, kind, entries)
	s.note(func() { s.lists = append(s.lists, kind) })
}

func (s *spy) ProbeCompleted(now balancer.Micros, id uint32, status balancer.Status, latency balancer.Micros, load []float32) {
	s.note(func() { s.probes, s.loads = append(s.probes, status), append(s.loads, load) })
	s.Decider.ProbeCompleted(now, id, status, latency, load)
}

func (s *spy) note(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// statuses returns how the attempts ended so far.
func (s *spy) statuses() (all []balancer.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		all = append(all, o.Status)
	}
	return all
}

// world is a running sidecar with its surroundings.
type world struct {
	t       *testing.T
	url     string
	cfg     *Config
	engine  *engine.Engine
	server  *httpfront.Server
	most    int                                                    // connections of clients
	control func(network, address string, c syscall.RawConn) error // of dials to endpoints
	options func(*httpfront.Options)
	spy     *spy
	dir     *directory.Directory
	stop    context.CancelFunc // as SIGTERM does
	ended   chan error
}

// configure returns a configuration that knows the given list.
func configure(t *testing.T, discovery string, alter func(settings map[string]any), hosts ...directory.Host) *Config {
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
		"known":  directory.Document{Whole: true, Hosts: hosts}, "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// start runs a sidecar that knows these endpoints, and waits until it is ready.
func start(t *testing.T, alter func(settings map[string]any), hosts ...directory.Host) *world {
	t.Helper()
	return startWith(t, alter, nil, hosts...)
}

// startWith is start with other options for the front.
func startWith(t *testing.T, alter func(settings map[string]any), options func(*httpfront.Options), hosts ...directory.Host) *world {
	t.Helper()
	return (&world{t: t, options: options, dir: directory.New(t, hosts...)}).begin(alter, hosts...)
}

func (w *world) begin(alter func(settings map[string]any), hosts ...directory.Host) *world {
	t := w.t
	t.Helper()
	w.launch(configure(t, w.dir.Address, alter, hosts...))
	w.until("ready", func() bool {
		response, err := http.Get(w.url + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return w
}

// launch runs a sidecar until the test ends.
func (w *world) launch(cfg *Config) {
	w.t.Helper()
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		w.t.Fatal(err)
	}
	w.ended = make(chan error, 1)
	w.url = "http://" + listener.Addr().String()
	engineCtx, stopEngine := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	upOptions := upstreamOptions(cfg)
	upOptions.Dialer.Control = w.control
	upOptions.Settle = 1 // of a nanosecond: how many connections there are must not depend on how busy the machine is
	up := httpupstream.New(upOptions)
	options := engineOptions(cfg, up, log)
	options.WrapDecider = func(d engine.Decider) engine.Decider {
		w.spy = &spy{Decider: d}
		return w.spy
	}
	w.cfg = cfg
	w.engine, err = engine.New(engineCtx, options)
	if err != nil {
		w.t.Fatal(err)
	}
	front := frontOptions(cfg, log)
	if w.options != nil {
		w.options(&front)
	}
	w.most = front.Connections
	w.server = httpfront.New(w.engine, up, front)
	go w.engine.Run()
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() {
		w.ended <- w.server.Serve(ctx, listener)
		stopEngine()
	}()
	w.t.Cleanup(func() {
		stop()
		w.server.Close()
	})
}

// until waits for something to become true.
func (w *world) until(what string, is func() bool) {
	w.t.Helper()
	wait.Until(w.t, what, is)
}

// end waits for the sidecar to end by itself.
func (w *world) end() {
	w.t.Helper()
	select {
	case err := <-w.ended:
		if err != nil {
			w.t.Errorf("the sidecar ended with %v", err)
		}
	case <-time.After(patience):
		w.t.Error("the sidecar does not end")
	}
}

// do runs f in the loop and waits for it.
func (w *world) do(f func()) {
	w.t.Helper()
	done := make(chan struct{})
	w.engine.Post(func(balancer.Micros) {
		f()
		close(done)
	})
	<-done
}

var lastID atomic.Uint32 // of requests made by request

// request makes a client's request of a class.
func (w *world) request(class, body string, timeLeft time.Duration) *http.Request {
	w.t.Helper()
	method := http.MethodPost
	if class == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, w.url+"/"+class+"/x%2Fy?q=1", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("9b1f03aa%08x", lastID.Add(1)))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	if class == "pay" || class == "close" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
	}
	return r
}

// reply is a final answer as a client sees it.
type reply struct {
	code   int
	header http.Header
	body   string
	err    error
}

func (w *world) send(r *http.Request) reply {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport, Timeout: patience}).Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err}
}
