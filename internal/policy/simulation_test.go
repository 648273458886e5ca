package policy

import (
	"container/heap"
	"fmt"
	"net/http"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
)

// simulation runs the decision module within the bounds of a table in virtual time. Outcomes and delays are drawn, and
// the delays and the clock error do not exceed the limits of the configuration. The servers drop repeats by real time,
// and the simulation fails if a request runs twice although its class does not permit it.
type simulation struct {
	t         *rapid.T
	config    *Config
	balancer  *balancer.Balancer
	now       time.Duration // real time
	lastEvent int           // sequence number
	queue     eventQueue
	requests  map[uint64]*clientRequest
	lastID    uint64
	lastRun   map[string]time.Duration // by key and group of servers that drop repeats
	runCount  map[string]int           // by key
}

// clientRequest is a request of a client, or a retry of one.
type clientRequest struct {
	bounds    *Bounds
	class     *Class
	key       string
	firstSent time.Duration // when the client sent its first request
	attempts  int
	answered  bool
	isRetry   bool
}

// event is a function that runs at a time.
type event struct {
	at  time.Duration
	seq int // order of events at the same time
	run func()
}

// eventQueue is a heap of events. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// newSimulation returns a simulation of a table with six servers, two in each pod.
func newSimulation(t *rapid.T, config *Config, table *Table) *simulation {
	s := &simulation{
		t:        t,
		config:   config,
		requests: map[uint64]*clientRequest{},
		lastRun:  map[string]time.Duration{},
		runCount: map[string]int{},
	}
	settings := balancer.Settings{
		Balancers: 1,
		Zones:     1,
		Kinds:     1,
		Classes:   table.Classes(),
		Budgets:   table.Budgets(),
		Limits: balancer.Limits{
			Cancel:        true,
			Hedging:       config.Limits.Hedging,
			RetryAfter:    true,
			MaxRetryAfter: 1_500_000,
			MaxAttempts:   config.Limits.MaxAttempts,
			MaxOpen:       1000,
		},
		Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5},
		Goal:     balancer.Goal{Overall: 1},
	}
	var err error
	if s.balancer, err = balancer.New(settings, 1, s); err != nil {
		t.Fatal(err)
	}
	s.balancer.Start(s.clock())
	var list []balancer.Endpoint
	for i := range serversPerPod * 3 {
		list = append(list, balancer.Endpoint{ID: uint32(i + 1), Cell: uint16(i / serversPerPod), Weight: 1})
	}
	s.balancer.UpdateEndpoints(s.clock(), balancer.ListFull, list)
	return s
}

// serversPerPod is the number of simulated servers in each pod.
const serversPerPod = 2

// run runs all events of the first five minutes.
func (s *simulation) run() {
	for len(s.queue) > 0 && s.queue[0].at < 5*time.Minute {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
}

// schedule queues a function to run after a delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.lastEvent++
	heap.Push(&s.queue, event{at: s.now + max(0, delay), seq: s.lastEvent, run: run})
}

// epoch is the start of the module's clock.
const epoch = balancer.Micros(1_000_000_000)

// clock returns the time of the module's clock, which is slow by the permitted error.
func (s *simulation) clock() balancer.Micros {
	return epoch + balancer.Micros(float64(s.now.Microseconds())/(1+s.config.Limits.ClockError))
}

// realTime returns the real time that a duration of the module's clock takes. It is rounded up, because timers never
// fire early.
func (s *simulation) realTime(duration balancer.Micros) time.Duration {
	return time.Duration(float64(duration)*(1+s.config.Limits.ClockError)+2) * time.Microsecond
}

// timerDelay draws the delay of a timer.
func (s *simulation) timerDelay() time.Duration {
	return time.Duration(rapid.IntRange(0, 2).Draw(s.t, "late")) * s.config.Limits.TimerSlack / 2
}

// simulatedAttempt is one attempt of a request.
type simulatedAttempt struct {
	simulation *simulation
	request    *clientRequest
	id         uint64
	number     int
	endpoint   uint32
	sent       bool
	completed  bool
}

// Send simulates an attempt.
func (s *simulation) Send(id uint64, endpoint uint32, timeout, _ balancer.Micros) {
	request := s.requests[id]
	attempt := &simulatedAttempt{
		simulation: s,
		request:    request,
		id:         id,
		number:     request.attempts,
		endpoint:   endpoint,
	}
	request.attempts++
	maxAttempts := request.bounds.MaxAttempts
	if request.class.Idempotency == balancer.NotIdempotent && request.attempts > 3 || request.attempts > maxAttempts {
		s.t.Fatalf("attempt %d of a request that may have %d", request.attempts, maxAttempts)
	}
	dialTime := time.Duration(rapid.IntRange(0, 4).Draw(s.t, "dial")) * s.config.Limits.DialTimeout / 4
	timeoutDelay := s.realTime(timeout)
	if timeout == 0 {
		timeoutDelay = time.Hour
	}
	s.schedule(timeoutDelay+s.timerDelay(), attempt.timeOut)
	s.schedule(dialTime, attempt.run)
}

// timeOut completes the attempt if it is not completed.
func (a *simulatedAttempt) timeOut() {
	if a.sent {
		a.complete(balancer.Timeout)
	} else {
		a.complete(balancer.NotSent)
	}
}

// run sends the request to the server and completes the attempt with a drawn status.
func (a *simulatedAttempt) run() {
	if a.completed {
		return // cancelled before the request was sent
	}
	s := a.simulation
	status := rapid.SampledFrom([]balancer.Status{
		balancer.OK, balancer.Error, balancer.Full, balancer.Timeout, balancer.ConnectFailed, balancer.Reset,
	}).Draw(s.t, "status")
	if status == balancer.ConnectFailed {
		a.complete(status)
		return
	}
	a.sent = true
	if status != balancer.Full {
		s.execute(a.request, a.endpoint)
	}
	if status == balancer.Timeout {
		return // there is no response
	}
	serviceTime := time.Duration(rapid.IntRange(0, 30).Draw(s.t, "work")) * 100 * time.Millisecond
	s.schedule(serviceTime, func() { a.complete(status) })
}

// complete reports the outcome of the attempt unless it was reported before.
func (a *simulatedAttempt) complete(status balancer.Status) {
	if a.completed {
		return
	}
	a.completed = true
	s := a.simulation
	if status == balancer.OK && !a.request.answered {
		s.answer(a.id, http.StatusOK, 0)
	}
	s.balancer.AttemptCompleted(s.clock(), balancer.Outcome{
		ID:       a.id,
		Attempt:  a.number,
		Endpoint: a.endpoint,
		Status:   status,
		Latency:  1000,
		Settled:  a.request.answered,
	})
}

// execute runs a request on a server, which drops the request if it is a repeat.
func (s *simulation) execute(request *clientRequest, endpoint uint32) {
	class := request.class
	scope := request.key
	if class.Group == balancer.GroupCell {
		scope += fmt.Sprint(" pod ", (endpoint-1)/serversPerPod)
	}
	if class.Idempotency == balancer.IdempotentWithKey {
		if at, ok := s.lastRun[scope]; ok && s.now < at+class.DedupWindow {
			return // dropped
		}
		s.lastRun[scope] = s.now
	}
	s.runCount[request.key]++
	if s.runCount[request.key] > 1 && class.Idempotency != balancer.Idempotent {
		s.t.Fatalf("%s of class %s ran twice, the second time %v after the client's first request",
			request.key, class.Name, s.now-request.firstSent)
	}
}

// answer sends a response to the client, which may retry.
func (s *simulation) answer(id uint64, code int, retryAfter time.Duration) {
	request := s.requests[id]
	if request.answered {
		s.t.Fatalf("request %d has two answers", id)
	}
	request.answered = true
	if code == http.StatusOK {
		return
	}
	retries := code == http.StatusServiceUnavailable || request.class.Clients == ClientsRetryFailed
	// A client without Retry-After retries at once or a little later.
	delay := retryAfter + time.Duration(rapid.IntRange(0, 2).Draw(s.t, "way"))*10*time.Millisecond
	deadline := request.firstSent + time.Duration(request.bounds.Deadline)*time.Microsecond
	if retries && s.now+delay < deadline {
		retry := &clientRequest{
			bounds:    request.bounds,
			class:     request.class,
			key:       request.key,
			firstSent: request.firstSent,
			isRetry:   true,
		}
		s.schedule(delay, func() { s.submit(retry) })
	}
}

// submit passes a client's request to the module.
func (s *simulation) submit(request *clientRequest) {
	s.lastID++
	id := s.lastID
	s.requests[id] = request
	bounds, now := request.bounds, s.clock()
	remaining := request.firstSent + time.Duration(bounds.Deadline)*time.Microsecond - s.now
	s.balancer.HandleRequest(now, balancer.Request{
		ID:             id,
		Class:          bounds.Class,
		Deadline:       now + remaining.Microseconds(),
		ClientRetry:    request.isRetry,
		MaxAttempts:    bounds.MaxAttempts,
		NoHedging:      bounds.NoHedging,
		AttemptTimeout: bounds.AttemptTimeout,
		HedgeDelay:     bounds.HedgeDelay,
		Budget:         bounds.Budget,
		Pool:           bounds.Pool,
	})
}

// The methods below and Send implement the actions of the decision module.

func (s *simulation) Reject(id uint64, retryAfter balancer.Micros) {
	s.answer(id, http.StatusServiceUnavailable, s.realTime(retryAfter))
}
func (s *simulation) Fail(id uint64)     { s.answer(id, http.StatusBadGateway, 0) }
func (s *simulation) Cancel(uint64, int) {}
func (s *simulation) Timer(delay balancer.Micros, token uint32) {
	s.schedule(s.realTime(delay)+s.timerDelay(), func() { s.balancer.TimerFired(s.clock(), token) })
}
func (s *simulation) Probe(uint32)       {}
func (s *simulation) Watch(bool)         {}
func (s *simulation) Log(string, ...any) {}
