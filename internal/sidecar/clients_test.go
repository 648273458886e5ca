package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pinedale/internal/front/httpfront"
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/peer"
)

func (w *world) dial() net.Conn {
	w.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		w.t.Fatal(err)
	}
	return conn
}

// raw sends bytes on a new connection and returns all that comes until its end.
func (w *world) raw(text string) string {
	w.t.Helper()
	conn := w.dial()
	_, _ = io.WriteString(conn, text) // a refused head may end the connection before its body is written
	got, err := io.ReadAll(conn)
	if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
		w.t.Errorf("the connection stays open; so far: %q", got)
	}
	return string(got)
}

const payHead = "POST /pay HTTP/1.1\r\nHost: api\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 3000\r\nIdempotency-Key: k\r\n"
const readHead = "GET /read HTTP/1.1\r\nHost: api\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 3000\r\n"

// A request can hide in the body of one whose length is stated in two ways. The
// head that decides is turned away, and nothing behind it is ever read as a
// request. net/http shows its handlers no trace of the second length.
func TestNoRequestHidesInABody(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	w := start(t, nil, directory.Ready("s-1", e.Address))
	hidden := readHead + "X-Correlation-Id: 2\r\n\r\n"
	body := "0\r\n\r\n" + hidden
	for name, head := range map[string]string{
		"length first":   fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body)),
		"coding first":   fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(body)),
		"in small print": fmt.Sprintf("transfer-encoding:chunked\ncontent-length:%d\n", len(body)),
	} {
		got := w.raw(payHead + "X-Correlation-Id: 1\r\n" + head + "\r\n" + body)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 400") || !strings.Contains(got, "Transfer-Encoding") {
			t.Errorf("%s: got %q", name, got)
		}
	}
	// The same after a request, where net/http skips empty lines.
	conn := w.dial()
	in := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, payHead+"X-Correlation-Id: 3\r\nContent-Length: 2\r\n\r\nok"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(in, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("a good request: %v, %v", response, err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	_, _ = fmt.Fprintf(conn, "\r\n%sX-Correlation-Id: 4\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", payHead, len(body), body)
	rest, _ := io.ReadAll(in)
	if strings.Count(string(rest), "HTTP/1.1") != 1 || !strings.HasPrefix(string(rest), "HTTP/1.1 400") {
		t.Errorf("after an empty line: got %q", rest)
	}
	if n, _ := e.Seen(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want the good one", n)
	}
}

// A body in chunks alone is good HTTP/1.1 and is served. Its connection ends
// with it, as it does where more came than the one request.
func TestChunkedAndCrowdedRequests(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	w := start(t, nil, directory.Ready("s-1", e.Address))
	for name, text := range map[string]string{
		"chunked": payHead + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"more behind": payHead + "X-Correlation-Id: 2\r\nContent-Length: 4\r\n\r\nbody" +
			readHead + "X-Correlation-Id: 3\r\n\r\n",
	} {
		got := w.raw(text)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Errorf("%s: got %q", name, got)
		}
	}
	if n, _ := e.Seen(); n != 2 {
		t.Errorf("%d requests reached the endpoint, want 2", n)
	}
	for i := range 2 {
		if body, _ := io.ReadAll(e.Request(i).Body); string(body) != "body" {
			t.Errorf("the endpoint got the body %q", body)
		}
	}
}

// What can't be a request is turned away before its body is read, or closed on.
func TestRubbish(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	w := start(t, nil, directory.Ready("s-1", e.Address))
	for name, c := range map[string]struct{ text, want string }{
		"a length beyond the limit": {payHead + "X-Correlation-Id: 1\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 413"},
		"a negative length":         {payHead + "X-Correlation-Id: 1\r\nContent-Length: -3\r\n\r\nabc", "HTTP/1.1 400"},
		"two lengths":               {payHead + "X-Correlation-Id: 1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "HTTP/1.1 400"},
		"a broken chunk":            {payHead + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc", "HTTP/1.1 400"},
		"a GET with a body":         {readHead + "X-Correlation-Id: 1\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 400"},
		"noise":                     {"\x16\x03\x01\x02\r\n\r\n", "HTTP/1.1 400"},
		"a head without end":        {payHead + "X-Pad: " + strings.Repeat("p", 100<<10), "HTTP/1.1 431"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := w.raw(c.text); !strings.HasPrefix(got, c.want) && got != "" { // a reset may swallow the answer
				t.Errorf("got %q, want %s", got, c.want)
			}
		})
	}
	t.Cleanup(func() {
		if n, _ := e.Seen(); n != 0 {
			t.Errorf("%d of them reached the endpoint", n)
		}
	})
}

// Clients that say nothing, too little, or nothing more are closed on in time.
// 3 s are the most that they may stay, so 2.9 s is what the limits are held to.
func TestSilentClientsAreClosed(t *testing.T) {
	for _, limit := range []time.Duration{httpfront.ReadTimeout, httpfront.IdleTimeout} {
		if limit < 2*time.Second || limit > 2900*time.Millisecond {
			t.Errorf("limit of %v", limit)
		}
	}
	e := peer.New(t, peer.Always(peer.Served))
	w := start(t, nil, directory.Ready("s-1", e.Address))
	for name, c := range map[string]struct{ text, want string }{
		"nothing":          {"", ""},
		"half a head":      {payHead, ""},
		"half a body":      {payHead + "X-Correlation-Id: 1\r\nContent-Length: 9\r\n\r\nabc", "HTTP/1.1 400"},
		"one request only": {readHead + "X-Correlation-Id: 2\r\n\r\n", "HTTP/1.1 200"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := w.raw(c.text); !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// The deadline for reading a request must be gone once it is read: net/http
// takes its passing for the client's going and ends the request's context.
func TestAnswerLaterThanTheReadTimeout(t *testing.T) {
	t.Parallel()
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			time.Sleep(httpfront.ReadTimeout + 300*time.Millisecond)
			_, _ = io.WriteString(conn, peer.Served)
		}
	})
	w := start(t, nil, directory.Ready("s-1", e.Address))
	for class, body := range map[string]string{"read": "", "pay": "x"} {
		if got := w.send(w.request(class, body, time.Minute)); got.code != http.StatusOK {
			t.Errorf("%s: got %+v", class, got)
		}
	}
}

// An id that is open here belongs to that request alone.
func TestSecondRequestWithAnOpenID(t *testing.T) {
	answer := make(chan struct{})
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			<-answer
			_, _ = io.WriteString(conn, peer.Served)
		}
	})
	w := start(t, nil, directory.Ready("s-1", e.Address))
	first, same := make(chan reply), w.request("pay", "", time.Minute)
	go func() { first <- w.send(same.Clone(context.Background())) }()
	w.until("the first to be taken", func() bool { n, _ := e.Seen(); return n == 1 })
	if got := w.send(same.Clone(context.Background())); got.code != http.StatusConflict {
		t.Errorf("the second: %+v", got)
	}
	close(answer)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the first: %+v", got)
	}
	if got := w.send(same); got.code != http.StatusOK {
		t.Errorf("once it is free again: %+v", got)
	}
}

// Silent connections must not keep others out, nor use up the descriptors that
// attempts need: beyond the limit the longest silent one is closed. One with a
// request open is not.
func TestConnectionsOfClientsAreBounded(t *testing.T) {
	answer := make(chan struct{})
	e := peer.New(t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.Next(in); r != nil; r = e.Next(in) {
			if strings.HasPrefix(r.RequestURI, "/pay") {
				<-answer
			}
			_, _ = io.WriteString(conn, peer.Served)
		}
	})
	w := start(t, nil, directory.Ready("s-1", e.Address))
	first := make(chan reply)
	go func() { first <- w.send(w.request("pay", "x", time.Minute)) }()
	w.until("the first to be taken", func() bool { n, _ := e.Seen(); return n == 1 })
	w.until("other connections to end", func() bool { return w.server.Connections() == 1 })
	oldest := w.dial()
	w.until("the oldest", func() bool { return w.server.Connections() == 2 })
	for range w.most - 2 {
		w.dial()
	}
	w.until("all room to be taken", func() bool { return w.server.Connections() == w.most })
	if got := w.send(w.request("read", "", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("beyond the limit: %+v", got)
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the longest silent connection can still be read")
	} else if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
		t.Error("the longest silent connection stays open")
	}
	if n := w.server.Connections(); n > w.most {
		t.Errorf("%d connections, limit %d", n, w.most)
	}
	close(answer)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the request that was open: %+v", got)
	}
}

// Clients that ask once and keep the connection must not hold all that clients
// may have: beyond a part of it, an answer ends its connection.
func TestAnswersEndConnectionsWhenCrowded(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	const crowded = 3 // few enough for all requests to come before a connection has been idle for long
	w := startWith(t, nil, func(o *httpfront.Options) { o.Crowded = crowded }, directory.Ready("s-1", e.Address))
	w.until("other connections to end", func() bool { return w.server.Connections() == 0 })
	for i := range crowded + 3 {
		conn := w.dial()
		if err := w.request("read", "", time.Minute).Write(conn); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", i, response, err)
		}
		response.Body.Close()
		if want := i >= crowded; response.Close != want {
			t.Fatalf("request %d: Connection: close %v, want %v", i, response.Close, want)
		}
		if response.Close {
			w.until("the end of the connection", func() bool { return w.server.Connections() == crowded })
		}
	}
}

// Bodies are bounded together: what is too much is refused before it is read.
func TestBodiesAreBounded(t *testing.T) {
	e := peer.New(t, peer.Always(peer.Served))
	w := startWith(t, nil, func(o *httpfront.Options) { o.BodyBytes = 20 }, directory.Ready("s-1", e.Address))
	if got := w.send(w.request("pay", strings.Repeat("x", 21), 3*time.Second)); got.code != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("beyond the limit: %+v", got)
	}
	for range 2 { // what one took is given back
		if got := w.send(w.request("pay", strings.Repeat("x", 20), 3*time.Second)); got.code != http.StatusOK {
			t.Errorf("within it: %+v", got)
		}
	}
}
