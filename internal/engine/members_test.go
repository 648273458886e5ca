package engine

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pinedale/balancer"
)

// plainUpstream holds the attempts that it is given until the test ends them.
type plainUpstream struct {
	attempts  []*Attempt
	cancelled []*Attempt
	retired   []*Target
}

func (u *plainUpstream) NewCarrier(*Message) Carrier                  { return u }
func (u *plainUpstream) Probe(context.Context, *Target, func(Result)) {}
func (u *plainUpstream) Retire(t *Target)                             { u.retired = append(u.retired, t) }
func (u *plainUpstream) Prune()                                       {}
func (u *plainUpstream) Send(a *Attempt)                              { u.attempts = append(u.attempts, a) }
func (u *plainUpstream) Cancel(a *Attempt)                            { u.cancelled = append(u.cancelled, a) }
func (u *plainUpstream) Close()                                       {}
func (u *plainUpstream) Watch(ctx context.Context, after *uint64, _ func(balancer.ListKind, List)) (*uint64, error) {
	<-ctx.Done()
	return after, ctx.Err()
}

// entriesSpy keeps what the balancer is told of its list.
type entriesSpy struct {
	Decider
	entries []balancer.Endpoint
}

func (s *entriesSpy) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	s.entries = slices.Clone(entries)
	s.Decider.UpdateEndpoints(now, kind, entries)
}

// newTestEngine returns an engine that the test's goroutine owns: Run is not called.
func newTestEngine(t *testing.T) (*Engine, *plainUpstream, *entriesSpy) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	up, spy := &plainUpstream{}, &entriesSpy{}
	e, err := New(ctx, Options{Zones: []string{"a", "b"}, Kinds: []string{"m1"}, Upstream: up, Source: up,
		Log: slog.New(slog.DiscardHandler), WrapDecider: func(d Decider) Decider { spy.Decider = d; return spy },
		Settings: balancer.Settings{Balancers: 1, Zones: 2, Kinds: 1,
			Classes: []balancer.Class{{Name: "pay", Idempotency: balancer.IdempotentWithKey, DedupWindow: 5_000_000, LatencyObjective: 600_000,
				ClientTimeout: 3_000_000, PriorityWeight: 1}},
			Limits:   balancer.Limits{Cancel: true, MaxAttempts: 3, MaxOpen: 1000},
			Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5}}})
	if err != nil {
		t.Fatal(err)
	}
	e.decider.Start(e.Now())
	return e, up, spy
}

func readyHost(name, address string) Host {
	return Host{Name: name, Address: address, Site: "a", Kind: "m1", Weight: 1}
}

// take passes a request on and returns its final answer once there is one.
func take(e *Engine, c Carrier) *Response {
	var got Response
	now := e.Now()
	e.Submit(now, &Request{Carrier: c, Respond: func(a Response) { got = a }}, balancer.Request{Deadline: now + 3_000_000})
	e.runDeferred()
	return &got
}

// What a source says of an endpoint reaches the balancer, and an endpoint keeps
// its id across lists; one that has restarted is a new target.
func TestMembers(t *testing.T) {
	e, up, spy := newTestEngine(t)
	e.UpdateEndpoints(e.Now(), balancer.ListFull, List{Complete: true, Hosts: []Host{readyHost("s-1", "127.0.0.1:1")}})
	before := e.endpoints.byID[1].target
	born := time.Now().UnixMilli() - 500
	restarted := readyHost("s-1", "127.0.0.1:1")
	restarted.StartedMS = born
	strange := Host{Name: "s-9", Address: "127.0.0.1:1", Site: "nowhere", Kind: "odd", Cell: 4, State: balancer.Draining}
	e.UpdateEndpoints(e.Now(), balancer.ListDelta, List{Version: 2, Hosts: []Host{restarted, strange}})
	want := []balancer.Endpoint{
		{ID: 1, Zone: 0, Kind: 0, State: balancer.Ready, Weight: 1, StartTime: born * 1000},
		{ID: 2, Zone: unknownName, Kind: unknownName, Cell: 4, State: balancer.Draining}}
	for i, name := range []string{"s-1", "s-9"} {
		hash := fnv.New64a() // the same at every balancer, whatever number it gives the endpoint
		hash.Write([]byte(name))
		want[i].StableID = hash.Sum64()
	}
	if !slices.Equal(spy.entries, want) {
		t.Errorf("entries %+v, want %+v", spy.entries, want)
	}
	after := e.endpoints.byID[1].target
	if before == after || !before.Closed() || after.Closed() || !slices.Equal(up.retired, []*Target{before}) {
		t.Error("the endpoint that restarted kept its old target")
	}
	if now := e.Now(); spy.entries[0].StartTime > now || now-spy.entries[0].StartTime > time.Minute.Microseconds() {
		t.Errorf("started at %d by a clock that shows %d", spy.entries[0].StartTime, now)
	}
	if e.EndpointAt("127.0.0.1:1") != 1 || e.EndpointAt("127.0.0.1:2") != 0 || !e.HasEndpoints() {
		t.Error("the ready endpoint is not found, or another is")
	}
}

// Endpoints come and go all day under new names. One that is gone is forgotten
// once nothing is out there; its number is never given again, so that what comes
// late is not taken for another's.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	e, up, _ := newTestEngine(t)
	list := func(whole bool, hosts ...Host) {
		kind := balancer.ListDelta
		if whole {
			kind = balancer.ListFull
		}
		e.UpdateEndpoints(e.Now(), kind, List{Complete: whole, Hosts: hosts})
	}
	list(true, readyHost("s-1", "127.0.0.1:1"))
	answer := take(e, up)
	for i := range 50 {
		list(true, readyHost(fmt.Sprintf("t-%d", i), "127.0.0.1:2"))
	}
	gone := readyHost("t-49", "")
	gone.State = balancer.Removed
	list(false, gone)
	list(false, gone)
	if requests, endpoints := e.Counts(); requests != 1 || endpoints != 1 || len(e.endpoints.idByName) != 1 || e.endpoints.byID[1] == nil {
		t.Errorf("%d requests, %d endpoints and %d names are kept, want the one with an attempt out", requests, endpoints, len(e.endpoints.idByName))
	}
	up.attempts[0].Complete(e.Now(), Result{Status: balancer.OK})
	if answer.Code != 200 {
		t.Errorf("the request in hand: %+v", answer)
	}
	if requests, endpoints := e.Counts(); requests != 0 || endpoints != 0 || len(e.endpoints.idByName) != 0 {
		t.Errorf("%d requests, %d endpoints and %d names are kept, want none", requests, endpoints, len(e.endpoints.idByName))
	}
	list(true, readyHost("s-1", "127.0.0.1:1"))
	if id := e.endpoints.idByName["s-1"]; id != 52 {
		t.Errorf("the endpoint that is back has number %d, want a new one, 52", id)
	}
}

// An attempt has one end; what is told again, or by two, counts once.
func TestOnlyTheFirstEndCounts(t *testing.T) {
	e, up, _ := newTestEngine(t)
	e.UpdateEndpoints(e.Now(), balancer.ListFull, List{Complete: true, Hosts: []Host{readyHost("s-1", "127.0.0.1:1")}})
	answer := take(e, up)
	a := up.attempts[0]
	a.Complete(e.Now(), Result{Status: balancer.Reset})
	a.Complete(e.Now(), Result{Status: balancer.OK})
	e.runDeferred()
	if answer.Code == 200 {
		t.Error("the second end gave an answer")
	}
	if m := e.endpoints.byID[1]; m.pending < 0 {
		t.Errorf("%d attempts are counted out", m.pending)
	}
}

// A client that has its answer from elsewhere ends the request with its attempt's
// outcome: nothing is sent or answered for it any more.
func TestSettledElsewhere(t *testing.T) {
	e, up, _ := newTestEngine(t)
	e.UpdateEndpoints(e.Now(), balancer.ListFull, List{Complete: true, Hosts: []Host{readyHost("s-1", "127.0.0.1:1"), readyHost("s-2", "127.0.0.1:2")}})
	answer := take(e, up)
	up.attempts[0].Complete(e.Now(), Result{Status: balancer.Error, Settled: true})
	e.runDeferred()
	if len(up.attempts) != 1 || answer.Code != 0 {
		t.Errorf("%d attempts, answer %+v; want one and none", len(up.attempts), answer)
	}
	if n, _ := e.Counts(); n != 0 {
		t.Error("the ledger still holds the request")
	}
}

// steps is a clock that a test moves.
type steps struct {
	at   time.Time
	todo []func()
}

func (c *steps) Now() time.Time                          { return c.at }
func (c *steps) AfterFunc(after time.Duration, f func()) { c.todo = append(c.todo, f) }

// On a clock of its host's an engine does all on the caller's goroutine, at once, and
// its time is that clock's alone.
func TestHostsClock(t *testing.T) {
	up, clock := &plainUpstream{}, &steps{at: time.Unix(1_000_000_000, 0)}
	e, err := New(context.Background(), Options{Zones: []string{"a"}, Kinds: []string{"m1"}, Upstream: up, Clock: clock,
		Log: slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{Balancers: 1, Zones: 1, Kinds: 1, Limits: balancer.Limits{MaxAttempts: 3, MaxOpen: 10},
			Classes:  []balancer.Class{{Name: "read", LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1}},
			Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5}}})
	if err != nil {
		t.Fatal(err)
	}
	e.Start()
	e.Post(func(now balancer.Micros) {
		e.UpdateEndpoints(now, balancer.ListFull, List{Complete: true, Hosts: []Host{readyHost("s-1", "127.0.0.1:1")}})
	})
	if !e.HasEndpoints() {
		t.Error("the list was not told at once")
	}
	answer := take(e, up)
	if len(up.attempts) != 1 || !up.attempts[0].DeadlineTime().Equal(clock.at.Add(3*time.Second)) {
		t.Fatalf("%d attempts", len(up.attempts))
	}
	clock.at = clock.at.Add(time.Second)
	if now := e.Now(); now != clock.at.UnixMicro() {
		t.Errorf("its time is %d, the clock's %d", now, clock.at.UnixMicro())
	}
	up.attempts[0].PostResult(Result{Status: balancer.OK})
	if answer.Code != 200 {
		t.Errorf("answer %+v", answer)
	}
	ran := false
	e.After(time.Second, func(balancer.Micros) { ran = true })
	if len(clock.todo) == 0 || ran {
		t.Fatal("it did not ask its clock")
	}
	clock.todo[len(clock.todo)-1]()
	if !ran || !e.TryPost(func(balancer.Micros) { ran = false }) || ran {
		t.Error("events do not run at once")
	}
}

// When its host is about to end, each request in hand gets its one final answer: a refusal where
// coming again is harmless, else a failure. Outcomes that come later are told, and count no more.
func TestExpire(t *testing.T) {
	e, up, _ := newTestEngine(t)
	list := List{Complete: true, Hosts: []Host{readyHost("s-1", "127.0.0.1:1")}}
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	answers := []*Response{take(e, up), take(e, up)}
	e.Expire(e.Now())
	e.runDeferred()
	for i, a := range answers {
		if a.Code != 503 { // the class's group is all, and its window is open: a repeat has no second effect
			t.Errorf("request %d: answer %+v", i, *a)
		}
	}
	if len(up.cancelled) != 2 {
		t.Errorf("%d attempts called off, want 2", len(up.cancelled))
	}
	for _, a := range up.attempts {
		a.Complete(e.Now(), Result{Status: balancer.OK})
	}
	e.Expire(e.Now()) // nothing is left to be ended
	if n, _ := e.Counts(); n != 0 || answers[0].Code != 503 {
		t.Errorf("%d requests held, answer %+v", n, *answers[0])
	}
}

// What others know to drain is taken for draining while the own list has that very life as
// ready: nothing new goes there, what is out goes on, and the list's own word takes it back.
func TestAdvise(t *testing.T) {
	e, up, spy := newTestEngine(t)
	list := List{Complete: true, Hosts: []Host{readyHost("s-1", "127.0.0.1:1"), readyHost("s-2", "127.0.0.1:2")}}
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	first := e.endpoints.byID[1].target
	e.SetAdvisedDraining(e.Now(), map[string]int64{"s-1": 0, "s-2": 7, "s-9": 0})
	if !first.Closed() || e.endpoints.byID[1].target != nil || !slices.Contains(up.retired, first) {
		t.Error("what is advised to drain is still sent to")
	}
	if e.endpoints.byID[2].target == nil {
		t.Error("advice on another life of an endpoint counts")
	}
	if want := []balancer.Endpoint{{ID: 1, StableID: spy.entries[0].StableID, State: balancer.Draining, Weight: 1}}; !slices.Equal(spy.entries, want) {
		t.Errorf("the balancer is told %+v, want %+v", spy.entries, want)
	}
	spy.entries = nil
	e.SetAdvisedDraining(e.Now(), map[string]int64{"s-1": 0})
	if spy.entries != nil {
		t.Errorf("the same advice has the balancer told %+v", spy.entries)
	}
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list) // it still has not heard
	if e.endpoints.byID[1].target != nil {
		t.Error("a list that has not heard takes advice back")
	}
	list.Hosts[0].StartedMS = 5
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	if e.endpoints.byID[1].target == nil {
		t.Error("advice on the life before keeps an endpoint back that has started anew")
	}
	list.Hosts[0].StartedMS = 0
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	e.SetAdvisedDraining(e.Now(), nil)
	if e.endpoints.byID[1].target == nil || spy.entries[0].State != balancer.Ready {
		t.Error("advice that is over keeps an endpoint back")
	}
}

// What advice costs the engine's goroutine, with a large fleet held.
func BenchmarkAdvise(b *testing.B) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	up := &plainUpstream{}
	e, err := New(ctx, Options{Zones: []string{"a"}, Upstream: up, Source: up, Log: slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{Balancers: 1, Zones: 1, Classes: []balancer.Class{{Name: "read", LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1}},
			Limits: balancer.Limits{MaxAttempts: 3, MaxOpen: 1000}, Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5}}})
	if err != nil {
		b.Fatal(err)
	}
	list, advised := List{Complete: true}, map[string]int64{}
	for n := range 10_000 {
		list.Hosts = append(list.Hosts, readyHost(fmt.Sprint("s-", n), fmt.Sprint("127.0.0.1:", n+1)))
		if n < 48 {
			advised[fmt.Sprint("s-", n)] = 0
		}
	}
	e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
	for n := 0; b.Loop(); n++ {
		e.SetAdvisedDraining(e.Now(), []map[string]int64{advised, nil}[n%2])
	}
}
