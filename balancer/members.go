package balancer

import "slices"

// UpdateEndpoints handles discovery's news.
func (b *Balancer) UpdateEndpoints(now Micros, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.subscribed = false
		b.log(now, "discovery failed")
		b.retryAsk(now)
		return
	}
	told, whole := kind == ListDelta || kind == ListFull, kind == ListFull || kind == ListCached
	if told && b.s.PollDiscovery {
		b.subscribed, b.askWait = true, 0
	}
	b.lists++
	for _, e := range b.list {
		e.seen = false
	}
	// A thousand balancers that each probed all that is new would fill it with probes alone.
	few := b.s.Balancers <= max(len(b.list), len(entries))
	for i := range entries {
		b.entry(now, &entries[i], few)
	}
	b.list = slices.DeleteFunc(b.list, func(e *endpoint) bool {
		if whole && !e.seen {
			e.State = Removed
		}
		return b.forgotten(e)
	})
	b.listed = b.listed || told || !b.s.PollDiscovery
}

// forgotten drops an endpoint that is gone with nothing out there, and says so.
func (b *Balancer) forgotten(e *endpoint) bool {
	forget := e.State == Removed && e.inflight == 0
	if forget && b.byID[e.ID] == e {
		delete(b.byID, e.ID)
	}
	return forget
}

// cleanUp drops an endpoint if it is to be forgotten: the next list may be long in coming.
func (b *Balancer) cleanUp(e *endpoint) {
	if b.forgotten(e) {
		b.list = slices.DeleteFunc(b.list, func(o *endpoint) bool { return o == e })
	}
}

func (b *Balancer) entry(now Micros, in *Endpoint, probe bool) {
	e := b.byID[in.ID]
	fresh := e == nil
	if fresh {
		e = &endpoint{}
		b.byID[in.ID] = e
		b.list = append(b.list, e)
	}
	restarted := !fresh && in.StartTime != 0 && in.StartTime != e.StartTime
	if restarted {
		// A new process owes nothing to the old one's record.
		*e = endpoint{inflight: e.inflight}
	}
	started := in.StartTime
	if started == 0 && fresh && b.listed {
		started = now // it appeared while we watched
	}
	e.Endpoint, e.seen = *in, true
	b.largest = max(b.largest, float64(e.Weight))
	if started != 0 && now-started < b.s.Contract.SlowStartTime && (fresh || restarted) {
		// A quiet balancer takes minutes to earn one send: all start somewhere on that way, or none would send
		// anything while the endpoint is cold.
		e.isCold, e.coldFrom, e.roomAt = true, min(started, now), now
		e.room = b.rng.float() * coldCharge * b.classes[0].work.v
	}
	if probe && (fresh || restarted) {
		b.probe(now, e)
	}
}

// A cold endpoint gets at most a share of its warmth's part of our own mean work per warm endpoint. All
// balancers doing so, their sum stays under what it can do; none needs to know of the others. Each send
// is charged a little more than its work, for the handshake that it may cost.
const (
	coldShare  = 0.28 // of the multiple at which it falls over
	coldCharge = 1.15
	kindMost   = 1.6  // times the mean, at most, for a faster kind: how many cores it has is not told
	probeShare = 0.01 // of a request's work, taken from a cold endpoint's room by a probe
)

// coldRoom refills the token bucket of a cold endpoint and says whether a request of this work fits.
func (b *Balancer) coldRoom(now Micros, e *endpoint, work float64) bool {
	var warm, ready float64
	for _, o := range b.list {
		ready += share(o.State == Ready)
		warm += share(o.State == Ready && !o.cold(now, b))
	}
	rate := b.sentWork.rate(now)
	if warm == 0 { // nothing to compare with: an even share of what is asked
		warm, rate = ready, b.demand.rate(now)*work
	}
	fill := min(1, coldShare*b.s.Contract.OverloadMultiple) * e.warmth(now, b) * rate / max(1, warm)
	// What the others do is the mean of all kinds; this one can do more, or less.
	fill *= min(kindMost, max(1/kindMost, b.fleet.or(1)/b.kinds[e.Kind].or(b.fleet.or(1))))
	most := max(fill*float64(b.s.Contract.OverloadTime)/float64(second)/2, work*coldCharge)
	e.room = min(most, e.room+fill*float64(now-e.roomAt)/float64(second))
	e.roomAt = now
	return e.room >= work*coldCharge
}

func (b *Balancer) askIn(now, delay Micros) {
	b.askAt = now + delay
	b.out.Timer(delay, tokenDiscovery)
}

func (b *Balancer) ask(now Micros) {
	if b.s.PollDiscovery && !b.subscribed && now >= b.askAt {
		b.out.Watch(true)
		// The answer may be lost, and without one we would never hear again.
		b.askIn(now, 1+b.s.Contract.PollInterval/2+b.rng.below(b.s.Contract.PollInterval/4))
	}
}

// retryAsk asks discovery again, later each time and never in step with others.
func (b *Balancer) retryAsk(now Micros) {
	if b.s.PollDiscovery {
		b.askWait = min(max(2*b.askWait, b.s.Contract.PollInterval/20), b.s.Contract.PollInterval/4)
		b.askIn(now, 1+b.askWait/2+b.rng.below(b.askWait))
	}
}
