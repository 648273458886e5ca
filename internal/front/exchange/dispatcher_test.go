package exchange

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/requestmeta"
	"pinedale/internal/standin/testengine"
	"pinedale/internal/standin/wait"
)

// idlePeer is an upstream and a source that never respond.
type idlePeer struct{}

func (idlePeer) NewCarrier(*engine.Message) engine.Carrier                  { return idlePeer{} }
func (idlePeer) Send(*engine.Attempt)                                       {}
func (idlePeer) Cancel(*engine.Attempt)                                     {}
func (idlePeer) Probe(context.Context, *engine.Target, func(engine.Result)) {}
func (idlePeer) Retire(*engine.Target)                                      {}
func (idlePeer) Prune()                                                     {}
func (idlePeer) Close()                                                     {}
func (idlePeer) Watch(ctx context.Context, after *uint64, _ func(balancer.ListKind, engine.List)) (*uint64, error) {
	<-ctx.Done()
	return after, ctx.Err()
}

// newBlocked returns a dispatcher whose engine does not handle its next event before release is called.
func newBlocked(t *testing.T) (d *Dispatcher, e *engine.Engine, release func()) {
	t.Helper()
	order := balancer.Class{
		Name:             "order",
		Idempotency:      balancer.NotIdempotent,
		LatencyObjective: 600_000,
		ClientTimeout:    3_000_000,
		PriorityWeight:   1,
	}
	e = testengine.Run(t, engine.Options{
		Upstream: idlePeer{},
		Source:   idlePeer{},
		Log:      slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{
			Balancers: 1,
			Classes:   []balancer.Class{order},
			Limits:    balancer.Limits{MaxAttempts: 3, MaxOpen: 1000},
			Contract:  balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5},
		},
	})
	blocked, released := make(chan struct{}), make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	e.Post(func(balancer.Micros) {
		close(blocked)
		<-released
	})
	<-blocked
	return New(e, idlePeer{}, LimitsWithin(64<<20), ShortageHandlers{}), e, release
}

// dispatch passes a request with this time to its deadline to the dispatcher.
func dispatch(ctx context.Context, d *Dispatcher, e *engine.Engine, remaining time.Duration) (engine.Response, error) {
	in := httptest.NewRequest(http.MethodPost, "/order", nil).WithContext(ctx)
	deadline := e.Now() + remaining.Microseconds()
	req := requestmeta.Parsed{CorrelationID: "1", Request: balancer.Request{Deadline: deadline}}
	response, release, err := d.Dispatch(in, req, Body{})
	release()
	return response, err
}

// fillArrivals posts arrivals until the engine's queue for them is full.
func fillArrivals(e *engine.Engine) {
	full, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	for e.PostArrival(full.Done(), func(balancer.Micros) {}) {
	}
}

// A response does not wait for the engine beyond the request's deadline, however long the engine is
// blocked. A request that the engine has not submitted was never sent and may be retried. The engine is notified
// later that the client no longer waits for it.
func TestResponseInTimeWhileEngineIsBlocked(t *testing.T) {
	for name, fill := range map[string]func(*engine.Engine){
		"in the queue":      func(*engine.Engine) {},
		"the queue is full": fillArrivals,
	} {
		t.Run(name, func(t *testing.T) {
			d, e, release := newBlocked(t)
			fill(e)
			response, err := dispatch(context.Background(), d, e, 20*time.Millisecond)
			if err != nil || response.Code != http.StatusServiceUnavailable {
				t.Errorf("response %+v, %v; want 503", response, err)
			}
			release() // only after the response
			wait.Until(t, "no request in flight", func() bool {
				n := 0
				e.Call(func(balancer.Micros) { n, _ = e.Counts() })
				return n == 0
			})
		})
	}
}

// A request that the engine has submitted may have run, so it is not answered with 503.
func TestSubmittedRequestFailsWhileEngineIsBlocked(t *testing.T) {
	d, e, release := newBlocked(t)
	release()
	host := engine.Host{Name: "s-1", Address: "127.0.0.1:1", State: balancer.Ready, Weight: 1}
	e.Call(func(now balancer.Micros) {
		e.UpdateEndpoints(now, balancer.ListFull, engine.List{Complete: true, Hosts: []engine.Host{host}})
	})
	blocked, unblock := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(blocked)
		for n := 0; n == 0; {
			e.Call(func(balancer.Micros) { n, _ = e.Counts() })
		}
		e.Post(func(balancer.Micros) { <-unblock })
	}()
	response, err := dispatch(context.Background(), d, e, 200*time.Millisecond)
	if err != nil || response.Code != http.StatusBadGateway {
		t.Errorf("response %+v, %v; want 502", response, err)
	}
	<-blocked
	close(unblock)
}

// A client that disconnects while the engine's queue is full does not wait for the engine, and nothing of
// its request remains.
func TestDisconnectIsReportedWhileQueueIsFull(t *testing.T) {
	d, e, release := newBlocked(t)
	for e.TryPost(func(balancer.Micros) {}) {
	}
	ctx, disconnect := context.WithCancel(context.Background())
	disconnect()
	if _, err := dispatch(ctx, d, e, time.Hour); !errors.Is(err, ErrDisconnected) {
		t.Errorf("error %v, want ErrDisconnected", err)
	}
	release()
	e.Call(func(balancer.Micros) {
		if n, _ := e.Counts(); n != 0 {
			t.Errorf("%d requests are in flight, want 0", n)
		}
	})
}
