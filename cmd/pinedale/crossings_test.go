package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/platform"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/wait"
)

// answerBy is when, after SIGTERM, the program gives up what it has in hand: 3.45 s, the longest
// deadline of its classes being over 3 s. A test that a busy machine has held up until shortly
// before sees refusals and failures, and rightly.
const answerBy = 3 * time.Second

// arrival is a request at an endpoint that waits for the test.
type arrival struct {
	id     string
	conn   net.Conn
	answer chan string // bytes, and then the connection's end where they are no whole answer
}

// program is the sidecar in a process of its own, and all that is around it.
type program struct {
	t        *testing.T
	cmd      *exec.Cmd
	config   platform.Config
	path     string // of the configuration
	log      logcapture.Buffer
	dir      *fakediscovery.Directory
	ended    chan error
	arrivals chan arrival
	auto     atomic.Bool  // arrivals are answered at once
	conns    atomic.Int32 // to endpoints
	mu       sync.Mutex
	sent     map[string]int // attempts by request
	ids      int
}

// settings are those of a customer with one class of each effect.
func settings(cancel bool) map[string]any {
	class := func(name, repeat, group string) map[string]any {
		c := map[string]any{"name": name, "repeat": repeat, "target": 600000, "give-up": 20000000, "credit": 1}
		if group != "" {
			c["group"], c["window"] = group, 20000000
		}
		return c
	}
	return map[string]any{"areas": []string{"a"}, "skus": []string{"m1"}, "tenants": []any{}, "discovery": "automatic",
		"classes": []any{class("read", "pure", ""), class("pay", "token", "all"), class("close", "token", "cell"), class("order", "side_effect", "")},
		"contract": map[string]any{"answer-slack": 20000, "ask-within": 1000000, "cold-from": 0.3, "drain-grace": 1000000,
			"fall-multiple": 2.5, "overload-for": 1000000, "ramp-time": 0},
		"limits": map[string]any{"cancel": cancel, "dial-timeout": 2000000, "keepalive": 1000000, "max-retry-after": 1500000,
			"most-held": 1000, "most-tries": 3, "multiplex": 1, "probes": false, "retry-after": true, "second-copies": false},
		"peers-total": 1, "position": 0, "zone": 0}
}

// surround makes a sidecar's surroundings: three endpoints and discovery.
func surround(t *testing.T, cancel bool) *program {
	t.Helper()
	s := &program{t: t, arrivals: make(chan arrival, 100), sent: map[string]int{}}
	for n := range 3 {
		e := scriptedconn.New(t, s.serve)
		s.config.Known = append(s.config.Known, fakediscovery.Ready(fmt.Sprint("s-", n), e.Address))
	}
	s.dir = fakediscovery.New(t, s.config.Known...)
	s.config.Listen, s.config.Discovery, s.config.Settings = platform.FreeAddress(t), s.dir.Address, settings(cancel)
	return s
}

// launch starts the program, on one thread at a time where single is set, as the platform runs it.
func (s *program) launch(single bool) {
	s.t.Helper()
	s.launchUntil(single, "the program to be ready", s.ready)
}

// launchUntil is launch, which waits for something else.
func (s *program) launchUntil(single bool, what string, is func() bool) {
	s.t.Helper()
	s.cmd = command(s.t, s.config.Text())
	s.path = strings.TrimPrefix(s.cmd.Env[len(s.cmd.Env)-1], "BALANCER_CONFIG=")
	if single {
		s.cmd.Env = append(s.cmd.Env, "GOMAXPROCS=1")
	}
	s.cmd.Stderr = &s.log
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	cmd, ended := s.cmd, make(chan error, 1)
	s.ended = ended
	go func() { ended <- cmd.Wait() }()
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended by itself
		if s.t.Failed() {
			s.t.Log(s.log.String())
		}
	})
	wait.Until(s.t, what, is)
}

// serve is an endpoint's side of a connection.
func (s *program) serve(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
	s.conns.Add(1)
	defer s.conns.Add(-1)
	for r := e.Next(in); r != nil; r = e.Next(in) {
		a := arrival{id: r.Header.Get("X-Correlation-Id"), conn: conn, answer: make(chan string, 1)}
		s.mu.Lock()
		s.sent[a.id]++
		s.mu.Unlock()
		text := scriptedconn.Served
		if !s.auto.Load() {
			s.arrivals <- a
			text = <-a.answer
		}
		_, _ = io.WriteString(conn, text)
		switch text {
		case scriptedconn.Served, scriptedconn.Failing, scriptedconn.Full:
		case reset:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		default:
			return
		}
	}
}

// reset and the like are how an endpoint ends a request without an answer.
const (
	reset  = ""
	halved = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"
	begun  = "HTTP/1.1 200 O"
)

// arrives waits for the next request at an endpoint.
func (s *program) arrives() arrival {
	s.t.Helper()
	select {
	case a := <-s.arrivals:
		return a
	case <-time.After(wait.Timeout):
		s.t.Fatal("no request comes")
		panic("unreachable")
	}
}

// attempts counts those at a request.
func (s *program) attempts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[id]
}

// ready says whether the program says so. Each question has a connection of its own.
func (s *program) ready() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wait.Timeout}
	response, err := client.Get("http://" + s.config.Listen + "/health/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// request is one of a class, as it goes over the wire, and its id.
func (s *program) request(class string) (text, id string) {
	s.ids++
	id = fmt.Sprintf("9b1f03aa%08x", s.ids)
	head := "Host: api\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + class + "\r\nX-Time-Left-Ms: 20000\r\n"
	switch class {
	case "read":
		return "GET /read/x HTTP/1.1\r\n" + head + "\r\n", id
	case "order":
	default:
		head += "Idempotency-Key: k" + id + "\r\n"
	}
	return "POST /" + class + "/x HTTP/1.1\r\n" + head + "Content-Length: 4\r\n\r\nbody", id
}

// moves has the program watch another discovery.
func (s *program) moves(to *fakediscovery.Directory) {
	s.t.Helper()
	moved := s.config
	moved.Discovery = to.Address
	platform.Write(s.t, s.path, moved.Text())
	s.signal(syscall.SIGHUP)
}

// terminates sends SIGTERM and waits until the program says that it ends.
func (s *program) terminates() {
	s.t.Helper()
	s.signal(syscall.SIGTERM)
	wait.Until(s.t, "the program to be no longer ready", func() bool { return !s.ready() })
}

func (s *program) signal(sig os.Signal) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// exits waits for the program to end by itself, in order.
func (s *program) exits() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Errorf("the program ended with %v", err)
		}
	case <-time.After(wait.Timeout):
		s.t.Error("the program does not end")
	}
}

// client is a connection of a client's, and what it has read there.
type client struct {
	net.Conn
	first chan struct{} // closed with the first whole answer
	over  chan struct{} // closed with the connection's end
	codes []int         // of whole answers; to be read once over
	err   error         // what ended the reading, if not the connection's end between answers
}

// dial opens a client's connection.
func (s *program) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.config.Listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(2 * wait.Timeout)); err != nil {
		s.t.Fatal(err)
	}
	c := &client{Conn: conn, first: make(chan struct{}), over: make(chan struct{})}
	go c.read()
	return c
}

func (c *client) read() {
	defer close(c.over)
	for in := bufio.NewReader(c.Conn); ; {
		if _, err := in.Peek(1); err != nil {
			if err != io.EOF {
				c.err = err
			}
			return
		}
		r, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.ReadAll(r.Body)
			r.Body.Close()
		}
		if err != nil {
			c.err = err
			return
		}
		if c.codes = append(c.codes, r.StatusCode); len(c.codes) == 1 {
			close(c.first)
		}
	}
}

// holds says whether the program has not closed its side of a client's connection, as the
// system sees it.
func (s *program) holds(client net.Addr) bool {
	s.t.Helper()
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", s.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(s.config.Listen)
	var own int
	if _, err := fmt.Sscan(port, &own); err != nil {
		s.t.Fatal(err)
	}
	// "0: 0100007F:1F90 0100007F:C350 08 ...": local and remote address, state; 6 is TIME_WAIT.
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 3 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", own)) &&
			strings.HasSuffix(f[2], fmt.Sprintf(":%04X", client.(*net.TCPAddr).Port)) && f[3] != "06" {
			return true
		}
	}
	return false
}

// Whatever becomes of an attempt, and whatever happens while it is out, a request that was
// taken has its one final answer, an unsafe one is not sent again unless it surely never ran,
// nothing is sent for a client that has left, and nothing stays open.
func TestCrossings(t *testing.T) {
	ends := []struct {
		name, text string
		mayRun     bool // as far as the program can know
		code       int
	}{
		{"served", scriptedconn.Served, true, 200},
		{"failing", scriptedconn.Failing, true, 502},
		{"full", scriptedconn.Full, false, 0},
		{"reset", reset, true, 502},
		{"in the middle of its answer", halved, true, 502},
		{"in the middle of the answer's head", begun, true, 502},
	}
	n := 0
	for _, class := range []string{"read", "pay", "close", "order"} {
		for _, end := range ends {
			for _, crossing := range []string{"nothing", "SIGTERM", "SIGTERM twice, and the listener's end", "SIGHUP", "SIGHUP and SIGTERM", "departure"} {
				n++
				cancel, single := n%2 == 0, n%4 < 2
				t.Run(class+" ends "+end.name+" crossed by "+crossing, func(t *testing.T) {
					t.Parallel()
					s := surround(t, cancel)
					s.launch(single)
					other := fakediscovery.New(t, s.config.Known...)
					c := s.dial()
					text, id := s.request(class)
					if _, err := io.WriteString(c, text); err != nil {
						t.Fatal(err)
					}
					a := s.arrives()
					s.auto.Store(true)
					signalled := time.Now()
					switch crossing {
					case "SIGHUP":
						s.moves(other)
						wait.Until(t, "the call of the new address", func() bool { return other.CallCount() > 0 })
					case "SIGHUP and SIGTERM":
						s.moves(other)
						s.terminates()
					case "SIGTERM":
						s.terminates()
					case "SIGTERM twice, and the listener's end":
						s.terminates()
						s.signal(syscall.SIGTERM)
						wait.Until(t, "nobody to be let in any more", func() bool {
							conn, err := net.Dial("tcp", s.config.Listen)
							if err == nil {
								conn.Close()
							}
							return err != nil
						})
					case "departure":
						c.Close()
						wait.Until(t, "the program to know", func() bool { return !s.holds(c.LocalAddr()) })
					}
					a.answer <- end.text

					code := 200
					if class == "order" && end.mayRun {
						code = end.code
					}
					switch crossing {
					case "departure":
						s.signal(syscall.SIGTERM)
					case "nothing", "SIGHUP": // it is answered and its connection rests: the end closes it
						select {
						case <-c.first:
						case <-c.over:
						}
						s.signal(syscall.SIGTERM)
						fallthrough
					default:
						<-c.over
						late := strings.Contains(crossing, "SIGTERM") && time.Since(signalled) > answerBy
						if len(c.codes) != 1 || c.codes[0] != code && !late || c.err != nil {
							t.Errorf("answers %v, %v; want %d", c.codes, c.err, code)
						}
					}
					s.exits()
					minAttempts, maxAttempts := 1, 3
					switch {
					case crossing == "departure", class == "order" && end.mayRun:
						maxAttempts = 1
					case end.text != scriptedconn.Served && len(c.codes) == 1 && c.codes[0] == 200:
						minAttempts = 2
					}
					if n := s.attempts(id); n < minAttempts || n > maxAttempts {
						t.Errorf("%d attempts, want %d to %d", n, minAttempts, maxAttempts)
					}
					wait.Until(t, "connections to endpoints to end", func() bool { return s.conns.Load() == 0 })
				})
			}
		}
	}
}

// A process that is killed with requests in flight and started again under its name and
// address serves at once, and sends nothing of before: its clients have been reset, and are
// the ones who know what they repeat.
func TestRestartAfterKillServes(t *testing.T) {
	t.Parallel()
	s := surround(t, true)
	s.launch(false)
	var before []*client
	ids := map[string]string{}
	for _, class := range []string{"read", "pay", "close", "order"} {
		c := s.dial()
		text, id := s.request(class)
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		before, ids[id] = append(before, c), class
	}
	var out []arrival
	for range before {
		out = append(out, s.arrives())
	}
	if err := s.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := <-s.ended; err == nil {
		t.Error("a process that was killed has ended without an error")
	}
	for _, c := range before {
		<-c.over
		if len(c.codes) > 0 {
			t.Errorf("answers %v from a process that was killed", c.codes)
		}
	}
	s.launch(true)
	s.auto.Store(true)
	for _, a := range out {
		a.answer <- scriptedconn.Served
	}
	c := s.dial()
	for _, class := range []string{"pay", "order"} {
		text, _ := s.request(class)
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	<-c.first
	s.signal(syscall.SIGTERM)
	<-c.over
	s.exits()
	if len(c.codes) == 0 || c.codes[0] != 200 {
		t.Errorf("after the start: answers %v, %v", c.codes, c.err)
	}
	for id, class := range ids {
		if n := s.attempts(id); n != 1 {
			t.Errorf("%s was sent %d times", class, n)
		}
	}
}

// A list that goes quiet: the watch stands open and nothing comes on it. What begins to drain
// meanwhile gets nothing new once the program has been told, on the watch that it opens anew.
func TestDrainIsHonouredAfterWatchFellSilent(t *testing.T) {
	t.Parallel()
	s := surround(t, true)
	s.launch(false)
	s.auto.Store(true)
	wait.Until(t, "the watch", func() bool { return s.dir.CallCount() > 1 })
	s.dir.Silence()
	hosts := append([]fakediscovery.Host{}, s.config.Known...)
	for n := range 2 {
		hosts[n].Health = "Terminating"
	}
	calls := s.dir.CallCount()
	s.dir.Change(func() { s.dir.List = fakediscovery.Document{Seq: 2, Complete: true, Hosts: hosts} })
	wait.Until(t, "the watch to be opened anew, and once more with the new version", func() bool {
		s.dir.Lock()
		defer s.dir.Unlock()
		for _, call := range s.dir.Calls[calls:] {
			if strings.HasPrefix(call, "after=2&") {
				return true
			}
		}
		return false
	})
	// The program has been told: it asks for what is newer.
	draining := map[string]bool{}
	for _, h := range hosts[:2] {
		draining[h.Dial] = true
	}
	s.auto.Store(false)
	c := s.dial()
	for range 20 {
		text, _ := s.request("read")
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		a := s.arrives()
		if at := a.conn.LocalAddr().String(); draining[at] {
			t.Errorf("a request went to %s, which drains", at)
		}
		a.answer <- scriptedconn.Served
	}
	s.signal(syscall.SIGTERM)
	<-c.over
	s.exits()
	if len(c.codes) != 20 || c.err != nil {
		t.Errorf("%d answers, %v", len(c.codes), c.err)
	}
}

// The end may be asked for before there is anything to serve with, and while a new
// configuration is only half there.
func TestEndsWithoutAList(t *testing.T) {
	t.Parallel()
	s := surround(t, true)
	unresponsive := scriptedconn.New(t, scriptedconn.Unresponsive)
	s.config.Known, s.config.Discovery = nil, unresponsive.Address
	s.launchUntil(false, "the program to ask for a list", func() bool { return unresponsive.RequestCount() > 0 })
	if s.ready() {
		t.Error("it is ready without a list")
	}
	platform.Write(t, s.path, s.config.Text()[:200])
	s.signal(syscall.SIGHUP)
	wait.Until(t, "the half file's line", func() bool { return s.log.Count("configuration reload failed") == 1 })
	c := s.dial()
	text, _ := s.request("read")
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	s.signal(syscall.SIGTERM)
	<-c.over
	s.exits()
	if len(c.codes) != 1 || c.codes[0] != http.StatusServiceUnavailable || c.err != nil {
		t.Errorf("answers %v, %v; want one refusal", c.codes, c.err)
	}
}
