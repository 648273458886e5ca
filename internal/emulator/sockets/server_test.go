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

var testClasses = []Class{
	{Name: "read", Work: 10 * ms},
	{Name: "pay", Class: model.Class{Idempotency: model.IdempotentWithKey, Window: 1500 * ms}, Work: 10 * ms},
	{Name: "order", Class: model.Class{Idempotency: model.NotIdempotent}, Work: 10 * ms},
}

// smallMachine returns a machine with one core of speed 1 and a queue of 3.
func smallMachine() model.Config {
	return model.Config{
		Cores:            1,
		Speed:            1,
		SlotsPerCore:     1,
		QueuePerCore:     3,
		SlowStartRatio:   0.31,
		SlowStartTime:    8600 * ms,
		OverloadMultiple: 2.5,
		OverloadWindow:   time.Second,
		ReportInterval:   50 * ms,
	}
}

// slowMachine returns a small machine that takes half a second for a request of the test classes.
func slowMachine() model.Config {
	config := smallMachine()
	config.Speed = 0.02
	return config
}

// newTestFleet returns a fleet that is closed at the end of the test, and checks that it leaves no goroutine.
func newTestFleet(t *testing.T) *Fleet {
	t.Helper()
	f := New(Options{Classes: testClasses, Seed: 1})
	t.Cleanup(func() {
		f.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return f
}

// startServer starts a server of a fleet.
func startServer(t *testing.T, f *Fleet, spec ServerSpec) *Server {
	t.Helper()
	spec.Name, spec.Group, spec.Seed = "s", "g", 1
	s, err := f.Start(spec)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// testRequest is a request of the tests.
type testRequest struct {
	class, id, key string
	timeout        time.Duration // 0 for a minute
}

// send sends a request to an address and returns its status and header; the status is 0 if there is no response.
func send(address string, r testRequest) (int, http.Header) {
	url := "http://" + address + "/" + r.class + "/x"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return 0, nil
	}
	request.Header.Set(headerClass, r.class)
	request.Header.Set(headerID, r.id)
	if r.key != "" {
		request.Header.Set(headerIdempotencyKey, r.key)
	}
	client := &http.Client{Timeout: r.timeout}
	if r.timeout == 0 {
		client.Timeout = time.Minute
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status has arrived
	response.Body.Close()
	return response.StatusCode, response.Header
}

// requireStatus sends a request and checks its status.
func requireStatus(t *testing.T, s *Server, r testRequest, want int) {
	t.Helper()
	if got, _ := send(s.Addresses[0], r); got != want {
		t.Errorf("status %d, want %d", got, want)
	}
}

func TestStatusFollowsOutcome(t *testing.T) {
	f := newTestFleet(t)
	healthy := startServer(t, f, ServerSpec{Config: smallMachine()})
	failing := startServer(t, f, ServerSpec{
		Config: smallMachine(),
		Faults: []model.Fault{{Until: time.Hour, FailFastRatio: 1}},
	})
	unanswering := startServer(t, f, ServerSpec{
		Config: smallMachine(),
		Faults: []model.Fault{{Until: time.Hour, UnansweredRatio: 1}},
	})
	for _, test := range []struct {
		name    string
		server  *Server
		request testRequest
		want    int
	}{
		{"served", healthy, testRequest{class: "read", id: "1"}, 200},
		{"unknown class", healthy, testRequest{class: "gift", id: "1"}, 400},
		{"with a key", healthy, testRequest{class: "pay", id: "2", key: "k"}, 200},
		{"with the same key", healthy, testRequest{class: "pay", id: "2", key: "k"}, 200},
		{"failing fast", failing, testRequest{class: "read", id: "4"}, 500},
		{"unanswered", unanswering, testRequest{class: "read", id: "5", timeout: 300 * ms}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			requireStatus(t, test.server, test.request, test.want)
		})
	}
	healthy.Close()
	requireStatus(t, healthy, testRequest{class: "read", id: "6"}, 0)
}

func TestDuplicatesWithoutKeyHaveTwoEffects(t *testing.T) {
	f := newTestFleet(t)
	s := startServer(t, f, ServerSpec{Config: smallMachine()})
	for range 2 {
		requireStatus(t, s, testRequest{class: "pay", id: "2", key: "k"}, 200)
	}
	if got := f.DuplicateEffects(); len(got) != 0 {
		t.Errorf("duplicate effects %v, want none of a request with a key", got)
	}
	for range 2 {
		requireStatus(t, s, testRequest{class: "order", id: "3"}, 200)
	}
	if got := f.DuplicateEffects(); len(got) != 1 {
		t.Errorf("duplicate effects %v, want one of a request that is not idempotent", got)
	}
}

func TestLoadProbeReturnsReport(t *testing.T) {
	s := startServer(t, newTestFleet(t), ServerSpec{Config: smallMachine()})
	response, err := http.Get("http://" + s.Addresses[0] + pathLoadProbe)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	report, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(string(report), "eps=0") || !strings.Contains(string(report), "queue=") {
		t.Errorf("load report %q, want one without errors and with the queue", report)
	}
}

func TestSubmitReturnsUnknownClassError(t *testing.T) {
	s := startServer(t, newTestFleet(t), ServerSpec{Config: smallMachine()})
	_, err := s.Submit(context.Background(), Request{Class: "gift", ID: "1"})
	var unknown *UnknownClassError
	if !errors.As(err, &unknown) || unknown.Class != "gift" {
		t.Errorf("error %v, want an UnknownClassError of gift", err)
	}
}

func TestServerRejectsWhenQueueIsFull(t *testing.T) {
	s := startServer(t, newTestFleet(t), ServerSpec{Config: slowMachine()})
	var requests sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{} // by status
	for i := range 10 {
		requests.Go(func() {
			status, header := send(s.Addresses[0], testRequest{class: "read", id: fmt.Sprint(i)})
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
			if status == 503 && header.Get(headerUnprocessed) != "1" {
				t.Error("a rejected request is not marked as unprocessed")
			}
		})
	}
	requests.Wait()
	if counts[200] != 4 || counts[503] != 6 {
		t.Errorf("statuses %v, want one in work and three queued served, and six rejected", counts)
	}
}

func TestCollapsedServerStaysDown(t *testing.T) {
	s := startServer(t, newTestFleet(t), ServerSpec{Config: smallMachine(), Warming: true})
	var requests sync.WaitGroup
	for i := range 200 { // 2 s of work at once; the server collapses at 0.78 s of work
		requests.Go(func() {
			send(s.Addresses[0], testRequest{class: "read", id: fmt.Sprint(i), timeout: 10 * time.Second})
		})
	}
	requests.Wait()
	if _, _, _, down := s.Stats(); !down {
		t.Error("the server is not down")
	}
	requireStatus(t, s, testRequest{class: "read", id: "later", timeout: time.Second}, 0)
}

// A client's disconnect does not stop the work: the next request waits for it, and the effect happens.
func TestWorkContinuesAfterDisconnect(t *testing.T) {
	f := newTestFleet(t)
	s := startServer(t, f, ServerSpec{Config: slowMachine()})
	status, _ := send(s.Addresses[0], testRequest{class: "order", id: "1", timeout: 50 * ms})
	if status != 0 {
		t.Fatalf("status %d, want a timeout", status)
	}
	began := time.Now()
	status, _ = send(s.Addresses[0], testRequest{class: "order", id: "2"})
	if status != 200 {
		t.Fatalf("status %d, want 200", status)
	}
	if elapsed := time.Since(began); elapsed < 800*ms {
		t.Errorf("response after %v, want at least 800 ms: the abandoned request comes first", elapsed)
	}
	send(s.Addresses[0], testRequest{class: "order", id: "1"})
	if len(f.DuplicateEffects()) != 1 {
		t.Error("the abandoned request had no effect")
	}
}

// manualClock is a clock that a test advances.
type manualClock struct{ nanoseconds atomic.Int64 }

func (c *manualClock) now() model.Time    { return model.Time(c.nanoseconds.Load()) }
func (c *manualClock) set(now model.Time) { c.nanoseconds.Store(int64(now)) }

// A server in slow start collapses on sockets at the same overload as the model does.
func TestWarmingServerCollapsesAtOverload(t *testing.T) {
	for _, load := range []float64{1.5, 2.0, 2.4, 2.6, 3.0} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			if got, want := collapsesAt(t, load), load > 2.5; got != want {
				t.Errorf("collapsed %v, want %v", got, want)
			}
		})
	}
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t)
}

// collapsesAt sends requests over one second to a server in slow start and reports whether it collapses. load is the
// work of the requests as a multiple of the server's capacity at the end of that second.
func collapsesAt(t *testing.T, load float64) bool {
	t.Helper()
	const requests = 50
	capacity := 0.31 + 0.69/8.6
	work := time.Duration(load * capacity * float64(time.Second) / requests)
	clock := &manualClock{}
	arrived := make(chan struct{}, 1000)
	f := New(Options{
		Classes:   testClasses,
		Now:       clock.now,
		Work:      func(int, string) time.Duration { return work },
		OnArrival: func(*Server, string, model.Time) { arrived <- struct{}{} },
	})
	defer f.Close()
	config := smallMachine()
	config.QueuePerCore = 1000
	s, err := f.Start(ServerSpec{Name: "s", Config: config, Seed: 1, Warming: true})
	if err != nil {
		t.Fatal(err)
	}
	var sending sync.WaitGroup
	defer sending.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range requests {
		clock.set(time.Duration(i) * time.Second / requests)
		sending.Go(func() { sendUntil(ctx, s.Addresses[0], fmt.Sprint(i)) })
		if s.Collapsed() {
			continue
		}
		select {
		case <-arrived:
		case <-time.After(10 * time.Second):
			if !s.Collapsed() {
				t.Fatalf("request %d did not arrive", i)
			}
		}
	}
	return s.Collapsed()
}

// sendUntil sends a request and waits for its response, or until ctx ends.
func sendUntil(ctx context.Context, address, id string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/read/x", nil)
	if err != nil {
		return
	}
	request.Header.Set(headerClass, "read")
	request.Header.Set(headerID, id)
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

func TestServerClosesConnectionsBeyondLimit(t *testing.T) {
	f := newTestFleet(t)
	config := smallMachine()
	config.MaxConnections = 3
	s := startServer(t, f, ServerSpec{Config: config})
	connections := make([]net.Conn, 6)
	for i := range connections {
		conn, err := net.Dial("tcp", s.Addresses[0])
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		connections[i] = conn
	}
	closed := 0
	for _, conn := range connections {
		if err := conn.SetReadDeadline(time.Now().Add(300 * ms)); err != nil {
			t.Fatal(err)
		}
		_, err := conn.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			closed++
		}
	}
	if open, highest := f.Connections(); closed != 3 || open != 3 || highest != 3 {
		t.Errorf("%d closed, %d open, %d at most, want 3 each", closed, open, highest)
	}
}

// A response takes one round trip of latency, and a second one on a new connection.
func TestLatencyDelaysResponses(t *testing.T) {
	s := startServer(t, newTestFleet(t), ServerSpec{
		Config:    smallMachine(),
		Latencies: []time.Duration{0, 100 * ms},
	})
	for _, test := range []struct {
		name            string
		address         string
		lowest, highest time.Duration
	}{
		{"no latency", s.Addresses[0], 0, 100 * ms},
		{"new connection", s.Addresses[1], 400 * ms, time.Minute},
		{"reused connection", s.Addresses[1], 200 * ms, 390 * ms},
	} {
		began := time.Now()
		send(test.address, testRequest{class: "read", id: "1"})
		if elapsed := time.Since(began); elapsed < test.lowest || elapsed > test.highest {
			t.Errorf("%s: response after %v, want %v to %v", test.name, elapsed, test.lowest, test.highest)
		}
	}
}
