package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// classes are the classes of testfleet.FullSettings.
var classes = []string{"read", "pay", "close", "order"}

// clientTimeout is the time left of the tests' requests.
const clientTimeout = 20 * time.Second

// harness runs the program in its own process, with three backends and a discovery service.
type harness struct {
	t          *testing.T
	config     testfleet.SidecarConfig
	configPath string
	process    *testfleet.Process
	discovery  *fakediscovery.Directory
	backends   *testfleet.Backends

	arrivals     chan *testfleet.Attempt // attempts for the test to respond to
	serveAtOnce  atomic.Bool             // new attempts are served at once instead
	mu           sync.Mutex
	attemptCount map[string]int // by request id
}

// newHarness starts backends and discovery. The settings permit to cancel attempts if cancel is set.
func newHarness(t *testing.T, cancel bool) *harness {
	t.Helper()
	h := &harness{
		t:            t,
		arrivals:     make(chan *testfleet.Attempt, 100),
		attemptCount: map[string]int{},
	}
	h.backends = testfleet.StartBackends(t, 3, h.receive)
	h.discovery = fakediscovery.New(t, h.backends.Hosts...)
	settings := testfleet.FullSettings(clientTimeout, clientTimeout)
	settings.Zones = []string{"a"}
	settings.Discovery = testfleet.DiscoveryPushed
	settings.Limits.Cancel = cancel
	settings.Limits.KeepAlive = time.Second.Microseconds()
	h.config = testfleet.SidecarConfig{
		Listen:    ports.MustFree(t),
		Discovery: h.discovery.Address,
		Hosts:     h.backends.Hosts,
		Version:   1,
		Settings:  settings,
	}
	return h
}

// receive counts an attempt, and serves it or passes it to the test.
func (h *harness) receive(a *testfleet.Attempt) {
	h.mu.Lock()
	h.attemptCount[a.RequestID]++
	h.mu.Unlock()
	if h.serveAtOnce.Load() {
		a.Respond(scriptedconn.Served)
		return
	}
	h.arrivals <- a
}

// start starts the program and waits until it is ready.
func (h *harness) start(env ...string) {
	h.t.Helper()
	h.startUntil("the program to be ready", h.isReady, env...)
}

// startUntil starts the program with additional environment variables, and waits for a condition.
func (h *harness) startUntil(what string, condition func() bool, env ...string) {
	h.t.Helper()
	cmd, configPath := command(h.t, h.config.JSON(h.t))
	cmd.Env = append(cmd.Env, env...)
	h.configPath = configPath
	h.process = testfleet.StartProcess(h.t, cmd)
	wait.Until(h.t, what, condition)
}

// isReady reports whether the program's readiness check succeeds.
func (h *harness) isReady() bool { return testfleet.IsReady(h.config.Listen) }

// nextAttempt waits for the next request at a backend.
func (h *harness) nextAttempt() *testfleet.Attempt {
	h.t.Helper()
	select {
	case a := <-h.arrivals:
		return a
	case <-time.After(wait.Timeout):
		h.t.Fatal("no request arrives at a backend")
		return nil
	}
}

// attempts returns the number of attempts of a request so far.
func (h *harness) attempts(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attemptCount[id]
}

// dial opens a client's connection to the program.
func (h *harness) dial() *testfleet.Client {
	h.t.Helper()
	return testfleet.MustDial(h.t, h.config.Listen, 2*wait.Timeout)
}

// send writes a request of a class to a connection and returns its id.
func (h *harness) send(client *testfleet.Client, class string) (id string) {
	h.t.Helper()
	id = testfleet.NewRequestID()
	request := testfleet.Request{
		ID:       id,
		Class:    class,
		Path:     "x",
		Body:     "body",
		TimeLeft: clientTimeout,
	}
	if class == "pay" || class == "close" {
		request.IdempotencyKey = "k" + id
	}
	client.MustWrite(h.t, request.Text(h.t, h.config.Listen))
	return id
}

// switchDiscovery reloads the configuration with another discovery service.
func (h *harness) switchDiscovery(to *fakediscovery.Directory) {
	h.t.Helper()
	h.reload(to.Address)
}

// descriptors returns the number of the program's open file descriptors.
func (h *harness) descriptors() int {
	h.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.PID()))
	if err != nil {
		h.t.Fatal(err)
	}
	return len(entries)
}

// reload reloads the configuration with another address of discovery.
func (h *harness) reload(discovery string) {
	h.t.Helper()
	moved := h.config
	moved.Discovery = discovery
	testfleet.WriteFile(h.t, h.configPath, moved.JSON(h.t))
	h.process.Signal(syscall.SIGHUP)
}

// beginShutdown sends SIGTERM and waits until the program is no longer ready.
func (h *harness) beginShutdown() {
	h.t.Helper()
	h.process.Signal(syscall.SIGTERM)
	wait.Until(h.t, "the program to be no longer ready", func() bool { return !h.isReady() })
}

// waitForExit waits until the program has exited without a kill, with exit code 0.
func (h *harness) waitForExit() {
	h.t.Helper()
	if err := h.process.Wait(wait.Timeout); err != nil {
		h.t.Errorf("the program ended with %v", err)
	}
}

// tcpTimeWait is the state TIME_WAIT in /proc/net/tcp.
const tcpTimeWait = "06"

// hasConnection reports whether the kernel lists the program's side of a client's connection as open.
func (h *harness) hasConnection(client net.Addr) bool {
	h.t.Helper()
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", h.process.PID()))
	if err != nil {
		h.t.Fatal(err)
	}
	listen, err := net.ResolveTCPAddr("tcp", h.config.Listen)
	if err != nil {
		h.t.Fatal(err)
	}
	localPort := fmt.Sprintf(":%04X", listen.Port)
	remotePort := fmt.Sprintf(":%04X", client.(*net.TCPAddr).Port)
	// A line has a number, the local and the remote address and the state: "0: 0100007F:1F90 0100007F:C350 08".
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 4 {
			continue
		}
		local, remote, state := fields[1], fields[2], fields[3]
		if strings.HasSuffix(local, localPort) && strings.HasSuffix(remote, remotePort) && state != tcpTimeWait {
			return true
		}
	}
	return false
}
