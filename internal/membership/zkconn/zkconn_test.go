package zkconn

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
	"go.uber.org/goleak"

	"pinedale/internal/standin/fakezookeeper"
	"pinedale/internal/standin/wait"
)

func TestCloseEndsGoroutinesOfSession(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	service := startService(t)
	conn := openConn(t, service)
	wait.Until(t, "a session", func() bool { return conn.State() == zk.StateHasSession })
	for range 2 {
		if err := conn.Authenticate(); err != nil {
			t.Errorf("authentication: %v", err)
		}
	}
}

func TestCloseEndsGoroutinesOfRejectedConnection(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	service := startService(t)
	service.SetRejecting(true)
	openConn(t, service)
}

// startService runs a service until the test ends.
func startService(t *testing.T) *fakezookeeper.Service {
	t.Helper()
	service, err := fakezookeeper.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	return service
}

// openConn returns a connection after its first event. It is closed when the test ends.
func openConn(t *testing.T, service *fakezookeeper.Service) *Conn {
	t.Helper()
	events := make(chan zk.Event, 100)
	conn, err := Open(Options{
		Servers:        service.Addresses(),
		SessionTimeout: time.Second,
		Digest:         "reader:secret",
		OnEvent:        func(event zk.Event) { events <- event },
		Log:            slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	<-events
	return conn
}

func TestIsDisconnectRecognizesConnectionAndSessionEnd(t *testing.T) {
	for err, want := range map[error]bool{
		zk.ErrConnectionClosed:                         true,
		zk.ErrSessionExpired:                           true,
		fmt.Errorf("read: %w", zk.ErrConnectionClosed): true,
		zk.ErrNoNode:                                   false,
		nil:                                            false,
	} {
		if got := IsDisconnect(err); got != want {
			t.Errorf("IsDisconnect(%v) is %v, want %v", err, got, want)
		}
	}
}
