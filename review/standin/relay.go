package main

import (
	"math/rand/v2"
	"net"
	"time"
)

// relay delays what passes between a sidecar and an endpoint at another site, by a time drawn for each message
// between low and high. Order is kept, and nothing is lost.
type relay struct{ low, high time.Duration }

// startRelay starts a relay to an address and returns its own address.
func startRelay(to string, low, high time.Duration) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &relay{low, high}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				server, err := net.Dial("tcp", to)
				if err != nil {
					client.Close()
					return
				}
				go r.pass(server, client)
				r.pass(client, server)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// message is a piece of a connection's bytes on its way; nil bytes are the end.
type message struct {
	due   time.Time
	bytes []byte
}

// pass passes on what one side sends, until it ends.
func (r *relay) pass(from, to net.Conn) {
	queue := make(chan message, 1024)
	go func() {
		for m := range queue {
			time.Sleep(time.Until(m.due))
			if m.bytes == nil {
				break
			}
			if _, err := to.Write(m.bytes); err != nil {
				break
			}
		}
		to.Close()
		from.Close()
		for range queue { // the reader must not block
		}
	}()
	defer close(queue)
	var last time.Time
	for {
		buffer := make([]byte, 64<<10)
		n, err := from.Read(buffer)
		due := time.Now().Add(r.low + time.Duration(rand.Float64()*float64(r.high-r.low)))
		if due.Before(last) {
			due = last
		}
		last = due
		if n > 0 {
			queue <- message{due, buffer[:n]}
		}
		if err != nil {
			queue <- message{due, nil}
			return
		}
	}
}
