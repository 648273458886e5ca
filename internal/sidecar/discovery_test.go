package sidecar

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/membership/registry"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
)

// The watch continues from the known version, even if that is 0. Without a version, discovery would send the
// complete list immediately each time and never hold the call open.
func TestWatchContinuesFromKnownVersion(t *testing.T) {
	h, _ := startServing(t)
	h.waitFor("the waiting call", func() bool { return h.dir.CallCount() == 2 })
	queries := h.dir.Queries()
	if queries[0] != "after=0&wait_ms=0" || !strings.HasPrefix(queries[1], "after=0&wait_ms=3500") {
		t.Errorf("discovery queries %q, want the second to wait for 3.5 s", queries)
	}
	// A change is received by the balancer, and the next call asks for newer versions.
	second := newServingEndpoint(t)
	h.dir.SetHosts(7, fakediscovery.Ready("s-2", second.Address))
	h.waitFor("the call after the change", func() bool { return h.dir.CallCount() == 3 })
	h.waitFor("the change", func() bool { return h.spy.listCount(balancer.ListFull) == 1 })
	if got := h.send(h.newRequest("pay", "x", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("after the change: response %+v, want 200", got)
	}
	if n := second.RequestCount(); n != 1 {
		t.Errorf("the endpoint of the new list received %d requests, want 1", n)
	}
	if last := h.dir.Queries()[2]; !strings.HasPrefix(last, "after=7&wait_ms=3500") {
		t.Errorf("the query after the change is %q, want the prefix after=7&wait_ms=3500", last)
	}
}

// While discovery is unavailable or sends invalid lists, the balancer is notified of the failures and the last list
// stays in use. Once discovery has recovered, its list replaces the last one.
func TestLastListServesDuringDiscoveryOutage(t *testing.T) {
	for name, response := range map[string]string{
		"down":          "",
		"not JSON":      "<html>",
		"wrong type":    `{"seq":"x"}`,
		"unknown state": `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"?"}]}`,
		"no address":    `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"Ready","dial":"x"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, _ := startServing(t)
			second := newServingEndpoint(t)
			h.waitFor("the watch", func() bool { return h.dir.CallCount() >= 2 })
			h.dir.Change(func() {
				h.dir.Down = response == ""
				h.dir.InvalidResponse = response
			})
			// The open call is answered without a change; the calls after it fail.
			h.waitFor("the failure and one more", func() bool { return h.spy.listCount(balancer.ListFailed) >= 2 })
			if got := h.send(h.newRequest("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("a request during the outage: got %+v, want status 200", got)
			}
			h.dir.Change(func() {
				h.dir.Down = false
				h.dir.InvalidResponse = ""
				h.dir.List = fakediscovery.Document{
					Seq:      1,
					Complete: true,
					Hosts:    []fakediscovery.Host{fakediscovery.Ready("s-2", second.Address)},
				}
			})
			h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) >= 1 })
			if got := h.send(h.newRequest("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("a request after the outage: got %+v, want status 200", got)
			}
			if n := second.RequestCount(); n != 1 {
				t.Errorf("the endpoint of the new list received %d requests, want 1", n)
			}
		})
	}
}

// Where discovery pushes lists, the balancer does not poll: the sidecar itself watches its local agent, and
// restarts the watch after a failure.
func TestPushedListWatchRestartsAfterFailure(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	push := func(s *testfleet.SidecarSettings) { s.Discovery = testfleet.DiscoveryPushed }
	h := start(t, push, fakediscovery.Ready("s-1", first.Address))
	h.waitFor("the watch", func() bool { return h.dir.CallCount() >= 2 })
	h.dir.SetDown(true)
	h.waitFor("the failure", func() bool { return h.spy.listCount(balancer.ListFailed) >= 1 })
	h.dir.Change(func() {
		h.dir.Down = false
		h.dir.List = fakediscovery.Document{
			Seq:      3,
			Complete: true,
			Hosts:    []fakediscovery.Host{fakediscovery.Ready("s-2", second.Address)},
		}
	})
	h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) >= 1 })
}

// A sidecar without a cached list is not ready until discovery has sent one.
func TestReadyOnlyWithFirstList(t *testing.T) {
	endpoint := newServingEndpoint(t)
	h := &harness{t: t, dir: fakediscovery.New(t)}
	h.dir.SetDown(true)
	h.launch(configure(t, h.dir.Address, nil))
	h.waitFor("a first response", func() bool { return testfleet.Readiness(h.address) != 0 })
	if code := testfleet.Readiness(h.address); code != http.StatusServiceUnavailable {
		t.Errorf("readiness without any list: %d, want 503", code)
	}
	h.dir.Change(func() {
		h.dir.Down = false
		h.dir.List = fakediscovery.Document{
			Seq:      1,
			Complete: true,
			Hosts:    []fakediscovery.Host{fakediscovery.Ready("s-1", endpoint.Address)},
		}
	})
	h.waitFor("ready", func() bool { return testfleet.IsReady(h.address) })
	if first := h.dir.Queries()[0]; first != "" {
		t.Errorf("the first query without any list is %q, want an empty one for the complete list", first)
	}
}

// A new configuration moves the watch to another address: the sidecar requests the complete list from there and
// ignores later lists of the previous address. A request in flight is not affected.
func TestReloadSwitchesDiscovery(t *testing.T) {
	release := make(chan struct{})
	h, first := startWithEndpoint(t, scriptedconn.ServedAfter(release, nil))
	second := newServingEndpoint(t)
	h.waitFor("the watch", func() bool { return h.dir.CallCount() == 2 })
	inFlight := h.sendAsync(h.newRequest("pay", "x", time.Minute))
	h.waitFor("the request in flight", func() bool { return first.RequestCount() == 1 })

	moved := fakediscovery.New(t, fakediscovery.Ready("s-2", second.Address))
	for range 2 { // the same reload again changes nothing
		lists := h.spy.listCount(balancer.ListFull)
		h.inEngine(func() { h.engine.SwitchSource(registry.New(moved.Address, h.cfg.discoveryTiming())) })
		h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) > lists })
	}
	if query := moved.Queries()[0]; query != "" {
		t.Errorf("the first query to the new address is %q, want an empty one for the complete list", query)
	}
	h.waitFor("the new watch", func() bool { return moved.CallCount() >= 3 })
	h.waitFor("the end of the connections to the previous address", func() bool {
		return h.dir.OpenConns.Load() == 0
	})
	if got := h.send(h.newRequest("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("a request to the new list's endpoint: got %+v, want status 200", got)
	}
	if n := second.RequestCount(); n != 1 {
		t.Errorf("the endpoint of the new list received %d requests, want 1", n)
	}
	close(release)
	if got := <-inFlight; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want status 200", got)
	}
}

// An endpoint that starts to drain while a connection to it is being established receives no request; the request is
// sent to another endpoint.
func TestEndpointDrainingDuringDialGetsNothing(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	dialling, proceed := make(chan struct{}), make(chan struct{})
	h := &harness{t: t, dir: fakediscovery.New(t, fakediscovery.Ready("s-1", first.Address))}
	h.dialControl = func(_, address string, _ syscall.RawConn) error {
		if address == first.Address {
			close(dialling)
			<-proceed
		}
		return nil
	}
	h.startReady(nil, fakediscovery.Ready("s-1", first.Address))
	received := h.sendAsync(h.newRequest("order", "x", time.Minute))
	<-dialling
	h.dir.SetHosts(1,
		fakediscovery.Draining("s-1", first.Address),
		fakediscovery.Ready("s-2", second.Address))
	h.waitFor("the new list", func() bool { return h.spy.listCount(balancer.ListFull) == 1 })
	close(proceed)
	if got := <-received; got.code != http.StatusOK {
		t.Errorf("response %+v, want 200", got)
	}
	if n := first.RequestCount(); n != 0 {
		t.Errorf("the draining endpoint received %d requests, want none", n)
	}
	if all := h.settledStatuses(); !slices.Equal(all, []balancer.Status{balancer.NotSent, balancer.OK}) {
		t.Errorf("outcomes %v, want not sent and OK", all)
	}
}
