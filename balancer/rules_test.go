package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// checker hosts a balancer and asserts the rules on every action.
type checker struct {
	settings       Settings
	now            Micros
	states         map[uint32]Endpoint
	slowStartSince map[uint32]Micros          // by endpoint: start of its process
	slowStartSends map[uint32]float64         // by endpoint: requests sent in slow start
	requests       map[uint64]*checkedRequest // open and ended
	violations     []string
	timers         []pendingTimer
	probes         []uint32
}

type checkedRequest struct {
	in       Request
	answered int
	closed   bool // the balancer was notified that the request is over
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
			c.violation("hedge of %d, which is not permitted", id)
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
	if _, starting := c.slowStartSince[endpoint]; starting {
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
			c.violation("rejection of %d (%s), which may have run", id, class.Name)
		}
		if class.Idempotency == IdempotentWithKey && c.now+after >= r.firstMayHaveRun().sentAt+class.DedupWindow {
			c.violation("rejection of %d (%s) for %d: its key has expired when it is retried", id, class.Name, after)
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
		c.violation("subscription where changes are pushed")
	}
}

func (c *checker) Log(string, ...any) {}

// playRandomEvents runs legal random events from a seed and returns the violations found.
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
	if s.Balancers > 2 { // one of many balancers of a large fleet
		pause, list = 400_000, ready(20+rnd.Intn(60))
	}
	starts := rnd.Intn(3) // of all endpoints at once
	maxWaiting := 0
	members(ListCached, slices.Clone(list))
	var open []uint64
	next := uint64(1)
	statuses := []Status{OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	for range 3000 {
		c.now += Micros(rnd.Intn(pause))
		maxWaiting = max(maxWaiting, len(b.ledger.waitingForProbes))
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
	// All open requests must be answered by their deadlines.
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
			c.violation("request %d has no final answer", id)
		}
	}
	if s.Balancers > 2 && s.Limits.Probes && s.Prices.Probe < onDemandCostRatio && maxWaiting == 0 {
		c.violation("no request waited for probes: the run does not test those that do")
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
			s.Fields = [][]Field{{FieldInFlight}, {FieldQueue, FieldServed}, {FieldServed, FieldUtilization}, {FieldOther}}[seed%4]
			s.Prices = Prices{Probe: []float64{0, 0.002, 0.01, 0.5}[seed/3%4], CrossZone: 0.03}
			s.Tenants = []Tenant{{Name: "one", Quota: 50}, {Name: "two"}}[:seed%3]
			s.Limits.Cancel, s.Limits.RetryAfter = seed%3 != 0, seed%4 != 0
		}
		for i, violation := range playRandomEvents(t, s, seed) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
	}
}

// The checker itself must detect each broken rule.
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
	for name, breakRule := range map[string]func(*checker){
		"two final answers":          func(c *checker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end":         func(c *checker) { c.Fail(0); c.Send(0, 1, 0, 0) },
		"send to draining":           func(c *checker) { c.states[1] = Endpoint{ID: 1, State: Draining}; c.Send(0, 1, 0, 0) },
		"not idempotent sent twice":  func(c *checker) { c.Send(4, 1, 0, 0); c.Send(4, 2, 0, 0) },
		"not idempotent rejected":    func(c *checker) { c.Send(4, 1, 0, 0); c.Reject(4, 0) },
		"with key outside its zone":  func(c *checker) { c.Send(2, 1, 0, 0); c.Send(2, 3, 0, 0) },
		"with key outside its cell":  func(c *checker) { c.Send(3, 1, 0, 0); c.Send(3, 3, 0, 0) },
		"with key, after its window": func(c *checker) { c.Send(1, 1, 0, 0); c.now = second; c.Send(1, 2, 0, 0) },
		"with key written too late":  func(c *checker) { c.Send(1, 1, 0, 0); c.Send(1, 2, 0, 5*second) },
		"written after its time":     func(c *checker) { c.Send(0, 1, 0, 9*second) },
		"too many attempts": func(c *checker) {
			for endpoint := range uint32(4) {
				c.Send(0, endpoint+1, 0, 0)
			}
		},
	} {
		c := fresh()
		if breakRule(c); len(c.violations) == 0 {
			t.Errorf("%s: not seen", name)
		}
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
			b.AttemptCompleted(now, Outcome{
				ID: last.id, Endpoint: last.endpoint, Status: Status(i % 7), Latency: 3000,
			})
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
		b.AttemptCompleted(2000, Outcome{
			ID: id, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 1000, Settled: true,
		})
	}
	for range 100 {
		once()
	}
	if n := testing.AllocsPerRun(200, once); n > 0.1 {
		t.Errorf("%v allocations a request", n)
	}
}
