package engine

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
)

// scriptedGuard keeps what it is asked, and tells when a test says so.
type scriptedGuard struct {
	claims   []LeaseRequest
	told     []func(balancer.Micros, LeaseDecision)
	released []LeaseRequest
}

func (g *scriptedGuard) Covers(class uint8) bool { return class == 0 }
func (g *scriptedGuard) Acquire(c LeaseRequest, told func(balancer.Micros, LeaseDecision)) {
	g.claims, g.told = append(g.claims, c), append(g.told, told)
}
func (g *scriptedGuard) Release(c LeaseRequest) { g.released = append(g.released, c) }

// tell gives a verdict as an event of its own.
func (g *scriptedGuard) tell(e *Engine, n int, v LeaseDecision) {
	e.Post(func(now balancer.Micros) { g.told[n](now, v) })
}

// guardedEngine has four servers: two in each of pods 0 and 1, and requests of class 0 that the pod drops
// repeats of.
func guardedEngine(t testing.TB) (*Engine, *plainUpstream, *scriptedGuard, *steps) {
	up, g, clock := &plainUpstream{}, &scriptedGuard{}, &steps{at: time.Unix(1_000_000_000, 0)}
	e, err := New(context.Background(), Options{Zones: []string{"a", "b"}, Upstream: up, Clock: clock, KeyLeases: g, Log: slog.New(slog.DiscardHandler),
		Settings: balancer.Settings{Balancers: 1, Zones: 2, Limits: balancer.Limits{Cancel: true, MaxAttempts: 3, MaxOpen: 100},
			Classes:  []balancer.Class{{Name: "pay", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupCell, DedupWindow: 12_000_000, LatencyObjective: 600_000, ClientTimeout: 3_000_000, PriorityWeight: 1}},
			Contract: balancer.Contract{SlowStartRatio: 0.3, OverloadMultiple: 2.5}}})
	if err != nil {
		t.Fatal(err)
	}
	e.Start()
	e.Post(func(now balancer.Micros) {
		var list List
		for n := range 4 {
			list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("s-", n), Address: fmt.Sprintf("127.0.0.1:%d", n+1), Site: "a", Cell: uint16(n % 2), Weight: 1})
		}
		list.Complete = true
		e.UpdateEndpoints(now, balancer.ListFull, list)
	})
	return e, up, g, clock
}

func ask(e *Engine, up *plainUpstream, key string) (*Request, *[]Response) {
	var got []Response
	r := &Request{Key: key, Carrier: up, Respond: func(a Response) { got = append(got, a) }}
	e.Post(func(now balancer.Micros) { e.Submit(now, r, balancer.Request{Deadline: now + 3_000_000}) })
	return r, &got
}

// Nothing is sent before the verdict, and then only what it permits.
func TestNothingIsSentBeforeTheVerdict(t *testing.T) {
	e, up, g, _ := guardedEngine(t)
	_, got := ask(e, up, "k")
	if len(up.attempts) != 0 || len(g.claims) != 1 || g.claims[0].Key != "k" || g.claims[0].Term != 1 {
		t.Fatalf("%d attempts, claims %+v", len(up.attempts), g.claims)
	}
	g.tell(e, 0, LeaseDecision{Kind: LeaseExclusive})
	if len(up.attempts) != 1 || fmt.Sprint("pod ", up.attempts[0].Cell) != g.claims[0].Group {
		t.Fatalf("%d attempts", len(up.attempts))
	}
	up.attempts[0].PostResult(Result{Status: balancer.OK})
	if len(*got) != 1 || (*got)[0].Code != http.StatusOK || len(g.released) != 0 {
		t.Errorf("answers %+v, released %v: what has run stays claimed", *got, g.released)
	}
	// Another may have sent it: it goes to that one's pod alone, with no more to agree on, and is not refused
	// as harmless.
	for key := range 10 {
		from, asked := len(up.attempts), len(g.claims)
		_, got = ask(e, up, fmt.Sprint("l", key))
		other := "pod 0"
		if g.claims[asked].Group == other {
			other = "pod 1"
		}
		g.tell(e, asked, LeaseDecision{Kind: LeaseShared, Group: other, Since: e.clock.Now()})
		for n := from; n < len(up.attempts) && n < from+3; n++ {
			a := up.attempts[n]
			if fmt.Sprint("pod ", a.Cell) != other {
				t.Fatalf("attempt %d went to pod %d", n, a.Cell)
			}
			a.PostResult(Result{Status: balancer.Error})
		}
		if len(up.attempts) == from || len(g.claims) != asked+1 || len(*got) != 1 || (*got)[0].Code != http.StatusBadGateway {
			t.Errorf("%d attempts, %d claims, answers %+v", len(up.attempts)-from, len(g.claims)-asked, *got)
		}
	}
	// Nobody can tell.
	n := len(up.attempts)
	_, got = ask(e, up, "m")
	g.tell(e, len(g.claims)-1, LeaseDecision{Kind: LeaseDenied})
	if len(up.attempts) != n || len(*got) != 1 || (*got)[0].Code != http.StatusBadGateway || len(g.released) != 1 {
		t.Errorf("%d attempts more, answers %+v, released %v", len(up.attempts)-n, *got, g.released)
	}
}

// A server that begins to drain while its request waits for the verdict gets nothing.
func TestDrainsWhileParked(t *testing.T) {
	e, up, g, _ := guardedEngine(t)
	ask(e, up, "k")
	e.Post(func(now balancer.Micros) {
		var list List
		for n := range 4 {
			list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("s-", n), Cell: uint16(n % 2), Site: "a", State: balancer.Draining})
		}
		e.UpdateEndpoints(now, balancer.ListDelta, list)
	})
	g.tell(e, 0, LeaseDecision{Kind: LeaseExclusive})
	if len(up.attempts) != 0 {
		t.Error("it was sent to a server that drains")
	}
}

// Whatever verdicts, ends, cancellations and losses of servers come, in any order: one final answer each, at
// its deadline at the latest; nothing is sent without a claim for its pod that was granted; what cannot have
// run is released, what may have is not; and nothing is left over.
func TestGuardedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, up, g, clock := guardedEngine(nil)
		type asked struct {
			r    *Request
			got  *[]Response
			key  string
			gone bool
		}
		var requests []asked
		granted := map[string]map[string]bool{} // pods by key
		ran := map[string]bool{}
		made := map[string]int{}
		told := map[int]bool{}
		ended := map[int]bool{}
		checked := 0
		check := func() {
			for ; checked < len(up.attempts); checked++ {
				a := up.attempts[checked]
				if made[a.request.Key]++; made[a.request.Key] > 3 {
					t.Fatalf("%s was sent %d times, of three that the limits permit", a.request.Key, made[a.request.Key])
				}
				if key, pod := a.request.Key, fmt.Sprint("pod ", a.Cell); !granted[key][pod] {
					t.Fatalf("%s was sent to %s, granted: %v", key, pod, granted[key])
				}
			}
			for _, c := range g.released {
				if ran[c.Key] {
					t.Fatalf("%s may have run, and was released", c.Key)
				}
			}
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"ask", "ask", "tell", "tell", "tell", "end", "end", "gone", "time", "list"}).Draw(t, "step") {
			case "ask":
				key := fmt.Sprint("k", len(requests))
				r, got := ask(e, up, key)
				requests = append(requests, asked{r, got, key, false})
			case "tell":
				for n := range g.claims {
					if !told[n] && rapid.Bool().Draw(t, "this") {
						told[n] = true
						c := g.claims[n]
						v := LeaseDecision{Kind: rapid.SampledFrom([]LeaseOutcome{LeaseExclusive, LeaseExclusive, LeaseShared, LeaseDenied}).Draw(t, "verdict"), Since: clock.at}
						group := c.Group
						if v.Kind == LeaseShared {
							v.Group = rapid.SampledFrom([]string{"pod 0", "pod 1", "pod 7", "what?"}).Draw(t, "pod")
							group = v.Group
						}
						if v.Kind != LeaseDenied {
							granted[c.Key] = map[string]bool{group: true} // a later round takes the earlier back
						}
						g.tell(e, n, v)
						break
					}
				}
			case "end":
				for n, a := range up.attempts {
					if !ended[n] && rapid.Bool().Draw(t, "this") {
						ended[n] = true
						s := rapid.SampledFrom([]balancer.Status{balancer.OK, balancer.Error, balancer.Full, balancer.ConnectFailed, balancer.Reset}).Draw(t, "status")
						if s != balancer.Full && s != balancer.ConnectFailed {
							ran[a.request.Key] = true
						}
						a.PostResult(Result{Status: s})
						break
					}
				}
			case "gone":
				if len(requests) > 0 {
					q := &requests[rapid.IntRange(0, len(requests)-1).Draw(t, "which")]
					q.gone = q.gone || len(*q.got) == 0
					e.Post(func(now balancer.Micros) { e.ClientDisconnected(now, q.r) })
				}
			case "time":
				clock.at = clock.at.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				todo := clock.todo
				clock.todo = nil
				for _, f := range todo { // too early is allowed: the module looks at the time
					f()
				}
			case "list":
				n := rapid.IntRange(0, 3).Draw(t, "server")
				h := Host{Name: fmt.Sprint("s-", n), Address: fmt.Sprintf("127.0.0.1:%d", n+1), Site: "a", Cell: uint16(n % 2), Weight: 1,
					State: rapid.SampledFrom([]balancer.State{balancer.Ready, balancer.Draining}).Draw(t, "state")}
				e.Post(func(now balancer.Micros) { e.UpdateEndpoints(now, balancer.ListDelta, List{Hosts: []Host{h}}) })
			}
			check()
		}
		// All time passes, and then all attempts end.
		for range 200 {
			clock.at = clock.at.Add(time.Second)
			todo := clock.todo
			clock.todo = nil
			for _, f := range todo {
				f()
			}
		}
		for n := range up.attempts {
			if !ended[n] {
				ran[up.attempts[n].request.Key] = true
				up.attempts[n].PostResult(Result{Status: balancer.Cancelled})
			}
		}
		for n := range g.claims {
			if !told[n] {
				g.tell(e, n, LeaseDecision{Kind: LeaseExclusive}) // far too late
			}
		}
		check()
		claimed := map[string]bool{}
		for _, c := range g.claims {
			claimed[c.Key] = true
		}
		released := map[string]bool{}
		for _, c := range g.released {
			released[c.Key] = true
		}
		for _, q := range requests {
			if n := len(*q.got); n > 1 || n == 0 != q.gone {
				t.Fatalf("%s has %d answers, its client is gone: %v", q.key, n, q.gone)
			}
			if claimed[q.key] && !ran[q.key] && !released[q.key] {
				t.Fatalf("%s cannot have run, and is still claimed", q.key)
			}
		}
		if n, _ := e.Counts(); n != 0 {
			t.Fatalf("%d requests are left over", n)
		}
	})
}

// A client that leaves while its request waits for the verdict is owed nothing, and nothing
// is sent for it.
func TestClientLeavesWhileParked(t *testing.T) {
	e, up, g, _ := guardedEngine(t)
	r, got := ask(e, up, "k")
	e.Post(func(now balancer.Micros) { e.ClientDisconnected(now, r) })
	g.tell(e, 0, LeaseDecision{Kind: LeaseExclusive})
	if len(up.attempts) != 0 || len(*got) != 0 || len(g.released) != 1 {
		t.Errorf("%d attempts, answers %v, released %v", len(up.attempts), *got, g.released)
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("%d requests are held", n)
	}
}
