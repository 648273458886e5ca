package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["length"] = playLength }

// playLength lets endpoints answer without a length: the end of the connection, closed in an orderly way, ends the body.
func playLength(r *run) (int, error) {
	var mu sync.Mutex
	whole := map[string]string{} // answers that came whole, by id
	endpoints, hosts, err := startFleet(4, func(a *arrival) bool {
		r.record.add("endpoint %s: %s ran", a.endpoint, a.id)
		time.Sleep(20 * time.Millisecond)
		if !r.trouble {
			return a.answerWhole()
		}
		body := a.goodBody()
		if _, err := fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", body); err == nil {
			mu.Lock()
			whole[a.id] = body
			mu.Unlock()
		}
		return false // an orderly close
	})
	if err != nil {
		return notRun, err
	}
	for _, e := range endpoints {
		defer e.close()
	}
	list := newFleetList(hosts)
	d, err := startDiscovery(list, r.record)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	order := object{
		"name": "order", "repeat": "side_effect", "group": "all", "window": 0, "credit": 3.0,
		"give-up": 2500000, "target": 1200000, "late-value": 0.3, "stream": false,
	}
	s, err := startSidecar(r.root, d.address, smallDeployment(priceCheck(), stallPay(), dayClose(), order), 128, 1024, list.whole())
	if err != nil {
		return notRun, err
	}
	defer s.end()
	var sent, served, failed, wrong int
	l := startLoad(r, s.listen, 3, 100*time.Millisecond, time.Second, func(client, n int) request {
		return request{
			method: "POST", class: "order", id: fmt.Sprintf("%08x%08x", client, n), timeLeft: 1500 * time.Millisecond,
			body: "one stall",
		}
	}, func(q request, a answer) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		switch {
		case a.code == 200 && (!r.trouble || a.body == whole[q.id]):
			served++
		case a.code == 200:
			wrong++
		default:
			failed++
		}
	})
	time.Sleep(12 * time.Second)
	l.end()
	mu.Lock()
	defer mu.Unlock()
	r.record.say("%d requests, %d answers without a length that came whole; %d answered with it, %d with another, %d failed or refused",
		sent, len(whole), served, wrong, failed)
	if sent == 0 || r.trouble && len(whole) == 0 {
		return notRun, nil
	}
	if wrong > 0 || r.trouble && 2*served < len(whole) || !r.trouble && served < sent*9/10 {
		return broken, nil
	}
	return held, nil
}
