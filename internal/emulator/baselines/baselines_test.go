package baselines

import (
	"errors"
	"testing"

	"pinedale/balancer"
)

// deadline is the deadline of the requests in the tests.
const deadline = balancer.Micros(1_000_000)

// recordedActions records attempts and the final outcomes of requests.
type recordedActions struct {
	balancer.Actions
	sent             []uint32 // endpoints of the attempts
	failed, rejected int
}

func (a *recordedActions) Send(_ uint64, endpoint uint32, _, _ balancer.Micros) {
	a.sent = append(a.sent, endpoint)
}

func (a *recordedActions) Fail(uint64)                    { a.failed++ }
func (a *recordedActions) Reject(uint64, balancer.Micros) { a.rejected++ }

// newTestDecider returns a decider of a policy with two endpoints of different kinds, and its actions.
func newTestDecider(t *testing.T, policy string, weights []float64) (*decider, *recordedActions) {
	t.Helper()
	create, err := Named(policy, weights)
	if err != nil {
		t.Fatal(err)
	}
	actions := &recordedActions{}
	settings := balancer.Settings{
		Limits: balancer.Limits{MaxAttempts: 2},
		Classes: []balancer.Class{
			{Idempotency: balancer.Idempotent},
			{Idempotency: balancer.NotIdempotent},
		},
	}
	created, err := create(settings, 1, actions)
	if err != nil {
		t.Fatal(err)
	}
	d := created.(*decider)
	d.UpdateEndpoints(0, balancer.ListFull, []balancer.Endpoint{
		{ID: 1, Kind: 0, State: balancer.Ready},
		{ID: 2, Kind: 1, State: balancer.Ready},
	})
	return d, actions
}

func TestNamedReturnsUnknownPolicyError(t *testing.T) {
	_, err := Named("best", nil)
	var unknown *UnknownPolicyError
	if !errors.As(err, &unknown) || unknown.Name != "best" {
		t.Errorf("error %v, want an UnknownPolicyError with the name best", err)
	}
}

func TestRetryFollowsStatusAndIdempotency(t *testing.T) {
	const idempotent, notIdempotent = 0, 1
	for _, test := range []struct {
		name         string
		class        uint8
		status       balancer.Status
		now          balancer.Micros
		wantAttempts int
		wantFailed   int
		wantRejected int
	}{
		{"idempotent failed", idempotent, balancer.Error, 0, 2, 0, 0},
		{"idempotent timed out", idempotent, balancer.Timeout, 0, 1, 1, 0},
		{"idempotent failed at its deadline", idempotent, balancer.Error, deadline, 1, 1, 0},
		{"not idempotent failed", notIdempotent, balancer.Error, 0, 1, 1, 0},
		{"not idempotent reset", notIdempotent, balancer.Reset, 0, 1, 1, 0},
		{"not idempotent rejected", notIdempotent, balancer.Full, 0, 2, 0, 0},
		{"not idempotent rejected at its deadline", notIdempotent, balancer.Full, deadline, 1, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, actions := newTestDecider(t, "random", nil)
			d.HandleRequest(0, balancer.Request{ID: 1, Class: test.class, Deadline: deadline})
			d.AttemptCompleted(test.now, balancer.Outcome{ID: 1, Status: test.status})
			if len(actions.sent) != test.wantAttempts {
				t.Errorf("%d attempts sent, want %d", len(actions.sent), test.wantAttempts)
			}
			if actions.failed != test.wantFailed || actions.rejected != test.wantRejected {
				t.Errorf("%d requests failed and %d rejected, want %d and %d",
					actions.failed, actions.rejected, test.wantFailed, test.wantRejected)
			}
		})
	}
}

func TestWeightedRoundRobinFollowsWeights(t *testing.T) {
	d, actions := newTestDecider(t, "weighted-round", []float64{3, 1})
	counts := map[uint32]int{}
	for id := range uint64(40) {
		d.HandleRequest(0, balancer.Request{ID: id, Deadline: deadline})
	}
	for _, endpoint := range actions.sent {
		counts[endpoint]++
	}
	if counts[1] != 30 || counts[2] != 10 {
		t.Errorf("attempts by endpoint %v, want 30 and 10", counts)
	}
}

func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	d, actions := newTestDecider(t, "least-request", nil)
	d.UpdateEndpoints(0, balancer.ListDelta, []balancer.Endpoint{{ID: 1, State: balancer.Draining}})
	for id := range uint64(10) {
		d.HandleRequest(0, balancer.Request{ID: id, Deadline: deadline})
	}
	for _, endpoint := range actions.sent {
		if endpoint != 2 {
			t.Errorf("an attempt went to endpoint %d, want 2", endpoint)
		}
	}
	if len(actions.sent) != 10 {
		t.Errorf("%d attempts sent, want 10", len(actions.sent))
	}
}

func TestRequestIsRejectedWithoutEndpoints(t *testing.T) {
	d, actions := newTestDecider(t, "random", nil)
	d.UpdateEndpoints(0, balancer.ListFull, nil)
	d.HandleRequest(0, balancer.Request{ID: 1, Deadline: deadline})
	if actions.rejected != 1 || len(actions.sent) != 0 {
		t.Errorf("rejected %d, %d attempts, want 1 and none", actions.rejected, len(actions.sent))
	}
}
