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

// A connection's goroutines end with Close, whether the service answers or not.
func TestCloseWaitsForGoroutines(t *testing.T) {
	for _, reject := range []bool{false, true} {
		service, err := fakezookeeper.Start(1)
		if err != nil {
			t.Fatal(err)
		}
		service.SetRejecting(reject)
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
		<-events
		if !reject {
			wait.Until(t, "a session", func() bool { return conn.State() == zk.StateHasSession })
			for range 2 {
				if err := conn.Authenticate(); err != nil {
					t.Errorf("authentication: %v", err)
				}
			}
		}
		conn.Close()
		service.Close()
	}
	goleak.VerifyNone(t)
}

func TestIsDisconnect(t *testing.T) {
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
