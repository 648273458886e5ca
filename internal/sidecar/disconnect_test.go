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
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
)

// requestText is a request with a minute left, as it is written to a connection.
func (h *harness) requestText(class, body string) string {
	h.t.Helper()
	var text bytes.Buffer
	if err := h.newRequest(class, body, time.Minute).Write(&text); err != nil {
		h.t.Fatal(err)
	}
	return text.String()
}

// A client that disconnects while its request waits for a connection gets no response, and its request
// is not written once the connection is established: not even if the settings forbid to cancel attempts,
// or if bytes behind the request hide the disconnect from net/http, which stops watching the connection
// once a byte has arrived.
func TestRequestOfDisconnectedClientIsNotWritten(t *testing.T) {
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }
	closed := func(c net.Conn) { c.Close() }
	half := func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }
	for _, c := range []struct {
		name           string
		class          string
		cancel         bool
		within, behind string // bytes behind the request, sent with it and once it is in flight
		disconnect     func(net.Conn)
	}{
		{"closed", "order", false, "", "", closed},
		{"closed, cancelling permitted", "order", true, "", "", closed},
		{"reset", "pay", false, "", "", reset},
		{"half-closed", "read", false, "", "", half},
		{"a byte behind", "read", false, "", "G", closed},
		{"a byte behind a body", "pay", false, "", "G", closed},
		{"requests behind", "order", false, "", strings.Repeat(payHeaders+"X-Correlation-Id: 2\r\n\r\n", 5), closed},
		{"requests with it", "read", false, strings.Repeat(readHeaders+"X-Correlation-Id: 2\r\n\r\n", 5), "", closed},
		{"requests with it and behind, reset", "read", true, readHeaders + "X-Correlation-Id: 2\r\n\r\n", "GET", reset},
		{"noise", "pay", false, "", strings.Repeat("x", 100<<10), closed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
			dialling, established := make(chan struct{}, 1), make(chan struct{})
			h := &harness{t: t, dir: fakediscovery.New(t, fakediscovery.Ready("s-1", e.Address))}
			h.dialControl = func(string, string, syscall.RawConn) error {
				dialling <- struct{}{}
				<-established
				return nil
			}
			h.startReady(func(s map[string]any) {
				s["limits"].(map[string]any)["cancel"] = c.cancel
			}, fakediscovery.Ready("s-1", e.Address))
			conn := h.dial()
			if _, err := io.WriteString(conn, h.requestText(c.class, "x")+c.within); err != nil {
				t.Fatal(err)
			}
			<-dialling
			if _, err := io.WriteString(conn, c.behind); err != nil {
				t.Fatal(err)
			}
			c.disconnect(conn)
			h.waitFor("the disconnect", func() bool { return h.spy.hasEvent(clientDisconnected) })
			close(established)
			h.waitFor("the outcome", func() bool { return len(h.spy.statuses()) == 1 })
			if s := h.spy.statuses()[0]; s != balancer.NotSent {
				t.Errorf("status %v, want NotSent", s)
			}
			if n := e.RequestCount(); n != 0 {
				t.Errorf("%d requests were written after their client disconnected", n)
			}
			h.waitFor("no request in flight", func() bool {
				n := 0
				h.inEngine(func() { n, _ = h.engine.Counts() })
				return n == 0
			})
		})
	}
}

// Bytes that arrive behind a request in flight are served as the next request, unchanged.
func TestPipelinedRequestIsServedNext(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	dialling, established := make(chan struct{}, 9), make(chan struct{})
	h := &harness{t: t, dir: fakediscovery.New(t, fakediscovery.Ready("s-1", e.Address))}
	h.dialControl = func(string, string, syscall.RawConn) error {
		dialling <- struct{}{}
		<-established
		return nil
	}
	h.startReady(nil, fakediscovery.Ready("s-1", e.Address))
	conn := h.dial()
	if _, err := io.WriteString(conn, h.requestText("pay", "first")); err != nil {
		t.Fatal(err)
	}
	<-dialling
	next := h.requestText("pay", "next")
	for len(next) > 0 {
		n := min(7, len(next))
		if _, err := io.WriteString(conn, next[:n]); err != nil {
			t.Fatal(err)
		}
		next = next[n:]
	}
	close(established)
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn) // both responses may arrive in one segment
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
	h.waitFor("both requests", func() bool { return e.RequestCount() == 2 })
	for n, want := range []string{"first", "next"} {
		if body, _ := io.ReadAll(e.Request(n).Body); string(body) != want {
			t.Errorf("request %d has body %q, want %q", n, body, want)
		}
	}
}

// A request with an idempotency key that may have run is not written again once the dedup window of its
// key is over, however long the connection takes to be established.
func TestRetryIsNotWrittenAfterDedupWindow(t *testing.T) {
	e := scriptedconn.New(t, scriptedconn.FirstThen(scriptedconn.Failing, scriptedconn.Served))
	// Both names have the address of one endpoint: whichever is chosen first fails.
	hosts := []fakediscovery.Host{fakediscovery.Ready("s-1", e.Address), fakediscovery.Ready("s-2", e.Address)}
	h := &harness{t: t, dir: fakediscovery.New(t, hosts...)}
	const window = 2 * time.Second // longer than a busy machine takes from the first outcome to the retry
	dials := make(chan struct{}, 9)
	h.dialControl = func(string, string, syscall.RawConn) error {
		if dials <- struct{}{}; len(dials) == 2 { // the retry's, to the other name
			time.Sleep(window + window/4)
		}
		return nil
	}
	h.startReady(func(s map[string]any) {
		s["limits"].(map[string]any)["dial-timeout"] = (4 * window).Microseconds()
		pay := s["classes"].([]any)[1].(map[string]any)
		pay["window"], pay["give-up"] = window.Microseconds(), (10 * window).Microseconds()
	}, hosts...)
	got := h.send(h.newRequest("pay", "x", time.Minute))
	if n := e.RequestCount(); n != 1 || got.code != http.StatusBadGateway {
		t.Errorf("%d attempts were written, response %d; want 1 and 502", n, got.code)
	}
	if all := h.spy.statuses(); !slices.Equal(all, []balancer.Status{balancer.Error, balancer.NotSent}) {
		t.Errorf("outcomes %v, want an error and one never sent", all)
	}
}
