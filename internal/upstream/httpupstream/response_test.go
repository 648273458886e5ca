package httpupstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/attempt"
)

func TestProbeReadsLoadReport(t *testing.T) {
	report := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for _, c := range []struct {
		name, response string
		status         balancer.Status
		load           []float32 // -1 for NaN
	}{
		{"both fields, in any order", report("pending=7,failed_ps=0.5\n"), balancer.OK, []float32{0.5, 7}},
		{"one field and unknown ones", report("util=0.3,pending=2"), balancer.OK, []float32{-1, 2}},
		{"a malformed value", report("pending=many,failed_ps=1,,=,x"), balancer.OK, []float32{1, -1}},
		{"a repeated field", report("pending=1,failed_ps=2,pending=3"), balancer.OK, []float32{2, -1}},
		{"values out of range", report("pending=1e30,failed_ps=-1"), balancer.OK, []float32{-1, -1}},
		{"values that are not finite", report("pending=NaN,failed_ps=+Inf"), balancer.OK, []float32{-1, -1}},
		{"an empty report", report(""), balancer.OK, nil},
		{"rejected", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", balancer.Error, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := scriptedconn.New(t, scriptedconn.Always(c.response))
			u := newTestUpstream(1)
			r := attempt.Probe(context.Background(), u.attempt, &engine.Target{Address: e.Address}, u.loadFields)
			for i, v := range r.Load {
				if v != v {
					r.Load[i] = -1
				}
			}
			if r.Status != c.status || !slices.Equal(r.Load, c.load) {
				t.Errorf("status %v, load %v; want %v, %v", r.Status, r.Load, c.status, c.load)
			}
			if path := e.Request(0).RequestURI; path != "/stats" {
				t.Errorf("requested %s, want /stats", path)
			}
		})
	}
}

// A connection that delivered bytes beyond one response is not reused, whether they arrive with the
// response or after the connection was released: the next request would otherwise get another
// request's response.
func TestExcessBytesAreNotTakenForTheNextResponse(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			excess := make(chan struct{})
			e := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
				for r := e.Next(in); r != nil; r = e.Next(in) {
					response := strings.Replace(scriptedconn.Served, "done", r.URL.Path[1:5], 1)
					if !late {
						response += response
					}
					_, _ = io.WriteString(conn, response)
					if late {
						<-excess
						_, _ = io.WriteString(conn, response)
					}
				}
			})
			u, target := newTestUpstream(4), &engine.Target{Address: e.Address}
			r := u.attempt(context.Background(), target, get("/one."))
			if r.Status != balancer.OK || string(r.Body) != "one." {
				t.Fatalf("first request: status %v, body %q; want OK, %q", r.Status, r.Body, "one.")
			}
			close(excess)
			if late {
				wait.Until(t, "the excess bytes to arrive", func() bool { return !u.idleConns[target][0].isAlive() })
			}
			r = u.attempt(context.Background(), target, get("/two."))
			if r.Status != balancer.OK || string(r.Body) != "two." {
				t.Errorf("second request: status %v, body %q; want OK, %q", r.Status, r.Body, "two.")
			}
			if conns := e.ConnCount(); conns != 2 {
				t.Errorf("%d connections, want 2", conns)
			}
		})
	}
}

// The response timeout starts with a response's first byte: a response may begin late, also after an
// interim one.
func TestSlowResponsesAreAwaited(t *testing.T) {
	for name, first := range map[string]string{
		"plain":                     "",
		"after an interim response": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		e := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
			for e.Next(in) != nil {
				_, _ = io.WriteString(conn, first)
				time.Sleep(2 * responseTimeout)
				_, _ = io.WriteString(conn, scriptedconn.Served)
			}
		})
		u, target := newTestUpstream(1), &engine.Target{Address: e.Address}
		for range 2 { // on a new connection and on a used one
			if r := u.attempt(context.Background(), target, get("/")); r.Status != balancer.OK {
				t.Errorf("%s: status %v, want OK", name, r.Status)
			}
		}
		if conns := e.ConnCount(); conns != 1 {
			t.Errorf("%s: %d connections, want 1", name, conns)
		}
	}
}

// A cancelled attempt ends, even if its response sets deadlines afterwards: an interim response
// clears the deadline, a first byte sets a later one.
func TestInterruptEndsReadingDuringAResponse(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	e := scriptedconn.New(t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		_, _ = io.WriteString(conn, interim)
		_, _ = in.ReadByte() // blocks until the other side closes
	})
	for name, read := range map[string]func(*conn) error{
		"between interim responses": func(c *conn) error {
			_, _, err := c.receive(context.Background(), &engine.Message{Method: http.MethodGet})
			return err
		},
		"at the first byte": func(c *conn) error {
			c.setReadDeadline(time.Now().Add(time.Hour))
			_, err := c.Read(make([]byte, 1))
			return err
		},
	} {
		c, err := newTestUpstream(1).dial(context.Background(), &engine.Target{Address: e.Address})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.responseLimit.N = 1 << 10
		if _, err := c.reader.Peek(len(interim)); err != nil {
			t.Fatal(err)
		}
		c.interrupt() // as when the attempt's context ends after these bytes have arrived
		ended := make(chan error, 1)
		go func() { ended <- read(c) }()
		select {
		case err := <-ended:
			if err == nil {
				t.Errorf("%s: got a response, but none was sent", name)
			}
		case <-time.After(wait.Timeout):
			t.Errorf("%s: the attempt has not ended after %v", name, wait.Timeout)
		}
	}
}
