package app

import (
	"time"

	"pinedale/balancer"
	"pinedale/internal/certstore"
	"pinedale/internal/upstream/secure"
)

// Keys returns the counters of the certificate stores by the name of their [[keys]] entry.
func (i *Instance) Keys() map[string]certstore.Counters {
	counters := map[string]certstore.Counters{}
	for name, store := range i.stores {
		counters[name] = store.Counters()
	}
	return counters
}

// HandshakeCounters returns the counters of handshakes with servers; ok is false if the upstream is plain text.
func (i *Instance) HandshakeCounters() (counters secure.Counters, ok bool) {
	if i.upstreamTLS == nil {
		return counters, false
	}
	return i.upstreamTLS.Counters(), true
}

// logCounters logs the counters of certificate stores and handshakes.
func (i *Instance) logCounters() {
	const day = 24 * time.Hour
	for name, c := range i.Keys() {
		attributes := []any{"keys", name, "accepted", c.Accepted, "rejected", c.Rejected}
		if c.Remaining != 0 {
			attributes = append(attributes, "days_remaining", int(c.Remaining/day))
		}
		i.log.Info("certificate counters", attributes...)
	}
	if c, ok := i.HandshakeCounters(); ok {
		i.log.Info("server handshake counters",
			"full", c.Full,
			"resumed", c.Resumed,
			"failed", c.Failed,
			"sessions", c.Sessions,
			"budget_delayed", c.Turns.Delayed,
			"budget_rejected", c.Turns.Rejected,
			"budget_deferred", c.Turns.Deferred)
	}
}

// Requests returns the number of requests in the engine's ledger.
func (i *Instance) Requests() (count int) {
	i.engine.Call(func(balancer.Micros) { count, _ = i.engine.Counts() })
	return count
}

// InFlight returns the state of the external processor: the numbers of requests that wait for a decision, of rounds of
// attempts and of entries. It must not be called from the engine's goroutine.
func (i *Instance) InFlight() (waiting, rounds, entries int) {
	if i.extProc == nil {
		return 0, 0, 0
	}
	return i.extProc.Counts()
}
