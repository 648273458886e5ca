package routing

import (
	"fmt"
	"testing"

	"pinedale/balancer"
)

const second Micros = 1_000_000

// The classes of the tests.
const (
	read   = iota // safe
	pay           // keyed, all endpoints drop a repeat for 1.5 s
	close_        // keyed, one cell drops a repeat for 12 s
	order         // unsafe
)

var classes = []balancer.Class{
	{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 600_000, ClientTimeout: 3 * second, PriorityWeight: 1},
	{Name: "pay", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupAll, DedupWindow: 1_500_000, LatencyObjective: 600_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
	{Name: "close", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupCell, DedupWindow: 12 * second, LatencyObjective: 1_200_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
	{Name: "order", Idempotency: balancer.NotIdempotent, LatencyObjective: 600_000, ClientTimeout: 3 * second, PriorityWeight: 1},
}

// ref is what the world gives with a decision.
type ref struct {
	endpoint uint32
	round    uint64
}

// world joins a ledger to a real decision module, without sockets or a clock.
type world struct {
	t       reporter
	now     Micros
	module  *balancer.Balancer
	ledger  *Ledger
	retired map[uint32]bool
	timers  []timer
	depth   int // calls of the module that are at work
	later   []func()

	tries map[uint64]int     // of a round, as the module counts them
	ends  map[string]int     // by round and attempt
	told  map[Ask][]Told     // verdicts
	open  map[string]ref     // attempts without end
	sends func(Ask, ref)     // called with each copy handed out
	begun []balancer.Request // rounds
}

type timer struct {
	at    Micros
	token uint32
}

// reporter is what a world needs of a test, rapid's included.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Fatal(args ...any)
}

func newWorld(t reporter, limits func(*Limits)) *world {
	w := &world{t: t, now: 10 * second, retired: map[uint32]bool{}, tries: map[uint64]int{}, ends: map[string]int{},
		told: map[Ask][]Told{}, open: map[string]ref{}}
	l := Limits{Classes: classes, Attempts: 3, Copies: true, Retries: true, Entries: 1000}
	if limits != nil {
		limits(&l)
	}
	w.ledger = New(l, w)
	var err error
	w.module, err = balancer.New(balancer.Settings{Balancers: 1, Zones: 2, Kinds: 1, Classes: classes,
		Limits:   balancer.Limits{Cancel: true, RetryAfter: true, Hedging: true, MaxAttempts: l.Attempts, MaxOpen: 1000, MaxRetryAfter: second},
		Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5}}, 7, (*module)(w))
	if err != nil {
		t.Fatal(err)
	}
	w.call(func() {
		w.module.Start(w.now)
		w.module.UpdateEndpoints(w.now, balancer.ListFull, endpoints(6))
	})
	return w
}

// endpoints are n ready ones, from 1; pairs share a cell.
func endpoints(n int) []balancer.Endpoint {
	list := make([]balancer.Endpoint, n)
	for i := range list {
		list[i] = balancer.Endpoint{ID: uint32(i + 1), Zone: uint8(i / 4), Cell: cell(uint32(i + 1)), Weight: 1}
	}
	return list
}

func cell(endpoint uint32) uint16 { return uint16(endpoint-1) / 2 }

// call runs a call of the module, and then what it put off.
func (w *world) call(f func()) {
	w.depth++
	f()
	w.depth--
	w.settle()
}

func (w *world) settle() {
	for w.depth == 0 && len(w.later) > 0 {
		todo := w.later
		w.later = nil
		for _, f := range todo {
			f()
		}
	}
}

// pass lets time go on, with its timers.
func (w *world) pass(d Micros) {
	for end := w.now + d; w.now < end; {
		w.now = min(end, w.now+10_000)
		due := w.timers
		w.timers = nil
		for _, t := range due {
			if t.at > w.now {
				w.timers = append(w.timers, t)
			} else {
				w.call(func() { w.module.TimerFired(w.now, t.token) })
			}
		}
		w.ledger.Tick(w.now)
		w.settle()
	}
}

// module is the world as the decision module sees it.
type module world

func (m *module) Send(id uint64, endpoint uint32, _, _ Micros) {
	w := (*world)(m)
	n := w.tries[id]
	w.tries[id]++
	w.open[fmt.Sprint(id, " ", n)] = ref{endpoint, id}
	w.ledger.Decided(w.now, id, Place{Zone: uint8(endpoint-1) / 4, Cell: cell(endpoint)}, ref{endpoint, id})
}
func (m *module) Reject(id uint64, after Micros) { m.ledger.Refused(m.now, id, after) }
func (m *module) Fail(id uint64)                 { m.ledger.Failed(m.now, id) }
func (m *module) Cancel(id uint64, n int) {
	w := (*world)(m)
	w.later = append(w.later, func() { w.ledger.Cancelled(w.now, id, n) })
}
func (m *module) Timer(d Micros, token uint32) { m.timers = append(m.timers, timer{m.now + d, token}) }
func (m *module) Probe(uint32)                 {}
func (m *module) Watch(bool)                   {}
func (m *module) Log(string, ...any)           {}

func (w *world) Begin(round uint64, _ string, in balancer.Request) {
	w.begun = append(w.begun, in)
	in.ID = round
	w.call(func() { w.module.HandleRequest(w.now, in) })
}
func (w *world) Leave(round uint64) { w.call(func() { w.module.ClientDisconnected(w.now, round) }) }
func (w *world) End(round uint64, n int, o Outcome, settled bool) {
	if w.depth > 0 {
		w.t.Errorf("an end is told while the module is at work")
	}
	key := fmt.Sprint(round, " ", n)
	if w.ends[key]++; w.ends[key] > 1 {
		w.t.Errorf("attempt %s has a second end, %v", key, o.Status)
	}
	at := w.open[key]
	delete(w.open, key)
	served := at.endpoint
	if o.Endpoint != 0 {
		served = o.Endpoint
	}
	w.call(func() {
		w.module.AttemptCompleted(w.now, balancer.Outcome{ID: round, Attempt: n, Endpoint: served, Status: o.Status, Settled: settled})
	})
}
func (w *world) Usable(r any) bool { return !w.retired[r.(ref).endpoint] }
func (w *world) Tell(a Ask, t Told) {
	w.told[a] = append(w.told[a], t)
	if t.Kind == Go && w.sends != nil {
		w.sends(a, t.Ref.(ref))
	}
}

// query is about a request of a class, with 2 s left.
func (w *world) query(a Ask, class uint8, id, key string) Query {
	return Query{Ask: a, ID: id, Key: key, Print: 1, Body: balancer.Request{Class: class, Deadline: w.now + 2*second}}
}

// ask asks and returns the verdict, which must come at once.
func (w *world) ask(q Query) Told {
	w.t.Helper()
	w.ledger.Ask(w.now, q)
	w.settle()
	if n := len(w.told[q.Ask]); n != 1 {
		w.t.Fatalf("ask %d was told %d times", q.Ask, n)
	}
	return w.told[q.Ask][0]
}

func (w *world) report(a Ask, s balancer.Status) Told {
	t := w.ledger.Report(w.now, a, Outcome{Status: s})
	w.settle()
	return t
}

func (w *world) left(a Ask, unsent bool) {
	w.ledger.Left(w.now, a, unsent)
	w.settle()
}

// empty checks that nothing is held any more, here and in the module.
func (w *world) empty() {
	w.t.Helper()
	if asks, rounds, entries := w.ledger.Held(); asks+rounds+entries > 0 || len(w.open) > 0 || len(w.ledger.ids) > 0 {
		w.t.Errorf("held at the end: %d asks, %d rounds, %d entries, %d ids, %d attempts", asks, rounds, entries,
			len(w.ledger.ids), len(w.open))
	}
}

func endpointOf(t Told) uint32 { return t.Ref.(ref).endpoint }

// One verdict for one keyed request, however often and when it is asked for: the
// same server is named, within the time for which it drops a repeat.
func TestAskedTwiceAboutOneKeyedRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		class uint8
		id    string // of the second ask
		after func(w *world)
		want  Kind
		same  bool
	}{
		{"at once", pay, "1", nil, Go, true},
		{"at once, by another try of the client", pay, "2", nil, Go, true},
		{"at once, for one cell", close_, "2", nil, Go, true},
		{"after the outcome", pay, "2", func(w *world) { w.report(1, balancer.OK); w.left(1, false) }, Go, true},
		{"after the outcome, by the same id", pay, "1", func(w *world) { w.report(1, balancer.OK); w.left(1, false) }, Go, true},
		{"after the window", pay, "2", func(w *world) { w.report(1, balancer.OK); w.left(1, false); w.pass(1_500_000) }, Conflict, false},
		{"the cell remembers for longer", close_, "2", func(w *world) { w.report(1, balancer.OK); w.left(1, false); w.pass(1_500_000) }, Go, true},
		{"after the window, still open", pay, "2", func(w *world) { w.pass(1_600_000) }, Conflict, false},
		{"the caller went without a report", close_, "2", func(w *world) { w.left(1, false) }, Go, false},
		{"safe, at once", read, "1", nil, Go, true},
		{"unsafe, at once", order, "1", nil, Conflict, false},
		{"unsafe, after the outcome", order, "1", func(w *world) { w.report(1, balancer.OK); w.left(1, false) }, Conflict, false},
		{"unsafe, the caller went without a report", order, "1", func(w *world) { w.left(1, false) }, Conflict, false},
		{"unsafe, the verdict never left", order, "1", func(w *world) { w.left(1, true) }, Go, false},
		{"unsafe, turned away", order, "1", func(w *world) { w.report(1, balancer.Full) }, Go, false},
		{"its server is retired", pay, "2", func(w *world) {
			for i := range uint32(7) {
				w.retired[i] = true
			}
		}, Conflict, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, nil)
			key := ""
			if c.class == pay || c.class == close_ {
				key = "k"
			}
			first := w.ask(w.query(1, c.class, "1", key))
			if first.Kind != Go {
				t.Fatalf("the first verdict: %+v", first)
			}
			if c.after != nil {
				c.after(w)
			}
			got := w.ask(w.query(2, c.class, c.id, key))
			if got.Kind != c.want {
				t.Fatalf("the second verdict: %+v, want kind %v", got, c.want)
			}
			if c.same && endpointOf(got) != endpointOf(first) {
				t.Errorf("server %d, then %d", endpointOf(first), endpointOf(got))
			}
			if got.Kind == Go && c.class == close_ && cell(endpointOf(got)) != cell(endpointOf(first)) {
				t.Errorf("server %d, then %d: of another cell", endpointOf(first), endpointOf(got))
			}
			w.left(1, false)
			w.left(2, false)
			w.pass(30 * second)
			w.empty()
		})
	}
}

// Another request under a used key, or a used id, is an error and nothing is sent.
func TestAnotherRequestUnderAUsedKey(t *testing.T) {
	w := newWorld(t, nil)
	w.ask(w.query(1, pay, "1", "k"))
	other := w.query(2, pay, "2", "k")
	other.Print = 2
	if got := w.ask(other); got.Kind != Misuse || got.Reason != reasonKey {
		t.Errorf("another request under the key: %+v", got)
	}
	if got := w.ask(w.query(3, pay, "1", "k2")); got.Kind != Misuse || got.Reason != reasonID {
		t.Errorf("another key under the id: %+v", got)
	}
	tenant := w.query(4, pay, "4", "k")
	tenant.Tenant = "acme"
	tenant.Print = 3
	if got := w.ask(tenant); got.Kind != Go {
		t.Errorf("the same key of another tenant: %+v", got)
	}
	if got := w.ledger.Report(w.now, 2, Outcome{Status: balancer.OK}); got.Kind != Pass || len(w.ends) != 0 {
		t.Error("a report of an ask that was told nothing counted")
	}
	for a := Ask(1); a <= 4; a++ {
		w.left(a, false)
	}
	w.pass(30 * second)
	w.empty()
}

// A caller that gives up before there is a verdict leaves nothing behind; one that
// ends its stream after it may have sent.
func TestCallerGivesUp(t *testing.T) {
	w := newWorld(t, nil)
	w.ask(w.query(1, pay, "1", "k"))
	w.left(1, true) // the verdict never left
	w.empty()
	w.ask(w.query(2, order, "2", ""))
	w.left(2, false)
	if len(w.open) != 0 {
		t.Error("the attempt is still counted in flight")
	}
	if _, _, entries := w.ledger.Held(); entries != 1 {
		t.Errorf("%d entries, want the one that may have run", entries)
	}
	// One that stays and never reports: the deadline releases all but the memory.
	w.ask(w.query(3, pay, "3", "k3"))
	w.pass(2 * second)
	if _, rounds, _ := w.ledger.Held(); rounds != 0 || len(w.open) != 0 {
		t.Errorf("after the deadline: %d rounds, %d attempts", rounds, len(w.open))
	}
	if got := w.report(3, balancer.Error); got.Kind != Refuse && got.Kind != Fail {
		t.Errorf("a report after the deadline: %+v, want the final answer", got)
	}
	w.left(3, false)
	w.pass(30 * second)
	w.empty()
}

// After a reported failure the caller may ask again, and is told what the module
// decides under the class's rules and the limit of attempts.
func TestAskingAgainAfterAFailure(t *testing.T) {
	w := newWorld(t, nil)
	servers := map[uint32]bool{}
	for n := range 3 {
		got := w.ask(w.query(Ask(n), pay, "1", "k"))
		if got.Kind != Go || got.Attempt != n {
			t.Fatalf("ask %d: %+v", n, got)
		}
		servers[endpointOf(got)] = true
		want := Again
		if n == 2 {
			want = Refuse // no attempt is left, and all servers drop a repeat
		}
		if got := w.report(Ask(n), balancer.Error); got.Kind != want {
			t.Fatalf("report %d: %+v, want %v", n, got, want)
		}
		w.left(Ask(n), false)
	}
	if len(servers) != 3 {
		t.Errorf("servers %v, want three", servers)
	}
	if got := w.ask(w.query(9, pay, "1", "k")); got.Kind != Refuse {
		t.Errorf("once more: %+v, want the final answer again", got)
	}
	w.left(9, false)
	for _, c := range []struct {
		class uint8
		s     balancer.Status
		want  Kind
	}{
		{order, balancer.Error, Fail}, {order, balancer.Full, Again}, {order, balancer.ConnectFailed, Again},
		{order, balancer.Reset, Fail}, {close_, balancer.Reset, Again}, {read, balancer.Timeout, Again},
	} {
		w.ask(w.query(20, c.class, "20", map[bool]string{true: "k20"}[c.class == close_]))
		if got := w.report(20, c.s); got.Kind != c.want {
			t.Errorf("class %d after %v: %+v, want %v", c.class, c.s, got, c.want)
		}
		w.left(20, false)
		delete(w.told, 20)
		w.pass(30 * second)
	}
	w.empty()
}

// A further attempt that nobody asks for in time ends, with its count in flight.
func TestFurtherAttemptThatNobodyAsksFor(t *testing.T) {
	w := newWorld(t, nil)
	w.ask(w.query(1, read, "1", ""))
	if got := w.report(1, balancer.Error); got.Kind != Again || len(w.open) != 1 {
		t.Fatalf("report: %+v, %d attempts", got, len(w.open))
	}
	w.left(1, false)
	w.pass(OfferFor + 20_000)
	w.empty()
}

// Where callers do not ask again, the module knows it and answers at once.
func TestNoRetries(t *testing.T) {
	w := newWorld(t, func(l *Limits) { l.Retries = false })
	for class, want := range map[uint8]Kind{read: Refuse, order: Fail, pay: Refuse, close_: Fail} {
		a := Ask(class)
		w.ask(w.query(a, class, fmt.Sprint(class), map[bool]string{true: fmt.Sprint("k", class)}[class == pay || class == close_]))
		if got := w.report(a, balancer.Error); got.Kind != want {
			t.Errorf("class %d: %+v, want %v", class, got, want)
		}
		w.left(a, false)
	}
	w.pass(30 * second)
	w.empty()
}

// A verdict whose server is retired before it is passed on, or before the caller
// asks for it, is made anew.
func TestRetiredBetweenVerdictAndUse(t *testing.T) {
	w := newWorld(t, nil)
	first := w.ask(w.query(1, order, "1", ""))
	w.retired[endpointOf(first)] = true
	w.told[1] = nil
	w.ledger.Stale(w.now, 1)
	w.settle()
	if len(w.told[1]) != 1 || w.told[1][0].Kind != Go || endpointOf(w.told[1][0]) == endpointOf(first) {
		t.Fatalf("told %+v after server %d was retired", w.told[1], endpointOf(first))
	}
	if got := w.report(1, balancer.Full); got.Kind != Again {
		t.Fatalf("report: %+v", got)
	}
	w.left(1, false)
	for _, at := range w.open {
		w.retired[at.endpoint] = true
	}
	if got := w.ask(w.query(2, order, "1", "")); got.Kind == Go {
		t.Errorf("a fourth attempt: %+v", got)
	}
	w.left(2, false)
	w.pass(30 * second)
	w.empty()
}

// That one copy never ran proves nothing of another.
func TestProofOfOneCopyOnly(t *testing.T) {
	w := newWorld(t, nil)
	w.ask(w.query(1, close_, "1", "k"))
	w.ask(w.query(2, close_, "2", "k"))
	w.report(1, balancer.ConnectFailed)
	w.left(1, false)
	w.left(2, false)
	w.pass(OfferFor + 20_000)
	w.ask(w.query(3, close_, "3", "k"))
	if in := w.begun[len(w.begun)-1]; !in.MayHaveRun {
		t.Error("the next round may go anywhere, though a copy may have run")
	}
	w.left(3, false)
	w.pass(30 * second)
	w.empty()
}

// What the endpoint that served is told of counts for that endpoint; one that
// nobody knows settles the request, and no repeat is handed out.
func TestServedElsewhere(t *testing.T) {
	w := newWorld(t, nil)
	first := w.ask(w.query(1, close_, "1", "k"))
	other := endpointOf(first)%6 + 3
	if other > 6 {
		other -= 6
	}
	got := w.ledger.Report(w.now, 1, Outcome{Status: balancer.Error, Endpoint: other, Place: Place{Cell: cell(other)}})
	w.settle()
	w.left(1, false)
	if got.Kind == Again {
		if next := w.ask(w.query(2, close_, "1", "k")); cell(endpointOf(next)) != cell(other) {
			t.Errorf("the next server %d is not of the cell of %d, which served", endpointOf(next), other)
		}
		w.left(2, false)
	} else {
		t.Errorf("report: %+v", got)
	}
	w.ask(w.query(3, pay, "3", "k3"))
	if got := w.ledger.Report(w.now, 3, Outcome{Status: balancer.OK, Strange: true}); got.Kind != Pass {
		t.Errorf("served by a stranger: %+v", got)
	}
	w.left(3, false)
	if got := w.ask(w.query(4, pay, "4", "k3")); got.Kind != Conflict || got.Reason != reasonStrange {
		t.Errorf("asked again: %+v", got)
	}
	w.left(4, false)
	w.pass(30 * second)
	w.empty()
}

// What can't be remembered is refused, not forgotten.
func TestBoundedMemory(t *testing.T) {
	w := newWorld(t, func(l *Limits) { l.Entries = 2 })
	for a := Ask(1); a <= 3; a++ {
		got := w.ask(w.query(a, pay, fmt.Sprint(a), fmt.Sprint("k", a)))
		if want := map[bool]Kind{true: Go, false: Busy}[a <= 2]; got.Kind != want || got.Kind == Busy && got.RetryAfter <= 0 {
			t.Errorf("ask %d: %+v", a, got)
		}
	}
	for a := Ask(1); a <= 3; a++ {
		w.left(a, false)
	}
	w.pass(30 * second)
	w.empty()
}
