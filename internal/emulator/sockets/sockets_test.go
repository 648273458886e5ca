package sockets

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/internal/emulator/model"
)

const ms = time.Millisecond

var classes = []Class{{Name: "read", Work: 10 * ms}, {Name: "pay", Class: model.Class{Idempotency: model.IdempotentWithKey, Window: 1500 * ms}, Work: 10 * ms},
	{Name: "order", Class: model.Class{Idempotency: model.NotIdempotent}, Work: 10 * ms}}

var box = model.Config{Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 3, SlowStartRatio: 0.31, SlowStartTime: 8600 * ms, OverloadMultiple: 2.5, OverloadWindow: time.Second,
	ReportInterval: 50 * ms}

func fleet(t *testing.T) *Fleet {
	t.Helper()
	f := New(Options{Classes: classes, Seed: 1})
	t.Cleanup(func() {
		f.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return f
}

func start(t *testing.T, f *Fleet, cfg model.Config, warming bool, faults ...model.Fault) *Server {
	t.Helper()
	s, err := f.Start(ServerSpec{Name: "s", Group: "g", Config: cfg, Seed: 1, Warming: warming, Faults: faults})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// request sends one request and returns its status, 0 where there is none.
func request(s *Server, class, id, key string, patience time.Duration) (int, http.Header) {
	r, _ := http.NewRequest("POST", "http://"+s.Addresses[0]+"/"+class+"/x", strings.NewReader("body"))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Correlation-Id", id)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Timeout: patience}
	out, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	_, _ = io.Copy(io.Discard, out.Body) // the status has come
	out.Body.Close()
	return out.StatusCode, out.Header
}

// What comes back over HTTP is what the model says.
func TestAnswers(t *testing.T) {
	f := fleet(t)
	well := start(t, f, box, false)
	if code, _ := request(well, "read", "1", "", time.Minute); code != 200 {
		t.Errorf("served: %d", code)
	}
	if code, _ := request(well, "gift", "1", "", time.Minute); code != 400 {
		t.Errorf("of no class: %d", code)
	}
	for range 2 { // the second is dropped, and answered
		if code, _ := request(well, "pay", "2", "k", time.Minute); code != 200 {
			t.Errorf("keyed: %d", code)
		}
	}
	if len(f.DuplicateEffects()) != 0 {
		t.Error("a repeat had a second effect")
	}
	request(well, "order", "3", "", time.Minute)
	request(well, "order", "3", "", time.Minute)
	if len(f.DuplicateEffects()) != 1 {
		t.Error("an unsafe request that was sent twice was done once")
	}
	always := model.Fault{Until: time.Hour}
	fast := always
	fast.FailFastRatio = 1
	if code, _ := request(start(t, f, box, false, fast), "read", "4", "", time.Minute); code != 500 {
		t.Errorf("failing fast: %d", code)
	}
	unanswered := always
	unanswered.UnansweredRatio = 1
	if code, _ := request(start(t, f, box, false, unanswered), "read", "5", "", 300*ms); code != 0 {
		t.Errorf("swallowed: %d", code)
	}
	response, err := http.Get("http://" + well.Addresses[0] + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(response.Body)
	response.Body.Close()
	if !strings.HasPrefix(string(text), "eps=0") || !strings.Contains(string(text), "queue=") {
		t.Errorf("its report: %q", text)
	}
	well.Close()
	if code, _ := request(well, "read", "6", "", time.Minute); code != 0 {
		t.Errorf("after its end: %d", code)
	}
}

// A server whose queue is full rejects, and says that nothing ran.
func TestFullQueueRejects(t *testing.T) {
	f := fleet(t)
	cfg := box
	cfg.Speed = 0.02 // half a second for each
	s := start(t, f, cfg, false)
	var all sync.WaitGroup
	var mu sync.Mutex
	codes := map[int]int{}
	for i := range 10 {
		all.Go(func() {
			code, header := request(s, "read", string(rune('a'+i)), "", time.Minute)
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
			if code == 503 && header.Get("X-Unprocessed") != "1" {
				t.Error("turned away without proof")
			}
		})
	}
	all.Wait()
	if codes[200] != 4 || codes[503] != 6 {
		t.Errorf("%v, want one in work, three waiting, six turned away", codes)
	}
}

// A cold server that is overrun falls over, and stays down.
func TestWarmingServerFalls(t *testing.T) {
	f := fleet(t)
	s := start(t, f, box, true)
	var all sync.WaitGroup
	for i := range 200 { // 2 s of work at once, where 0.78 s are borne
		all.Go(func() { request(s, "read", string(rune(0x4e00+i)), "", 10*time.Second) })
	}
	all.Wait()
	if _, _, _, down := s.Figures(); !down {
		t.Error("it stands")
	}
	if code, _ := request(s, "read", "later", "", time.Second); code != 0 {
		t.Errorf("a request after it fell: %d", code)
	}
}

// A client that has gone does not stop the work: the next request waits for it, and
// the effect is there.
func TestWorkGoesOnAfterTheClient(t *testing.T) {
	f := fleet(t)
	cfg := box
	cfg.Speed = 0.02 // half a second for each
	s := start(t, f, cfg, false)
	if code, _ := request(s, "order", "1", "", 50*ms); code != 0 {
		t.Fatalf("answered %d", code)
	}
	began := time.Now()
	if code, _ := request(s, "order", "2", "", time.Minute); code != 200 {
		t.Fatalf("answered %d", code)
	}
	if took := time.Since(began); took < 800*ms {
		t.Errorf("answered after %v: it did not wait for what was called off", took)
	}
	request(s, "order", "1", "", time.Minute)
	if len(f.DuplicateEffects()) != 1 {
		t.Error("the effect of what was called off is not there")
	}
}

// stepped is a clock that a test moves.
type stepped struct{ at atomic.Int64 }

func (c *stepped) now() model.Time { return model.Time(c.at.Load()) }

// A cold server on sockets falls over at the load that is stated, swept from under to
// over, as the model does.
func TestCollapseIsSweptOnSockets(t *testing.T) {
	for _, load := range []float64{1.5, 2.0, 2.4, 2.6, 3.0} {
		clock := &stepped{}
		arrived := make(chan struct{}, 1000)
		work := time.Duration(0)
		f := New(Options{Classes: classes, Now: clock.now, Work: func(int, string) time.Duration { return work },
			OnArrival: func(*Server, string, model.Time) { arrived <- struct{}{} }})
		cfg := box
		cfg.QueuePerCore = 1000
		s, err := f.Start(ServerSpec{Name: "s", Config: cfg, Seed: 1, Warming: true})
		if err != nil {
			t.Fatal(err)
		}
		// 50 requests over a second, that ask for so much of what it can do at its end.
		const n = 50
		work = time.Duration(load * (0.31 + 0.69/8.6) * float64(time.Second) / n)
		var all sync.WaitGroup
		ctx, stop := context.WithCancel(context.Background())
		for i := range n {
			clock.at.Store(int64(time.Duration(i) * time.Second / n))
			all.Go(func() {
				r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.Addresses[0]+"/read/x", nil)
				r.Header.Set("X-Service-Class", "read")
				r.Header.Set("X-Correlation-Id", fmt.Sprint(i))
				if out, err := http.DefaultClient.Do(r); err == nil {
					out.Body.Close()
				}
			})
			if !s.Collapsed() {
				select {
				case <-arrived:
				case <-time.After(10 * time.Second):
					if !s.Collapsed() {
						t.Fatalf("request %d did not arrive", i)
					}
				}
			}
		}
		if fell, want := s.Collapsed(), load > 2.5; fell != want {
			t.Errorf("at %.1f times what it can do: fell %v, want %v", load, fell, want)
		}
		stop()
		all.Wait()
		f.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t)
}

// A server that holds as many connections as it can closes new ones.
func TestConnectionLimit(t *testing.T) {
	f := fleet(t)
	cfg := box
	cfg.MaxConnections = 3
	s := start(t, f, cfg, false)
	open := make([]net.Conn, 6)
	for i := range open {
		c, err := net.Dial("tcp", s.Addresses[0])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		open[i] = c
	}
	closed := 0
	for _, c := range open {
		if err := c.SetReadDeadline(time.Now().Add(300 * ms)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			closed++
		}
	}
	if now, highest := f.Connections(); closed != 3 || now != 3 || highest != 3 {
		t.Errorf("%d closed, %d open, %d at most", closed, now, highest)
	}
}

// A way is gone there and back, and a new connection costs one more.
func TestLatencies(t *testing.T) {
	f := fleet(t)
	s, err := f.Start(ServerSpec{Name: "s", Config: box, Seed: 1, Latencies: []time.Duration{0, 100 * ms}})
	if err != nil {
		t.Fatal(err)
	}
	remote := &Server{Addresses: s.Addresses[1:]}
	for _, c := range []struct {
		to              *Server
		lowest, highest time.Duration
	}{{s, 0, 100 * ms}, {remote, 400 * ms, time.Minute}, {remote, 200 * ms, 390 * ms}} {
		began := time.Now()
		request(c.to, "read", "1", "", time.Minute)
		if took := time.Since(began); took < c.lowest || took > c.highest {
			t.Errorf("took %v, want %v to %v", took, c.lowest, c.highest)
		}
	}
}
