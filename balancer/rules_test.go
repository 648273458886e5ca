package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// checker hosts a balancer and asserts the rules on every action.
type checker struct {
	settings       Settings
	now            Micros
	states         map[uint32]Endpoint
	slowStartSince map[uint32]Micros          // endpoint: told start
	slowStartSends map[uint32]float64         // requests sent while cold
	requests       map[uint64]*checkedRequest // open and ended
	violations     []string
	timers         []pendingTimer
	probes         []uint32
}

type checkedRequest struct {
	in       Request
	answered int
	closed   bool // it was told that the request is over
	attempts []checkedAttempt
}

type checkedAttempt struct {
	endpoint   Endpoint
	sentAt     Micros
	pending    bool
	mayHaveRun bool
}

type pendingTimer struct {
	firesAt Micros
	token   uint32
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

func (r *checkedRequest) firstMayHaveRun() *checkedAttempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *checker) Send(id uint64, endpoint uint32, _, by Micros) {
	r := c.requests[id]
	if r == nil {
		c.violation("send for unknown request %d", id)
		return
	}
	e, known := c.states[endpoint]
	class := c.settings.Classes[r.in.Class]
	if r.answered > 0 || r.closed {
		c.violation("send after the end of %d", id)
	}
	if !known || e.State != Ready {
		c.violation("send to endpoint %d in state %d", endpoint, e.State)
	}
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.violation("attempt %d of %d", len(r.attempts), id)
	}
	for _, a := range r.attempts {
		if a.pending && !c.settings.Limits.Hedging {
			c.violation("second copy of %d", id)
		}
	}
	if b := r.firstMayHaveRun(); b != nil && class.Idempotency != Idempotent {
		same := class.Group == GroupAll || class.Group == GroupZone && b.endpoint.Zone == e.Zone ||
			class.Group == GroupCell && b.endpoint.Cell == e.Cell
		if class.Idempotency == NotIdempotent || !same || c.now > b.sentAt+class.DedupWindow {
			c.violation("repeat of %d (%s) may have a second effect", id, class.Name)
		}
		if class.Idempotency == IdempotentWithKey && by > b.sentAt+class.DedupWindow {
			c.violation("repeat of %d (%s) may be written after its window", id, class.Name)
		}
	}
	if by > r.in.Deadline {
		c.violation("attempt at %d may be written after its time", id)
	}
	if _, cold := c.slowStartSince[endpoint]; cold {
		c.slowStartSends[endpoint]++
	}
	r.attempts = append(r.attempts, checkedAttempt{endpoint: e, sentAt: c.now, pending: true, mayHaveRun: true})
}

func (c *checker) recordFinal(id uint64) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.answered > 0 || r.closed {
		c.violation("final answer for %d, which is not open", id)
		return nil
	}
	r.answered++
	return r
}

func (c *checker) Reject(id uint64, after Micros) {
	if r := c.recordFinal(id); r != nil && r.firstMayHaveRun() != nil {
		class := c.settings.Classes[r.in.Class]
		if class.Idempotency == NotIdempotent || class.Idempotency == IdempotentWithKey && class.Group != GroupAll {
			c.violation("refusal of %d (%s), which may have run", id, class.Name)
		}
		if class.Idempotency == IdempotentWithKey && c.now+after >= r.firstMayHaveRun().sentAt+class.DedupWindow {
			c.violation("refusal of %d (%s) for %d: forgotten by the time that it comes again", id, class.Name, after)
		}
	}
}

func (c *checker) Fail(id uint64) { c.recordFinal(id) }

func (c *checker) Cancel(id uint64, attempt int) {
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.violation("cancel of attempt %d of %d, never made", attempt, id)
	}
}

func (c *checker) Timer(delay Micros, token uint32) {
	if delay <= 0 {
		c.violation("timer delay %d", delay)
	}
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}

func (c *checker) Probe(e uint32) {
	if _, known := c.states[e]; !known {
		c.violation("probe of unknown endpoint %d", e)
	}
	c.probes = append(c.probes, e)
}

func (c *checker) Watch(bool) {
	if !c.settings.PollDiscovery {
		c.violation("subscription where changes come unasked")
	}
}

func (c *checker) Log(string, ...any) {}

// playRandomEvents runs legal random events from a seed and returns the faults found.
func playRandomEvents(t *testing.T, s Settings, seed int64) []string {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	c := &checker{settings: s, now: 1_000_000, states: map[uint32]Endpoint{}, slowStartSince: map[uint32]Micros{},
		slowStartSends: map[uint32]float64{}, requests: map[uint64]*checkedRequest{}}
	b, err := New(s, uint64(seed), c)
	if err != nil {
		t.Fatal(err)
	}
	members := func(kind ListKind, entries []Endpoint) {
		if kind != ListDelta && kind != ListFailed {
			clear(c.states)
		}
		for _, e := range entries {
			c.states[e.ID] = e
		}
		b.UpdateEndpoints(c.now, kind, entries)
	}
	b.Start(c.now)
	pause := 20_000 // at most, between events
	list := ready(1 + rnd.Intn(6))
	if s.Balancers > 2 { // a sliver of a large fleet
		pause, list = 400_000, ready(20+rnd.Intn(60))
	}
	starts := rnd.Intn(3) // of all at once, cold
	held := 0
	members(ListCached, slices.Clone(list))
	var open []uint64
	next := uint64(1)
	statuses := []Status{OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	for range 3000 {
		c.now += Micros(rnd.Intn(pause))
		held = max(held, len(b.ledger.waitingForProbes))
		for i := 0; i < len(c.timers); {
			if p := c.timers[i]; p.firesAt <= c.now {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.TimerFired(c.now, p.token)
				continue
			}
			i++
		}
		switch n := rnd.Intn(20); {
		case n < 8:
			in := Request{ID: next, Class: uint8(rnd.Intn(len(s.Classes))),
				Deadline: c.now + Micros(rnd.Intn(1_000_000)) - 50_000}
			next++
			c.requests[in.ID] = &checkedRequest{in: in}
			open = append(open, in.ID)
			b.HandleRequest(c.now, in)
		case n < 15 && len(open) > 0:
			at := rnd.Intn(len(open))
			r := c.requests[open[at]]
			for i := range r.attempts {
				a := &r.attempts[i]
				if !a.pending {
					continue
				}
				a.pending = false
				status := statuses[rnd.Intn(len(statuses))]
				if status == Full || status == ConnectFailed || status == NotSent {
					a.mayHaveRun = false
				}
				if status == OK && r.answered == 0 && !r.closed {
					r.closed = true
				}
				settled := r.answered > 0 || r.closed
				b.AttemptCompleted(c.now, Outcome{ID: r.in.ID, Attempt: i, Endpoint: a.endpoint.ID, Status: status,
					Latency: c.now - a.sentAt, Settled: settled})
				break
			}
		case n < 16 && len(open) > 0:
			r := c.requests[open[rnd.Intn(len(open))]]
			if r.answered == 0 {
				r.closed = true
			}
			b.ClientDisconnected(c.now, r.in.ID)
		case n < 18:
			for _, e := range c.probes {
				load := []float32{float32(rnd.Intn(8)), rnd.Float32() * 2}[:rnd.Intn(3)]
				b.ProbeCompleted(c.now, e, statuses[rnd.Intn(len(statuses))], 500+Micros(rnd.Intn(200_000)), load)
			}
			c.probes = c.probes[:0]
		default:
			e := &list[rnd.Intn(len(list))]
			e.State = State(rnd.Intn(3))
			if rnd.Intn(4) == 0 {
				e.State, e.StartTime = Ready, c.now-Micros(rnd.Intn(1_000_000))
			}
			if e.State == Ready && rnd.Intn(4) == 0 {
				e.Zone = uint8(rnd.Intn(3))
			}
			if starts > 0 && rnd.Intn(50) == 0 {
				starts--
				for i := range list {
					list[i].State, list[i].StartTime = Ready, c.now-Micros(rnd.Intn(1000))
				}
				members(ListFull, slices.Clone(list))
				continue
			}
			switch rnd.Intn(6) {
			case 0:
				members(ListFull, slices.Clone(list[:rnd.Intn(len(list)+1)]))
			case 1:
				members(ListFailed, nil)
			default:
				members(ListDelta, []Endpoint{*e, *e})
			}
		}
	}
	// All that is still open must be answered by its deadline.
	for range 400 {
		c.now += 5000
		for i := 0; i < len(c.timers); {
			if p := c.timers[i]; p.firesAt <= c.now && p.token >= firstRequestTimer {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.TimerFired(c.now, p.token)
				continue
			}
			i++
		}
	}
	for id, r := range c.requests {
		if r.answered == 0 && !r.closed {
			c.violation("request %d never got a final answer", id)
		}
	}
	if s.Balancers > 2 && s.Limits.Probes && s.Prices.Probe < onDemandCostRatio && held == 0 {
		c.violation("no request ever waited for probes: the run says nothing of those that do")
	}
	return c.violations
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range int64(100) {
		s := testSettings()
		s.PollDiscovery = seed%2 == 0
		s.Limits.Hedging = seed%3 != 0
		s.Limits.Probes = seed%5 != 0
		s.Limits.MaxAttempts = 1 + int(seed%4)
		if seed >= 40 {
			s.Balancers = []int{300, 1500}[seed%2]
			s.Fields = [][]Field{{FieldInflight}, {FieldQueue, FieldServed}, {FieldServed, FieldUtil}, {FieldOther}}[seed%4]
			s.Prices = Prices{Probe: []float64{0, 0.002, 0.01, 0.5}[seed/3%4], CrossZone: 0.03}
			s.Tenants = []Tenant{{Name: "one", Quota: 50}, {Name: "two"}}[:seed%3]
			s.Limits.Cancel, s.Limits.RetryAfter = seed%3 != 0, seed%4 != 0
		}
		for i, bad := range playRandomEvents(t, s, seed) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, bad)
			}
		}
	}
}

// The checker itself must see each rule broken.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	fresh := func() *checker {
		c := &checker{settings: testSettings(), states: map[uint32]Endpoint{}, requests: map[uint64]*checkedRequest{}}
		for _, e := range ready(4) {
			c.states[e.ID] = e
		}
		for class := range uint8(5) {
			c.requests[uint64(class)] = &checkedRequest{in: testRequest(uint64(class), class, 0)}
		}
		return c
	}
	for name, do := range map[string]func(*checker){
		"two final answers":      func(c *checker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end":     func(c *checker) { c.Fail(0); c.Send(0, 1, 0, 0) },
		"send to the drained":    func(c *checker) { c.states[1] = Endpoint{ID: 1, State: Draining}; c.Send(0, 1, 0, 0) },
		"unsafe sent twice":      func(c *checker) { c.Send(4, 1, 0, 0); c.Send(4, 2, 0, 0) },
		"unsafe refused":         func(c *checker) { c.Send(4, 1, 0, 0); c.Reject(4, 0) },
		"keyed outside its zone": func(c *checker) { c.Send(2, 1, 0, 0); c.Send(2, 3, 0, 0) },
		"keyed outside its cell": func(c *checker) { c.Send(3, 1, 0, 0); c.Send(3, 3, 0, 0) },
		"keyed after its window": func(c *checker) { c.Send(1, 1, 0, 0); c.now = second; c.Send(1, 2, 0, 0) },
		"keyed written too late": func(c *checker) { c.Send(1, 1, 0, 0); c.Send(1, 2, 0, 5*second) },
		"written after its time": func(c *checker) { c.Send(0, 1, 0, 9*second) },
		"too many attempts":      func(c *checker) { c.Send(0, 1, 0, 0); c.Send(0, 2, 0, 0); c.Send(0, 3, 0, 0); c.Send(0, 4, 0, 0) },
	} {
		c := fresh()
		if do(c); len(c.violations) == 0 {
			t.Errorf("%s: not seen", name)
		}
	}
}

// Each kind of effect against each outcome of its first attempt.
func TestRetryFollowsIdempotencyAndOutcome(t *testing.T) {
	never := map[Status]bool{Full: true, ConnectFailed: true, NotSent: true}
	for class := range uint8(5) {
		for status := Error; status <= NotSent; status++ {
			s := testSettings()
			b, r := start(t, s, ready(4)) // endpoints 1, 2 share a zone and a cell; so do 3, 4
			b.HandleRequest(1000, testRequest(1, class, 1000))
			a := b.ledger.requests[1].attempts[0]
			b.AttemptCompleted(2000, Outcome{ID: 1, Endpoint: a.endpoint.ID, Status: status, Latency: 1000})
			sends := len(r.sends)
			switch kind := s.Classes[class]; {
			case kind.Idempotency == NotIdempotent && !never[status]:
				if sends != 1 || len(r.failed) != 1 {
					t.Errorf("unsafe, status %d: %d sends, %d failed", status, sends, len(r.failed))
				}
			case sends != 2:
				t.Errorf("class %d status %d: %d sends, 2 wanted", class, status, sends)
			case kind.Idempotency == IdempotentWithKey && kind.Group != GroupAll && !never[status]:
				if (r.sends[0].endpoint-1)/2 != (r.sends[1].endpoint-1)/2 {
					t.Errorf("class %d status %d left its group", class, status)
				}
			}
		}
	}
}

func TestDedupWindowStartsAtFirstAttemptThatMayHaveRun(t *testing.T) {
	s := testSettings()
	s.Limits.Hedging = false
	b, r := start(t, s, ready(2))
	b.HandleRequest(1000, testRequest(1, 3, 1000))
	first := r.sends[0].endpoint
	b.AttemptCompleted(1000+s.Classes[3].DedupWindow, Outcome{ID: 1, Endpoint: first, Status: Reset})
	if len(r.sends) != 1 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("after the window: sends %v, failed %v, refused %v", r.sends, r.failed, r.rejected)
	}
}

func TestRejectWithoutEndpoint(t *testing.T) {
	b, r := start(t, testSettings(), nil)
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	b.HandleRequest(1000, Request{ID: 2, Deadline: 500})
	if len(r.rejected) != 2 || b.ledger.open != 0 || len(b.ledger.requests) != 0 {
		t.Errorf("refused %v, open %d", r.rejected, b.ledger.open)
	}
}

func TestUnansweredAttemptEndsAtDeadline(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	token := b.ledger.requests[1].timerToken
	b.TimerFired(1000+second, token)
	if len(r.failed) != 1 || len(r.cancels) != 1 {
		t.Fatalf("failed %v, cancelled %v", r.failed, r.cancels)
	}
	b.AttemptCompleted(2*second, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: second, Settled: true})
	if b.endpoints.list[0].breaker.accepts != 1 || b.endpoints.list[0].inFlight != 0 || len(b.ledger.requests) != 0 {
		t.Error("a late outcome must still feed the statistics")
	}
	b.HandleRequest(3*second, testRequest(2, 0, 3*second))
	b.TimerFired(3*second, token) // of the ended request, whose slot is in use again
	if len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Error("an old timer ended another request")
	}
}

func TestDrainingEndpointReceivesNothing(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.UpdateEndpoints(1000, ListDelta, []Endpoint{{ID: 1, State: Draining}})
	b.UpdateEndpoints(1000, ListFull, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready}})
	for id := range uint64(20) {
		b.HandleRequest(2000, testRequest(id, 0, 2000))
	}
	for _, s := range r.sends {
		if s.endpoint == 1 || s.endpoint == 2 {
			t.Fatalf("sent to %d", s.endpoint)
		}
	}
}

// slowStartSends counts sends to a cold endpoint over the overload window just
// after its start, beside nine warm ones under a steady load.
func slowStartSends(t *testing.T, rate int, colds int) (cold []int, warm float64) {
	t.Helper()
	s := testSettings()
	list := ready(10)
	b, r := start(t, s, list)
	id, seen := uint64(0), 0
	counts := map[uint32]int{}
	run := func(from, to Micros) {
		for now := from; now < to; now += second / Micros(rate) {
			for e := range uint32(12) {
				b.ProbeCompleted(now, e+1, OK, 500, []float32{0})
			}
			id++
			b.HandleRequest(now, testRequest(id, 0, now))
			for ; seen < len(r.sends); seen++ {
				counts[r.sends[seen].endpoint]++
				b.AttemptCompleted(now, Outcome{ID: r.sends[seen].id, Endpoint: r.sends[seen].endpoint, Status: OK,
					Latency: 30_000, Settled: true})
			}
		}
	}
	run(0, 5*second)
	clear(counts)
	for i := range colds {
		b.UpdateEndpoints(5*second, ListDelta, []Endpoint{{ID: uint32(11 + i), State: Ready, StartTime: 5 * second}})
	}
	run(5*second, 6*second)
	for e, n := range counts {
		if e >= 11 {
			cold = append(cold, n)
		} else {
			warm += float64(n) / 10
		}
	}
	return cold, warm
}

func TestSlowStartLimitsEndpointToItsRatio(t *testing.T) {
	for _, c := range []struct{ rate, colds int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		cold, warm := slowStartSends(t, c.rate, c.colds)
		for _, n := range cold {
			// Warmth goes from 0.2 to 0.28 in this second; one request may round up.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("rate %d: a cold endpoint got %d, a warm one %.1f", c.rate, n, warm)
			}
		}
	}
}

func TestOneServerFleetRestarts(t *testing.T) {
	b, r := start(t, testSettings(), ready(1)[:1])
	b.UpdateEndpoints(second, ListDelta, []Endpoint{{ID: 1, State: Ready, StartTime: second}})
	for i := range uint64(400) {
		now := second + Micros(i)*10_000
		b.HandleRequest(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && b.ledger.requests[i] != nil {
			b.AttemptCompleted(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 10_000, Settled: true})
		}
	}
	if n := len(r.sends); n < 20 || n > 250 {
		t.Errorf("%d of 400 sent to the only, cold, endpoint", n)
	}
}

func TestSubscriptionIsPolledAgain(t *testing.T) {
	s := testSettings()
	s.PollDiscovery = true
	b, r := start(t, s, ready(2))
	now := Micros(0)
	fire := func() {
		for i, token := range r.timers {
			if token == discoveryTimer {
				now += r.delays[i]
				r.timers, r.delays = nil, nil
				b.TimerFired(now, discoveryTimer)
				return
			}
		}
		t.Fatal("no timer for discovery")
	}
	fire()
	for n := 1; n < 8; n++ {
		if r.watches != n {
			t.Fatalf("%d calls, %d wanted", r.watches, n)
		}
		before := now
		if n%2 == 0 {
			b.UpdateEndpoints(now, ListFailed, nil)
		} // else the answer is lost
		fire()
		if now-before > s.Contract.PollInterval {
			t.Fatalf("asked only after %d", now-before)
		}
	}
	if len(b.endpoints.list) != 2 {
		t.Error("a failed call changed the list")
	}
	b.UpdateEndpoints(now, ListDelta, nil)
	n := r.watches
	b.TimerFired(now+100*second, discoveryTimer)
	if r.watches != n {
		t.Error("asked again while subscribed")
	}
}

func TestStreamIsNeitherTimedOutNorRetried(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.ResponseStarted(2000, 1, 0, 1000)
	b.TimerFired(2*second, b.ledger.requests[1].timerToken)
	if len(r.sends) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Error("a stream that began was given an end or a copy")
	}
	b.AttemptCompleted(3*second, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 3 * second, Settled: true})
	if len(b.ledger.requests) != 0 {
		t.Error("record kept")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() *recorder {
		b, r := start(t, testSettings(), ready(5))
		for i := range uint64(200) {
			now := Micros(i) * 7000
			b.HandleRequest(now, testRequest(i, uint8(i%5), now))
			if i%3 == 0 {
				b.TimerFired(now, probeTimer)
				b.ProbeCompleted(now, uint32(i%5+1), OK, 500, []float32{float32(i % 4)})
			}
			last := r.sends[len(r.sends)-1]
			b.AttemptCompleted(now, Outcome{ID: last.id, Endpoint: last.endpoint, Status: Status(i % 7), Latency: 3000})
		}
		return r
	}
	if a, b := fmt.Sprint(run()), fmt.Sprint(run()); a != b {
		t.Error("two runs differ")
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b, r := start(t, testSettings(), ready(5))
	id := uint64(0)
	once := func() {
		id++
		r.sends, r.timers, r.delays = r.sends[:0], r.timers[:0], r.delays[:0]
		b.HandleRequest(1000, testRequest(id, 0, 1000))
		b.AttemptCompleted(2000, Outcome{ID: id, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 1000, Settled: true})
	}
	for range 100 {
		once()
	}
	if n := testing.AllocsPerRun(200, once); n > 0.1 {
		t.Errorf("%v allocations a request", n)
	}
}

// A second copy doubles the work of an endpoint that is slow because it has too much.
func TestNoHedgeWhereNotPermitted(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	for i, token := range r.timers {
		b.TimerFired(1000+r.delays[i]-1, token)
	}
	b.TimerFired(900_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("%d sends while the first is out", len(r.sends))
	}
}

// Where endpoints swallow requests and answer the rest in time, one that a later
// one overtook is lost. It gets a copy elsewhere as far as its class permits;
// whichever is answered first ends the request and calls the other off.
func TestSwallowedAttemptIsHedgedElsewhere(t *testing.T) {
	for class, copies := range []int{1, 1, 1, 1, 0} {
		b, r := start(t, testSettings(), ready(4))
		b.traffic.swallowed.value = minSwallowedRatio
		b.HandleRequest(1000, testRequest(1, uint8(class), 1000))
		first := r.sends[0]
		b.endpoints.byID[first.endpoint].lastAnsweredSentAt = 2000
		b.TimerFired(500_000, r.timers[len(r.timers)-1])
		if n := len(r.sends) - 1; n != copies {
			t.Errorf("class %d: %d copies, want %d", class, n, copies)
			continue
		}
		if copies == 0 {
			continue
		}
		second := r.sends[1]
		if second.endpoint == first.endpoint || class == 3 && b.endpoints.byID[second.endpoint].Cell != b.endpoints.byID[first.endpoint].Cell {
			t.Errorf("class %d: the copy went to %d after %d", class, second.endpoint, first.endpoint)
		}
		// The copy fails: the first may still be answered, so no final answer yet.
		b.AttemptCompleted(510_000, Outcome{ID: 1, Attempt: 1, Endpoint: second.endpoint, Status: Error, Latency: 1000})
		if len(r.rejected)+len(r.failed) != 0 {
			t.Errorf("class %d: given up while an attempt is out", class)
		}
		calls := len(r.cancels)
		b.AttemptCompleted(520_000, Outcome{ID: 1, Attempt: 0, Endpoint: first.endpoint, Status: OK, Latency: 519_000, Settled: true})
		for i := 2; i < len(r.sends); i++ {
			calls++ // a third attempt, too, is called off
		}
		if len(r.cancels) != calls || b.ledger.open != 0 {
			t.Errorf("class %d: %d attempts called off, want %d; %d requests open", class, len(r.cancels), calls, b.ledger.open)
		}
	}
}

// The time-out of a request that a later one overtook teaches no pace: the
// endpoint was well, and the whole fleet would be thought slow.
func TestOvertakenTimeoutDoesNotChangeTrend(t *testing.T) {
	for name, overtaken := range map[string]bool{"overtaken": true, "not overtaken": false} {
		b, r := start(t, testSettings(), ready(1))
		for id := range uint64(5) {
			b.HandleRequest(1000, testRequest(id, 0, 1000))
		}
		if overtaken {
			b.endpoints.byID[1].lastAnsweredSentAt = 2000
		}
		for _, s := range r.sends {
			b.AttemptCompleted(990_000, Outcome{ID: s.id, Endpoint: 1, Status: Timeout, Latency: 989_000})
		}
		if taught := b.trend.ratio > 1; taught == overtaken {
			t.Errorf("%s: trend %v", name, b.trend.ratio)
		}
	}
}

// Staff must learn why requests are refused, in one line a second and not in thousands.
func TestRejectionsAreLoggedOncePerSecond(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{50})
	for id := range uint64(200) {
		now := second + 5000*Micros(id)
		b.ProbeCompleted(now, 1, OK, 500, []float32{50})
		b.HandleRequest(now, testRequest(id, 0, now))
	}
	if len(r.rejected) < 150 {
		t.Fatalf("only %d refused", len(r.rejected))
	}
	if len(r.logs) != 1 || !strings.Contains(r.logs[0], "predicted latency too high endpoint 1 ") {
		t.Errorf("log: %q", r.logs)
	}
}

// Whatever is odd about a request, it is taken once and answered once.
func TestUnusualRequestsAreAnsweredOnce(t *testing.T) {
	for name, c := range map[string]struct {
		list  []Endpoint
		in    Request
		twice bool
	}{
		"class out of range":  {list: ready(2), in: Request{ID: 1, Class: 99, Deadline: second}},
		"tenant out of range": {list: ready(2), in: Request{ID: 1, Tenant: 999, Deadline: second}},
		"deadline past":       {list: ready(2), in: Request{ID: 1, Deadline: 10}},
		"empty list":          {in: Request{ID: 1, Deadline: second}},
		"all draining":        {list: []Endpoint{{ID: 1, State: Draining}}, in: Request{ID: 1, Deadline: second}},
		"repeated id":         {list: ready(2), in: Request{ID: 1, Deadline: second}, twice: true},
		"hint without sense":  {list: ready(2), in: Request{ID: 1, Deadline: second, WorkHint: -5, HasWorkHint: true}},
	} {
		b, r := start(t, testSettings(), c.list)
		b.HandleRequest(1000, c.in)
		if c.twice {
			b.HandleRequest(1000, c.in)
		}
		for i, token := range r.timers {
			if token >= firstRequestTimer {
				b.TimerFired(max(1000+r.delays[i], c.in.Deadline), token)
			}
		}
		if n := len(r.rejected) + len(r.failed); n != 1 || len(r.sends) > 1 {
			t.Errorf("%s: %d final answers, %d sends", name, n, len(r.sends))
		}
	}
}

// A host that is about to end has each request answered, as at its deadline.
func TestExpireAnswersEachRequestOnce(t *testing.T) {
	s := testSettings()
	b, r := start(t, s, ready(4))
	for class := range s.Classes {
		b.HandleRequest(1000, testRequest(uint64(class+1), uint8(class), 500_000))
	}
	for class := range s.Classes {
		b.Expire(2000, uint64(class+1))
		b.Expire(2001, uint64(class+1)) // has its answer
	}
	b.Expire(2002, 99) // was never heard of
	if !slices.Equal(r.rejected, []uint64{1, 2}) || !slices.Equal(r.failed, []uint64{3, 4, 5}) {
		t.Errorf("refused %v, failed %v; want what may come again without a second effect refused, the rest failed", r.rejected, r.failed)
	}
}
