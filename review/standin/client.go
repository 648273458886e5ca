package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// client is the application beside one sidecar. It sends one request at a time on a connection, keeps connections and
// opens more when all are busy.
type client struct {
	w       *world
	address string

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	rested time.Time
}

// maxRest is how long the client lets a connection rest before it drops it.
const maxRest = 1500 * time.Millisecond

// reply is what the client got for one request.
type reply struct {
	code       int // 0 for no answer
	body       string
	retryAfter string
	err        error
	sentAt     time.Time // when the last byte was written
	at         time.Time
}

// newID returns a new id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// take returns a resting connection, or a new one.
func (c *client) take(fresh bool) (conn *clientConn, reused bool, err error) {
	c.mu.Lock()
	for !fresh && len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.rested) < maxRest {
			c.mu.Unlock()
			return last, true, nil
		}
		last.Close()
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, false, nil
}

// send sends one request and waits for its answer, for as long as its header says.
func (c *client) send(class, id, key string, left time.Duration) reply {
	method, headers, body := "GET", "", ""
	if class != "price-check" {
		body = "amount=1500&currency=TZS"
		method, headers = "POST", fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if key != "" {
			headers += "Idempotency-Key: " + key + "\r\n"
		}
	}
	text := fmt.Sprintf("%s /%s/stalls HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Time-Left-Ms: %d\r\n%s\r\n%s", method, class, id, class, left.Milliseconds(), headers, body)
	c.w.logf("client: request %s class %s key %q, waits %d ms", id, class, key, left.Milliseconds())
	end := time.Now().Add(left)
	r, crossed := c.exchange(text, end, false)
	if crossed { // the sidecar closed the connection between requests
		r, _ = c.exchange(text, end, true)
	}
	c.w.logf("client: request %s got %d %q retry-after %q err %v", id, r.code, strings.TrimSpace(r.body), r.retryAfter, r.err)
	return r
}

// exchange writes a request and reads its answer. crossed reports that a reused connection ended with nothing received.
func (c *client) exchange(text string, end time.Time, fresh bool) (r reply, crossed bool) {
	conn, reused, err := c.take(fresh)
	if err != nil {
		return reply{err: err, at: time.Now()}, false
	}
	// An answer at the client's own time still counts within the rule's slack of half a second; the client leaves then.
	_ = conn.SetDeadline(end)
	_, err = io.WriteString(conn, text)
	r.sentAt = time.Now()
	if err == nil {
		_, err = conn.reader.Peek(1)
	}
	if err != nil {
		conn.Close()
		timeout, _ := err.(net.Error)
		r.err, r.at = err, time.Now()
		return r, reused && !(timeout != nil && timeout.Timeout())
	}
	response, err := http.ReadResponse(conn.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	r.at = time.Now()
	if err != nil {
		conn.Close()
		r.err = err
		return r, false
	}
	r.code, r.body, r.retryAfter = response.StatusCode, string(body), response.Header.Get("Retry-After")
	if response.Close {
		conn.Close()
		return r, false
	}
	conn.rested = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return r, false
}

// classes of the site with their share of the requests.
func drawClass() string {
	switch x := rand.Float64(); {
	case x < 0.47:
		return "price-check"
	case x < 0.81:
		return "stall-pay"
	}
	return "day-close"
}

// arrivals calls f on a goroutine of its own at random times, rate times a second on average, until a time. It returns
// when all calls have returned.
func arrivals(rate float64, until time.Time, f func()) {
	var running sync.WaitGroup
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		running.Go(f)
	}
	running.Wait()
}
