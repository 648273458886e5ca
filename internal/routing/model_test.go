package routing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
)

// effect is what the model knows of one idempotency key, or of one request ID where there is no key: every forward,
// and whether it may have run.
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

func (e *effect) firstThatMayHaveRun() *forwarded {
	for _, sent := range e.forwards {
		if !sent.neverRan {
			return sent
		}
	}
	return nil
}

// TestForwardRulesUnderRandomHistories plays random callers against the ledger and a real decision module, and checks
// every forward against a plain reference model.
func TestForwardRulesUnderRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retries := rapid.Bool().Draw(t, "callers retry")
		h := newHarness(t, func(l *Limits) { l.CallersRetry = retries })
		effects := map[string]*effect{}
		type openStream struct {
			request  Request
			name     string
			attempt  *forwarded
			reported bool
		}
		streams, openStreams := map[StreamID]*openStream{}, []StreamID{}
		h.onForward = func(stream StreamID, at testRef) {
			open := streams[stream]
			e := effects[open.name]
			sent := &forwarded{at: h.now, endpoint: at.endpoint}
			if h.retired[at.endpoint] {
				t.Fatalf("stream %d was forwarded to %d, which is retired", stream, at.endpoint)
			}
			if first := e.firstThatMayHaveRun(); first != nil {
				k := classes[e.class]
				sameCell := cell(at.endpoint) == cell(first.endpoint)
				switch {
				case k.Idempotency == balancer.NotIdempotent:
					t.Fatalf("stream %d: a request that is not idempotent was forwarded again", stream)
				case k.Idempotency == balancer.IdempotentWithKey && h.now >= first.at+k.DedupWindow:
					t.Fatalf("stream %d: %s was forwarded %d after the first attempt", stream, k.Name, h.now-first.at)
				case k.Idempotency == balancer.IdempotentWithKey && k.Group == balancer.GroupCell && !sameCell:
					t.Fatalf("stream %d: %s left its cell", stream, k.Name)
				}
			}
			e.forwards = append(e.forwards, sent)
			if e.byID[open.request.ID]++; e.byID[open.request.ID] > 3 {
				t.Fatalf("request %s was forwarded %d times", open.request.ID, e.byID[open.request.ID])
			}
			open.attempt = sent
		}
		lastStream := StreamID(0)
		pick := func() (StreamID, *openStream) {
			stream := openStreams[rapid.IntRange(0, len(openStreams)-1).Draw(t, "stream")]
			return stream, streams[stream]
		}
		remove := func(stream StreamID) {
			delete(streams, stream)
			for i, o := range openStreams {
				if o == stream {
					openStreams = append(openStreams[:i], openStreams[i+1:]...)
					break
				}
			}
		}
		// An entry that the ledger has removed must be old, or harmless to remove.
		checkForgotten := func() {
			for name, e := range effects {
				if h.ledger.entries[name] != nil {
					continue
				}
				sent := classes[e.class]
				retained := e.firstThatMayHaveRun() != nil && sent.Idempotency != balancer.Idempotent
				if retained && h.now < e.lastClosed+sent.ClientTimeout+sent.DedupWindow {
					t.Fatalf("%q was removed %d after its last stream was closed, and may have run", name, h.now-e.lastClosed)
				}
				delete(effects, name)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event < 4 || len(openStreams) == 0:
				lastStream++
				class := uint8(rapid.IntRange(0, 3).Draw(t, "class"))
				n := rapid.IntRange(0, 2).Draw(t, "request")
				retry := rapid.IntRange(0, 1).Draw(t, "retry")
				id, key := fmt.Sprint(class, "-", n), ""
				if class == classPay || class == classClose {
					key = fmt.Sprint("key", class, "-", n)
					id = fmt.Sprint(id, "-", retry)
				}
				open := &openStream{request: h.newRequest(lastStream, class, id, key)}
				open.name = entryKey(&open.request)
				if effects[open.name] == nil {
					effects[open.name] = &effect{class: class, byID: map[string]int{}}
				}
				streams[lastStream] = open
				openStreams = append(openStreams, lastStream)
				h.ledger.HandleRequest(h.now, open.request)
				h.settle()
				if n := len(h.responses[lastStream]); n != 1 {
					t.Fatalf("stream %d got %d responses", lastStream, n)
				}
			case event < 7:
				stream, open := pick()
				if open.attempt == nil || open.reported {
					continue
				}
				open.reported = true
				s := rapid.SampledFrom([]balancer.Status{balancer.OK, balancer.Error, balancer.Full, balancer.ConnectFailed,
					balancer.Reset, balancer.Timeout}).Draw(t, "status")
				open.attempt.neverRan = s == balancer.Full || s == balancer.ConnectFailed
				h.report(stream, s)
			case event < 8:
				stream, open := pick()
				undelivered := open.attempt != nil && !open.reported && rapid.Bool().Draw(t, "undelivered")
				if undelivered {
					open.attempt.neverRan = true
					effects[open.name].byID[open.request.ID]--
				}
				if e := effects[open.name]; e != nil {
					e.lastClosed = h.now
				}
				remove(stream)
				h.closeStream(stream, undelivered)
			case event < 9:
				e := rapid.IntRange(1, 6).Draw(t, "endpoint")
				h.retired[uint32(e)] = true
				draining := endpoints(6)[e-1]
				draining.State = balancer.Draining
				h.call(func() { h.module.UpdateEndpoints(h.now, balancer.ListDelta, []balancer.Endpoint{draining}) })
			default:
				h.advance(Micros(rapid.IntRange(1, 300).Draw(t, "ms")) * 10_000)
			}
			checkForgotten()
		}
		for len(openStreams) > 0 {
			stream := openStreams[0]
			remove(stream)
			h.closeStream(stream, false)
		}
		h.advance(40 * second)
		h.checkEmpty()
	})
}
