package model

import "time"

// Request is one request as a server receives it.
type Request struct {
	Number      uint64        // of the attempt; unique in a run
	FaultSeed   uint64        // determines which faults affect the request; if 0, Number does
	Work        time.Duration // on a core of speed 1
	Class       int
	Key         string // idempotency key; empty for none
	AffinityKey uint64 // 0 for none
}

// faultSeed returns the seed of the request's faults.
func (r *Request) faultSeed() uint64 {
	if r.FaultSeed != 0 {
		return r.FaultSeed
	}
	return r.Number
}

// Outcome is how a request ends at a server.
type Outcome uint8

// The outcomes of a request.
const (
	Served           Outcome = iota
	Failed                   // the server returns an error
	Rejected                 // the server returns an error, and the request did not run
	ConnectionFailed         // the connection breaks: the server is down, collapses or resets it
	Unanswered               // the request ran, and there is no response
	Deduplicated             // served from the record of idempotency keys
)

// Completion is the end of a request.
type Completion struct {
	Number  uint64
	Outcome Outcome
	At      Time
}
