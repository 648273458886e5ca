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

	"pinedale/internal/standin/fakezookeeper"
	"pinedale/internal/standin/wait"
)

// TestMain lets the test binary stand in for the program, and for a server.
func TestMain(m *testing.M) {
	switch os.Getenv("PINEDALE_REGISTER_TEST") {
	case "program":
		main()
	case "server":
		term := make(chan os.Signal, 1)
		signal.Notify(term, syscall.SIGTERM)
		l, err := net.Listen("tcp", os.Getenv("PINEDALE_REGISTER_ADDRESS"))
		if err != nil {
			os.Exit(9)
		}
		go func() { _ = http.Serve(l, http.NotFoundHandler()) }()
		<-term
		os.Exit(7)
	}
	os.Exit(m.Run())
}

func program(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "PINEDALE_REGISTER_TEST=program")
	c.Stderr = os.Stderr
	return c
}

// The server is registered once it listens; on SIGTERM its node goes first, it serves
// on for the grace, and its exit code is the program's.
func TestServerBesideItsNode(t *testing.T) {
	s, err := fakezookeeper.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	c := program("-servers", s.Addresses()[0], "-name", "s-1", "-address", address, "-session", "2s", "-grace", "1s",
		"--", "/usr/bin/env", "PINEDALE_REGISTER_TEST=server", "PINEDALE_REGISTER_ADDRESS="+address, os.Args[0])
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill() }() // it may have ended
	wait.Until(t, "the node", func() bool { return s.Owner("/soko/s-1") != 0 })
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wait.Until(t, "the node's end", func() bool { return s.Owner("/soko/s-1") == 0 })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Errorf("the server does not serve on after its node's end: %v", err)
	} else {
		conn.Close()
	}
	if err := c.Wait(); c.ProcessState.ExitCode() != 7 {
		t.Errorf("ended with %v, want the server's exit code 7", err)
	}
}

// A server that ends by itself takes its node along at once.
func TestServerThatEnds(t *testing.T) {
	s, err := fakezookeeper.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // something listens there already
	c := program("-servers", s.Addresses()[0], "-name", "s-1", "-address", l.Addr().String(), "-session", "60s",
		"--", "/bin/sh", "-c", "sleep 2; exit 3")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill() }() // it may have ended
	wait.Until(t, "the node", func() bool { return s.Owner("/soko/s-1") != 0 })
	if err := c.Wait(); c.ProcessState.ExitCode() != 3 {
		t.Errorf("ended with %v, want the exit code 3", err)
	}
	wait.Until(t, "the node's end", func() bool { return len(s.Children("/soko")) == 0 })
}

func TestBadArguments(t *testing.T) {
	for _, c := range []struct {
		args []string
		says string
	}{
		{nil, "name"},
		{[]string{"-name", "a", "-address", "here"}, "address"},
		{[]string{"-name", "a", "-address", "h:1"}, "servers"},
		{[]string{"-what"}, "usage"},
		{[]string{"-digest-file", "/nowhere"}, "nowhere"},
	} {
		cmd := program(c.args...)
		cmd.Stderr = nil
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), c.says) {
			t.Errorf("%v: %v, said %q, want %q", c.args, err, out, c.says)
		}
	}
}
