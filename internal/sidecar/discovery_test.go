package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/membership/registry"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
)

// listCount returns how often the balancer received a list of a kind.
func (s *spy) listCount(kind balancer.ListKind) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.lists {
		if k == kind {
			n++
		}
	}
	return n
}

// The watch continues from the known version, 0 included: without a version, discovery would send the
// complete list at once each time and never hold the call open.
func TestWatchContinuesFromKnownVersion(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h := start(t, nil, fakediscovery.Ready("s-1", e.Address))
	h.waitFor("the waiting call", func() bool { return h.dir.CallCount() == 2 })
	h.dir.Lock()
	calls := slices.Clone(h.dir.Calls)
	h.dir.Unlock()
	if calls[0] != "after=0&wait_ms=0" || !strings.HasPrefix(calls[1], "after=0&wait_ms=3500") {
		t.Errorf("calls %q", calls)
	}
	// A change reaches the balancer; the next call asks for newer versions.
	second := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h.dir.Change(func() {
		h.dir.List = fakediscovery.Document{Seq: 7, Complete: true, Hosts: []fakediscovery.Host{fakediscovery.Ready("s-2", second.Address)}}
	})
	h.waitFor("the call after the change", func() bool { return h.dir.CallCount() == 3 })
	h.waitFor("the change", func() bool { return h.spy.listCount(balancer.ListFull) == 1 })
	if got := h.send(h.newRequest("pay", "x", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("response %+v", got)
	}
	if n := second.RequestCount(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	h.dir.Lock()
	defer h.dir.Unlock()
	if last := h.dir.Calls[2]; !strings.HasPrefix(last, "after=7&wait_ms=3500") {
		t.Errorf("the call after the change: %q", last)
	}
}

// While discovery is down or sends invalid lists, the balancer is notified of it and the last list stays
// in use; once discovery is back, its list replaces the last one.
func TestLastListServesDuringDiscoveryOutage(t *testing.T) {
	for name, broken := range map[string]string{
		"down":          "",
		"not JSON":      "<html>",
		"wrong type":    `{"seq":"x"}`,
		"unknown state": `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"?"}]}`,
		"no address":    `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"Ready","dial":"x"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, second := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served)), scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
			h := start(t, nil, fakediscovery.Ready("s-1", e.Address))
			h.waitFor("the watch", func() bool { return h.dir.CallCount() >= 2 })
			h.dir.Change(func() { h.dir.Down, h.dir.Broken = broken == "", broken })
			// The open call is answered without a change; calls after it fail.
			h.waitFor("the failure and one more", func() bool { return h.spy.listCount(balancer.ListFailed) >= 2 })
			if got := h.send(h.newRequest("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("without discovery: %+v", got)
			}
			h.dir.Change(func() {
				h.dir.Down, h.dir.Broken = false, ""
				hosts := []fakediscovery.Host{fakediscovery.Ready("s-2", second.Address)}
				h.dir.List = fakediscovery.Document{Seq: 1, Complete: true, Hosts: hosts}
			})
			h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) >= 1 })
			if got := h.send(h.newRequest("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("with discovery back: %+v", got)
			}
			if n := second.RequestCount(); n != 1 {
				t.Errorf("the endpoint of the new list got %d requests, want 1", n)
			}
		})
	}
}

// Where lists are pushed the balancer does not poll: the sidecar watches its agent by itself, and starts
// the watch again after a failure.
func TestPushedListWatchRestartsAfterFailure(t *testing.T) {
	e, second := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served)), scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h := start(t, func(s map[string]any) { s["discovery"] = "automatic" }, fakediscovery.Ready("s-1", e.Address))
	h.waitFor("the watch", func() bool { return h.dir.CallCount() >= 2 })
	h.dir.Change(func() { h.dir.Down = true })
	h.waitFor("the failure", func() bool { return h.spy.listCount(balancer.ListFailed) >= 1 })
	h.dir.Change(func() {
		h.dir.Down = false
		h.dir.List = fakediscovery.Document{Seq: 3, Complete: true, Hosts: []fakediscovery.Host{fakediscovery.Ready("s-2", second.Address)}}
	})
	h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) >= 1 })
}

// A sidecar without a cached list is not ready until discovery has sent one.
func TestReadyOnlyWithFirstList(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h := &harness{t: t, dir: fakediscovery.New(t)}
	h.dir.Down = true
	h.launch(configure(t, h.dir.Address, nil))
	status := func() int {
		response, err := http.Get(h.url + "/health/ready")
		if err != nil {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	h.waitFor("a first response", func() bool { return status() != 0 })
	if code := status(); code != http.StatusServiceUnavailable {
		t.Errorf("without any list: %d, want 503", code)
	}
	h.dir.Change(func() {
		h.dir.Down = false
		h.dir.List = fakediscovery.Document{Seq: 1, Complete: true, Hosts: []fakediscovery.Host{fakediscovery.Ready("s-1", e.Address)}}
	})
	h.waitFor("ready", func() bool { return status() == http.StatusOK })
	if last := h.dir.Calls[0]; last != "" {
		t.Errorf("without any list the first call was %q, want one for the complete list", last)
	}
}

// A new configuration moves the watch to another address: its complete list is requested, and later lists
// of the previous address are ignored. A request in flight is not affected.
func TestReloadSwitchesDiscovery(t *testing.T) {
	answer := make(chan struct{})
	e := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			<-answer
			_, _ = io.WriteString(conn, scriptedconn.Served)
		}
	})
	second := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h := start(t, nil, fakediscovery.Ready("s-1", e.Address))
	h.waitFor("the watch", func() bool { return h.dir.CallCount() == 2 })
	inFlight := make(chan reply)
	go func() { inFlight <- h.send(h.newRequest("pay", "x", time.Minute)) }()
	h.waitFor("the request in flight", func() bool { return e.RequestCount() == 1 })

	moved := fakediscovery.New(t, fakediscovery.Ready("s-2", second.Address))
	for range 2 { // the same reload again changes nothing
		lists := h.spy.listCount(balancer.ListFull)
		h.inEngine(func() { h.engine.SwitchSource(registry.New(moved.Address, h.cfg.discoveryTiming())) })
		h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) > lists })
	}
	moved.Lock()
	if first := moved.Calls[0]; first != "" {
		t.Errorf("the first call asked for %q, want the complete list", first)
	}
	moved.Unlock()
	h.waitFor("the new watch", func() bool { return moved.CallCount() >= 3 })
	h.waitFor("the end of the connections to the previous address", func() bool { return h.dir.OpenConns.Load() == 0 })
	if got := h.send(h.newRequest("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("through the new list: %+v", got)
	}
	if n := second.RequestCount(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	close(answer)
	if got := <-inFlight; got.code != http.StatusOK {
		t.Errorf("the request in flight: %+v", got)
	}
}
