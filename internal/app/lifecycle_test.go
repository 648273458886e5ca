package app

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pinedale/internal/config"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/wait"
)

// lifecycleFormat is a file with all fronts, TLS, peers and a status page. Its verbs are the addresses of HTTP/1.1, the
// external processor, HTTP/3, the peers and the status page, a certificate and its key.
const lifecycleFormat = `version = 1
name = "a"
site = "a"
[http]
listen = %q
[ext_proc]
listen = %q
[http3]
listen = %q
keys = "front"
[peers]
listen = %q
status = %q
[[keys]]
name = "front"
cert_file = %q
key_file = %q
[fleet]
sites = ["a"]
kinds = ["k0"]
`

// lifecycleAddresses are the addresses of an instance, by the key of the file.
type lifecycleAddresses struct{ http, extProc, http3, peers, status string }

// newLifecycleAddresses returns addresses on which nothing listens.
func newLifecycleAddresses(t *testing.T) *lifecycleAddresses {
	t.Helper()
	return &lifecycleAddresses{
		http:    ports.MustFree(t),
		extProc: ports.MustFree(t),
		http3:   ports.MustFree(t),
		peers:   ports.MustFree(t),
		status:  ports.MustFree(t),
	}
}

// newLifecycleFile returns a file with these addresses and one server.
func newLifecycleFile(t *testing.T, addresses *lifecycleAddresses) *config.File {
	t.Helper()
	files := ca.NewFolder(t)
	files.WritePair(ca.New(t, "root").IssueFor(time.Hour, "127.0.0.1"))
	text := fmt.Sprintf(lifecycleFormat, addresses.http, addresses.extProc, addresses.http3, addresses.peers,
		addresses.status, files.Cert, files.Key)
	backend := (&fakebackend.Fleet{}).MustStart(t, "s-0", 0)
	file, err := config.Parse([]byte(text + priceClass + serverSection(backend, 0)))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// requireFree checks that nothing listens on any of the addresses.
func (a *lifecycleAddresses) requireFree(t *testing.T) {
	t.Helper()
	for _, address := range []string{a.http, a.extProc, a.peers, a.status} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			continue
		}
		listener.Close()
	}
	for _, address := range []string{a.http3, a.peers} {
		socket, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Error(err)
			continue
		}
		socket.Close()
	}
}

// occupy listens on an address with TCP and UDP until the returned function is called.
func occupy(t *testing.T, address string) (release func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		listener.Close()
		t.Fatal(err)
	}
	release = sync.OnceFunc(func() {
		listener.Close()
		socket.Close()
	})
	t.Cleanup(release)
	return release
}

// instanceGoroutines returns the stacks of goroutines that belong to an instance.
func instanceGoroutines() string {
	buffer := make([]byte, 1<<20)
	stacks := strings.Split(string(buffer[:runtime.Stack(buffer, true)]), "\n\n")
	var found []string
	for _, stack := range stacks[1:] { // the first is that of the test
		for _, owner := range []string{"internal/app.", "internal/cluster.", "internal/engine.", "internal/front/"} {
			if strings.Contains(stack, "pinedale/"+owner) && !strings.Contains(stack, "testing.tRunner") {
				found = append(found, stack)
				break
			}
		}
	}
	return strings.Join(found, "\n\n")
}

// waitForGoroutines waits until no goroutine of an instance is running.
func waitForGoroutines(t *testing.T) {
	t.Helper()
	wait.Until(t, "all goroutines to end", func() bool { return instanceGoroutines() == "" }, instanceGoroutines)
}

// Once Wait has returned, no goroutine and no socket of the instance is left, and a reload is an error.
func TestWaitEndsEverythingThatStartBegan(t *testing.T) {
	addresses := newLifecycleAddresses(t)
	file := newLifecycleFile(t, addresses)
	instance, err := Start(file, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := instance.WaitReady(); err != nil {
		t.Error(err)
	}
	request := newRequest(http.MethodGet, "http://"+addresses.http+"/price-check/x", priceHeaders...)
	if statusCode, _, err := roundTrip(http.DefaultClient.Do, request); statusCode != http.StatusOK {
		t.Errorf("status %d, error %v, want status 200", statusCode, err)
	}
	if instanceGoroutines() == "" {
		t.Error("instanceGoroutines finds no goroutine of a running instance")
	}
	instance.Shutdown()
	if err := instance.Wait(); err != nil {
		t.Error(err)
	}
	addresses.requireFree(t)
	waitForGoroutines(t)
	if err := instance.Reload(file); !errors.Is(err, errStopped) {
		t.Errorf("a reload after the end: %v", err)
	}
}

// An instance runs with all its fronts or not at all: when one fails, the others end without Shutdown, and Wait
// returns the error of that one.
func TestFailedFrontEndsTheOthers(t *testing.T) {
	addresses := newLifecycleAddresses(t)
	instance, err := Start(newLifecycleFile(t, addresses), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	errFront := errors.New("the front has failed")
	instance.serve(func() error { return errFront })
	if err := instance.Wait(); !errors.Is(err, errFront) {
		t.Errorf("Wait returned error %v, want %v", err, errFront)
	}
	addresses.requireFree(t)
}

// An instance that cannot listen on one of its addresses fails to start, and leaves nothing running.
func TestFailedStartLeavesNothingRunning(t *testing.T) {
	for _, test := range []struct {
		name string
		of   func(*lifecycleAddresses) string
	}{
		{"HTTP/1.1 front", func(a *lifecycleAddresses) string { return a.http }},
		{"external processor", func(a *lifecycleAddresses) string { return a.extProc }},
		{"HTTP/3 front", func(a *lifecycleAddresses) string { return a.http3 }},
		{"peers", func(a *lifecycleAddresses) string { return a.peers }},
		{"status page", func(a *lifecycleAddresses) string { return a.status }},
	} {
		t.Run(test.name, func(t *testing.T) {
			addresses := newLifecycleAddresses(t)
			release := occupy(t, test.of(addresses))
			_, err := Start(newLifecycleFile(t, addresses), slog.New(slog.DiscardHandler))
			if err == nil || !strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) {
				t.Fatalf("%v, want an address in use", err)
			}
			release()
			addresses.requireFree(t)
			waitForGoroutines(t)
		})
	}
}
