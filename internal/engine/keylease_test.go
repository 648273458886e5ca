package engine

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
)

// scriptedLeases records lease requests, and makes decisions when the test calls decide. It covers class 0.
type scriptedLeases struct {
	requests  []LeaseRequest
	callbacks []func(balancer.Micros, LeaseDecision) // by index of the lease request
	released  []LeaseRequest
}

func (l *scriptedLeases) Covers(class uint8) bool { return class == 0 }
func (l *scriptedLeases) Acquire(req LeaseRequest, decided func(balancer.Micros, LeaseDecision)) {
	l.requests = append(l.requests, req)
	l.callbacks = append(l.callbacks, decided)
}
func (l *scriptedLeases) Release(req LeaseRequest) { l.released = append(l.released, req) }

// decide delivers the decision on the nth request, as a separate event.
func (l *scriptedLeases) decide(e *Engine, n int, decision LeaseDecision) {
	e.Post(func(now balancer.Micros) { l.callbacks[n](now, decision) })
}

// leaseTest is an engine with key leases on a clock that the test controls. It has four servers, two in each of pods
// 0 and 1, and one class, whose requests are deduplicated within a pod.
type leaseTest struct {
	engine *Engine
	up     *fakeUpstream
	leases *scriptedLeases
	clock  *steppedClock
}

func newLeaseTest(t testingT) *leaseTest {
	t.Helper()
	class := balancer.Class{
		Name:             "pay",
		Idempotency:      balancer.IdempotentWithKey,
		Group:            balancer.GroupCell,
		DedupWindow:      12_000_000,
		LatencyObjective: 600_000,
		ClientTimeout:    3_000_000,
		PriorityWeight:   1,
	}
	l := &leaseTest{up: &fakeUpstream{}, leases: &scriptedLeases{}, clock: newSteppedClock()}
	l.engine = mustNew(t, Options{
		Zones:     []string{"a", "b"},
		Upstream:  l.up,
		Clock:     l.clock,
		KeyLeases: l.leases,
		Log:       slog.New(slog.DiscardHandler),
		Settings:  testSettings(2, class, balancer.Limits{Cancel: true, MaxAttempts: 3, MaxOpen: 100}),
	})
	l.engine.Start()
	var list List
	for n := range 4 {
		list.Hosts = append(list.Hosts, podHost(n, balancer.Ready))
	}
	list.Complete = true
	l.updateEndpoints(balancer.ListFull, list)
	return l
}

// breakerWindow is the time for which the decision module's circuit breakers count errors.
const breakerWindow = 10 * time.Second

// podHost returns the nth server.
func podHost(n int, state balancer.State) Host {
	return Host{
		Name:    fmt.Sprint("s-", n),
		Address: fmt.Sprintf("127.0.0.1:%d", n+1),
		Site:    "a",
		Cell:    uint16(n % 2),
		State:   state,
		Weight:  1,
	}
}

func podGroupName(cell uint16) string { return fmt.Sprint("pod ", cell) }

func (l *leaseTest) updateEndpoints(kind balancer.ListKind, list List) {
	l.engine.Post(func(now balancer.Micros) { l.engine.UpdateEndpoints(now, kind, list) })
}

// submit submits a request with a key, and returns it with a list that its answers are appended to.
func (l *leaseTest) submit(key string) (*Request, *[]Response) {
	var responses []Response
	r := &Request{Key: key, Carrier: l.up, Respond: func(r Response) { responses = append(responses, r) }}
	l.engine.Post(func(now balancer.Micros) {
		l.engine.Submit(now, r, balancer.Request{Deadline: now + 3_000_000})
	})
	return r, &responses
}

func (l *leaseTest) disconnect(r *Request) {
	l.engine.Post(func(now balancer.Micros) { l.engine.ClientDisconnected(now, r) })
}

// Nothing is sent before the decision on the lease, and afterwards only what the decision permits.
func TestAttemptIsSentOnlyAsLeaseDecisionPermits(t *testing.T) {
	l := newLeaseTest(t)
	leases := l.leases
	_, responses := l.submit("k")
	if len(l.up.attempts) != 0 || len(leases.requests) != 1 ||
		leases.requests[0].Key != "k" || leases.requests[0].Term != 1 {
		t.Fatalf("before the decision: %d attempts, lease requests %+v; want none and one for key k, term 1",
			len(l.up.attempts), leases.requests)
	}
	leases.decide(l.engine, 0, LeaseDecision{Outcome: LeaseExclusive})
	if len(l.up.attempts) != 1 || podGroupName(l.up.attempts[0].Cell) != leases.requests[0].Group {
		t.Fatalf("after an exclusive lease: %d attempts, want 1, in the group of the lease request", len(l.up.attempts))
	}
	l.up.attempts[0].PostResult(Result{Status: balancer.OK})
	if len(*responses) != 1 || (*responses)[0].Code != http.StatusOK || len(leases.released) != 0 {
		t.Errorf("answers %+v, released leases %v: want one answer 200, and the lease kept", *responses, leases.released)
	}
	// Shared: another instance may have sent the request. It is sent only to that instance's pod, needs no further
	// lease, and is not rejected as harmless to retry.
	for key := range 10 {
		l.clock.now = l.clock.now.Add(breakerWindow) // errors of earlier keys must not open a breaker
		attempts, requests := len(l.up.attempts), len(leases.requests)
		_, responses = l.submit(fmt.Sprint("l", key))
		other := "pod 0"
		if leases.requests[requests].Group == other {
			other = "pod 1"
		}
		shared := LeaseDecision{Outcome: LeaseShared, Group: other, Since: l.clock.Now()}
		leases.decide(l.engine, requests, shared)
		for n := attempts; n < len(l.up.attempts) && n < attempts+3; n++ {
			a := l.up.attempts[n]
			if podGroupName(a.Cell) != other {
				t.Fatalf("attempt %d went to pod %d, want the shared lease's group, %s", n, a.Cell, other)
			}
			a.PostResult(Result{Status: balancer.Error})
		}
		if len(l.up.attempts) == attempts || len(leases.requests) != requests+1 ||
			len(*responses) != 1 || (*responses)[0].Code != http.StatusBadGateway {
			t.Errorf("%d attempts, %d lease requests, answers %+v",
				len(l.up.attempts)-attempts, len(leases.requests)-requests, *responses)
		}
	}
	// Denied.
	attempts := len(l.up.attempts)
	_, responses = l.submit("m")
	leases.decide(l.engine, len(leases.requests)-1, LeaseDecision{Outcome: LeaseDenied})
	if len(l.up.attempts) != attempts || len(*responses) != 1 ||
		(*responses)[0].Code != http.StatusBadGateway || len(leases.released) != 1 {
		t.Errorf("lease denied: %d further attempts, answers %+v, released %v; want no attempt, one answer 502, one release",
			len(l.up.attempts)-attempts, *responses, leases.released)
	}
}

func TestParkedAttemptIsNotSentToServerThatDrains(t *testing.T) {
	l := newLeaseTest(t)
	l.submit("k")
	var list List
	for n := range 4 {
		h := Host{Name: fmt.Sprint("s-", n), Cell: uint16(n % 2), Site: "a", State: balancer.Draining}
		list.Hosts = append(list.Hosts, h)
	}
	l.updateEndpoints(balancer.ListDelta, list)
	l.leases.decide(l.engine, 0, LeaseDecision{Outcome: LeaseExclusive})
	if len(l.up.attempts) != 0 {
		t.Error("the parked attempt was sent to a server that drains")
	}
}

func TestParkedAttemptIsNotSentAfterClientDisconnected(t *testing.T) {
	l := newLeaseTest(t)
	r, responses := l.submit("k")
	l.disconnect(r)
	l.leases.decide(l.engine, 0, LeaseDecision{Outcome: LeaseExclusive})
	if len(l.up.attempts) != 0 || len(*responses) != 0 || len(l.leases.released) != 1 {
		t.Errorf("%d attempts, answers %v, released %v", len(l.up.attempts), *responses, l.leases.released)
	}
	if n, _ := l.engine.Counts(); n != 0 {
		t.Errorf("%d requests in the ledger", n)
	}
}

// leaseModel applies random events to an engine with key leases, and checks after each what was sent and
// released.
type leaseModel struct {
	*leaseTest
	submitted  []submittedRequest
	granted    map[string]map[string]bool // groups granted, by key
	mayHaveRun map[string]bool            // by key
	sent       map[string]int             // attempts, by key
	decided    map[int]bool               // by index of the lease request
	completed  map[int]bool               // by index of the attempt
	checked    int                        // attempts checked so far
}

type submittedRequest struct {
	request      *Request
	responses    *[]Response
	key          string
	disconnected bool // before there was an answer
}

func newLeaseModel(t *rapid.T) *leaseModel {
	return &leaseModel{
		leaseTest:  newLeaseTest(t),
		granted:    map[string]map[string]bool{},
		mayHaveRun: map[string]bool{},
		sent:       map[string]int{},
		decided:    map[int]bool{},
		completed:  map[int]bool{},
	}
}

// step applies one random event.
func (m *leaseModel) step(t *rapid.T) {
	switch rapid.SampledFrom([]string{
		"submit", "submit", "decide", "decide", "decide", "complete", "complete", "disconnect", "time", "list",
	}).Draw(t, "step") {
	case "submit":
		key := fmt.Sprint("k", len(m.submitted))
		r, responses := m.submit(key)
		m.submitted = append(m.submitted, submittedRequest{r, responses, key, false})
	case "decide":
		m.decideOne(t)
	case "complete":
		m.completeOne(t)
	case "disconnect":
		if len(m.submitted) > 0 {
			s := &m.submitted[rapid.IntRange(0, len(m.submitted)-1).Draw(t, "which")]
			s.disconnected = s.disconnected || len(*s.responses) == 0
			m.disconnect(s.request)
		}
	case "time":
		// Timers may be called too early: the decision module checks the time.
		m.clock.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	case "list":
		n := rapid.IntRange(0, 3).Draw(t, "server")
		state := rapid.SampledFrom([]balancer.State{balancer.Ready, balancer.Draining}).Draw(t, "state")
		m.updateEndpoints(balancer.ListDelta, List{Hosts: []Host{podHost(n, state)}})
	}
}

// decideOne decides on one of the pending lease requests.
func (m *leaseModel) decideOne(t *rapid.T) {
	for n, req := range m.leases.requests {
		if m.decided[n] || !rapid.Bool().Draw(t, "this") {
			continue
		}
		m.decided[n] = true
		kinds := []LeaseOutcome{LeaseExclusive, LeaseExclusive, LeaseShared, LeaseDenied}
		decision := LeaseDecision{Outcome: rapid.SampledFrom(kinds).Draw(t, "verdict"), Since: m.clock.now}
		group := req.Group
		if decision.Outcome == LeaseShared {
			decision.Group = rapid.SampledFrom([]string{"pod 0", "pod 1", "pod 7", "what?"}).Draw(t, "pod")
			group = decision.Group
		}
		if decision.Outcome != LeaseDenied {
			m.granted[req.Key] = map[string]bool{group: true} // a later term revokes the earlier ones
		}
		m.leases.decide(m.engine, n, decision)
		return
	}
}

// completeOne completes one of the pending attempts.
func (m *leaseModel) completeOne(t *rapid.T) {
	for n, a := range m.up.attempts {
		if m.completed[n] || !rapid.Bool().Draw(t, "this") {
			continue
		}
		m.completed[n] = true
		status := rapid.SampledFrom([]balancer.Status{
			balancer.OK, balancer.Error, balancer.Full, balancer.ConnectFailed, balancer.Reset,
		}).Draw(t, "status")
		if status != balancer.Full && status != balancer.ConnectFailed {
			m.mayHaveRun[a.request.Key] = true
		}
		a.PostResult(Result{Status: status})
		return
	}
}

// check checks the attempts sent since the last check, and the released leases.
func (m *leaseModel) check(t *rapid.T) {
	for ; m.checked < len(m.up.attempts); m.checked++ {
		a := m.up.attempts[m.checked]
		key, group := a.request.Key, podGroupName(a.Cell)
		m.sent[key]++
		if m.sent[key] > 3 {
			t.Fatalf("%s was sent %d times, at most 3 are allowed", key, m.sent[key])
		}
		if !m.granted[key][group] {
			t.Fatalf("%s was sent to %s, but only these groups were granted: %v", key, group, m.granted[key])
		}
	}
	for _, req := range m.leases.released {
		if m.mayHaveRun[req.Key] {
			t.Fatalf("the lease of %s was released, although the request may have run", req.Key)
		}
	}
}

// finish advances the clock past all deadlines, and then completes whatever is still pending.
func (m *leaseModel) finish() {
	for range 200 {
		m.clock.advance(time.Second)
	}
	for n := range m.up.attempts {
		if !m.completed[n] {
			m.mayHaveRun[m.up.attempts[n].request.Key] = true
			m.up.attempts[n].PostResult(Result{Status: balancer.Cancelled})
		}
	}
	for n := range m.leases.requests {
		if !m.decided[n] {
			m.leases.decide(m.engine, n, LeaseDecision{Outcome: LeaseExclusive}) // after the deadline
		}
	}
}

// checkEnd checks the answers and leases after finish.
func (m *leaseModel) checkEnd(t *rapid.T) {
	requested, released := map[string]bool{}, map[string]bool{}
	for _, req := range m.leases.requests {
		requested[req.Key] = true
	}
	for _, req := range m.leases.released {
		released[req.Key] = true
	}
	for _, s := range m.submitted {
		if n := len(*s.responses); n > 1 || n == 0 != s.disconnected {
			t.Fatalf("%s has %d answers; client disconnected before an answer: %v", s.key, n, s.disconnected)
		}
		if requested[s.key] && !m.mayHaveRun[s.key] && !released[s.key] {
			t.Fatalf("%s cannot have run, but its lease was not released", s.key)
		}
	}
	if n, _ := m.engine.Counts(); n != 0 {
		t.Fatalf("%d requests are left in the ledger", n)
	}
}

// For any order of decisions, results, disconnects and losses of servers: each request has one final answer, by its
// deadline; nothing is sent without a granted lease for its pod; the lease of a request that cannot have run is
// released, and that of a request that may have run is kept; and the ledger is empty at the end.
func TestLeasedRequestsKeepInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
		m.finish()
		m.check(t)
		m.checkEnd(t)
	})
}

// Instances exchange group names, so each must resolve the names that another one makes.
func TestLeaseGroupLocationInvertsLeaseGroup(t *testing.T) {
	e := newLeaseTest(t).engine
	for _, test := range []struct {
		group    balancer.Group
		zone     uint8
		cell     uint16
		name     string
		wantZone uint8
		wantCell uint16
	}{
		{balancer.GroupZone, 1, 7, "site b", 1, 0},
		{balancer.GroupZone, unknownName, 7, "site", unknownName, 0},
		{balancer.GroupCell, 1, 7, "pod 7", 0, 7},
		{balancer.GroupAll, 1, 7, "", 0, 0},
	} {
		name := e.leaseGroup(&balancer.Class{Group: test.group}, test.zone, test.cell)
		if name != test.name {
			t.Errorf("group %v of zone %d, cell %d: name %q, want %q", test.group, test.zone, test.cell, name, test.name)
		}
		if zone, cell := e.leaseGroupLocation(name); zone != test.wantZone || cell != test.wantCell {
			t.Errorf("group name %q: zone %d, cell %d, want zone %d, cell %d", name, zone, cell, test.wantZone, test.wantCell)
		}
	}
	for _, name := range []string{"site nowhere", "pod x", "pod 65536"} {
		if zone, _ := e.leaseGroupLocation(name); zone != unknownName {
			t.Errorf("%q: zone %d, want %d", name, zone, unknownName)
		}
	}
}
