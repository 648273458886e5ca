package routing

import (
	"fmt"

	"pinedale/balancer"
)

const second Micros = 1_000_000

// The classes of the tests.
const (
	classRead  = iota // idempotent
	classPay          // with a key, all endpoints drop a repeat for 1.5 s
	classClose        // with a key, one cell drops a repeat for 12 s
	classOrder        // not idempotent
)

var classes = []balancer.Class{
	{
		Name:             "read",
		Idempotency:      balancer.Idempotent,
		LatencyObjective: 600_000,
		ClientTimeout:    3 * second,
		PriorityWeight:   1,
	},
	{
		Name:             "pay",
		Idempotency:      balancer.IdempotentWithKey,
		Group:            balancer.GroupAll,
		DedupWindow:      1_500_000,
		LatencyObjective: 600_000,
		ClientTimeout:    2_500_000,
		PriorityWeight:   1,
	},
	{
		Name:             "close",
		Idempotency:      balancer.IdempotentWithKey,
		Group:            balancer.GroupCell,
		DedupWindow:      12 * second,
		LatencyObjective: 1_200_000,
		ClientTimeout:    2_500_000,
		PriorityWeight:   1,
	},
	{
		Name:             "order",
		Idempotency:      balancer.NotIdempotent,
		LatencyObjective: 600_000,
		ClientTimeout:    3 * second,
		PriorityWeight:   1,
	},
}

// testRef is the value that the harness passes to AttemptScheduled.
type testRef struct {
	endpoint uint32
	round    uint64
}

// harness connects a ledger to a real decision module, without sockets or a clock.
type harness struct {
	t        reporter
	now      Micros
	module   *balancer.Balancer
	ledger   *Ledger
	retired  map[uint32]bool
	timers   []timer
	depth    int // of nested calls into the module
	deferred []func()

	attempts    map[uint64]int          // by round: scheduled so far
	completions map[string]int          // by round and attempt
	responses   map[StreamID][]Response // by stream
	open        map[string]testRef      // attempts that are not completed, by round and attempt
	onForward   func(StreamID, testRef) // called with each forward
	started     []balancer.Request      // requests of the rounds started
}

type timer struct {
	at    Micros
	token uint32
}

// reporter is the part of testing.T and rapid.T that the harness needs.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Fatal(args ...any)
}

// newHarness returns a harness whose limits a test may change, with six endpoints.
func newHarness(t reporter, limits func(*Limits)) *harness {
	h := &harness{
		t:           t,
		now:         10 * second,
		retired:     map[uint32]bool{},
		attempts:    map[uint64]int{},
		completions: map[string]int{},
		responses:   map[StreamID][]Response{},
		open:        map[string]testRef{},
	}
	bounds := Limits{Classes: classes, MaxAttempts: 3, Hedging: true, CallersRetry: true, MaxEntries: 1000}
	if limits != nil {
		limits(&bounds)
	}
	h.ledger = New(bounds, h)
	var err error
	settings := balancer.Settings{
		Balancers: 1,
		Zones:     2,
		Kinds:     1,
		Classes:   classes,
		Limits: balancer.Limits{
			Cancel:        true,
			RetryAfter:    true,
			Hedging:       true,
			MaxAttempts:   bounds.MaxAttempts,
			MaxOpen:       1000,
			MaxRetryAfter: second,
		},
		Contract: balancer.Contract{SlowStartRatio: 1, OverloadMultiple: 2.5},
	}
	h.module, err = balancer.New(settings, 7, (*moduleActions)(h))
	if err != nil {
		t.Fatal(err)
	}
	h.call(func() {
		h.module.Start(h.now)
		h.module.UpdateEndpoints(h.now, balancer.ListFull, endpoints(6))
	})
	return h
}

// endpoints returns ready endpoints, numbered from 1; pairs share a cell.
func endpoints(count int) []balancer.Endpoint {
	list := make([]balancer.Endpoint, count)
	for i := range list {
		list[i] = balancer.Endpoint{ID: uint32(i + 1), Zone: uint8(i / 4), Cell: cell(uint32(i + 1)), Weight: 1}
	}
	return list
}

// cell returns the cell of an endpoint. Each cell has two endpoints.
func cell(endpoint uint32) uint16 { return uint16(endpoint-1) / 2 }

// call runs a call into the module, and then the calls that were deferred during it.
func (h *harness) call(callModule func()) {
	h.depth++
	callModule()
	h.depth--
	h.runDeferred()
}

// runDeferred runs deferred calls, unless a call into the module is in progress.
func (h *harness) runDeferred() {
	for h.depth == 0 && len(h.deferred) > 0 {
		calls := h.deferred
		h.deferred = nil
		for _, call := range calls {
			call()
		}
	}
}

// advance moves the time forward and fires the timers.
func (h *harness) advance(duration Micros) {
	end := h.now + duration
	for h.now < end {
		h.now = min(end, h.now+10_000)
		due := h.timers
		h.timers = nil
		for _, next := range due {
			if next.at > h.now {
				h.timers = append(h.timers, next)
			} else {
				h.call(func() { h.module.TimerFired(h.now, next.token) })
			}
		}
		h.ledger.Tick(h.now)
		h.runDeferred()
	}
}

// moduleActions implements the actions of the decision module for the harness.
type moduleActions harness

func (m *moduleActions) Send(id uint64, endpoint uint32, _, _ Micros) {
	h := (*harness)(m)
	index := h.attempts[id]
	h.attempts[id]++
	h.open[fmt.Sprint(id, " ", index)] = testRef{endpoint, id}
	location := Location{Zone: uint8(endpoint-1) / 4, Cell: cell(endpoint)}
	h.ledger.AttemptScheduled(h.now, id, location, testRef{endpoint, id})
}

func (m *moduleActions) Reject(id uint64, after Micros) { m.ledger.RoundRejected(m.now, id, after) }

func (m *moduleActions) Fail(id uint64) { m.ledger.RoundFailed(m.now, id) }

func (m *moduleActions) Cancel(id uint64, index int) {
	h := (*harness)(m)
	h.deferred = append(h.deferred, func() { h.ledger.AttemptCancelled(h.now, id, index) })
}

func (m *moduleActions) Timer(delay Micros, token uint32) {
	m.timers = append(m.timers, timer{m.now + delay, token})
}

func (m *moduleActions) Probe(uint32)       {}
func (m *moduleActions) Watch(bool)         {}
func (m *moduleActions) Log(string, ...any) {}

func (h *harness) StartRound(round uint64, _ string, req balancer.Request) {
	h.started = append(h.started, req)
	req.ID = round
	h.call(func() { h.module.HandleRequest(h.now, req) })
}

func (h *harness) CancelRound(round uint64) {
	h.call(func() { h.module.ClientDisconnected(h.now, round) })
}

func (h *harness) CompleteAttempt(round uint64, index int, outcome Outcome, settled bool) {
	if h.depth > 0 {
		h.t.Errorf("attempt %d of round %d is completed from within a call of the module", index, round)
	}
	key := fmt.Sprint(round, " ", index)
	h.completions[key]++
	if h.completions[key] > 1 {
		h.t.Errorf("attempt %s is completed twice, with %v", key, outcome.Status)
	}
	endpoint := h.open[key].endpoint
	delete(h.open, key)
	if outcome.Endpoint != 0 {
		endpoint = outcome.Endpoint
	}
	h.call(func() {
		h.module.AttemptCompleted(h.now, balancer.Outcome{
			ID:       round,
			Attempt:  index,
			Endpoint: endpoint,
			Status:   outcome.Status,
			Settled:  settled,
		})
	})
}

func (h *harness) Usable(ref any) bool { return !h.retired[ref.(testRef).endpoint] }

func (h *harness) Respond(stream StreamID, response Response) {
	h.responses[stream] = append(h.responses[stream], response)
	if response.Kind == Forward && h.onForward != nil {
		h.onForward(stream, response.Ref.(testRef))
	}
}

// newRequest returns a request of a class with 2 s until its deadline.
func (h *harness) newRequest(stream StreamID, class uint8, id, key string) Request {
	return Request{
		Stream:        stream,
		ID:            id,
		Key:           key,
		Fingerprint:   1,
		ModuleRequest: balancer.Request{Class: class, Deadline: h.now + 2*second},
	}
}

// request requests a decision and returns the response, which must arrive within the call.
func (h *harness) request(req Request) Response {
	h.t.Helper()
	h.ledger.HandleRequest(h.now, req)
	h.runDeferred()
	if count := len(h.responses[req.Stream]); count != 1 {
		h.t.Fatalf("stream %d got %d responses, want 1", req.Stream, count)
	}
	return h.responses[req.Stream][0]
}

// report reports the outcome of a stream's attempt and returns the response.
func (h *harness) report(stream StreamID, status balancer.Status) Response {
	response := h.ledger.HandleReport(stream, Outcome{Status: status})
	h.runDeferred()
	return response
}

// closeStream closes a stream. undelivered is set if its Forward never reached the caller.
func (h *harness) closeStream(stream StreamID, undelivered bool) {
	h.ledger.StreamClosed(h.now, stream, undelivered)
	h.runDeferred()
}

// checkEmpty fails the test if the ledger or the module still holds anything.
func (h *harness) checkEmpty() {
	h.t.Helper()
	streams, rounds, entries := h.ledger.Counts()
	if streams+rounds+entries > 0 || len(h.open) > 0 || len(h.ledger.requestIDs) > 0 {
		h.t.Errorf("still held: %d streams, %d rounds, %d entries, %d request IDs, %d attempts", streams, rounds, entries,
			len(h.ledger.requestIDs), len(h.open))
	}
}

// endpointOf returns the endpoint of a Forward.
func endpointOf(response Response) uint32 { return response.Ref.(testRef).endpoint }
