package balancer

import "testing"

// requestWithKey returns a request with an idempotency key.
func requestWithKey(id uint64, class uint8, key uint64, now, timeLeft Micros) Request {
	return Request{ID: id, Class: class, Deadline: now + timeLeft, IdempotencyKey: key}
}

// Guards against review case 2: a payment was rejected, its client repeated it in time under the same key, and that
// request was hedged after the endpoints had forgotten the key. The window counts from the first attempt under the key.
func TestRetryOfRejectedRequestKeepsTheKeysWindow(t *testing.T) {
	const window, timeLeft = 500_000, 250_000
	s := testSettings()
	b, r := start(t, s, ready(4))
	b.traffic.dropped.add(1, 1) // attempts are lost, so overdue ones are hedged
	timeOut := func(id uint64, now Micros) {
		b.TimerFired(now, b.ledger.requests[id].timerToken)
	}
	b.HandleRequest(0, requestWithKey(1, 1, 7, 0, timeLeft))
	timeOut(1, timeLeft)
	if len(r.sends) != 1 || len(r.rejected) != 1 {
		t.Fatalf("first request: %d sends, %d rejections, want 1 and 1", len(r.sends), len(r.rejected))
	}
	b.HandleRequest(400_000, requestWithKey(2, 1, 7, 400_000, timeLeft))
	if len(r.sends) != 2 {
		t.Fatalf("%d sends, want one for the retry, which came in time", len(r.sends))
	}
	for now := Micros(window); now < 400_000+timeLeft; now += 10_000 {
		b.TimerFired(now, b.ledger.requests[2].timerToken)
	}
	b.AttemptCompleted(600_000, Outcome{ID: 2, Endpoint: r.sends[1].endpoint, Status: Reset})
	if len(r.sends) != 2 || len(r.rejected) != 1 || len(r.failed) != 1 {
		t.Errorf("after the window: %d sends, %d rejections, %d failures, want 2, 1 and 1",
			len(r.sends), len(r.rejected), len(r.failed))
	}
}

// Whatever ended the first request, a later one with its key is sent only to where and as long as its repeat is
// dropped.
func TestRequestIsBoundByEarlierAttemptsUnderItsKey(t *testing.T) {
	const window = 500_000
	timeOut := func(b *Balancer) {
		b.Expire(10_000, 1)
		b.AttemptCompleted(10_000, Outcome{ID: 1, Status: Cancelled, Settled: true})
	}
	ended := func(status Status) func(*Balancer) {
		return func(b *Balancer) {
			b.AttemptCompleted(10_000, Outcome{ID: 1, Status: status, Settled: true})
		}
	}
	withKey := func(key uint64) func(*Request) { return func(in *Request) { in.IdempotencyKey = key } }
	open := func(*Balancer) {}
	disconnected := func(b *Balancer) { b.ClientDisconnected(10_000, 1) }
	markedAsRetry := func(in *Request) { in.ClientRetry = true }
	forwardedElsewhere := func(in *Request) { in.MayHaveRun = true }
	ofClass := func(class uint8) func(*Request) { return func(in *Request) { in.Class = class } }
	for name, test := range map[string]struct {
		class  uint8
		end    func(*Balancer) // of the first request
		change func(*Request)  // of the second request
		at     Micros
		sent   bool
		failed bool // rather than rejected, if no attempt of the second request runs
	}{
		"in the window":                 {class: 1, end: timeOut, at: 100_000, sent: true},
		"after the window":              {class: 1, end: timeOut, at: window, failed: true},
		"long after the window":         {class: 1, end: timeOut, at: window + 900_000, failed: true},
		"first still open":              {class: 1, end: open, at: window, failed: true},
		"client of the first left":      {class: 1, end: disconnected, at: window, failed: true},
		"first reset":                   {class: 1, end: ended(Reset), at: window, failed: true},
		"first served":                  {class: 1, end: ended(OK), at: window, failed: true},
		"first never ran":               {class: 1, end: ended(ConnectFailed), at: window, sent: true},
		"in the zone":                   {class: 2, end: timeOut, at: 100_000, sent: true, failed: true},
		"in the cell, after the window": {class: 3, end: timeOut, at: window, failed: true},
		"another key":                   {class: 1, end: timeOut, at: window, sent: true, change: withKey(8)},
		"without a key":                 {class: 1, end: timeOut, at: window, sent: true, change: withKey(0)},
		"another class":                 {class: 1, end: timeOut, at: window, sent: true, change: ofClass(3)},
		"a key of an idempotent class":  {class: 0, end: timeOut, at: window, sent: true},
		"once nobody retries any more":  {class: 1, end: timeOut, at: 2*(window+second) + second, sent: true},
		"forwarded elsewhere before":    {class: 1, end: ended(Full), at: window, failed: true, change: forwardedElsewhere},
		"marked as a client's retry":    {class: 1, end: timeOut, at: window, failed: true, change: markedAsRetry},
	} {
		b, r := start(t, testSettings(), ready(6))
		b.HandleRequest(0, requestWithKey(1, test.class, 7, 0, second))
		test.end(b)
		sends := len(r.sends)
		r.rejected, r.failed = nil, nil
		b.HandleRequest(test.at, withChange(requestWithKey(2, test.class, 7, test.at, second), test.change))
		if sent := len(r.sends) > sends; sent != test.sent {
			t.Errorf("%s: second request sent %v, want %v", name, sent, test.sent)
		}
		if test.class >= 2 && test.sent && (r.sends[0].endpoint-1)/2 != (r.sends[1].endpoint-1)/2 {
			t.Errorf("%s: sent to endpoints %d and %d, want the same group", name, r.sends[0].endpoint, r.sends[1].endpoint)
		}
		for i := sends; i < len(r.sends); i++ {
			b.AttemptCompleted(test.at, Outcome{ID: 2, Attempt: i - sends, Endpoint: r.sends[i].endpoint, Status: Full})
		}
		if failed := len(r.failed) == 1; failed != test.failed || len(r.failed)+len(r.rejected) != 1 {
			t.Errorf("%s: second request: %d rejections and %d failures, want failed %v",
				name, len(r.rejected), len(r.failed), test.failed)
		}
	}
}

func withChange(in Request, change func(*Request)) Request {
	if change != nil {
		change(&in)
	}
	return in
}

// An attempt that a request makes after others with its key have come and gone still counts for later ones.
func TestOpenRequestKeepsItsKeyRecorded(t *testing.T) {
	s := testSettings()
	b, r := start(t, s, ready(2))
	b.HandleRequest(0, requestWithKey(1, 1, 7, 0, 60*second))
	b.AttemptCompleted(0, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: OK})
	b.HandleRequest(0, requestWithKey(2, 1, 8, 0, 60*second))
	retention := s.Classes[1].keyRetention()
	for i := range Micros(5) {
		now, id := i*(retention+1), uint64(10+i)
		b.HandleRequest(now, requestWithKey(id, 1, id, now, 60*second))
		b.AttemptCompleted(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK})
	}
	keys := &b.classes[1].idempotencyKeys
	if keys.current[8] == nil || keys.current[8] != b.ledger.requests[2].idempotency {
		t.Error("the key of an open request is not recorded any more")
	}
	if keys.current[7] != nil || keys.previous[7] != nil || len(keys.current) != 2 || len(keys.previous) != 2 {
		t.Errorf("keys %v and %v are recorded, want those of recent and open requests", keys.current, keys.previous)
	}
}

// A flood of requests under ever new keys must not grow the records without end: keys under which nothing was sent are
// not kept, and at the limit requests under new keys are rejected without an attempt. Known keys are still served.
func TestIdempotencyKeysAreBounded(t *testing.T) {
	s := testSettings()
	s.Limits.MaxOpen = 10
	b, r := start(t, s, ready(2))
	keys := &b.classes[1].idempotencyKeys
	recorded := func() int { return len(keys.current) + len(keys.previous) }
	for id := range uint64(1_000) {
		b.HandleRequest(0, requestWithKey(id, 1, 1+id, 0, 0)) // past its deadline
	}
	if n := recorded(); n != 0 || len(r.rejected) != 1_000 {
		t.Errorf("%d keys are recorded after %d rejections, want none after 1000", n, len(r.rejected))
	}
	handle := func(id, key uint64) (sent bool) {
		before := len(r.sends)
		b.HandleRequest(second, requestWithKey(id, 1, key, second, 60*second))
		if len(r.sends) == before {
			return false
		}
		b.AttemptCompleted(second, Outcome{ID: id, Endpoint: r.sends[before].endpoint, Status: OK})
		return true
	}
	first := uint64(10_000)
	for i := range uint64(maxIdempotencyKeys) {
		if !handle(first+i, first+i) {
			t.Fatalf("request %d was not sent below the limit of keys", i)
		}
	}
	if handle(1, 1) || recorded() > maxIdempotencyKeys {
		t.Errorf("a request under a new key was sent at the limit, or is recorded: %d keys", recorded())
	}
	if !handle(2, first) {
		t.Error("a request under a recorded key was not sent")
	}
	later := second + 3*s.Classes[1].keyRetention()
	b.HandleRequest(later, requestWithKey(3, 1, 3, later, 60*second))
	if n := recorded(); n != 1 {
		t.Errorf("%d keys are recorded after their time, want that of the open request", n)
	}
}
