// Package protocol tracks which endpoints are reachable over HTTP/3, and chooses the protocol of
// each attempt.
//
// An endpoint whose support is unknown gets its requests over HTTP/1.1 while a connection over
// HTTP/3 is attempted in the background: no request waits for the result. Once a connection is
// established, attempts use it. After a failure that proves that nothing was sent (no connection
// or no stream was available), requests use HTTP/1.1, and HTTP/3 is attempted again after a
// backoff that doubles with each failure.
//
// The package does no I/O and reads no clock. Its state is in memory only: after a restart every
// endpoint is unknown.
package protocol

import "time"

// Backoffs. UDP that is blocked on the network path usually stays blocked for long, whereas a
// server that restarts is back within seconds.
const (
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
	deferredDelay  = time.Second // by then the handshake rate limit usually allows another handshake
)

// Result is the result of an attempt to use HTTP/3 at an address. The outcome of the request that
// is then sent says nothing about the protocol.
type Result uint8

// The results of an attempt to use HTTP/3.
const (
	Failed      Result = iota // no connection or no stream was available
	Established               // a connection and a stream were available
	Deferred                  // not attempted: the sidecar's own handshake rate limit was reached
)

// Tracker records the HTTP/3 support of each address. It is not safe for concurrent use.
type Tracker struct{ entries map[string]*entry }

// entry records the HTTP/3 support of one address.
type entry struct {
	supported  bool          // HTTP/3 was established and has not failed since
	attempting bool          // a connection is being attempted
	backoff    time.Duration // delay after the next failure
	retryAt    time.Time     // earliest next attempt
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{map[string]*entry{}} }

// Choose returns whether a request to an address is sent over HTTP/3. If it is not, attempt
// reports whether the caller must attempt a connection over HTTP/3 in the background and Record its
// result.
func (t *Tracker) Choose(now time.Time, address string) (http3, attempt bool) {
	e := t.entries[address]
	if e == nil {
		e = &entry{backoff: initialBackoff}
		t.entries[address] = e
	}
	if e.supported {
		return true, false
	}
	attempt = !e.attempting && !now.Before(e.retryAt)
	e.attempting = e.attempting || attempt
	return false, attempt
}

// Record records the result of an attempt to use HTTP/3 at an address.
func (t *Tracker) Record(now time.Time, address string, result Result) {
	e := t.entries[address]
	if e == nil {
		return // removed during the attempt
	}
	e.attempting = false
	e.supported = result == Established
	switch result {
	case Established:
		e.backoff = initialBackoff
	case Deferred:
		e.retryAt = now.Add(deferredDelay) // not a failure of the address: the backoff stays
	default:
		e.retryAt = now.Add(e.backoff)
		e.backoff = min(2*e.backoff, maxBackoff)
	}
}

// Remove removes an address that is no longer listed.
func (t *Tracker) Remove(address string) { delete(t.entries, address) }
