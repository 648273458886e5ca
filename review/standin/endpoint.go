package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a server. It works on a request for a time that its kind and the request's class give.
type endpoint struct {
	w     *world
	name  string
	speed float64
	slots chan struct{}
	queue atomic.Int64
	// answer is called when a request has been worked on, with the body of its answer. It writes the answer and returns
	// false to end the connection. If nil, a plain 200 is written.
	answer func(e *endpoint, c *endpointConn, in *arrival) bool
	// begin is called when the last byte of a request has come.
	begin func(e *endpoint, in *arrival)
}

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	net.Conn
	mu      sync.Mutex
	serial  int  // requests read so far
	waiting bool // a request has been read and not been answered
}

// arrival is a request that has come to an endpoint whole.
type arrival struct {
	at     time.Time
	id     string
	class  string
	key    string
	body   string // of the answer
	serial int
}

// startEndpoint starts a server and returns it with its address.
func startEndpoint(w *world, name string, cores int, speed float64) (*endpoint, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	e := &endpoint{w: w, name: name, speed: speed, slots: make(chan struct{}, cores)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(&endpointConn{Conn: c})
		}
	}()
	return e, l.Addr().String(), nil
}

// workOf returns the work of a request, as time on a standard core.
func workOf(class string) time.Duration {
	low, high := 91.0, 160.0
	switch class {
	case "stall-pay":
		low, high = 75, 140
	case "day-close":
		low, high = 140, 260
	}
	return time.Duration((low + rand.Float64()*(high-low)) * float64(time.Millisecond))
}

// idleTime is the time after which a server closes a resting connection.
const idleTime = 5 * time.Second

func (e *endpoint) serve(c *endpointConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTime))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.URL.Path == "/stats" || request.URL.Path == "/health/live" {
			text := fmt.Sprintf("failed_ps=0,pending=%d", e.queue.Load())
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
				return
			}
			continue
		}
		c.mu.Lock()
		c.serial++
		c.waiting = true
		in := &arrival{at: time.Now(), id: request.Header.Get("X-Correlation-Id"), serial: c.serial,
			class: request.Header.Get("X-Service-Class"), key: request.Header.Get("Idempotency-Key")}
		c.mu.Unlock()
		in.body = fmt.Sprintf("answer to %s by %s\n", in.id, e.name)
		e.w.logf("%s: request %s class %s key %q, number %d on its connection, %s ms left", e.name, in.id, in.class, in.key,
			in.serial, request.Header.Get("X-Time-Left-Ms"))
		if e.begin != nil {
			e.begin(e, in)
		}
		e.queue.Add(1)
		e.slots <- struct{}{}
		e.queue.Add(-1)
		time.Sleep(time.Duration(float64(workOf(in.class)) / e.speed))
		<-e.slots
		keep := true
		if e.answer != nil {
			keep = e.answer(e, c, in)
		} else {
			keep = e.plain(c, in)
		}
		if !keep {
			return
		}
	}
}

// plain writes an ordinary answer.
func (e *endpoint) plain(c *endpointConn, in *arrival) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	_, err := c.Write(answerText(in.body))
	e.w.logf("%s: answered %s", e.name, in.id)
	return err == nil
}

// answerText returns a 200 with a body.
func answerText(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
