package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// Every request in flight at shutdown is answered before the process ends, whatever its deadline: it is
// rejected if a retry is safe, else it fails. The same holds for a request that arrives during shutdown on a
// connection that was opened before.
func TestShutdownAnswersEveryRequest(t *testing.T) {
	endpoint := scriptedconn.New(t, scriptedconn.Unresponsive)
	end := make(chan time.Duration, 1)
	h := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = time.Millisecond
		o.DrainTimeout = func(longest time.Duration) time.Duration {
			end <- longest
			return time.Second
		}
	}, fakediscovery.Ready("s-1", endpoint.Address))
	codes := map[string]int{"read": 503, "pay": 503, "close": 502, "order": 502}
	received := map[string]<-chan reply{}
	for class := range codes {
		received[class] = h.sendAsync(h.newRequest(class, "x", time.Minute))
	}
	h.waitFor("all attempts", func() bool { return endpoint.RequestCount() == len(codes) })
	h.waitFor("other connections to end", func() bool { return h.server.Connections() == len(codes) })
	early := h.dial() // sends nothing yet
	h.waitFor("the connection to be accepted", func() bool { return h.server.Connections() == len(codes)+1 })
	began := time.Now()
	h.stop()
	if longest := <-end; longest != 3*time.Second {
		t.Errorf("the longest deadline is %v, want 3s", longest)
	}
	h.mustWrite(early, h.requestText("order", "x"))
	response, err := http.ReadResponse(bufio.NewReader(early), nil)
	if err != nil || response.StatusCode != http.StatusBadGateway || !response.Close {
		t.Errorf("a request during shutdown: %v, %v; want 502 and Connection: close", response, err)
	}
	if err == nil {
		defer response.Body.Close()
	}
	for class, code := range codes {
		if got := <-received[class]; got.code != code || got.err != nil {
			t.Errorf("%s: response %d (%v), want %d", class, got.code, got.err, code)
		}
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the responses took %v, want less than half of the requests' minute", took)
	}
	h.waitForEnd()
}

// Endpoint lists are still watched during shutdown: an endpoint that starts to drain then receives no new request.
func TestDrainingEndpointGetsNothingDuringShutdown(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	h := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = wait.Timeout
		o.DrainTimeout = func(time.Duration) time.Duration { return wait.Timeout }
	}, fakediscovery.Ready("s-1", first.Address))
	h.waitFor("the watch", func() bool { return h.dir.CallCount() >= 2 })
	h.stop()
	h.waitFor("shutdown to begin", func() bool {
		return testfleet.Readiness(h.address) == http.StatusServiceUnavailable
	})
	before := len(h.settledStatuses())
	h.dir.SetHosts(1,
		fakediscovery.Draining("s-1", first.Address),
		fakediscovery.Ready("s-2", second.Address))
	h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) == 1 })
	for range 5 {
		if got := h.send(h.newRequest("order", "x", time.Minute)); got.code != http.StatusOK {
			t.Errorf("a request during shutdown: got %+v, want status 200", got)
		}
	}
	if n := first.RequestCount(); n != 0 || len(h.settledStatuses()) != before+5 {
		t.Errorf("the draining endpoint received %d requests, want none, and an outcome of each of 5 requests", n)
	}
}

// After SIGTERM, accepted requests are answered, idle connections are closed, new connections are still
// accepted for a limited time, and the sidecar ends without an error.
func TestSIGTERMAnswersOpenRequests(t *testing.T) {
	answer := make(chan struct{})
	endpoint := scriptedconn.New(t, scriptedconn.ServedAfter(answer, isPay))
	h := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = 3 * time.Second // a busy machine may be slow to connect
		o.DrainTimeout = func(time.Duration) time.Duration { return wait.Timeout }
	}, fakediscovery.Ready("s-1", endpoint.Address))
	idle := h.dial()
	h.mustWrite(idle, h.requestText("read", ""))
	in := bufio.NewReader(idle)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		response.Body.Close()
		t.Fatal(err)
	}

	inFlight := h.sendAsync(h.newRequest("pay", "x", time.Minute))
	h.waitFor("the request in flight", func() bool { return endpoint.RequestCount() == 2 })
	h.stop()
	if err := idle.SetReadDeadline(time.Now().Add(wait.Timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("read on the idle connection: %v, want EOF", err)
	}
	// New connections are still served, one request each.
	conn := h.dial()
	h.mustWrite(conn, h.requestText("read", ""))
	if err := conn.SetReadDeadline(time.Now().Add(wait.Timeout)); err != nil {
		t.Fatal(err)
	}
	late, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || late.StatusCode != 200 || !late.Close {
		t.Errorf("a request after SIGTERM: %v, %v; want 200 and Connection: close", late, err)
	}
	if err == nil {
		defer late.Body.Close()
	}
	h.waitFor("the end of accepting connections", func() bool {
		conn, err := net.Dial("tcp", h.address)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	close(answer)
	if got := <-inFlight; got.code != http.StatusOK || got.body != "done" {
		t.Errorf("the request in flight: got %+v, want status 200 and the endpoint's body", got)
	}
	h.waitForEnd()
}
