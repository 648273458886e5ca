package routing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
)

// effect is what the model knows of one key, or of one id where there are none:
// every copy that was handed out, and whether it may have run.
type effect struct {
	class  uint8
	copies []*copy_
	byID   map[string]int // copies handed out for a request
	active Micros         // when the last ask left
}

type copy_ struct {
	at       Micros
	endpoint uint32
	never    bool // proven not to have run
}

func (e *effect) first() *copy_ {
	for _, c := range e.copies {
		if !c.never {
			return c
		}
	}
	return nil
}

// TestRulesUnderRandomHistories plays random callers against the ledger and a real
// decision module, and holds every copy handed out against a plain reference.
func TestRulesUnderRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retries := rapid.Bool().Draw(t, "callers ask again")
		w := newWorld(t, func(l *Limits) { l.Retries = retries })
		effects := map[string]*effect{}
		type asking struct {
			q        Query
			name     string
			copy     *copy_
			reported bool
		}
		asks, order_ := map[Ask]*asking{}, []Ask{}
		w.sends = func(a Ask, at ref) {
			in := asks[a]
			e := effects[in.name]
			c := &copy_{at: w.now, endpoint: at.endpoint}
			if w.retired[at.endpoint] {
				t.Fatalf("ask %d was sent to %d, which is retired", a, at.endpoint)
			}
			if first := e.first(); first != nil {
				k := classes[e.class]
				switch {
				case k.Idempotency == balancer.NotIdempotent:
					t.Fatalf("ask %d: an unsafe request was handed out again", a)
				case k.Idempotency == balancer.IdempotentWithKey && w.now >= first.at+k.DedupWindow:
					t.Fatalf("ask %d: %s was handed out %d after the first copy", a, k.Name, w.now-first.at)
				case k.Idempotency == balancer.IdempotentWithKey && k.Group == balancer.GroupCell && cell(at.endpoint) != cell(first.endpoint):
					t.Fatalf("ask %d: %s left its cell", a, k.Name)
				}
			}
			e.copies = append(e.copies, c)
			if e.byID[in.q.ID]++; e.byID[in.q.ID] > 3 {
				t.Fatalf("request %s was handed out %d times", in.q.ID, e.byID[in.q.ID])
			}
			in.copy = c
		}
		next := Ask(0)
		pick := func() (Ask, *asking) {
			a := order_[rapid.IntRange(0, len(order_)-1).Draw(t, "ask")]
			return a, asks[a]
		}
		drop := func(a Ask) {
			delete(asks, a)
			for i, o := range order_ {
				if o == a {
					order_ = append(order_[:i], order_[i+1:]...)
					break
				}
			}
		}
		// What the ledger has forgotten must be old, or harmless to forget.
		forget := func() {
			for name, e := range effects {
				if w.ledger.entries[name] != nil {
					continue
				}
				if c := classes[e.class]; e.first() != nil && c.Idempotency != balancer.Idempotent && w.now < e.active+c.ClientTimeout+c.DedupWindow {
					t.Fatalf("%q was forgotten %d after its last ask, and may have run", name, w.now-e.active)
				}
				delete(effects, name)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			switch what := rapid.IntRange(0, 9).Draw(t, "event"); {
			case what < 4 || len(order_) == 0:
				next++
				class := uint8(rapid.IntRange(0, 3).Draw(t, "class"))
				n := rapid.IntRange(0, 2).Draw(t, "request")
				try := rapid.IntRange(0, 1).Draw(t, "try")
				id, key := fmt.Sprint(class, "-", n), ""
				if class == pay || class == close_ {
					key = fmt.Sprint("key", class, "-", n)
					id = fmt.Sprint(id, "-", try)
				}
				in := &asking{q: w.query(next, class, id, key)}
				in.name = name(&in.q)
				if effects[in.name] == nil {
					effects[in.name] = &effect{class: class, byID: map[string]int{}}
				}
				asks[next] = in
				order_ = append(order_, next)
				w.ledger.Ask(w.now, in.q)
				w.settle()
				if n := len(w.told[next]); n != 1 {
					t.Fatalf("ask %d was told %d times", next, n)
				}
			case what < 7:
				a, in := pick()
				if in.copy == nil || in.reported {
					continue
				}
				in.reported = true
				s := rapid.SampledFrom([]balancer.Status{balancer.OK, balancer.Error, balancer.Full, balancer.ConnectFailed,
					balancer.Reset, balancer.Timeout}).Draw(t, "status")
				in.copy.never = s == balancer.Full || s == balancer.ConnectFailed
				w.report(a, s)
			case what < 8:
				a, in := pick()
				unsent := in.copy != nil && !in.reported && rapid.Bool().Draw(t, "unsent")
				if unsent {
					in.copy.never = true
					effects[in.name].byID[in.q.ID]--
				}
				if e := effects[in.name]; e != nil {
					e.active = w.now
				}
				drop(a)
				w.left(a, unsent)
			case what < 9:
				e := rapid.IntRange(1, 6).Draw(t, "endpoint")
				w.retired[uint32(e)] = true
				draining := endpoints(6)[e-1]
				draining.State = balancer.Draining
				w.call(func() { w.module.UpdateEndpoints(w.now, balancer.ListDelta, []balancer.Endpoint{draining}) })
			default:
				w.pass(Micros(rapid.IntRange(1, 300).Draw(t, "ms")) * 10_000)
			}
			forget()
		}
		for len(order_) > 0 {
			a := order_[0]
			drop(a)
			w.left(a, false)
		}
		w.pass(40 * second)
		w.empty()
	})
}
