package testfleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/sidecar"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// waiterName is the name of a test program that prints its arguments, waits for SIGTERM and then exits with the code
// exitTerminated.
const (
	waiterName     = "waiter"
	exitTerminated = 3
)

func TestMain(m *testing.M) {
	testfleet.Main(m, map[string]func(){waiterName: runWaiter})
}

func runWaiter() {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	fmt.Fprintln(os.Stderr, "ready", os.Args[1:])
	<-terminated
	os.Exit(exitTerminated)
}

func TestProcessIsReadAndSignalled(t *testing.T) {
	process := testfleet.StartProcess(t, testfleet.Command(waiterName, "a", "b"))
	wait.Until(t, "the log", func() bool { return process.Log.Count("ready [a b]") == 1 })
	if _, err := os.Stat(fmt.Sprintf("/proc/%d", process.PID())); err != nil {
		t.Errorf("process is not running: %v", err)
	}
	process.Signal(syscall.SIGTERM)
	if err := process.Wait(wait.Timeout); err == nil || process.ExitCode() != exitTerminated {
		t.Errorf("process ended with %v, exit code %d, want %d", err, process.ExitCode(), exitTerminated)
	}
}

// The sidecar accepts the generated files, and loads the values of the typed settings.
func TestSidecarLoadsConfig(t *testing.T) {
	hosts := []fakediscovery.Host{fakediscovery.Ready("s-1", "127.0.0.1:1")}
	load := func(settings testfleet.SidecarSettings) *sidecar.Config {
		t.Helper()
		path := filepath.Join(t.TempDir(), "config.json")
		testfleet.WriteFile(t, path, testfleet.SidecarConfig{
			Listen:    "127.0.0.1:2",
			Discovery: "127.0.0.1:3",
			Hosts:     hosts,
			Sockets:   256,
			Settings:  settings,
		}.JSON(t))
		config, err := sidecar.LoadConfig(path)
		if err != nil {
			t.Fatal(err)
		}
		return config
	}

	minimal := load(testfleet.MinimalSettings())
	if minimal.Listen != "127.0.0.1:2" || minimal.Discovery != "127.0.0.1:3" || minimal.Limits.Sockets != 256 {
		t.Errorf("config %+v, want the addresses and sockets of the file", minimal)
	}
	if len(minimal.Settings.Classes) != 1 || !minimal.Settings.PollDiscovery {
		t.Errorf("settings %+v, want one class and discovery by polling", minimal.Settings)
	}

	settings := testfleet.FullSettings(3*time.Second, 5*time.Second)
	settings.Discovery = testfleet.DiscoveryPushed
	settings.Tenants = []testfleet.Tenant{{Name: "acme", Share: 1, Quota: 10}}
	full := load(settings).Settings
	if full.PollDiscovery || !full.Limits.Cancel || full.Limits.MaxAttempts != 3 || full.Contract.SlowStartRatio != 0.3 {
		t.Errorf("settings %+v, want the limits and contract of FullSettings, and no polling", full)
	}
	if len(full.Tenants) != 1 || full.Tenants[0].Quota != 10 {
		t.Errorf("tenants %+v, want one with a quota of 10", full.Tenants)
	}
	var idempotencies []balancer.Idempotency
	for _, class := range full.Classes {
		idempotencies = append(idempotencies, class.Idempotency)
		if class.ClientTimeout != 3_000_000 {
			t.Errorf("class %s has a client timeout of %d us, want 3,000,000", class.Name, class.ClientTimeout)
		}
		if hasKey := class.Idempotency == balancer.IdempotentWithKey; hasKey != (class.DedupWindow == 5_000_000) {
			t.Errorf("class %s has a dedup window of %d us, want 5,000,000 only with an idempotency key",
				class.Name, class.DedupWindow)
		}
	}
	want := []balancer.Idempotency{
		balancer.Idempotent, balancer.IdempotentWithKey, balancer.IdempotentWithKey, balancer.NotIdempotent,
	}
	if !slices.Equal(idempotencies, want) {
		t.Errorf("idempotencies %v, want %v", idempotencies, want)
	}
}

func TestRequestHasHeadersOfItsClass(t *testing.T) {
	const address = "127.0.0.1:1"
	read := testfleet.Request{ID: "1", Class: "read", Path: "x", Body: "body", TimeLeft: time.Second}.HTTP(t, address)
	if read.Method != http.MethodGet || read.ContentLength != 0 || read.URL.String() != "http://127.0.0.1:1/read/x" {
		t.Errorf("request %s %s with a body of %d bytes, want a GET with no body",
			read.Method, read.URL, read.ContentLength)
	}
	if key, ok := read.Header["Idempotency-Key"]; ok {
		t.Errorf("idempotency key %q, want none", key)
	}
	text := testfleet.Request{
		ID:             "2",
		Class:          "pay",
		IdempotencyKey: "k",
		Body:           "body",
		TimeLeft:       time.Second,
	}.Text(t, address)
	for _, part := range []string{
		"POST /pay/ HTTP/1.1\r\n",
		"X-Correlation-Id: 2\r\n",
		"X-Service-Class: pay\r\n",
		"X-Time-Left-Ms: 1000\r\n",
		"Idempotency-Key: k\r\n",
		"\r\n\r\nbody",
	} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing from request %q", part, text)
		}
	}
	if first, second := testfleet.NewRequestID(), testfleet.NewRequestID(); first == second {
		t.Error("two requests have the same id")
	}
}

func TestClientReadsResponsesUntilConnectionEnds(t *testing.T) {
	for name, test := range map[string]struct {
		response  string
		wantCodes []int
		wantErr   bool
	}{
		"two responses":  {scriptedconn.Served + scriptedconn.Full, []int{200, 503}, false},
		"none":           {"", nil, false},
		"truncated head": {scriptedconn.Served + testfleet.TruncatedHead, []int{200}, true},
		"truncated body": {testfleet.TruncatedBody, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := scriptedconn.New(t, func(_ *scriptedconn.Endpoint, conn net.Conn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, test.response)
			})
			client := testfleet.MustDial(t, server.Address, wait.Timeout)
			<-client.Closed()
			if codes := client.StatusCodes(); !slices.Equal(codes, test.wantCodes) {
				t.Errorf("status codes %v, want %v", codes, test.wantCodes)
			}
			if err := client.Err(); (err != nil) != test.wantErr {
				t.Errorf("client error %v, want an error: %v", err, test.wantErr)
			}
			select {
			case <-client.Responded():
				if len(test.wantCodes) == 0 {
					t.Error("Responded is closed without a response")
				}
			default:
				if len(test.wantCodes) > 0 {
					t.Error("Responded is open after a response")
				}
			}
		})
	}
}

// An attempt gets the response that the test chooses, and its connection is reused only after a complete response.
func TestAttemptIsAnsweredByTest(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		wantOpen bool
		wantErr  bool
	}{
		"served":         {scriptedconn.Served, true, false},
		"full":           {scriptedconn.Full, true, false},
		"reset":          {testfleet.ResetConnection, false, true},
		"truncated body": {testfleet.TruncatedBody, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := make(chan *testfleet.Attempt, 1)
			backends := testfleet.StartBackends(t, 2, func(a *testfleet.Attempt) { attempts <- a })
			host := backends.Hosts[1]
			client := testfleet.MustDial(t, host.Address, wait.Timeout)
			request := testfleet.Request{ID: "7", Class: "order", Path: "x", TimeLeft: time.Second}
			client.MustWrite(t, request.Text(t, host.Address))
			attempt := <-attempts
			if attempt.RequestID != "7" || attempt.Backend != host.Name || attempt.Address != host.Address {
				t.Errorf("attempt %+v, want request 7 at the second backend", attempt)
			}
			if n := backends.OpenConnCount(); n != 1 {
				t.Errorf("%d connections are open, want 1", n)
			}
			attempt.Respond(test.response)
			if test.wantOpen {
				<-client.Responded()
				if n := backends.OpenConnCount(); n != 1 {
					t.Errorf("%d connections are open after the response, want 1", n)
				}
				client.Close()
			}
			<-client.Closed()
			wait.Until(t, "the end of the connection", func() bool { return backends.OpenConnCount() == 0 })
			if err := client.Err(); !test.wantOpen && (err != nil) != test.wantErr {
				t.Errorf("client error %v, want an error: %v", err, test.wantErr)
			}
		})
	}
}

func TestReadinessIsStatusOfResponse(t *testing.T) {
	if code := testfleet.Readiness(ports.MustFree(t)); code != 0 {
		t.Errorf("readiness %d without a sidecar, want 0", code)
	}
	code := http.StatusServiceUnavailable
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health/ready" {
			t.Errorf("request for %s, want /health/ready", r.URL.Path)
		}
		w.WriteHeader(code)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	if got := testfleet.Readiness(address); got != code || testfleet.IsReady(address) {
		t.Errorf("readiness %d, want %d", got, code)
	}
	code = http.StatusOK
	if !testfleet.IsReady(address) {
		t.Error("a sidecar that responds with status 200 is not ready")
	}
}
