package engine

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"pinedale/balancer"
)

// startRun runs an engine with one ready endpoint until the test ends.
func startRun(t *testing.T, e *Engine) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		e.Run()
		close(ended)
	}()
	t.Cleanup(func() { <-ended })
	e.Call(func(now balancer.Micros) {
		e.UpdateEndpoints(now, balancer.ListFull, snapshot(readyHost("s-1", "127.0.0.1:1")))
	})
}

// A burst of arrivals must not delay the answers of earlier requests.
func TestOutcomesAreHandledBeforeArrivals(t *testing.T) {
	e, cancel := newRunningEngine(t)
	defer cancel()
	var order []string // owned by the engine's goroutine
	record := func(name string) event { return func(balancer.Micros) { order = append(order, name) } }
	e.PostArrival(nil, record("arrival 1"))
	e.PostArrival(nil, record("arrival 2"))
	e.Post(record("outcome"))
	e.After(0, record("timer"))
	for len(e.queue) < 2 {
		time.Sleep(time.Millisecond)
	}
	startRun(t, e)
	e.Call(func(balancer.Micros) {}) // the arrivals are handled once no other event waits
	for len(e.arrivals) > 0 {
		time.Sleep(time.Millisecond)
	}
	var got []string
	e.Call(func(balancer.Micros) { got = slices.Clone(order) })
	if want := []string{"outcome", "timer", "arrival 1", "arrival 2"}; !slices.Equal(got, want) {
		t.Errorf("events ran in the order %v, want %v", got, want)
	}
}

// submitArrival posts a request with the given remaining time, and returns the channel of its response.
func submitArrival(e *Engine, r *Request, remaining time.Duration) <-chan Response {
	responses := make(chan Response, 1)
	r.Respond = func(response Response) { responses <- response }
	if r.Carrier == nil {
		r.Carrier = e.options.Upstream.NewCarrier(&Message{})
	}
	in := balancer.Request{Deadline: e.Now() + remaining.Microseconds()}
	e.PostArrival(nil, func(now balancer.Micros) { e.Submit(now, r, in) })
	return responses
}

// An instance that is short of processor time immediately rejects requests that it could not answer in time, and
// serves the rest.
func TestArrivalWithoutTimeForItsAnswerIsRejected(t *testing.T) {
	e, cancel := newRunningEngine(t)
	defer cancel()
	startRun(t, e)
	const late = 100 * time.Millisecond
	e.Post(func(balancer.Micros) { time.Sleep(late) })
	short := submitArrival(e, &Request{}, late+late/2)
	long := submitArrival(e, &Request{}, time.Minute)
	if response := <-short; response.Code != http.StatusServiceUnavailable {
		t.Errorf("short deadline: answered %d, want a rejection with 503", response.Code)
	}
	select {
	case response := <-long:
		t.Errorf("long deadline: answered %d, want no answer while an attempt is pending", response.Code)
	case <-time.After(late):
	}
	var attempts, shed int
	e.Call(func(balancer.Micros) {
		attempts = len(e.options.Upstream.(*fakeUpstream).attempts)
		shed = e.lateness.shed
	})
	if attempts != 1 || shed != 1 {
		t.Errorf("%d attempts and %d rejected for lateness, want one of each", attempts, shed)
	}
}

func TestLatenessIsForgottenAfterTwoWindows(t *testing.T) {
	var l lateness
	now := balancer.Micros(1_000_000)
	l.observe(now, 40_000)
	for _, c := range []struct{ after, want balancer.Micros }{
		{0, 40_000}, {latenessWindow, 40_000}, {2 * latenessWindow, 0},
	} {
		if got := l.longest(now + c.after); got != c.want {
			t.Errorf("lateness %d us after %d us, want %d", got, c.after, c.want)
		}
	}
	l.observe(now+10*latenessWindow, 40_000)
	if got := l.longest(now + 20*latenessWindow); got != 0 {
		t.Errorf("lateness %d us after a long time without events, want 0", got)
	}
}

// A disconnect can be handled before the arrival of the same client's request, since arrivals have lower priority.
func TestRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	e, cancel := newRunningEngine(t)
	defer cancel()
	blocked := make(chan struct{})
	startRun(t, e)
	e.Post(func(balancer.Micros) { <-blocked })
	r := &Request{}
	submitArrival(e, r, time.Minute)
	e.Post(func(now balancer.Micros) { e.ClientDisconnected(now, r) })
	close(blocked)
	for len(e.arrivals) > 0 {
		time.Sleep(time.Millisecond)
	}
	var attempts, open int
	e.Call(func(balancer.Micros) {
		attempts = len(e.options.Upstream.(*fakeUpstream).attempts)
		open, _ = e.Counts()
	})
	if attempts != 0 || open != 0 {
		t.Errorf("%d attempts, %d requests in the ledger; want none", attempts, open)
	}
}
