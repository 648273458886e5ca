package engine

import (
	"testing"

	"pinedale/balancer"
)

func TestOnlyTheFirstResultOfAnAttemptCounts(t *testing.T) {
	e, up, _ := newTestEngine(t)
	e.UpdateEndpoints(e.Now(), balancer.ListFull, snapshot(readyHost("s-1", "127.0.0.1:1")))
	response := submit(e, up)
	a := up.attempts[0]
	a.Complete(e.Now(), Result{Status: balancer.Reset})
	a.Complete(e.Now(), Result{Status: balancer.OK})
	e.runDeferred()
	if response.Code == 200 {
		t.Error("the second result gave an answer")
	}
	if ep := e.endpoints.byID[1]; ep.pending < 0 {
		t.Errorf("%d attempts are pending", ep.pending)
	}
}

// A client that has its answer from elsewhere ends the request with its attempt's outcome: nothing is sent or
// answered for it any more.
func TestSettledResultEndsRequestWithoutAnswer(t *testing.T) {
	e, up, _ := newTestEngine(t)
	e.UpdateEndpoints(e.Now(), balancer.ListFull,
		snapshot(readyHost("s-1", "127.0.0.1:1"), readyHost("s-2", "127.0.0.1:2")))
	response := submit(e, up)
	up.attempts[0].Complete(e.Now(), Result{Status: balancer.Error, Settled: true})
	e.runDeferred()
	if len(up.attempts) != 1 || response.Code != 0 {
		t.Errorf("%d attempts, answer %+v; want one and none", len(up.attempts), response)
	}
	if n, _ := e.Counts(); n != 0 {
		t.Error("the ledger still contains the request")
	}
}

// When its host is about to end, each request in flight gets its one final answer: a rejection where a retry is
// harmless, else a failure. Later outcomes are taken in and have no effect.
func TestExpireAnswersEachRequestOnce(t *testing.T) {
	e, up, _ := newTestEngine(t)
	e.UpdateEndpoints(e.Now(), balancer.ListFull, snapshot(readyHost("s-1", "127.0.0.1:1")))
	responses := []*Response{submit(e, up), submit(e, up)}
	e.ExpireAll(e.Now())
	e.runDeferred()
	for i, r := range responses {
		if r.Code != 503 { // the class's group is all servers, and its window is open: a repeat has no effect
			t.Errorf("request %d: answer %+v", i, *r)
		}
	}
	if len(up.cancelled) != 2 {
		t.Errorf("%d attempts cancelled, want 2", len(up.cancelled))
	}
	for _, a := range up.attempts {
		a.Complete(e.Now(), Result{Status: balancer.OK})
	}
	e.ExpireAll(e.Now()) // without requests it has no effect
	if n, _ := e.Counts(); n != 0 || responses[0].Code != 503 {
		t.Errorf("%d requests in the ledger, answer %+v", n, *responses[0])
	}
}
