package engine

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/subset"
)

// byHand is a clock that the test moves.
type byHand struct {
	now  time.Time
	todo timers
}

type timer struct {
	at time.Time
	do func()
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (c *byHand) Now() time.Time { return c.now }
func (c *byHand) AfterFunc(d time.Duration, do func()) {
	heap.Push(&c.todo, timer{c.now.Add(d), do})
}

// pass has time pass, and all that is due happen.
func (c *byHand) pass(d time.Duration) {
	for end := c.now.Add(d); ; {
		if len(c.todo) == 0 || c.todo[0].at.After(end) {
			c.now = end
			return
		}
		next := heap.Pop(&c.todo).(timer)
		c.now = next.at
		next.do()
	}
}

// down is a source that is down: each watch ends at once, and the test tells of it.
type down struct{ watches chan struct{} }

func (d down) Watch(_ context.Context, after *uint64, _ func(balancer.ListKind, List)) (*uint64, error) {
	d.watches <- struct{}{}
	return after, errors.New("down")
}
func (d down) Close() {}

// What the host changes of its list by itself, with new settings or another part of the fleet,
// says nothing of discovery: a watch that has failed is begun again all the same. It used to
// pass for discovery's own word, after which the list stayed as it was for good.
func TestOwnChangesAreNoWordOfDiscovery(t *testing.T) {
	for name, change := range map[string]func(e *Engine, now balancer.Micros){
		"none": func(*Engine, balancer.Micros) {},
		"settings": func(e *Engine, now balancer.Micros) {
			if err := e.Configure(now, RuntimeSettings{Classes: e.Settings().Classes}); err != nil {
				t.Fatal(err)
			}
		},
		"subset": func(e *Engine, now balancer.Micros) { e.reselect(now) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			clock, source := &byHand{now: time.Unix(1_000_000_000, 0)}, down{make(chan struct{}, 100)}
			held, err := subset.New(subset.Config{Instance: "one", Site: "a", Floor: 2, Spread: 1})
			if err != nil {
				t.Fatal(err)
			}
			up := &plainUpstream{}
			e, err := New(ctx, Options{Zones: []string{"a"}, Upstream: up, Source: source, Subset: held, Clock: clock, Log: slog.New(slog.DiscardHandler),
				Settings: balancer.Settings{Balancers: 1, Zones: 1, PollDiscovery: true,
					Classes:  []balancer.Class{{Name: "read", LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1}},
					Limits:   balancer.Limits{MaxAttempts: 3, MaxOpen: 1000},
					Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5, PollInterval: 2_000_000}}})
			if err != nil {
				t.Fatal(err)
			}
			e.Start()
			clock.pass(time.Second) // all start spread over a tenth of the time for asking
			<-source.watches
			list := List{Complete: true}
			for n := range 9 {
				list.Hosts = append(list.Hosts, readyHost(fmt.Sprint("s-", n), fmt.Sprint("127.0.0.1:", n+1)))
			}
			e.UpdateEndpoints(e.Now(), balancer.ListFull, list)
			e.UpdateEndpoints(e.Now(), balancer.ListFailed, List{})
			if name == "subset" { // it has more of the fleet to hold
				held.ObserveLoad(clock.now, 5)
			}
			before := len(e.endpoints.byID)
			change(e, e.Now())
			if name == "subset" && len(e.endpoints.byID) <= before {
				t.Fatalf("%d servers are held, %d before: nothing was changed", len(e.endpoints.byID), before)
			}
			clock.pass(10 * time.Second)
			select {
			case <-source.watches:
			case <-time.After(20 * time.Second):
				t.Error("discovery is not asked again")
			}
		})
	}
}
