package registry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// hangingDials is a network on which no connection comes up: dials last until their context ends.
type hangingDials struct{ started, pending atomic.Int32 }

func (d *hangingDials) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	d.started.Add(1)
	d.pending.Add(1)
	defer d.pending.Add(-1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// newHangingClient returns a client whose connections never come up.
func newHangingClient(timing Timing) (*Client, *hangingDials) {
	dials := &hangingDials{}
	client := New("127.0.0.1:1", timing)
	client.dial = dials.dial
	return client, dials
}

func ignoreReport(balancer.ListKind, engine.List) {}

// Dials to a service that cannot be reached once outlived their calls and held the places for connections, so that no
// later call began for as long as the system went on trying.
func TestDialEndsWithItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dials := newHangingClient(testTiming)
		defer client.Close()
		const calls = 10
		for range calls {
			_, _ = client.Watch(t.Context(), nil, ignoreReport)
			time.Sleep(time.Second)
			if n := dials.pending.Load(); n != 0 {
				t.Fatalf("%d dials are pending 1 s after their call has failed", n)
			}
		}
		if n := dials.started.Load(); n != calls {
			t.Errorf("%d dials for %d calls: the others waited for a place", n, calls)
		}
	})
}

// Each new configuration replaces the client: dials of earlier ones must not pile up.
func TestCloseEndsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dials := newHangingClient(testTiming)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = client.Watch(ctx, nil, ignoreReport) }()
		time.Sleep(time.Second)
		if n := dials.pending.Load(); n != 1 {
			t.Fatalf("%d dials are pending during the call, want 1", n)
		}
		cancel()
		client.Close()
		synctest.Wait()
		if n := dials.pending.Load(); n != 0 {
			t.Errorf("%d dials are pending after Close, want none", n)
		}
	})
}
