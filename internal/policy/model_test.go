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

// simulation runs the decision module within the bounds of a table, on virtual time. Connections, timers and clocks are
// as bad as the configuration allows; outcomes and timings are drawn. Its servers deduplicate by true time, and count
// effects that run twice.
type simulation struct {
	t         *rapid.T
	config    *Config
	balancer  *balancer.Balancer
	now       time.Duration // true
	lastEvent int
	queue     events
	requests  map[uint64]*clientRequest
	lastID    uint64
	lastRun   map[string]time.Duration // by key and group of servers that deduplicate
	effects   map[string]int           // by key: how often it ran
	answers   int
}

// clientRequest is one request of a client, or a retry of one.
type clientRequest struct {
	bounds    *Bounds
	class     *Class
	key       string
	firstSent time.Duration // the client's first request
	attempts  int
	answered  bool
	isRetry   bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
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

func (s *simulation) schedule(d time.Duration, run func()) {
	s.lastEvent++
	heap.Push(&s.queue, event{s.now + max(0, d), s.lastEvent, run})
}

// epoch is the start of the module's clock, which is slow: it shows less than has passed.
const epoch = balancer.Micros(1_000_000_000)

func (s *simulation) clock() balancer.Micros {
	return epoch + balancer.Micros(float64(s.now.Microseconds())/(1+s.config.Limits.ClockError))
}

// realTime returns how long a duration of the module's clock takes. It is never shorter, as with timers.
func (s *simulation) realTime(m balancer.Micros) time.Duration {
	return time.Duration(float64(m)*(1+s.config.Limits.ClockError)+2) * time.Microsecond
}

func (s *simulation) timerDelay() time.Duration {
	return time.Duration(rapid.IntRange(0, 2).Draw(s.t, "late")) * s.config.Limits.TimerSlack / 2
}

// Send simulates an attempt: its connection, its run and its end, each as drawn.
func (s *simulation) Send(id uint64, endpoint uint32, timeout, _ balancer.Micros) {
	r := s.requests[id]
	n := r.attempts
	r.attempts++
	if r.class.Idempotency == balancer.NotIdempotent && n >= 3 || r.attempts > r.bounds.MaxAttempts {
		s.t.Fatalf("attempt %d of a request that may have %d", r.attempts, r.bounds.MaxAttempts)
	}
	completed := false
	end := func(status balancer.Status) {
		if completed {
			return
		}
		completed = true
		if status == balancer.OK && !r.answered {
			s.answer(id, 200, 0)
		}
		s.balancer.AttemptCompleted(s.clock(), balancer.Outcome{
			ID:       id,
			Attempt:  n,
			Endpoint: endpoint,
			Status:   status,
			Latency:  1000,
			Settled:  r.answered,
		})
	}
	dial := time.Duration(rapid.IntRange(0, 4).Draw(s.t, "dial")) * s.config.Limits.DialTimeout / 4
	until := s.realTime(timeout)
	if timeout == 0 {
		until = time.Hour
	}
	sent := false
	s.schedule(until+s.timerDelay(), func() {
		if sent {
			end(balancer.Timeout)
		} else {
			end(balancer.NotSent)
		}
	})
	s.schedule(dial, func() {
		if completed {
			return // cancelled before it was written
		}
		status := rapid.SampledFrom([]balancer.Status{
			balancer.OK, balancer.Error, balancer.Full, balancer.Timeout, balancer.ConnectFailed, balancer.Reset,
		}).Draw(s.t, "status")
		if status == balancer.ConnectFailed {
			end(status)
			return
		}
		sent = true
		if status != balancer.Full {
			s.execute(r, endpoint)
		}
		if status != balancer.Timeout { // else no answer comes
			s.schedule(time.Duration(rapid.IntRange(0, 30).Draw(s.t, "work"))*100*time.Millisecond, func() { end(status) })
		}
	})
}

// execute runs a request on a server.
func (s *simulation) execute(r *clientRequest, endpoint uint32) {
	k := r.class
	scope := r.key
	if k.Group == balancer.GroupCell {
		scope += fmt.Sprint(" pod ", (endpoint-1)/2)
	}
	if k.Idempotency == balancer.IdempotentWithKey {
		if at, ok := s.lastRun[scope]; ok && s.now < at+k.DedupWindow {
			return // a repeat, dropped
		}
		s.lastRun[scope] = s.now
	}
	if s.effects[r.key]++; s.effects[r.key] > 1 && k.Idempotency != balancer.Idempotent {
		s.t.Fatalf("%s of class %s ran twice, the second time %v after the client's first request",
			r.key, k.Name, s.now-r.firstSent)
	}
}

// answer gives the client its answer. The client may retry.
func (s *simulation) answer(id uint64, code int, after time.Duration) {
	r := s.requests[id]
	if r.answered {
		s.t.Fatalf("request %d has two answers", id)
	}
	r.answered = true
	s.answers++
	if code == 200 {
		return
	}
	retries := code == 503 || r.class.Clients == ClientsRetryFailed
	// A client without Retry-After retries at once, or a little later.
	wait := after + time.Duration(rapid.IntRange(0, 2).Draw(s.t, "way"))*10*time.Millisecond
	if deadline := time.Duration(r.bounds.Deadline) * time.Microsecond; retries && s.now+wait < r.firstSent+deadline {
		s.schedule(wait, func() {
			s.submit(&clientRequest{bounds: r.bounds, class: r.class, key: r.key, firstSent: r.firstSent, isRetry: true})
		})
	}
}

// submit passes a client's request to the module.
func (s *simulation) submit(r *clientRequest) {
	s.lastID++
	id := s.lastID
	s.requests[id] = r
	b, now := r.bounds, s.clock()
	remaining := r.firstSent + time.Duration(b.Deadline)*time.Microsecond - s.now
	s.balancer.HandleRequest(now, balancer.Request{
		ID:             id,
		Class:          b.Class,
		Deadline:       now + remaining.Microseconds(),
		ClientRetry:    r.isRetry,
		MaxAttempts:    b.MaxAttempts,
		NoHedging:      b.NoHedging,
		AttemptTimeout: b.AttemptTimeout,
		HedgeDelay:     b.HedgeDelay,
		Budget:         b.Budget,
		Pool:           b.Pool,
	})
}

func (s *simulation) Reject(id uint64, after balancer.Micros) { s.answer(id, 503, s.realTime(after)) }
func (s *simulation) Fail(id uint64)                          { s.answer(id, 502, 0) }
func (s *simulation) Cancel(uint64, int)                      {}
func (s *simulation) Timer(delay balancer.Micros, token uint32) {
	s.schedule(s.realTime(delay)+s.timerDelay(), func() { s.balancer.TimerFired(s.clock(), token) })
}
func (s *simulation) Probe(uint32)       {}
func (s *simulation) Watch(bool)         {}
func (s *simulation) Log(string, ...any) {}

// drawConfig returns a configuration with figures on both sides of what the rules allow.
func drawConfig(t *rapid.T) *Config {
	span := func(name string, maxSteps int) time.Duration {
		return time.Duration(rapid.IntRange(0, maxSteps).Draw(t, name)) * 50 * time.Millisecond
	}
	c := &Config{Limits: Limits{
		MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
		Hedging:     rapid.Bool().Draw(t, "hedging"),
		MaxDeadline: time.Minute,
		DialTimeout: span("dial", 8),
		TimerSlack:  span("slack", 2),
		ClockError:  rapid.SampledFrom([]float64{0, 0.0005, 0.05}).Draw(t, "clocks"),
		DrainGrace:  2 * time.Second,
	}}
	if rapid.IntRange(0, 3).Draw(t, "drains") == 0 {
		c.Limits.DrainTimeout = span("drain", 100)
	}
	timing := func() (p Timing) {
		if rapid.Bool().Draw(t, "attempt settings") {
			p.AttemptTimeout, p.MaxAttempts = span("attempt timeout", 20), rapid.IntRange(0, 3).Draw(t, "class attempts")
		}
		if rapid.Bool().Draw(t, "hedge") {
			p.HedgeDelay = span("after", 40)
		}
		return p
	}
	for i := range 2 {
		k := Class{
			Name:             fmt.Sprint("c", i),
			Idempotency:      balancer.Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
			Timing:           timing(),
			LatencyObjective: 500 * time.Millisecond,
			PriorityWeight:   1,
		}
		k.Deadline = 500*time.Millisecond + span("deadline", 80)
		if k.Idempotency == balancer.IdempotentWithKey {
			k.DedupWindow = 50*time.Millisecond + span("window", 60)
			k.Group = rapid.SampledFrom([]balancer.Group{balancer.GroupAll, balancer.GroupCell}).Draw(t, "group")
		}
		if rapid.IntRange(0, 2).Draw(t, "clients") == 0 {
			k.Clients = ClientsRetryFailed
		}
		c.Classes = append(c.Classes, k)
	}
	c.Routes = []Route{{Prefix: "/a", Class: "c0", Timing: timing()}, {Prefix: "/b", Class: "c1"}}
	return c
}

// playSchedule plays the schedule of a configuration step by step, all delays at their worst, and returns the latest
// time at which a repeat may reach a server and the number of hedges. It shares no code with Limits.Schedule, which
// computes the times.
func playSchedule(l *Limits, e Effective) (worst time.Duration, hedges int) {
	const step = 10 * time.Millisecond // all figures of draw are multiples, or zero
	sends := 1
	attemptEnds := e.AttemptTimeout + l.TimerSlack
	for now := step; now < e.Deadline && sends < e.MaxAttempts; now += step {
		send := false
		if e.AttemptTimeout > 0 && now == attemptEnds { // the attempt before is cancelled
			send, attemptEnds = true, now+e.AttemptTimeout+l.TimerSlack
		}
		if send {
			sends++
			worst = max(worst, now+l.DialTimeout)
		}
	}
	// A hedge is sent when its time comes, however late the timer, while the first attempt is in flight.
	firstEnd := e.Deadline
	if e.AttemptTimeout > 0 {
		firstEnd = min(firstEnd, e.AttemptTimeout)
	}
	if e.HedgeDelay > 0 && e.Hedging && e.MaxAttempts > 1 && e.HedgeDelay < firstEnd {
		worst, hedges = max(worst, e.HedgeDelay+l.TimerSlack+l.DialTimeout), 1
	}
	if e.Class.Clients == ClientsRetryFailed {
		worst = max(worst, e.Deadline+l.TimerSlack+l.DialTimeout)
	}
	return time.Duration(float64(worst) * (1 + l.ClockError)), hedges
}

// violatedRule returns the rule of a class that a configuration's schedule violates, by playing it, "" for none.
func violatedRule(c *Config) string {
	for i := range c.Classes {
		k := &c.Classes[i]
		withKey := k.Idempotency == balancer.IdempotentWithKey
		window := float64(k.DedupWindow)/(1+c.Limits.ClockError) - float64(c.Limits.DialTimeout+c.Limits.TimerSlack)
		if withKey && window < float64(time.Millisecond) {
			return "nothing of the window is left"
		}
		unguarded := k.Idempotency == balancer.NotIdempotent || withKey && k.Group != balancer.GroupAll
		if k.Clients == ClientsRetryFailed && unguarded {
			return "clients retry without deduplication"
		}
		variants := []Effective{c.Effective(k, nil)}
		for j := range c.Routes {
			if c.Routes[j].Class == k.Name {
				variants = append(variants, c.Effective(k, &c.Routes[j]))
			}
		}
		for _, e := range variants {
			worst, hedges := playSchedule(&c.Limits, e)
			if withKey && worst >= k.DedupWindow {
				return fmt.Sprintf("a repeat of %s after %v", k.Name, worst)
			}
			if k.Idempotency == balancer.NotIdempotent && (hedges > 0 || e.HedgeDelay > 0) {
				return "a hedge of a class that is not idempotent"
			}
			if e.AttemptTimeout > e.Deadline || e.MaxAttempts > c.Limits.MaxAttempts {
				return "more than the limits"
			}
			longest := e.Deadline
			if e.AttemptTimeout > 0 {
				longest = e.AttemptTimeout
			}
			if c.Limits.DrainTimeout > 0 && longest+c.Limits.DrainGrace+c.Limits.TimerSlack > c.Limits.DrainTimeout {
				return "a drain cuts off"
			}
		}
	}
	return ""
}

// A configuration is rejected exactly if its schedule, played step by step, violates a rule.
func TestConfigRejectedIffItsScheduleBreaksARule(t *testing.T) {
	good, bad := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		table, all := Compile(c, nil)
		violation := violatedRule(c)
		if (table == nil) != (violation != "") {
			t.Fatalf("played: %q; compiled: %v\n%+v", violation, all, c)
		}
		if violation == "" {
			good++
		} else {
			bad++
		}
	})
	if good == 0 || bad == 0 {
		t.Errorf("%d accepted configurations and %d rejected ones: the draw shows nothing", good, bad)
	}
}

// Under no accepted configuration does a server get a repeat outside the rule of its class, whatever the outcomes and
// timings. Every request gets one answer.
func TestAcceptedConfigKeepsTheRules(t *testing.T) {
	played := 0
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		table, _ := Compile(c, nil)
		if table == nil {
			return
		}
		played++
		s := &simulation{
			t:        t,
			config:   c,
			requests: map[uint64]*clientRequest{},
			lastRun:  map[string]time.Duration{},
			effects:  map[string]int{},
		}
		settings := balancer.Settings{Balancers: 1, Zones: 1, Kinds: 1, Classes: table.Classes(), Budgets: table.Budgets(),
			Limits: balancer.Limits{
				Cancel:        true,
				Hedging:       c.Limits.Hedging,
				RetryAfter:    true,
				MaxRetryAfter: 1_500_000,
				MaxAttempts:   c.Limits.MaxAttempts,
				MaxOpen:       1000,
			},
			Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5}, Goal: balancer.Goal{Overall: 1}}
		var err error
		if s.balancer, err = balancer.New(settings, 1, s); err != nil {
			t.Fatal(err)
		}
		s.balancer.Start(s.clock())
		var list []balancer.Endpoint
		for i := range 6 {
			list = append(list, balancer.Endpoint{ID: uint32(i + 1), Cell: uint16(i / 2), Weight: 1})
		}
		s.balancer.UpdateEndpoints(s.clock(), balancer.ListFull, list)
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			bounds, ok := table.Lookup(&Query{Method: "POST", Path: []string{"/a", "/b"}[i%2]})
			if !ok {
				t.Fatal("no route")
			}
			class := &c.Classes[slices.IndexFunc(c.Classes, func(k Class) bool { return k.Name == bounds.ClassName })]
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * 100 * time.Millisecond
			s.schedule(at, func() {
				s.submit(&clientRequest{bounds: bounds, class: class, key: fmt.Sprint("k", i), firstSent: s.now})
			})
		}
		for len(s.queue) > 0 && s.queue[0].at < 5*time.Minute {
			e := heap.Pop(&s.queue).(event)
			s.now = e.at
			e.run()
		}
		for id, r := range s.requests {
			if !r.answered {
				t.Fatalf("request %d of %s has no answer", id, r.class.Name)
			}
		}
	})
	if played == 0 {
		t.Error("no configuration was played")
	}
}

// The module gets a shorter window than the configured one, since a slow connection would carry a repeat past it; and
// playing the schedule finds a late repeat.
func TestPlayedScheduleFindsLateRepeat(t *testing.T) {
	c := &Config{Limits: Limits{MaxAttempts: 2, MaxDeadline: time.Minute, DialTimeout: 400 * time.Millisecond},
		Classes: []Class{{
			Name:             "pay",
			Idempotency:      balancer.IdempotentWithKey,
			DedupWindow:      time.Second,
			Timing:           Timing{Deadline: 5 * time.Second},
			LatencyObjective: time.Second,
		}}}
	table, all := Compile(c, nil)
	if table == nil {
		t.Fatal(all)
	}
	if got := table.Classes()[0].DedupWindow; got != 600_000 {
		t.Errorf("the module's window is %d, want what a connection of 400 ms leaves of 1 s", got)
	}
	tooLate := &Config{Limits: c.Limits, Classes: []Class{{
		Name:        "pay",
		Idempotency: balancer.IdempotentWithKey,
		DedupWindow: time.Second,
		Timing:      Timing{Deadline: 5 * time.Second, AttemptTimeout: 700 * time.Millisecond},
	}}}
	if !strings.Contains(violatedRule(tooLate), "a repeat of pay after 1.1s") {
		t.Error("the schedule of attempts is not played")
	}
}
