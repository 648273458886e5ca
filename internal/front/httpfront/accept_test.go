package httpfront

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failingListener fails with errors, one after the other, and then accepts.
type failingListener struct {
	*net.TCPListener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		return l.TCPListener.Accept()
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// Transient failures of accept neither end the service nor pause it for long.
func TestAcceptGoesOnAfterTransientFailures(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var text bytes.Buffer
	l := newClientListener(1, 1, slog.New(slog.NewTextHandler(&text, nil)))
	l.listenOn(&failingListener{TCPListener: listener.(*net.TCPListener), failures: transientAcceptErrors})
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	began := time.Now()
	c, err := l.Accept()
	if err != nil {
		t.Fatalf("Accept: %v", err)
	}
	defer c.Close()
	if took := time.Since(began); took > time.Second {
		t.Errorf("the connection was accepted after %v, want at most 1 s", took)
	}
	if lines := strings.Count(text.String(), "accepting a connection failed"); lines != 1 {
		t.Errorf("%d lines in the log, want one", lines)
	}
}

// Failures while the listener is being closed must not drop the connections in its queue.
func TestStoppingListenerAcceptsItsQueueDespiteFailures(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	failing := &failingListener{
		TCPListener: listener.(*net.TCPListener),
		failures:    []error{syscall.ENFILE, syscall.ECONNABORTED},
	}
	l := newClientListener(1, 1, nil)
	l.listenOn(failing)
	l.stopping.Store(true)
	c, err := l.Accept()
	if err != nil {
		t.Fatalf("Accept: %v", err)
	}
	c.Close()
	if _, err := l.Accept(); err == nil {
		t.Error("Accept returned a connection that no client has opened")
	}
}

func TestAcceptEndsAtOtherFailures(t *testing.T) {
	for _, failure := range []error{syscall.EBADF, syscall.EINVAL, net.ErrClosed, os.ErrDeadlineExceeded} {
		l := newClientListener(1, 1, nil)
		l.listenOn(&failingListener{failures: []error{failure}})
		if _, err := l.Accept(); !errors.Is(err, failure) {
			t.Errorf("Accept returned %v, want %v", err, failure)
		}
	}
}
