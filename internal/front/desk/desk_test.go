package desk

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/intake"
	"pinedale/internal/standin/wait"
)

// mute is an upstream and a source that never say anything.
type mute struct{}

func (mute) NewCarrier(*engine.Message) engine.Carrier                  { return mute{} }
func (mute) Send(*engine.Attempt)                                       {}
func (mute) Cancel(*engine.Attempt)                                     {}
func (mute) Probe(context.Context, *engine.Target, func(engine.Result)) {}
func (mute) Retire(*engine.Target)                                      {}
func (mute) Prune()                                                     {}
func (mute) Close()                                                     {}
func (mute) Watch(ctx context.Context, after *uint64, _ func(balancer.ListKind, engine.List)) (*uint64, error) {
	<-ctx.Done()
	return after, ctx.Err()
}

// stuck returns a desk whose engine does not come to its next event before release is called.
func stuck(t *testing.T) (d *Desk, e *engine.Engine, release func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	e, err := engine.New(ctx, engine.Options{Upstream: mute{}, Source: mute{}, Log: slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{Balancers: 1,
			Classes:  []balancer.Class{{Name: "order", Idempotency: balancer.NotIdempotent, LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1}},
			Limits:   balancer.Limits{MaxAttempts: 3, MaxOpen: 1000},
			Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5}}})
	if err != nil {
		t.Fatal(err)
	}
	go e.Run()
	busy, free := make(chan struct{}), make(chan struct{})
	e.Post(func(balancer.Micros) { close(busy); <-free })
	<-busy
	return New(e, mute{}, 1<<20), e, func() { close(free) }
}

func ask(d *Desk, e *engine.Engine, ctx context.Context, left time.Duration) (engine.Response, error) {
	in := httptest.NewRequest(http.MethodPost, "/order", nil).WithContext(ctx)
	return d.Ask(in, intake.Parsed{CorrelationID: "1", Request: balancer.Request{Deadline: e.Now() + left.Microseconds()}}, nil)
}

// An answer does not wait for the engine beyond the request's time, however long its turn is.
// What it has not been given was never sent, and coming again is harmless; of what it has, that
// is not known. Later the engine finds out that the client has its answer.
func TestAnswerInTimeWhileTheEngineIsStuck(t *testing.T) {
	for name, c := range map[string]struct{ fill, code int }{"in the queue": {0, 502}, "the queue is full": {1 << 20, 503}} {
		t.Run(name, func(t *testing.T) {
			d, e, release := stuck(t)
			for n := 0; n < c.fill && e.TryPost(func(balancer.Micros) {}); n++ {
			}
			a, err := ask(d, e, context.Background(), 20*time.Millisecond)
			if err != nil || a.Code != c.code {
				t.Errorf("answer %+v, %v; want %d", a, err, c.code)
			}
			release() // only now
			wait.Until(t, "an empty ledger", func() bool {
				n := 0
				e.Call(func(balancer.Micros) { n, _ = e.Counts() })
				return n == 0
			})
		})
	}
}

// A client that leaves while the queue is full is not waited for, and nothing of its request
// is kept.
func TestDepartureWhileTheQueueIsFull(t *testing.T) {
	d, e, release := stuck(t)
	for e.TryPost(func(balancer.Micros) {}) {
	}
	ctx, leave := context.WithCancel(context.Background())
	leave()
	if _, err := ask(d, e, ctx, time.Hour); !errors.Is(err, ErrGone) {
		t.Errorf("error %v, want ErrGone", err)
	}
	release()
	e.Call(func(balancer.Micros) {
		if n, _ := e.Counts(); n != 0 {
			t.Errorf("%d requests are held", n)
		}
	})
}
