package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["repeat"] = lateRepeats }

const (
	repeatTime  = 90 * time.Second
	lostShare   = 0.08                    // of the answers get lost
	keyWindow   = 1500 * time.Millisecond // all servers drop a repeat of stall-pay for this long
	keySlack    = 50 * time.Millisecond   // each time limit is this much longer on sockets
	payGiveUp   = 2500 * time.Millisecond
	payTryShare = 0.5 // of payGiveUp, after which a try is given up
	fixedWait   = 100 * time.Millisecond
	maxRepeats  = 3
)

// memory is what all servers together remember of keys: each key from its first run on, for keyWindow.
type memory struct {
	w    *world
	mu   sync.Mutex
	runs map[string][]run
}

// run is one time that a server did the work of a key, rather than dropping it as a repeat.
type run struct {
	at       time.Time
	id, name string
}

// begin runs a request or drops it as a repeat.
func (m *memory) begin(e *endpoint, in *arrival) {
	if in.class != "stall-pay" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := m.runs[in.key]
	if len(runs) > 0 && in.at.Sub(runs[len(runs)-1].at) < keyWindow {
		m.w.logf("%s: drops %s as a repeat of key %s", e.name, in.id, in.key)
		return
	}
	m.w.logf("%s: runs %s, key %s, for the %d. time", e.name, in.id, in.key, len(runs)+1)
	m.runs[in.key] = append(runs, run{in.at, in.id, e.name})
}

// try is one request of a client.
type try struct {
	sentAt       time.Time // by then its last byte was written
	afterRefusal bool      // the try before it was answered 429 or 503
}

// payer sends stall-pay as the site's clients do: a try is given up after half of the time, and repeated under a new id
// with the same key, unmarked, within the window only. A Retry-After is obeyed.
func payer(c *client, tries *sync.Map, served *atomic.Int64) {
	key := newID() + newID()
	first := time.Now()
	refused := false
	for range 1 + maxRepeats {
		began := time.Now()
		id := newID()
		left := min(time.Duration(payTryShare*float64(payGiveUp)), payGiveUp-began.Sub(first))
		r := c.send("stall-pay", id, key, left)
		tries.Store(id, try{r.sentAt, refused})
		if r.code == 200 {
			served.Add(1)
			return
		}
		refused = r.code == 429 || r.code == 503
		wait := fixedWait
		if seconds, err := strconv.ParseFloat(r.retryAfter, 64); err == nil {
			wait = time.Duration(seconds * float64(time.Second))
		}
		time.Sleep(wait)
		if time.Since(first) >= keyWindow {
			return
		}
	}
}

// lateRepeats: some answers get lost. A keyed request that may have run must be sent again only while the servers
// still remember its key.
func lateRepeats(w *world) (bool, error) {
	endpoints, hosts, err := startFleet(w, 10, false)
	if err != nil {
		return false, err
	}
	m := &memory{w: w, runs: map[string][]run{}}
	for _, e := range endpoints {
		e.begin = m.begin
		e.answer = func(e *endpoint, c *endpointConn, in *arrival) bool {
			if !w.trouble || rand.Float64() >= lostShare {
				return e.plain(c, in)
			}
			e.w.logf("%s: the answer to %s gets lost", e.name, in.id)
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, _ = c.Read(make([]byte, 1)) // silent until the sidecar closes it
			return false
		}
	}
	sidecars, end, err := startSidecars(w, 3, newDiscovery(w, hosts), sokoClasses())
	if err != nil {
		return false, err
	}
	defer end()
	var served atomic.Int64
	var tries sync.Map // by id
	until := time.Now().Add(repeatTime)
	var running sync.WaitGroup
	for _, s := range sidecars {
		c := &client{w: w, address: s.address}
		running.Go(func() {
			arrivals(70, until, func() {
				switch class := drawClass(); class {
				case "stall-pay":
					payer(c, &tries, &served)
				case "day-close":
					c.send(class, newID(), newID()+newID(), 1250*time.Millisecond)
				default:
					c.send(class, newID(), "", 1500*time.Millisecond)
				}
			})
		})
	}
	running.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	twice, other := 0, 0
	for key, runs := range m.runs {
		for _, again := range runs[1:] {
			stored, ok := tries.Load(again.id)
			if !ok {
				return false, fmt.Errorf("unknown id %s", again.id)
			}
			t := stored.(try)
			after, came := again.at.Sub(runs[0].at), t.sentAt.Sub(runs[0].at)
			if !t.afterRefusal && again.id != runs[0].id || came > keyWindow || after <= keyWindow+keySlack {
				other++ // the client's own repeat came too late, or it was not told that a retry is harmless
				continue
			}
			twice++
			w.say("key %s ran for %s, and again %.3f s later for %s, which the sidecar had got %.3f s after the first run", key,
				runs[0].id, after.Seconds(), again.id, came.Seconds())
		}
	}
	w.say("served %d of stall-pay, keys %d, run twice by a late repeat of the sidecar %d, otherwise %d", served.Load(),
		len(m.runs), twice, other)
	if served.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return twice > 0, nil
}
