package routing

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
)

// effect is the model's record of one idempotency key, or of one request ID where there is no key: every forward, and
// whether it may have run.
type effect struct {
	class      uint8
	forwards   []*forwarded
	byID       map[string]int // forwards by request ID
	lastClosed Micros         // when its last stream was closed
}

// forwarded is one attempt that was forwarded to a caller.
type forwarded struct {
	at       Micros
	endpoint uint32
	neverRan bool // proven not to have run
}

// firstThatMayHaveRun returns the effect's first forward that may have run, nil if there is none.
func (e *effect) firstThatMayHaveRun() *forwarded {
	for _, forward := range e.forwards {
		if !forward.neverRan {
			return forward
		}
	}
	return nil
}

// modelStream is an open stream of a caller.
type modelStream struct {
	id       StreamID
	request  Request
	effect   string // key of model.effects
	forward  *forwarded
	reported bool
}

// modelMaxAttempts is how often the harness lets one request be forwarded.
const modelMaxAttempts = 3

// model simulates random callers of a ledger, and checks the ledger's actions by a simple reference implementation.
type model struct {
	t          *rapid.T
	harness    *harness
	effects    map[string]*effect // by entryKey
	streams    []*modelStream     // open, the oldest first
	lastStream StreamID
}

// newModel returns a model without streams.
func newModel(t *rapid.T, callersRetry bool) *model {
	m := &model{
		t:       t,
		harness: newHarness(t, func(limits *Limits) { limits.CallersRetry = callersRetry }),
		effects: map[string]*effect{},
	}
	m.harness.onForward = m.checkForward
	return m
}

// stream returns an open stream by its ID.
func (m *model) stream(id StreamID) *modelStream {
	index := slices.IndexFunc(m.streams, func(open *modelStream) bool { return open.id == id })
	if index < 0 {
		m.t.Fatalf("stream %d got a response but is not open", id)
	}
	return m.streams[index]
}

// drawStream returns a random open stream.
func (m *model) drawStream() *modelStream {
	return m.streams[rapid.IntRange(0, len(m.streams)-1).Draw(m.t, "stream")]
}

// checkForward checks a forward against the rules and records it.
func (m *model) checkForward(id StreamID, ref testRef) {
	stream := m.stream(id)
	effect := m.effects[stream.effect]
	if m.harness.retired[ref.endpoint] {
		m.t.Fatalf("stream %d was forwarded to endpoint %d, which is retired", id, ref.endpoint)
	}
	if first := effect.firstThatMayHaveRun(); first != nil {
		m.checkRepeat(id, classes[effect.class], first, ref.endpoint)
	}
	stream.forward = &forwarded{at: m.harness.now, endpoint: ref.endpoint}
	effect.forwards = append(effect.forwards, stream.forward)
	requestID := stream.request.ID
	effect.byID[requestID]++
	if count := effect.byID[requestID]; count > modelMaxAttempts {
		m.t.Fatalf("request %s was forwarded %d times, more than its maximum", requestID, count)
	}
}

// checkRepeat checks that an effect may be forwarded to an endpoint although an earlier forward may have run.
func (m *model) checkRepeat(id StreamID, class balancer.Class, first *forwarded, endpoint uint32) {
	sameCell := cell(endpoint) == cell(first.endpoint)
	elapsed := m.harness.now - first.at
	withKey := class.Idempotency == balancer.IdempotentWithKey
	switch {
	case class.Idempotency == balancer.NotIdempotent:
		m.t.Fatalf("stream %d: a request that is not idempotent was forwarded again", id)
	case withKey && elapsed >= class.DedupWindow:
		m.t.Fatalf("stream %d: %s was forwarded %d µs after the first attempt", id, class.Name, elapsed)
	case withKey && class.Group == balancer.GroupCell && !sameCell:
		m.t.Fatalf("stream %d: %s was forwarded to another cell than the first attempt", id, class.Name)
	}
}

// checkRemovedEntries checks that each entry that the ledger has removed has expired or was harmless to remove.
func (m *model) checkRemovedEntries() {
	for key, effect := range m.effects {
		if m.harness.ledger.entries[key] != nil {
			continue
		}
		class := classes[effect.class]
		retained := effect.firstThatMayHaveRun() != nil && class.Idempotency != balancer.Idempotent
		if retained && m.harness.now < effect.lastClosed+class.ClientTimeout+class.DedupWindow {
			m.t.Fatalf("%q may have run, but was removed %d µs after its last stream was closed", key,
				m.harness.now-effect.lastClosed)
		}
		delete(m.effects, key)
	}
}

// openStream has a caller request a decision.
func (m *model) openStream() {
	m.lastStream++
	class := uint8(rapid.IntRange(0, 3).Draw(m.t, "class"))
	number := rapid.IntRange(0, 2).Draw(m.t, "request")
	retry := rapid.IntRange(0, 1).Draw(m.t, "retry")
	id, key := fmt.Sprint(class, "-", number), ""
	if class == classPay || class == classClose {
		key = fmt.Sprint("key", class, "-", number)
		id = fmt.Sprint(id, "-", retry)
	}
	stream := &modelStream{id: m.lastStream, request: m.harness.newRequest(m.lastStream, class, id, key)}
	stream.effect = entryKey(&stream.request)
	if m.effects[stream.effect] == nil {
		m.effects[stream.effect] = &effect{class: class, byID: map[string]int{}}
	}
	m.streams = append(m.streams, stream)
	m.harness.ledger.HandleRequest(m.harness.now, stream.request)
	m.harness.runDeferred()
	if count := len(m.harness.responses[stream.id]); count != 1 {
		m.t.Fatalf("stream %d got %d responses, want 1", stream.id, count)
	}
}

// report has a caller report the outcome of the attempt that was forwarded to it, if there is one.
func (m *model) report() {
	stream := m.drawStream()
	if stream.forward == nil || stream.reported {
		return
	}
	stream.reported = true
	status := rapid.SampledFrom([]balancer.Status{
		balancer.OK, balancer.Error, balancer.Full, balancer.ConnectFailed, balancer.Reset, balancer.Timeout,
	}).Draw(m.t, "status")
	stream.forward.neverRan = status == balancer.Full || status == balancer.ConnectFailed
	m.harness.report(stream.id, status)
}

// closeStream ends a random stream, possibly before its Forward was delivered.
func (m *model) closeStream() {
	stream := m.drawStream()
	undelivered := stream.forward != nil && !stream.reported && rapid.Bool().Draw(m.t, "undelivered")
	effect := m.effects[stream.effect]
	if undelivered {
		stream.forward.neverRan = true
		effect.byID[stream.request.ID]--
	}
	if effect != nil {
		effect.lastClosed = m.harness.now
	}
	m.remove(stream, undelivered)
}

// remove deletes a stream from the model and closes it in the ledger.
func (m *model) remove(stream *modelStream, undelivered bool) {
	m.streams = slices.DeleteFunc(m.streams, func(open *modelStream) bool { return open == stream })
	m.harness.closeStream(stream.id, undelivered)
}

// retireEndpoint marks a random endpoint as draining.
func (m *model) retireEndpoint() {
	endpoint := rapid.IntRange(1, 6).Draw(m.t, "endpoint")
	m.harness.retired[uint32(endpoint)] = true
	draining := endpoints(6)[endpoint-1]
	draining.State = balancer.Draining
	m.harness.call(func() {
		m.harness.module.UpdateEndpoints(m.harness.now, balancer.ListDelta, []balancer.Endpoint{draining})
	})
}

// TestForwardRulesUnderRandomHistories simulates random callers of the ledger with a real decision module, and checks
// every forward against a simple reference model.
func TestForwardRulesUnderRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.Bool().Draw(t, "callers retry"))
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event < 4 || len(m.streams) == 0:
				m.openStream()
			case event < 7:
				m.report()
			case event < 8:
				m.closeStream()
			case event < 9:
				m.retireEndpoint()
			default:
				m.harness.advance(Micros(rapid.IntRange(1, 300).Draw(t, "ms")) * 10_000)
			}
			m.checkRemovedEntries()
		}
		for len(m.streams) > 0 {
			m.remove(m.streams[0], false)
		}
		m.harness.advance(40 * second)
		m.harness.checkEmpty()
	})
}
