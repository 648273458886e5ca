package baselines

import (
	"math/rand/v2"
	"slices"

	"pinedale/balancer"
)

// decider is an engine.Decider that chooses endpoints with a picker.
type decider struct {
	settings balancer.Settings
	actions  balancer.Actions
	picker   picker
	rng      *rand.Rand
	ready    []uint32         // endpoints that may receive requests
	kinds    map[uint32]uint8 // machine kind by endpoint
	inFlight map[uint32]int   // number of attempts in flight by endpoint
	requests map[uint64]*request
}

// request is one request until its final outcome.
type request struct {
	balancer.Request
	attempts     int
	endpoint     uint32 // of the latest attempt
	mayHaveRun   bool
	disconnected bool // the client has disconnected or has its response
}

// Start implements engine.Decider and does nothing.
func (d *decider) Start(balancer.Micros) {}

// TimerFired implements engine.Decider and does nothing: a decider sets no timers.
func (d *decider) TimerFired(balancer.Micros, uint32) {}

// ProbeCompleted implements engine.Decider and does nothing: a decider sends no probes.
func (d *decider) ProbeCompleted(balancer.Micros, uint32, balancer.Status, balancer.Micros, []float32) {
}

// Configure replaces the classes.
func (d *decider) Configure(classes []balancer.Class, _ []balancer.RetryBudget) error {
	d.settings.Classes = classes
	return nil
}

// UpdateEndpoints applies an endpoint list.
func (d *decider) UpdateEndpoints(_ balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	switch kind {
	case balancer.ListFailed:
		return
	case balancer.ListFull, balancer.ListCached:
		d.ready = nil
	}
	for _, entry := range entries {
		d.kinds[entry.ID] = entry.Kind
		d.ready = slices.DeleteFunc(d.ready, func(id uint32) bool { return id == entry.ID })
		if entry.State == balancer.Ready {
			d.ready = append(d.ready, entry.ID)
		}
	}
}

// HandleRequest starts the first attempt of a request.
func (d *decider) HandleRequest(_ balancer.Micros, in balancer.Request) {
	r := &request{Request: in}
	d.requests[in.ID] = r
	d.send(r)
}

// send starts an attempt. If a retry picks the endpoint of the previous attempt, it picks once more.
func (d *decider) send(r *request) {
	if len(d.ready) == 0 {
		d.finish(r)
		return
	}
	endpoint := d.picker.pick(d)
	if endpoint == r.endpoint {
		endpoint = d.picker.pick(d)
	}
	r.endpoint = endpoint
	r.attempts++
	d.inFlight[endpoint]++
	d.actions.Send(r.ID, endpoint, 0, r.Deadline)
}

// finish ends a request that was not served.
func (d *decider) finish(r *request) {
	delete(d.requests, r.ID)
	if r.mayHaveRun {
		d.actions.Fail(r.ID)
	} else {
		d.actions.Reject(r.ID, 0)
	}
}

// Expire fails a request at its deadline, as the attempt in flight may have run.
func (d *decider) Expire(_ balancer.Micros, id uint64) {
	if r := d.requests[id]; r != nil && !r.disconnected {
		r.disconnected = true
		d.actions.Fail(id)
	}
}

// AttemptCompleted ends the request or retries it.
func (d *decider) AttemptCompleted(now balancer.Micros, outcome balancer.Outcome) {
	r := d.requests[outcome.ID]
	if r == nil {
		return
	}
	d.inFlight[r.endpoint]--
	if outcome.Settled || r.disconnected {
		delete(d.requests, outcome.ID)
		return
	}
	retry := d.retryable(r, outcome.Status)
	mayAttempt := r.attempts < max(1, d.settings.Limits.MaxAttempts)
	if retry && mayAttempt && now < r.Deadline {
		d.send(r)
		return
	}
	d.finish(r)
}

// retryable reports whether a request may run again after an attempt with this status, and records whether it may have
// run. A request that certainly did not run may run again, and so may an idempotent request that failed.
func (d *decider) retryable(r *request, status balancer.Status) bool {
	class := &d.settings.Classes[r.Class]
	idempotent := class.Idempotency == balancer.Idempotent ||
		class.Idempotency == balancer.IdempotentWithKey && class.Group == balancer.GroupAll
	switch status {
	case balancer.Full, balancer.ConnectFailed, balancer.NotSent:
		return !r.mayHaveRun || idempotent
	case balancer.Error, balancer.Reset:
		r.mayHaveRun = true
		return idempotent
	default:
		r.mayHaveRun = true
		return false
	}
}

// ClientDisconnected cancels the attempt in flight. The request ends when the outcome of that attempt arrives.
func (d *decider) ClientDisconnected(_ balancer.Micros, id uint64) {
	if r := d.requests[id]; r != nil {
		r.disconnected = true
		d.actions.Cancel(id, r.attempts-1)
	}
}
