package routing

import (
	"fmt"
	"testing"

	"pinedale/balancer"
)

// A second request for the same effect gets the same endpoint while that drops repeats, or a conflict.
func TestSecondRequestGetsSameEndpointOrConflict(t *testing.T) {
	closeStream := func(h *harness) { h.closeStream(1, false) }
	closeUndelivered := func(h *harness) { h.closeStream(1, true) }
	reject := func(h *harness) { h.report(1, balancer.Full) }
	succeed := func(h *harness) {
		h.report(1, balancer.OK)
		h.closeStream(1, false)
	}
	succeedAndAdvance := func(h *harness) {
		succeed(h)
		h.advance(1_500_000)
	}
	for _, c := range []struct {
		name         string
		class        uint8
		id           string // of the second request
		after        func(h *harness)
		want         ResponseKind
		sameEndpoint bool
	}{
		{"at once", classPay, "1", nil, Forward, true},
		{"at once, by a retry of the client", classPay, "2", nil, Forward, true},
		{"at once, for one cell", classClose, "2", nil, Forward, true},
		{"after the outcome", classPay, "2", succeed, Forward, true},
		{"after the outcome, by the same id", classPay, "1", succeed, Forward, true},
		{"after the window", classPay, "2", succeedAndAdvance, Conflict, false},
		{"within the longer window of one cell", classClose, "2", succeedAndAdvance, Forward, true},
		{"after the window, without an outcome", classPay, "2", func(h *harness) { h.advance(1_600_000) }, Conflict, false},
		{"the stream was closed without a report", classClose, "2", closeStream, Forward, false},
		{"idempotent, at once", classRead, "1", nil, Forward, true},
		{"not idempotent, at once", classOrder, "1", nil, Conflict, false},
		{"not idempotent, after the outcome", classOrder, "1", succeed, Conflict, false},
		{"not idempotent, the stream was closed without a report", classOrder, "1", closeStream, Conflict, false},
		{"not idempotent, the forward was not delivered", classOrder, "1", closeUndelivered, Forward, false},
		{"not idempotent, rejected by the endpoint", classOrder, "1", reject, Forward, false},
		{"all endpoints are retired", classPay, "2", func(h *harness) {
			for i := range uint32(7) {
				h.retired[i] = true
			}
		}, Conflict, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			key := ""
			if c.class == classPay || c.class == classClose {
				key = "k"
			}
			first := h.request(h.newRequest(1, c.class, "1", key))
			if first.Kind != Forward {
				t.Fatalf("first response %+v, want a Forward", first)
			}
			if c.after != nil {
				c.after(h)
			}
			got := h.request(h.newRequest(2, c.class, c.id, key))
			if got.Kind != c.want {
				t.Fatalf("second response %+v, want kind %v", got, c.want)
			}
			if c.sameEndpoint && endpointOf(got) != endpointOf(first) {
				t.Errorf("forwarded to endpoint %d, then to %d", endpointOf(first), endpointOf(got))
			}
			if got.Kind == Forward && c.class == classClose && cell(endpointOf(got)) != cell(endpointOf(first)) {
				t.Errorf("forwarded to endpoint %d, then to %d of another cell", endpointOf(first), endpointOf(got))
			}
			h.closeStream(1, false)
			h.closeStream(2, false)
			h.advance(30 * second)
			h.checkEmpty()
		})
	}
}

// Another request with a key or an ID in use is rejected, and nothing is forwarded.
func TestKeyReuseForAnotherRequestIsRejected(t *testing.T) {
	h := newHarness(t, nil)
	h.request(h.newRequest(1, classPay, "1", "k"))
	other := h.newRequest(2, classPay, "2", "k")
	other.Fingerprint = 2
	if got := h.request(other); got.Kind != KeyReused || got.Reason != reasonKeyReused {
		t.Errorf("another request with the same key: %+v, want KeyReused", got)
	}
	if got := h.request(h.newRequest(3, classPay, "1", "k2")); got.Kind != KeyReused || got.Reason != reasonIDInUse {
		t.Errorf("another key with the same ID: %+v, want KeyReused", got)
	}
	tenant := h.newRequest(4, classPay, "4", "k")
	tenant.Tenant = "acme"
	tenant.Fingerprint = 3
	if got := h.request(tenant); got.Kind != Forward {
		t.Errorf("the same key of another tenant: %+v, want Forward", got)
	}
	if got := h.ledger.HandleReport(2, Outcome{Status: balancer.OK}); got.Kind != PassThrough || len(h.completions) != 0 {
		t.Error("a report on a stream whose request was rejected was counted as the outcome of an attempt")
	}
	for id := StreamID(1); id <= 4; id++ {
		h.closeStream(id, false)
	}
	h.advance(30 * second)
	h.checkEmpty()
}

// A stream that is closed before its forward was delivered leaves no state in the ledger. A stream that is closed later
// without a report leaves only the entry of a request that may have run.
func TestStreamClosedWithoutReportKeepsOnlyWhatMayHaveRun(t *testing.T) {
	h := newHarness(t, nil)
	h.request(h.newRequest(1, classPay, "1", "k"))
	h.closeStream(1, true) // the forward was not delivered
	h.checkEmpty()
	h.request(h.newRequest(2, classOrder, "2", ""))
	h.closeStream(2, false)
	if len(h.open) != 0 {
		t.Error("the attempt of a closed stream is still counted in flight")
	}
	if _, _, entries := h.ledger.Counts(); entries != 1 {
		t.Errorf("%d entries, want 1, of the request that may have run", entries)
	}
	// A stream that stays open and never reports: the deadline releases all but the entry.
	h.request(h.newRequest(3, classPay, "3", "k3"))
	h.advance(2 * second)
	if _, rounds, _ := h.ledger.Counts(); rounds != 0 || len(h.open) != 0 {
		t.Errorf("%d rounds and %d attempts after the deadline, want none", rounds, len(h.open))
	}
	if got := h.report(3, balancer.Error); got.Kind != Reject && got.Kind != Fail {
		t.Errorf("report after the deadline: response %+v, want the final answer", got)
	}
	h.closeStream(3, false)
	h.advance(30 * second)
	h.checkEmpty()
}

// After a reported failure the caller may request a decision again, and gets what the module decides within the
// rules of the class and the limit of attempts.
func TestRetryAfterReportedFailureFollowsClassAndLimit(t *testing.T) {
	h := newHarness(t, nil)
	used := map[uint32]bool{}
	for n := range 3 {
		got := h.request(h.newRequest(StreamID(n), classPay, "1", "k"))
		if got.Kind != Forward || got.Attempt != n {
			t.Fatalf("request %d: %+v, want Forward with attempt %d", n, got, n)
		}
		used[endpointOf(got)] = true
		want := RetryAllowed
		if n == 2 {
			want = Reject // no attempt is left, and all endpoints drop a repeat
		}
		if got := h.report(StreamID(n), balancer.Error); got.Kind != want {
			t.Fatalf("report %d: %+v, want %v", n, got, want)
		}
		h.closeStream(StreamID(n), false)
	}
	if len(used) != 3 {
		t.Errorf("endpoints %v, want three", used)
	}
	if got := h.request(h.newRequest(9, classPay, "1", "k")); got.Kind != Reject {
		t.Errorf("request after the last attempt: response %+v, want the final answer again", got)
	}
	h.closeStream(9, false)
	for _, c := range []struct {
		class  uint8
		status balancer.Status
		want   ResponseKind
	}{
		{classOrder, balancer.Error, Fail},
		{classOrder, balancer.Full, RetryAllowed},
		{classOrder, balancer.ConnectFailed, RetryAllowed},
		{classOrder, balancer.Reset, Fail},
		{classClose, balancer.Reset, RetryAllowed},
		{classRead, balancer.Timeout, RetryAllowed},
	} {
		key := ""
		if c.class == classClose {
			key = "k20"
		}
		h.request(h.newRequest(20, c.class, "20", key))
		if got := h.report(20, c.status); got.Kind != c.want {
			t.Errorf("class %d, report of %v: response %+v, want kind %v", c.class, c.status, got, c.want)
		}
		h.closeStream(20, false)
		delete(h.responses, 20)
		h.advance(30 * second)
	}
	h.checkEmpty()
}

// A retry that is on offer and not claimed in time expires, and is no longer counted in flight.
func TestUnclaimedRetryExpires(t *testing.T) {
	h := newHarness(t, nil)
	h.request(h.newRequest(1, classRead, "1", ""))
	if got := h.report(1, balancer.Error); got.Kind != RetryAllowed || len(h.open) != 1 {
		t.Fatalf("report: %+v, %d attempts", got, len(h.open))
	}
	h.closeStream(1, false)
	h.advance(OfferTimeout + 20_000)
	h.checkEmpty()
}

// If callers do not retry, the module gives its final answer at once.
func TestFailureIsFinalWhereCallersDoNotRetry(t *testing.T) {
	h := newHarness(t, func(l *Limits) { l.CallersRetry = false })
	wantByClass := map[uint8]ResponseKind{classRead: Reject, classOrder: Fail, classPay: Reject, classClose: Fail}
	for class, want := range wantByClass {
		id := StreamID(class)
		key := ""
		if class == classPay || class == classClose {
			key = fmt.Sprint("k", class)
		}
		h.request(h.newRequest(id, class, fmt.Sprint(class), key))
		if got := h.report(id, balancer.Error); got.Kind != want {
			t.Errorf("class %d: response %+v, want kind %v", class, got, want)
		}
		h.closeStream(id, false)
	}
	h.advance(30 * second)
	h.checkEmpty()
}

// If an endpoint is retired before a forward is delivered, or before an offer is claimed, the module makes a new
// decision.
func TestEndpointRetiredBeforeForwardIsReplaced(t *testing.T) {
	h := newHarness(t, nil)
	first := h.request(h.newRequest(1, classOrder, "1", ""))
	h.retired[endpointOf(first)] = true
	h.responses[1] = nil
	h.ledger.ForwardDiscarded(1)
	h.runDeferred()
	got := h.responses[1]
	if len(got) != 1 || got[0].Kind != Forward || endpointOf(got[0]) == endpointOf(first) {
		t.Fatalf("responses %+v after endpoint %d was retired", got, endpointOf(first))
	}
	if got := h.report(1, balancer.Full); got.Kind != RetryAllowed {
		t.Fatalf("report: %+v, want RetryAllowed", got)
	}
	h.closeStream(1, false)
	for _, ref := range h.open {
		h.retired[ref.endpoint] = true
	}
	if got := h.request(h.newRequest(2, classOrder, "1", "")); got.Kind == Forward {
		t.Errorf("a fourth attempt: %+v", got)
	}
	h.closeStream(2, false)
	h.advance(30 * second)
	h.checkEmpty()
}

// Proof that one forward never ran does not prove that another forward of the same attempt never ran.
func TestReportOfOneForwardProvesNothingOfTheOther(t *testing.T) {
	h := newHarness(t, nil)
	h.request(h.newRequest(1, classClose, "1", "k"))
	h.request(h.newRequest(2, classClose, "2", "k"))
	h.report(1, balancer.ConnectFailed)
	h.closeStream(1, false)
	h.closeStream(2, false)
	h.advance(OfferTimeout + 20_000)
	h.request(h.newRequest(3, classClose, "3", "k"))
	if latest := h.started[len(h.started)-1]; !latest.MayHaveRun {
		t.Error("the next round is not restricted, although an attempt may have run")
	}
	h.closeStream(3, false)
	h.advance(30 * second)
	h.checkEmpty()
}

// The outcome counts for the endpoint that served the attempt. A request that was served by an endpoint that is not in
// the list is not forwarded again.
func TestOutcomeCountsForEndpointThatServed(t *testing.T) {
	h := newHarness(t, nil)
	first := h.request(h.newRequest(1, classClose, "1", "k"))
	other := endpointOf(first)%6 + 3
	if other > 6 {
		other -= 6
	}
	outcome := Outcome{Status: balancer.Error, Endpoint: other, Location: Location{Cell: cell(other)}}
	got := h.ledger.HandleReport(1, outcome)
	h.runDeferred()
	h.closeStream(1, false)
	if got.Kind == RetryAllowed {
		if next := h.request(h.newRequest(2, classClose, "1", "k")); cell(endpointOf(next)) != cell(other) {
			t.Errorf("next endpoint %d is not in the cell of endpoint %d, which served the attempt", endpointOf(next), other)
		}
		h.closeStream(2, false)
	} else {
		t.Errorf("report: %+v, want RetryAllowed", got)
	}
	h.request(h.newRequest(3, classPay, "3", "k3"))
	if got := h.ledger.HandleReport(3, Outcome{Status: balancer.OK, UnknownEndpoint: true}); got.Kind != PassThrough {
		t.Errorf("report of an unknown endpoint: response %+v, want PassThrough", got)
	}
	h.closeStream(3, false)
	got = h.request(h.newRequest(4, classPay, "4", "k3"))
	if got.Kind != Conflict || got.Reason != reasonUnknownEndpoint {
		t.Errorf("request after an unknown endpoint served it: response %+v, want a Conflict", got)
	}
	h.closeStream(4, false)
	h.advance(30 * second)
	h.checkEmpty()
}

// Once all entries are in use, further requests are rejected and no entry is dropped.
func TestRequestIsRejectedOnceEntriesAreUsedUp(t *testing.T) {
	h := newHarness(t, func(l *Limits) { l.MaxEntries = 2 })
	for id := StreamID(1); id <= 3; id++ {
		got := h.request(h.newRequest(id, classPay, fmt.Sprint(id), fmt.Sprint("k", id)))
		want := Forward
		if id > 2 {
			want = AtCapacity
		}
		if got.Kind != want || got.Kind == AtCapacity && got.RetryAfter <= 0 {
			t.Errorf("request %d: %+v, want kind %v, and a retry delay if at capacity", id, got, want)
		}
	}
	for id := StreamID(1); id <= 3; id++ {
		h.closeStream(id, false)
	}
	h.advance(30 * second)
	h.checkEmpty()
}
