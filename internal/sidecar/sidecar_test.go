package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/httpmsg"
	"pinedale/internal/intake"
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/peer"
)

func TestServesAndReusesConnections(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	w := start(t, nil, directory.Ready("s-1", e.Address))
	for _, class := range []string{"read", "pay", "close", "order"} {
		body := "body of " + class
		if class == "read" {
			body = ""
		}
		if got := w.send(w.request(class, body, 3*time.Second)); got.code != http.StatusOK || got.body != "done" {
			t.Errorf("%s: got %+v", class, got)
		}
	}
	if requests, conns := e.Seen(); requests != 4 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 4 on 1", requests, conns)
	}
}

// How far a request is sent again follows from its class and from what is known
// of the attempt before. All are seen by the client as one final answer.
func TestResendLimits(t *testing.T) {
	reset := func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			if n, _ := e.Seen(); n == 1 {
				return
			}
			_, _ = io.WriteString(conn, peer.Served)
		}
	}
	other := func(h directory.Host) directory.Host {
		h.Block = 2
		return h
	}
	for _, c := range []struct {
		name, class string
		first       func(*peer.Endpoint, net.Conn, *bufio.Reader)
		move        func(directory.Host) directory.Host // of the second endpoint
		code        int
		attempts    int
	}{
		{"safe after a reset", "read", reset, nil, 200, 2},
		{"safe after an error", "read", peer.Then(peer.Failing, peer.Served), nil, 200, 2},
		{"keyed after a reset", "pay", reset, nil, 200, 2},
		{"keyed in its cell", "close", reset, nil, 200, 2},
		{"keyed out of its cell", "close", peer.Then(peer.Failing, peer.Served), other, 502, 1},
		// The first endpoint again, the one of its cell: a reset says little of it.
		{"keyed, alone in its cell", "close", reset, other, 200, 2},
		{"keyed out of its cell, never ran", "close", peer.Then(peer.Full, peer.Served), other, 200, 2},
		{"unsafe after a reset", "order", reset, nil, 502, 1},
		{"unsafe after an error", "order", peer.Then(peer.Failing, peer.Served), nil, 502, 1},
		{"unsafe, never ran", "order", peer.Then(peer.Full, peer.Served), nil, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// Both names lead to one endpoint: whichever is chosen first, the first attempt ends as scripted.
			e := peer.New(t, c.first)
			second := directory.Ready("s-2", e.Address)
			if c.move != nil {
				second = c.move(second)
			}
			w := start(t, nil, directory.Ready("s-1", e.Address), second)
			got := w.send(w.request(c.class, "x", 3*time.Second))
			if n, _ := e.Seen(); got.code != c.code || n != c.attempts || got.err != nil {
				t.Errorf("answer %d (%v) after %d attempts, want %d after %d", got.code, got.err, n, c.code, c.attempts)
			}
			if got.code == http.StatusOK && got.body != "done" {
				t.Errorf("body %q", got.body)
			}
		})
	}
}

// Each attempt has one outcome, told in order, and the last says that the
// request is settled.
func TestOutcomesAreToldOnceAndInOrder(t *testing.T) {
	e := peer.New(t, peer.Then(peer.Full, peer.Served))
	w := start(t, nil, directory.Ready("s-1", e.Address), directory.Ready("s-2", e.Address))
	w.send(w.request("order", "x", 3*time.Second))
	w.until("two outcomes", func() bool { return len(w.spy.statuses()) >= 2 })
	w.spy.mu.Lock()
	defer w.spy.mu.Unlock()
	if len(w.spy.outcomes) != 2 {
		t.Fatalf("%d outcomes, want 2", len(w.spy.outcomes))
	}
	first, second := w.spy.outcomes[0], w.spy.outcomes[1]
	if first.Attempt != 0 || first.Status != balancer.Full || first.Settled ||
		second.Attempt != 1 || second.Status != balancer.OK || !second.Settled ||
		first.ID != second.ID || first.Endpoint == second.Endpoint {
		t.Errorf("outcomes %+v", w.spy.outcomes)
	}
}

// The final answer to a request whose endpoint keeps silent comes before the
// client's time is up. The balancer learns of a time-out, also where its own
// timer for the same instant calls the attempt off first.
func TestDeadlineAnswer(t *testing.T) {
	for class, code := range map[string]int{"read": 503, "pay": 503, "close": 502, "order": 502} {
		t.Run(class, func(t *testing.T) {
			e := peer.New(t, peer.Silent)
			w := start(t, nil, directory.Ready("s-1", e.Address))
			const left = 400 * time.Millisecond
			sent := w.engine.Now()
			got := w.send(w.request(class, "x", left))
			if got.code != code {
				t.Errorf("answer %d (%v), want %d", got.code, got.err, code)
			}
			w.until("the outcome", func() bool { return len(w.spy.statuses()) > 0 })
			if all := w.spy.statuses(); !slices.Equal(all, []balancer.Status{balancer.Timeout}) {
				t.Errorf("outcomes %v, want one time-out", all)
			}
			w.until("the timer", func() bool {
				w.spy.mu.Lock()
				defer w.spy.mu.Unlock()
				return slices.Contains(w.spy.events, "timer")
			})
			w.do(func() {
				if n, _ := w.engine.Counts(); n != 0 {
					t.Error("the ledger still holds the request")
				}
			})
			var given int64
			given, _ = strconv.ParseInt(e.Request(0).Header.Get("X-Time-Left-Ms"), 10, 64)
			if most := left - intake.AnswerMargin; given <= 0 || given > most.Milliseconds() {
				t.Errorf("the endpoint was given %d ms of %v, want at most %v", given, left, most)
			}
			if took := time.Duration(w.engine.Now()-sent) * time.Microsecond; took < left/2 {
				t.Errorf("the request was given up after %v of %v", took, left)
			}
		})
	}
}

// What the balancer gives up is answered at once, and the client is told when to
// come back.
func TestRefusedAtOnceWithRetryAfter(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Full))
	w := start(t, nil, directory.Ready("s-1", e.Address))
	began := time.Now()
	got := w.send(w.request("read", "", time.Minute))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.code != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1.5 {
		t.Errorf("answer %d, Retry-After %q", got.code, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the answer took %v of a minute", took)
	}
}

// A client that goes away ends its request: the attempt is given up by closing
// its connection, and its outcome is still told, settled.
func TestClientGone(t *testing.T) {
	closed := make(chan struct{})
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		_, _ = in.ReadByte() // until the sidecar closes the connection
		close(closed)
	})
	w := start(t, nil, directory.Ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go w.send(w.request("pay", "x", time.Minute).WithContext(ctx))
	w.until("the attempt", func() bool { n, _ := e.Seen(); return n == 1 })
	cancel()
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the attempt's connection stays open")
	}
	w.until("the outcome", func() bool { return len(w.spy.statuses()) == 1 })
	w.spy.mu.Lock()
	defer w.spy.mu.Unlock()
	if o := w.spy.outcomes[0]; o.Status != balancer.Cancelled || !o.Settled {
		t.Errorf("outcome %+v, want cancelled and settled", o)
	}
	if w.spy.events[0] != "gone" {
		t.Errorf("events %v, want the client's going first", w.spy.events)
	}
}

// A client that has only stopped sending has gone away, too, and must not read
// a whole answer that no endpoint made.
func TestHalfClosedClientGetsNoAnswer(t *testing.T) {
	e := peer.New(t, peer.Silent)
	w := start(t, nil, directory.Ready("s-1", e.Address))
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := w.request("pay", "x", time.Minute).Write(conn); err != nil {
		t.Fatal(err)
	}
	w.until("the attempt", func() bool { n, _ := e.Seen(); return n == 1 })
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); len(got) > 0 {
		t.Errorf("the client read %q (%v)", got, err)
	}
}

// A late answer to a request that has ended is told to the balancer as settled
// and reaches nobody.
func TestLateOutcome(t *testing.T) {
	answer := make(chan struct{})
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		<-answer
		_, _ = io.WriteString(conn, peer.Served)
	})
	// Without leave to cancel, the attempt goes on after its request's end.
	w := start(t, func(s map[string]any) { s["limits"].(map[string]any)["cancel"] = false }, directory.Ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go w.send(w.request("pay", "x", time.Minute).WithContext(ctx))
	w.until("the attempt", func() bool { n, _ := e.Seen(); return n == 1 })
	cancel()
	w.until("the client's going", func() bool {
		w.spy.mu.Lock()
		defer w.spy.mu.Unlock()
		return slices.Contains(w.spy.events, "gone")
	})
	close(answer)
	w.until("the outcome", func() bool { return len(w.spy.statuses()) == 1 })
	w.spy.mu.Lock()
	defer w.spy.mu.Unlock()
	if o := w.spy.outcomes[0]; o.Status != balancer.OK || !o.Settled {
		t.Errorf("outcome %+v, want peer.Served and settled", o)
	}
}

// Malformed requests are answered with what is wrong, and reach no endpoint.
func TestMalformedRequests(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	w := start(t, func(s map[string]any) {
		s["tenants"] = []any{map[string]any{"name": "acme", "share": 1, "allowance-per-s": 10}}
	}, directory.Ready("s-1", e.Address))
	for _, c := range []struct {
		name  string
		alter func(*http.Request)
		code  int
		says  string
	}{
		{"no id", func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, 400, "X-Correlation-Id"},
		{"no class", func(r *http.Request) { r.Header.Del("X-Service-Class") }, 400, "X-Service-Class"},
		{"unknown class", func(r *http.Request) { r.Header.Set("X-Service-Class", "gift") }, 400, "gift"},
		{"no time left", func(r *http.Request) { r.Header.Del("X-Time-Left-Ms") }, 400, "X-Time-Left-Ms"},
		{"bad time left", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "1e3") }, 400, "1e3"},
		{"negative time left", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "-5") }, 400, "-5"},
		{"time left beyond all numbers", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "99999999999999999999") }, 400, "X-Time-Left-Ms"},
		{"no key", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400, "Idempotency-Key"},
		{"wrong method", func(r *http.Request) { r.Method = http.MethodPut }, 405, "POST"},
		{"GET for a class that posts", func(r *http.Request) { r.Method = http.MethodGet }, 405, "POST"},
		{"two classes", func(r *http.Request) { r.Header.Add("X-Service-Class", "read") }, 400, "X-Service-Class"},
		{"two ids", func(r *http.Request) { r.Header.Add("X-Correlation-Id", "9b1f03aa5c7e2d41") }, 400, "X-Correlation-Id"},
		{"two keys", func(r *http.Request) { r.Header.Add("Idempotency-Key", "k") }, 400, "Idempotency-Key"},
		{"an endless id", func(r *http.Request) { r.Header.Set("X-Correlation-Id", strings.Repeat("x", 257)) }, 400, "X-Correlation-Id"},
		{"path of another class", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/read/x", "" }, 400, "path"},
		{"path of no class", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/", "" }, 400, "path"},
		{"time left with a sign", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "+5") }, 400, "+5"},
		{"bad repeat mark", func(r *http.Request) { r.Header.Set("X-Repeat", "often") }, 400, "often"},
		{"negative hint", func(r *http.Request) { r.Header.Set("X-Weight-Hint", "-1") }, 400, "-1"},
		{"bad hint", func(r *http.Request) { r.Header.Set("X-Weight-Hint", "heavy") }, 400, "heavy"},
		{"unknown tenant", func(r *http.Request) { r.Header.Set("X-Account", "nobody") }, 400, "nobody"},
		{"body too large", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", httpmsg.BodyMost+1)))
			r.ContentLength = httpmsg.BodyMost + 1
		}, 413, "65536"},
		{"body too large, of unknown length", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", httpmsg.BodyMost+1)))
			r.ContentLength = -1
		}, 413, "65536"},
	} {
		r := w.request("pay", "x", 3*time.Second)
		r.Header.Set("X-Account", "acme")
		c.alter(r)
		if got := w.send(r); got.code != c.code || !strings.Contains(got.body, c.says) {
			t.Errorf("%s: got %+v (%v), want %d with %q", c.name, got, got.err, c.code, c.says)
		}
	}
	// What other tests' strays bring to this port is none of ours.
	n, _ := e.Seen()
	for i := range n {
		if r := e.Request(i); r.Header.Get("X-Account") != "" {
			t.Errorf("a malformed request reached the endpoint: %s %s %v", r.Method, r.URL, r.Header)
		}
	}
	r := w.request("pay", strings.Repeat("x", httpmsg.BodyMost), 3*time.Second)
	r.Header.Set("X-Account", "acme")
	r.Header.Set("X-Weight-Hint", "90000")
	r.Header.Set("X-Session-Key", "7f3a9c21e0b4d655")
	if got := w.send(r); got.code != http.StatusOK {
		t.Errorf("a well-formed request with the largest body: %+v", got)
	}
}

// An endpoint told draining while a send to it waits for its connection gets
// nothing, and the request goes elsewhere.
func TestDrainDuringDialGoesElsewhere(t *testing.T) {
	first, second := peer.New(t, peer.Always(peer.Served)), peer.New(t, peer.Always(peer.Served))
	dialling, go_ := make(chan struct{}), make(chan struct{})
	w := &world{t: t, dir: directory.New(t, directory.Ready("s-1", first.Address))}
	w.control = func(_, address string, _ syscall.RawConn) error {
		if address == first.Address {
			close(dialling)
			<-go_
		}
		return nil
	}
	w.begin(nil, directory.Ready("s-1", first.Address))
	answer := make(chan reply)
	go func() { answer <- w.send(w.request("order", "x", time.Minute)) }()
	<-dialling
	draining := directory.Ready("s-1", first.Address)
	draining.Health = "Terminating"
	w.dir.Change(func() {
		w.dir.List = directory.Document{Seq: 1, Whole: true, Hosts: []directory.Host{draining, directory.Ready("s-2", second.Address)}}
	})
	w.until("the news", func() bool { return w.spy.count(balancer.ListFull) == 1 })
	close(go_)
	if got := <-answer; got.code != http.StatusOK {
		t.Errorf("answer %+v", got)
	}
	if n, _ := first.Seen(); n != 0 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
	if all := w.spy.statuses(); !slices.Equal(all, []balancer.Status{balancer.NotSent, balancer.OK}) {
		t.Errorf("outcomes %v, want moot and served", all)
	}
}

// After SIGTERM, what was taken is peer.Served, idle connections are closed, new
// ones still come for a while, and the sidecar ends without error.
func TestTermination(t *testing.T) {
	answer := make(chan struct{})
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.Next(in); r != nil; r = e.Next(in) {
			if strings.HasPrefix(r.RequestURI, "/pay") {
				<-answer
			}
			_, _ = io.WriteString(conn, peer.Served)
		}
	})
	w := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = 3 * time.Second // a busy machine may be slow to connect
		o.EndBy = func(time.Duration) time.Duration { return patience }
	}, directory.Ready("s-1", e.Address))
	idle, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	if err := w.request("read", "", time.Minute).Write(idle); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(idle)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		response.Body.Close()
		t.Fatal(err)
	}

	held := make(chan reply)
	go func() { held <- w.send(w.request("pay", "x", time.Minute)) }()
	w.until("the request in hand", func() bool { n, _ := e.Seen(); return n == 2 })
	w.stop()
	if err := idle.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	// New connections are still peer.Served, one request each.
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := w.request("read", "", time.Minute).Write(conn); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	late, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || late.StatusCode != 200 || !late.Close {
		t.Errorf("a request after SIGTERM: %v, %v; want 200 and Connection: close", late, err)
	}
	if err == nil {
		defer late.Body.Close()
	}
	w.until("the end of accepting", func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	close(answer)
	if got := <-held; got.code != http.StatusOK || got.body != "done" {
		t.Errorf("the request in hand: %+v", got)
	}
	w.end()
}
