package sidecar

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
)

// Every request in flight at shutdown is answered before the process ends, whatever its deadline: it is
// rejected if a retry is safe, else it fails. So is a request that arrives during shutdown on a connection
// that was opened before it.
func TestShutdownAnswersEveryRequest(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Unresponsive)
	end := make(chan time.Duration, 1)
	h := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = time.Millisecond
		o.EndBy = func(longest time.Duration) time.Duration {
			end <- longest
			return time.Second
		}
	}, fakediscovery.Ready("s-1", e.Address))
	codes := map[string]int{"read": 503, "pay": 503, "close": 502, "order": 502}
	answers := map[string]chan reply{}
	for class := range codes {
		answer := make(chan reply, 1)
		answers[class] = answer
		go func() { answer <- h.send(h.newRequest(class, "x", time.Minute)) }()
	}
	h.waitFor("all attempts", func() bool { return e.RequestCount() == len(codes) })
	h.waitFor("other connections to end", func() bool { return h.server.Connections() == len(codes) })
	early := h.dial() // sends nothing yet
	h.waitFor("the connection to be accepted", func() bool { return h.server.Connections() == len(codes)+1 })
	began := time.Now()
	h.stop()
	if longest := <-end; longest != 3*time.Second {
		t.Errorf("the longest deadline is %v", longest)
	}
	if _, err := io.WriteString(early, h.requestText("order", "x")); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(early), nil)
	if err != nil || response.StatusCode != http.StatusBadGateway || !response.Close {
		t.Errorf("a request during shutdown: %v, %v; want 502 and Connection: close", response, err)
	}
	if err == nil {
		defer response.Body.Close()
	}
	for class, code := range codes {
		if got := <-answers[class]; got.code != code || got.err != nil {
			t.Errorf("%s: response %d (%v), want %d", class, got.code, got.err, code)
		}
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the responses took %v of a minute", took)
	}
	h.waitForEnd()
}

// Lists are still watched during shutdown: an endpoint that starts to drain then gets no new request.
func TestDrainingEndpointGetsNothingDuringShutdown(t *testing.T) {
	first, second := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served)), scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = testTimeout
		o.EndBy = func(time.Duration) time.Duration { return testTimeout }
	}, fakediscovery.Ready("s-1", first.Address))
	h.waitFor("the watch", func() bool { return h.dir.CallCount() >= 2 })
	h.stop()
	h.waitFor("shutdown to begin", func() bool {
		response, err := http.Get(h.url + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	draining := fakediscovery.Ready("s-1", first.Address)
	draining.Health = "Terminating"
	before := len(h.spy.statuses())
	h.dir.Change(func() {
		hosts := []fakediscovery.Host{draining, fakediscovery.Ready("s-2", second.Address)}
		h.dir.List = fakediscovery.Document{Seq: 1, Complete: true, Hosts: hosts}
	})
	h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) == 1 })
	for range 5 {
		if got := h.send(h.newRequest("order", "x", time.Minute)); got.code != http.StatusOK {
			t.Errorf("during shutdown: %+v", got)
		}
	}
	if n := first.RequestCount(); n != 0 || len(h.spy.statuses()) != before+5 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
}
