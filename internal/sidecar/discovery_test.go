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
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/peer"
)

// count says how often the balancer was told a list of a kind.
func (s *spy) count(kind balancer.ListKind) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.lists {
		if k == kind {
			n++
		}
	}
	return n
}

// The watch goes on from the version known, 0 included: asked without one,
// discovery would answer with the whole list each time and never wait.
func TestWatchGoesOnFromTheVersionKnown(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	w := start(t, nil, directory.Ready("s-1", e.Address))
	w.until("the waiting call", func() bool { return w.dir.Count() == 2 })
	w.dir.Lock()
	calls := slices.Clone(w.dir.Calls)
	w.dir.Unlock()
	if calls[0] != "after=0&wait_ms=0" || !strings.HasPrefix(calls[1], "after=0&wait_ms=3500") {
		t.Errorf("calls %q", calls)
	}
	// A change reaches the balancer; the next call asks for what is newer.
	second := peer.New(t, peer.Always(peer.Served))
	w.dir.Change(func() {
		w.dir.List = directory.Document{Seq: 7, Whole: true, Hosts: []directory.Host{directory.Ready("s-2", second.Address)}}
	})
	w.until("the call after the change", func() bool { return w.dir.Count() == 3 })
	w.until("the change", func() bool { return w.spy.count(balancer.ListFull) == 1 })
	if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("answer %+v", got)
	}
	if n, _ := second.Seen(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	w.dir.Lock()
	defer w.dir.Unlock()
	if last := w.dir.Calls[2]; !strings.HasPrefix(last, "after=7&wait_ms=3500") {
		t.Errorf("the call after the change: %q", last)
	}
}

// While discovery is down, or talks nonsense, the balancer is told so and the
// last list serves; when it is back, its list replaces the old one.
func TestDiscoveryDownAndBack(t *testing.T) {
	for name, broken := range map[string]string{
		"down": "", "not JSON": "<html>", "wrong type": `{"seq":"x"}`, "unknown state": `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"?"}]}`,
		"no address": `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"Ready","dial":"x"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, second := peer.New(t, peer.Always(peer.Served)), peer.New(t, peer.Always(peer.Served))
			w := start(t, nil, directory.Ready("s-1", e.Address))
			w.until("the watch", func() bool { return w.dir.Count() >= 2 })
			w.dir.Change(func() { w.dir.Down, w.dir.Broken = broken == "", broken })
			// The change itself is answered with the news that there is none; calls after it fail.
			w.until("the failure and one more", func() bool { return w.spy.count(balancer.ListFailed) >= 2 })
			if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("without discovery: %+v", got)
			}
			w.dir.Change(func() {
				w.dir.Down, w.dir.Broken = false, ""
				w.dir.List = directory.Document{Seq: 1, Whole: true, Hosts: []directory.Host{directory.Ready("s-2", second.Address)}}
			})
			w.until("the new list", func() bool { return w.spy.count(balancer.ListFull) >= 1 })
			if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("with discovery back: %+v", got)
			}
			if n, _ := second.Seen(); n != 1 {
				t.Errorf("the endpoint of the new list got %d requests, want 1", n)
			}
		})
	}
}

// Where lists are pushed the balancer never asks: the sidecar watches its agent
// by itself, and begins again after a failure.
func TestPushedLists(t *testing.T) {
	e, second := peer.New(t, peer.Always(peer.Served)), peer.New(t, peer.Always(peer.Served))
	w := start(t, func(s map[string]any) { s["discovery"] = "automatic" }, directory.Ready("s-1", e.Address))
	w.until("the watch", func() bool { return w.dir.Count() >= 2 })
	w.dir.Change(func() { w.dir.Down = true })
	w.until("the failure", func() bool { return w.spy.count(balancer.ListFailed) >= 1 })
	w.dir.Change(func() {
		w.dir.Down = false
		w.dir.List = directory.Document{Seq: 3, Whole: true, Hosts: []directory.Host{directory.Ready("s-2", second.Address)}}
	})
	w.until("the new list", func() bool { return w.spy.count(balancer.ListFull) >= 1 })
}

// A sidecar that knows no endpoint is not ready until discovery has named one.
func TestReadyWithTheFirstList(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	w := &world{t: t, dir: directory.New(t)}
	w.dir.Down = true
	w.launch(configure(t, w.dir.Address, nil))
	status := func() int {
		response, err := http.Get(w.url + "/health/ready")
		if err != nil {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	w.until("a first answer", func() bool { return status() != 0 })
	if code := status(); code != http.StatusServiceUnavailable {
		t.Errorf("without any list: %d, want 503", code)
	}
	w.dir.Change(func() {
		w.dir.Down = false
		w.dir.List = directory.Document{Seq: 1, Whole: true, Hosts: []directory.Host{directory.Ready("s-1", e.Address)}}
	})
	w.until("ready", func() bool { return status() == http.StatusOK })
	if last := w.dir.Calls[0]; last != "" {
		t.Errorf("without any list the first call was %q, want one for the whole list", last)
	}
}

// A new configuration moves the watch: the new address is asked for its whole
// list, and nothing that the old one says later counts. A request in hand stays.
func TestReloadMovesTheWatch(t *testing.T) {
	answer := make(chan struct{})
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			<-answer
			_, _ = io.WriteString(conn, peer.Served)
		}
	})
	second := peer.New(t, peer.Always(peer.Served))
	w := start(t, nil, directory.Ready("s-1", e.Address))
	w.until("the watch", func() bool { return w.dir.Count() == 2 })
	held := make(chan reply)
	go func() { held <- w.send(w.request("pay", "x", time.Minute)) }()
	w.until("the request in hand", func() bool { n, _ := e.Seen(); return n == 1 })

	moved := directory.New(t, directory.Ready("s-2", second.Address))
	for range 2 { // it may come again
		lists := w.spy.count(balancer.ListFull)
		w.do(func() { w.engine.SwitchSource(registry.New(moved.Address, w.cfg.pace())) })
		w.until("the new list", func() bool { return w.spy.count(balancer.ListFull) > lists })
	}
	moved.Lock()
	if first := moved.Calls[0]; first != "" {
		t.Errorf("the first call asked for %q, want the whole list", first)
	}
	moved.Unlock()
	w.until("the new watch", func() bool { return moved.Count() >= 3 })
	w.until("the end of the old client's connections", func() bool { return w.dir.Conns.Load() == 0 })
	if got := w.send(w.request("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("through the new list: %+v", got)
	}
	if n, _ := second.Seen(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	close(answer)
	if got := <-held; got.code != http.StatusOK {
		t.Errorf("the request in hand: %+v", got)
	}
}
