package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request whose last byte has come to an endpoint.
type arrival struct {
	endpoint string
	id       string
	key      string
	timeLeft time.Duration
	first    time.Time // its first byte
	at       time.Time // its last byte
	conn     net.Conn
	body     []byte
}

// endpoint is a server that answers each request by calling serve, which reports whether the connection stays open.
type endpoint struct {
	name     string
	address  string
	listener net.Listener
	serve    func(*arrival) (keep bool)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startEndpoint(name string, serve func(*arrival) bool) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		name: name, address: listener.Addr().String(), listener: listener, serve: serve, conns: map[net.Conn]bool{},
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.handle(c)
		}
	}()
	return e, nil
}

func (e *endpoint) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// idleTime is after how long an endpoint closes a resting connection, as the settings tell (limits.keepalive).
const idleTime = 5 * time.Second

func (e *endpoint) handle(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTime))
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		id := request.Header.Get("X-Correlation-Id")
		switch {
		case request.URL.Path == "/stats":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\nfailed_ps=0,pending=0")
			continue
		case request.URL.Path == "/health/live":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		case id == "":
			fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		left, _ := strconv.Atoi(request.Header.Get("X-Time-Left-Ms"))
		if !e.serve(&arrival{
			endpoint: e.name, id: id, key: request.Header.Get("Idempotency-Key"),
			timeLeft: time.Duration(left) * time.Millisecond, first: first, at: time.Now(), conn: c, body: body,
		}) {
			return
		}
	}
}

// answerWhole writes a good answer.
func (a *arrival) answerWhole() bool {
	body := a.goodBody()
	_, err := fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// goodBody is the answer made for a request.
func (a *arrival) goodBody() string { return "done " + a.id + " by " + a.endpoint + "\n" }

// startFleet starts endpoints s-0, s-1 and so on, two to a cell, and returns them with their entries.
func startFleet(n int, serve func(*arrival) bool) ([]*endpoint, []host, error) {
	var endpoints []*endpoint
	var hosts []host
	for i := range n {
		e, err := startEndpoint(fmt.Sprint("s-", i), serve)
		if err != nil {
			return endpoints, hosts, err
		}
		endpoints = append(endpoints, e)
		hosts = append(hosts, host{
			Host: e.name, Dial: e.address, Site: "arusha", Class: "big-box", Block: i / 2, Health: "Ready", Share: 1,
		})
	}
	return endpoints, hosts, nil
}
