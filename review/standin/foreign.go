package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = foreignAnswers }

const (
	foreignTime     = 90 * time.Second
	secondShare     = 0.15                 // of the answers that are followed by a second copy
	secondAfterLow  = 3 * time.Millisecond // when the second copy follows
	secondAfterHigh = 9 * time.Millisecond
)

// foreignAnswers: answers are followed by a second copy some milliseconds later, when nothing else waits on the
// connection. A client must never be served with anything but the answer made for its request.
func foreignAnswers(w *world) (bool, error) {
	endpoints, hosts, err := startFleet(w, 10, true)
	if err != nil {
		return false, err
	}
	var copies atomic.Int64
	for _, e := range endpoints {
		e.answer = func(e *endpoint, c *endpointConn, in *arrival) bool {
			keep := e.plain(c, in)
			if keep && w.trouble && rand.Float64() < secondShare {
				after := secondAfterLow + time.Duration(rand.Float64()*float64(secondAfterHigh-secondAfterLow))
				time.AfterFunc(after, func() {
					c.mu.Lock()
					defer c.mu.Unlock()
					if c.waiting || c.serial != in.serial {
						return
					}
					copies.Add(1)
					_, _ = c.Write(answerText(in.body))
					e.w.logf("%s: second copy of the answer to %s, %.1f ms after the first", e.name, in.id,
						after.Seconds()*1000)
				})
			}
			return keep
		}
	}
	sidecars, end, err := startSidecars(w, 3, newDiscovery(w, hosts), sokoClasses())
	if err != nil {
		return false, err
	}
	defer end()
	var served, foreign atomic.Int64
	until := time.Now().Add(foreignTime)
	var running sync.WaitGroup
	for _, s := range sidecars {
		c := &client{w: w, address: s.address}
		running.Go(func() {
			arrivals(70, until, func() {
				id, class, key := newID(), drawClass(), ""
				if class != "price-check" {
					key = newID() + newID()
				}
				r := c.send(class, id, key, 2500*time.Millisecond)
				if r.code != 200 {
					return
				}
				served.Add(1)
				if !strings.HasPrefix(r.body, "answer to "+id+" ") {
					foreign.Add(1)
					w.say("request %s, class %s, was served with %q", id, class, strings.TrimSpace(r.body))
				}
			})
		})
	}
	running.Wait()
	w.say("served %d, second copies %d, served with the answer to another request %d", served.Load(), copies.Load(), foreign.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return foreign.Load() > 0, nil
}
