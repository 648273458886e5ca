package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests from some clients, each on a kept connection, until it is stopped.
type load struct {
	stop    atomic.Bool
	workers sync.WaitGroup
	sent    atomic.Int64
	served  atomic.Int64
}

// startLoad starts clients that send one request after the other, with a pause between them.
func startLoad(r *run, address string, clients int, pause time.Duration, patience time.Duration,
	next func(client, n int) request, ended func(request, answer)) *load {
	l := &load{}
	for i := range clients {
		l.workers.Go(func() {
			c := &client{address: address}
			defer c.close()
			for n := 0; !l.stop.Load(); n++ {
				q := next(i, n)
				l.sent.Add(1)
				a := c.send(q, patience)
				if a.code == 200 {
					l.served.Add(1)
				}
				r.record.add("client %d: %s answered %d after %v %v", i, q.id, a.code, a.took.Round(time.Millisecond), errText(a.err))
				if ended != nil {
					ended(q, a)
				}
				time.Sleep(pause)
			}
		})
	}
	return l
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// end stops the clients and waits for them.
func (l *load) end() {
	l.stop.Store(true)
	l.workers.Wait()
}

// priceCheckRequest returns a request of the class price-check.
func priceCheckRequest(client, n int) request {
	return request{
		method: "GET", class: "price-check", id: fmt.Sprintf("%08x%08x", client, n), timeLeft: 1500 * time.Millisecond,
	}
}
