package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is how a request of a client ended.
type answer struct {
	code int // 0 without a whole answer
	body string
	err  error
	took time.Duration // from the request's last byte
	sent time.Time     // when the last byte was written

	// nothing is set if the connection was closed or reset before any byte of an answer: the client sends the request
	// once more on a new one.
	nothing bool
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// client is one connection of the application, which carries one request at a time.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request is what the application asks for.
type request struct {
	method, class, id, key string
	timeLeft               time.Duration
	body                   string

	written func() // called with the last byte, if not nil
}

func (r request) text() string {
	text := fmt.Sprintf("%s /%s/item HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Time-Left-Ms: %d\r\n", r.method, r.class, r.id, r.class, r.timeLeft.Milliseconds())
	if r.key != "" {
		text += "Idempotency-Key: " + r.key + "\r\n"
	}
	if r.method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return text + "\r\n" + r.body
}

// send sends a request and waits for its answer, until patience after its time. A request whose kept connection was
// closed with nothing read is sent once more on a new one.
func (c *client) send(r request, patience time.Duration) answer {
	kept := c.conn != nil
	a := c.try(r, patience)
	if kept && a.nothing {
		a = c.try(r, patience)
	}
	return a
}

func (c *client) try(r request, patience time.Duration) (a answer) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, 2*time.Second)
		if err != nil {
			return answer{err: err, sent: time.Now()}
		}
		c.conn = conn
		c.in = bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.timeLeft + patience))
	if r.written != nil {
		r.written() // the endpoint may have the request before the write returns
	}
	_, err := io.WriteString(c.conn, r.text())
	a.sent = time.Now()
	defer func() { a.took = time.Since(a.sent) }()
	if err != nil {
		c.close()
		a.err = err
		a.nothing = !isTimeout(err)
		return a
	}
	if _, err := c.in.Peek(1); err != nil {
		c.close()
		a.err = err
		a.nothing = !isTimeout(err)
		return a
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.close()
		a.err = err
		return a
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.close()
		a.err = err
		return a
	}
	a.code = response.StatusCode
	a.body = string(body)
	if response.Close {
		c.close()
	}
	return a
}
