package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/internal/standin/fakezookeeper"
	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// Names of the programs that the test binary runs.
const (
	programName = "pinedale-register"
	serverName  = "server" // listens at the address in serverAddressVariable
)

const serverAddressVariable = "PINEDALE_REGISTER_ADDRESS"

// Exit codes of the server.
const (
	exitTerminated  = 7 // by SIGTERM
	exitCannotServe = 9
)

// exitTimeout is how long the program may take to end.
const exitTimeout = time.Minute

// Paths in ZooKeeper.
const (
	directory = "/soko"
	nodePath  = directory + "/s-1"
)

func TestMain(m *testing.M) {
	testfleet.Main(m, map[string]func(){programName: main, serverName: serve})
}

// serve serves HTTP until SIGTERM.
func serve() {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	listener, err := net.Listen("tcp", os.Getenv(serverAddressVariable))
	if err != nil {
		os.Exit(exitCannotServe)
	}
	go func() { _ = http.Serve(listener, http.NotFoundHandler()) }() // until the process ends
	<-terminated
	os.Exit(exitTerminated)
}

// program returns a command that runs pinedale-register with these arguments.
func program(args ...string) *exec.Cmd { return testfleet.Command(programName, args...) }

// registerCommand returns a command that maintains the node of a server and, if args contain a command, runs it.
func registerCommand(service *fakezookeeper.Service, address, session string, args ...string) *exec.Cmd {
	flags := []string{
		"-servers", service.Addresses()[0],
		"-name", "s-1",
		"-address", address,
		"-session", session,
	}
	return program(append(flags, args...)...)
}

// waitForNode waits until the server's node exists.
func waitForNode(t *testing.T, service *fakezookeeper.Service) {
	t.Helper()
	wait.Until(t, "the node", func() bool { return service.Owner(nodePath) != 0 })
}

// The server is registered once it listens. On SIGTERM its node is removed first, the server continues until the grace
// period is over, and the program exits with the server's exit code.
func TestSIGTERMRemovesNodeBeforeServerEnds(t *testing.T) {
	service := fakezookeeper.New(t, 1)
	address := ports.MustFree(t)
	process := testfleet.StartProcess(t, registerCommand(service, address, "2s", "-grace", "1s", "--",
		"/usr/bin/env", testfleet.ProgramVariable+"="+serverName, serverAddressVariable+"="+address, os.Args[0]))
	waitForNode(t, service)
	process.Signal(syscall.SIGTERM)
	wait.Until(t, "the removal of the node", func() bool { return service.Owner(nodePath) == 0 })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Errorf("the server does not accept connections after the removal of its node: %v", err)
	} else {
		conn.Close()
	}
	if err := process.Wait(exitTimeout); process.ExitCode() != exitTerminated {
		t.Errorf("the program ended with %v, want exit code %d", err, exitTerminated)
	}
}

// The node of a server that ends by itself is removed at once, long before its session would expire.
func TestServerExitRemovesNode(t *testing.T) {
	service := fakezookeeper.New(t, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // in place of the server
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	process := testfleet.StartProcess(t, registerCommand(service, listener.Addr().String(), "60s", "--",
		"/bin/sh", "-c", "sleep 2; exit 3"))
	waitForNode(t, service)
	if err := process.Wait(exitTimeout); process.ExitCode() != 3 {
		t.Errorf("the program ended with %v, want exit code 3", err)
	}
	wait.Until(t, "the removal of the node", func() bool { return len(service.Children(directory)) == 0 })
}

func TestInvalidArgumentsAreReported(t *testing.T) {
	for _, test := range []struct {
		args       []string
		wantOutput string
	}{
		{nil, "name"},
		{[]string{"-name", "a", "-address", "here"}, "address"},
		{[]string{"-name", "a", "-address", "h:1"}, "servers"},
		{[]string{"-what"}, "usage"},
		{[]string{"-digest-file", "/nowhere"}, "nowhere"},
	} {
		output, err := program(test.args...).CombinedOutput()
		if err == nil || !strings.Contains(string(output), test.wantOutput) {
			t.Errorf("%v: error %v, output %q, want %q", test.args, err, output, test.wantOutput)
		}
	}
}
