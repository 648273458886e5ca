package engine

import (
	"container/heap"
	"context"
	"fmt"
	"slices"
	"time"

	"pinedale/balancer"
)

// readClass is a class of requests that may be repeated without limit.
var readClass = balancer.Class{
	Name:             "read",
	LatencyObjective: 600_000,
	ClientTimeout:    3_000_000,
	PriorityWeight:   1,
}

// testSettings returns settings of one balancer and one class.
func testSettings(zones int, class balancer.Class, limits balancer.Limits) balancer.Settings {
	return balancer.Settings{
		Balancers: 1,
		Zones:     zones,
		Classes:   []balancer.Class{class},
		Limits:    limits,
		Contract:  balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5},
	}
}

// fakeUpstream records its calls, and leaves attempts pending until the test completes them. It is also a
// Carrier, and a Source that never reports anything.
type fakeUpstream struct {
	attempts  []*Attempt
	cancelled []*Attempt
	retired   []*Target
}

func (u *fakeUpstream) NewCarrier(*Message) Carrier                  { return u }
func (u *fakeUpstream) Probe(context.Context, *Target, func(Result)) {}
func (u *fakeUpstream) Retire(t *Target)                             { u.retired = append(u.retired, t) }
func (u *fakeUpstream) Prune()                                       {}
func (u *fakeUpstream) Send(a *Attempt)                              { u.attempts = append(u.attempts, a) }
func (u *fakeUpstream) Cancel(a *Attempt)                            { u.cancelled = append(u.cancelled, a) }
func (u *fakeUpstream) Close()                                       {}

func (u *fakeUpstream) Watch(
	ctx context.Context, after *uint64, _ func(balancer.ListKind, List),
) (*uint64, error) {
	<-ctx.Done()
	return after, ctx.Err()
}

// recordingDecider records the entries of the last update.
type recordingDecider struct {
	Decider
	entries []balancer.Endpoint
}

func (d *recordingDecider) UpdateEndpoints(
	now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint,
) {
	d.entries = slices.Clone(entries)
	d.Decider.UpdateEndpoints(now, kind, entries)
}

// steppedClock is a clock that a test sets. It collects timers, which the test calls whether or not they are due.
type steppedClock struct {
	now    time.Time
	timers []func()
}

func newSteppedClock() *steppedClock { return &steppedClock{now: time.Unix(1_000_000_000, 0)} }

func (c *steppedClock) Now() time.Time                      { return c.now }
func (c *steppedClock) AfterFunc(_ time.Duration, f func()) { c.timers = append(c.timers, f) }

// advance moves the clock and calls all timers.
func (c *steppedClock) advance(d time.Duration) {
	c.now = c.now.Add(d)
	timers := c.timers
	c.timers = nil
	for _, f := range timers {
		f()
	}
}

// virtualClock is a clock that a test advances. It calls timers when they are due.
type virtualClock struct {
	now    time.Time
	timers timerHeap
}

type timer struct {
	at time.Time
	f  func()
}

// timerHeap implements heap.Interface; the timer that is due first is at the top.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (c *virtualClock) Now() time.Time { return c.now }
func (c *virtualClock) AfterFunc(d time.Duration, f func()) {
	heap.Push(&c.timers, timer{c.now.Add(d), f})
}

// advance moves the clock and calls the timers that become due, each at its own time.
func (c *virtualClock) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		next := heap.Pop(&c.timers).(timer)
		c.now = next.at
		next.f()
	}
	c.now = end
}

func readyHost(name, address string) Host {
	return Host{Name: name, Address: address, Site: "a", Kind: "m1", Weight: 1}
}

// snapshot returns a complete list.
func snapshot(hosts ...Host) List { return List{Complete: true, Hosts: hosts} }

// numberedHosts returns n ready hosts named s-0, s-1 and so on.
func numberedHosts(n int) []Host {
	var hosts []Host
	for i := range n {
		hosts = append(hosts, readyHost(fmt.Sprint("s-", i), fmt.Sprint("127.0.0.1:", i+1)))
	}
	return hosts
}

// testingT has the methods that *testing.T, *testing.B and *rapid.T have in common.
type testingT interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
}

// mustNew returns an engine that lives until the test ends.
func mustNew(t testingT, o Options) *Engine {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	e, err := New(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// submit submits a request on the engine's goroutine, which is the test's. It returns a Response that is set once
// the request has its final answer.
func submit(e *Engine, c Carrier) *Response {
	var response Response
	now := e.Now()
	r := &Request{Carrier: c, Respond: func(r Response) { response = r }}
	e.Submit(now, r, balancer.Request{Deadline: now + 3_000_000})
	e.runDeferred()
	return &response
}
