package sidecar

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/peer"
)

// What is in hand when the process has to end has its one final answer first, whatever time its
// client has left: a refusal where coming again is harmless, else a failure. So has what comes
// while it ends, on a connection that its client opened before and has said nothing on yet.
func TestAllIsAnsweredBeforeTheEnd(t *testing.T) {
	e := peer.New(t, peer.Silent)
	end := make(chan time.Duration, 1)
	w := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = time.Millisecond
		o.EndBy = func(longest time.Duration) time.Duration {
			end <- longest
			return time.Second
		}
	}, directory.Ready("s-1", e.Address))
	codes := map[string]int{"read": 503, "pay": 503, "close": 502, "order": 502}
	answers := map[string]chan reply{}
	for class := range codes {
		answer := make(chan reply, 1)
		answers[class] = answer
		go func() { answer <- w.send(w.request(class, "x", time.Minute)) }()
	}
	w.until("all attempts", func() bool { n, _ := e.Seen(); return n == len(codes) })
	w.until("other connections to end", func() bool { return w.server.Connections() == len(codes) })
	early := w.dial() // says nothing yet
	w.until("its acceptance", func() bool { return w.server.Connections() == len(codes)+1 })
	began := time.Now()
	w.stop()
	if longest := <-end; longest != 3*time.Second {
		t.Errorf("the longest deadline is taken for %v", longest)
	}
	if _, err := io.WriteString(early, w.text("order", "x")); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(early), nil)
	if err != nil || response.StatusCode != http.StatusBadGateway || !response.Close {
		t.Errorf("what came while it ended: %v, %v; want 502 and Connection: close", response, err)
	}
	if err == nil {
		defer response.Body.Close()
	}
	for class, code := range codes {
		if got := <-answers[class]; got.code != code || got.err != nil {
			t.Errorf("%s: answer %d (%v), want %d", class, got.code, got.err, code)
		}
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the answers took %v of a minute", took)
	}
	w.end()
}

// Lists go on to be watched while the service ends: what begins to drain then gets nothing new.
func TestDrainsAreHonouredWhileEnding(t *testing.T) {
	first, second := peer.New(t, peer.Always(peer.Served)), peer.New(t, peer.Always(peer.Served))
	w := startWith(t, nil, func(o *httpfront.Options) {
		o.AcceptFor = patience
		o.EndBy = func(time.Duration) time.Duration { return patience }
	}, directory.Ready("s-1", first.Address))
	w.until("the watch", func() bool { return w.dir.Count() >= 2 })
	w.stop()
	w.until("the end to have begun", func() bool {
		response, err := http.Get(w.url + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	draining := directory.Ready("s-1", first.Address)
	draining.Health = "Terminating"
	lists := len(w.spy.statuses())
	w.dir.Change(func() {
		w.dir.List = directory.Document{Seq: 1, Whole: true, Hosts: []directory.Host{draining, directory.Ready("s-2", second.Address)}}
	})
	w.until("the news", func() bool { return w.spy.count(balancer.ListFull) == 1 })
	for range 5 {
		if got := w.send(w.request("order", "x", time.Minute)); got.code != http.StatusOK {
			t.Errorf("while it ends: %+v", got)
		}
	}
	if n, _ := first.Seen(); n != 0 || len(w.spy.statuses()) != lists+5 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
}
