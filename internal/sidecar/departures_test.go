package sidecar

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/peer"
)

// told says whether the balancer was told of an event of this name.
func (s *spy) told(event string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.events, event)
}

// text is a request as it goes over the wire.
func (w *world) text(class, body string) string {
	w.t.Helper()
	var text bytes.Buffer
	if err := w.request(class, body, time.Minute).Write(&text); err != nil {
		w.t.Fatal(err)
	}
	return text.String()
}

// A client that leaves while its request waits for a connection is not owed an answer, and
// its request is not written once the connection comes up: not either where the settings
// forbid to call attempts off, nor where bytes behind the request hide the departure from
// net/http, which looks for it no more once one has come.
func TestNothingIsWrittenForAClientThatHasLeft(t *testing.T) {
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }
	closed := func(c net.Conn) { c.Close() }
	half := func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }
	for _, c := range []struct {
		name           string
		class          string
		cancel         bool
		within, behind string // bytes behind the request, with it and once it is in hand
		leave          func(net.Conn)
	}{
		{"closed", "order", false, "", "", closed},
		{"closed, with leave to cancel", "order", true, "", "", closed},
		{"reset", "pay", false, "", "", reset},
		{"one direction", "read", false, "", "", half},
		{"a byte behind", "read", false, "", "G", closed},
		{"a byte behind a body", "pay", false, "", "G", closed},
		{"requests behind", "order", false, "", strings.Repeat(payHead+"X-Correlation-Id: 2\r\n\r\n", 5), closed},
		{"requests with it", "read", false, strings.Repeat(readHead+"X-Correlation-Id: 2\r\n\r\n", 5), "", closed},
		{"requests with it and behind, reset", "read", true, readHead + "X-Correlation-Id: 2\r\n\r\n", "GET", reset},
		{"noise", "pay", false, "", strings.Repeat("x", 100<<10), closed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := peer.New(t, peer.Always(peer.Served))
			dialling, comesUp := make(chan struct{}, 1), make(chan struct{})
			w := &world{t: t, dir: directory.New(t, directory.Ready("s-1", e.Address))}
			w.control = func(string, string, syscall.RawConn) error {
				dialling <- struct{}{}
				<-comesUp
				return nil
			}
			w.begin(func(s map[string]any) { s["limits"].(map[string]any)["cancel"] = c.cancel }, directory.Ready("s-1", e.Address))
			conn := w.dial()
			if _, err := io.WriteString(conn, w.text(c.class, "x")+c.within); err != nil {
				t.Fatal(err)
			}
			<-dialling
			if _, err := io.WriteString(conn, c.behind); err != nil {
				t.Fatal(err)
			}
			c.leave(conn)
			w.until("the departure", func() bool { return w.spy.told("gone") })
			close(comesUp)
			w.until("the outcome", func() bool { return len(w.spy.statuses()) == 1 })
			if s := w.spy.statuses()[0]; s != balancer.NotSent {
				t.Errorf("status %v, want Moot", s)
			}
			if n, _ := e.Seen(); n != 0 {
				t.Errorf("%d requests were written after their client left", n)
			}
			w.until("an empty ledger", func() bool {
				n := 0
				w.do(func() { n, _ = w.engine.Counts() })
				return n == 0
			})
		})
	}
}

// What comes behind an open request is served as the next one, byte by byte as it came.
func TestRequestBehindAnOpenOneIsServedNext(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	dialling, comesUp := make(chan struct{}, 9), make(chan struct{})
	w := &world{t: t, dir: directory.New(t, directory.Ready("s-1", e.Address))}
	w.control = func(string, string, syscall.RawConn) error {
		dialling <- struct{}{}
		<-comesUp
		return nil
	}
	w.begin(nil, directory.Ready("s-1", e.Address))
	conn := w.dial()
	if _, err := io.WriteString(conn, w.text("pay", "first")); err != nil {
		t.Fatal(err)
	}
	<-dialling
	next := w.text("pay", "next")
	for len(next) > 0 {
		n := min(7, len(next))
		if _, err := io.WriteString(conn, next[:n]); err != nil {
			t.Fatal(err)
		}
		next = next[n:]
	}
	close(comesUp)
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn) // both answers may come in one piece
	for range 2 {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(r.Body); err != nil || r.StatusCode != http.StatusOK || string(body) != "done" {
			t.Fatalf("got %d %q, %v", r.StatusCode, body, err)
		}
		r.Body.Close()
	}
	w.until("both", func() bool { n, _ := e.Seen(); return n == 2 })
	for n, want := range []string{"first", "next"} {
		if body, _ := io.ReadAll(e.Request(n).Body); string(body) != want {
			t.Errorf("request %d has body %q, want %q", n, body, want)
		}
	}
}

// A keyed request that may have run is not written again once its key may be forgotten,
// however long its connection takes to come up.
func TestNoRepetitionIsWrittenAfterItsWindow(t *testing.T) {
	e := peer.New(t, peer.Then(peer.Failing, peer.Served))
	// Both names lead to one endpoint: whichever is chosen first fails.
	hosts := []directory.Host{directory.Ready("s-1", e.Address), directory.Ready("s-2", e.Address)}
	w := &world{t: t, dir: directory.New(t, hosts...)}
	const window = 2 * time.Second // longer than a busy machine takes from the first outcome to the resend
	dials := make(chan struct{}, 9)
	w.control = func(string, string, syscall.RawConn) error {
		if dials <- struct{}{}; len(dials) == 2 { // the resend's, to the other one
			time.Sleep(window + window/4)
		}
		return nil
	}
	w.begin(func(s map[string]any) {
		s["limits"].(map[string]any)["dial-timeout"] = (4 * window).Microseconds()
		pay := s["classes"].([]any)[1].(map[string]any)
		pay["window"], pay["give-up"] = window.Microseconds(), (10 * window).Microseconds()
	}, hosts...)
	got := w.send(w.request("pay", "x", time.Minute))
	if n, _ := e.Seen(); n != 1 || got.code != http.StatusBadGateway {
		t.Errorf("%d attempts were written, answer %d; want 1 and 502", n, got.code)
	}
	if all := w.spy.statuses(); !slices.Equal(all, []balancer.Status{balancer.Error, balancer.NotSent}) {
		t.Errorf("outcomes %v, want an error and one never sent", all)
	}
}
