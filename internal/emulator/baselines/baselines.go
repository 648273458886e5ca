// Package baselines holds the simplest policies that a user would pick instead of the
// decision module, to compare it with in rehearsals: random choice, the lesser loaded
// of two, weighted round robin. They balance; what they know of repeats is the retry
// rule that proxies come with.
package baselines

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// Module is the name of the decision module itself.
const Module = "pinedale"

// Decide makes what decides for an engine.
type Decide = func(balancer.Settings, uint64, balancer.Actions) (engine.Decider, error)

// picker chooses among ready endpoints; there is at least one.
type picker interface{ pick(b *rival) uint32 }

var policies = map[string]func(weights []float64) picker{
	"random":         func([]float64) picker { return random{} },
	"least-request":  func([]float64) picker { return fewestInFlight{} },
	"weighted-round": func(w []float64) picker { return &weightedRound{weights: w, have: map[uint32]float64{}} },
}

// Names are the known policies, the module first.
func Names() []string { return append([]string{Module}, slices.Sorted(maps.Keys(policies))...) }

// Named returns a policy, nil for the decision module. weights are those of each kind
// of machine, as an operator would set them.
func Named(name string, weights []float64) (Decide, error) {
	if name == Module {
		return nil, nil
	}
	make, ok := policies[name]
	if !ok {
		return nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(Names(), ", "))
	}
	return func(s balancer.Settings, seed uint64, a balancer.Actions) (engine.Decider, error) {
		return &rival{settings: s, act: a, rng: rand.New(rand.NewPCG(seed, 5)), picker: make(weights),
			kinds: map[uint32]uint8{}, out: map[uint32]int{}, requests: map[uint64]*request{}}, nil
	}, nil
}

type rival struct {
	settings balancer.Settings
	act      balancer.Actions
	rng      *rand.Rand
	picker   picker
	ready    []uint32
	kinds    map[uint32]uint8
	out      map[uint32]int // attempts at each
	requests map[uint64]*request
}

type request struct {
	balancer.Request
	attempts     int
	at           uint32 // the latest endpoint
	mayRun       bool
	disconnected bool
}

func (b *rival) Start(balancer.Micros)              {}
func (b *rival) TimerFired(balancer.Micros, uint32) {}
func (b *rival) ProbeCompleted(balancer.Micros, uint32, balancer.Status, balancer.Micros, []float32) {
}

// Configure takes other classes.
func (b *rival) Configure(classes []balancer.Class, _ []balancer.RetryBudget) error {
	b.settings.Classes = classes
	return nil
}

// UpdateEndpoints keeps the ready endpoints.
func (b *rival) UpdateEndpoints(_ balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	switch kind {
	case balancer.ListFailed:
		return
	case balancer.ListFull, balancer.ListCached:
		b.ready = nil
	}
	for _, e := range entries {
		b.kinds[e.ID] = e.Kind
		b.ready = slices.DeleteFunc(b.ready, func(id uint32) bool { return id == e.ID })
		if e.State == balancer.Ready {
			b.ready = append(b.ready, e.ID)
		}
	}
}

// HandleRequest sends to the endpoint that the policy picks.
func (b *rival) HandleRequest(now balancer.Micros, in balancer.Request) {
	r := &request{Request: in}
	b.requests[in.ID] = r
	b.send(r)
}

func (b *rival) send(r *request) {
	if len(b.ready) == 0 {
		b.finish(r)
		return
	}
	to := b.picker.pick(b)
	if to == r.at { // a retry goes elsewhere, if it can
		to = b.picker.pick(b)
	}
	r.at = to
	r.attempts++
	b.out[to]++
	b.act.Send(r.ID, to, 0, r.Deadline)
}

// finish gives the final answer that the attempts allow.
func (b *rival) finish(r *request) {
	delete(b.requests, r.ID)
	if r.mayRun {
		b.act.Fail(r.ID)
	} else {
		b.act.Reject(r.ID, 0)
	}
}

// Expire gives the final answer at once: an attempt that is out may have run.
func (b *rival) Expire(_ balancer.Micros, id uint64) {
	if r := b.requests[id]; r != nil && !r.disconnected {
		r.disconnected = true
		b.act.Fail(id)
	}
}

// AttemptCompleted resends what certainly did not run, and failures of what may run twice.
func (b *rival) AttemptCompleted(now balancer.Micros, o balancer.Outcome) {
	r := b.requests[o.ID]
	if r == nil {
		return
	}
	b.out[r.at]--
	if o.Settled || r.disconnected {
		delete(b.requests, o.ID)
		return
	}
	class := b.settings.Classes[r.Class]
	safeToRetry := class.Idempotency == balancer.Idempotent || class.Idempotency == balancer.IdempotentWithKey && class.Group == balancer.GroupAll
	resend := false
	switch o.Status {
	case balancer.Full, balancer.ConnectFailed, balancer.NotSent:
		resend = !r.mayRun || safeToRetry
	case balancer.Error, balancer.Reset:
		r.mayRun, resend = true, safeToRetry
	default:
		r.mayRun = true
	}
	if resend && r.attempts < max(1, b.settings.Limits.MaxAttempts) && now < r.Deadline {
		b.send(r)
		return
	}
	b.finish(r)
}

// ClientDisconnected lets the attempt go on: its outcome ends the request.
func (b *rival) ClientDisconnected(_ balancer.Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		r.disconnected = true
		b.act.Cancel(id, r.attempts-1)
	}
}

type random struct{}

func (random) pick(b *rival) uint32 { return b.ready[b.rng.IntN(len(b.ready))] }

// fewestInFlight takes the one of two random endpoints with fewer attempts out, as
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
type fewestInFlight struct{}

func (fewestInFlight) pick(b *rival) uint32 {
	x, y := b.ready[b.rng.IntN(len(b.ready))], b.ready[b.rng.IntN(len(b.ready))]
	if b.out[y] < b.out[x] {
		return y
	}
	return x
}

// weightedRound is smooth weighted round robin: each endpoint gains its weight each
// turn, and the one that has most pays for all.
type weightedRound struct {
	weights []float64
	have    map[uint32]float64
}

func (w *weightedRound) pick(b *rival) uint32 {
	sum, best := 0.0, b.ready[0]
	for _, id := range b.ready {
		weight := 1.0
		if kind := int(b.kinds[id]); kind < len(w.weights) {
			weight = w.weights[kind]
		}
		w.have[id] += weight
		sum += weight
		if w.have[id] > w.have[best] {
			best = id
		}
	}
	w.have[best] -= sum
	return best
}
