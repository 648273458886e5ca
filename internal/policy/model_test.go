package policy

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
)

// world plays the module within a table's bounds on virtual time: connections, timers
// and clocks are as bad as the file says they may be, outcomes and timings are drawn.
// Its servers remember keys by true time, and count what runs twice.
type world struct {
	t       *rapid.T
	c       *Config
	table   *Table
	b       *balancer.Balancer
	now     time.Duration // true
	seq     int
	queue   events
	tries   map[uint64]*try
	lastID  uint64
	ran     map[string]time.Duration // when a key last ran, by who drops its repeats
	done    map[string]int           // effects, by key
	answers int
}

type try struct {
	bounds   *Bounds
	class    *Class
	key      string
	first    time.Duration // of the client's first try
	attempts int
	over     bool
	told     bool // answered at all: once
	retry    bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (w *world) in(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(0, d), w.seq, do})
}

// The instance's clock is slow: it shows less than has passed.
const epoch = balancer.Micros(1_000_000_000)

func (w *world) clock() balancer.Micros {
	return epoch + balancer.Micros(float64(w.now.Microseconds())/(1+w.c.Limits.ClockError))
}

// span is how long a time of the instance's clock takes: never less, as timers.
func (w *world) span(m balancer.Micros) time.Duration {
	return time.Duration(float64(m)*(1+w.c.Limits.ClockError)+2) * time.Microsecond
}

func (w *world) late() time.Duration {
	return time.Duration(rapid.IntRange(0, 2).Draw(w.t, "late")) * w.c.Limits.TimerSlack / 2
}

// Send has an attempt connect, arrive, work and end, each as drawn.
func (w *world) Send(id uint64, endpoint uint32, timeout, _ balancer.Micros) {
	r := w.tries[id]
	n := r.attempts
	r.attempts++
	if r.class.Idempotency == balancer.NotIdempotent && n >= 3 || r.attempts > r.bounds.MaxAttempts {
		w.t.Fatalf("attempt %d of a request that may have %d", r.attempts, r.bounds.MaxAttempts)
	}
	over := false
	end := func(s balancer.Status) {
		if over {
			return
		}
		over = true
		if s == balancer.OK && !r.over {
			w.final(id, 200, 0)
		}
		w.b.AttemptCompleted(w.clock(), balancer.Outcome{ID: id, Attempt: n, Endpoint: endpoint, Status: s, Latency: 1000, Settled: r.over})
	}
	dial := time.Duration(rapid.IntRange(0, 4).Draw(w.t, "dial")) * w.c.Limits.Dial / 4
	until := w.span(timeout)
	if timeout == 0 {
		until = time.Hour
	}
	sent := false
	w.in(until+w.late(), func() {
		if sent {
			end(balancer.Timeout)
		} else {
			end(balancer.NotSent)
		}
	})
	w.in(dial, func() {
		if over {
			return // given up before it was written
		}
		status := rapid.SampledFrom([]balancer.Status{balancer.OK, balancer.Error, balancer.Full, balancer.Timeout, balancer.ConnectFailed, balancer.Reset}).Draw(w.t, "status")
		if status == balancer.ConnectFailed {
			end(status)
			return
		}
		sent = true
		if status != balancer.Full {
			w.run(r, endpoint)
		}
		if status != balancer.Timeout { // else nothing is heard
			w.in(time.Duration(rapid.IntRange(0, 30).Draw(w.t, "work"))*100*time.Millisecond, func() { end(status) })
		}
	})
}

// run has a request come to a server.
func (w *world) run(r *try, endpoint uint32) {
	k := r.class
	scope := r.key
	if k.Group == balancer.GroupCell {
		scope += fmt.Sprint(" pod ", (endpoint-1)/2)
	}
	if k.Idempotency == balancer.IdempotentWithKey {
		if at, ok := w.ran[scope]; ok && w.now < at+k.DedupWindow {
			return // a repeat, dropped
		}
		w.ran[scope] = w.now
	}
	if w.done[r.key]++; w.done[r.key] > 1 && k.Idempotency != balancer.Idempotent {
		w.t.Fatalf("%s of class %s was done twice, the second time %v after the client's first try", r.key, k.Name, w.now-r.first)
	}
}

// final is an answer; the client may come again.
func (w *world) final(id uint64, code int, after time.Duration) {
	r := w.tries[id]
	if r.over {
		w.t.Fatalf("request %d has two answers", id)
	}
	r.over = true
	w.answers++
	if code == 200 {
		return
	}
	again := code == 503 || r.class.Clients == ClientsFailed
	// A client that is told nothing of a time comes at once, or a little later.
	wait := after + time.Duration(rapid.IntRange(0, 2).Draw(w.t, "way"))*10*time.Millisecond
	if deadline := time.Duration(r.bounds.Deadline) * time.Microsecond; again && w.now+wait < r.first+deadline {
		w.in(wait, func() { w.ask(&try{bounds: r.bounds, class: r.class, key: r.key, first: r.first, retry: true}) })
	}
}

// ask is a client's try.
func (w *world) ask(r *try) {
	w.lastID++
	id := w.lastID
	w.tries[id] = r
	b, now := r.bounds, w.clock()
	left := r.first + time.Duration(b.Deadline)*time.Microsecond - w.now
	w.b.HandleRequest(now, balancer.Request{ID: id, Class: b.Class, Deadline: now + left.Microseconds(), ClientRetry: r.retry, MaxAttempts: b.MaxAttempts,
		NoHedging: b.NoHedging, AttemptTimeout: b.AttemptTimeout, HedgeDelay: b.HedgeDelay, Budget: b.Budget, Pool: b.Pool})
}

func (w *world) Reject(id uint64, after balancer.Micros) { w.final(id, 503, w.span(after)) }
func (w *world) Fail(id uint64)                          { w.final(id, 502, 0) }
func (w *world) Cancel(uint64, int)                      {}
func (w *world) Timer(delay balancer.Micros, token uint32) {
	w.in(w.span(delay)+w.late(), func() { w.b.TimerFired(w.clock(), token) })
}
func (w *world) Probe(uint32)       {}
func (w *world) Watch(bool)         {}
func (w *world) Log(string, ...any) {}

// draw returns a file whose figures stand on both sides of what the rules allow.
func draw(t *rapid.T) *Config {
	span := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * 50 * time.Millisecond
	}
	c := &Config{Limits: Limits{MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Hedging: rapid.Bool().Draw(t, "copies"), MaxDeadline: time.Minute,
		Dial: span("dial", 8), TimerSlack: span("slack", 2), ClockError: rapid.SampledFrom([]float64{0, 0.0005, 0.05}).Draw(t, "clocks"), DrainGrace: 2 * time.Second}}
	if rapid.IntRange(0, 3).Draw(t, "drains") == 0 {
		c.Limits.DrainFor = span("drain", 100)
	}
	patience := func() (p Timing) {
		if rapid.Bool().Draw(t, "tries") {
			p.AttemptTimeout, p.MaxAttempts = span("try", 20), rapid.IntRange(0, 3).Draw(t, "class attempts")
		}
		if rapid.Bool().Draw(t, "copy") {
			p.HedgeDelay = span("after", 40)
		}
		return p
	}
	for i := range 2 {
		k := Class{Name: fmt.Sprint("c", i), Idempotency: balancer.Idempotency(rapid.IntRange(0, 2).Draw(t, "repeat")), Timing: patience(), LatencyObjective: 500 * time.Millisecond, PriorityWeight: 1}
		k.Deadline = 500*time.Millisecond + span("deadline", 80)
		if k.Idempotency == balancer.IdempotentWithKey {
			k.DedupWindow = 50*time.Millisecond + span("window", 60)
			k.Group = rapid.SampledFrom([]balancer.Group{balancer.GroupAll, balancer.GroupCell}).Draw(t, "group")
		}
		if rapid.IntRange(0, 2).Draw(t, "clients") == 0 {
			k.Clients = ClientsFailed
		}
		c.Classes = append(c.Classes, k)
	}
	c.Routes = []Route{{Prefix: "/a", Class: "c0", Timing: patience()}, {Prefix: "/b", Class: "c1"}}
	return c
}

// schedule is what a file fixes, played out step by step by a plain clock: the instants
// at which a repeat of a request may come to a server, all delays at their worst. It
// is told apart from Limits.Schedule, which computes them.
func schedule(l *Limits, e Effective) (worst time.Duration, copies int) {
	const step = 10 * time.Millisecond // all figures of draw are multiples, or zero
	sends := 1
	tryEnds := e.AttemptTimeout + l.TimerSlack
	for now := step; now < e.Deadline && sends < e.MaxAttempts; now += step {
		send := false
		if e.AttemptTimeout > 0 && now == tryEnds { // the last one is given up
			send, tryEnds = true, now+e.AttemptTimeout+l.TimerSlack
		}
		if send {
			sends++
			worst = max(worst, now+l.Dial)
		}
	}
	// A copy is decided as its time comes, however late the timer, while the first is out.
	if e.HedgeDelay > 0 && e.Hedging && e.MaxAttempts > 1 && e.HedgeDelay < e.Deadline && (e.AttemptTimeout == 0 || e.HedgeDelay < e.AttemptTimeout) {
		worst, copies = max(worst, e.HedgeDelay+l.TimerSlack+l.Dial), 1
	}
	if e.Class.Clients == ClientsFailed {
		worst = max(worst, e.Deadline+l.TimerSlack+l.Dial)
	}
	return time.Duration(float64(worst) * (1 + l.ClockError)), copies
}

// breaks says whether a file's schedule breaks a rule of a class, by playing it.
func breaks(c *Config) string {
	for i := range c.Classes {
		k := &c.Classes[i]
		if k.Idempotency == balancer.IdempotentWithKey && float64(k.DedupWindow)/(1+c.Limits.ClockError)-float64(c.Limits.Dial+c.Limits.TimerSlack) < float64(time.Millisecond) {
			return "nothing of the window is left"
		}
		if k.Clients == ClientsFailed && (k.Idempotency == balancer.NotIdempotent || k.Idempotency == balancer.IdempotentWithKey && k.Group != balancer.GroupAll) {
			return "clients repeat what nobody drops"
		}
		of := []Effective{c.Effective(k, nil)}
		for j := range c.Routes {
			if c.Routes[j].Class == k.Name {
				of = append(of, c.Effective(k, &c.Routes[j]))
			}
		}
		for _, e := range of {
			worst, copies := schedule(&c.Limits, e)
			if k.Idempotency == balancer.IdempotentWithKey && worst >= k.DedupWindow {
				return fmt.Sprintf("a repeat of %s after %v", k.Name, worst)
			}
			if k.Idempotency == balancer.NotIdempotent && (copies > 0 || e.HedgeDelay > 0) {
				return "a copy of what is unsafe"
			}
			if e.AttemptTimeout > e.Deadline || e.MaxAttempts > c.Limits.MaxAttempts {
				return "more than there is"
			}
			longest := e.Deadline
			if e.AttemptTimeout > 0 {
				longest = e.AttemptTimeout
			}
			if c.Limits.DrainFor > 0 && longest+c.Limits.DrainGrace+c.Limits.TimerSlack > c.Limits.DrainFor {
				return "a drain cuts off"
			}
		}
	}
	return ""
}

// A file is refused exactly if its schedule, played out, breaks a rule.
func TestRefusedIffItBreaksARule(t *testing.T) {
	good, bad := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := draw(t)
		table, all := Compile(c, nil)
		why := breaks(c)
		if (table == nil) != (why != "") {
			t.Fatalf("played: %q; compiled: %v\n%+v", why, all, c)
		}
		if why == "" {
			good++
		} else {
			bad++
		}
	})
	if good == 0 || bad == 0 {
		t.Errorf("%d good files and %d bad ones: the draw shows nothing", good, bad)
	}
}

// No file that is taken lets servers see a repeat outside its class's rule, whatever
// the outcomes and timings; and every request has one answer.
func TestTakenFilesKeepTheRules(t *testing.T) {
	played := 0
	rapid.Check(t, func(t *rapid.T) {
		c := draw(t)
		table, _ := Compile(c, nil)
		if table == nil {
			return
		}
		played++
		w := &world{t: t, c: c, table: table, tries: map[uint64]*try{}, ran: map[string]time.Duration{}, done: map[string]int{}}
		settings := balancer.Settings{Balancers: 1, Zones: 1, Kinds: 1, Classes: table.Classes(), Budgets: table.Budgets(),
			Limits:   balancer.Limits{Cancel: true, Hedging: c.Limits.Hedging, RetryAfter: true, MaxRetryAfter: 1_500_000, MaxAttempts: c.Limits.MaxAttempts, MaxOpen: 1000},
			Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5}, Goal: balancer.Goal{Overall: 1}}
		var err error
		if w.b, err = balancer.New(settings, 1, w); err != nil {
			t.Fatal(err)
		}
		w.b.Start(w.clock())
		var list []balancer.Endpoint
		for i := range 6 {
			list = append(list, balancer.Endpoint{ID: uint32(i + 1), Cell: uint16(i / 2), Weight: 1})
		}
		w.b.UpdateEndpoints(w.clock(), balancer.ListFull, list)
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			bounds, ok := table.Lookup(&Query{Method: "POST", Path: []string{"/a", "/b"}[i%2]})
			if !ok {
				t.Fatal("no route")
			}
			class := &c.Classes[slices.IndexFunc(c.Classes, func(k Class) bool { return k.Name == bounds.ClassName })]
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * 100 * time.Millisecond
			w.in(at, func() { w.ask(&try{bounds: bounds, class: class, key: fmt.Sprint("k", i), first: w.now}) })
		}
		for len(w.queue) > 0 && w.queue[0].at < 5*time.Minute {
			e := heap.Pop(&w.queue).(event)
			w.now = e.at
			e.do()
		}
		for id, r := range w.tries {
			if !r.over {
				t.Fatalf("request %d of %s has no answer", id, r.class.Name)
			}
		}
	})
	if played == 0 {
		t.Error("no file was played")
	}
}

// Were the module told the file's window as it stands, a slow connection would carry a
// repeat past it: the play can fail.
func TestThePlayCanFail(t *testing.T) {
	c := &Config{Limits: Limits{MaxAttempts: 2, MaxDeadline: time.Minute, Dial: 400 * time.Millisecond},
		Classes: []Class{{Name: "pay", Idempotency: balancer.IdempotentWithKey, DedupWindow: time.Second, Timing: Timing{Deadline: 5 * time.Second}, LatencyObjective: time.Second}}}
	table, all := Compile(c, nil)
	if table == nil {
		t.Fatal(all)
	}
	if got := table.Classes()[0].DedupWindow; got != 600_000 {
		t.Errorf("the module's window is %d, want what a connection of 400 ms leaves of 1 s", got)
	}
	if !strings.Contains(fmt.Sprint(breaks(&Config{Limits: c.Limits, Classes: []Class{{Name: "pay", Idempotency: balancer.IdempotentWithKey, DedupWindow: time.Second,
		Timing: Timing{Deadline: 5 * time.Second, AttemptTimeout: 700 * time.Millisecond}}}})), "a repeat of pay after 1.1s") {
		t.Error("the schedule of attempts is not played")
	}
}
