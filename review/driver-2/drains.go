package main

import (
	"sync"
	"time"
)

// Bounds of the rule on drains: settings (contract.drain-grace) and the protocol page (50 ms longer).
const (
	drainGrace = 2 * time.Second
	slack      = 50 * time.Millisecond
)

// drainLog holds the requests that came to one endpoint.
type drainLog struct {
	mu       sync.Mutex
	arrivals []time.Time // first bytes
}

func (l *drainLog) add(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, at)
}

// after returns the requests that began to arrive after an instant, and the last of all.
func (l *drainLog) after(limit time.Time) (late int, last time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.arrivals {
		if at.After(limit) {
			late++
		}
		if at.After(last) {
			last = at
		}
	}
	return late, last
}

// drainFleet is a small fleet of which s-1 is going to drain, with discovery.
type drainFleet struct {
	log       drainLog
	endpoints []*endpoint
	list      *fleetList
}

func newDrainFleet(r *run) (*drainFleet, error) {
	f := &drainFleet{}
	var hosts []host
	var err error
	f.endpoints, hosts, err = startFleet(4, func(a *arrival) bool {
		if a.endpoint == "s-1" {
			f.log.add(a.first)
		}
		r.record.add("endpoint %s: %s ran", a.endpoint, a.id)
		time.Sleep(20 * time.Millisecond)
		return a.answerWhole()
	})
	f.list = newFleetList(hosts)
	return f, err
}

func (f *drainFleet) close() {
	for _, e := range f.endpoints {
		e.close()
	}
}

// judge reports whether s-1 got a request later than the grace after the latest instant at which its drain counts as
// told.
func (f *drainFleet) judge(r *run, told time.Time) int {
	limit := told.Add(drainGrace + slack)
	late, last := f.log.after(limit)
	r.record.say("the drain of s-1 counts as told at %v ms at the latest; nothing new may come from %v ms on",
		told.Sub(r.record.start).Milliseconds(), limit.Sub(r.record.start).Milliseconds())
	r.record.say("s-1 got its last request at %v ms, and %d after the limit",
		last.Sub(r.record.start).Milliseconds(), late)
	if late > 0 {
		return broken
	}
	return held
}
