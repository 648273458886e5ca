package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = playCrowd }

const (
	idleClients  = 700
	crowdSockets = 256 // the fewest that the pages name
	crowdTime    = 600 * time.Millisecond
	// lostAfter is how much later than a request's time its answer may come (STANDING), with the slack of the protocol
	// page.
	lostAfter = 500*time.Millisecond + slack
	// toldSlack is by how much an attempt may overstate the time left (STANDING).
	toldSlack = 150 * time.Millisecond
)

// idleCrowd holds clients that connect and say nothing, and connect again as soon as they are closed.
type idleCrowd struct {
	stop    atomic.Bool
	clients sync.WaitGroup
	closed  atomic.Int64
}

func startIdleCrowd(address string) *idleCrowd {
	c := &idleCrowd{}
	for range idleClients {
		c.clients.Go(func() {
			for !c.stop.Load() {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
				var b [1]byte
				if _, err := conn.Read(b[:]); !isTimeout(err) {
					c.closed.Add(1)
				}
				conn.Close()
			}
		})
	}
	return c
}

// sentTimes holds when each request's last byte was written.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *sentTimes) set(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = time.Now()
}

func (s *sentTimes) get(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[id]
}

// playCrowd lets clients connect by hundreds and say nothing, beside four usual clients.
func playCrowd(r *run) (int, error) {
	sent := sentTimes{at: map[string]time.Time{}}
	var overstated atomic.Int64
	endpoints, hosts, err := startFleet(4, func(a *arrival) bool {
		left := time.Until(sent.get(a.id).Add(crowdTime))
		r.record.add("endpoint %s: %s ran, told %v, %v are left", a.endpoint, a.id, a.timeLeft, left.Round(time.Millisecond))
		if a.timeLeft > left+toldSlack {
			overstated.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
		return a.answerWhole()
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
	class := priceCheck()
	class["give-up"], class["target"] = 1200000, 300000 // a try is given up after half of the class's time
	s, err := startSidecar(r.root, d.address, smallDeployment(class, stallPay(), dayClose()), 64, crowdSockets, list.whole())
	if err != nil {
		return notRun, err
	}
	var crowd *idleCrowd
	if r.trouble {
		crowd = startIdleCrowd(s.listen)
		time.Sleep(time.Second)
	}
	var mu sync.Mutex
	total, good, unread, lost := 0, 0, 0, 0
	var slowest time.Duration
	l := startLoad(r, s.listen, 4, 50*time.Millisecond, 4*time.Second, func(client, n int) request {
		q := request{method: "GET", class: "price-check", id: fmt.Sprintf("%08x%08x", client, n), timeLeft: crowdTime}
		q.written = func() { sent.set(q.id) }
		return q
	}, func(_ request, a answer) {
		mu.Lock()
		defer mu.Unlock()
		total++
		slowest = max(slowest, a.took)
		switch {
		case a.took > crowdTime+lostAfter:
			lost++
		case a.nothing:
			unread++
		default:
			good++
		}
	})
	time.Sleep(12 * time.Second)
	crashed := !s.alive()
	l.end()
	if crowd != nil {
		crowd.stop.Store(true)
	}
	s.end()
	if crowd != nil {
		crowd.clients.Wait()
		r.record.say("%d idle clients were closed %d times", idleClients, crowd.closed.Load())
	}
	r.record.say("%d requests of usual clients, each with %v left: %d answered in time or within %v, %d closed unread, "+
		"%d had neither; the slowest ended after %v", total, crowdTime, good, lostAfter, unread, lost, slowest.Round(time.Millisecond))
	r.record.say("%d attempts told their endpoint over %v more than was left", overstated.Load(), toldSlack)
	if crashed || lost > 0 || overstated.Load() > 0 {
		return broken, nil
	}
	if total < 4 {
		return notRun, nil
	}
	return held, nil
}
